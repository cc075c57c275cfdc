//! Helpers that start a sidecar on a thread, and statements for it.

use limewing_emulators::platform::{ListedPod, Pod, PodBehavior, SidecarConfigFile};
use limewing_postgres_proxy::config;
use limewing_postgres_proxy::service::Service;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a statement of a request class, with a unique id and row.
pub(crate) fn statement_of_class(class: &str, timeout_ms: u64) -> String {
    let row = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    statement_for_row(&format!("{row:x}"), class, timeout_ms)
}

/// Returns a statement of a request class for this row, with a unique id.
pub(crate) fn statement_for_row(row: &str, class: &str, timeout_ms: u64) -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    statement_with_comment(&format!(
        "id={id:016x},c={class},t=acme,d={timeout_ms},k=abc"
    ))
    .replace("7f3a", row)
}

/// Returns a statement with this comment.
pub(crate) fn statement_with_comment(comment: &str) -> String {
    format!("SELECT blob FROM rows WHERE handle = '7f3a' /* {comment} */")
}

/// Starts a sidecar, which runs until the test process ends. If it has no discovery, it gets one that confirms its endpoint list.
pub(crate) fn start_sidecar(mut config: SidecarConfigFile) -> SocketAddr {
    config.confirm_endpoints();
    start_sidecar_with_file(PathBuf::from("none"), &config)
}

pub(crate) fn start_sidecar_with_file(file: PathBuf, config: &SidecarConfigFile) -> SocketAddr {
    let parsed = config::parse(config.json().as_bytes()).unwrap();
    let service = Service::start_with_config(file, parsed).unwrap();
    let address = service.address();
    std::thread::spawn(move || service.run());
    address
}

/// Starts a pod that follows this script, and a sidecar that knows it.
pub(crate) fn start_sidecar_with_pod(script: Vec<PodBehavior>) -> (Pod, SocketAddr) {
    let pod = Pod::new(script);
    let address = start_sidecar(SidecarConfigFile::new(vec![ListedPod::new(
        "p1",
        pod.address,
    )]));
    (pod, address)
}
