//! Which statements are requests, and as what they are passed on.

use limewing_postgres_proxy::statement::{Statement, StatementParser};
use proptest::{prop_assert, proptest};
use rstest::rstest;
use std::time::Duration;

const INSERT: &str = "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob /* id=9b1f,c=order,t=other,d=480,k=5c0f */";

fn parser() -> StatementParser {
    let named = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    StatementParser::new(
        &named(&["basket", "order"]),
        &[false, true],
        &named(&["acme", "other"]),
    )
}

/// A request without time left is a request.
#[test]
fn zero_timeout_is_valid() {
    let read = parser().parse(&INSERT.replace("d=480", "d=0")).unwrap();
    assert_eq!(read.timeout, Duration::ZERO);
}

#[test]
fn statement_is_parsed_and_passed_on_with_another_timeout() {
    let read: Statement = parser().parse(INSERT).unwrap();
    assert_eq!((read.class.0, read.tenant.unwrap().0), (1, 1));
    assert_eq!(
        (read.id.as_str(), read.timeout),
        ("9b1f", Duration::from_millis(480))
    );
    assert_eq!(
        read.with_timeout(Duration::from_micros(99_900)),
        INSERT.replace("d=480", "d=99")
    );
    let same = parser().parse(
        "SELECT blob FROM rows WHERE handle = '7f3a' /* id=9b20,c=basket,t=acme,d=480,r=1 */",
    );
    assert_eq!(same.unwrap().routing_key, read.routing_key);
}

#[rstest]
#[case::other_table(
    "SELECT blob FROM others WHERE handle = '7f3a' /* id=1,c=basket,t=acme,d=480 */"
)]
#[case::two(
    "SELECT blob FROM rows WHERE handle = '7f3a'; DROP TABLE rows /* id=1,c=basket,t=acme,d=480 */"
)]
#[case::quote("SELECT blob FROM rows WHERE handle = '7f''3a' /* id=1,c=basket,t=acme,d=480 */")]
#[case::odd(&INSERT.replace("9f03", "9f0"))]
#[case::no_hex(&INSERT.replace("9f03", "9fxx"))]
#[case::large(&INSERT.replace("9f03", &"00".repeat(64 * 1024 + 1)))]
#[case::no_comment("SELECT blob FROM rows WHERE handle = '7f3a'")]
#[case::end_within(
    "SELECT blob FROM rows WHERE handle = '7f3a' /* id=1*/,c=basket,t=acme,d=480 */"
)]
#[case::no_deadline("SELECT blob FROM rows WHERE handle = '7f3a' /* id=1,c=basket,t=acme */")]
#[case::large_deadline(
    "SELECT blob FROM rows WHERE handle = '7f3a' /* id=1,c=basket,t=acme,d=99999999999 */"
)]
#[case::signed("SELECT blob FROM rows WHERE handle = '7f3a' /* id=1,c=basket,t=acme,d=+480 */")]
#[case::long_id(&INSERT.replace("9b1f", &"9".repeat(65)))]
#[case::empty_mark(&INSERT.replace("k=5c0f", "k="))]
fn statement_of_another_form_is_rejected(#[case] text: &str) {
    assert!(parser().parse(text).is_err());
}

proptest! {
    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in ".{0,80}", at in 0usize..120, put in ".{0,3}") {
        let _ = parser().parse(&text);
        let mut near = INSERT.to_owned();
        near.insert_str(at.min(near.len()), &put);
        if let Ok(read) = parser().parse(&near) {
            prop_assert!(read.with_timeout(Duration::from_millis(7)).contains("d=7"));
        }
    }
}
