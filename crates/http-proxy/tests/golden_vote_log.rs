//! Golden tests of the vote log: the file's name, its content after appending and replacing, that a torn tail is truncated,
//! and where a damaged file is moved. The consensus package has the golden tests of the records themselves;
//! `golden/vote_log.hex` and `golden/vote_log_compacted.hex` are copies of its `log.hex` and `log_compacted.hex`. Each line
//! is one record: its kind, and its bytes in hex.

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

fn decode_golden(text: &str) -> Vec<u8> {
    let hex = text
        .lines()
        .map(|line| line.split_once(' ').expect("a kind and bytes in hex").1);
    hex.flat_map(from_hex).collect()
}

fn records(bytes: &[u8]) -> Vec<Record> {
    read_log(bytes).expect("the golden log is valid").records
}

fn wait_until_durable(log: &mut VoteLog, number: u64) {
    let deadline = Instant::now() + TIMEOUT;
    while log.take_durable() != Some(number) {
        assert!(Instant::now() < deadline, "write {number} is not durable");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn read_log_file(folder: &Path) -> Vec<u8> {
    std::fs::read(folder.join("agree.log")).expect("the log file exists")
}

#[test]
fn appending_and_replacing_keep_the_file_format() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut log, recovered) = VoteLog::open(folder.path()).expect("the log opens");
    assert!(recovered.is_empty());
    let bytes = decode_golden(LOG);
    let records = records(&bytes);
    let (first, rest) = records.split_at(3);
    log.append(1, first);
    wait_until_durable(&mut log, 1);
    log.append(2, rest);
    wait_until_durable(&mut log, 2);
    assert!(log.is_idle());
    assert_eq!(read_log_file(folder.path()), bytes);
    let compacted = decode_golden(COMPACTED);
    log.replace(3, &self::records(&compacted));
    wait_until_durable(&mut log, 3);
    assert_eq!(read_log_file(folder.path()), compacted);
    // Records appended after a replacement follow the replaced content.
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
    assert_eq!(read_log_file(folder.path()), longer);
}

#[test]
fn a_log_of_an_earlier_process_is_read_and_its_torn_tail_truncated() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let bytes = decode_golden(LOG);
    let mut record = Vec::new();
    Record::Term {
        term: 99,
        voted_for: None,
    }
    .encode_into(&mut record);
    let torn = [&bytes[..], &record[..record.len() - 1]].concat();
    std::fs::write(folder.path().join("agree.log"), torn).expect("the file is written");
    let (mut log, recovered) = VoteLog::open(folder.path()).expect("the log opens");
    assert_eq!(recovered, records(&bytes));
    assert!(
        VoteLog::open(folder.path()).is_err(),
        "two handles opened the same folder"
    );
    log.append(
        1,
        &[Record::Term {
            term: 99,
            voted_for: None,
        }],
    );
    wait_until_durable(&mut log, 1);
    assert_eq!(read_log_file(folder.path()), [bytes, record].concat());
}

#[test]
fn a_damaged_log_is_moved_aside() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut damaged = decode_golden(LOG);
    damaged[20] ^= 1;
    std::fs::write(folder.path().join("agree.log"), &damaged).expect("the file is written");
    let (_log, recovered) = VoteLog::open(folder.path()).expect("the log opens");
    assert!(recovered.is_empty());
    assert_eq!(read_log_file(folder.path()), Vec::<u8>::new());
    assert_eq!(
        std::fs::read(folder.path().join("agree.damaged")).ok(),
        Some(damaged)
    );
}
