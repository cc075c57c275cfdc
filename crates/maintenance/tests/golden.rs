//! Pins the bytes of maintenance: every kind of command in the replicated log, every kind of
//! message between sidecars and the leader, and the snapshot of a schedule with machines in every
//! phase. Each line of the files in `golden/` has the kind of an item and its bytes in hex. If
//! `GOLDEN_WRITE` is set, the tests rewrite the files before they read them.

use limewing_maintenance::{
    Command, DisruptionLimits, FleetSummary, FormatError, Identifier, ListConfig, Machine,
    MachinePhase, MaintenanceSchedule, Message, Window,
};
use limewing_test_support::golden::{assert_items, Item};
use std::collections::BTreeSet;

const LIST: Identifier = Identifier(0xfeed_f00d_0102_0304);

fn machine(number: u64) -> Machine {
    Machine {
        name: format!("m{number}"),
        zone: format!("z{}", number % 3),
        kind: format!("k{}", number % 2),
        capacity: 0.1 * (number + 1) as f64,
    }
}

fn config(name: &str, windows: Vec<Window>) -> ListConfig {
    ListConfig {
        name: name.into(),
        limits: DisruptionLimits {
            max_unavailable: 5,
            max_unavailable_per_zone: 300,
            max_unavailable_per_kind: 4,
            min_ready_fraction: 0.125,
            exclusive_pairs: vec![("m0".into(), "m4".into()), ("m1".into(), "m9".into())],
            max_rejection_rate: 0.05,
        },
        work_duration_ms: 1000,
        stall_timeout_ms: 70_000,
        windows,
        priority: 200,
        allowed_during_trials: true,
    }
}

fn observation() -> FleetSummary {
    FleetSummary {
        applied_index: 300,
        total_capacity: 12.3,
        ready_capacity: 11.1,
        zone_outage: false,
        release_on_trial: true,
        rejection_rate: 0.01,
    }
}

/// Returns the kind of a command as named in the golden file. The match is exhaustive, so a new
/// kind does not compile without a name.
fn command_kind(command: &Command) -> &'static str {
    match command {
        Command::CreateList { .. } => "create-list",
        Command::AddMachines { .. } => "add-machines",
        Command::ListKnown { .. } => "list-known",
        Command::PauseList { .. } => "pause-list",
        Command::ResumeList { .. } => "resume-list",
        Command::WithdrawList { .. } => "withdraw-list",
        Command::Observe { .. } => "observation",
        Command::Grant { .. } => "grant",
        Command::SidecarStarted { .. } => "sidecar-started",
        Command::SidecarGone { .. } => "sidecar-gone",
        Command::Drained { .. } => "drained",
        Command::WorkBegan { .. } => "work-began",
        Command::WorkEnded { .. } => "work-ended",
        Command::WarmedUp { .. } => "warmed-up",
        Command::RevokeGrant { .. } => "revoke-grant",
    }
}

const COMMAND_KINDS: usize = 15;

fn list_commands() -> Vec<Command> {
    let windows = vec![
        Window {
            start_ms: 5,
            end_ms: 1_700_000_000_000,
        },
        Window {
            start_ms: 7,
            end_ms: 9,
        },
    ];
    let without_limits = DisruptionLimits {
        max_unavailable: 1,
        ..DisruptionLimits::default()
    };
    let minimal = ListConfig {
        limits: without_limits,
        allowed_during_trials: false,
        ..config("", Vec::new())
    };
    vec![
        Command::CreateList {
            list: LIST,
            config: config("kernel", windows),
            machine_count: 1000,
        },
        Command::CreateList {
            list: Identifier(1),
            config: minimal,
            machine_count: 0,
        },
        Command::AddMachines {
            list: LIST,
            first: 200,
            machines: (0..3).map(machine).collect(),
        },
        Command::ListKnown { list: LIST },
        Command::PauseList { list: LIST },
        Command::ResumeList { list: LIST },
        Command::WithdrawList { list: LIST },
        Command::Observe {
            at_ms: 1_700_000_000_123,
            summary: observation(),
        },
        Command::Observe {
            at_ms: 0,
            summary: FleetSummary {
                zone_outage: true,
                release_on_trial: false,
                ..observation()
            },
        },
    ]
}

