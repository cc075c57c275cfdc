//! State and timers of a member, and the interface for its host.

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

/// Number of members notified of a leave; they gossip it to the others.
const LEAVE_FANOUT: usize = 5;
/// Maximum number of datagrams, of events and of direct messages that wait for the host.
pub(crate) const MAX_QUEUED: usize = 1024;
/// Interval to the next deadline of a stopped member.
const STOPPED_INTERVAL: Duration = Duration::from_secs(3600);

/// One member of the fleet. All times are of the caller's clock, whose origin is arbitrary.
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
    /// Set once the member has left or was superseded; it then sends nothing.
    pub(crate) stopped: bool,
    pub(crate) datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
    pub(crate) events: VecDeque<MembershipEvent>,
    pub(crate) direct_messages: VecDeque<(MemberName, Vec<u8>)>,
    pub(crate) bytes_sent: u64,
    pub(crate) rejected: BTreeMap<DatagramError, u64>,
}

impl Membership {
    /// Creates a member that knows no other member yet.
    ///
    /// # Errors
    /// The configuration is invalid.
    pub fn new(now: Duration, config: Config) -> Result<Self, ConfigError> {
        config.validate()?;
        let mut rng = WyRand::new_seed(config.seed);
        let interval = config.probe_interval;
        // A random phase keeps members that start together from probing at the same time.
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

    /// Returns the other members that are alive or suspect, ordered by name.
    pub fn active_members(&self) -> impl Iterator<Item = &Member> {
        self.table.active()
    }

    /// Returns all other members in the table, including those that are dead or left, ordered by
    /// name.
    pub fn known_members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter()
    }

    /// Returns this member's own status.
    pub fn local_member(&self) -> &StatusUpdate {
        &self.local
    }

    /// Publishes bytes to all members, replacing what was published before. Returns false and
    /// changes nothing if there are more than [`MAX_PUBLISHED_BYTES`].
    pub fn publish(&mut self, now: Duration, bytes: Vec<u8>) -> bool {
        if bytes.len() > MAX_PUBLISHED_BYTES {
            return false;
        }
        self.published.publish(now, &self.local, bytes);
        true
    }

    /// Returns what another active member has published, and when that was received.
    pub fn published_by(&self, name: &MemberName) -> Option<(&[u8], Duration)> {
        let (state, received_at) = self.published.get(name)?;
        self.table.active_process(name, state.started_at_ms)?;
        Some((state.bytes.as_slice(), received_at))
    }

    /// Sends a message to one member regardless of its status, because a member that the probes
    /// cannot reach may still receive it. Returns false if the member is unknown or there are more
    /// than [`MAX_DIRECT_BYTES`] bytes. Direct messages are not charged to the byte budget; the
    /// caller has to limit them.
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

    /// Takes the next received direct message and its sender.
    pub fn take_direct_message(&mut self) -> Option<(MemberName, Vec<u8>)> {
        self.direct_messages.pop_front()
    }

    /// Returns Lifeguard's local health, 0 (healthy) to 8: the number of probe intervals by which
    /// probes are prolonged.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health()
    }

    /// Returns the total size of all datagrams sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Returns the number of rejected datagrams by reason.
    pub fn rejected_datagrams(&self) -> &BTreeMap<DatagramError, u64> {
        &self.rejected
    }

    /// Replaces the keys.
    ///
    /// # Errors
    /// The keys are invalid; the current ones remain in use.
    pub fn replace_keys(&mut self, keys: Vec<Key>) -> Result<(), ConfigError> {
        validate_keys(&keys)?;
        self.sealer.replace_keys(keys);
        Ok(())
    }

    /// Takes the next datagram to send and its destination.
    pub fn take_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    /// Takes the next event.
    pub fn take_event(&mut self) -> Option<MembershipEvent> {
        self.events.pop_front()
    }

    /// Returns the latest time at which [`Membership::tick`] has to be called.
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

    /// Runs all expired timers.
    pub fn tick(&mut self, now: Duration) {
        let delay = now.saturating_sub(self.next_deadline());
        if delay > self.config.probe_interval {
            // This process was paused, so other members must not be blamed for messages missed
            // meanwhile.
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

    /// Leaves the fleet: notifies some members, which gossip it, and sends nothing afterwards.
    pub fn leave(&mut self, now: Duration) {
        self.local.status = MemberStatus::Left;
        for address in self.random_active_addresses(LEAVE_FANOUT, None) {
            self.send_packet(now, address, Message::Gossip, Vec::new(), Vec::new());
        }
        self.stopped = true;
        self.clear_timers(now);
    }

    /// Postpones all timers of a stopped member. Suspects become dead, because a suspicion has a
    /// deadline too.
    pub(crate) fn clear_timers(&mut self, now: Duration) {
        let next_deadline_after_stop = now + STOPPED_INTERVAL;
        self.detector.stop(next_deadline_after_stop);
        self.next_reconnect = next_deadline_after_stop;
        self.next_sync = next_deadline_after_stop;
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

    /// Returns this member's clock as Unix time in milliseconds.
    pub(crate) fn unix_time_ms(&self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.config.started_at);
        self.config.started_at_ms + elapsed.as_millis() as u64
    }

    /// Returns the number of active members, including this one.
    pub(crate) fn group_size(&self) -> usize {
        self.table.active_count() + 1
    }

    /// Draws a number uniformly from [0, 1).
    pub(crate) fn random_fraction(&mut self) -> f64 {
        random_fraction(&mut self.rng)
    }
}

/// Draws a number uniformly from [0, 1) using 53 random bits, the precision of an `f64`.
fn random_fraction(rng: &mut WyRand) -> f64 {
    (rng.generate::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}
