//! Proposals and reads that wait for an answer.

use std::collections::{BTreeMap, VecDeque};

use super::Origin;
use crate::ids::NodeId;
use crate::time::Instant;

/// Longest wait for the outcome of a proposal, in milliseconds. It is unknown after that.
pub const PROPOSAL_TIMEOUT_MS: u64 = 3_000;

/// Longest wait for leave to answer a read, in milliseconds. It is refused after that.
pub const READ_TIMEOUT_MS: u64 = 1_000;

/// A proposal that was appended.
#[derive(Debug)]
pub(super) struct Proposal {
    pub(super) origin: Origin,
    pub(super) deadline: Instant,
}

/// A read at the leader.
#[derive(Debug)]
pub(super) struct Read {
    pub(super) origin: Origin,
    /// The follower that asks; none where the read was asked for here.
    pub(super) follower: Option<NodeId>,
    /// Entry that must be applied first.
    pub(super) index: u64,
    /// Round of heartbeats that a quorum must echo first.
    pub(super) round: u64,
    pub(super) deadline: Instant,
}

/// A read at a follower.
#[derive(Debug)]
pub(super) struct RemoteRead {
    /// Entry that must be applied first, once the leader said so.
    pub(super) index: Option<u64>,
    pub(super) deadline: Instant,
}

/// Proposals and reads that wait for an answer.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    /// By index and term of the entry.
    pub(super) proposals: BTreeMap<(u64, u64), Proposal>,
    /// In the order of their rounds.
    pub(super) reads: VecDeque<Read>,
    pub(super) remote_reads: BTreeMap<Origin, RemoteRead>,
}

impl Waiting {
    /// The first deadline.
    pub(super) fn next_deadline(&self) -> Instant {
        // Each kind has one timeout, so the oldest of a kind is due first; remote reads are few.
        let proposal = self.proposals.values().next().map_or(Instant::NEVER, |p| p.deadline);
        let read = self.reads.front().map_or(Instant::NEVER, |read| read.deadline);
        let remote = self.remote_reads.values().map(|read| read.deadline);
        remote.fold(proposal.min(read), Instant::min)
    }

    /// Takes the proposals whose entry would be at this index, with their terms.
    pub(super) fn take_proposals_at(&mut self, index: u64) -> Vec<(u64, Origin)> {
        let range = (index, 0)..=(index, u64::MAX);
        let keys: Vec<_> = self.proposals.range(range).map(|(key, _)| *key).collect();
        let take = |key: (u64, u64)| Some((key.1, self.proposals.remove(&key)?.origin));
        keys.into_iter().filter_map(take).collect()
    }

    /// Takes the proposals whose entry is at most at this index.
    pub(super) fn take_proposals_up_to(&mut self, index: u64) -> Vec<Origin> {
        let rest = self.proposals.split_off(&(index + 1, 0));
        let taken = std::mem::replace(&mut self.proposals, rest);
        taken.into_values().map(|proposal| proposal.origin).collect()
    }

    /// Takes the proposals whose deadline has passed.
    pub(super) fn take_late_proposals(&mut self, now: Instant) -> Vec<Origin> {
        let mut late = Vec::new();
        self.proposals.retain(|_, proposal| {
            let is_late = proposal.deadline <= now;
            if is_late {
                late.push(proposal.origin);
            }
            !is_late
        });
        late
    }
}
