//! A member's state, its timers, and what the host calls.

use crate::anti_entropy::SYNC_INTERVALS;
use crate::broadcast_queue::BroadcastQueue;
use crate::config::{validate_keys, Config, ConfigError};
use crate::event::MembershipEvent;
use crate::failure_detector::FailureDetector;
use crate::member_table::{Member, MemberTable};
use crate::packet::{Message, MAX_DIRECT_BYTES, MAX_PUBLISHED_BYTES};
use crate::published_state::PublishedStates;
use crate::sealer::{DatagramError, DatagramSealer, Key};
use crate::sending::ByteBudget;
use crate::status::{MemberName, MemberStatus, StatusUpdate};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Members that are notified of a leave; they gossip it.
const LEAVE_FANOUT: usize = 5;
/// Datagrams, events and direct messages that wait for the host, of each at most.
pub(crate) const MAX_QUEUED: usize = 1024;
/// A stopped member has its next deadline so late.
const STOPPED_INTERVAL: Duration = Duration::from_secs(3600);

/// One member of the fleet. All times are of the caller's clock, which may start anywhere.
pub struct Membership {
    pub(crate) config: Config,
    /// This member's own status.
    pub(crate) local: StatusUpdate,
    pub(crate) table: MemberTable,
    pub(crate) update_queue: BroadcastQueue<StatusUpdate>,
    pub(crate) published: PublishedStates,
    pub(crate) sealer: DatagramSealer,
    pub(crate) rng: WyRand,
    pub(crate) detector: FailureDetector,
    pub(crate) budget: ByteBudget,
    pub(crate) next_reconnect: Duration,
    next_sync: Duration,
    /// It left or was superseded: it sends nothing any more.
    pub(crate) stopped: bool,
    pub(crate) datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    pub(crate) events: VecDeque<MembershipEvent>,
    pub(crate) direct_messages: VecDeque<(MemberName, Vec<u8>)>,
    pub(crate) bytes_sent: u64,
    pub(crate) rejected: BTreeMap<DatagramError, u64>,
}

impl Membership {
    /// A member that knows nobody yet.
    ///
    /// # Errors
    /// What of the configuration can't be used.
    pub fn new(now: Duration, config: Config) -> Result<Self, ConfigError> {
        config.validate()?;
        let mut rng = WyRand::new_seed(config.seed);
        let interval = config.probe_interval;
        // Members of a fleet that starts at once don't probe at the same moment.
        let first_probe = interval.mul_f64(random_fraction(&mut rng));
        let local = StatusUpdate {
            name: config.name.clone(),
            started_at_ms: config.started_at_ms,
            incarnation: 0,
            status: MemberStatus::Alive,
            address: config.address,
        };
        Ok(Self {
            local,
            table: MemberTable::default(),
            update_queue: BroadcastQueue::default(),
            published: PublishedStates::default(),
            sealer: DatagramSealer::new(config.keys.clone()),
            rng,
            detector: FailureDetector::new(now + first_probe),
            budget: ByteBudget::new(config.bytes_per_second, now),
            next_reconnect: now,
            next_sync: now + interval * SYNC_INTERVALS + first_probe,
            stopped: false,
            datagrams: VecDeque::new(),
            events: VecDeque::new(),
            direct_messages: VecDeque::new(),
            bytes_sent: 0,
            rejected: BTreeMap::new(),
            config,
        })
    }

    /// The other members that are alive or suspect, by name.
    pub fn active_members(&self) -> impl Iterator<Item = &Member> {
        self.table.active()
    }

    /// All other members in the table, the dead and those that left among them, by name.
    pub fn known_members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// This member's own status.
    pub fn local_member(&self) -> &StatusUpdate {
        &self.local
    }

    /// Publishes some bytes to all members, in the place of those before; false if there are more than
    /// [`MAX_PUBLISHED_BYTES`], which changes nothing.
    pub fn publish(&mut self, now: Duration, bytes: Vec<u8>) -> bool {
        if bytes.len() > MAX_PUBLISHED_BYTES {
            return false;
        }
        self.published.publish(now, &self.local, bytes);
        true
    }

    /// What another active member has published, and when that was received.
    pub fn published_by(&self, name: &MemberName) -> Option<(&[u8], Duration)> {
        let (state, received_at) = self.published.get(name)?;
        self.table.active_process(name, state.started_at_ms)?;
        Some((state.bytes.as_slice(), received_at))
    }

