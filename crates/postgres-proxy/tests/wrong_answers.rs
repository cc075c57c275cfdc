//! Tests that wrong answers reported on two streams count once.

use limewing_postgres_proxy::wrong_answers::{WrongAnswer, WrongAnswerLog};
use std::time::Duration;

/// While the stream from the former address is open beside the new one, both report a wrong answer,
/// which counts once. Two equal reports on one stream count twice.
#[test]
fn wrong_answer_from_two_streams_counts_once() {
    let report = |pod: &str| WrongAnswer {
        host: pod.into(),
        class: "look".into(),
        age_ms: 0.0,
    };
    let ms = |ms| Duration::from_millis(ms);
    let mut reports = WrongAnswerLog::default();
    assert!(reports.record("old", &report("p1"), ms(1000), ms(2000)));
    assert!(reports.record("old", &report("p1"), ms(1001), ms(2001)));
    assert!(reports.record("new", &report("p2"), ms(1000), ms(2002)));
    assert!(reports.record("new", &report("p1"), ms(1500), ms(2003)));
    assert!(!reports.record("new", &report("p1"), ms(1003), ms(2004)));
    assert!(!reports.record("new", &report("p1"), ms(1003), ms(2004)));
    assert!(reports.record("new", &report("p1"), ms(1003), ms(2005)));
}
