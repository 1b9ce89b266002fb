//! Pending proposals and reads.

use std::collections::{BTreeMap, VecDeque};

use super::{ChangeOutcome, Origin};
use crate::ids::NodeId;
use crate::time::Instant;

/// Timeout of a proposal, in milliseconds. Its outcome is then reported as unknown.
pub const PROPOSAL_TIMEOUT_MS: u64 = 3_000;

/// Timeout of a read, in milliseconds. The read is then refused.
pub const READ_TIMEOUT_MS: u64 = 1_000;

/// Time without a response after which a follower sends its read request to the leader again,
/// in milliseconds: the request may be lost with a connection.
const RESEND_READ_AFTER_MS: u64 = 300;

/// A proposal that was appended to the log.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) origin: Origin,
    pub(super) deadline: Instant,
}

/// The acceptance of a committed change that is not reported yet. Leader only.
#[derive(Debug)]
pub(super) struct WithheldAcceptance {
    pub(super) origin: Origin,
    pub(super) outcome: ChangeOutcome,
    /// When it is reported at the latest.
    pub(super) deadline: Instant,
}

/// A read at the leader.
#[derive(Debug)]
pub(super) struct Read {
    pub(super) origin: Origin,
    /// The follower that sent the read request; none where the read was requested at the leader.
    pub(super) follower: Option<NodeId>,
    /// Read index: the entry that must be applied first.
    pub(super) index: u64,
    /// Heartbeat round that a quorum must echo first.
    pub(super) round: u64,
    pub(super) deadline: Instant,
}

/// A read at a follower.
#[derive(Debug)]
pub(super) struct RemoteRead {
    /// Read index: the entry that must be applied first; none before the leader's response.
    pub(super) index: Option<u64>,
    pub(super) resend_at: Instant,
    pub(super) deadline: Instant,
}

impl RemoteRead {
    /// Creates a read whose request to the leader is sent now.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            index: None,
            resend_at: now.plus_ms(RESEND_READ_AFTER_MS),
            deadline: now.plus_ms(READ_TIMEOUT_MS),
        }
    }

    /// When the request is sent again, or the read is refused.
    fn next_deadline(&self) -> Instant {
        match self.index {
            Some(_) => self.deadline,
            None => self.deadline.min(self.resend_at),
        }
    }
}

/// Proposals and reads without an answer yet.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    /// By index and term of the entry.
    pub(super) proposals: BTreeMap<(u64, u64), Proposal>,
    /// Ordered by deadline.
    pub(super) withheld: VecDeque<WithheldAcceptance>,
    /// Ordered by round.
    pub(super) reads: VecDeque<Read>,
    pub(super) remote_reads: BTreeMap<Origin, RemoteRead>,
}

impl PendingRequests {
    /// The earliest deadline.
    pub(super) fn next_deadline(&self) -> Instant {
        // Proposals, acceptances and reads are in order of arrival with one timeout each, so the
        // first is due first. Remote reads are few, so all are compared.
        let proposal = self.proposals.values().next().map_or(Instant::NEVER, |p| p.deadline);
        let withheld = self.withheld.front().map_or(Instant::NEVER, |w| w.deadline);
        let read = self.reads.front().map_or(Instant::NEVER, |read| read.deadline);
        let remote = self.remote_reads.values().map(RemoteRead::next_deadline);
        remote.fold(proposal.min(withheld).min(read), Instant::min)
    }

    /// Removes and returns the first withheld acceptance if its deadline has passed.
    pub(super) fn take_overdue_acceptance(&mut self, now: Instant) -> Option<WithheldAcceptance> {
        self.withheld.pop_front_if(|withheld| withheld.deadline <= now)
    }

    /// Returns the reads whose request is sent to the leader again now.
    pub(super) fn take_reads_to_resend(&mut self, now: Instant) -> Vec<Origin> {
        let is_due = |read: &RemoteRead| read.index.is_none() && read.resend_at <= now;
        let due = self.remote_reads.iter_mut().filter(|(_, read)| is_due(read));
        let resend = due.map(|(origin, read)| {
            read.resend_at = now.plus_ms(RESEND_READ_AFTER_MS);
            *origin
        });
        resend.collect()
    }

    /// Removes and returns the proposals appended at this index, with their terms.
    pub(super) fn take_proposals_at(&mut self, index: u64) -> Vec<(u64, Origin)> {
        let range = (index, 0)..=(index, u64::MAX);
        let keys: Vec<_> = self.proposals.range(range).map(|(key, _)| *key).collect();
        let remove = |key: (u64, u64)| Some((key.1, self.proposals.remove(&key)?.origin));
        keys.into_iter().filter_map(remove).collect()
    }

    /// Removes and returns the proposals appended at this index or before.
    pub(super) fn take_proposals_up_to(&mut self, index: u64) -> Vec<Origin> {
        let later = self.proposals.split_off(&(index + 1, 0));
        let removed = std::mem::replace(&mut self.proposals, later);
        removed.into_values().map(|proposal| proposal.origin).collect()
    }

    /// Removes and returns the proposals whose deadline has passed.
    pub(super) fn take_expired_proposals(&mut self, now: Instant) -> Vec<Origin> {
        let mut expired = Vec::new();
        self.proposals.retain(|_, proposal| {
            let is_expired = proposal.deadline <= now;
            if is_expired {
                expired.push(proposal.origin);
            }
            !is_expired
        });
        expired
    }
}
