//! Pins the bytes of membership datagrams: one of each kind, and one for each status, address
//! family and published state.
//!
//! `golden/datagrams.hex` has one datagram per line: the case that it covers, the member it was
//! sent to, and its bytes. Key, clock and seeds of the exchange are fixed, so the seal (an HMAC
//! over the counter, the clock and the packet) is reproducible. `GOLDEN_WRITE=1` rewrites the file,
//! which is only for new kinds.

use limewing_membership::{Config, Key, MemberName, MemberStatus, Membership};
use limewing_test_support::golden;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Unix time in milliseconds at which all members of the exchange start.
const START_MS: u64 = 1_800_000_000_000;
const MEMBERS: usize = 4;
const STEP: Duration = Duration::from_millis(50);
/// Number of bytes before the packet: version, key, tag, counter, sender's clock.
const HEADER_BYTES: usize = 2 + 16 + 8 + 8;
const DIRECT_PAYLOAD: [u8; 4] = [0xde, 0xad, 0x00, 0xff];

/// The wire format of a packet, described independently of the program's types.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WirePacket {
    sender: WireUpdate,
    message: WireMessage,
    updates: Vec<WireUpdate>,
    published: Vec<WirePublished>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WireUpdate {
    name: String,
    started_at_ms: u64,
    incarnation: u32,
    status: WireStatus,
    address: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum WireStatus {
    Alive,
    Suspect,
    Dead,
    Left,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum WireMessage {
    Probe {
        number: u32,
        target: String,
    },
    Ack {
        number: u32,
    },
    IndirectProbe {
        number: u32,
        target: String,
        address: SocketAddr,
    },
    Nack {
        number: u32,
    },
    Join,
    MemberTable {
        reply_wanted: bool,
    },
    Gossip,
    Direct {
        bytes: Vec<u8>,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct WirePublished {
    name: String,
    started_at_ms: u64,
    version: u32,
    bytes: Vec<u8>,
}

struct SentDatagram {
    to: usize,
    bytes: Vec<u8>,
}

/// Members that receive each other's datagrams without delay. Killed members are `None`.
struct Exchange {
    now: Duration,
    members: Vec<Option<Membership>>,
    sent: Vec<SentDatagram>,
}

fn address(number: usize) -> SocketAddr {
    let port = 10_000 + number as u16;
    if number == 2 {
        return SocketAddr::from(([0, 0, 0, 0, 0, 0, 0, 1], port));
    }
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member_name(number: usize) -> MemberName {
    MemberName::try_from(format!("s{number}")).expect("a valid name")
}

fn new_member(number: usize) -> Membership {
    let config = Config {
        name: member_name(number),
        started_at_ms: START_MS,
        started_at: Duration::ZERO,
        address: address(number),
        seed_addresses: vec![address(0)],
        keys: vec![Key {
            id: 7,
            secret: (0..32).collect(),
        }],
        probe_interval: Duration::from_secs(1),
        bytes_per_second: 65_536,
        seed: number as u64 + 1,
    };
    Membership::new(Duration::ZERO, config).expect("a valid configuration")
}

impl Exchange {
    fn run_to(&mut self, seconds: u64) {
        while self.now < Duration::from_secs(seconds) {
            for member in self.members.iter_mut().flatten() {
                member.tick(self.now);
            }
            while self.deliver() {}
            self.now += STEP;
        }
    }

    /// Delivers one datagram of each member. Returns false if there was none.
    fn deliver(&mut self) -> bool {
        let mut delivered = false;
        for from in 0..MEMBERS {
            let taken = self.members[from]
                .as_mut()
                .and_then(Membership::take_datagram);
            let Some((to, bytes)) = taken else { continue };
            delivered = true;
            let to = usize::from(to.port() - 10_000);
            if let Some(receiver) = &mut self.members[to] {
                receiver
                    .receive(self.now, &bytes)
                    .expect("a datagram of a member");
            }
            self.sent.push(SentDatagram { to, bytes });
        }
        delivered
    }
}

/// Returns all datagrams of a fixed exchange in which four members join, one dies and one leaves.
fn exchange() -> Vec<SentDatagram> {
    let members = (0..MEMBERS)
        .map(|number| Some(new_member(number)))
        .collect();
    let mut exchange = Exchange {
        now: Duration::ZERO,
        members,
        sent: Vec::new(),
    };
    for (number, member) in exchange.members.iter_mut().flatten().enumerate() {
        assert!(member.publish(Duration::ZERO, vec![number as u8 + 1; 5]));
    }
    exchange.run_to(10);
    exchange.members[3] = None;
    let now = exchange.now;
    let sender = exchange.members[0].as_mut().expect("member 0 runs");
    assert!(sender.send_direct(now, &member_name(1), DIRECT_PAYLOAD.to_vec()));
    exchange.run_to(60);
    let now = exchange.now;
    let leaving = exchange.members[1].as_mut().expect("member 1 runs");
    leaving.leave(now);
    exchange.run_to(65);
    exchange.sent
}

fn decode_packet(datagram: &[u8]) -> WirePacket {
    let (packet, rest) = postcard::take_from_bytes(&datagram[HEADER_BYTES..])
        .expect("a packet of the described layout");
    assert!(rest.is_empty());
    packet
}

fn contains_status(packet: &WirePacket, status: WireStatus) -> bool {
    packet.updates.iter().any(|update| update.status == status)
}

type Matcher = fn(&WirePacket) -> bool;

/// Cases in the order of the file's lines. Each line is the first datagram of the exchange that
/// matches.
const CASES: [(&str, Matcher); 15] = [
    ("probe", |packet| {
        matches!(packet.message, WireMessage::Probe { .. })
    }),
    ("ack", |packet| {
        matches!(packet.message, WireMessage::Ack { .. })
    }),
    ("indirect-probe", |packet| {
        matches!(packet.message, WireMessage::IndirectProbe { .. })
    }),
    ("no-ack", |packet| {
        matches!(packet.message, WireMessage::Nack { .. })
    }),
    ("join", |packet| matches!(packet.message, WireMessage::Join)),
    ("member-table-with-reply", |packet| {
        matches!(
            packet.message,
            WireMessage::MemberTable { reply_wanted: true }
        )
    }),
    ("member-table", |packet| {
        matches!(
            packet.message,
            WireMessage::MemberTable {
                reply_wanted: false
            }
        )
    }),
    ("gossip", |packet| {
        matches!(packet.message, WireMessage::Gossip)
    }),
    ("direct-message", |packet| {
        matches!(packet.message, WireMessage::Direct { .. })
    }),
    ("published-state", |packet| !packet.published.is_empty()),
    ("ipv6-address", |packet| {
        packet.updates.iter().any(|update| update.address.is_ipv6())
    }),
    ("suspect", |packet| {
        contains_status(packet, WireStatus::Suspect)
    }),
    ("dead", |packet| contains_status(packet, WireStatus::Dead)),
    ("leave", |packet| packet.sender.status == WireStatus::Left),
    ("left", |packet| contains_status(packet, WireStatus::Left)),
];

fn read_golden() -> String {
    golden::read(
        env!("CARGO_MANIFEST_DIR"),
        "datagrams.hex",
        &generate_file(),
    )
}

fn generate_file() -> String {
    let sent = exchange();
    let mut text = String::new();
    for (name, is_match) in CASES {
        let first = sent
            .iter()
            .find(|sent| is_match(&decode_packet(&sent.bytes)));
        let first = first.unwrap_or_else(|| panic!("no datagram of the exchange matches {name}"));
        text += &format!("{name} {} {}\n", first.to, golden::to_hex(&first.bytes));
    }
    text
}

/// Returns the name, recipient and bytes of each line.
fn golden_datagrams() -> Vec<(String, usize, Vec<u8>)> {
    let text = read_golden();
    let line = |line: &str| {
        let [name, to, hex] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        (
            name.to_owned(),
            to.parse().expect("the number of a member"),
            golden::from_hex(hex),
        )
    };
    let datagrams: Vec<_> = text.lines().map(line).collect();
    let names = datagrams.iter().map(|(name, ..)| name.as_str());
    assert!(
        names.eq(CASES.iter().map(|(name, _)| *name)),
        "the file has a line for each case"
    );
    datagrams
}

/// The members of the fixed exchange send exactly the datagrams in the file, including the seal.
#[test]
fn the_exchange_sends_the_golden_datagrams() {
    assert_eq!(generate_file(), read_golden());
}

/// Field order and variant numbers of the packets match the independent description.
#[test]
fn golden_packets_have_the_described_layout() {
    for ((name, _, datagram), (_, is_match)) in golden_datagrams().into_iter().zip(CASES) {
        let packet = decode_packet(&datagram);
        assert!(is_match(&packet), "{name}: {packet:?}");
        assert_eq!(
            postcard::to_stdvec(&packet).unwrap(),
            datagram[HEADER_BYTES..],
            "{name}"
        );
        assert_eq!(datagram[..2], [1, 7], "{name}: version and key");
    }
}

fn to_wire_status(status: MemberStatus) -> WireStatus {
    match status {
        MemberStatus::Alive => WireStatus::Alive,
        MemberStatus::Suspect => WireStatus::Suspect,
        MemberStatus::Dead => WireStatus::Dead,
        MemberStatus::Left => WireStatus::Left,
    }
}

fn assert_known(receiver: &Membership, update: &WireUpdate, context: &str) {
    let member = receiver
        .known_members()
        .find(|member| member.update.name.to_string() == update.name);
    let known = &member
        .unwrap_or_else(|| panic!("{context}: {update:?} is not known"))
        .update;
    let known = WireUpdate {
        name: known.name.to_string(),
        started_at_ms: known.started_at_ms,
        incarnation: known.incarnation,
        status: to_wire_status(known.status),
        address: known.address,
    };
    assert_eq!(known, *update, "{context}");
}

/// Returns whether `reply` is what a receiver that knows no other member replies to a packet.
fn is_reply(message: &WireMessage, reply: Option<&WireMessage>) -> bool {
    match (message, reply) {
        (
            WireMessage::Probe { number, .. },
            Some(WireMessage::Ack {
                number: acknowledged,
            }),
        ) => number == acknowledged,
        (
            WireMessage::IndirectProbe { target, .. },
            Some(WireMessage::Probe { target: probed, .. }),
        ) => target == probed,
        (WireMessage::Join, Some(WireMessage::MemberTable { reply_wanted })) => *reply_wanted,
        (
            WireMessage::MemberTable { reply_wanted: true },
            Some(WireMessage::MemberTable { reply_wanted }),
        ) => !reply_wanted,
        (WireMessage::Probe { .. } | WireMessage::IndirectProbe { .. } | WireMessage::Join, _) => {
            false
        }
        (WireMessage::MemberTable { reply_wanted: true }, _) => false,
        (_, reply) => reply.is_none(),
    }
}

/// A member that has just started accepts each datagram in the file, applies its updates and
/// replies to it.
#[test]
fn members_accept_the_golden_datagrams() {
    for (name, to, datagram) in golden_datagrams() {
        let packet = decode_packet(&datagram);
        let sent_ms =
            u64::from_le_bytes(datagram[HEADER_BYTES - 8..HEADER_BYTES].try_into().unwrap());
        let now = Duration::from_millis(sent_ms - START_MS);
        let mut receiver = new_member(to);
        assert_eq!(receiver.receive(now, &datagram), Ok(()), "{name}");

        assert_known(&receiver, &packet.sender, &name);
        let own_name = member_name(to).to_string();
        let excluded = [own_name.as_str(), packet.sender.name.as_str()];
        for update in packet
            .updates
            .iter()
            .filter(|u| !excluded.contains(&u.name.as_str()))
        {
            assert_known(&receiver, update, &name);
        }
        let is_known = |published: &&WirePublished| {
            receiver
                .active_members()
                .any(|member| member.update.name.to_string() == published.name)
        };
        for published in packet.published.iter().filter(is_known) {
            let member = MemberName::try_from(published.name.clone()).unwrap();
            assert_eq!(
                receiver.published_by(&member),
                Some((&published.bytes[..], now)),
                "{name}"
            );
        }
        let direct = matches!(packet.message, WireMessage::Direct { .. });
        let expected = direct.then(|| (member_name(0), DIRECT_PAYLOAD.to_vec()));
        assert_eq!(receiver.take_direct_message(), expected, "{name}");
        let reply = receiver
            .take_datagram()
            .map(|(_, bytes)| decode_packet(&bytes).message);
        assert!(
            is_reply(&packet.message, reply.as_ref()),
            "{name}: {reply:?}"
        );
    }
}
