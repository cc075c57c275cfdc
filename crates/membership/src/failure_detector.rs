//! SWIM's failure detector (section 3.1): each period one member is probed, and through other members if it does not answer.
//! Members are probed round-robin in a random order (section 4.3). Local health is Lifeguard's LHA-Probe: a member that
//! seems to be slow itself gives the others more time. Nacks tell it whether those that it asked for help are reached.

use crate::member_table::Member;
use crate::membership::Membership;
use crate::packet::Message;
use crate::status::{MemberName, MemberStatus};
use nanorand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Random members that receive gossip each period, beside the one that is probed.
const GOSSIP_FANOUT: usize = 2;
/// Worst local health; 0 is healthy. Probes then take nine times as long.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Probes on behalf of others that are under way at one time.
const MAX_RELAYED_PROBES: usize = 256;
/// Part of a period after which a relayed probe is answered by a nack: before the asking member's own deadline, half a
/// period after it asked.
const RELAY_TIMEOUT_PERIODS: f64 = 0.4;

/// The probe of this period.
struct PendingProbe {
    number: u32,
    target: MemberName,
    /// When other members are asked to probe the target.
    indirect_at: Duration,
    /// When the target is suspected.
    deadline: Duration,
    /// Members that were asked for an indirect probe, and nacks of those.
    helpers: u32,
    nacks: u32,
}

/// A probe on behalf of another member.
struct RelayedProbe {
    /// The number of that member's own probe.
    origin_number: u32,
    origin: SocketAddr,
    deadline: Duration,
}

/// State of the failure detector.
pub(crate) struct FailureDetector {
    next_probe: Duration,
    pending: Option<PendingProbe>,
    /// The rest of this round's random order; the last one is next.
    probe_order: Vec<MemberName>,
    /// By the number of this member's probe.
    relayed: BTreeMap<u32, RelayedProbe>,
    last_number: u32,
    local_health: u32,
}

impl FailureDetector {
    pub(crate) fn new(next_probe: Duration) -> Self {
        Self {
            next_probe,
            pending: None,
            probe_order: Vec::new(),
            relayed: BTreeMap::new(),
            last_number: 0,
            local_health: 0,
        }
    }

    pub(crate) fn local_health(&self) -> u32 {
        self.local_health
    }

    pub(crate) fn worsen_local_health(&mut self, by: u32) {
        self.local_health = (self.local_health + by).min(MAX_LOCAL_HEALTH);
    }

    pub(crate) fn next_deadline(&self) -> Duration {
        let probe = match &self.pending {
            None => self.next_probe,
            Some(pending) if pending.helpers == 0 => pending.indirect_at,
            Some(pending) => pending.deadline,
        };
        self.relayed
            .values()
            .map(|relayed| relayed.deadline)
            .fold(probe, Duration::min)
    }

    /// Extends the pending probe: this process stood still, and may not have read an answer.
    pub(crate) fn postpone_probe(&mut self, delay: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.indirect_at += delay;
            pending.deadline += delay;
        }
    }

    /// Drops all probes; none is due before that time.
    pub(crate) fn stop(&mut self, next_probe: Duration) {
        self.next_probe = next_probe;
        self.pending = None;
        self.relayed.clear();
    }

    pub(crate) fn record_nack(&mut self, number: u32) {
        if let Some(pending) = &mut self.pending {
            if pending.number == number {
                pending.nacks += 1;
            }
        }
    }

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn take_expired_relays(&mut self, now: Duration) -> Vec<RelayedProbe> {
        let expired: Vec<u32> = self
            .relayed
            .iter()
            .filter(|(_, relayed)| now >= relayed.deadline)
            .map(|(number, _)| *number)
            .collect();
        expired
            .iter()
            .filter_map(|number| self.relayed.remove(number))
            .collect()
    }
}

impl Membership {
    /// Does what the failure detector has due.
    pub(crate) fn tick_failure_detector(&mut self, now: Duration) {
        self.expire_relayed_probes(now);
        self.continue_probe(now);
        self.expire_suspicions(now);
        if self.detector.pending.is_none() && now >= self.detector.next_probe {
            self.start_probe(now);
        }
    }

    fn expire_relayed_probes(&mut self, now: Duration) {
        for relayed in self.detector.take_expired_relays(now) {
            let number = relayed.origin_number;
            self.send(now, relayed.origin, Message::Nack { number }, None);
        }
    }

    fn start_probe(&mut self, now: Duration) {
        let timeout = self.config.probe_interval * (1 + self.detector.local_health);
        self.detector.next_probe = now + timeout;
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let Some(address) = self.address_of(&target) else {
            return;
        };
        let number = self.send_probe(now, address, &target);
        self.detector.pending = Some(PendingProbe {
            number,
            target,
            indirect_at: now + timeout / 2,
            deadline: now + timeout,
            helpers: 0,
            nacks: 0,
        });
        if !self.update_queue.is_empty() || !self.published.queue.is_empty() {
            for address in self.random_active_addresses(GOSSIP_FANOUT, None) {
                self.send(now, address, Message::Gossip, None);
            }
        }
    }

