//! Golden tests of the simulator's wire protocol: every kind of record that is read, every action that is written, and the
//! JSON of a start record. The files in `golden/` were generated on 2026-12-02. Set `GOLDEN_WRITE` to regenerate them after
//! an intended change of the protocol.

use limewing_decision::interface::{
    Action, AttemptIndex, AttemptOutcome, BuildId, Control, DeduplicationScope, Endpoint, Event,
    Idempotency, Phase, PodId, PodState, RequestClass, RequestId, StageIndex, StageUpdate, Verdict,
    VoteAnswer,
};
use limewing_simulator_protocol::{
    read_batch, sidecar_config, socket_settings, EndpointUpdateKind, Record, Reply,
};
use limewing_test_support::golden;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

fn golden_path(name: &str) -> PathBuf {
    Path::new(PACKAGE).join("tests/golden").join(name)
}

fn assert_golden(name: &str, actual: &str) {
    assert_eq!(golden::read(PACKAGE, name, actual), actual, "{name}");
}

/// Builds the bytes of records and frames as the simulator does.
#[derive(Default)]
struct Bytes(Vec<u8>);

impl Bytes {
    fn record(code: u16) -> Self {
        Self::default().u16(code)
    }

    fn raw(mut self, bytes: &[u8]) -> Self {
        self.0.extend_from_slice(bytes);
        self
    }

    fn u8(self, value: u8) -> Self {
        self.raw(&[value])
    }

    fn u16(self, value: u16) -> Self {
        self.raw(&value.to_le_bytes())
    }

    fn u32(self, value: u32) -> Self {
        self.raw(&value.to_le_bytes())
    }

    fn u64(self, value: u64) -> Self {
        self.raw(&value.to_le_bytes())
    }

    fn f32(self, value: f32) -> Self {
        self.raw(&value.to_le_bytes())
    }

    fn f64(self, value: f64) -> Self {
        self.raw(&value.to_le_bytes())
    }

    fn pod(self, pod: u64) -> Self {
        self.raw(&pod.to_le_bytes()[..6])
    }

    fn endpoint_row(self, pod: u64, state: u8, started: f64) -> Self {
        let (machine_type, build, weight, cell, zone) = (7, 12.0, 0.75, 515, 2);
        self.u8(machine_type)
            .u8(state)
            .f32(build)
            .f32(weight)
            .f64(started)
            .u16(cell)
            .pod(pod)
            .u16(zone)
    }
}

/// Encodes one frame with these records.
fn frame(records: &[Bytes]) -> Vec<u8> {
    let mut body = Bytes::default()
        .f64(1000.25)
        .u32(records.len() as u32)
        .u32(12);
    for record in records {
        body = body.raw(&record.0);
    }
    let length = body.0.len() as u32;
    Bytes::default().u32(length).raw(&body.0).0
}

const POD: u64 = 0x1f43_074a_120a;
const REQUEST: u64 = 0x000a_7d0c_5d3a_91c4;

