//! Tests `limewing platform` processes, with faults between them and their pods, clients and services.

use crate::support::PlatformProcess;
use limewing_emulators::platform::{
    endpoint_listing_json, Answer, Client, Discovery, Faults, ListedPod, Pod, PodBehavior,
    SidecarConfigFile, World,
};
use limewing_postgres_proxy::timeouts::{CLIENT_MESSAGE_TIMEOUT, STOP_ACCEPTING_TIMEOUT};
use limewing_rule_checker::checker::RuleChecker;
use limewing_rule_checker::record::{AttemptKey, Event, PodId, RecordLine, RequestId, SidecarId};
use limewing_rule_checker::report::Rule;
use rstest::rstest;
use rustix::process::Signal;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, SystemTime};

fn statement(group: &str, id: u32) -> String {
    format!("SELECT blob FROM rows WHERE handle = '7f3a' /* id={id:x},c={group},t=acme,d=2000,k=ab{id:x} */")
}

fn start_with_pod(script: Vec<PodBehavior>) -> (Pod, PlatformProcess, Client) {
    let pod = Pod::new(script);
    let mut config = SidecarConfigFile {
        client_timeout_s: 2.0,
        ..SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)])
    };
    config.confirm_endpoints();
    let sidecar = PlatformProcess::start(&config);
    let client = Client::new(sidecar.address);
    (pod, sidecar, client)
}

/// Sends statements on new connections until the expected answer arrives.
fn await_answer(at: SocketAddr, expected: &str) {
    for id in 0.. {
        let Some(mut client) = Client::try_new(at, Duration::from_secs(5)) else {
            continue;
        };
        client.send_query(&statement("look", 0x1000 + id));
        if client.read_answer() == Answer::Row(expected.into()) {
            return;
        }
    }
}

/// A sidecar that is signalled to shut down completes its requests in flight in any state, and then exits.
#[rstest]
#[case::attempt_sent(PodBehavior::AnswerAfterSignal("red"))]
#[case::partially_answered(PodBehavior::SplitAnswer("red"))]
fn a_draining_sidecar_completes_attempts_in_flight(#[case] behavior: PodBehavior) {
    let half = matches!(behavior, PodBehavior::SplitAnswer(_));
    let (pod, mut sidecar, mut client) = start_with_pod(vec![behavior]);
    client.send_query(&statement("pay", 1));
    assert!(pod.next_event().starts_with("SELECT"));
    if half {
        assert_eq!(pod.next_event(), "half");
    }
    sidecar.signal(Signal::TERM);
    pod.resume.send(()).unwrap();
    let answer = client.read_answer();
    // A partial answer that stalls is eventually abandoned, but the client still receives an answer.
    assert!(
        answer == Answer::Row("red".into()) || half && answer != Answer::ConnectionClosed,
        "{answer:?}"
    );
    assert!(sidecar.wait_for_success());
}

/// A statement that arrives on a new or an idle connection while the process is suspended past the time to close its
/// listener is answered. Guards against closing the connection with the statement unread.
#[rstest]
#[case::new(true)]
#[case::idle(false)]
fn a_statement_that_arrives_as_the_listener_closes_is_answered(#[case] new: bool) {
    let (_pod, mut sidecar, mut client) = start_with_pod(vec![PodBehavior::Answer("red")]);
    let mut probe = Client::new(sidecar.address);
    sidecar.signal(Signal::TERM);
    // The sidecar closes connections that it serves after the shutdown signal, so a closed one shows that the signal was
    // handled.
    for id in 0.. {
        probe.send_query(&statement("look", 0x100 + id));
        if probe.read_answer() == Answer::ConnectionClosed {
            break;
        }
    }
    sidecar.suspend();
    sleep(LISTENER_CLOSE_WAIT);
    if new {
        client = Client::without_session(sidecar.address);
        client.send_startup_message();
    }
    client.send_query(&statement("look", 1));
    sidecar.signal(Signal::CONT);
    assert_eq!(
        if new {
            client.read_first_answer()
        } else {
            client.read_answer()
        },
        Answer::Row("red".into())
    );
    assert!(client.reads_end_of_stream());
    assert!(sidecar.wait_for_success());
}

