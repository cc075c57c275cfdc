//! Tests of the request classification.

use limewing_http_proxy::request_classifier::target_path;
use rstest::rstest;

#[rstest]
#[case::query("/quotes/1?x=/y", "/quotes/1")]
#[case::absolute("http://a.example/quotes/1?x", "/quotes/1")]
#[case::authority_only("http://a.example", "/")]
#[case::uri_in_the_query("/to?url=http://b/c", "/to")]
fn the_path_of_a_request_target_is_extracted(#[case] target: &str, #[case] expected: &str) {
    assert_eq!(target_path(target), expected);
}
