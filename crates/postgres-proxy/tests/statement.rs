//! Tests which statements are requests, and how they are sent to a pod.

use limewing_postgres_proxy::statement::{Statement, StatementParser};
use proptest::{prop_assert, proptest};
use rstest::rstest;
use std::time::Duration;

const INSERT: &str = "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob /* id=9b1f,c=order,t=other,d=480,k=5c0f */";

fn parser() -> StatementParser {
    let owned = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    StatementParser::new(
        &owned(&["basket", "order"]),
        &[false, true],
        &owned(&["acme", "other"]),
    )
}

/// A request with no time left is valid.
#[test]
fn zero_timeout_is_valid() {
    let statement = parser().parse(&INSERT.replace("d=480", "d=0")).unwrap();
    assert_eq!(statement.timeout, Duration::ZERO);
}

#[test]
fn statement_is_parsed_and_encoded_with_another_timeout() {
    let statement: Statement = parser().parse(INSERT).unwrap();
    assert_eq!((statement.class.0, statement.tenant.unwrap().0), (1, 1));
    assert_eq!(
        (statement.id.as_str(), statement.timeout),
        ("9b1f", Duration::from_millis(480))
    );
    assert_eq!(
        statement
            .with_timeout(Duration::from_micros(99_900))
            .to_string(),
        INSERT.replace("d=480", "d=99")
    );
    let same_row = parser().parse(
        "SELECT blob FROM rows WHERE handle = '7f3a' /* id=9b20,c=basket,t=acme,d=480,r=1 */",
    );
    assert_eq!(same_row.unwrap().routing_key, statement.routing_key);
}

#[rstest]
#[case::other_table(
    "SELECT blob FROM others WHERE handle = '7f3a' /* id=1,c=basket,t=acme,d=480 */"
)]
#[case::two_statements(
    "SELECT blob FROM rows WHERE handle = '7f3a'; DROP TABLE rows /* id=1,c=basket,t=acme,d=480 */"
)]
#[case::escaped_quote(
    "SELECT blob FROM rows WHERE handle = '7f''3a' /* id=1,c=basket,t=acme,d=480 */"
)]
#[case::odd_hex_digits(&INSERT.replace("9f03", "9f0"))]
#[case::not_hex(&INSERT.replace("9f03", "9fxx"))]
#[case::oversized_value(&INSERT.replace("9f03", &"00".repeat(64 * 1024 + 1)))]
#[case::no_comment("SELECT blob FROM rows WHERE handle = '7f3a'")]
#[case::comment_end_within_comment(
    "SELECT blob FROM rows WHERE handle = '7f3a' /* id=1*/,c=basket,t=acme,d=480 */"
)]
#[case::no_deadline("SELECT blob FROM rows WHERE handle = '7f3a' /* id=1,c=basket,t=acme */")]
#[case::large_deadline(
    "SELECT blob FROM rows WHERE handle = '7f3a' /* id=1,c=basket,t=acme,d=99999999999 */"
)]
#[case::signed_deadline(
    "SELECT blob FROM rows WHERE handle = '7f3a' /* id=1,c=basket,t=acme,d=+480 */"
)]
#[case::long_id(&INSERT.replace("9b1f", &"9".repeat(65)))]
#[case::empty_key(&INSERT.replace("k=5c0f", "k="))]
fn statement_of_another_form_is_rejected(#[case] text: &str) {
    assert!(parser().parse(text).is_err());
}

proptest! {
    #[test]
    fn arbitrary_text_is_parsed_or_rejected(text in ".{0,80}", position in 0usize..120, inserted in ".{0,3}") {
        let _ = parser().parse(&text);
        let mut modified = INSERT.to_owned();
        modified.insert_str(position.min(modified.len()), &inserted);
        if let Ok(statement) = parser().parse(&modified) {
            let sent = statement.with_timeout(Duration::from_millis(7));
            prop_assert!(sent.to_string().contains("d=7"));
        }
    }
}
