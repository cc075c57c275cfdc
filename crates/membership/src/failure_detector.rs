//! SWIM's failure detector (section 3.1): one member is probed in each period, and indirectly
//! through other members if it does not answer.
//!
//! Members are probed round-robin in random order (section 4.3). Local health is Lifeguard's
//! LHA-Probe: a member that appears to be slow itself allows the others more time. Missing nacks
//! tell it that the members it asked for indirect probes could not be reached either.

use crate::member_table::Member;
use crate::membership::Membership;
use crate::packet::Message;
use crate::status::{MemberName, MemberStatus};
use nanorand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of members asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Number of random members that receive gossip in each period, in addition to the probed one.
const GOSSIP_FANOUT: usize = 2;
/// Worst local health, where 0 is healthy. Probes then take nine times as long.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Maximum number of pending probes on behalf of other members.
const MAX_RELAYED_PROBES: usize = 256;
/// Fraction of a period after which an unanswered relayed probe is reported by a nack. The nack
/// thus arrives before the requesting member's own deadline, half a period after its request.
const RELAY_TIMEOUT_PERIODS: f64 = 0.4;

/// The pending probe of the current period.
struct PendingProbe {
    number: u32,
    target: MemberName,
    /// Time at which other members are asked to probe the target.
    indirect_at: Duration,
    /// Time at which the target becomes suspect.
    deadline: Duration,
    /// Number of members asked for an indirect probe, and of nacks received from them.
    helpers: u32,
    nacks: u32,
}

/// A probe on behalf of another member.
struct RelayedProbe {
    /// Number of that member's own probe.
    origin_number: u32,
    origin: SocketAddr,
    deadline: Duration,
}

/// State of the failure detector.
pub(crate) struct FailureDetector {
    next_probe: Duration,
    pending: Option<PendingProbe>,
    /// Remaining members of this round in random order; the last one is probed next.
    probe_order: Vec<MemberName>,
    /// Keyed by the number of this member's probe.
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

    /// Extends the pending probe after this process was paused and may have missed an answer.
    pub(crate) fn postpone_probe(&mut self, delay: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.indirect_at += delay;
            pending.deadline += delay;
        }
    }

    /// Drops all probes and starts none before `next_probe`.
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
    /// Runs the failure detector's expired timers.
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

    /// Probes a member after telling it its status as known here (Lifeguard's buddy system).
    /// Returns the probe's number.
    fn send_probe(&mut self, now: Duration, address: SocketAddr, target: &MemberName) -> u32 {
        let number = self.detector.next_number();
        let probe = Message::Probe {
            number,
            target: target.clone(),
        };
        self.send(now, address, probe, Some(target));
        number
    }

    /// Returns the next active member of this round. Each round has a new random order, so a member
    /// waits at most two rounds.
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

    /// Suspects the target of a probe that was answered neither directly nor indirectly.
    fn fail_probe(&mut self, now: Duration) {
        let Some(probe) = self.detector.pending.take() else {
            return;
        };
        // A helper that sent neither ack nor nack was not reached either, so the fault may be
        // local.
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
        // Notifies the suspect at once, so that it can refute.
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
            // Without helpers, the target has the remaining time to answer.
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

    /// Probes a member on behalf of another one. Above the limit the request is dropped, as if its
    /// datagram had been lost.
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

    /// Handles an ack to this member's own probe, received directly or through a helper, or to a
    /// probe that it relays.
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

    /// Returns the addresses of up to `count` random active members: the first elements of a
    /// Fisher-Yates shuffle.
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
        for index in 0..count {
            let other = self.rng.generate_range(index..addresses.len());
            addresses.swap(index, other);
        }
        addresses.truncate(count);
        addresses
    }
}
