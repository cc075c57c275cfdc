//! Handling of received datagrams.

use crate::event::MembershipEvent;
use crate::membership::{Membership, MAX_QUEUED};
use crate::packet::{Message, Packet, PublishedState, MAX_PUBLISHED_BYTES};
use crate::sealer::DatagramError;
use crate::status::{MemberName, MemberStatus, StatusUpdate};
use std::net::SocketAddr;
use std::time::Duration;

impl Membership {
    /// Handles a received datagram.
    ///
    /// # Errors
    /// The datagram is rejected. Its contents are ignored, and it is counted in
    /// [`Membership::rejected_datagrams`].
    pub fn receive(&mut self, now: Duration, datagram: &[u8]) -> Result<(), DatagramError> {
        let result = self.open(now, datagram);
        match result {
            Ok(packet) => {
                self.handle_packet(now, packet);
                Ok(())
            }
            Err(error) => {
                *self.rejected.entry(error).or_default() += 1;
                Err(error)
            }
        }
    }

    fn open(&mut self, now: Duration, datagram: &[u8]) -> Result<Packet, DatagramError> {
        let unix_time_ms = self.unix_time_ms(now);
        let packet = self.sealer.open(datagram, unix_time_ms)?;
        if packet.sender.name != self.local.name {
            return Ok(packet);
        }
        if packet.sender.started_at_ms > self.local.started_at_ms {
            self.supersede(now);
        }
        Err(DatagramError::OwnName)
    }

    /// Stops this member because another process with its name started later.
    pub(crate) fn supersede(&mut self, now: Duration) {
        if !self.stopped {
            self.stopped = true;
            self.events.push_back(MembershipEvent::Superseded);
            self.clear_timers(now);
        }
    }

    fn handle_packet(&mut self, now: Duration, packet: Packet) {
        if self.stopped {
            return;
        }
        let Packet {
            sender,
            message,
            updates,
            published,
        } = packet;
        let name = sender.name.clone();
        let address = sender.address;
        // A member cannot report itself as suspect or dead.
        if matches!(sender.status, MemberStatus::Alive | MemberStatus::Left) {
            self.apply_update(now, sender, &name);
        }
        let from_table = matches!(message, Message::MemberTable { .. });
        for update in updates {
            self.handle_update(now, update, &name, from_table);
        }
        for state in published {
            self.handle_published(now, state);
        }
        let not_alive = self.enqueue_unless_alive(&name);
        self.handle_message(now, message, &name, address, not_alive.as_ref());
    }

    fn handle_update(
        &mut self,
        now: Duration,
        update: StatusUpdate,
        from: &MemberName,
        from_table: bool,
    ) {
        if update.name == self.local.name {
            self.refute(now, &update);
            return;
        }
        let is_active_here = || {
            self.table
                .active_process(&update.name, update.started_at_ms)
                .is_some()
        };
        // After a partition the other side's table lists reachable members as dead. They become
        // suspect here, which gives them time to refute.
        let update = if from_table && update.status == MemberStatus::Dead && is_active_here() {
            update.with_status(MemberStatus::Suspect)
        } else {
            update
        };
        self.apply_update(now, update, from);
    }

    /// Stores published state of active members only, which bounds the number of states.
    fn handle_published(&mut self, now: Duration, state: PublishedState) {
        let is_active = self
            .table
            .active_process(&state.name, state.started_at_ms)
            .is_some();
        if state.name != self.local.name && is_active && state.bytes.len() <= MAX_PUBLISHED_BYTES {
            self.published.apply(now, state);
        }
    }

    /// Queues the status of a sender that is not alive in this table, so that the reply lets it
    /// refute (Lifeguard's buddy system). Returns the sender's name in that case.
    fn enqueue_unless_alive(&mut self, name: &MemberName) -> Option<MemberName> {
        let member = self.table.get(name)?;
        if member.update.status == MemberStatus::Alive {
            return None;
        }
        let update = member.update.clone();
        self.update_queue.enqueue(update);
        Some(name.clone())
    }

    fn handle_message(
        &mut self,
        now: Duration,
        message: Message,
        from: &MemberName,
        address: SocketAddr,
        not_alive: Option<&MemberName>,
    ) {
        match message {
            Message::Probe { number, target } => {
                if target == self.local.name {
                    self.send(now, address, Message::Ack { number }, not_alive);
                }
            }
            Message::Ack { number } => self.handle_ack(now, number, from),
            Message::IndirectProbe {
                number,
                target,
                address: target_address,
            } => self.relay_probe(now, address, number, target, target_address),
            Message::Nack { number } => self.detector.record_nack(number),
            Message::Direct { bytes } => {
                // Above the limit messages are dropped, as if lost on the network.
                if self.direct_messages.len() < MAX_QUEUED {
                    self.direct_messages.push_back((from.clone(), bytes));
                }
            }
            Message::Join => self.send_member_table(now, address, true),
            Message::MemberTable { reply_wanted: true } => {
                self.send_member_table(now, address, false);
            }
            Message::MemberTable {
                reply_wanted: false,
            }
            | Message::Gossip => {}
        }
    }
}
