//! Tests of parsing single messages: heads, bodies and their errors.

use bytes::BytesMut;
use limewing_net::body::{BodyReader, Framing};
use limewing_net::http::{parse_request, parse_response, HeadLimits, HttpError};
use limewing_net::message_reader::{RequestReader, ResponseReader};
use rstest::rstest;

#[rstest]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    HttpError::ConflictingLengths
)]
#[case::doubled_length(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
    HttpError::ConflictingLengths
)]
#[case::length_list(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n",
    HttpError::ConflictingLengths
)]
#[case::signed_length(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
    HttpError::ConflictingLengths
)]
#[case::length_and_chunks(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    HttpError::ConflictingLengths
)]
#[case::chunks_in_http_1_0(
    "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    HttpError::ConflictingLengths
)]
#[case::other_coding(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    HttpError::UnsupportedCoding
)]
#[case::hidden_coding(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
    HttpError::UnsupportedCoding
)]
#[case::two_codings(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    HttpError::UnsupportedCoding
)]
#[case::space_before_colon(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\n",
    HttpError::InvalidHead
)]
#[case::folded_line(
    "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n",
    HttpError::InvalidHead
)]
#[case::bare_line_feed("GET / HTTP/1.1\nHost: a\r\n\r\n", HttpError::BareLineFeed)]
#[case::no_host("GET / HTTP/1.1\r\n\r\n", HttpError::InvalidHost)]
#[case::two_hosts("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", HttpError::InvalidHost)]
#[case::tls_client_hello("\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", HttpError::InvalidHead)]
fn ambiguous_or_malformed_heads_are_rejected(#[case] text: &str, #[case] expected: HttpError) {
    let mut input = BytesMut::from(text);
    assert_eq!(
        parse_request(&mut input, HeadLimits::default()).unwrap_err(),
        expected
    );
}

#[rstest]
#[case::one_long_field(format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", "x".repeat(20_000)))]
#[case::endless_target(format!("GET /{}", "x".repeat(20_000)))]
#[case::many_fields(format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: 1\r\n".repeat(100)))]
fn an_oversized_head_is_rejected_with_431(#[case] text: String) {
    let mut input = BytesMut::from(&text[..]);
    assert_eq!(
        parse_request(&mut input, HeadLimits::default())
            .unwrap_err()
            .status(),
        431
    );
}

#[test]
fn hop_by_hop_fields_are_not_end_to_end() {
    let text = "GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive, X-Own\r\nX-Own: 1\r\nTE: trailers\r\nX-Far: 2\r\n\r\n";
    let head = parse_request(&mut BytesMut::from(text), HeadLimits::default())
        .unwrap()
        .unwrap();
    let names: Vec<_> = head
        .fields
        .end_to_end()
        .map(|(name, _)| String::from_utf8_lossy(name).into_owned())
        .collect();
    assert_eq!(names, ["Host", "X-Far"]);
}

#[rstest]
#[case::one_chunk("5\r\nhello\r\n0\r\n\r\n", Ok("hello"))]
#[case::two_chunks_with_extension("2;x=1\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", Ok("hello"))]
#[case::trailers("5\r\nhello\r\n0\r\nDigest: 1\r\n\r\n", Ok("hello"))]
#[case::no_digits("\r\nhello\r\n0\r\n\r\n", Err(HttpError::InvalidChunk))]
#[case::signed("+5\r\nhello\r\n0\r\n\r\n", Err(HttpError::InvalidChunk))]
#[case::size_overflows("11111111111111111\r\nhello", Err(HttpError::InvalidChunk))]
#[case::content_exceeds_size("5\r\nhelloworld\r\n0\r\n\r\n", Err(HttpError::InvalidChunk))]
#[case::bare_line_feed("5\nhello\r\n0\r\n\r\n", Err(HttpError::InvalidChunk))]
fn chunked_bodies_are_read_byte_by_byte(
    #[case] text: &str,
    #[case] expected: Result<&str, HttpError>,
) {
    let mut reader = BodyReader::new(Framing::Chunked);
    let mut input = BytesMut::new();
    let mut body = Vec::new();
    let result = text.bytes().try_for_each(|byte| {
        input.extend_from_slice(&[byte]);
        while let Some(piece) = reader.next(&mut input)? {
            body.extend_from_slice(&piece);
        }
        Ok(())
    });
    assert_eq!(
        result.map(|()| String::from_utf8(body).unwrap()),
        expected.map(str::to_owned)
    );
    assert_eq!(reader.ended(), expected.is_ok());
}

#[test]
fn pipelined_requests_are_read_one_by_one() {
    let first = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    let mut input = BytesMut::from(&format!("{first}\r\n{}GET /b", first.replace("/a", "/c"))[..]);
    let mut reader = RequestReader::new(10);
    let mut targets = Vec::new();
    while let Some((head, body)) = reader.take(&mut input, false).unwrap() {
        assert_eq!(&body[..], b"hi");
        targets.push(head.target);
    }
    assert_eq!(
        (targets, &input[..]),
        (vec!["/a".to_owned(), "/c".to_owned()], &b"GET /b"[..])
    );
}

#[rstest]
#[case::too_large(
    "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello world",
    Err(HttpError::BodyTooLarge)
)]
#[case::incomplete_body(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel",
    Err(HttpError::UnexpectedEnd)
)]
#[case::incomplete_head("HTTP/1.1 200 OK\r\nConte", Err(HttpError::UnexpectedEnd))]
#[case::body_until_close("HTTP/1.1 200 OK\r\n\r\nhello", Ok("hello"))]
#[case::after_interim_response(
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    Ok("hello")
)]
fn a_response_is_read_from_a_connection_that_closes(
    #[case] text: &str,
    #[case] expected: Result<&str, HttpError>,
) {
    let result = ResponseReader::new(10).take(&mut BytesMut::from(text), true);
    let body = result.map(|found| String::from_utf8(found.unwrap().1.to_vec()).unwrap());
    assert_eq!(body, expected.map(str::to_owned));
}

#[test]
fn a_response_to_head_has_no_body_despite_its_content_length() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let head = parse_response(&mut BytesMut::from(text), true, HeadLimits::default())
        .unwrap()
        .unwrap();
    assert!(BodyReader::new(head.framing).ended());
}
