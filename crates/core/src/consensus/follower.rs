//! The follower: handles append and snapshot messages of the leader, applies
//! committed entries and compacts the log.

use std::sync::Arc;

use super::disk::DiskWrite;
use super::entry::{Entry, Payload};
use super::log::Log;
use super::message::{Append, AppendResponse, ConsensusMessage, InstallSnapshot, Rejected};
use super::replica::ControlReplica;
use super::role::Role;
use super::state_machine::StateMachine;
use super::{ChangeOutcome, ControlOutput};
use crate::api::{ApiError, ErrorCode};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::time::Instant;

/// Log size above which the log is compacted, in bytes.
const COMPACT_BYTES: usize = 1024 * 1024;

/// Log length above which the log is compacted, in entries beyond [`KEPT_ENTRIES`].
const COMPACT_ENTRIES: u64 = 4096;

/// Entries that stay in memory after compaction, for followers that lag only slightly.
const KEPT_ENTRIES: u64 = 256;

impl ControlReplica {
    pub(super) fn handle_append(&mut self, cx: &mut Context<'_>, from: NodeId, append: Append) {
        if !self.accept_leader(cx, from, append.term, append.round) {
            return;
        }
        if matches!(self.role, Role::Blank(_)) {
            let rejected = Rejected { prev_index: append.prev_index, hint: None };
            self.respond_to_leader(cx, Some(rejected));
            return;
        }
        // The log matches the leader's up to the commit index.
        let is_consistent = append.prev_index <= self.commit_index
            || self.log.term_at(append.prev_index) == Some(append.prev_term);
        if !is_consistent {
            let hint = self.agreement_hint(append.prev_index, append.prev_term);
            let rejected = Rejected { prev_index: append.prev_index, hint: Some(hint) };
            self.respond_to_leader(cx, Some(rejected));
            return;
        }
        self.record_acknowledged(append.term, &append.acknowledged);
        let last = append.entries.last().map_or(append.prev_index, |entry| entry.index);
        self.append_missing(cx, append.entries);
        self.verified_index = self.verified_index.max(last);
        self.commit_index = self.commit_index.max(append.commit_index.min(self.verified_index));
        // A leader's commit index is complete once an entry of its own term is committed.
        if self.commit_index == append.commit_index
            && self.log.term_at(self.commit_index) == Some(append.term)
        {
            self.is_confirmed = true;
            let age_us = u64::from(append.quorum_age_ms) * 1_000;
            let quorum_contact_at = Instant::from_us(cx.now.as_us().saturating_sub(age_us));
            self.caught_up_at = self.caught_up_at.max(Some(quorum_contact_at));
        }
        self.apply_committed(cx);
        self.respond_to_leader(cx, None);
    }

    /// Accepts the sender as leader of its term. Returns false where the term is stale and
    /// the message must be ignored.
    fn accept_leader(&mut self, cx: &mut Context<'_>, from: NodeId, term: u64, round: u64) -> bool {
        if term < self.hard_state.term {
            self.send_append_response(cx, from, round, None);
            return false;
        }
        if term > self.hard_state.term
            || self.leader != Some(from)
            || !matches!(self.role, Role::Follower | Role::Blank(_))
        {
            self.become_follower(cx, term, Some(from));
        } else {
            self.role_deadline = self.election_deadline(cx);
        }
        self.last_leader_contact_at = cx.now;
        self.leader_round = self.leader_round.max(round);
        true
    }

    /// Newest index before `prev_index` at which the logs may match.
    fn agreement_hint(&self, prev_index: u64, prev_term: u64) -> u64 {
        let mut hint = self.log.last_index().min(prev_index.saturating_sub(1));
        while hint > self.commit_index
            && self.log.term_at(hint).is_some_and(|term| term > prev_term)
        {
            hint -= 1;
        }
        hint.max(self.commit_index)
    }

