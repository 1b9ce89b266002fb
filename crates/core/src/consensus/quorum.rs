//! Majorities over the voter sets that count at the moment.

use super::entry::{Voter, VoterSet};
use super::replica::ControlReplica;

impl ControlReplica {
    /// The voter sets whose majorities count: the newest in the log, and the
    /// one before it until the newest is committed.
    ///
    /// With both, a new set takes effect by one entry, and no majority of the
    /// old set that lacks the entry can elect a leader.
    pub(super) fn counting_sets(&self) -> impl Iterator<Item = &VoterSet> {
        // An uncommitted set follows only a committed one, so two suffice.
        let pending = self.pending_voters.iter().rev().map(|(_, voters)| voters);
        pending.chain([self.machine.voters()]).take(2)
    }

    /// The newest voter set in the log.
    pub(super) fn newest_voters(&self) -> &VoterSet {
        self.pending_voters.back().map_or(self.machine.voters(), |(_, voters)| voters)
    }

    /// Whether the voters that `counts` picks are a majority of every set that counts.
    pub(super) fn is_quorum(&self, counts: impl Fn(&Voter) -> bool) -> bool {
        self.counting_sets().all(|set| {
            let count = set.voters().iter().filter(|voter| counts(voter)).count();
            count >= set.majority()
        })
    }

    /// The largest value that a majority of every set reaches.
    pub(super) fn quorum_value(&self, value: impl Fn(&Voter) -> u64) -> u64 {
        let of_set = |set: &VoterSet| {
            let mut values: Vec<u64> = set.voters().iter().map(&value).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(set.majority() - 1).copied().unwrap_or(0)
        };
        self.counting_sets().map(of_set).min().unwrap_or(0)
    }

    /// Whether this replica votes in any set that counts.
    pub(super) fn is_voter(&self, me: Voter) -> bool {
        self.counting_sets().any(|set| set.contains(me))
    }
}