/// The first statement of a client arrives while the process is suspended for longer than the client timeout. The statement is
/// answered, because input is processed before expired timers.
#[test]
fn a_first_statement_that_arrives_as_the_client_timeout_expires_is_answered() {
    let (_pod, sidecar, mut client) = start_with_pod(vec![PodBehavior::Answer("red")]);
    sidecar.suspend();
    sleep(CLIENT_MESSAGE_TIMEOUT + TIMING_MARGIN);
    client.send_query(&statement("look", 1));
    sidecar.signal(Signal::CONT);
    assert_eq!(client.read_answer(), Answer::Row("red".into()));
}

/// The process is suspended while the connection of an attempt is established and its pod is then listed as terminating.
/// The list must be applied before the first byte of the attempt is sent, whichever of the two events the poll reports
/// first. Otherwise the terminating pod receives the first bytes.
#[test]
fn the_list_is_applied_before_the_first_byte_is_sent() {
    let pod = Pod::new(vec![
        PodBehavior::StartSessionAfterSignal,
        PodBehavior::AnswerEmptyQueryAfterSignal("red"),
        PodBehavior::NoAnswer,
    ]);
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile {
        client_timeout_s: 2.0,
        connect_timeout_s: 30.0,
        ..SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)])
    };
    config.discovery = discovery.address;
    let sidecar = PlatformProcess::start(&config);
    discovery.next_request();
    let mut client = Client::new(sidecar.address);
    client.send_query(&statement("look", 1));
    assert_eq!(pod.next_event(), "came");
    sidecar.suspend();
    pod.resume.send(()).unwrap();
    assert_eq!(pod.next_event(), "welcomed");
    discovery.send_object(&endpoint_listing_json(
        9,
        false,
        &[ListedPod {
            state: "terminating",
            ..ListedPod::new("p1", pod.address)
        }],
    ));
    sidecar.signal(Signal::CONT);
    assert!(matches!(client.read_answer(), Answer::Error(code, _) if code == "53300"));
    assert!(pod.has_no_event());
}

/// Longer than a sidecar accepts connections after the shutdown signal.
const LISTENER_CLOSE_WAIT: Duration = STOP_ACCEPTING_TIMEOUT.saturating_add(TIMING_MARGIN);
const TIMING_MARGIN: Duration = Duration::from_millis(100);

/// A request may have a longer deadline than the settings allow for the shutdown. It is answered before the shutdown
/// deadline. Guards against a process that exits with the request open.
#[test]
fn a_draining_sidecar_answers_all_requests_before_it_exits() {
    let pod = Pod::new(vec![PodBehavior::NoAnswer]);
    let mut config = SidecarConfigFile {
        client_timeout_s: 1.0,
        ..SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)])
    };
    config.confirm_endpoints();
    let mut sidecar = PlatformProcess::start(&config);
    let mut client = Client::new(sidecar.address);
    client.send_query(&statement("pay", 1).replace("d=2000", "d=60000"));
    assert!(pod.next_event().starts_with("SELECT"));
    sidecar.signal(Signal::TERM);
    assert!(matches!(client.read_answer(), Answer::Error(code, _) if code == "58000"));
    assert!(sidecar.wait_for_success());
}

#[test]
fn a_draining_sidecar_answers_queued_requests() {
    let config = SidecarConfigFile {
        client_timeout_s: 1.0,
        ..SidecarConfigFile::new(Vec::new())
    };
    let mut sidecar = PlatformProcess::start(&config);
    let mut client = Client::new(sidecar.address);
    client.send_query(&statement("pay", 1));
    sidecar.signal(Signal::TERM);
    assert!(matches!(client.read_answer(), Answer::Error(code, _) if code == "53300"));
    assert!(sidecar.wait_for_success());
}

