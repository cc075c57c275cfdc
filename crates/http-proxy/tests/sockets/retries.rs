//! Combined retries of clients and sidecar: the number of attempts while all pods are slow.

use crate::support::{settings, sidecar, spawn, state_file, Client, Pod, PodAction, OK_RESPONSE};
use limewing_http_proxy::service::Service;
use limewing_settings::Seconds;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// Number of requests of each client.
const REQUESTS_PER_CLIENT: usize = 3;
/// Maximum number of times that a client sends the same request.
const MAX_TRIES: usize = 4;
/// Number of concurrent clients.
const CLIENTS: usize = 30;

/// Starts a pod that responds to each request after a delay, and counts attempts and connections.
fn slow_pod(
    delay: Duration,
    attempts: &Arc<AtomicUsize>,
    connections: &Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (attempts, connections) = (attempts.clone(), connections.clone());
    std::thread::spawn(move || {
        for mut connection in listener.incoming().map_while(Result::ok) {
            connections.fetch_add(1, Relaxed);
            let attempts = attempts.clone();
            std::thread::spawn(move || {
                while matches!(connection.read(&mut [0; 4096]), Ok(1..)) {
                    attempts.fetch_add(1, Relaxed);
                    std::thread::sleep(delay);
                    let _ =
                        connection.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
                }
            });
        }
    });
    address
}

#[test]
fn a_slowdown_of_all_pods_causes_no_more_attempts_than_the_retry_budget_allows() {
    let (attempts, connections) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let pods: Vec<SocketAddr> = (0..4)
        .map(|_| slow_pod(Duration::from_millis(450), &attempts, &connections))
        .collect();
    let mut settings = settings();
    settings.state_file = Some(state_file(&pods));
    settings.limits.hedging = true;
    for class in &mut settings.classes {
        class.latency_objective = Seconds::try_from(0.2).unwrap();
        class.client_timeout = Seconds::try_from(0.4).unwrap();
    }
    let sidecar_address = spawn(Service::start(&settings).unwrap());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            std::thread::spawn(move || {
                let mut tries = 0;
                for _ in 0..REQUESTS_PER_CLIENT {
                    for _ in 0..MAX_TRIES {
                        let mut client = Client::new(sidecar_address);
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
    let (attempts, connections) = (attempts.load(Relaxed), connections.load(Relaxed));
    assert!(tries <= CLIENTS * REQUESTS_PER_CLIENT * MAX_TRIES);
    assert!(
        attempts as f64 <= 1.15 * tries as f64 + 20.0,
        "{attempts} attempts for {tries} tries"
    );
    assert!(
        connections <= attempts + pods.len(),
        "{connections} connections for {attempts} attempts"
    );
    println!(
        "{} requests, {tries} tries, {attempts} attempts, {connections} connections",
        CLIENTS * REQUESTS_PER_CLIENT
    );
}

/// A client leaves while a pod works on its request, and the same idempotency key comes again. Guards against a request that runs twice
/// (operators' picture c): without replicas no key was remembered.
#[test]
fn a_key_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    let request =
        "POST /charges HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k1\r\nContent-Length: 0\r\n\r\n";
    let pod = Pod::new(vec![PodAction::StaySilent, PodAction::Respond(OK_RESPONSE)]);
    let address = sidecar(&[pod.address]);
    let mut first = Client::new(address);
    first.send(request);
    assert!(pod.receive().starts_with("POST"));
    drop(first);
    // The sidecar has cancelled the attempt.
    assert_eq!(pod.receive(), "gone");
    let mut second = Client::new(address);
    second.send(request);
    let (head, _) = second.read_response();
    assert!(head.starts_with("HTTP/1.1 409"), "{head}");
    assert!(head.contains("it may have run"), "{head}");
    assert!(pod.received_nothing());
    // The connection stays usable, also for another key.
    second.send(&request.replace("k1", "k2"));
    assert_eq!(second.read_response().1, "done");
}