    /// Sends a message to one member, whatever its status: who is cut off from here may be reached there. False if the
    /// member is not known or there are more than [`MAX_DIRECT_BYTES`] bytes. Direct messages don't count against the byte
    /// budget: the caller has to limit them.
    pub fn send_direct(&mut self, now: Duration, to: &MemberName, bytes: Vec<u8>) -> bool {
        let Some(member) = self.table.get(to) else {
            return false;
        };
        if bytes.len() > MAX_DIRECT_BYTES {
            return false;
        }
        let address = member.update.address;
        self.send_uncharged(
            now,
            address,
            Message::Direct { bytes },
            Vec::new(),
            Vec::new(),
        );
        true
    }

    /// The next direct message that was received, and its sender.
    pub fn take_direct_message(&mut self) -> Option<(MemberName, Vec<u8>)> {
        self.direct_messages.pop_front()
    }

    /// Lifeguard's local health, 0 (healthy) to 8: by so many probe intervals its probes take longer.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health()
    }

    /// Bytes of all datagrams since the start.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Number of datagrams that were rejected, by cause.
    pub fn rejected_datagrams(&self) -> &BTreeMap<DatagramError, u64> {
        &self.rejected
    }

    /// Replaces the keys.
    ///
    /// # Errors
    /// Why the keys can't be used; the old ones stay.
    pub fn replace_keys(&mut self, keys: Vec<Key>) -> Result<(), ConfigError> {
        validate_keys(&keys)?;
        self.sealer.replace_keys(keys);
        Ok(())
    }

    /// The next datagram to send, and where to.
    pub fn take_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    /// The next event.
    pub fn take_event(&mut self) -> Option<MembershipEvent> {
        self.events.pop_front()
    }

    /// When [`Membership::tick`] is to be called at the latest.
    pub fn next_deadline(&self) -> Duration {
        let timers = self
            .detector
            .next_deadline()
            .min(self.next_reconnect)
            .min(self.next_sync);
        self.table
            .suspects()
            .map(|suspect| self.suspicion_deadline(suspect))
            .fold(timers, Duration::min)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        let delay = now.saturating_sub(self.next_deadline());
        if delay > self.config.probe_interval {
            // This process stood still: no other member is to blame for what was not received meanwhile.
            self.detector.worsen_local_health(1);
            self.table.postpone_suspicions(delay);
            self.detector.postpone_probe(delay);
        }
        if self.stopped {
            self.clear_timers(now);
            return;
        }
        self.tick_failure_detector(now);
        if now >= self.next_reconnect {
            self.reconnect(now);
        }
        if now >= self.next_sync {
            self.next_sync = now + self.config.probe_interval * SYNC_INTERVALS;
            self.sync(now);
            self.remove_expired(now);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.table.remove_expired(now);
        let table = &self.table;
        let local_name = &self.local.name;
        self.published
            .retain(|name| name == local_name || table.get(name).is_some_and(Member::is_active));
    }

    /// Leaves: notifies some members, which gossip it. Nothing is sent afterwards.
    pub fn leave(&mut self, now: Duration) {
        self.local.status = MemberStatus::Left;
        for address in self.random_active_addresses(LEAVE_FANOUT, None) {
            self.send_packet(now, address, Message::Gossip, Vec::new(), Vec::new());
        }
        self.stopped = true;
        self.clear_timers(now);
    }

    /// Puts off all that is due, for a member that has stopped. Suspects become dead, as a suspicion is a deadline too.
    pub(crate) fn clear_timers(&mut self, now: Duration) {
        let later = now + STOPPED_INTERVAL;
        self.detector.stop(later);
        self.next_reconnect = later;
        self.next_sync = later;
        let suspects: Vec<StatusUpdate> = self
            .table
            .suspects()
            .map(|member| member.update.clone())
            .collect();
        for suspect in suspects {
            let dead = suspect.with_status(MemberStatus::Dead);
            self.table.apply(dead, &self.local.name, now);
        }
    }

    /// This member's clock, Unix time in milliseconds.
    pub(crate) fn unix_time_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.config.started_at);
        self.config.started_at_ms + elapsed.as_millis() as u64
    }

    /// Active members, this one among them.
    pub(crate) fn group_size(&self) -> usize {
        self.table.active_count() + 1
    }

    /// Uniform in [0, 1).
    pub(crate) fn random_fraction(&mut self) -> f64 {
        random_fraction(&mut self.rng)
    }
}

/// Uniform in [0, 1): 53 random bits, as many as a double's mantissa has.
fn random_fraction(rng: &mut WyRand) -> f64 {
    (rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}
