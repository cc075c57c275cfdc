//! Several processes of `limewing platform`, with faults between them and their pods, clients and services.

use crate::support::PlatformProcess;
use limewing_emulators::platform::{
    listing, Answer, Client, Config, Discovery, Does, Faults, Listed, Pod, World,
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

fn with_pod(does: Vec<Does>) -> (Pod, PlatformProcess, Client) {
    let pod = Pod::new(does);
    let config = Config {
        patience: 2.0,
        ..Config::new(vec![Listed::new("p1", pod.at)])
    };
    let sidecar = PlatformProcess::start(&config);
    let client = Client::new(sidecar.address);
    (pod, sidecar, client)
}

/// Asks on new connections until the answer is that one.
fn await_answer(at: SocketAddr, wanted: &str) {
    for id in 0.. {
        let Some(mut client) = Client::try_new(at, Duration::from_secs(5)) else {
            continue;
        };
        client.asks(&statement("look", 0x1000 + id));
        if client.hears() == Answer::Row(wanted.into()) {
            return;
        }
    }
}

/// A sidecar that is told to leave settles what it holds in whatever state, and ends by itself.
#[rstest]
#[case::forwarded(Does::ServesLater("red"))]
#[case::answered_half(Does::Halves("red"))]
fn a_leaving_sidecar_settles_what_is_out(#[case] does: Does) {
    let half = matches!(does, Does::Halves(_));
    let (pod, mut sidecar, mut client) = with_pod(vec![does]);
    client.asks(&statement("pay", 1));
    assert!(pod.hears().starts_with("SELECT"));
    if half {
        assert_eq!(pod.hears(), "half");
    }
    sidecar.signal(Signal::TERM);
    pod.go_on.send(()).unwrap();
    let answer = client.hears();
    // Half an answer that stands still for long is given up; but an answer there is.
    assert!(
        answer == Answer::Row("red".into()) || half && answer != Answer::End,
        "{answer:?}"
    );
    assert!(sidecar.wait_for_success());
}

/// The process is suspended while its listener is to close, and a statement comes meanwhile: on a new connection or on one
/// that was idle. Without the fix the connection is closed with the statement unread.
#[rstest]
#[case::new(true)]
#[case::idle(false)]
fn a_statement_that_comes_as_the_listener_closes_is_answered(#[case] new: bool) {
    let (_pod, mut sidecar, mut client) = with_pod(vec![Does::Serves("red")]);
    let mut told = Client::new(sidecar.address);
    sidecar.signal(Signal::TERM);
    // Whoever is served after the signal to shut down is closed: so it has been handled.
    for id in 0.. {
        told.asks(&statement("look", 0x100 + id));
        if told.hears() == Answer::End {
            break;
        }
    }
    sidecar.suspend();
    sleep(LISTENER_CLOSES);
    if new {
        client = Client::silent(sidecar.address);
        client.begins();
    }
    client.asks(&statement("look", 1));
    sidecar.signal(Signal::CONT);
    assert_eq!(
        if new {
            client.hears_first()
        } else {
            client.hears()
        },
        Answer::Row("red".into())
    );
    assert!(client.hears_the_end());
    assert!(sidecar.wait_for_success());
}

/// The process stands still for longer than a client may be silent, and its first statement comes just then: what was read
/// counts before what is due.
#[test]
fn a_first_statement_that_comes_as_silence_is_over_is_answered() {
    let (_pod, sidecar, mut client) = with_pod(vec![Does::Serves("red")]);
    sidecar.suspend();
    sleep(CLIENT_MESSAGE_TIMEOUT + MOMENT);
    client.asks(&statement("look", 1));
    sidecar.signal(Signal::CONT);
    assert_eq!(client.hears(), Answer::Row("red".into()));
}

/// The process stands still while the connection of an attempt comes up, and then its pod is announced as leaving: the list is
/// read before the attempt's first byte leaves, in whichever order the system tells of the two. Without that order the pod
/// hears the first bytes.
#[test]
fn the_list_is_known_before_the_first_byte_leaves() {
    let pod = Pod::new(vec![
        Does::WelcomesLater,
        Does::LivesLater("red"),
        Does::Waits,
    ]);
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config {
        patience: 2.0,
        connect: 30.0,
        ..Config::new(vec![Listed::new("p1", pod.at)])
    };
    config.discovery = discovery.at;
    let sidecar = PlatformProcess::start(&config);
    discovery.is_asked();
    let mut client = Client::new(sidecar.address);
    client.asks(&statement("look", 1));
    assert_eq!(pod.hears(), "came");
    sidecar.suspend();
    pod.go_on.send(()).unwrap();
    assert_eq!(pod.hears(), "welcomed");
    discovery.says(&listing(
        9,
        false,
        &[Listed {
            health: "terminating",
            ..Listed::new("p1", pod.at)
        }],
    ));
    sidecar.signal(Signal::CONT);
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "53300"));
    assert!(pod.heard_nothing());
}

