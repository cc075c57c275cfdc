//! Tests of parsing stage updates and vote replies of the rollout service.

use limewing_decision::interface::VoteAnswer;
use limewing_decision::LatestStage;
use limewing_http_proxy::stage_updates::{StageEventReader, StageMessage, StagePhase};
use limewing_http_proxy::votes::parse_vote_response;
use rstest::rstest;

#[test]
fn a_stage_message_is_parsed_from_single_bytes() {
    let text =
        ": ping\n\nevent: other\ndata: {}\n\nevent: stage\r\ndata: {\"build\":2,\"stage\":1,\r\n\
        data: \"phase\":\"on_trial\",\"cap\":0.4}\r\n\r\n";
    let mut reader = StageEventReader::default();
    let messages: Vec<_> = text
        .bytes()
        .flat_map(|byte| reader.read(&[byte]).unwrap())
        .collect();
    assert_eq!(messages.len(), 1);
    assert_eq!(
        (messages[0].build, messages[0].stage, messages[0].cap),
        (2, 1, 0.4)
    );
}

#[rstest]
#[case::not_a_stage_message("data: {\"build\": 99999}\n\n")]
#[case::endless_line(&"x".repeat(20_000))]
fn a_malformed_stream_is_rejected(#[case] text: &str) {
    assert!(StageEventReader::default().read(text.as_bytes()).is_err());
}

fn message(number: u64, cap: f64) -> StageMessage {
    StageMessage {
        number,
        build: 2,
        stage: 0,
        phase: StagePhase::OnTrial,
        cap,
        age_ms: 0.0,
    }
}

/// `numbers` are the numbers of consecutive messages, `expected` is whether each one is accepted.
#[rstest]
#[case::in_order(&[1, 2, 3], &[true, true, true])]
#[case::repeated(&[2, 2], &[true, true])]
#[case::late_reply(&[1, 3, 2, 3], &[true, true, false, true])]
#[case::not_numbered(&[0, 0], &[true, true])]
fn outdated_messages_are_dropped(#[case] numbers: &[u64], #[case] expected: &[bool]) {
    let mut latest = LatestStage::default();
    let accepted: Vec<bool> = numbers
        .iter()
        .map(|number| {
            latest
                .accept(message(*number, 0.5).to_update(None))
                .is_some()
        })
        .collect();
    assert_eq!(accepted, expected);
}

#[rstest]
#[case::counted(200, r#"{"answer": "counted"}"#, VoteAnswer::Counted)]
#[case::moot(200, r#"{"answer": "moot"}"#, VoteAnswer::Moot)]
#[case::not_json(200, "thanks", VoteAnswer::Failed)]
#[case::too_many_votes(429, "", VoteAnswer::Full)]
#[case::server_error(500, "", VoteAnswer::Failed)]
fn a_vote_reply_is_parsed(#[case] status: u16, #[case] body: &str, #[case] expected: VoteAnswer) {
    assert_eq!(
        parse_vote_response(status, body.as_bytes()).answer,
        expected
    );
}
