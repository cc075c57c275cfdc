//! A sidecar on a thread, and statements for it.

use limewing_emulators::platform::{Config, Does, Listed, Pod};
use limewing_postgres_proxy::config;
use limewing_postgres_proxy::service::Service;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A statement of a class, with an id and a row of its own.
pub(crate) fn ask(class: &str, waits_ms: u64) -> String {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    ask_of(&format!("{n:x}"), class, waits_ms)
}

/// A statement of a class about this row, with an id of its own.
pub(crate) fn ask_of(row: &str, class: &str, waits_ms: u64) -> String {
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    statement(&format!("id={id:016x},c={class},t=acme,d={waits_ms},k=abc")).replace("7f3a", row)
}

/// A statement with this comment.
pub(crate) fn statement(comment: &str) -> String {
    format!("SELECT blob FROM rows WHERE handle = '7f3a' /* {comment} */")
}

/// Starts a sidecar; it runs until the test's process ends.
pub(crate) fn sidecar(config: &Config) -> SocketAddr {
    sidecar_of(PathBuf::from("none"), config)
}

pub(crate) fn sidecar_of(file: PathBuf, config: &Config) -> SocketAddr {
    let told = config::parse(config.json().as_bytes()).unwrap();
    let service = Service::start_with_config(file, told).unwrap();
    let address = service.address();
    std::thread::spawn(move || service.run());
    address
}

/// A sidecar that knows one pod, which follows this script.
pub(crate) fn with_pod(script: Vec<Does>) -> (Pod, SocketAddr) {
    let pod = Pod::new(script);
    let at = sidecar(&Config::new(vec![Listed::new("p1", pod.at)]));
    (pod, at)
}
