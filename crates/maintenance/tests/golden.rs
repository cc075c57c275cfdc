//! Pins the bytes of maintenance: every kind of command in the replicated log, every kind of message
//! between sidecars and the leader, and the snapshot of the schedule with machines in every state.
//! The files in `golden/` have one item a line: its kind, and its bytes in hex. With `GOLDEN_WRITE`
//! set the tests write the files anew before they read them.

use limewing_maintenance::{
    Limits, Machine, Number, Seen, Step, Talk, Terms, Turns, Unreadable, Window, Word,
};
use std::collections::BTreeSet;
use std::path::Path;

type Item = (&'static str, Vec<u8>);

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Compares what the code writes with the golden file, kind by kind; returns the file's bytes.
fn assert_golden(file: &str, written: &[Item]) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        let line = |(kind, bytes): &Item| format!("{kind} {}\n", to_hex(bytes));
        std::fs::write(&path, written.iter().map(line).collect::<String>()).expect("it is written");
    }
    let text = std::fs::read_to_string(&path).expect("the golden file is there");
    let golden: Vec<(&str, Vec<u8>)> = text
        .lines()
        .map(|line| line.split_once(' ').expect("a kind and its bytes"))
        .map(|(kind, hex)| (kind, from_hex(hex)))
        .collect();
    assert_eq!(golden.len(), written.len(), "{file}: number of items");
    for ((golden_kind, golden_bytes), (kind, bytes)) in golden.iter().zip(written) {
        assert_eq!(golden_kind, kind, "{file}");
        assert_eq!(to_hex(golden_bytes), to_hex(bytes), "{file}: {kind}");
    }
    golden.into_iter().map(|(_, bytes)| bytes).collect()
}

const LIST: Number = Number(0xfeed_f00d_0102_0304);

fn machine(number: u64) -> Machine {
    Machine {
        name: format!("m{number}"),
        zone: format!("z{}", number % 3),
        kind: format!("k{}", number % 2),
        strength: 0.1 * (number + 1) as f64,
    }
}

fn config(name: &str, windows: Vec<Window>) -> Terms {
    Terms {
        name: name.into(),
        limits: Limits {
            out: 5,
            out_in_zone: 300,
            out_of_kind: 4,
            ready_part: 0.125,
            apart: vec![("m0".into(), "m4".into()), ("m1".into(), "m9".into())],
            turned_away: 0.05,
        },
        takes: 1000,
        stalls_after: 70_000,
        windows,
        priority: 200,
        beside_trials: true,
    }
}

fn observation() -> Seen {
    Seen {
        upto: 300,
        all: 12.3,
        ready: 11.1,
        trouble: false,
        trial: true,
        turned_away: 0.01,
    }
}

/// The name of a command's kind in the golden file; a new kind does not compile without one.
fn command_kind(command: &Word) -> &'static str {
    match command {
        Word::Ask { .. } => "create-list",
        Word::Machines { .. } => "add-machines",
        Word::Known { .. } => "list-known",
        Word::Hold { .. } => "pause-list",
        Word::GoOn { .. } => "resume-list",
        Word::Withdraw { .. } => "withdraw-list",
        Word::Seen { .. } => "observation",
        Word::Grant { .. } => "grant",
        Word::Here { .. } => "sidecar-started",
        Word::Gone { .. } => "sidecar-gone",
        Word::Out { .. } => "drained",
        Word::Began { .. } => "work-began",
        Word::Worked { .. } => "work-ended",
        Word::Warm { .. } => "warmed-up",
        Word::Recall { .. } => "revoke-grant",
    }
}

const COMMAND_KINDS: usize = 15;