/// Longer than connections go on coming to a sidecar that was told to leave.
const LISTENER_CLOSES: Duration = STOP_ACCEPTING_TIMEOUT.saturating_add(MOMENT);
const MOMENT: Duration = Duration::from_millis(100);

/// A request may bring a longer time than the settings have: it is answered before the process has to be gone. Without
/// the mend the process ends with it open.
#[test]
fn a_leaving_sidecar_answers_all_before_it_ends() {
    let pod = Pod::new(vec![Does::Waits]);
    let config = Config {
        patience: 1.0,
        ..Config::new(vec![Listed::new("p1", pod.at)])
    };
    let mut sidecar = PlatformProcess::start(&config);
    let mut client = Client::new(sidecar.address);
    client.asks(&statement("pay", 1).replace("d=2000", "d=60000"));
    assert!(pod.hears().starts_with("SELECT"));
    sidecar.signal(Signal::TERM);
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "58000"));
    assert!(sidecar.wait_for_success());
}

#[test]
fn a_leaving_sidecar_settles_what_waits() {
    let config = Config {
        patience: 1.0,
        ..Config::new(Vec::new())
    };
    let mut sidecar = PlatformProcess::start(&config);
    let mut client = Client::new(sidecar.address);
    client.asks(&statement("pay", 1));
    sidecar.signal(Signal::TERM);
    assert!(matches!(client.hears(), Answer::Error(code, _) if code == "53300"));
    assert!(sidecar.wait_for_success());
}

/// A watch that says nothing more is taken up again, from what is known; a watch that goes on is not asked for anew.
#[test]
fn a_watch_gone_silent_is_taken_up_again() {
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let discovery = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    config.discovery = discovery.at;
    let sidecar = PlatformProcess::start(&config);
    assert!(discovery.is_asked().contains("since=7 "));
    assert!(discovery.is_asked().contains("since=8 "));
    await_answer(sidecar.address, "old");
    let gone = Listed {
        health: "terminated",
        ..Listed::new("p1", old.at)
    };
    discovery.says(&listing(9, false, &[gone, Listed::new("p2", new.at)]));
    await_answer(sidecar.address, "new");
}

/// The services of a new configuration may come up later than it.
#[test]
fn services_that_are_not_there_yet_are_found() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let first = Discovery::new(listing(8, false, &[]));
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = first.at;
    let sidecar = PlatformProcess::start(&config);
    first.is_asked();
    let later = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    config.discovery = later;
    sidecar.write_config(&config);
    sidecar.signal(Signal::HUP);
    await_answer(sidecar.address, "red");
    let second = Discovery::at(later, listing(9, false, &[]));
    assert!(second.is_asked().contains("since=8 "));
    await_answer(sidecar.address, "red");
}

/// A configuration that is still being written when its signal comes is read again by itself. Without the fix it is
/// refused once, and the old one stays for good.
#[test]
fn a_half_written_configuration_is_read_again() {
    let pod = Pod::new(vec![Does::Serves("red")]);
    let (first, second) = (
        Discovery::new(listing(8, false, &[])),
        Discovery::new(listing(9, false, &[])),
    );
    let mut config = Config::new(vec![Listed::new("p1", pod.at)]);
    config.discovery = first.at;
    let sidecar = PlatformProcess::start(&config);
    first.is_asked();
    config.discovery = second.at;
    let whole = config.json();
    sidecar.write_config_text(&whole[..whole.len() / 2]);
    sidecar.signal(Signal::HUP);
    await_answer(sidecar.address, "red");
    sidecar.write_config_text(&whole);
    assert!(second.is_asked().contains("since=8 "));
}

