//! Pins the voter's log file: its name in the folder, what appending and replacing leave in it, that
//! a torn tail is cut off, and where a damaged file is moved. The records' own bytes are pinned in the
//! consensus package; `golden/vote_log.hex` and `golden/vote_log_compacted.hex` are copies of its
//! `log.hex` and `log_compacted.hex` (one record a line: its kind, and its bytes in hex).

use limewing_consensus::{read_log, Record};
use limewing_http_proxy::vote_log::VoteLog;
use std::path::Path;
use std::time::{Duration, Instant};

const LOG: &str = include_str!("golden/vote_log.hex");
const COMPACTED: &str = include_str!("golden/vote_log_compacted.hex");
const TIMEOUT: Duration = Duration::from_secs(10);

fn from_hex(text: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

fn golden(text: &str) -> Vec<u8> {
    let hex = text
        .lines()
        .map(|line| line.split_once(' ').expect("a kind and its bytes").1);
    hex.flat_map(from_hex).collect()
}

fn records(bytes: &[u8]) -> Vec<Record> {
    read_log(bytes).expect("the golden log is sound").records
}

fn wait_until_durable(log: &mut VoteLog, number: u64) {
    let until = Instant::now() + TIMEOUT;
    while log.take_durable() != Some(number) {
        assert!(Instant::now() < until, "write {number} is not durable");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn file(folder: &Path) -> Vec<u8> {
    std::fs::read(folder.join("agree.log")).expect("the log file is there")
}

#[test]
fn appending_and_replacing_keep_the_file_format() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, found) = VoteLog::open(folder.path()).expect("it opens");
    assert!(found.is_empty());
    let bytes = golden(LOG);
    let records = records(&bytes);
    let (first, rest) = records.split_at(3);
    log.append(1, first);
    wait_until_durable(&mut log, 1);
    log.append(2, rest);
    wait_until_durable(&mut log, 2);
    assert!(log.is_idle());
    assert_eq!(file(folder.path()), bytes);
    let compacted = golden(COMPACTED);
    log.replace(3, &self::records(&compacted));
    wait_until_durable(&mut log, 3);
    assert_eq!(file(folder.path()), compacted);
    // Records appended after a replacement go behind it.
    let last = Record::Truncate { from_index: 2 };
    let term = Record::Term {
        term: 99,
        voted_for: None,
    };
    let mut longer = compacted;
    last.encode_into(&mut longer);
    term.encode_into(&mut longer);
    log.append(4, &[last, term]);
    wait_until_durable(&mut log, 4);
    assert_eq!(file(folder.path()), longer);
}

#[test]
fn an_earlier_process_log_is_read_and_its_torn_tail_cut_off() {
    let folder = tempfile::tempdir().expect("a folder");
    let bytes = golden(LOG);
    let mut record = Vec::new();
    Record::Term {
        term: 99,
        voted_for: None,
    }
    .encode_into(&mut record);
    let torn = [&bytes[..], &record[..record.len() - 1]].concat();
    std::fs::write(folder.path().join("agree.log"), torn).expect("it is written");
    let (mut log, found) = VoteLog::open(folder.path()).expect("it opens");
    assert_eq!(found, records(&bytes));
    assert!(
        VoteLog::open(folder.path()).is_err(),
        "only one process may use it"
    );
    log.append(
        1,
        &[Record::Term {
            term: 99,
            voted_for: None,
        }],
    );
    wait_until_durable(&mut log, 1);
    assert_eq!(file(folder.path()), [bytes, record].concat());
}

#[test]
fn a_damaged_log_is_moved_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut damaged = golden(LOG);
    damaged[20] ^= 1;
    std::fs::write(folder.path().join("agree.log"), &damaged).expect("it is written");
    let (_log, found) = VoteLog::open(folder.path()).expect("it opens");
    assert!(found.is_empty());
    assert_eq!(file(folder.path()), Vec::<u8>::new());
    assert_eq!(
        std::fs::read(folder.path().join("agree.damaged")).ok(),
        Some(damaged)
    );
}