    /// Probes a member, and tells it first what its status is here (Lifeguard's buddy system). Returns the probe's number.
    fn send_probe(&mut self, now: Duration, address: SocketAddr, target: &MemberName) -> u32 {
        let number = self.detector.next_number();
        let probe = Message::Probe {
            number,
            target: target.clone(),
        };
        self.send(now, address, probe, Some(target));
        number
    }

    /// The next active member of this round; a new round has a new random order. So none waits longer than two rounds.
    fn next_probe_target(&mut self) -> Option<MemberName> {
        loop {
            while let Some(name) = self.detector.probe_order.pop() {
                if self.table.get(&name).is_some_and(Member::is_active) {
                    return Some(name);
                }
            }
            let mut order: Vec<MemberName> = self
                .table
                .active()
                .map(|member| member.update.name.clone())
                .collect();
            if order.is_empty() {
                return None;
            }
            self.rng.shuffle(&mut order);
            self.detector.probe_order = order;
        }
    }

    fn continue_probe(&mut self, now: Duration) {
        let Some(pending) = &self.detector.pending else {
            return;
        };
        if now >= pending.deadline {
            self.fail_probe(now);
        } else if now >= pending.indirect_at && pending.helpers == 0 {
            self.request_indirect_probes(now);
        }
    }

    /// Nobody reached the target: it is suspected.
    fn fail_probe(&mut self, now: Duration) {
        let Some(probe) = self.detector.pending.take() else {
            return;
        };
        // A helper that sent neither ack nor nack was not reached either: the fault may be on this side.
        let missed_nacks = probe.helpers.saturating_sub(probe.nacks);
        self.detector.worsen_local_health(missed_nacks);
        let Some(member) = self.table.get(&probe.target) else {
            return;
        };
        if member.update.status != MemberStatus::Alive {
            return;
        }
        let suspicion = member.update.clone().with_status(MemberStatus::Suspect);
        let address = suspicion.address;
        let local_name = self.local.name.clone();
        self.apply_update(now, suspicion, &local_name);
        // The suspect is notified at once, so that it can refute.
        self.send_probe(now, address, &probe.target);
    }

    fn request_indirect_probes(&mut self, now: Duration) {
        let Some(pending) = &self.detector.pending else {
            return;
        };
        let number = pending.number;
        let target = pending.target.clone();
        let Some(address) = self.address_of(&target) else {
            return;
        };
        let helpers = self.random_active_addresses(INDIRECT_PROBES, Some(&target));
        if let Some(pending) = &mut self.detector.pending {
            pending.helpers = helpers.len() as u32;
            // With nobody to ask, the target has the rest of the time to answer.
            pending.indirect_at = pending.deadline;
        }
        for helper in helpers {
            let request = Message::IndirectProbe {
                number,
                target: target.clone(),
                address,
            };
            self.send(now, helper, request, None);
        }
    }

    /// Probes a member for another one; beyond the limit the request is dropped as if the datagram were lost.
    pub(crate) fn relay_probe(
        &mut self,
        now: Duration,
        origin: SocketAddr,
        origin_number: u32,
        target: MemberName,
        address: SocketAddr,
    ) {
        if self.detector.relayed.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let number = self.detector.next_number();
        let timeout = self.config.probe_interval.mul_f64(RELAY_TIMEOUT_PERIODS);
        self.detector.relayed.insert(
            number,
            RelayedProbe {
                origin_number,
                origin,
                deadline: now + timeout,
            },
        );
        self.send(now, address, Message::Probe { number, target }, None);
    }

    /// An ack of a probe of this member: its own one, directly or through a helper, or one that it relayed.
    pub(crate) fn handle_ack(&mut self, now: Duration, number: u32, from: &MemberName) {
        if let Some(relayed) = self.detector.relayed.remove(&number) {
            let number = relayed.origin_number;
            self.send(now, relayed.origin, Message::Ack { number }, None);
        }
        let is_answer = self.detector.pending.as_ref().is_some_and(|pending| {
            pending.number == number && (pending.target == *from || pending.helpers > 0)
        });
        if is_answer {
            self.detector.pending = None;
            self.detector.local_health = self.detector.local_health.saturating_sub(1);
        }
    }

    fn address_of(&self, name: &MemberName) -> Option<SocketAddr> {
        self.table.get(name).map(|member| member.update.address)
    }

    /// Addresses of up to `count` random active members: the first places of a Fisher-Yates shuffle.
    pub(crate) fn random_active_addresses(
        &mut self,
        count: usize,
        except: Option<&MemberName>,
    ) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .table
            .active()
            .filter(|member| Some(&member.update.name) != except)
            .map(|member| member.update.address)
            .collect();
        let count = count.min(addresses.len());
        for place in 0..count {
            let other = self.rng.generate_range(place..addresses.len());
            addresses.swap(place, other);
        }
        addresses.truncate(count);
        addresses
    }
}