/// A watch that falls silent is restarted from the known version. A watch that still delivers is not requested again.
#[test]
fn a_silent_watch_is_restarted() {
    let (old, new) = (
        Pod::new(vec![PodBehavior::Answer("old")]),
        Pod::new(vec![PodBehavior::Answer("new")]),
    );
    let discovery = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", old.address)]);
    config.discovery = discovery.address;
    let sidecar = PlatformProcess::start(&config);
    assert!(discovery.next_request().contains("since=7 "));
    assert!(discovery.next_request().contains("since=8 "));
    await_answer(sidecar.address, "old");
    let gone = ListedPod {
        state: "terminated",
        ..ListedPod::new("p1", old.address)
    };
    discovery.send_object(&endpoint_listing_json(
        9,
        false,
        &[gone, ListedPod::new("p2", new.address)],
    ));
    await_answer(sidecar.address, "new");
}

/// The services of a new configuration may start later than it is loaded.
#[test]
fn services_that_start_later_are_found() {
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let first = Discovery::new(endpoint_listing_json(8, false, &[]));
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.discovery = first.address;
    let sidecar = PlatformProcess::start(&config);
    first.next_request();
    let later = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    config.discovery = later;
    sidecar.write_config(&config);
    sidecar.signal(Signal::HUP);
    await_answer(sidecar.address, "red");
    let second = Discovery::bind(later, endpoint_listing_json(9, false, &[]));
    assert!(second.next_request().contains("since=8 "));
    await_answer(sidecar.address, "red");
}

/// A configuration that is incomplete when the reload signal arrives is read again automatically. Guards against rejecting
/// it once and keeping the previous one for good.
#[test]
fn an_incomplete_configuration_is_read_again() {
    let pod = Pod::new(vec![PodBehavior::Answer("red")]);
    let (first, second) = (
        Discovery::new(endpoint_listing_json(8, false, &[])),
        Discovery::new(endpoint_listing_json(9, false, &[])),
    );
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", pod.address)]);
    config.discovery = first.address;
    let sidecar = PlatformProcess::start(&config);
    first.next_request();
    config.discovery = second.address;
    let complete = config.json();
    sidecar.write_config_text(&complete[..complete.len() / 2]);
    sidecar.signal(Signal::HUP);
    await_answer(sidecar.address, "red");
    sidecar.write_config_text(&complete);
    assert!(second.next_request().contains("since=8 "));
}

/// A sidecar that is killed and restarted under the same name starts from its cached list. A pod that has returned with
/// another build gets requests as soon as a new list contains it.
#[test]
fn a_killed_sidecar_starts_from_its_cached_list() {
    let (old, new) = (
        Pod::new(vec![PodBehavior::Answer("old")]),
        Pod::new(vec![PodBehavior::Answer("new")]),
    );
    let mut config = SidecarConfigFile::new(vec![ListedPod::new("p1", old.address)]);
    config.confirm_endpoints();
    let mut sidecar = PlatformProcess::start(&config);
    await_answer(sidecar.address, "old");
    sidecar.signal(Signal::KILL);
    assert!(!sidecar.wait_for_success());
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let again = ListedPod {
        build: 2,
        started_at_ms: now,
        ..ListedPod::new("p1", new.address)
    };
    let discovery = Discovery::new(endpoint_listing_json(9, true, &[again]));
    (config.discovery, config.listen) = (discovery.address, sidecar.address);
    let sidecar = PlatformProcess::start(&config);
    assert!(discovery.next_request().contains("since=7 "));
    await_answer(sidecar.address, "new");
}

const READY: &str = "in_service";
const DRAINING: &str = "terminating";

