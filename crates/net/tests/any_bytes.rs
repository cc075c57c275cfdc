//! Property tests with random bytes that resemble HTTP: readers never panic, never exceed the body limit, and give the same
//! result however the input is split.

use bytes::BytesMut;
use limewing_net::message_reader::{RequestReader, ResponseReader};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_BODY: usize = 100;

/// HTTP fragments in any order, with occasional random bytes between them.
fn http_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let parts = prop::sample::select(vec![
        "GET / HTTP/1.1\r\n",
        "POST /a HTTP/1.0\r\n",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 100 Continue\r\n",
        "Host: a\r\n",
        "Content-Length: 5\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: close\r\n",
        "\r\n",
        "5\r\nhello\r\n",
        "0\r\n",
        "ffffffffffffffff\r\n",
        "hello",
        "\n",
        "\0",
        ": ",
    ]);
    let noise = prop::collection::vec(any::<u8>(), 0..20);
    let part = prop_oneof![8 => parts.prop_map(|text| text.as_bytes().to_vec()), 1 => noise];
    prop::collection::vec(part, 0..14).prop_map(|parts| parts.concat())
}

/// The result of reading an input: request targets and bodies, and the error that ended it.
#[derive(Debug)]
struct ReadRequests {
    requests: Vec<(String, Vec<u8>)>,
    error: Option<String>,
}

fn read_in_pieces(bytes: &[u8], piece_length: usize) -> ReadRequests {
    let mut reader = RequestReader::new(MAX_BODY);
    let mut input = BytesMut::new();
    let mut requests = Vec::new();
    for piece in bytes.chunks(piece_length) {
        input.extend_from_slice(piece);
        loop {
            match reader.take(&mut input, false) {
                Ok(Some((head, body))) => requests.push((head.target, body.to_vec())),
                Ok(None) => break,
                Err(error) => {
                    return ReadRequests {
                        requests,
                        error: Some(error.to_string()),
                    }
                }
            }
        }
    }
    ReadRequests {
        requests,
        error: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn requests_do_not_depend_on_how_input_is_split(bytes in http_like_bytes(), piece_length in 1_usize..50) {
        let whole = read_in_pieces(&bytes, 10_000);
        let split = read_in_pieces(&bytes, piece_length);
        prop_assert!(whole.requests.iter().all(|(_, body)| body.len() <= MAX_BODY));
        prop_assert_eq!(&whole.requests, &split.requests);
        prop_assert_eq!(whole.error.is_some(), split.error.is_some());
    }

    #[test]
    fn response_bodies_stay_within_the_limit(bytes in http_like_bytes()) {
        let mut reader = ResponseReader::new(MAX_BODY);
        let mut input = BytesMut::from(&bytes[..]);
        while let Ok(Some((_, body))) = reader.take(&mut input, true) {
            prop_assert!(body.len() <= MAX_BODY);
            if input.is_empty() {
                break;
            }
        }
    }
}