/// A batch for each kind of record that the simulator writes, with its label in `golden/batches.hex`.
fn batches() -> Vec<(&'static str, Vec<u8>)> {
    let update = |kind, table| Bytes::record(259).u8(kind).u32(44).u16(table);
    let stage = |phase, answer, voted| {
        let record = Bytes::record(258).f32(0.25).u8(phase).u16(9).f64(1.5);
        record.u8(2).u16(answer).u8(voted)
    };
    let finished = |outcome, over| {
        let record = Bytes::record(262).u64(REQUEST).pod(POD).u8(over).f64(0.075);
        record.u16(outcome).u16(3).u8(2).raw(&[1; 8])
    };
    let request = |key| {
        let record = Bytes::record(269).u64(REQUEST).u16(4).u32(100).u64(key);
        record.f64(1001.5).f64(0.125).u8(1)
    };
    let endpoint_table = Bytes::record(265).u16(5).u32(3);
    let endpoint_table = endpoint_table
        .endpoint_row(POD, 1, 900.5)
        .endpoint_row(2, 2, 0.0)
        .endpoint_row(3, 0, 1000.125);
    let settings = br#"{"balancers":1}"#;
    let start = Bytes::record(270).u64(0x8c1f_30d2_7a5b_e964);
    let start = start.u32(settings.len() as u32).raw(settings);
    let health_check = Bytes::record(257).pod(POD).u16(13).f64(0.5);
    let tally = Bytes::record(264).f64(1.0).u16(3).f64(0.25).u32(9).u16(1);
    vec![
        ("empty", frame(&[])),
        ("switch_to", frame(&[Bytes::record(263).u32(3)])),
        ("inventory", frame(&[endpoint_table])),
        ("power_on", frame(&[start])),
        ("halt", frame(&[Bytes::record(268)])),
        (
            "list_news",
            frame(&[update(0, 5), update(1, 6), update(2, 7), update(3, 0)]),
        ),
        ("request", frame(&[request(77), request(0)])),
        (
            "outcome",
            frame(
                &[0, 13, 8, 4, 14, 10, 1, 9]
                    .map(|outcome| finished(outcome, u8::from(outcome == 0))),
            ),
        ),
        (
            "stage",
            frame(&[0, 1, 2, 3].map(|phase| stage(phase, 0, 0))),
        ),
        (
            "vote_answer",
            frame(&[0, 9, 8, 13, 4].map(|answer| stage(0, answer, 1))),
        ),
        (
            "flagged",
            frame(&[Bytes::record(260).pod(POD).u16(4).f64(0.5)]),
        ),
        ("left", frame(&[Bytes::record(266).u64(REQUEST)])),
        (
            "stream_started",
            frame(&[Bytes::record(267).u64(REQUEST).u16(0).pod(POD).f64(0.5)]),
        ),
        (
            "unused",
            frame(&[
                Bytes::record(256).u64(8),
                health_check.u8(1).raw(&[0; 4]),
                Bytes::record(261).u32(2).u16(3).raw(b"abc"),
                tally.u32(1),
            ]),
        ),
    ]
}

fn micros(duration: Duration) -> u128 {
    duration.as_micros()
}

fn describe_row(row: &Endpoint) -> String {
    let state = match row.state {
        PodState::Gone => 0,
        PodState::Ready => 1,
        PodState::Draining => 2,
    };
    let started = row
        .started_at
        .map_or("-".into(), |at| micros(at).to_string());
    format!(
        "(pod {} state {state} build {} size {} started {started} zone {} cell {} kind {})",
        row.pod.0, row.build.0, row.weight, row.zone.0, row.cell.0, row.machine_type.0
    )
}

fn describe_event(event: &Event) -> String {
    match event {
        Event::RequestArrived(request) => format!(
            "request {} class {} tenant {:?} key {:?} due {}",
            request.id.0,
            request.class.0,
            request.tenant.map(|tenant| tenant.0),
            request.routing_key.map(|key| key.0),
            micros(request.deadline)
        ),
        Event::AttemptFinished(result) => {
            let outcome = match result.outcome {
                AttemptOutcome::Succeeded => 0,
                AttemptOutcome::Cancelled => 1,
                AttemptOutcome::TimedOut => 4,
                AttemptOutcome::Rejected => 8,
                AttemptOutcome::NeverSent => 9,
                AttemptOutcome::ConnectionReset => 10,
                AttemptOutcome::Failed => 13,
                AttemptOutcome::ConnectFailed => 14,
            };
            format!(
                "outcome {outcome} of request {} attempt {} pod {} after {} over {}",
                result.request.0,
                result.attempt.0,
                result.pod.0,
                micros(result.duration),
                result.request_closed
            )
        }
        Event::StreamStarted { request } => format!("stream of request {}", request.0),
        Event::ClientDisconnected(request) => format!("left {}", request.0),
        Event::Flagged { pod, class } => format!("flagged pod {} class {}", pod.0, class.0),
        Event::Stage {
            update,
            vote_answer,
        } => {
            let update = update.map_or("-".into(), |update| describe_stage(&update));
            let answer = vote_answer.map(|answer| match answer {
                VoteAnswer::Counted => 0,
                VoteAnswer::Unanswered => 4,
                VoteAnswer::Full => 8,
                VoteAnswer::Moot => 9,
                VoteAnswer::Failed => 13,
            });
            format!("stage {update} answer {answer:?}")
        }
        Event::Endpoints(_) | Event::Fleet(_) | Event::KeyServed(..) | Event::RequestUnknown(_) => {
            "not an event of this protocol".into()
        }
    }
}