    /// Appends the entries that the log lacks, after truncating conflicting ones.
    fn append_missing(&mut self, cx: &mut Context<'_>, entries: Vec<Arc<Entry>>) {
        let is_held = |entry: &Arc<Entry>| {
            entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term)
        };
        let held_count = entries.iter().take_while(|entry| is_held(entry)).count();
        let new_entries = entries[held_count..].to_vec();
        let Some(first) = new_entries.first() else { return };
        self.log.truncate_from(first.index);
        self.pending_voters.retain(|(index, _)| *index < first.index);
        for entry in &new_entries {
            if let Payload::Voters(voters) = &entry.payload {
                self.pending_voters.push_back((entry.index, voters.clone()));
            }
            self.log.push(Arc::clone(entry));
        }
        self.storage.write(cx, DiskWrite::Append(new_entries));
    }

    pub(super) fn handle_snapshot(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        install: InstallSnapshot,
    ) {
        if !self.accept_leader(cx, from, install.term, install.round) {
            return;
        }
        let snapshot = install.snapshot;
        let is_blank = matches!(self.role, Role::Blank(_));
        if is_blank || snapshot.index > self.commit_index {
            let keep_entries = self.log.term_at(snapshot.index) == Some(snapshot.term) && !is_blank;
            let previous_version = self.state_machine.configuration().version();
            self.state_machine = StateMachine::from_snapshot(&snapshot);
            self.commit_index = snapshot.index;
            if keep_entries {
                self.log.compact_to(snapshot.index);
            } else {
                self.log = Log::new(snapshot.index, snapshot.term);
            }
            self.pending_voters = self.log.voter_sets_after(snapshot.index);
            self.role = Role::Follower;
            for origin in self.pending.take_proposals_up_to(snapshot.index) {
                self.output(ControlOutput::Outcome(origin, ChangeOutcome::Unknown));
            }
            self.storage.write(cx, DiskWrite::Snapshot { snapshot, keep_entries });
            self.publish_version(cx, previous_version);
            self.answer_remote_reads();
        }
        self.verified_index = self.verified_index.max(self.commit_index);
        self.respond_to_leader(cx, None);
    }

    /// Sends the leader this replica's synced match index.
    pub(super) fn respond_to_leader(&mut self, cx: &mut Context<'_>, rejected: Option<Rejected>) {
        // No response may precede the sync of the term and vote that it depends on; it is
        // sent once they are synced.
        if let Some(leader) = self.leader
            && self.storage.is_hard_state_synced()
            && self.floors.is_confirmed()
        {
            self.send_append_response(cx, leader, self.leader_round, rejected);
        }
    }

    fn send_append_response(
        &self,
        cx: &mut Context<'_>,
        to: NodeId,
        round: u64,
        rejected: Option<Rejected>,
    ) {
        let response = AppendResponse {
            term: self.hard_state.term,
            round,
            match_index: self.verified_index.min(self.storage.durable_index()),
            rejected,
            disk: self.disk,
            generation: self.generation,
        };
        cx.send(to, ConsensusMessage::AppendResponse(response));
    }

    /// Applies the committed entries that are not applied yet.
    pub(super) fn apply_committed(&mut self, cx: &mut Context<'_>) {
        let mut needs_hard_state_write = false;
        while self.state_machine.index() < self.commit_index {
            let Some(entry) = self.log.get(self.state_machine.index() + 1).cloned() else { break };
            let previous_version = self.state_machine.configuration().version();
            let outcome = self.state_machine.apply(&entry);
            self.publish_version(cx, previous_version);
            self.resolve_proposals(cx, &entry, outcome);
            if let Payload::Voters(_) = entry.payload {
                self.pending_voters.retain(|(index, _)| *index > entry.index);
                needs_hard_state_write = true;
            }
            needs_hard_state_write |=
                self.state_machine.configuration().version() != previous_version;
        }
        if needs_hard_state_write {
            self.set_hard_state(cx, self.hard_state.term, self.hard_state.vote);
        }
        self.begin_publishing(cx);
        self.answer_remote_reads();
        self.compact(cx);
    }

    /// Starts publishing versions once this replica has reached a leader's commit index.
    /// Before that, its version must not be taken for the newest one.
    fn begin_publishing(&mut self, cx: &mut Context<'_>) {
        if self.is_confirmed && !self.is_publishing {
            self.is_publishing = true;
            self.publish_version(cx, Version(0));
        }
    }

    fn publish_version(&mut self, cx: &mut Context<'_>, previous: Version) {
        let configuration = self.state_machine.configuration();
        if self.is_publishing && configuration.version() != previous {
            let configuration = Arc::clone(configuration);
            let text = format!(
                "Committed version {} at index {}, release {}.",
                configuration.version(),
                self.state_machine.index(),
                configuration.release_number()
            );
            cx.log(LogLevel::Info, LogPart::Consensus, text);
            self.output(ControlOutput::Committed(configuration));
        }
    }

    fn resolve_proposals(
        &mut self,
        cx: &Context<'_>,
        entry: &Entry,
        outcome: Option<ChangeOutcome>,
    ) {
        for (term, origin) in self.pending.take_proposals_at(entry.index) {
            let is_same_term = term == entry.term;
            let outcome = match &outcome {
                Some(outcome) if is_same_term => outcome.clone(),
                _ => ChangeOutcome::Refused(ApiError::new(
                    ErrorCode::Unavailable,
                    "the leader was replaced before the change was committed; send it again",
                )),
            };
            self.report_outcome(cx, origin, outcome);
        }
    }

    /// Replaces applied entries by a snapshot once the log exceeds a size limit.
    fn compact(&mut self, cx: &mut Context<'_>) {
        let is_due = self.log.bytes() > COMPACT_BYTES
            || self.state_machine.index() - self.log.base_index() > COMPACT_ENTRIES + KEPT_ENTRIES;
        let compact_index = self.state_machine.index().saturating_sub(KEPT_ENTRIES);
        if !is_due || compact_index <= self.log.base_index() {
            return;
        }
        self.log.compact_to(compact_index);
        let snapshot = Arc::new(self.state_machine.to_snapshot());
        self.storage.write(cx, DiskWrite::Snapshot { snapshot, keep_entries: true });
    }
}