fn commands() -> Vec<Word> {
    let grant = Number(300);
    let windows = vec![
        Window {
            from: 5,
            to: 1_700_000_000_000,
        },
        Window { from: 7, to: 9 },
    ];
    let without_limits = Limits {
        out: 1,
        ..Limits::default()
    };
    let plain = Terms {
        limits: without_limits,
        beside_trials: false,
        ..config("", Vec::new())
    };
    vec![
        Word::Ask {
            list: LIST,
            terms: config("kernel", windows),
            machines: 1000,
        },
        Word::Ask {
            list: Number(1),
            terms: plain,
            machines: 0,
        },
        Word::Machines {
            list: LIST,
            first: 200,
            machines: (0..3).map(machine).collect(),
        },
        Word::Known { list: LIST },
        Word::Hold { list: LIST },
        Word::GoOn { list: LIST },
        Word::Withdraw { list: LIST },
        Word::Seen {
            at: 1_700_000_000_123,
            seen: observation(),
        },
        Word::Seen {
            at: 0,
            seen: Seen {
                trouble: true,
                trial: false,
                ..observation()
            },
        },
        Word::Grant {
            list: LIST,
            machine: "m1".into(),
        },
        Word::Here {
            name: "s1".into(),
            start: u64::MAX,
        },
        Word::Gone {
            name: "s1".into(),
            start: 1,
        },
        Word::Out { grant },
        Word::Began { grant },
        Word::Worked { grant, well: true },
        Word::Worked { grant, well: false },
        Word::Warm { grant },
        Word::Recall { grant },
    ]
}

#[test]
fn every_kind_of_command_keeps_its_bytes() {
    let commands = commands();
    let written: Vec<Item> = commands
        .iter()
        .map(|command| (command_kind(command), command.write()))
        .collect();
    let kinds: BTreeSet<&str> = written.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), COMMAND_KINDS);
    let golden = assert_golden("commands.hex", &written);
    for (bytes, command) in golden.iter().zip(&commands) {
        assert_eq!(Word::read(bytes).as_ref(), Ok(command));
        assert_eq!(
            Word::read(bytes).map(|command| command.write()).as_ref(),
            Ok(bytes)
        );
        assert_eq!(
            Word::read(&of_another_version(bytes)),
            Err(Unreadable::Version)
        );
    }
}

/// The name of a message's kind in the golden file; a new kind does not compile without one.
fn message_kind(message: &Talk) -> &'static str {
    match message {
        Talk::Ask { .. } => "lease-request",
        Talk::Lease { .. } => "lease-response",
        Talk::Leaves { .. } => "leave",
        Talk::Settle { .. } => "propose",
        Talk::Vote { .. } => "change-vote",
    }
}

const MESSAGE_KINDS: usize = 5;

fn messages() -> Vec<Talk> {
    let clear = vec![Number(7), Number(300)];
    vec![
        Talk::Ask {
            start: u64::MAX,
            no: 300,
            read: 299,
            clear,
            turned_away: 1000,
        },
        Talk::Ask {
            start: 1,
            no: 1,
            read: 0,
            clear: Vec::new(),
            turned_away: 0,
        },
        Talk::Lease {
            no: 300,
            settled: 70_000,
        },
        Talk::Leaves {
            start: 1_700_000_000_123,
        },
        Talk::Settle {
            word: Word::Known { list: LIST }.write(),
        },
        Talk::Vote {
            name: "s4".into(),
            has: true,
        },
        Talk::Vote {
            name: "s4".into(),
            has: false,
        },
    ]
}

#[test]
fn every_kind_of_message_keeps_its_bytes() {
    let messages = messages();
    let written: Vec<Item> = messages
        .iter()
        .map(|message| (message_kind(message), message.write()))
        .collect();
    let kinds: BTreeSet<&str> = written.iter().map(|(kind, _)| *kind).collect();
    assert_eq!(kinds.len(), MESSAGE_KINDS);
    let golden = assert_golden("messages.hex", &written);
    for (bytes, message) in golden.iter().zip(&messages) {
        assert_eq!(Talk::read(bytes).as_ref(), Ok(message));
        assert_eq!(
            Talk::read(bytes).map(|message| message.write()).as_ref(),
            Ok(bytes)
        );
        assert_eq!(
            Talk::read(&of_another_version(bytes)),
            Err(Unreadable::Version)
        );
    }
}

fn of_another_version(bytes: &[u8]) -> Vec<u8> {
    let mut other = bytes.to_vec();
    other[0] += 1;
    other
}

