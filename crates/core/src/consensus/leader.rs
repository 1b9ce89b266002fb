//! The leader: sends entries, heartbeats and snapshots, advances the commit
//! index, and admits replaced storages that have caught up.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::disk::DiskWrite;
use super::entry::{DiskId, Entry, Payload, Voter, VoterSet};
use super::message::{Append, AppendResponse, ConsensusMessage, Floor, InstallSnapshot};
use super::peer::{MAX_APPEND_BYTES, Peer, Sending};
use super::replica::ControlReplica;
use super::role::Role;
use super::{ELECTION_TIMEOUT_MAX_MS, HEARTBEAT_INTERVAL_MS};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;
use crate::time::Instant;

/// Most committed entries that a learner may lack when it becomes a voter.
pub(super) const MAX_LEARNER_LAG_ENTRIES: u64 = 64;

/// Most learners to which a leader replicates its log.
const MAX_LEARNERS: usize = 8;

/// Time after which an unacknowledged snapshot is sent again, in milliseconds.
const SNAPSHOT_RESEND_MS: u64 = 3_000;

impl ControlReplica {
    /// Handles a due heartbeat: steps down without a quorum, otherwise maintains the voters
    /// and sends heartbeats.
    pub(super) fn tick_leader(&mut self, cx: &mut Context<'_>) {
        if cx.now.since_ms(self.last_quorum_contact_at(cx.now)) >= ELECTION_TIMEOUT_MAX_MS {
            cx.log(LogLevel::Warn, LogPart::Consensus, "Lost contact with a quorum.".to_owned());
            self.become_follower(cx, self.hard_state.term, None);
            return;
        }
        self.maintain_voters(cx);
        self.report_acceptances(cx);
        self.send_heartbeats(cx);
    }