fn machine_commands() -> Vec<Command> {
    let grant = Identifier(300);
    vec![
        Command::Grant {
            list: LIST,
            machine: "m1".into(),
        },
        Command::SidecarStarted {
            name: "s1".into(),
            incarnation: u64::MAX,
        },
        Command::SidecarGone {
            name: "s1".into(),
            incarnation: 1,
        },
        Command::Drained { grant },
        Command::WorkBegan { grant },
        Command::WorkEnded {
            grant,
            succeeded: true,
        },
        Command::WorkEnded {
            grant,
            succeeded: false,
        },
        Command::WarmedUp { grant },
        Command::RevokeGrant { grant },
    ]
}

fn commands() -> Vec<Command> {
    [list_commands(), machine_commands()].concat()
}

#[test]
fn every_kind_of_command_keeps_its_bytes() {
    let commands = commands();
    let written: Vec<Item> = commands
        .iter()
        .map(|command| (command_kind(command), command.encode()))
        .collect();
    let kinds: BTreeSet<&str> = written.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), COMMAND_KINDS);
    let golden = assert_items(env!("CARGO_MANIFEST_DIR"), "commands.hex", &written);
    for (bytes, command) in golden.iter().zip(&commands) {
        assert_eq!(Command::decode(bytes).as_ref(), Ok(command));
        assert_eq!(
            Command::decode(bytes)
                .map(|command| command.encode())
                .as_ref(),
            Ok(bytes)
        );
        assert_eq!(
            Command::decode(&with_other_version(bytes)),
            Err(FormatError::Version)
        );
    }
}

/// Returns the kind of a message as named in the golden file. The match is exhaustive, so a new
/// kind does not compile without a name.
fn message_kind(message: &Message) -> &'static str {
    match message {
        Message::LeaseRequest { .. } => "lease-request",
        Message::LeaseResponse { .. } => "lease-response",
        Message::Leave { .. } => "leave",
        Message::Propose { .. } => "propose",
        Message::ChangeVote { .. } => "change-vote",
    }
}

const MESSAGE_KINDS: usize = 5;

fn messages() -> Vec<Message> {
    let drained = vec![Identifier(7), Identifier(300)];
    vec![
        Message::LeaseRequest {
            incarnation: u64::MAX,
            request: 300,
            applied_index: 299,
            drained,
            rejected_per_mille: 1000,
        },
        Message::LeaseRequest {
            incarnation: 1,
            request: 1,
            applied_index: 0,
            drained: Vec::new(),
            rejected_per_mille: 0,
        },
        Message::LeaseResponse {
            request: 300,
            commit_index: 70_000,
        },
        Message::Leave {
            incarnation: 1_700_000_000_123,
        },
        Message::Propose {
            command: Command::ListKnown { list: LIST }.encode(),
        },
        Message::ChangeVote {
            name: "s4".into(),
            is_voter: true,
        },
        Message::ChangeVote {
            name: "s4".into(),
            is_voter: false,
        },
    ]
}

#[test]
fn every_kind_of_message_keeps_its_bytes() {
    let messages = messages();
    let written: Vec<Item> = messages
        .iter()
        .map(|message| (message_kind(message), message.encode()))
        .collect();
    let kinds: BTreeSet<&str> = written.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), MESSAGE_KINDS);
    let golden = assert_items(env!("CARGO_MANIFEST_DIR"), "messages.hex", &written);
    for (bytes, message) in golden.iter().zip(&messages) {
        assert_eq!(Message::decode(bytes).as_ref(), Ok(message));
        assert_eq!(
            Message::decode(bytes)
                .map(|message| message.encode())
                .as_ref(),
            Ok(bytes)
        );
        assert_eq!(
            Message::decode(&with_other_version(bytes)),
            Err(FormatError::Version)
        );
    }
}

fn with_other_version(bytes: &[u8]) -> Vec<u8> {
    let mut other = bytes.to_vec();
    other[0] += 1;
    other
}

/// A schedule and the index of the last command applied to it.
#[derive(Default)]
struct Log {
    schedule: MaintenanceSchedule,
    index: u64,
}

impl Log {
    fn apply(&mut self, command: Command) -> Identifier {
        self.index += 1;
        self.schedule
            .apply(self.index, &command)
            .unwrap_or_else(|error| panic!("{command:?}: {error}"));
        Identifier(self.index)
    }

