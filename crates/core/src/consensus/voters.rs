//! Maintains the configured number of live voters on the leader.
//!
//! A learner that has caught up becomes a voter where one is missing, or replaces
//! a voter that no longer responds. One voter changes at a time, by an entry that
//! majorities of both the old and the new set commit, so that no change relies on
//! fewer copies than before.

use super::entry::{Voter, VoterSet};
use super::leader::MAX_LEARNER_LAG_ENTRIES;
use super::replica::ControlReplica;
use super::role::Role;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;
use crate::time::Instant;

/// Time without a response after which a voter is replaced by a learner that has
/// caught up, in milliseconds. Longer than a restart takes.
const REPLACE_VOTER_AFTER_MS: u64 = 2_500;

/// Time without a response after which the leader stops replicating to a learner,
/// in milliseconds. The learner sends a hello to the leader when it is back.
const DROP_LEARNER_AFTER_MS: u64 = 10_000;

impl ControlReplica {
    /// Promotes a learner where a voter is missing or unresponsive.
    pub(super) fn maintain_voters(&mut self, cx: &mut Context<'_>) {
        let Some(desired_count) = self.settings.desired_voter_count else { return };
        self.drop_unresponsive_learners(cx.now);
        if !self.pending_voters.is_empty() || !self.has_committed_in_term() {
            return;
        }
        let Some(new) = self.learner_to_promote(cx.now) else { return };
        let voters = self.newest_voters();
        let next = if voters.voters().len() < desired_count {
            voters.with_added(new)
        } else if let Some(unresponsive) = self.unresponsive_voter(cx.now, voters) {
            voters.with_replaced(unresponsive, new)
        } else {
            return;
        };
        let text = format!("Promotes {} to a voter; new voter set: {}.", new.node, nodes_of(&next));
        cx.log(LogLevel::Info, LogPart::Consensus, text);
        // Cannot fail: both of its conditions were checked above.
        let _ = self.append_voters(cx, next);
    }

    /// The responsive learner with the highest match index, if it has caught up.
    fn learner_to_promote(&self, now: Instant) -> Option<Voter> {
        let Role::Leader(leadership) = &self.role else { return None };
        let voters = self.newest_voters();
        let caught_up = leadership.peers.iter().filter(|(node, peer)| {
            voters.disk_of(**node).is_none()
                && peer.is_responsive(now)
                && peer.match_index > 0
                && peer.match_index + MAX_LEARNER_LAG_ENTRIES >= self.commit_index
        });
        let most_advanced =
            caught_up.max_by_key(|(node, peer)| (peer.match_index, std::cmp::Reverse(**node)));
        let (node, peer) = most_advanced?;
        Some(Voter { node: *node, disk: peer.disk?.0 })
    }

    /// The voter whose last response is the oldest, if that is too long ago.
    fn unresponsive_voter(&self, now: Instant, voters: &VoterSet) -> Option<NodeId> {
        let Role::Leader(leadership) = &self.role else { return None };
        let other_voters = voters.voters().iter().filter(|voter| Some(voter.node) != self.leader);
        let last_responses = other_voters.filter_map(|voter| {
            let peer = leadership.peers.get(&voter.node)?;
            Some((peer.last_response_at, voter.node))
        });
        let (last_response_at, node) = last_responses.min()?;
        (now.since_ms(last_response_at) >= REPLACE_VOTER_AFTER_MS).then_some(node)
    }

    fn drop_unresponsive_learners(&mut self, now: Instant) {
        let voters: Vec<NodeId> = self
            .active_voter_sets()
            .flat_map(|set| set.voters().iter().map(|voter| voter.node))
            .collect();
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.peers.retain(|node, peer| {
            voters.contains(node) || now.since_ms(peer.last_response_at) < DROP_LEARNER_AFTER_MS
        });
    }
}

fn nodes_of(voters: &VoterSet) -> String {
    let nodes: Vec<String> = voters.voters().iter().map(|voter| voter.node.to_string()).collect();
    nodes.join(", ")
}
