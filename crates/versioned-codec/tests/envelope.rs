//! Tests of the envelope's encoding and of the rejection of invalid input.

use limewing_versioned_codec::{decode, decode_prefix, encode, DecodeError};
use rstest::rstest;
use serde::{Deserialize, Serialize};

const VERSION: u8 = 3;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Sample {
    index: u32,
    name: String,
}

fn sample() -> Sample {
    Sample {
        index: 300,
        name: "a".into(),
    }
}

#[test]
fn a_message_is_encoded_as_its_version_byte_and_postcard() {
    let bytes = encode(VERSION, &sample());
    assert_eq!(bytes, [3, 0xac, 0x02, 1, b'a']);
    assert_eq!(decode::<Sample>(VERSION, &bytes), Ok(sample()));
}

#[test]
fn bytes_after_a_message_are_returned_or_ignored() {
    let mut bytes = encode(VERSION, &sample());
    bytes.extend([7, 8]);
    assert_eq!(
        decode_prefix::<Sample>(VERSION, &bytes),
        Ok((sample(), &[7, 8][..]))
    );
    assert_eq!(decode::<Sample>(VERSION, &bytes), Ok(sample()));
}

#[rstest]
#[case::empty(&[], DecodeError::Malformed)]
#[case::version_alone(&[3], DecodeError::Malformed)]
#[case::truncated(&[3, 0xac, 0x02, 1], DecodeError::Malformed)]
#[case::invalid_text(&[3, 0xac, 0x02, 1, 0xff], DecodeError::Malformed)]
#[case::another_version(&[4, 0xac, 0x02, 1, b'a'], DecodeError::Version { found: 4, expected: 3 })]
fn invalid_messages_are_rejected(#[case] bytes: &[u8], #[case] error: DecodeError) {
    assert_eq!(decode::<Sample>(VERSION, bytes), Err(error));
}
