//! Tests the messages on the stream of the rollout service, and its replies to votes.

use limewing_decision::interface::VoteAnswer;
use limewing_emulators::platform::rollout_state_json;
use limewing_postgres_proxy::line_codec::LineReader;
use limewing_postgres_proxy::rollout_messages::{parse_message, parse_vote_reply, RolloutMessage};
use proptest::prelude::{any, prop};
use proptest::proptest;
use rstest::rstest;

#[rstest]
#[case::counted(200, rollout_state_json(2, 1, "Progressing", 0.3), VoteAnswer::Counted)]
#[case::incomplete(200, "{\"Revision\":2,".into(), VoteAnswer::Unanswered)]
#[case::full(429, String::new(), VoteAnswer::Full)]
#[case::moot(409, String::new(), VoteAnswer::Moot)]
#[case::failed(500, String::new(), VoteAnswer::Failed)]
#[case::refused(400, String::new(), VoteAnswer::Failed)]
fn reply_to_a_vote_is_parsed(
    #[case] status: u16,
    #[case] body: String,
    #[case] answer: VoteAnswer,
) {
    assert_eq!(parse_vote_reply(status, body.as_bytes()).answer, answer);
}

#[test]
fn stream_lines_are_parsed_by_type() {
    let report = r#"{"type":"report","object":{"InstanceId":"p1","Lane":"basket","AgeMs":1200}}"#;
    assert!(
        matches!(parse_message(report.as_bytes()), Ok(RolloutMessage::WrongAnswer(parsed)) if parsed.class == "basket")
    );
    assert_eq!(parse_message(b"{}").unwrap(), RolloutMessage::Ignored);
    assert!(parse_message(b"{\"type\":\"news\"}").is_err() && parse_message(b"<html>").is_err());
}

proptest! {
    /// Arbitrary bytes from a service cause no panic.
    #[test]
    fn arbitrary_bytes_are_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut reader = LineReader::new(50);
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunked = [&head[..], format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat();
        for input in [&bytes[..], &chunked] {
            for line in reader.read(&mut input.into()).items {
                let _ = parse_message(&line);
            }
        }
    }
}
