//! Streams of JSON objects, in whatever pieces they arrive.

use limewing_postgres_proxy::line_codec::{LineReader, ObjectReader};
use proptest::prelude::{any, prop};
use proptest::{prop_assert, prop_assert_eq, proptest};
use rstest::rstest;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunked(piece: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
}

proptest! {
    /// Objects are the same however they are formatted and cut into pieces; brackets in strings end none.
    #[test]
    fn objects_are_split_however_they_arrive(
        texts in prop::collection::vec("[a-z{}\\[\\]\"\\\\ ]{0,12}", 1..5),
        pretty in any::<bool>(),
        cuts in prop::collection::vec(1usize..40, 1..30),
    ) {
        let values: Vec<serde_json::Value> = texts.iter().map(|text| serde_json::json!({"seq": 1, "hosts": [{"host": text}]})).collect();
        let text = |value| if pretty { serde_json::to_string_pretty(value) } else { serde_json::to_string(value) };
        let all: String = values.iter().map(|value| text(value).unwrap() + "\n\n").collect();
        let (mut objects, mut came, mut rest) = (ObjectReader::new(4096), Vec::new(), all.as_bytes());
        let mut input = bytes::BytesMut::from(HEAD);
        for cut in cuts.iter().cycle() {
            let piece = &rest[..(*cut).min(rest.len())];
            if piece.is_empty() {
                break;
            }
            rest = &rest[piece.len()..];
            input.extend_from_slice(&chunked(piece));
            let read = objects.read(&mut input);
            prop_assert_eq!(read.error, None);
            came.extend(read.items);
        }
        let came: Vec<serde_json::Value> = came.iter().map(|object| serde_json::from_slice(object).unwrap()).collect();
        prop_assert_eq!(came, values);
    }

    #[test]
    fn arbitrary_bytes_are_objects_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut objects = ObjectReader::new(50);
        for input in [&bytes[..], &[HEAD, &chunked(&bytes)].concat()] {
            let came = objects.read(&mut input.into());
            prop_assert!(came.items.iter().all(|object| object.len() <= 50 + 200));
        }
    }
}

#[rstest]
#[case::empty_line(b"\n", true)]
#[case::object(b"{}", true)]
#[case::half(b"{\"seq\":", false)]
#[case::lines_within(b"{\n\n", false)]
#[case::blank(b"  ", false)]
fn complete_lines_and_objects_are_signs_of_life(#[case] piece: &[u8], #[case] alive: bool) {
    let mut objects = ObjectReader::new(100);
    // The head of the response is one.
    assert!(objects.read(&mut bytes::BytesMut::from(HEAD)).is_alive);
    let mut input = bytes::BytesMut::from(&chunked(piece)[..]);
    assert_eq!(objects.read(&mut input).is_alive, alive);
}

#[rstest]
#[case::noise(b"\x00\xff")]
#[case::other(b"[1]")]
#[case::too_long(&[b'{'; 200])]
fn what_is_no_object_is_rejected(#[case] piece: &[u8]) {
    let mut input = bytes::BytesMut::from(&[HEAD, &chunked(piece)].concat()[..]);
    assert!(ObjectReader::new(100).read(&mut input).error.is_some());
}

/// What came complete before something that can't be read is kept, in the same piece or one before.
#[test]
fn items_before_unreadable_bytes_are_kept() {
    let noisy =
        || bytes::BytesMut::from(&[HEAD, &chunked(b"{\"seq\":1}\n"), b"noise\r\n"].concat()[..]);
    for came in [
        ObjectReader::new(100).read(&mut noisy()),
        LineReader::new(100).read(&mut noisy()),
    ] {
        assert_eq!(came.items, [&b"{\"seq\":1}"[..]]);
        assert!(came.error.is_some());
    }
    let mut input = bytes::BytesMut::from(&[HEAD, &chunked(b"{\"seq\":1}\nnoise")].concat()[..]);
    let came = ObjectReader::new(100).read(&mut input);
    assert!(came.items.len() == 1 && came.error.is_some());
}
