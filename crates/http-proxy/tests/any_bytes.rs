//! Malformed responses of other services must neither cause a panic nor make the sidecar use unbounded memory.

use limewing_http_proxy::endpoint_list::parse_endpoint_list;
use limewing_http_proxy::stage_updates::StageEventReader;
use limewing_http_proxy::votes::parse_vote_response;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Concatenates fragments of valid messages in random order.
fn nearly_json() -> impl Strategy<Value = String> {
    let fragments = prop::sample::select(vec![
        "[",
        "]",
        "{",
        "}",
        ",",
        "\"Service\":",
        "\"Node\":{}",
        "\"ID\":\"a\"",
        "\"Port\":1",
        "\"Port\":99999",
        "\"Meta\":{\"build\":\"1\"}",
        "\"Weights\":{\"Passing\":-1}",
        "\"Address\":\"127.0.0.1\"",
        "null",
        "1e999",
        "data: ",
        "event: stage\n",
        "\n",
        "\n\n",
        "{\"build\":1,\"stage\":0,\"phase\":\"released\",\"cap\":1}",
        "{\"answer\":\"moot\"}",
    ]);
    prop::collection::vec(fragments, 0..16).prop_map(|fragments| fragments.concat())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn lists_votes_and_stage_updates_are_parsed_or_rejected(text in nearly_json(), chunk_size in 1_usize..20) {
        if let Ok(list) = parse_endpoint_list(text.as_bytes()) {
            prop_assert!(list.endpoints.iter().all(|record| record.weight > 0.0));
        }
        let _ = parse_vote_response(200, text.as_bytes());
        let mut reader = StageEventReader::default();
        for chunk in text.as_bytes().chunks(chunk_size) {
            if reader.read(chunk).is_err() {
                break;
            }
        }
    }
}