/// Runs a day of four sidecars and returns its record. Pods fail in every way, one sidecar is killed, one is drained and one is
/// suspended. A build is put on trial on cold pods, a pod drains, and the build is rolled back.
fn record_faulty_day() -> Vec<RecordLine> {
    const SIDECAR_COUNT: usize = 4;
    let mut world = World::new(SIDECAR_COUNT, World::limits(vec![0.5]), 7);
    let mut list: Vec<(usize, &'static str, u64)> = Vec::new();
    list.extend((0..4).map(|_| (world.start_pod(1, false, Faults::default()), READY, 0)));
    let config = |world: &World, own: usize, listen| SidecarConfigFile {
        discovery: world.discovery[own].address,
        rollouts: Some(world.rollouts[own].address),
        cached_endpoints: (0..4)
            .map(|pod| world.listed_pod(own, pod, READY, 0))
            .collect(),
        client_timeout_s: 1.0,
        count_and_index: (SIDECAR_COUNT as u32, own as u32),
        listen,
        ..SidecarConfigFile::new(Vec::new())
    };
    let sidecar = |own: usize| SidecarId(own as u32);
    let start = |world: &World, own: usize, listen: SocketAddr| {
        world.record_event(Event::SidecarStarted {
            sidecar: sidecar(own),
        });
        world.record_endpoint_list(
            own,
            &[(0, READY, 0), (1, READY, 0), (2, READY, 0), (3, READY, 0)],
        );
        world.record_stage(own, 1, 0, "Healthy", 1.0);
        PlatformProcess::start(&config(world, own, listen))
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut all: Vec<PlatformProcess> = (0..SIDECAR_COUNT)
        .map(|own| start(&world, own, free))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..3 * SIDECAR_COUNT).map(|n| {
        let own = n % SIDECAR_COUNT;
        world.start_client(
            (own, all[own].address),
            n as u64 + 1,
            Duration::from_secs(1),
            stop.clone(),
        )
    });
    let clients: Vec<_> = clients.collect();
    let pause = |ms| sleep(Duration::from_millis(ms));
    pause(300);
    let faults = Faults {
        error_share: 0.05,
        rejection_share: 0.1,
        close_share: 0.05,
        noise_share: 0.05,
        silence_share: 0.02,
    };
    (0..4).for_each(|pod| world.set_faults(pod, faults));
    pause(500);

    world.record_event(Event::SidecarExited {
        sidecar: sidecar(0),
    });
    all[0].signal(Signal::KILL);
    all[0].wait_for_success();
    // The clients detect the lost connections before another process listens at the address.
    pause(300);
    all[0] = start(&world, 0, all[0].address);

    world.record_event(Event::SidecarDraining {
        sidecar: sidecar(1),
    });
    all[1].signal(Signal::TERM);
    assert!(all[1].wait_for_success());
    pause(300);
    world.record_event(Event::SidecarExited {
        sidecar: sidecar(1),
    });
    all[1] = start(&world, 1, all[1].address);

    world.record_event(Event::SidecarSuspended {
        sidecar: sidecar(2),
    });
    all[2].suspend();
    pause(400);
    // Recorded before the signal: an answer may leave the process before a later event is recorded.
    world.record_event(Event::SidecarResumed {
        sidecar: sidecar(2),
    });
    all[2].signal(Signal::CONT);
    pause(300);

    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    list.extend((0..2).map(|_| (world.start_pod(2, true, Faults::default()), READY, now)));
    world.send_stage(2, 0, "Progressing", 0.5);
    (0..SIDECAR_COUNT).for_each(|own| world.send_endpoint_list(own, &list));
    pause(1200);
    list[0].1 = DRAINING;
    (0..SIDECAR_COUNT).for_each(|own| world.send_endpoint_list(own, &list));
    pause(1200);
    world.send_stage(2, 0, "Aborting", 0.0);
    pause(800);
    stop.store(true, Ordering::SeqCst);
    let delivered: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    assert!(delivered > 300, "only {delivered} requests were delivered");
    world.lines()
}

fn violated_rules(lines: &[RecordLine]) -> Vec<Rule> {
    let report = RuleChecker::new(lines).unwrap().report();
    report
        .violated_results()
        .map(|result| result.rule)
        .collect()
}

/// Inserts events at a delay after the first line that matches.
fn insert_after(
    lines: &[RecordLine],
    matches_line: impl Fn(&RecordLine) -> bool,
    delay_s: f64,
    events: impl Fn(&RecordLine) -> Vec<Event>,
) -> Vec<RecordLine> {
    let mut lines = lines.to_vec();
    let first = lines
        .iter()
        .find(|line| matches_line(line))
        .expect("a line that matches")
        .clone();
    let at = first.at + Duration::from_secs_f64(delay_s);
    let place = lines.partition_point(|line| line.at <= at);
    lines.splice(
        place..place,
        events(&first)
            .into_iter()
            .map(|event| RecordLine { at, event }),
    );
    lines
}

#[test]
fn a_day_with_faults_keeps_the_five_rules() {
    let lines = record_faulty_day();
    let report = RuleChecker::new(&lines).unwrap().report();
    assert!(
        report.violated_results().next().is_none(),
        "{:#?}",
        report.results
    );
    for (rule, result) in Rule::ALL.iter().zip(&report.results) {
        assert!(
            result.checked > 0,
            "rule {rule} was not checked on anything"
        );
    }

    let unknown_attempt = |n: usize| AttemptKey::new(RequestId(u64::MAX - n as u64), 0);
    let work = Duration::from_millis(10);
    let sent = move |pod: u32, n: usize| {
        let (pod, sidecar) = (PodId(pod), SidecarId(3));
        Event::AttemptArrived {
            pod,
            sidecar,
            attempt: unknown_attempt(n),
            class: 0,
            work,
        }
    };
    let answered = |line: &RecordLine| matches!(line.event, Event::Answered { .. });
    let twice = insert_after(&lines, answered, 0.0, |line| vec![line.event.clone()]);
    assert_eq!(violated_rules(&twice), [Rule::OneAnswer]);

    let non_idempotent = |line: &RecordLine| {
        matches!(
            line.event,
            Event::AttemptArrived {
                class: 2,
                pod: PodId(1),
                ..
            }
        )
    };
    let again = |line: &RecordLine| match &line.event {
        Event::AttemptArrived {
            sidecar,
            attempt,
            class,
            work,
            ..
        } => {
            vec![Event::AttemptArrived {
                pod: PodId(2),
                sidecar: *sidecar,
                attempt: *attempt,
                class: *class,
                work: *work,
            }]
        }
        _ => unreachable!(),
    };
    assert_eq!(
        violated_rules(&insert_after(&lines, non_idempotent, 0.0, again)),
        [Rule::NoEffectTwice]
    );

    let drained = |line: &RecordLine| matches!(&line.event, Event::EndpointsNotified { sidecar: SidecarId(3), draining, .. } if !draining.is_empty());
    assert_eq!(
        violated_rules(&insert_after(&lines, drained, 1.0, |_| vec![sent(0, 0)])),
        [Rule::Draining]
    );

    let cold = |line: &RecordLine| matches!(line.event, Event::PodStarted { pod: PodId(4), .. });
    // Before the stage update the exposure limit is that of the first stage. Many sidecars share the attempts.
    let excess_attempts = |_: &RecordLine| (0..900).map(|n| sent(4, n)).collect();
    assert!(
        violated_rules(&insert_after(&lines, cold, 0.05, excess_attempts))
            .contains(&Rule::SlowStart)
    );

    let trial = |line: &RecordLine| matches!(line.event, Event::StageNotified { sidecar: SidecarId(3), build: 2, cap, .. } if cap > 0.0);
    let excess_exposure = |_: &RecordLine| (0..200).map(|n| sent(5, n)).collect();
    assert!(
        violated_rules(&insert_after(&lines, trial, 1.1, excess_exposure))
            .contains(&Rule::Exposure)
    );
}
