//! The platform's words as the module's: statements, the list, news.

use limewing_decision::interface::{EndpointUpdate, Phase, PodState, StageIndex, VoteAnswer};
use limewing_emulators::platform::{listing, state, Config, Listed};
use limewing_postgres_proxy::config;
use limewing_postgres_proxy::endpoint_list::EndpointList;
use limewing_postgres_proxy::endpoint_listing::EndpointListing;
use limewing_postgres_proxy::line_codec::{LineReader, ObjectReader};
use limewing_postgres_proxy::rollout_messages::{parse_message, parse_vote_reply, RolloutMessage};
use limewing_postgres_proxy::stage_updates::{LatestState, RolloutState};
use limewing_postgres_proxy::statement::{Statement, StatementParser};
use limewing_postgres_proxy::wrong_answers::{WrongAnswer, WrongAnswerLog};
use proptest::prelude::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

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

/// A client whose time is up is none that can't be understood.
#[test]
fn no_time_left_is_a_time() {
    let read = parser().parse(&INSERT.replace("d=480", "d=0")).unwrap();
    assert_eq!(read.timeout, Duration::ZERO);
}

const INSERT: &str = "INSERT INTO rows (handle, blob) VALUES ('7f3a', '\\x9f03') RETURNING blob /* id=9b1f,c=order,t=other,d=480,k=5c0f */";

/// A pod that left long ago gives its number back; one that returns soon has it still.
#[rstest]
#[case::soon(299, true)]
#[case::late(301, false)]
fn the_number_of_a_pod_that_left_is_given_back(#[case] later: u64, #[case] same: bool) {
    let (mut list, today) = (EndpointList::new(&[], &[]), SystemTime::now());
    let dial = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut told = |seq, pods: &[Listed], s| {
        let told: EndpointListing = serde_json::from_str(&listing(seq, true, pods)).unwrap();
        list.apply(told, Duration::from_secs(s), today).unwrap();
        list.pod_listed_at("p1", Duration::from_secs(s))
    };
    let first = told(1, &[Listed::new("p1", dial)], 1000).unwrap();
    assert_eq!(told(2, &[], 1000), None);
    told(3, &[Listed::new("p2", dial)], 1000 + later);
    assert_eq!(
        told(4, &[Listed::new("p1", dial)], 1000 + later).unwrap() == first,
        same
    );
}

#[test]
fn a_statement_is_read_and_passed_on_with_another_wait() {
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
fn another_form_is_no_hit(#[case] text: &str) {
    assert!(parser().parse(text).is_err());
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in ".{0,80}", at in 0usize..120, put in ".{0,3}") {
        let _ = parser().parse(&text);
        let mut near = INSERT.to_owned();
        near.insert_str(at.min(near.len()), &put);
        if let Ok(read) = parser().parse(&near) {
            prop_assert!(read.with_timeout(Duration::from_millis(7)).contains("d=7"));
        }
    }
}

fn told(seq: u64, whole: bool, pods: &[Listed]) -> EndpointListing {
    serde_json::from_str(&listing(seq, whole, pods)).unwrap()
}

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn list_of(pods: &[Listed]) -> EndpointList {
    let mut list = EndpointList::new(&["a".into()], &["m".into()]);
    list.load_cached(
        told(7, true, pods),
        Duration::from_secs(3600),
        SystemTime::now(),
    );
    list
}

/// What is told again unchanged is left out, also in a whole list; what is missing from one is gone.
#[test]
fn a_list_tells_what_changed() {
    let (one, two, three) = (
        Listed::new("p1", at(1)),
        Listed::new("p2", at(2)),
        Listed::new("p3", at(3)),
    );
    let mut list = list_of(&[one.clone(), two.clone()]);
    let moved = Listed {
        dial: at(9),
        build: 2,
        ..two.clone()
    };
    let now = Duration::from_secs(3610);
    let change = list
        .apply(told(9, true, &[moved, three]), now, SystemTime::now())
        .unwrap();
    let EndpointUpdate::Delta(rows) = change.update else {
        panic!("a change")
    };
    let told: Vec<_> = rows
        .iter()
        .map(|row| (row.pod.0, row.state, row.build.0))
        .collect();
    assert_eq!(
        told,
        [
            (1, PodState::Gone, 1),
            (2, PodState::Ready, 2),
            (3, PodState::Ready, 1)
        ]
    );
    assert_eq!(change.relocated.len(), 2);
    assert_eq!(
        (
            list.version(),
            list.incarnation(rows[1].pod).unwrap().address
        ),
        (9, at(9))
    );
}

