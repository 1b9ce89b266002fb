//! Withholds the acceptance of a change while the voters have less redundancy than they can have.
//!
//! A committed entry is on a majority of the voters. As long as one of them runs with a new
//! storage that is not admitted, or a learner is not promoted where a voter is missing, the loss
//! of further storages leaves no quorum sooner than the number of voters promises. The leader
//! therefore reports an acceptance only once the voters in touch are admitted with their present
//! storages and, where there are fewer voters than desired, no learner in touch can be promoted.
//! It waits for at most [`MAX_WITHHOLD_MS`], and not for a voter that is gone: that one is replaced
//! later, and until then a change has the redundancy of the voters that are left.

use super::entry::VoterSet;
use super::pending::WithheldAcceptance;
use super::replica::ControlReplica;
use super::role::{Leadership, Role};
use super::{ChangeOutcome, ControlOutput, ELECTION_TIMEOUT_MAX_MS, Origin};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;
use crate::time::Instant;

/// Longest time from the commit of a change to the report of its acceptance, in milliseconds.
pub const MAX_WITHHOLD_MS: u64 = 1_000;

impl ControlReplica {
    /// Outputs the outcome of a committed change, or withholds it if it is an acceptance and the
    /// voters lack redundancy.
    ///
    /// A replica that no longer leads does not know the storages of the voters, so it reports an
    /// acceptance as unknown; a resend to the leader returns it.
    pub(super) fn report_outcome(
        &mut self,
        cx: &Context<'_>,
        origin: Origin,
        outcome: ChangeOutcome,
    ) {
        if !matches!(outcome, ChangeOutcome::Accepted { .. }) {
            return self.output(ControlOutput::Outcome(origin, outcome));
        }
        if !matches!(self.role, Role::Leader(_)) {
            return self.output(ControlOutput::Outcome(origin, ChangeOutcome::Unknown));
        }
        let deadline = cx.now.plus_ms(MAX_WITHHOLD_MS);
        self.pending.withheld.push_back(WithheldAcceptance { origin, outcome, deadline });
    }

    /// Reports the withheld acceptances if the voters have their full redundancy.
    pub(super) fn report_acceptances(&mut self, cx: &Context<'_>) {
        if !self.pending.withheld.is_empty() && self.has_full_redundancy(cx.now) {
            while let Some(withheld) = self.pending.withheld.pop_front() {
                self.output(ControlOutput::Outcome(withheld.origin, withheld.outcome));
            }
        }
    }

    /// Reports the acceptances that were withheld for the longest permitted time.
    pub(super) fn report_overdue_acceptances(&mut self, cx: &mut Context<'_>) {
        while let Some(withheld) = self.pending.take_overdue_acceptance(cx.now) {
            let text = format!(
                "Reports a change as accepted although voters are missing or not admitted after \
                 {MAX_WITHHOLD_MS} ms."
            );
            cx.log(LogLevel::Warn, LogPart::Consensus, text);
            self.output(ControlOutput::Outcome(withheld.origin, withheld.outcome));
        }
    }

    /// Reports the withheld acceptances as unknown, because this replica no longer leads.
    pub(super) fn withdraw_acceptances(&mut self) {
        while let Some(withheld) = self.pending.withheld.pop_front() {
            self.output(ControlOutput::Outcome(withheld.origin, ChangeOutcome::Unknown));
        }
    }

    /// Whether no change of the voters would add redundancy now.
    fn has_full_redundancy(&self, now: Instant) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let voters = self.state_machine.voters();
        self.pending_voters.is_empty()
            && !self.awaits_admission(leadership, voters, now)
            && !self.awaits_promotion(leadership, voters, now)
    }

    /// Whether a voter in touch is not known to run with its admitted storage.
    fn awaits_admission(&self, leadership: &Leadership, voters: &VoterSet, now: Instant) -> bool {
        voters.voters().iter().any(|voter| {
            let Some(peer) = leadership.peers.get(&voter.node) else { return false };
            let is_admitted = peer.has_disk(voter.disk) && !peer.is_awaited(now);
            let is_in_touch = peer.is_in_touch(now) || self.connected_peers.contains(&voter.node);
            !is_admitted && is_in_touch
        })
    }

    /// Whether voters are missing and there are learners that may become voters.
    fn awaits_promotion(&self, leadership: &Leadership, voters: &VoterSet, now: Instant) -> bool {
        let desired_count = self.settings.desired_voter_count.unwrap_or(0);
        if voters.voters().len() >= desired_count {
            return false;
        }
        let is_learner = |node: &NodeId| voters.disk_of(*node).is_none();
        let mut peers = leadership.peers.iter();
        let has_learner = peers.any(|(node, peer)| is_learner(node) && peer.is_in_touch(now));
        // The learners of the last leader, and blank replicas, still send their hellos.
        let is_new = now.since_ms(leadership.started_at) < ELECTION_TIMEOUT_MAX_MS;
        let mut candidates = self.known_replicas.intersection(&self.connected_peers);
        has_learner || (is_new && candidates.any(is_learner))
    }
}