/// Killed outright and started under the same name, it goes by its old list at first; a pod that came back meanwhile
/// with another build is served from as soon as the list says so.
#[test]
fn a_killed_sidecar_starts_from_an_old_list() {
    let (old, new) = (
        Pod::new(vec![Does::Serves("old")]),
        Pod::new(vec![Does::Serves("new")]),
    );
    let mut config = Config::new(vec![Listed::new("p1", old.at)]);
    let mut sidecar = PlatformProcess::start(&config);
    await_answer(sidecar.address, "old");
    sidecar.signal(Signal::KILL);
    assert!(!sidecar.wait_for_success());
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let again = Listed {
        build: 2,
        born_ms: now,
        ..Listed::new("p1", new.at)
    };
    let discovery = Discovery::new(listing(9, true, &[again]));
    (config.discovery, config.listen) = (discovery.at, sidecar.address);
    let sidecar = PlatformProcess::start(&config);
    assert!(discovery.is_asked().contains("since=7 "));
    await_answer(sidecar.address, "new");
}

const READY: &str = "in_service";
const DRAINS: &str = "terminating";

/// A day of four sidecars: pods that fail in every way, a sidecar killed, one told to leave, one stopped; a build on
/// trial on cold pods, a drain, the build taken back. Plays it and gives the record.
fn rough_day() -> Vec<RecordLine> {
    const ALL: usize = 4;
    let mut world = World::new(ALL, World::limits(vec![0.5]), 7);
    let mut list: Vec<(usize, &'static str, u64)> = Vec::new();
    list.extend((0..4).map(|_| (world.pod(1, false, Faults::default()), READY, 0)));
    let config = |world: &World, own: usize, listen| Config {
        discovery: world.discovery[own].at,
        rollouts: Some(world.rollouts[own].at),
        known: (0..4).map(|pod| world.listed(own, pod, READY, 0)).collect(),
        patience: 1.0,
        sidecars: (ALL as u32, own as u32),
        listen,
        ..Config::new(Vec::new())
    };
    let sidecar = |own: usize| SidecarId(own as u32);
    let start = |world: &World, own: usize, listen: SocketAddr| {
        world.note(Event::SidecarStarted {
            sidecar: sidecar(own),
        });
        world.knows(
            own,
            &[(0, READY, 0), (1, READY, 0), (2, READY, 0), (3, READY, 0)],
        );
        world.knows_news(own, 1, 0, "Healthy", 1.0);
        PlatformProcess::start(&config(world, own, listen))
    };
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut all: Vec<PlatformProcess> = (0..ALL).map(|own| start(&world, own, free)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..3 * ALL).map(|n| {
        let own = n % ALL;
        world.client(
            (own, all[own].address),
            n as u64 + 1,
            Duration::from_secs(1),
            stop.clone(),
        )
    });
    let clients: Vec<_> = clients.collect();
    let pause = |ms| sleep(Duration::from_millis(ms));
    pause(300);
    let rough = Faults {
        errs: 0.05,
        turns_away: 0.1,
        closes: 0.05,
        spoilt: 0.05,
        silent: 0.02,
    };
    (0..4).for_each(|pod| world.fail(pod, rough));
    pause(500);

    world.note(Event::SidecarExited {
        sidecar: sidecar(0),
    });
    all[0].signal(Signal::KILL);
    all[0].wait_for_success();
    // Its clients notice before another process stands at its address.
    pause(300);
    all[0] = start(&world, 0, all[0].address);

    world.note(Event::SidecarDraining {
        sidecar: sidecar(1),
    });
    all[1].signal(Signal::TERM);
    assert!(all[1].wait_for_success());
    pause(300);
    world.note(Event::SidecarExited {
        sidecar: sidecar(1),
    });
    all[1] = start(&world, 1, all[1].address);

    world.note(Event::SidecarSuspended {
        sidecar: sidecar(2),
    });
    all[2].suspend();
    pause(400);
    all[2].signal(Signal::CONT);
    world.note(Event::SidecarResumed {
        sidecar: sidecar(2),
    });
    pause(300);

    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    list.extend((0..2).map(|_| (world.pod(2, true, Faults::default()), READY, now)));
    world.tell_news(2, 0, "Progressing", 0.5);
    (0..ALL).for_each(|own| world.tell_list(own, &list));
    pause(1200);
    list[0].1 = DRAINS;
    (0..ALL).for_each(|own| world.tell_list(own, &list));
    pause(1200);
    world.tell_news(2, 0, "Aborting", 0.0);
    pause(800);
    stop.store(true, Ordering::SeqCst);
    let delivered: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    assert!(delivered > 300, "only {delivered} hits were delivered");
    world.lines()
}

fn violated_rules(lines: &[RecordLine]) -> Vec<Rule> {
    let report = RuleChecker::new(lines).unwrap().report();
    report
        .violated_results()
        .map(|result| result.rule)
        .collect()
}

/// Puts something in right behind the first line that fits.
fn plant(
    lines: &[RecordLine],
    after: impl Fn(&RecordLine) -> bool,
    later: f64,
    what: impl Fn(&RecordLine) -> Vec<Event>,
) -> Vec<RecordLine> {
    let mut lines = lines.to_vec();
    let first = lines
        .iter()
        .find(|line| after(line))
        .expect("such a line")
        .clone();
    let at = first.at + Duration::from_secs_f64(later);
    let place = lines.partition_point(|line| line.at <= at);
    lines.splice(
        place..place,
        what(&first)
            .into_iter()
            .map(|event| RecordLine { at, event }),
    );
    lines
}

#[test]
fn a_rough_day_of_several_processes_keeps_the_five_rules() {
    let lines = rough_day();
    let report = RuleChecker::new(&lines).unwrap().report();
    assert!(
        report.violated_results().next().is_none(),
        "{:#?}",
        report.results
    );
    for (rule, result) in Rule::ALL.iter().zip(&report.results) {
        assert!(result.checked > 0, "nothing was held to rule {rule}");
    }

    let nobody = |n: usize| AttemptKey::new(RequestId(u64::MAX - n as u64), 0);
    let work = Duration::from_millis(10);
    let sent = move |pod: u32, n: usize| {
        let (pod, sidecar) = (PodId(pod), SidecarId(3));
        Event::AttemptArrived {
            pod,
            sidecar,
            attempt: nobody(n),
            class: 0,
            work,
        }
    };
    let answered = |line: &RecordLine| matches!(line.event, Event::Answered { .. });
    let twice = plant(&lines, answered, 0.0, |line| vec![line.event.clone()]);
    assert_eq!(violated_rules(&twice), [Rule::OneAnswer]);

    let pay = |line: &RecordLine| {
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
        violated_rules(&plant(&lines, pay, 0.0, again)),
        [Rule::NoEffectTwice]
    );

    let drained = |line: &RecordLine| matches!(&line.event, Event::EndpointsNotified { sidecar: SidecarId(3), draining, .. } if !draining.is_empty());
    assert_eq!(
        violated_rules(&plant(&lines, drained, 1.0, |_| vec![sent(0, 0)])),
        [Rule::Draining]
    );

    let cold = |line: &RecordLine| matches!(line.event, Event::PodStarted { pod: PodId(4), .. });
    // Before the news the sidecar's exposure counts as in the first stage: many sidecars share the sends.
    let crowd = |_: &RecordLine| (0..900).map(|n| sent(4, n)).collect();
    assert!(violated_rules(&plant(&lines, cold, 0.05, crowd)).contains(&Rule::SlowStart));

    let trial = |line: &RecordLine| matches!(line.event, Event::StageNotified { sidecar: SidecarId(3), build: 2, cap, .. } if cap > 0.0);
    let over = |_: &RecordLine| (0..200).map(|n| sent(5, n)).collect();
    assert!(violated_rules(&plant(&lines, trial, 1.1, over)).contains(&Rule::Exposure));
}