    /// Handles the first connection to another process. It may have started anew with another
    /// storage, so the leader requests a response that names it.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        self.connected_peers.insert(peer);
        let Role::Leader(leadership) = &mut self.role else { return };
        if let Some(progress) = leadership.peers.get_mut(&peer) {
            // Responses to earlier rounds may still arrive from the process that ran before.
            leadership.round += 1;
            progress.await_response(Instant::NEVER, leadership.round);
            self.send_append(cx, peer, Vec::new(), 0);
        }
    }

    /// Sends pending entries to every peer, or an empty append as a heartbeat.
    pub(super) fn send_heartbeats(&mut self, cx: &mut Context<'_>) {
        let Role::Leader(leadership) = &mut self.role else { return };
        leadership.round += 1;
        leadership.next_heartbeat_at = cx.now.plus_ms(HEARTBEAT_INTERVAL_MS);
        self.role_deadline = leadership.next_heartbeat_at;
        let nodes: Vec<_> = leadership.peers.keys().copied().collect();
        for node in nodes {
            if !self.send_entries(cx, node) {
                self.send_append(cx, node, Vec::new(), 0);
            }
        }
    }

    /// Appends an entry to the leader's own log and replicates it. Returns its index.
    pub(super) fn append(&mut self, cx: &mut Context<'_>, payload: Payload) -> u64 {
        let last = self.log.get(self.log.last_index());
        let last_unix_ms = last.map_or(self.state_machine.unix_ms(), |last| last.unix_ms);
        let entry = Arc::new(Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            unix_ms: cx.me.unix_ms(cx.now).max(last_unix_ms),
            payload,
        });
        let index = entry.index;
        if let Payload::Voters(voters) = &entry.payload {
            self.pending_voters.push_back((index, voters.clone()));
            self.update_peers(cx);
        }
        self.log.push(Arc::clone(&entry));
        self.storage.write(cx, DiskWrite::Append(vec![entry]));
        self.send_all(cx);
        index
    }

    fn send_all(&mut self, cx: &mut Context<'_>) {
        let Role::Leader(leadership) = &self.role else { return };
        let nodes: Vec<_> = leadership.peers.keys().copied().collect();
        for node in nodes {
            self.send_entries(cx, node);
        }
    }

    /// Sends the entries that a replica lacks, within the in-flight limit, or a snapshot where
    /// the log no longer holds them. Returns whether anything was sent.
    fn send_entries(&mut self, cx: &mut Context<'_>, node: NodeId) -> bool {
        let mut has_sent = false;
        loop {
            let Role::Leader(leadership) = &mut self.role else { return has_sent };
            let Some(peer) = leadership.peers.get_mut(&node) else { return has_sent };
            if !peer.may_send() || peer.next_index > self.log.last_index() {
                return has_sent;
            }
            if self.log.term_at(peer.next_index - 1).is_none() {
                // A snapshot is large, so it is only sent to a replica that responds.
                let is_responsive = peer.is_responsive(cx.now);
                if is_responsive {
                    self.send_snapshot(cx, node);
                }
                return is_responsive;
            }
            let (entries, bytes) = self.log.slice(peer.next_index, MAX_APPEND_BYTES);
            self.send_append(cx, node, entries, bytes);
            has_sent = true;
        }
    }

    fn send_append(
        &mut self,
        cx: &mut Context<'_>,
        node: NodeId,
        entries: Vec<Arc<Entry>>,
        bytes: usize,
    ) {
        let acknowledged = self.acknowledged();
        let quorum_age_ms = cx.now.since_ms(self.last_quorum_contact_at(cx.now)) as u32;
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(peer) = leadership.peers.get_mut(&node) else { return };
        let prev_index = match peer.sending {
            Sending::Snapshot { resend_at, .. }
                if resend_at <= cx.now && peer.is_responsive(cx.now) =>
            {
                self.send_snapshot(cx, node);
                return;
            }
            // Index 0 matches every log, so the heartbeat resets the follower's election
            // timeout while the snapshot is under way.
            Sending::Snapshot { .. } => 0,
            Sending::Probe | Sending::Stream => peer.next_index - 1,
        };
        let (prev_index, prev_term) = match self.log.term_at(prev_index) {
            Some(term) => (prev_index, term),
            None if peer.sending.is_snapshot() || !peer.is_responsive(cx.now) => (0, 0),
            None => {
                self.send_snapshot(cx, node);
                return;
            }
        };
        if let Some(last) = entries.last() {
            peer.record_sent(last.index, bytes);
        }
        let append = Append {
            term: self.hard_state.term,
            prev_index,
            prev_term,
            commit_index: self.commit_index,
            round: leadership.round,
            quorum_age_ms,
            entries,
            acknowledged,
        };
        cx.send(node, ConsensusMessage::Append(append));
    }

    fn send_snapshot(&mut self, cx: &mut Context<'_>, node: NodeId) {
        let snapshot = Arc::new(self.state_machine.to_snapshot());
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(peer) = leadership.peers.get_mut(&node) else { return };
        peer.wait_for_snapshot(snapshot.index, cx.now.plus_ms(SNAPSHOT_RESEND_MS));
        let (term, round) = (self.hard_state.term, leadership.round);
        cx.send(node, ConsensusMessage::Snapshot(InstallSnapshot { term, round, snapshot }));
    }

    pub(super) fn handle_append_response(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        response: AppendResponse,
    ) {
        if response.term > self.hard_state.term {
            self.become_follower(cx, response.term, None);
            return;
        }
        if response.term < self.hard_state.term {
            return;
        }
        let observed = Floor {
            generation: response.generation,
            term: response.term,
            match_index: response.match_index,
        };
        self.raise_floor(from, response.disk, observed);
        let Role::Leader(leadership) = &mut self.role else { return };
        let Some(peer) = leadership.peers.get_mut(&from) else { return };
        peer.set_disk((response.disk, response.generation));
        peer.record_response(cx.now, response.round);
        let mut needs_snapshot = false;
        match response.rejected {
            Some(rejected) if rejected.prev_index < peer.match_index => {}
            // The response belongs to an append that was sent before the snapshot.
            Some(_) if peer.sending.is_snapshot() => {}
            Some(rejected) => match rejected.hint {
                Some(hint) => {
                    peer.probe(rejected.prev_index.min(hint + 1));
                    self.send_append(cx, from, Vec::new(), 0);
                }
                None => needs_snapshot = true,
            },
            None => {
                peer.record_match(response.match_index);
                let is_snapshot_pending = matches!(peer.sending, Sending::Snapshot { index, .. } if index > peer.match_index);
                if !is_snapshot_pending {
                    peer.sending = Sending::Stream;
                }
            }
        }
        if needs_snapshot {
            self.send_snapshot(cx, from);
        }
        self.advance_commit(cx);
        self.answer_reads(cx);
        self.send_entries(cx, from);
        self.admit_when_caught_up(cx, from);
        self.report_acceptances(cx);
    }

    /// Advances the commit index to the last entry that a majority has synced.
    pub(super) fn advance_commit(&mut self, cx: &mut Context<'_>) {
        let Role::Leader(leadership) = &self.role else { return };
        let me = self.me(cx);
        let synced_index = |voter: &Voter| {
            if *voter == me {
                return self.storage.durable_index();
            }
            let peer = leadership.peers.get(&voter.node);
            peer.filter(|peer| peer.has_disk(voter.disk)).map_or(0, |peer| peer.match_index)
        };
        let index = self.quorum_value(synced_index);
        // Entries of older terms are committed only through an entry of this term.
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_index = index;
        self.is_confirmed = true;
        self.apply_committed(cx);
        self.report_acceptances(cx);
        self.send_heartbeats(cx);
        self.answer_reads(cx);
        let is_removed = self.pending_voters.is_empty() && !self.is_voter(me);
        if is_removed {
            cx.log(
                LogLevel::Info,
                LogPart::Consensus,
                "This replica is no longer a voter; stepping down as leader.".to_owned(),
            );
            self.become_follower(cx, self.hard_state.term, None);
        }
    }

    /// Adds the voters of the active sets to the peers. Learners stay.
    pub(super) fn update_peers(&mut self, cx: &mut Context<'_>) {
        let sets = self.active_voter_sets().flat_map(|set| set.voters());
        let nodes: BTreeSet<_> = sets.map(|voter| voter.node).collect();
        let next_index = self.log.last_index() + 1;
        let Role::Leader(leadership) = &mut self.role else { return };
        for node in nodes.into_iter().filter(|node| *node != cx.me.id) {
            leadership.peers.entry(node).or_insert_with(|| Peer::new(next_index, cx.now));
        }
    }

    /// Adds the sender of a hello to the peers, and probes its log if its storage is new.
    pub(super) fn handle_hello_as_leader(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        disk: (DiskId, u64),
    ) {
        let next_index = self.log.last_index() + 1;
        let voters = self.newest_voters();
        let is_voter = voters.disk_of(from).is_some();
        let voter_count = voters.voters().len();
        let Role::Leader(leadership) = &mut self.role else { return };
        let is_known = leadership.peers.contains_key(&from);
        if !is_known && !is_voter && leadership.peers.len() >= voter_count + MAX_LEARNERS {
            return;
        }
        let peer = leadership.peers.entry(from).or_insert_with(|| Peer::new(next_index, cx.now));
        if peer.disk != Some(disk) {
            peer.set_disk(disk);
            peer.await_response(cx.now.plus_ms(ELECTION_TIMEOUT_MAX_MS), 0);
            peer.probe(next_index);
            self.send_append(cx, from, Vec::new(), 0);
        }
    }

    /// Appends a voter set that admits a replaced storage of a voter, once the new
    /// storage holds every committed entry.
    fn admit_when_caught_up(&mut self, cx: &mut Context<'_>, node: NodeId) {
        let Role::Leader(leadership) = &self.role else { return };
        let Some(peer) = leadership.peers.get(&node) else { return };
        let Some((disk, _)) = peer.disk else { return };
        let voters = self.newest_voters();
        let is_replaced = voters.disk_of(node).is_some_and(|voting| voting != disk);
        let is_caught_up = peer.match_index >= self.commit_index && self.has_committed_in_term();
        if !is_replaced || !is_caught_up || !self.pending_voters.is_empty() {
            return;
        }
        let next = voters.with_replaced(node, Voter { node, disk });
        cx.log(
            LogLevel::Info,
            LogPart::Consensus,
            format!("Admits {node} as a voter with a new storage."),
        );
        self.append(cx, Payload::Voters(next));
    }

    /// Whether an entry of this leader's term is committed, so that its commit index
    /// covers every committed entry.
    pub(super) fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(leadership) if self.commit_index >= leadership.first_index)
    }

    /// Appends an entry that replaces the voter set. Returns an error message where this is
    /// not possible now.
    pub(super) fn append_voters(
        &mut self,
        cx: &mut Context<'_>,
        voters: VoterSet,
    ) -> Result<u64, &'static str> {
        if !self.has_committed_in_term() {
            return Err("this replica is not a leader with a quorum; retry later");
        }
        if !self.pending_voters.is_empty() {
            return Err("another voter change is in progress; retry after it has finished");
        }
        Ok(self.append(cx, Payload::Voters(voters)))
    }
}
