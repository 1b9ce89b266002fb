//! Majorities over the active voter sets.

use super::entry::{Voter, VoterSet};
use super::replica::ControlReplica;

impl ControlReplica {
    /// The active voter sets, of each of which a majority is required: the newest
    /// set in the log, and the previous one until the newest is committed.
    ///
    /// Since both are required, one entry is enough to change the voters, and a
    /// majority of the old set that lacks the entry cannot elect a leader.
    pub(super) fn active_voter_sets(&self) -> impl Iterator<Item = &VoterSet> {
        // A voter set is only appended once the previous one is committed, so two suffice.
        let pending = self.pending_voters.iter().rev().map(|(_, voters)| voters);
        pending.chain([self.state_machine.voters()]).take(2)
    }

    /// The newest voter set in the log.
    pub(super) fn newest_voters(&self) -> &VoterSet {
        self.pending_voters.back().map_or(self.state_machine.voters(), |(_, voters)| voters)
    }

    /// Whether the voters for which `is_counted` is true form a majority of every active set.
    pub(super) fn is_quorum(&self, is_counted: impl Fn(&Voter) -> bool) -> bool {
        self.active_voter_sets().all(|set| {
            let count = set.voters().iter().filter(|voter| is_counted(voter)).count();
            count >= set.majority()
        })
    }

    /// The largest value that a majority of every active set has reached.
    pub(super) fn quorum_value(&self, value: impl Fn(&Voter) -> u64) -> u64 {
        let of_set = |set: &VoterSet| {
            let mut values: Vec<u64> = set.voters().iter().map(&value).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(set.majority() - 1).copied().unwrap_or(0)
        };
        self.active_voter_sets().map(of_set).min().unwrap_or(0)
    }

    /// Whether this replica is a voter in any active set.
    pub(super) fn is_voter(&self, me: Voter) -> bool {
        self.active_voter_sets().any(|set| set.contains(me))
    }
}
