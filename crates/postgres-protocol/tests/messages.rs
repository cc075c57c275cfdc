//! Tests that messages are encoded and decoded, also if they arrive in arbitrary pieces, and that
//! arbitrary bytes are decoded or rejected.

use bytes::{BufMut, BytesMut};
use limewing_postgres_protocol::decode::StartupPacket;
use limewing_postgres_protocol::encode::{ErrorResponse, Severity};
use limewing_postgres_protocol::{
    count_complete_messages, decode, encode, Message, MessageDecoder, ProtocolError, Received,
};
use proptest::prelude::{any, prop};
use proptest::{prop_assert, prop_assert_eq, proptest};
use rstest::rstest;

/// Maximum length of a message body, in bytes.
const MAX_BODY: usize = 1000;

/// Decodes all complete messages in `input`; all types except `?` are allowed.
fn decode_all(
    decoder: &mut MessageDecoder,
    input: &mut BytesMut,
) -> Result<Vec<Message>, ProtocolError> {
    let mut messages = Vec::new();
    while let Some(message) =
        decoder.next_message(input, |kind| (kind != b'?').then_some(MAX_BODY))?
    {
        messages.push(message);
    }
    Ok(messages)
}

fn response() -> BytesMut {
    let mut out = BytesMut::new();
    encode::row_description(&mut out, "blob");
    encode::data_row(&mut out, b"\x00red");
    encode::command_complete(&mut out, "SELECT 1");
    encode::error_response(
        &mut out,
        &ErrorResponse {
            severity: Severity::Error,
            sqlstate: "53300",
            message: "no",
            detail: Some("70"),
        },
    );
    encode::ready_for_query(&mut out);
    out
}

#[test]
fn encoded_messages_are_decoded() {
    let messages = decode_all(&mut MessageDecoder::default(), &mut response()).unwrap();
    let kinds: Vec<u8> = messages.iter().map(|message| message.kind).collect();
    assert_eq!(kinds, b"TDCEZ");
    assert_eq!(decode::single_column_name(&messages[0].body), Some("blob"));
    assert_eq!(
        decode::single_value(&messages[1].body),
        Some(&b"\x00red"[..])
    );
    assert_eq!(decode::string(&messages[2].body), Some("SELECT 1"));
    assert_eq!(decode::sqlstate(&messages[3].body), Some("53300"));
    assert!(decode::error_fields(&messages[3].body)
        .unwrap()
        .contains(&(b'D', "70")));
    assert_eq!(count_complete_messages(&response(), 10), 5);
    assert_eq!(count_complete_messages(&response(), 2), 2);
}

