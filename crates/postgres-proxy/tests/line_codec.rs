//! Tests that streams of JSON objects are read correctly in any pieces.

use limewing_postgres_proxy::line_codec::{LineReader, ObjectReader};
use proptest::prelude::{any, prop};
use proptest::{prop_assert, prop_assert_eq, proptest};
use rstest::rstest;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunked(piece: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
}

proptest! {
    /// The objects do not depend on formatting or on the pieces in which they arrive; brackets in
    /// strings are ignored.
    #[test]
    fn objects_do_not_depend_on_how_bytes_are_split(
        texts in prop::collection::vec("[a-z{}\\[\\]\"\\\\ ]{0,12}", 1..5),
        pretty in any::<bool>(),
        cuts in prop::collection::vec(1usize..40, 1..30),
    ) {
        let values: Vec<serde_json::Value> = texts.iter().map(|text| serde_json::json!({"seq": 1, "hosts": [{"host": text}]})).collect();
        let text = |value| if pretty { serde_json::to_string_pretty(value) } else { serde_json::to_string(value) };
        let all: String = values.iter().map(|value| text(value).unwrap() + "\n\n").collect();
        let (mut reader, mut objects, mut rest) = (ObjectReader::new(4096), Vec::new(), all.as_bytes());
        let mut input = bytes::BytesMut::from(RESPONSE_HEAD);
        for cut in cuts.iter().cycle() {
            let piece = &rest[..(*cut).min(rest.len())];
            if piece.is_empty() {
                break;
            }
            rest = &rest[piece.len()..];
            input.extend_from_slice(&chunked(piece));
            let received = reader.read(&mut input);
            prop_assert_eq!(received.error, None);
            objects.extend(received.items);
        }
        let parsed: Vec<serde_json::Value> = objects.iter().map(|object| serde_json::from_slice(object).unwrap()).collect();
        prop_assert_eq!(parsed, values);
    }

    #[test]
    fn arbitrary_bytes_are_objects_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut reader = ObjectReader::new(50);
        for input in [&bytes[..], &[RESPONSE_HEAD, &chunked(&bytes)].concat()] {
            let received = reader.read(&mut input.into());
            prop_assert!(received.items.iter().all(|object| object.len() <= 50 + 200));
        }
    }
}

#[rstest]
#[case::empty_line(b"\n", true)]
#[case::object(b"{}", true)]
#[case::partial_object(b"{\"seq\":", false)]
#[case::lines_within_object(b"{\n\n", false)]
#[case::blank(b"  ", false)]
fn complete_lines_and_objects_prove_that_the_service_is_alive(
    #[case] piece: &[u8],
    #[case] expected: bool,
) {
    let mut reader = ObjectReader::new(100);
    // The head of the response is also a proof.
    assert!(
        reader
            .read(&mut bytes::BytesMut::from(RESPONSE_HEAD))
            .is_alive
    );
    let mut input = bytes::BytesMut::from(&chunked(piece)[..]);
    assert_eq!(reader.read(&mut input).is_alive, expected);
}

#[rstest]
#[case::binary(b"\x00\xff")]
#[case::array(b"[1]")]
#[case::too_long(&[b'{'; 200])]
fn input_without_an_object_is_rejected(#[case] piece: &[u8]) {
    let mut input = bytes::BytesMut::from(&[RESPONSE_HEAD, &chunked(piece)].concat()[..]);
    assert!(ObjectReader::new(100).read(&mut input).error.is_some());
}

/// Items before invalid bytes are kept, whether these arrive in the same piece or a later one.
#[test]
fn items_before_unreadable_bytes_are_kept() {
    let with_invalid_bytes = || {
        bytes::BytesMut::from(
            &[RESPONSE_HEAD, &chunked(b"{\"seq\":1}\n"), b"noise\r\n"].concat()[..],
        )
    };
    for received in [
        ObjectReader::new(100).read(&mut with_invalid_bytes()),
        LineReader::new(100).read(&mut with_invalid_bytes()),
    ] {
        assert_eq!(received.items, [&b"{\"seq\":1}"[..]]);
        assert!(received.error.is_some());
    }
    let mut input =
        bytes::BytesMut::from(&[RESPONSE_HEAD, &chunked(b"{\"seq\":1}\nnoise")].concat()[..]);
    let received = ObjectReader::new(100).read(&mut input);
    assert!(received.items.len() == 1 && received.error.is_some());
}
