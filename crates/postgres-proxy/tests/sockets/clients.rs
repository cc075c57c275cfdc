//! What clients send, and the answers that they get.

use crate::helpers::{ask, sidecar, statement, with_pod};
use bytes::{BufMut, BytesMut};
use limewing_emulators::platform::{Answer, Client, Config, Does};
use limewing_postgres_protocol::encode;
use rstest::rstest;
use std::time::{Duration, Instant};

fn is_error(answer: &Answer, code: &str) -> bool {
    matches!(answer, Answer::Error(told, _) if told == code)
}

#[test]
fn request_gets_the_pods_value_and_the_pod_the_time_that_is_left() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    client.asks(&statement("id=00000000000000a1,c=order,t=acme,d=2000,k=5c"));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    let heard = pod.hears();
    let (before, after) = heard.split_once(",d=").unwrap();
    assert!(
        before.ends_with("id=00000000000000a1,c=order,t=acme") && after.ends_with(",k=5c */"),
        "{heard}"
    );
    let told: u64 = after.split(',').next().unwrap().parse().unwrap();
    assert!((1..2000).contains(&told), "{heard}");
}

#[test]
fn empty_queries_and_session_settings_are_answered_here() {
    let mut client = Client::new(sidecar(&Config::new(vec![])));
    client.asks("");
    assert_eq!(client.hears(), Answer::Empty);
    client.asks("SET x = 1");
    assert_eq!(client.hears(), Answer::Done("SET".into()));
}

#[test]
fn query_may_be_sent_with_the_startup_message() {
    let (_pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::silent(at);
    let mut out = BytesMut::new();
    encode::startup_message(&mut out, &[("user", "api"), ("database", "ledger")]);
    encode::query(&mut out, &ask("look", 2000));
    client.sends(&out);
    assert_eq!(client.hears_first(), Answer::Row("red".into()));
}

/// Two statements at once are answered in their order.
#[test]
fn pipelined_statements_are_answered_in_order() {
    let (_pod, at) = with_pod(vec![Does::Serves("red"), Does::Serves("blue")]);
    let mut client = Client::new(at);
    let mut out = BytesMut::new();
    encode::query(&mut out, &ask("look", 2000));
    encode::query(&mut out, &ask("look", 2000));
    client.sends(&out);
    assert_eq!(client.hears(), Answer::Row("red".into()));
    assert_eq!(client.hears(), Answer::Row("blue".into()));
}

#[rstest]
#[case::class("id=00000000000000a1,c=none,t=acme,d=500")]
#[case::deadline("id=00000000000000a1,c=look,t=acme,d=soon")]
#[case::negative("id=00000000000000a1,c=look,t=acme,d=-5")]
#[case::no_id("c=look,t=acme,d=500")]
#[case::no_mark("id=00000000000000a1,c=order,t=acme,d=500")]
#[case::twice("id=00000000000000a1,c=look,c=pay,t=acme,d=500")]
#[case::tenant("id=00000000000000a1,c=look,t=nobody,d=500")]
fn invalid_statement_goes_to_no_pod_and_is_rejected(#[case] comment: &str) {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    client.asks(&statement(comment));
    assert!(is_error(&client.hears(), "42601"));
    assert!(pod.heard_nothing() && pod.links() == 0);
}

#[test]
fn id_of_an_open_request_is_rejected() {
    let (pod, at) = with_pod(vec![Does::Waits]);
    let (mut first, mut second) = (Client::new(at), Client::new(at));
    let asked = statement("id=00000000000000a1,c=look,t=acme,d=4000");
    first.asks(&asked);
    pod.hears();
    second.asks(&asked);
    assert!(is_error(&second.hears(), "42601"));
    assert!(pod.heard_nothing());
}

fn head(kind: u8, length: i32) -> Vec<u8> {
    let mut out = vec![kind];
    out.put_i32(length);
    out
}

/// Each gets an error or a close within three seconds.
#[rstest]
#[case::huge(head(b'Q', i32::MAX))]
#[case::negative(head(b'Q', -1))]
#[case::short(head(b'Q', 3))]
#[case::kind(head(b'?', 10))]
#[case::parse(head(b'P', 5).into_iter().chain([0]).collect())]
#[case::no_end(head(b'Q', 8).into_iter().chain(*b"abcd").collect())]
#[case::half(head(b'Q', 200).into_iter().chain(*b"SELECT").collect())]
#[case::nothing(vec![])]
fn protocol_violation_is_answered_in_time(#[case] says: Vec<u8>) {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    let began = Instant::now();
    client.sends(&says);
    assert!(matches!(client.hears(), Answer::Error(..) | Answer::End));
    assert!(client.hears_the_end() && began.elapsed() < Duration::from_secs(3));
    assert!(pod.heard_nothing());
}

#[rstest]
#[case::other_protocol(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::huge(vec![0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0])]
#[case::names(vec![0, 0, 0, 12, 0, 3, 0, 0, 1, 1, 1, 1])]
#[case::silence(vec![])]
fn session_that_does_not_start_ends_in_time(#[case] says: Vec<u8>) {
    let mut client = Client::silent(sidecar(&Config::new(vec![])));
    let began = Instant::now();
    client.sends(&says);
    assert!(matches!(client.hears(), Answer::Error(..) | Answer::End));
    assert!(client.hears_the_end() && began.elapsed() < Duration::from_secs(3));
}

/// No client that waits for its answers sends hundreds of statements at once: none of them is forwarded.
#[test]
fn flood_of_statements_is_rejected_as_a_whole() {
    let (pod, at) = with_pod(vec![Does::Serves("red")]);
    let mut client = Client::new(at);
    let mut out = BytesMut::new();
    (0..100).for_each(|_| encode::query(&mut out, &ask("look", 2000)));
    client.sends(&out);
    assert!(matches!(client.hears(), Answer::Error(..) | Answer::End));
    assert!(pod.heard_nothing());
}

/// Clients that send nothing don't keep others out for long.
#[test]
fn silent_clients_are_evicted_for_others() {
    let pod = limewing_emulators::platform::Pod::new(vec![Does::Serves("red")]);
    let mut config = Config::new(vec![limewing_emulators::platform::Listed::new(
        "p1", pod.at,
    )]);
    config.descriptors = 60;
    let at = sidecar(&config);
    let silent: Vec<Client> = (0..100).map(|_| Client::silent(at)).collect();
    let mut client = Client::new(at);
    client.asks(&ask("look", 3000));
    assert_eq!(client.hears(), Answer::Row("red".into()));
    drop(silent);
}

/// The same where the first statement is forwarded before the others come. Once the first one was waited for as long as it took.
#[test]
fn flood_that_arrives_in_parts_is_rejected_as_a_whole() {
    let (pod, at) = with_pod(vec![Does::Waits]);
    let mut client = Client::new(at);
    client.asks(&ask("look", 60_000));
    assert!(pod.hears().starts_with("SELECT"));
    for _ in 0..50 {
        client.asks(&ask("look", 60_000));
    }
    assert!(is_error(&client.hears(), "54000"));
    assert!(client.hears_the_end());
    assert_eq!(pod.hears(), "gone");
}
