//! Routing keys that stay with the newest build that served them, while a pod of the earlier build stalls.

use crate::support::{
    settings, spawn, state_file_with_builds, Client, Pod, PodAction, RolloutService, VoteAction,
};
use crate::unaccepting_pod::{UnacceptingPod, TIMEOUT};
use limewing_http_proxy::service::Service;
use limewing_settings::Seconds;
use std::io::Read;
use std::time::Duration;

const TRIAL_STATE: &str = r#"{"number":1,"build":2,"stage":0,"phase":"on_trial","cap":0.5}"#;
const NEW_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew";
/// Much longer than a pod that does not stall takes to answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(300);
/// The maximum number of requests that wait at the stalled pod.
const MAX_WAITING: usize = 40;

fn quote_request(key: usize) -> String {
    format!("GET /quotes/1 HTTP/1.1\r\nHost: a\r\nRouting-Key: {key}\r\n\r\n")
}

fn is_answered(client: &Client) -> bool {
    client.0.set_read_timeout(Some(ANSWERED_WITHIN)).unwrap();
    let is_answered = client.0.peek(&mut [0]).is_ok();
    client.0.set_read_timeout(Some(TIMEOUT)).unwrap();
    is_answered
}

/// Requests of one key wait for a connection to a pod of the earlier build when the new build answers the key. Guards against a key
/// that goes back (review case 10): the first byte of the waiting requests was sent to the earlier build afterwards.
#[test]
fn a_key_does_not_go_back_to_a_pod_that_stalled() {
    let old = UnacceptingPod::new();
    let new = Pod::new(vec![PodAction::Respond(NEW_RESPONSE)]);
    let rollout_service = RolloutService::new(TRIAL_STATE, vec![VoteAction::Counted]);
    let mut settings = settings();
    settings.state_file = Some(state_file_with_builds(&[
        (old.address, 1),
        (new.address, 2),
    ]));
    settings.rollout_service = Some(rollout_service.settings());
    settings.headers.routing_key = Some("routing-key".into());
    settings.rollout.sticky_keys = true;
    settings.limits.connect_timeout = Seconds::try_from(30.0).unwrap();
    // An unused connection is closed after this timeout, which shows the test that nothing was written to it.
    settings.limits.idle_timeout = Seconds::try_from(0.2).unwrap();
    let address = spawn(Service::start(&settings).unwrap());
    rollout_service.wait_for_first_vote();
    // Each request goes to one of the builds by chance. A key that the new build has served is not used further.
    let mut waiting = Vec::new();
    let is_answered_by_new = |key: &usize| {
        let waiting_before = waiting.len();
        loop {
            let mut client = Client::new(address);
            client.send(&quote_request(*key));
            if is_answered(&client) {
                return client.read_response().1 == "new" && waiting.len() > waiting_before;
            }
            waiting.push(client);
            assert!(waiting.len() < MAX_WAITING, "the new build gets no request");
        }
    };
    (0..).find(is_answered_by_new).unwrap();
    let mut connection = old.accept_sidecar();
    let mut received = Vec::new();
    connection.read_to_end(&mut received).unwrap();
    assert!(
        received.is_empty(),
        "{}",
        String::from_utf8_lossy(&received)
    );
}
