//! Whatever comes in: no panic, no more held than allowed, and the same however it is cut.

use bytes::BytesMut;
use limewing_net::message_reader::{RequestReader, ResponseReader};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MOST: usize = 100;

/// Bytes that are nearly HTTP.
fn nearly() -> impl Strategy<Value = Vec<u8>> {
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

/// What is read when the bytes come in pieces of so many: targets and bodies, and the trouble that ended it.
fn requests(bytes: &[u8], piece: usize) -> (Vec<(String, Vec<u8>)>, Option<String>) {
    let (mut reader, mut input, mut found) =
        (RequestReader::new(MOST), BytesMut::new(), Vec::new());
    for piece in bytes.chunks(piece) {
        input.extend_from_slice(piece);
        loop {
            match reader.take(&mut input, false) {
                Ok(Some((head, body))) => found.push((head.target, body.to_vec())),
                Ok(None) => break,
                Err(why) => return (found, Some(why.to_string())),
            }
        }
    }
    (found, None)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn requests_are_the_same_however_they_are_cut(bytes in nearly(), piece in 1_usize..50) {
        let (whole, cut) = (requests(&bytes, 10_000), requests(&bytes, piece));
        prop_assert!(whole.0.iter().all(|(_, body)| body.len() <= MOST));
        prop_assert_eq!(&whole.0, &cut.0);
        prop_assert_eq!(whole.1.is_some(), cut.1.is_some());
    }

    #[test]
    fn answers_end_in_words_or_trouble(bytes in nearly()) {
        let (mut reader, mut input) = (ResponseReader::new(MOST), BytesMut::from(&bytes[..]));
        while let Ok(Some((_, body))) = reader.take(&mut input, true) {
            prop_assert!(body.len() <= MOST);
            if input.is_empty() {
                break;
            }
        }
    }
}
