//! The follower: handles append and snapshot messages of the leader, applies
//! committed entries and compacts the log.

use std::sync::Arc;

use super::disk::DiskWrite;
use super::entry::{Entry, Payload};
use super::log::Log;
use super::machine::Machine;
use super::message::{Append, AppendResponse, ConsensusMessage, InstallSnapshot, Rejected};
use super::replica::ControlReplica;
use super::role::Role;
use super::{ChangeOutcome, ControlOutput};
use crate::api::{ApiError, ErrorCode};
use crate::context::Context;
use crate::ids::{NodeId, Version};
use crate::time::Instant;

/// Log size above which the log is compacted, in bytes.
const COMPACT_BYTES: usize = 1024 * 1024;

/// Log length above which the log is compacted, in entries beyond [`KEPT_ENTRIES`].
const COMPACT_ENTRIES: u64 = 4096;

/// Entries that stay in memory after compaction, for followers that lag only slightly.
const KEPT_ENTRIES: u64 = 256;

impl ControlReplica {
    pub(super) fn take_append(&mut self, cx: &mut Context<'_>, from: NodeId, append: Append) {
        if !self.hear_leader(cx, from, append.term, append.round) {
            return;
        }
        if matches!(self.role, Role::Blank(_)) {
            let rejected = Rejected { prev_index: append.prev_index, hint: None };
            self.answer_leader(cx, Some(rejected));
            return;
        }
        // The log matches the leader's up to the commit index.
        let follows = append.prev_index <= self.commit
            || self.log.term_at(append.prev_index) == Some(append.prev_term);
        if !follows {
            let hint = self.agreement_hint(append.prev_index, append.prev_term);
            let rejected = Rejected { prev_index: append.prev_index, hint: Some(hint) };
            self.answer_leader(cx, Some(rejected));
            return;
        }
        self.take_acknowledged(append.term, &append.acknowledged);
        let last = append.entries.last().map_or(append.prev_index, |entry| entry.index);
        self.take_entries(cx, append.entries);
        self.verified = self.verified.max(last);
        self.commit = self.commit.max(append.commit.min(self.verified));
        // A leader's commit index is complete once an entry of its own term is committed.
        if self.commit == append.commit && self.log.term_at(self.commit) == Some(append.term) {
            self.is_confirmed = true;
            let age_us = u64::from(append.quorum_age_ms) * 1_000;
            let current_at = Instant::from_us(cx.now.as_us().saturating_sub(age_us));
            self.caught_up_at = self.caught_up_at.max(Some(current_at));
        }
        self.apply_committed(cx);
        self.answer_leader(cx, None);
    }

    /// Accepts the sender as leader of its term. Returns false where the term is stale and
    /// the message must be ignored.
    fn hear_leader(&mut self, cx: &mut Context<'_>, from: NodeId, term: u64, round: u64) -> bool {
        if term < self.hard_state.term {
            self.answer(cx, from, round, None);
            return false;
        }
        if term > self.hard_state.term
            || self.leader != Some(from)
            || !matches!(self.role, Role::Follower | Role::Blank(_))
        {
            self.follow(cx, term, Some(from));
        } else {
            self.role_deadline = self.election_deadline(cx);
        }
        self.heard_leader_at = cx.now;
        self.leader_round = self.leader_round.max(round);
        true
    }

    /// Newest index before `prev_index` at which the logs may match.
    fn agreement_hint(&self, prev_index: u64, prev_term: u64) -> u64 {
        let mut hint = self.log.last_index().min(prev_index.saturating_sub(1));
        while hint > self.commit && self.log.term_at(hint).is_some_and(|term| term > prev_term) {
            hint -= 1;
        }
        hint.max(self.commit)
    }

