//! Tests that invalid configurations are rejected.

use limewing_emulators::platform::{ListedPod, SidecarConfigFile};
use limewing_postgres_proxy::config;
use rstest::rstest;
use std::net::SocketAddr;

#[rstest]
#[case::invalid_seed("8c1f30d27a5be964", "what", "expected up to 16 hexadecimal digits")]
#[case::unknown_repeat_setting("\"free\"", "\"sometimes\"", "unknown profiles.repeat")]
#[case::unnamed_class("\"name\":\"look\",", "", "a class has no name")]
#[case::truncated("}}", "}", "EOF")]
fn invalid_configuration_is_rejected_with_a_reason(
    #[case] from: &str,
    #[case] to: &str,
    #[case] reason: &str,
) {
    let valid = SidecarConfigFile::new(vec![ListedPod::new(
        "p1",
        SocketAddr::from(([127, 0, 0, 1], 1)),
    )])
    .json();
    assert!(config::parse(valid.as_bytes()).is_ok());
    let error = config::parse(valid.replacen(from, to, 9).as_bytes()).unwrap_err();
    assert!(error.to_string().contains(reason), "{error}");
}