/// A report of a forward that was sent before the pod came back with another build speaks of the build before.
#[test]
fn a_report_of_an_earlier_build_is_not_laid_on_the_present_one() {
    let mut list = list_of(&[Listed::new("p1", at(1))]);
    let (before, then, after) = (
        Duration::from_secs(3605),
        Duration::from_secs(3610),
        Duration::from_secs(3615),
    );
    assert!(list.pod_listed_at("p1", before).is_some());
    let next = Listed {
        build: 2,
        ..Listed::new("p1", at(1))
    };
    list.apply(told(8, false, &[next]), then, SystemTime::now())
        .unwrap();
    assert!(
        list.pod_listed_at("p1", before).is_none() && list.pod_listed_at("p1", after).is_some()
    );
}

fn stands(build: u16, stage: u8, name: &str) -> RolloutState {
    serde_json::from_str(&state(build, stage, name, 0.3)).unwrap()
}

/// News come by more than one way: what has been overtaken is left out.
#[test]
fn a_build_never_stands_before_where_it_stood() {
    let mut latest = LatestState::default();
    let mut take = |build, stage, name| {
        let accepted = latest.accept(stands(build, stage, name));
        accepted.map(|accepted| accepted.update)
    };
    assert_eq!(take(4, 1, "Progressing").unwrap().stage, StageIndex(1));
    assert!(take(4, 0, "Progressing").is_none());
    assert!(take(3, 2, "Healthy").is_none());
    assert_eq!(take(4, 2, "Healthy").unwrap().phase, Phase::Released);
    assert_eq!(take(4, 2, "Aborting").unwrap().phase, Phase::RollingBack);
    assert!(take(4, 1, "Progressing").is_none());
    assert!(take(5, 0, "Progressing").is_some());
}

#[rstest]
#[case::counted(200, state(2, 1, "Progressing", 0.3), VoteAnswer::Counted)]
#[case::part(200, "{\"Revision\":2,".into(), VoteAnswer::Unanswered)]
#[case::full(429, String::new(), VoteAnswer::Full)]
#[case::moot(409, String::new(), VoteAnswer::Moot)]
#[case::failed(500, String::new(), VoteAnswer::Failed)]
#[case::refused(400, String::new(), VoteAnswer::Failed)]
fn an_answer_to_a_vote_is_told(
    #[case] status: u16,
    #[case] body: String,
    #[case] answer: VoteAnswer,
) {
    assert_eq!(parse_vote_reply(status, body.as_bytes()).answer, answer);
}

#[test]
fn lines_of_a_stream_are_told_apart() {
    let report = r#"{"type":"report","object":{"InstanceId":"p1","Lane":"basket","AgeMs":1200}}"#;
    assert!(
        matches!(parse_message(report.as_bytes()), Ok(RolloutMessage::WrongAnswer(told)) if told.class == "basket")
    );
    assert_eq!(parse_message(b"{}").unwrap(), RolloutMessage::Ignored);
    assert!(parse_message(b"{\"type\":\"news\"}").is_err() && parse_message(b"<html>").is_err());
}

proptest! {
    /// No bytes of a service bring a panic, and no line is kept beyond its bound.
    #[test]
    fn any_bytes_are_lines_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut lines = LineReader::new(50);
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let whole = [&head[..], format!("{:x}\r\n", bytes.len()).as_bytes(), &bytes, b"\r\n"].concat();
        for input in [&bytes[..], &whole] {
            for line in lines.read(&mut input.into()).items {
                let _ = parse_message(&line);
            }
        }
    }
}

