//! Proposals of changes and of voter replacements at this replica.

use super::entry::{Payload, Voter};
use super::leader::MAX_LEARNER_LAG_ENTRIES;
use super::pending::Proposal;
use super::replica::ControlReplica;
use super::role::Role;
use super::{ChangeOutcome, ControlOutput, Origin, PROPOSAL_TIMEOUT_MS};
use crate::api::{ApiError, ErrorCode};
use crate::config::{ChangeRequest, narrow_to_differences};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;

impl ControlReplica {
    /// Proposes a change. The outcome is output as a [`ControlOutput::Outcome`].
    ///
    /// Only a leader accepts a proposal; any other replica refuses it with an error that names
    /// the leader.
    pub fn propose(&mut self, cx: &mut Context<'_>, origin: Origin, change: ChangeRequest) {
        if let Some(error) = self.not_leader_error() {
            self.output(ControlOutput::Outcome(origin, ChangeOutcome::Refused(error)));
            return;
        }
        // Before its first entry is committed, a leader's configuration may be outdated.
        let ChangeRequest { key, changes } = change;
        let changes = match self.has_committed_in_term() {
            true => narrow_to_differences(changes, self.configuration()),
            false => changes,
        };
        let text = match &key {
            Some(key) => format!("Proposes change {key} of host {}", origin.node),
            None => format!("Proposes a change of host {}", origin.node),
        };
        let change = ChangeRequest { key, changes };
        let index = self.append(cx, Payload::Change { origin, change });
        cx.log(LogLevel::Info, LogPart::Consensus, format!("{text} at index {index}."));
        self.track_proposal(cx, origin, index);
    }

    /// Proposes that process `new` replaces process `old` as a voter.
    ///
    /// The new voter must be running and have caught up as a learner. The
    /// proposal is accepted at once if it has replaced the old voter already.
    /// The outcome is output as a [`ControlOutput::Outcome`].
    pub fn propose_voter_replacement(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        old: NodeId,
        new: NodeId,
    ) {
        if let Some(error) = self.not_leader_error() {
            self.output(ControlOutput::Outcome(origin, ChangeOutcome::Refused(error)));
            return;
        }
        let outcome = match self.replace_voter(cx, old, new) {
            Ok(Some(index)) => return self.track_proposal(cx, origin, index),
            Ok(None) => ChangeOutcome::Accepted { version: self.configuration().version() },
            Err(message) => ChangeOutcome::Refused(ApiError::new(ErrorCode::Conflict, message)),
        };
        self.output(ControlOutput::Outcome(origin, outcome));
    }

    /// Appends the entry that replaces a voter. Returns its index; none where the voter has been
    /// replaced already.
    fn replace_voter(
        &mut self,
        cx: &mut Context<'_>,
        old: NodeId,
        new: NodeId,
    ) -> Result<Option<u64>, &'static str> {
        let Role::Leader(leadership) = &self.role else {
            return Err("this replica is not the leader");
        };
        let committed = self.state_machine.voters();
        let is_voter = |node| committed.disk_of(node).is_some();
        if is_voter(new) && !is_voter(old) && self.pending_voters.is_empty() {
            return Ok(None);
        }
        if is_voter(new) || !is_voter(old) {
            return Err(
                "name a host that is a voter, and a host that is not a voter to replace it",
            );
        }
        let peer = leadership.peers.get(&new);
        let ready =
            peer.filter(|peer| peer.match_index + MAX_LEARNER_LAG_ENTRIES >= self.commit_index);
        let Some((disk, _)) = ready.and_then(|peer| peer.disk) else {
            return Err("the new voter has not caught up; start it and retry");
        };
        let voters = self.newest_voters().with_replaced(old, Voter { node: new, disk });
        self.append_voters(cx, voters).map(Some)
    }

    fn not_leader_error(&self) -> Option<ApiError> {
        let message = match (&self.role, self.leader) {
            _ if self.storage.has_failed() => {
                "the disk of this control replica failed; send the request to another one"
                    .to_owned()
            }
            (Role::Leader(_), _) => return None,
            (_, Some(leader)) => {
                format!("this replica is not the leader; send the request to the leader {leader}")
            }
            (_, None) => "no leader is known; retry in a second".to_owned(),
        };
        Some(ApiError::new(ErrorCode::Unavailable, message))
    }

    fn track_proposal(&mut self, cx: &Context<'_>, origin: Origin, index: u64) {
        let deadline = cx.now.plus_ms(PROPOSAL_TIMEOUT_MS);
        let key = (index, self.hard_state.term);
        self.pending.proposals.insert(key, Proposal { origin, deadline });
    }

    /// Ends the proposals and reads whose deadline has passed.
    pub(super) fn expire_requests(&mut self, cx: &mut Context<'_>) {
        if self.pending.next_deadline() > cx.now {
            return;
        }
        for origin in self.pending.take_expired_proposals(cx.now) {
            self.output(ControlOutput::Outcome(origin, ChangeOutcome::Unknown));
        }
        self.report_overdue_acceptances(cx);
        self.refuse_expired_reads(cx);
        self.resend_read_requests(cx);
    }

    /// Ends every pending proposal and follower read, after a failure of the disk: their outcome
    /// can no longer be determined at this replica.
    pub(super) fn abandon_requests(&mut self) {
        for origin in self.pending.take_proposals_up_to(u64::MAX - 1) {
            self.output(ControlOutput::Outcome(origin, ChangeOutcome::Unknown));
        }
        self.refuse_remote_reads();
    }
}
