//! Configurations that can't be used.

use limewing_emulators::platform::{Config, Listed};
use limewing_postgres_proxy::config;
use rstest::rstest;
use std::net::SocketAddr;

#[rstest]
#[case::seed("8c1f30d27a5be964", "what", "expected up to 16 hexadecimal digits")]
#[case::group("\"free\"", "\"sometimes\"", "unknown profiles.repeat")]
#[case::name("\"name\":\"look\",", "", "a class has no name")]
#[case::half("}}", "}", "EOF")]
fn unusable_configuration_is_rejected_with_a_reason(
    #[case] from: &str,
    #[case] to: &str,
    #[case] why: &str,
) {
    let good = Config::new(vec![Listed::new(
        "p1",
        SocketAddr::from(([127, 0, 0, 1], 1)),
    )])
    .json();
    assert!(config::parse(good.as_bytes()).is_ok());
    let trouble = config::parse(good.replacen(from, to, 9).as_bytes()).unwrap_err();
    assert!(trouble.to_string().contains(why), "{trouble}");
}