/// Two lists whose machines stand at every step that there is; the second list waits for its parts.
fn schedule() -> Turns {
    let mut turns = Turns::default();
    let mut index = 0;
    let mut apply = |command: Word| {
        index += 1;
        turns
            .apply(index, &command)
            .unwrap_or_else(|why| panic!("{command:?}: {why}"));
        Number(index)
    };
    apply(Word::Here {
        name: "s1".into(),
        start: 5,
    });
    apply(Word::Here {
        name: "s2".into(),
        start: 1_700_000_000_123,
    });
    let windows = vec![Window {
        from: 5,
        to: 1_700_000_000_000,
    }];
    apply(Word::Ask {
        list: LIST,
        terms: config("kernel", windows),
        machines: 10,
    });
    apply(Word::Machines {
        list: LIST,
        first: 0,
        machines: (0..4).map(machine).collect(),
    });
    apply(Word::Machines {
        list: LIST,
        first: 4,
        machines: (4..10).map(machine).collect(),
    });
    apply(Word::Known { list: LIST });
    apply(Word::Seen {
        at: 1000,
        seen: Seen {
            all: 9.0,
            ready: 9.0,
            ..observation()
        },
    });
    let mut grant = |machine: &str| {
        apply(Word::Grant {
            list: LIST,
            machine: machine.into(),
        })
    };
    let [granted, drained, working, done] = ["m1", "m2", "m3", "m5"].map(&mut grant);
    for number in [drained, working, done] {
        apply(Word::Out { grant: number });
    }
    for number in [working, done] {
        apply(Word::Began { grant: number });
    }
    apply(Word::Worked {
        grant: done,
        well: true,
    });
    apply(Word::Seen {
        at: 71_001,
        seen: Seen {
            all: 9.0,
            ready: 8.0,
            ..observation()
        },
    });
    apply(Word::Seen {
        at: 71_003,
        seen: Seen {
            all: 9.0,
            ready: 8.0,
            ..observation()
        },
    });
    apply(Word::Warm { grant: done });
    let mut grant = |machine: &str| {
        apply(Word::Grant {
            list: LIST,
            machine: machine.into(),
        })
    };
    let [failed, back] = ["m6", "m7"].map(&mut grant);
    apply(Word::Out { grant: failed });
    apply(Word::Worked {
        grant: failed,
        well: false,
    });
    apply(Word::Out { grant: back });
    apply(Word::Worked {
        grant: back,
        well: true,
    });
    apply(Word::Ask {
        list: Number(4),
        terms: config("", Vec::new()),
        machines: 2,
    });
    apply(Word::Machines {
        list: Number(4),
        first: 0,
        machines: vec![machine(0)],
    });
    apply(Word::Hold { list: Number(4) });
    apply(Word::Withdraw { list: Number(4) });
    assert!(turns
        .of(granted)
        .is_some_and(|(_, way)| way.step == Step::Granted));
    turns
}

fn step_number(step: Step) -> u8 {
    match step {
        Step::Waits => 0,
        Step::Granted => 1,
        Step::Out => 2,
        Step::Back => 3,
        Step::Done => 4,
        Step::Failed => 5,
    }
}

const STEPS: usize = 6;

#[test]
fn the_snapshot_keeps_its_bytes() {
    let turns = schedule();
    let ways = || turns.lists().values().flat_map(|list| &list.ways);
    let steps: BTreeSet<u8> = ways().map(|way| step_number(way.step)).collect();
    assert_eq!(steps.len(), STEPS);
    assert!(ways().any(|way| way.stalled) && ways().any(|way| way.began));
    let empty = Turns::default();
    let written = [("empty", empty.write()), ("schedule", turns.write())];
    let golden = assert_golden("snapshots.hex", &written);
    for (bytes, state) in golden.iter().zip([&empty, &turns]) {
        assert_eq!(Turns::read(bytes).as_ref(), Some(state));
        assert_eq!(
            Turns::read(bytes).map(|state| state.write()).as_ref(),
            Some(bytes)
        );
    }
}