#[rstest]
#[case::seed("8c1f30d27a5be964", "what", "expected up to 16 hexadecimal digits")]
#[case::group("\"free\"", "\"sometimes\"", "unknown profiles.repeat")]
#[case::name("\"name\":\"look\",", "", "a class has no name")]
#[case::half("}}", "}", "EOF")]
fn a_configuration_that_cannot_be_used_is_told(
    #[case] from: &str,
    #[case] to: &str,
    #[case] why: &str,
) {
    let good = Config::new(vec![Listed::new("p1", at(1))]).json();
    assert!(config::parse(good.as_bytes()).is_ok());
    let trouble = config::parse(good.replacen(from, to, 9).as_bytes()).unwrap_err();
    assert!(trouble.to_string().contains(why), "{trouble}");
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunked(piece: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
}

proptest! {
    /// However objects are laid out and cut into pieces, they are the same; brackets in their texts end none.
    #[test]
    fn objects_are_told_apart_however_they_come(
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
    fn any_bytes_are_objects_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
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
fn what_is_a_sign_of_life(#[case] piece: &[u8], #[case] alive: bool) {
    let mut objects = ObjectReader::new(100);
    // The head of the answer is one.
    assert!(objects.read(&mut bytes::BytesMut::from(HEAD)).is_alive);
    let mut input = bytes::BytesMut::from(&chunked(piece)[..]);
    assert_eq!(objects.read(&mut input).is_alive, alive);
}

#[rstest]
#[case::noise(b"\x00\xff")]
#[case::other(b"[1]")]
#[case::too_long(&[b'{'; 200])]
fn what_is_no_object_is_refused(#[case] piece: &[u8]) {
    let mut input = bytes::BytesMut::from(&[HEAD, &chunked(piece)].concat()[..]);
    assert!(ObjectReader::new(100).read(&mut input).error.is_some());
}

fn change(list: &mut EndpointList, told: EndpointListing) -> Vec<(u64, PodState)> {
    let EndpointUpdate::Delta(rows) = list
        .apply(told, Duration::from_secs(3610), SystemTime::now())
        .unwrap()
        .update
    else {
        panic!("a change")
    };
    rows.iter().map(|row| (row.pod.0, row.state)).collect()
}

fn drains(of: &Listed) -> Listed {
    Listed {
        health: "terminating",
        ..of.clone()
    }
}

/// A list of an earlier version, of a discovery that began anew or lags behind, unlearns nothing: what drains, left or
/// started since stays so; a pod that has started since is as it is told.
#[test]
fn an_older_list_brings_nothing_back() {
    let [one, two, three] =
        [("p1", 1), ("p2", 2), ("p3", 3)].map(|(host, port)| Listed::new(host, at(port)));
    let mut list = list_of(&[one.clone(), two.clone(), three.clone()]);
    let started = Listed {
        born_ms: 5000,
        build: 2,
        ..three.clone()
    };
    change(&mut list, told(9, true, &[drains(&one), started.clone()]));
    assert_eq!(
        change(&mut list, told(3, true, &[one.clone(), two.clone(), three])),
        []
    );
    assert_eq!(list.version(), 3);
    let again = Listed {
        born_ms: 6000,
        ..one
    };
    assert_eq!(
        change(&mut list, told(2, true, &[again, started])),
        [(1, PodState::Ready)]
    );
    // From then on it is followed as any other.
    assert_eq!(
        change(&mut list, told(4, false, &[two])),
        [(2, PodState::Ready)]
    );
}

/// What it says to be careful about counts.
#[test]
fn an_older_list_still_takes_pods_away() {
    let (one, two) = (Listed::new("p1", at(1)), Listed::new("p2", at(2)));
    let mut list = list_of(&[one.clone(), two]);
    let told = change(&mut list, told(3, true, &[drains(&one)]));
    assert_eq!(told, [(2, PodState::Gone), (1, PodState::Draining)]);
}

/// One entry that can't be understood costs its pod alone, and is told.
#[rstest]
#[case::health("\"in_service\"", "\"resting\"")]
#[case::build("\"version_no\":1", "\"version_no\":70000")]
#[case::address("127.0.0.1:2", "somewhere")]
#[case::negative("\"born_ms\":0", "\"born_ms\":-1")]
fn an_entry_that_cannot_be_used_spoils_no_other(#[case] from: &str, #[case] to: &str) {
    let (one, two) = (Listed::new("p1", at(1)), Listed::new("p2", at(2)));
    let entry = |of: &Listed| listing(1, false, std::slice::from_ref(of));
    let entry = |of: &Listed| {
        entry(of)
            .split_once('[')
            .unwrap()
            .1
            .trim_end_matches("]}")
            .to_owned()
    };
    let (good, bad) = (entry(&one), entry(&two).replacen(from, to, 1));
    let text = format!(r#"{{"seq":9,"whole":true,"hosts":[{good},{bad},17]}}"#);
    let read: EndpointListing = serde_json::from_str(&text).unwrap();
    let mut list = list_of(&[one, two]);
    let changed = list
        .apply(read.clone(), Duration::from_secs(3610), SystemTime::now())
        .unwrap();
    assert!(
        matches!(&changed.update, EndpointUpdate::Delta(rows) if rows.len() == 1 && rows[0].state == PodState::Gone)
    );
    assert!(
        changed.errors[0].starts_with("host p2: ")
            && changed.errors[1].starts_with("host unknown: ")
    );
    // Nor does one in the list that was held before the start.
    let mut list = EndpointList::new(&[], &[]);
    let held = list.load_cached(read, Duration::from_secs(3600), SystemTime::now());
    assert!(matches!(held, EndpointUpdate::Cached(rows) if rows.len() == 1));
}

/// While the stream to where rollouts were before stands beside the new one, each tells of a wrong answer: it counts once.
/// One stream that tells of two alike tells of two.
#[test]
fn a_report_told_by_two_streams_counts_once() {
    let report = |pod: &str| WrongAnswer {
        host: pod.into(),
        class: "look".into(),
        age_ms: 0.0,
    };
    let ms = |ms| Duration::from_millis(ms);
    let mut reports = WrongAnswerLog::default();
    assert!(reports.record("old", &report("p1"), ms(1000), ms(2000)));
    assert!(reports.record("old", &report("p1"), ms(1001), ms(2001)));
    assert!(reports.record("new", &report("p2"), ms(1000), ms(2002)));
    assert!(reports.record("new", &report("p1"), ms(1500), ms(2003)));
    assert!(!reports.record("new", &report("p1"), ms(1003), ms(2004)));
    assert!(!reports.record("new", &report("p1"), ms(1003), ms(2004)));
    assert!(reports.record("new", &report("p1"), ms(1003), ms(2005)));
}

/// What came whole before something that can't be read is good, in the same piece or one before.
#[test]
fn what_came_before_noise_is_told() {
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

/// News that closes a build to what has not gone out: it goes back, or its cap is lower than before.
#[rstest]
#[case::begins(2, "Progressing", 0.3, None)]
#[case::higher(1, "Progressing", 0.6, None)]
#[case::lower(1, "Progressing", 0.2, Some(1))]
#[case::released(1, "Healthy", 1.0, None)]
#[case::goes_back(1, "Aborting", 0.0, Some(1))]
#[case::withdrawn(1, "Aborted", 0.0, Some(1))]
fn news_may_close_a_build(
    #[case] build: u16,
    #[case] name: &str,
    #[case] cap: f64,
    #[case] closes: Option<u16>,
) {
    let told = |build, name, cap| serde_json::from_str(&state(build, 0, name, cap)).unwrap();
    let mut latest = LatestState::default();
    latest.accept(told(1, "Progressing", 0.3)).unwrap();
    let accepted = latest.accept(told(build, name, cap)).unwrap();
    assert_eq!(accepted.closed_build.map(|build| build.0), closes);
}
