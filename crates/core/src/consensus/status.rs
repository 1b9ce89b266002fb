//! What a status report says of a control replica.

use serde::{Deserialize, Serialize};

use super::ELECTION_TIMEOUT_MAX_MS;
use super::entry::{Voter, VoterSet};
use super::replica::ControlReplica;
use super::role::Role;
use crate::ids::{NodeId, Version};
use crate::time::Instant;

/// What a control replica is at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ControlRole {
    /// Holds nothing and waits for the first voters, or for a leader.
    Blank,
    /// Follows, but does not count: its storage is not that of a voter, or the
    /// entry that lets it vote is not known to be committed.
    Learner,
    /// Follows and votes.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Its disk failed: it takes no part any more.
    Failed,
}

/// What a status report says of a control replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// What it is.
    pub role: ControlRole,
    /// Its newest term.
    pub term: u64,
    /// The leader that it follows, itself included.
    pub leader: Option<NodeId>,
    /// The newest entry that it knows to be committed.
    pub commit_index: u64,
    /// The last entry in its log.
    pub last_index: u64,
    /// Version of the newest committed configuration that it knows.
    pub version: Version,
    /// The voters, by the newest committed entry that it knows.
    pub voters: VoterSet,
    /// Whether it was in touch with a quorum within the election timeout.
    pub is_current: bool,
    /// How long it has not been current, in milliseconds.
    pub not_current_for_ms: Option<u64>,
}

impl ControlReplica {
    /// Whether the replica was in touch with a quorum within the election timeout: as its
    /// leader, or by a heartbeat of one.
    pub fn is_current(&self, now: Instant) -> bool {
        !self.storage.has_failed()
            && self.leader.is_some()
            && now.since_ms(self.current_at(now)) < ELECTION_TIMEOUT_MAX_MS
    }

    /// Whether the disk failed, so that the replica takes no part any more.
    pub fn has_failed(&self) -> bool {
        self.storage.has_failed()
    }

    /// The last time at which the replica was in touch with a quorum.
    pub(super) fn current_at(&self, now: Instant) -> Instant {
        let Role::Leader(leadership) = &self.role else { return self.heard_leader_at };
        let heard_us = |voter: &Voter| {
            if Some(voter.node) == self.leader {
                return now.as_us();
            }
            let peer = leadership.peers.get(&voter.node);
            peer.filter(|peer| peer.is_with(voter.disk)).map_or(0, |peer| peer.heard_at.as_us())
        };
        Instant::from_us(self.quorum_value(heard_us))
    }

    /// The last time at which this replica had published all that a leader
    /// with a quorum knew to be committed.
    pub fn published_all_at(&self, now: Instant) -> Option<Instant> {
        if !self.is_publishing || self.storage.has_failed() {
            return None;
        }
        match &self.role {
            Role::Leader(_) => self.has_committed_in_term().then(|| self.current_at(now)),
            _ => self.caught_up_at,
        }
    }

    /// What a status report says of the replica.
    pub fn status(&self, me: NodeId, now: Instant) -> ControlStatus {
        let is_current = self.is_current(now);
        let since = self.current_at(now);
        ControlStatus {
            role: self.control_role(me),
            term: self.hard_state.term,
            leader: self.leader,
            commit_index: self.commit,
            last_index: self.log.last_index(),
            version: self.machine.configuration().version(),
            voters: self.machine.voters().clone(),
            is_current,
            not_current_for_ms: (!is_current).then(|| now.since_ms(since)),
        }
    }

    fn control_role(&self, node: NodeId) -> ControlRole {
        if self.storage.has_failed() {
            return ControlRole::Failed;
        }
        match &self.role {
            Role::Blank(_) => ControlRole::Blank,
            // By the committed set: before, the loss of an old voter may cost the quorum.
            Role::Follower if self.machine.voters().disk_of(node) == Some(self.disk) => {
                ControlRole::Follower
            }
            Role::Follower => ControlRole::Learner,
            Role::PreCandidate(_) | Role::Candidate(_) => ControlRole::Candidate,
            Role::Leader(_) => ControlRole::Leader,
        }
    }
}