fn describe_stage(update: &StageUpdate) -> String {
    let phase = match update.phase {
        Phase::OnTrial => 0,
        Phase::RollingBack => 1,
        Phase::Released => 2,
        Phase::RolledBack => 3,
    };
    format!(
        "(build {} stage {} phase {phase} cap {} age {})",
        update.build.0,
        update.stage.0,
        update.cap,
        micros(update.age)
    )
}

fn describe_record(record: &Record) -> String {
    match record {
        Record::SelectInstance(instance) => format!("instance {instance}"),
        Record::EndpointTable { table, rows } => {
            let rows: Vec<String> = rows.iter().map(describe_row).collect();
            format!("table {table} {}", rows.join(" "))
        }
        Record::Start {
            seed,
            settings,
            offset,
        } => {
            let settings = String::from_utf8_lossy(settings);
            format!("start seed {seed:016x} options {settings} at byte {offset}")
        }
        Record::Stop => "halt".into(),
        Record::EndpointUpdate {
            kind,
            table,
            offset,
        } => {
            let kind = match kind {
                EndpointUpdateKind::Delta => 0,
                EndpointUpdateKind::Snapshot => 1,
                EndpointUpdateKind::Cached => 2,
                EndpointUpdateKind::WatchLost => 3,
            };
            format!("list {kind} table {table} at byte {offset}")
        }
        Record::Event(event) => describe_event(event),
        Record::Ignored => "unused".into(),
    }
}

#[test]
fn record_encodings_match_the_golden_file() {
    let mut encoded = String::new();
    for (name, bytes) in batches() {
        writeln!(encoded, "{name} {}", golden::to_hex(&bytes)).unwrap();
    }
    assert_golden("batches.hex", &encoded);
}

#[test]
fn decoded_records_match_the_golden_file() {
    let file = std::fs::read_to_string(golden_path("batches.hex")).unwrap();
    let mut decoded = String::new();
    for line in file.lines() {
        let (name, hex) = line.split_once(' ').unwrap();
        let batch = read_batch(&mut &golden::from_hex(hex)[..])
            .unwrap()
            .unwrap();
        assert_eq!((batch.number, micros(batch.now)), (12, 1_000_250_000));
        writeln!(decoded, "{name}").unwrap();
        for record in &batch.records {
            writeln!(decoded, "    {}", describe_record(record)).unwrap();
        }
    }
    assert_golden("batches.txt", &decoded);
}

/// Each kind of action, with its label in `golden/replies.hex`.
fn actions() -> Vec<(&'static str, Action)> {
    let (request, pod) = (RequestId(REQUEST), PodId(POD));
    let vote = |verdict| Action::Vote {
        verdict,
        build: BuildId(513),
        stage: StageIndex(2),
    };
    let at = Duration::from_micros(1_000_270_125);
    let attempt = AttemptIndex(258);
    let timeout = Duration::from_millis(80);
    let retry_after = Duration::from_micros(250_001);
    vec![
        (
            "forward",
            Action::StartAttempt {
                request,
                pod,
                timeout,
            },
        ),
        ("cancel", Action::CancelAttempt { request, attempt }),
        (
            "bounce",
            Action::Reject {
                request,
                retry_after,
            },
        ),
        ("fail", Action::Fail { request }),
        ("vote_abstain", vote(Verdict::Abstain)),
        ("vote_on", vote(Verdict::Promote)),
        ("vote_hold", vote(Verdict::Hold)),
        ("vote_back", vote(Verdict::RollBack)),
        ("watch", Action::WatchEndpoints),
        ("wake", Action::WakeAt { at }),
        ("log", Action::Log("a line, in UTF-8: ü".into())),
    ]
}

fn encode_reply(mut reply: Reply) -> Vec<u8> {
    let mut out = Vec::new();
    reply.write_to(12, &mut out).unwrap();
    out
}

#[test]
fn action_encodings_match_the_golden_file() {
    let mut encoded = String::new();
    let mut all = Reply::default();
    for (name, action) in actions() {
        let mut reply = Reply::default();
        reply.push_action(&action);
        writeln!(encoded, "{name} {}", golden::to_hex(&encode_reply(reply))).unwrap();
        all.select_instance(encoded.len() as u32);
        all.push_action(&action);
    }
    let mut fault = Reply::default();
    fault.push_fault("record is cut short at byte 3 of the frame");
    writeln!(encoded, "fault {}", golden::to_hex(&encode_reply(fault))).unwrap();
    writeln!(
        encoded,
        "empty {}",
        golden::to_hex(&encode_reply(Reply::default()))
    )
    .unwrap();
    writeln!(
        encoded,
        "many_instances {}",
        golden::to_hex(&encode_reply(all))
    )
    .unwrap();
    assert_golden("replies.hex", &encoded);
}