    /// Appends the entries that the log lacks, after truncating conflicting ones.
    fn take_entries(&mut self, cx: &mut Context<'_>, entries: Vec<Arc<Entry>>) {
        let is_held = |entry: &Arc<Entry>| {
            entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term)
        };
        let held = entries.iter().take_while(|entry| is_held(entry)).count();
        let fresh = entries[held..].to_vec();
        let Some(first) = fresh.first() else { return };
        self.log.truncate_from(first.index);
        self.pending_voters.retain(|(index, _)| *index < first.index);
        for entry in &fresh {
            if let Payload::Voters(voters) = &entry.payload {
                self.pending_voters.push_back((entry.index, voters.clone()));
            }
            self.log.push(Arc::clone(entry));
        }
        self.storage.write(cx, DiskWrite::Append(fresh));
    }

    pub(super) fn take_snapshot(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        install: InstallSnapshot,
    ) {
        if !self.hear_leader(cx, from, install.term, install.round) {
            return;
        }
        let snapshot = install.snapshot;
        let is_blank = matches!(self.role, Role::Blank(_));
        if is_blank || snapshot.index > self.commit {
            let keep_entries = self.log.term_at(snapshot.index) == Some(snapshot.term) && !is_blank;
            let was_version = self.machine.configuration().version();
            self.machine = Machine::from_snapshot(&snapshot);
            self.commit = snapshot.index;
            if keep_entries {
                self.log.compact_to(snapshot.index);
            } else {
                self.log = Log::new(snapshot.index, snapshot.term);
            }
            self.pending_voters = self.log.voter_sets_after(snapshot.index);
            self.role = Role::Follower;
            for origin in self.waiting.take_proposals_up_to(snapshot.index) {
                self.output(ControlOutput::Outcome(origin, ChangeOutcome::Unknown));
            }
            self.storage.write(cx, DiskWrite::Snapshot { snapshot, keep_entries });
            self.announce_version(was_version);
            self.answer_remote_reads();
        }
        self.verified = self.verified.max(self.commit);
        self.answer_leader(cx, None);
    }

    /// Sends the leader this replica's synced match index.
    pub(super) fn answer_leader(&mut self, cx: &mut Context<'_>, rejected: Option<Rejected>) {
        // No response may precede the sync of the term and vote that it depends on; it is
        // sent once they are synced.
        if let Some(leader) = self.leader
            && self.storage.is_hard_state_synced()
            && self.floors.is_confirmed()
        {
            self.answer(cx, leader, self.leader_round, rejected);
        }
    }

    fn answer(&self, cx: &mut Context<'_>, to: NodeId, round: u64, rejected: Option<Rejected>) {
        let response = AppendResponse {
            term: self.hard_state.term,
            round,
            match_index: self.verified.min(self.storage.durable_index()),
            rejected,
            disk: self.disk,
            generation: self.generation,
        };
        cx.send(to, ConsensusMessage::AppendResponse(response));
    }

    /// Applies the committed entries that are not applied yet.
    pub(super) fn apply_committed(&mut self, cx: &mut Context<'_>) {
        let mut is_to_note = false;
        while self.machine.index() < self.commit {
            let Some(entry) = self.log.get(self.machine.index() + 1).cloned() else { break };
            let was_version = self.machine.configuration().version();
            let outcome = self.machine.apply(&entry);
            self.announce_version(was_version);
            self.answer_proposals(&entry, outcome);
            if let Payload::Voters(_) = entry.payload {
                self.pending_voters.retain(|(index, _)| *index > entry.index);
                is_to_note = true;
            }
            is_to_note |= self.machine.configuration().version() != was_version;
        }
        if is_to_note {
            self.set_hard_state(cx, self.hard_state.term, self.hard_state.vote);
        }
        self.begin_publishing();
        self.answer_remote_reads();
        self.compact(cx);
    }

    /// Starts publishing versions once this replica has reached a leader's commit index.
    /// Before that, its version must not be taken for the newest one.
    fn begin_publishing(&mut self) {
        if self.is_confirmed && !self.is_publishing {
            self.is_publishing = true;
            self.announce_version(Version(0));
        }
    }

    fn announce_version(&mut self, was: Version) {
        let configuration = self.machine.configuration();
        if self.is_publishing && configuration.version() != was {
            let configuration = Arc::clone(configuration);
            self.output(ControlOutput::Committed(configuration));
        }
    }

    fn answer_proposals(&mut self, entry: &Entry, outcome: Option<ChangeOutcome>) {
        for (term, origin) in self.waiting.take_proposals_at(entry.index) {
            let is_mine = term == entry.term;
            let outcome = match &outcome {
                Some(outcome) if is_mine => outcome.clone(),
                _ => ChangeOutcome::Refused(ApiError::new(
                    ErrorCode::Unavailable,
                    "the leader was replaced before the change was committed; send it again",
                )),
            };
            self.output(ControlOutput::Outcome(origin, outcome));
        }
    }

    /// Replaces applied entries by a snapshot once the log exceeds a size limit.
    fn compact(&mut self, cx: &mut Context<'_>) {
        let is_due = self.log.bytes() > COMPACT_BYTES
            || self.machine.index() - self.log.base_index() > COMPACT_ENTRIES + KEPT_ENTRIES;
        let kept_from = self.machine.index().saturating_sub(KEPT_ENTRIES);
        if !is_due || kept_from <= self.log.base_index() {
            return;
        }
        self.log.compact_to(kept_from);
        let snapshot = Arc::new(self.machine.to_snapshot());
        self.storage.write(cx, DiskWrite::Snapshot { snapshot, keep_entries: true });
    }
}
