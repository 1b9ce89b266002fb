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
const REPLACE_AFTER_MS: u64 = 2_500;

/// Time without a response after which the leader stops replicating to a learner,
/// in milliseconds. The learner sends a hello to the leader when it is back.
const FORGET_LEARNER_AFTER_MS: u64 = 10_000;

impl ControlReplica {
    /// Promotes a learner where a voter is missing or unresponsive.
    pub(super) fn tend_voters(&mut self, cx: &mut Context<'_>) {
        let Some(kept) = self.settings.kept_voters else { return };
        self.forget_learners(cx.now);
        if !self.pending_voters.is_empty() || !self.has_committed_in_term() {
            return;
        }
        let Some(new) = self.learner_to_admit(cx.now) else { return };
        let voters = self.newest_voters();
        let next = if voters.voters().len() < kept {
            voters.with_added(new)
        } else if let Some(silent) = self.silent_voter(cx.now, voters) {
            voters.with_replaced(silent, new)
        } else {
            return;
        };
        let text = format!("Promotes {} to a voter; new voter set: {}.", new.node, nodes_of(&next));
        cx.log(LogLevel::Info, LogPart::Consensus, text);
        // Cannot fail: both of its conditions were checked above.
        let _ = self.append_voters(cx, next);
    }

    /// The responsive learner with the highest match index, if it has caught up.
    fn learner_to_admit(&self, now: Instant) -> Option<Voter> {
        let Role::Leader(leadership) = &self.role else { return None };
        let voters = self.newest_voters();
        let caught_up = leadership.peers.iter().filter(|(node, peer)| {
            voters.disk_of(**node).is_none()
                && peer.is_heard(now)
                && peer.match_index > 0
                && peer.match_index + MAX_LEARNER_LAG_ENTRIES >= self.commit
        });
        let best =
            caught_up.max_by_key(|(node, peer)| (peer.match_index, std::cmp::Reverse(**node)));
        let (node, peer) = best?;
        Some(Voter { node: *node, disk: peer.disk?.0 })
    }

    /// The voter whose last response is the oldest, if that is too long ago.
    fn silent_voter(&self, now: Instant, voters: &VoterSet) -> Option<NodeId> {
        let Role::Leader(leadership) = &self.role else { return None };
        let others = voters.voters().iter().filter(|voter| Some(voter.node) != self.leader);
        let heard = others.filter_map(|voter| {
            let peer = leadership.peers.get(&voter.node)?;
            Some((peer.heard_at, voter.node))
        });
        let (heard_at, node) = heard.min()?;
        (now.since_ms(heard_at) >= REPLACE_AFTER_MS).then_some(node)
    }

    fn forget_learners(&mut self, now: Instant) {
        let kept: Vec<NodeId> = self
            .counting_sets()
            .flat_map(|set| set.voters().iter().map(|voter| voter.node))
            .collect();
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.peers.retain(|node, peer| {
            kept.contains(node) || now.since_ms(peer.heard_at) < FORGET_LEARNER_AFTER_MS
        });
    }
}

fn nodes_of(voters: &VoterSet) -> String {
    let nodes: Vec<String> = voters.voters().iter().map(|voter| voter.node.to_string()).collect();
    nodes.join(", ")
}