    fn start_sidecar(&mut self, name: &str, incarnation: u64) {
        self.apply(Command::SidecarStarted {
            name: name.into(),
            incarnation,
        });
    }

    fn create_list(&mut self, list: Identifier, config: ListConfig, machine_count: u16) {
        self.apply(Command::CreateList {
            list,
            config,
            machine_count,
        });
    }

    fn add_machines(&mut self, list: Identifier, numbers: std::ops::Range<u64>) {
        self.apply(Command::AddMachines {
            list,
            first: numbers.start as u16,
            machines: numbers.map(machine).collect(),
        });
    }

    fn observe(&mut self, at_ms: u64, ready_capacity: f64) {
        let summary = FleetSummary {
            total_capacity: 9.0,
            ready_capacity,
            ..observation()
        };
        self.apply(Command::Observe { at_ms, summary });
    }

    fn grant(&mut self, machine: &str) -> Identifier {
        self.apply(Command::Grant {
            list: LIST,
            machine: machine.into(),
        })
    }

    fn end_work(&mut self, grant: Identifier, succeeded: bool) {
        self.apply(Command::WorkEnded { grant, succeeded });
    }
}

/// Returns a schedule of two lists with machines in every phase. The second list is not complete.
fn schedule() -> MaintenanceSchedule {
    let mut log = Log::default();
    log.start_sidecar("s1", 5);
    log.start_sidecar("s2", 1_700_000_000_123);
    let windows = vec![Window {
        start_ms: 5,
        end_ms: 1_700_000_000_000,
    }];
    log.create_list(LIST, config("kernel", windows), 10);
    log.add_machines(LIST, 0..4);
    log.add_machines(LIST, 4..10);
    log.apply(Command::ListKnown { list: LIST });
    log.observe(1000, 9.0);
    let [granted, drained, working, done] = ["m1", "m2", "m3", "m5"].map(|name| log.grant(name));
    for grant in [drained, working, done] {
        log.apply(Command::Drained { grant });
    }
    for grant in [working, done] {
        log.apply(Command::WorkBegan { grant });
    }
    log.end_work(done, true);
    log.observe(71_001, 8.0);
    log.observe(71_003, 8.0);
    log.apply(Command::WarmedUp { grant: done });
    let [failed, warming_up] = ["m6", "m7"].map(|name| log.grant(name));
    log.apply(Command::Drained { grant: failed });
    log.end_work(failed, false);
    log.apply(Command::Drained { grant: warming_up });
    log.end_work(warming_up, true);
    let list = Identifier(4);
    log.create_list(list, config("", Vec::new()), 2);
    log.add_machines(list, 0..1);
    log.apply(Command::PauseList { list });
    log.apply(Command::WithdrawList { list });
    assert!(log
        .schedule
        .machine_with_grant(granted)
        .is_some_and(|(_, state)| state.phase == MachinePhase::Granted));
    log.schedule
}

fn phase_number(phase: MachinePhase) -> u8 {
    match phase {
        MachinePhase::Waiting => 0,
        MachinePhase::Granted => 1,
        MachinePhase::InMaintenance => 2,
        MachinePhase::WarmingUp => 3,
        MachinePhase::Done => 4,
        MachinePhase::Failed => 5,
    }
}

const PHASES: usize = 6;

#[test]
fn the_snapshot_keeps_its_bytes() {
    let schedule = schedule();
    let machines = || schedule.lists().values().flat_map(|list| &list.machines);
    let phases: BTreeSet<u8> = machines().map(|state| phase_number(state.phase)).collect();
    assert_eq!(phases.len(), PHASES);
    assert!(machines().any(|state| state.stalled) && machines().any(|state| state.work_began));
    let empty = MaintenanceSchedule::default();
    let written = [("empty", empty.encode()), ("schedule", schedule.encode())];
    let golden = assert_items(env!("CARGO_MANIFEST_DIR"), "snapshots.hex", &written);
    for (bytes, state) in golden.iter().zip([&empty, &schedule]) {
        assert_eq!(MaintenanceSchedule::decode(bytes).as_ref(), Some(state));
        assert_eq!(
            MaintenanceSchedule::decode(bytes)
                .map(|state| state.encode())
                .as_ref(),
            Some(bytes)
        );
    }
}
