//! Tests the generator against pods, through the relay, and against an address without a listener.

use limewing_load_generator::generator::{run, LoadProfile, Measurement};
use limewing_load_generator::{pods, relay, LoadError};
use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Runs a server on a separate thread, and returns the addresses that it reports.
fn serve(count: usize, server: impl FnOnce(UnixStream) + Send + 'static) -> Vec<SocketAddr> {
    let (output, input) = UnixStream::pair().unwrap();
    std::thread::spawn(move || server(output));
    let lines = BufReader::new(input).lines().take(count);
    lines
        .map(|line| {
            let line = line.unwrap();
            line.strip_prefix("listening ").unwrap().parse().unwrap()
        })
        .collect()
}

fn start_pods(count: usize) -> Vec<SocketAddr> {
    serve(count, move |output| drop(pods::serve(count, output)))
}

fn start_relay(pods: Vec<SocketAddr>) -> SocketAddr {
    serve(1, move |output| drop(relay::serve(&pods, output)))[0]
}

fn measure(target: SocketAddr, requests_per_s: Option<f64>) -> Result<Measurement, LoadError> {
    let profile = LoadProfile {
        target,
        requests_per_s,
        connections: 4,
        warm_up: Duration::from_millis(50),
        duration: Duration::from_millis(400),
        seed: 7,
        path: "/quotes/1".into(),
    };
    run(&profile, || (), || ())
}

#[rstest]
#[case::on_a_schedule(Some(200.0))]
#[case::full_load(None)]
fn every_request_to_a_pod_is_answered(#[case] requests_per_s: Option<f64>) {
    let pods = start_pods(1);
    let measurement = measure(pods[0], requests_per_s).unwrap();
    assert!(measurement.responses > 0);
    assert_eq!(measurement.failures, 0);
    assert_eq!(measurement.latency.len(), measurement.responses);
}

#[test]
fn every_request_through_the_relay_is_answered() {
    let measurement = measure(start_relay(start_pods(2)), Some(200.0)).unwrap();
    assert!(measurement.responses > 0);
    assert_eq!(measurement.failures, 0);
}

#[test]
fn load_on_an_address_without_a_listener_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = measure(address, Some(200.0)).unwrap_err();
    assert_eq!(error.to_string(), "no connection is left");
}
