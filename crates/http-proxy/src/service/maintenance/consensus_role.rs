//! This sidecar's role in the consensus: a voter, or a learner that only replicates the log.

use super::applied_log::AppliedLog;
use super::outbox::Outbox;
use super::voter::{Voter, VoterConfig};
use limewing_consensus::{Committed, Learner, NodeId, Packet};
use limewing_settings::MaintenanceSettings;
use std::io;
use std::time::Duration;

/// Interval between a learner's requests for new entries.
const LEARNER_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// The role of this sidecar, with its state.
pub(super) enum ConsensusRole {
    /// Stores the log on disk, and votes once the group has added it as a voter.
    Voter(Voter),
    /// Replicates the log of the voters without a vote.
    Learner(Box<Learner>),
}

impl ConsensusRole {
    /// Creates a voter if the settings name a state directory, otherwise a learner.
    ///
    /// # Errors
    /// The state directory cannot be used, or another process uses it.
    pub(super) fn start(
        now: Duration,
        name: &str,
        settings: &MaintenanceSettings,
        seed: u64,
    ) -> io::Result<Self> {
        if let Some(folder) = settings.state_directory.as_deref() {
            let config = VoterConfig {
                voters: &settings.voters,
                election_timeout: settings.election_timeout.into(),
                seed,
            };
            return Ok(Self::Voter(Voter::open(now, name, folder, &config)?));
        }
        let id = NodeId {
            name: name.to_owned(),
            incarnation: rand::random(),
        };
        let voters = settings.voters.clone();
        let learner = Learner::new(now, id, voters, LEARNER_POLL_INTERVAL);
        Ok(Self::Learner(Box::new(learner)))
    }

    /// Returns the voter, if this sidecar is one.
    pub(super) fn voter(&self) -> Option<&Voter> {
        match self {
            Self::Voter(voter) => Some(voter),
            Self::Learner(_) => None,
        }
    }

    /// Returns the voter mutably, if this sidecar is one.
    pub(super) fn voter_mut(&mut self) -> Option<&mut Voter> {
        match self {
            Self::Voter(voter) => Some(voter),
            Self::Learner(_) => None,
        }
    }

    /// Returns the voter, if this sidecar considers itself the leader.
    pub(super) fn leader(&self) -> Option<&Voter> {
        self.voter().filter(|voter| voter.is_leader())
    }

    /// Returns the voter, if this sidecar leads and has committed an entry of its own term.
    pub(super) fn established_leader(&self) -> Option<&Voter> {
        self.leader()
            .filter(|voter| voter.node().is_established_leader())
    }

    /// When [`Self::run`] is due.
    pub(super) fn next_deadline(&self) -> Duration {
        match self {
            Self::Voter(voter) => voter.next_deadline(),
            Self::Learner(learner) => learner.next_deadline(),
        }
    }

    /// The index through which [`Self::take_committed`] has returned the log, once it returns `None`.
    pub(super) fn applied_index(&self) -> u64 {
        match self {
            Self::Voter(voter) => voter.node().commit_index(),
            Self::Learner(learner) => learner.applied_index(),
        }
    }

    /// Names of the voters according to the log.
    pub(super) fn voter_names(&self) -> Vec<String> {
        match self {
            Self::Voter(voter) => {
                let members = voter.node().members().iter();
                members.map(|id| id.name.clone()).collect()
            }
            Self::Learner(learner) => learner.voters().to_vec(),
        }
    }

    /// Processes a packet from another sidecar.
    pub(super) fn receive(&mut self, now: Duration, packet: Packet) {
        match self {
            Self::Voter(voter) => voter.receive(now, packet),
            Self::Learner(learner) => learner.receive(now, packet),
        }
    }

    /// Runs timers that are due, and moves outgoing packets to the outbox.
    pub(super) fn run(&mut self, now: Duration, applied: &AppliedLog, outbox: &mut Outbox) {
        match self {
            Self::Voter(voter) => voter.run(now, applied, outbox),
            Self::Learner(learner) => {
                learner.tick(now);
                while let Some((to, packet)) = learner.take_packet() {
                    outbox.push_packet(to, &packet);
                }
            }
        }
    }

    /// Takes the next committed command or snapshot.
    pub(super) fn take_committed(&mut self) -> Option<Committed> {
        match self {
            Self::Voter(voter) => voter.take_committed(),
            Self::Learner(learner) => learner.take_committed(),
        }
    }
}
