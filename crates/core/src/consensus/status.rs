//! Status of a control replica for status reports.

use serde::{Deserialize, Serialize};

use super::ELECTION_TIMEOUT_MAX_MS;
use super::entry::{Voter, VoterSet};
use super::replica::ControlReplica;
use super::role::Role;
use crate::ids::{NodeId, Version};
use crate::time::Instant;

/// Time without contact to a quorum after which a replica counts as cut off from it, in
/// milliseconds. Most elections are shorter.
const LACKS_QUORUM_AFTER_MS: u64 = 1_500;

/// Role of a control replica in status reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ControlRole {
    /// Has an empty storage and waits for the other initial voters, or for a leader.
    Blank,
    /// Follows without a vote: its storage is not that of a voter, or the entry
    /// that makes it a voter is not known to be committed.
    Learner,
    /// Receives nothing from the log: no leader replicates to it, and it has no vote.
    Standby,
    /// Follows as a voter.
    Follower,
    /// Requests votes or pre-votes.
    Candidate,
    /// Leads the term.
    Leader,
    /// Its disk failed, so it no longer takes part in consensus.
    Failed,
}

/// Status of a control replica.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Its role.
    pub role: ControlRole,
    /// Its current term.
    pub term: u64,
    /// The leader that it follows; itself where it leads.
    pub leader: Option<NodeId>,
    /// Index of the newest entry that it has recorded as committed.
    pub commit_index: u64,
    /// Index of the last entry in its log.
    pub last_index: u64,
    /// Version of its newest committed configuration.
    pub version: Version,
    /// The voters, by the newest entry that it has applied.
    pub voters: VoterSet,
    /// Whether it had contact with a quorum within the election timeout.
    pub is_current: bool,
    /// Time since its last contact with a quorum, in milliseconds; none where it is current.
    pub not_current_for_ms: Option<u64>,
}

impl ControlReplica {
    /// Whether the replica had contact with a quorum within the election timeout: as its leader,
    /// or by a heartbeat of the leader.
    pub fn is_current(&self, now: Instant) -> bool {
        !self.storage.has_failed()
            && self.leader.is_some()
            && now.since_ms(self.last_quorum_contact_at(now)) < ELECTION_TIMEOUT_MAX_MS
    }

    /// Last time at which the replica had contact with a quorum.
    pub(super) fn last_quorum_contact_at(&self, now: Instant) -> Instant {
        let Role::Leader(leadership) = &self.role else { return self.last_leader_contact_at };
        let last_response_us = |voter: &Voter| {
            if Some(voter.node) == self.leader {
                return now.as_us();
            }
            let peer = leadership.peers.get(&voter.node);
            peer.filter(|peer| peer.has_disk(voter.disk))
                .map_or(0, |peer| peer.last_response_at.as_us())
        };
        Instant::from_us(self.quorum_value(last_response_us))
    }

    /// Last time at which this replica had published everything up to the commit
    /// index of a leader with a quorum.
    pub fn published_all_at(&self, now: Instant) -> Option<Instant> {
        if !self.is_publishing || self.storage.has_failed() {
            return None;
        }
        match &self.role {
            Role::Leader(_) => {
                self.has_committed_in_term().then(|| self.last_quorum_contact_at(now))
            }
            _ => self.caught_up_at,
        }
    }

    /// Whether this replica has had no contact with a quorum for a while, or, as a
    /// standby, none with a replica that knows the leader.
    pub fn lacks_quorum(&mut self, now: Instant) -> bool {
        self.log_contact_at =
            self.log_contact_at.max(self.published_all_at(now).unwrap_or_default());
        now.since_ms(self.log_contact_at) >= LACKS_QUORUM_AFTER_MS
    }

    /// Returns the status of the replica.
    pub fn status(&self, me: NodeId, now: Instant) -> ControlStatus {
        let is_current = self.is_current(now);
        let since = self.last_quorum_contact_at(now);
        ControlStatus {
            role: self.control_role(me),
            term: self.hard_state.term,
            leader: self.leader,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            version: self.state_machine.configuration().version(),
            voters: self.state_machine.voters().clone(),
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
            _ if self.is_presumed_removed() => ControlRole::Standby,
            // Decided by the committed set: until it is committed, losing an old voter may cost
            // the quorum.
            Role::Follower if self.state_machine.voters().disk_of(node) == Some(self.disk) => {
                ControlRole::Follower
            }
            Role::Follower if self.participation(node).is_standby() => ControlRole::Standby,
            Role::Follower => ControlRole::Learner,
            Role::PreCandidate(_) | Role::Candidate(_) => ControlRole::Candidate,
            Role::Leader(_) => ControlRole::Leader,
        }
    }
}