proptest! {
    /// Messages whose bodies may not be buffered are discarded to their end, however they are split, and the others are decoded. The
    /// space for a body never exceeds the body, nor what was granted.
    #[test]
    fn messages_without_memory_are_discarded_to_their_end(
        lengths in prop::collection::vec(0usize..=MAX_BODY, 1..8),
        cuts in prop::collection::vec(1usize..400, 1..30),
        max_granted in 0usize..=MAX_BODY,
    ) {
        let mut bytes = BytesMut::new();
        for length in &lengths {
            encode::message_with_body(&mut bytes, b'Q', &vec![b'x'; *length]);
        }
        let (mut decoder, mut input) = (MessageDecoder::default(), BytesMut::new());
        let (mut received, mut cuts) = (Vec::new(), cuts.into_iter().cycle());
        while !bytes.is_empty() {
            let part = bytes.split_to(cuts.next().unwrap().min(bytes.len()));
            input.extend_from_slice(&part);
            let grant = |requested: usize| requested <= max_granted;
            while let Some(next) = decoder.next_within_memory(&mut input, |_| Some(MAX_BODY), grant).unwrap() {
                received.push(next);
            }
            prop_assert!(input.len() < 5 && decoder.buffered_bytes() <= max_granted);
        }
        prop_assert_eq!(received.len(), lengths.len());
        for (next, length) in received.into_iter().zip(lengths) {
            let expected = match length {
                length if length > max_granted => Received::Discarded(b'Q'),
                length => Received::Message(Message { kind: b'Q', body: vec![b'x'; length].into() }),
            };
            prop_assert_eq!(next, expected);
        }
    }

    /// The messages do not depend on how the bytes are split.
    #[test]
    fn decoded_messages_do_not_depend_on_how_bytes_are_split(cuts in prop::collection::vec(1usize..40, 1..30)) {
        let expected = decode_all(&mut MessageDecoder::default(), &mut response()).unwrap();
        let (mut decoder, mut input, mut rest, mut messages) =
            (MessageDecoder::default(), BytesMut::new(), &response()[..], Vec::new());
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (part, remaining) = rest.split_at(cut.min(rest.len()));
            input.extend_from_slice(part);
            rest = remaining;
            messages.extend(decode_all(&mut decoder, &mut input).unwrap());
        }
        prop_assert_eq!(messages, expected);
    }

    /// Arbitrary bytes cause no panic, and no more bytes are buffered than a message may have.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = MessageDecoder::default();
        let _ = decode_all(&mut decoder, &mut BytesMut::from(&bytes[..]));
        prop_assert!(decoder.buffered_bytes() <= MAX_BODY);
        let _ = decode::startup_packet(&mut BytesMut::from(&bytes[..]));
        let _ = (decode::string(&bytes), decode::single_column_name(&bytes), decode::single_value(&bytes));
        let _ = (decode::error_fields(&bytes), decode::sqlstate(&bytes), count_complete_messages(&bytes, 10));
    }
}

#[rstest]
#[case::negative(b'D', -1, ProtocolError::InvalidLength)]
#[case::below_field_length(b'D', 3, ProtocolError::InvalidLength)]
#[case::above_the_maximum(b'D', MAX_BODY as i32 + 5, ProtocolError::UnexpectedMessage)]
#[case::largest(b'D', i32::MAX, ProtocolError::UnexpectedMessage)]
#[case::type_not_allowed(b'?', 4, ProtocolError::UnexpectedMessage)]
fn length_is_checked_before_a_byte_is_buffered(
    #[case] kind: u8,
    #[case] length_field: i32,
    #[case] error: ProtocolError,
) {
    let mut input = BytesMut::from(&[kind][..]);
    input.put_i32(length_field);
    assert_eq!(
        MessageDecoder::default()
            .next_message(&mut input, |kind| (kind != b'?').then_some(MAX_BODY)),
        Err(error)
    );
}

#[rstest]
#[case::trailing_zero(&[0, 0, 0, 19, 0, 3, 0, 0, b'u', b's', b'e', b'r', 0, b'a', b'p', b'i', 0, 0, 0], Err(ProtocolError::InvalidContent))]
#[case::startup_message(&[0, 0, 0, 18, 0, 3, 0, 0, b'u', b's', b'e', b'r', 0, b'a', b'p', b'i', 0, 0], Ok(Some(StartupPacket::StartupMessage)))]
#[case::without_parameters(&[0, 0, 0, 9, 0, 3, 0, 0, 0], Ok(Some(StartupPacket::StartupMessage)))]
#[case::ssl_request(&[0, 0, 0, 8, 4, 210, 22, 47], Ok(Some(StartupPacket::SslRequest)))]
#[case::cancel_request(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 0, 0, 0, 0, 0], Ok(Some(StartupPacket::CancelRequest)))]
#[case::unsupported_version(&[0, 0, 0, 9, 0, 2, 0, 0, 0], Err(ProtocolError::InvalidContent))]
#[case::length_above_the_maximum(&[1, 0, 0, 0, 0, 3, 0, 0], Err(ProtocolError::InvalidLength))]
#[case::incomplete(&[0, 0, 0, 18, 0, 3], Ok(None))]
fn startup_packets_are_decoded(
    #[case] bytes: &[u8],
    #[case] expected: Result<Option<StartupPacket>, ProtocolError>,
) {
    assert_eq!(decode::startup_packet(&mut BytesMut::from(bytes)), expected);
}
