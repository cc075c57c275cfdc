//! Tests how CI judges failing tests: only listed tests may fail, and every listed test must fail.

use crate::support::repository_file;
use rstest::rstest;
use std::process::Command;

const RED: &str = "test pods::red ... FAILED\ntest pods::green ... ok\n";
const GREEN: &str = "test pods::red ... ok\ntest pods::green ... ok\n";
const LINE: &str = "pods::red, the pod closes first, issue 7\n";

#[rstest]
#[case::green(GREEN, 0, None, true)]
#[case::no_lines(GREEN, 0, Some("# none\n\n"), true)]
#[case::red(RED, 101, None, false)]
#[case::listed(RED, 101, Some(LINE), true)]
#[case::another_is_listed(RED, 101, Some("pods::green, why, issue 7\n"), false)]
#[case::listed_and_passes(GREEN, 0, Some(LINE), false)]
#[case::listed_and_not_run("test pods::green ... ok\n", 0, Some(LINE), false)]
#[case::part_of_a_name("test pods::red_too ... FAILED\n", 101, Some(LINE), false)]
#[case::no_cause(RED, 101, Some("pods::red\n"), false)]
#[case::too_many(RED, 101, Some("pods::red, a, b\nx, a, b\ny, a, b\nz, a, b\n"), false)]
#[case::crash(
    "test pods::red ... FAILED\nprocess didn't exit successfully (signal: 6, SIGABRT)\n",
    101,
    Some(LINE),
    false
)]
#[case::no_build("error: could not compile\n", 101, None, false)]
#[case::nothing_named("", 101, None, false)]
fn only_listed_tests_may_fail(
    #[case] log: &str,
    #[case] code: i32,
    #[case] known: Option<&str>,
    #[case] passes: bool,
) {
    let folder = tempfile::tempdir().unwrap();
    let (log_file, list) = (
        folder.path().join("log"),
        folder.path().join("KNOWN-RED.txt"),
    );
    std::fs::write(&log_file, log).unwrap();
    known
        .into_iter()
        .for_each(|known| std::fs::write(&list, known).unwrap());
    let mut judge = Command::new("bash");
    judge
        .arg(repository_file(".ci/judge-tests"))
        .arg(log_file)
        .arg(code.to_string())
        .arg(list);
    let output = judge.output().unwrap();
    assert_eq!(output.status.success(), passes, "{output:?}");
    if passes && known == Some(LINE) {
        assert!(String::from_utf8_lossy(&output.stdout).contains(LINE.trim()));
    }
}
