//! Messages there and back, cut anywhere, and bytes that are none.

use bytes::{BufMut, BytesMut};
use limewing_postgres_protocol::{read, waiting, write, Frame, Frames, Refused};
use proptest::prelude::*;
use rstest::rstest;

const MOST: usize = 1000;

fn all(frames: &mut Frames, input: &mut BytesMut) -> Result<Vec<Frame>, Refused> {
    let mut found = Vec::new();
    while let Some(frame) = frames.take(input, |kind| (kind != b'?').then_some(MOST))? {
        found.push(frame);
    }
    Ok(found)
}

fn answer() -> BytesMut {
    let mut out = BytesMut::new();
    write::one_column(&mut out, "blob");
    write::one_value(&mut out, b"\x00red");
    write::complete(&mut out, "SELECT 1");
    write::error(&mut out, "ERROR", "53300", "no", Some("70"));
    write::ready(&mut out);
    out
}

#[test]
fn what_is_written_is_read() {
    let found = all(&mut Frames::default(), &mut answer()).unwrap();
    let kinds: Vec<u8> = found.iter().map(|frame| frame.kind).collect();
    assert_eq!(kinds, b"TDCEZ");
    assert_eq!(read::only_column(&found[0].body), Some("blob"));
    assert_eq!(read::only_value(&found[1].body), Some(&b"\x00red"[..]));
    assert_eq!(read::text(&found[2].body), Some("SELECT 1"));
    assert_eq!(read::code(&found[3].body), Some("53300"));
    assert!(read::fields(&found[3].body)
        .unwrap()
        .contains(&(b'D', "70")));
    assert_eq!(waiting(&answer(), 10), 5);
    assert_eq!(waiting(&answer(), 2), 2);
}

proptest! {
    /// However the bytes are cut, the messages are the same.
    #[test]
    fn cuts_change_nothing(cuts in prop::collection::vec(1usize..40, 1..30)) {
        let whole = all(&mut Frames::default(), &mut answer()).unwrap();
        let (mut frames, mut input, mut rest, mut found) =
            (Frames::default(), BytesMut::new(), &answer()[..], Vec::new());
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            input.extend_from_slice(now);
            rest = later;
            found.extend(all(&mut frames, &mut input).unwrap());
        }
        prop_assert_eq!(found, whole);
    }

    /// No bytes bring a panic, and none are kept beyond what a message may have.
    #[test]
    fn any_bytes_are_taken_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut frames = Frames::default();
        let _ = all(&mut frames, &mut BytesMut::from(&bytes[..]));
        prop_assert!(frames.held() <= MOST);
        let _ = read::startup(&mut BytesMut::from(&bytes[..]));
        let _ = (read::text(&bytes), read::only_column(&bytes), read::only_value(&bytes));
        let _ = (read::fields(&bytes), read::code(&bytes), waiting(&bytes, 10));
    }
}

#[rstest]
#[case::negative(b'D', -1, Refused::Length)]
#[case::short(b'D', 3, Refused::Length)]
#[case::large(b'D', MOST as i32 + 5, Refused::Unexpected)]
#[case::huge(b'D', i32::MAX, Refused::Unexpected)]
#[case::kind(b'?', 4, Refused::Unexpected)]
fn a_length_is_checked_before_a_byte_is_kept(
    #[case] kind: u8,
    #[case] told: i32,
    #[case] why: Refused,
) {
    let mut input = BytesMut::from(&[kind][..]);
    input.put_i32(told);
    assert_eq!(
        Frames::default().take(&mut input, |kind| (kind != b'?').then_some(MOST)),
        Err(why)
    );
}

#[rstest]
#[case::session(&[0, 0, 0, 19, 0, 3, 0, 0, b'u', b's', b'e', b'r', 0, b'a', b'p', b'i', 0, 0, 0], Err(Refused::Content))]
#[case::plain(&[0, 0, 0, 18, 0, 3, 0, 0, b'u', b's', b'e', b'r', 0, b'a', b'p', b'i', 0, 0], Ok(Some(read::Startup::Session)))]
#[case::bare(&[0, 0, 0, 9, 0, 3, 0, 0, 0], Ok(Some(read::Startup::Session)))]
#[case::tls(&[0, 0, 0, 8, 4, 210, 22, 47], Ok(Some(read::Startup::Encryption)))]
#[case::call_off(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 0, 0, 0, 0, 0], Ok(Some(read::Startup::CallOff)))]
#[case::version(&[0, 0, 0, 9, 0, 2, 0, 0, 0], Err(Refused::Content))]
#[case::long(&[1, 0, 0, 0, 0, 3, 0, 0], Err(Refused::Length))]
#[case::half(&[0, 0, 0, 18, 0, 3], Ok(None))]
fn a_session_begins(#[case] bytes: &[u8], #[case] is: Result<Option<read::Startup>, Refused>) {
    assert_eq!(read::startup(&mut BytesMut::from(bytes)), is);
}
