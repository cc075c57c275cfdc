//! Retries over all layers: what a slowdown of all pods does to their traffic.

use crate::support::{run, settings, state_file, Client};
use limewing_http_proxy::service::Service;
use limewing_settings::Seconds;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// Requests of each client, and tries of each request.
const REQUESTS_PER_CLIENT: usize = 3;
const MAX_TRIES: usize = 4;
const CLIENTS: usize = 30;

/// A pod that responds to each request after a while; attempts and connections are counted.
fn slow_pod(takes: Duration, forwards: &Arc<AtomicUsize>, links: &Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (forwards, links) = (forwards.clone(), links.clone());
    std::thread::spawn(move || {
        for mut link in listener.incoming().map_while(Result::ok) {
            links.fetch_add(1, Relaxed);
            let forwards = forwards.clone();
            std::thread::spawn(move || {
                while matches!(link.read(&mut [0; 4096]), Ok(1..)) {
                    forwards.fetch_add(1, Relaxed);
                    std::thread::sleep(takes);
                    let _ = link.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                }
            });
        }
    });
    at
}

#[test]
fn a_slowdown_of_all_pods_brings_no_more_attempts_than_the_retry_budget() {
    let (forwards, links) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let pods: Vec<SocketAddr> = (0..4)
        .map(|_| slow_pod(Duration::from_millis(450), &forwards, &links))
        .collect();
    let mut settings = settings();
    settings.state_file = Some(state_file(&pods));
    settings.limits.hedging = true;
    for group in &mut settings.classes {
        group.latency_objective = Seconds::try_from(0.2).unwrap();
        group.client_timeout = Seconds::try_from(0.4).unwrap();
    }
    let at = run(Service::start(&settings).unwrap());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut tries = 0;
                for _ in 0..REQUESTS_PER_CLIENT {
                    for _ in 0..MAX_TRIES {
                        let mut client = Client::new(at);
                        client.send("GET /quotes/1 HTTP/1.1\r\nHost: a\r\n\r\n");
                        tries += 1;
                        if client.read_response().0.starts_with("HTTP/1.1 200") {
                            break;
                        }
                    }
                }
                tries
            })
        })
        .collect();
    let tries: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    let (forwards, links) = (forwards.load(Relaxed), links.load(Relaxed));
    assert!(tries <= CLIENTS * REQUESTS_PER_CLIENT * MAX_TRIES);
    assert!(
        forwards as f64 <= 1.15 * tries as f64 + 20.0,
        "{forwards} forwards of {tries} tries"
    );
    assert!(
        links <= forwards + pods.len(),
        "{links} connections for {forwards} forwards"
    );
    println!(
        "{} hits, {tries} tries, {forwards} forwards, {links} connections",
        CLIENTS * REQUESTS_PER_CLIENT
    );
}