#[test]
fn a_long_text_is_truncated_at_a_character_boundary() {
    let mut reply = Reply::default();
    reply.push_action(&Action::Log("ü".repeat(40_000)));
    let out = encode_reply(reply);
    assert_eq!(out[12..16], [2, 1, 0xfe, 0xff]);
    assert_eq!(out.len(), 16 + 65_534);
}

fn describe_settings(json: &[u8]) -> String {
    let config = sidecar_config(0x8c1f_30d2_7a5b_e964, json).unwrap();
    let sockets = socket_settings(json).unwrap();
    let mut text = String::new();
    let mut line = |name: &str, value: String| writeln!(text, "{name}: {value}").unwrap();
    line("seed", format!("{:016x}", config.seed));
    line("balancers", config.sidecar_count.to_string());
    line("me", config.sidecar_index.to_string());
    line("zone", config.zone.0.to_string());
    for class in &config.classes {
        line("profile", describe_class(class));
    }
    line("list on request", config.watch_on_request.to_string());
    line("list pushed", config.endpoints_pushed.to_string());
    line(
        "list lease",
        format!("{:?}", config.endpoint_lease.map(micros)),
    );
    line("cancel", config.cancellation.to_string());
    line("second copies", config.hedging.to_string());
    line(
        "retry after",
        format!("{:?}", config.retry_after.map(micros)),
    );
    line("max attempts", config.max_attempts.to_string());
    let safety = &config.safety;
    line(
        "stop sending within",
        micros(safety.drain_grace).to_string(),
    );
    line("cold from", safety.slow_start_from.to_string());
    line("cold", micros(safety.slow_start_duration).to_string());
    line("fall multiple", safety.overload_multiple.to_string());
    line("fall", micros(safety.overload_window).to_string());
    let rollout = &config.rollout;
    line(
        "gate mode by clock",
        (rollout.control == Control::Clock).to_string(),
    );
    line("stage share", format!("{:?}", rollout.stage_shares));
    line("most shares", format!("{:?}", rollout.exposure_caps));
    line("span", micros(rollout.exposure_window).to_string());
    line("uncounted", rollout.exposure_free.to_string());
    line("counted by class", rollout.exposure_per_class.to_string());
    line("shielded", rollout.guarded_stages.to_string());
    line("keys stay", rollout.sticky_keys.to_string());
    line("vote ttl", micros(rollout.vote_ttl).to_string());
    line("api timeout", micros(rollout.vote_timeout).to_string());
    line("votes to revert", rollout.rollback_quorum.to_string());
    line("votes to hold", rollout.hold_quorum.to_string());
    line("ayes needed", rollout.promote_quorum.to_string());
    line("vote allowance", format!("{:?}", rollout.vote_rate_limit));
    line("class names", sockets.classes.join(","));
    line("realm names", sockets.tenants.join(","));
    line("azs", sockets.zones.join(","));
    line("shapes", sockets.machine_types.join(","));
    line(
        "connect timeout",
        micros(sockets.connect_timeout).to_string(),
    );
    line("idle close", micros(sockets.idle_timeout).to_string());
    text
}

fn describe_class(class: &RequestClass) -> String {
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => "free".to_owned(),
        Idempotency::NonIdempotent => "single_shot".to_owned(),
        Idempotency::Keyed {
            deduplicated_by,
            window,
        } => {
            let scope = match deduplicated_by {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Cell => "cell",
            };
            format!("guarded {scope} {}", micros(window))
        }
    };
    format!(
        "{idempotency}, target {} deadline {} worth {} late worth {} streaming {}",
        micros(class.latency_objective),
        micros(class.client_timeout),
        class.priority_weight,
        class.late_weight,
        class.streaming
    )
}

#[test]
fn decoded_start_settings_match_the_golden_files() {
    for (from, to) in [
        ("start.json", "start.txt"),
        ("start_defaults.json", "start_defaults.txt"),
    ] {
        let json = std::fs::read(golden_path(from)).unwrap();
        assert_golden(to, &describe_settings(&json));
    }
}
