//! The control replica: its state, and the entry points that the reducer calls.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;

use super::disk::{DiskEvent, DiskWrite, RecoveredDisk};
use super::election::REPORTED_LEADER_EXPIRES_MS;
use super::entry::{DiskId, HardState, Voter, VoterSet};
use super::floors::Floors;
use super::log::Log;
use super::message::{ConsensusMessage, VoteResponse};
use super::pending::PendingRequests;
use super::role::{Bootstrap, Participation, Role};
use super::start::PendingStart;
use super::state_machine::StateMachine;
use super::storage::Storage;
use super::{
    ControlOutput, ControlSettings, ELECTION_TIMEOUT_MAX_MS, ELECTION_TIMEOUT_MIN_MS,
    HELLO_INTERVAL_MS,
};
use crate::config::Configuration;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;
use crate::time::Instant;

/// State of a control replica.
pub struct ControlReplica {
    pub(super) settings: ControlSettings,
    /// Control replicas that membership has recorded and not abandoned.
    pub(super) known_replicas: BTreeSet<NodeId>,
    /// Processes to which there is a connection.
    pub(super) connected_peers: BTreeSet<NodeId>,
    /// Results of opening the disk, until the first event handles them.
    pub(super) pending_start: Option<PendingStart>,
    pub(super) disk: DiskId,
    pub(super) generation: u64,
    pub(super) hard_state: HardState,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    /// The leader that another replica last named in a response to a hello. Used only while no
    /// leader replicates to this replica.
    pub(super) reported_leader: Option<NodeId>,
    /// When another replica last named a leader in a response to a hello; none where that is so
    /// long ago that the leader may be gone.
    pub(super) leader_reported_at: Option<Instant>,
    pub(super) log: Log,
    /// Voter sets in the log that are not applied, each with the index of its entry.
    pub(super) pending_voters: VecDeque<(u64, VoterSet)>,
    pub(super) state_machine: StateMachine,
    /// Index of the newest entry that is known to be committed.
    pub(super) commit_index: u64,
    /// Last index up to which the log is known to match the leader's. Followers only.
    pub(super) verified_index: u64,
    /// Newest heartbeat round received from the leader. Followers only.
    pub(super) leader_round: u64,
    /// The initial voter set, as long as the log is not compacted.
    pub(super) first_voters: VoterSet,
    pub(super) storage: Storage,
    pub(super) floors: Floors,
    /// Vote responses that are sent once a disk command is synced: its sequence, the receiver
    /// and the response.
    pub(super) unsent_votes: VecDeque<(u64, NodeId, VoteResponse)>,
    pub(super) pending: PendingRequests,
    /// When a message of the leader last arrived.
    pub(super) last_leader_contact_at: Instant,
    /// Last time at which this replica received the log, or, as a standby, heard of a leader.
    pub(super) log_contact_at: Instant,
    /// When the heartbeat or election timer of the role expires.
    pub(super) role_deadline: Instant,
    pub(super) hello_at: Instant,
    /// Whether the log holds every entry that was committed before this process started.
    pub(super) is_confirmed: bool,
    /// Last time at which this replica had reached the leader's commit index. Followers only.
    pub(super) caught_up_at: Option<Instant>,
    /// Whether versions are published; false until the recovered one is confirmed.
    pub(super) is_publishing: bool,
    pub(super) outputs: Vec<ControlOutput>,
}

impl ControlReplica {
    /// Creates a replica from its settings and the content of its disk.
    pub fn new(settings: ControlSettings, recovered: RecoveredDisk, now: Instant) -> Self {
        let (role, mut state_machine) = match &recovered.snapshot {
            Some(snapshot) => (Role::Follower, StateMachine::from_snapshot(snapshot)),
            None => (Role::Blank(Bootstrap::default()), StateMachine::default()),
        };
        let base = recovered.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let first_voters = match &recovered.snapshot {
            Some(snapshot) if snapshot.index == 0 => snapshot.voters.clone(),
            _ => VoterSet::default(),
        };
        let log = Log::recover(base.0, base.1, recovered.entries);
        let commit_index = recovered.hard_state.commit.clamp(base.0, log.last_index());
        for entry in (base.0 + 1..=commit_index).filter_map(|index| log.get(index)) {
            state_machine.apply(entry);
        }
        Self {
            settings,
            known_replicas: BTreeSet::new(),
            connected_peers: BTreeSet::new(),
            pending_start: Some(PendingStart {
                owner: recovered.owner,
                notices: recovered.notices,
            }),
            disk: recovered.disk,
            generation: recovered.generation,
            hard_state: recovered.hard_state,
            role,
            leader: None,
            reported_leader: None,
            leader_reported_at: None,
            pending_voters: log.voter_sets_after(commit_index),
            commit_index,
            verified_index: commit_index,
            leader_round: 0,
            first_voters,
            storage: Storage::new(log.last_index()),
            floors: Floors::default(),
            log,
            state_machine,
            unsent_votes: VecDeque::new(),
            pending: PendingRequests::default(),
            last_leader_contact_at: now,
            log_contact_at: now,
            role_deadline: now,
            hello_at: now,
            is_confirmed: false,
            caught_up_at: None,
            is_publishing: false,
            outputs: Vec::new(),
        }
    }

    /// The newest committed configuration at this replica.
    pub fn configuration(&self) -> &Arc<Configuration> {
        self.state_machine.configuration()
    }

    /// The leader that this replica follows; itself where it leads.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// How this replica, of process `me`, takes part in the replicated log.
    pub fn participation(&self, me: NodeId) -> Participation {
        let is_blank = matches!(self.role, Role::Blank(_));
        let is_voter =
            self.is_voter(Voter { node: me, disk: self.disk }) && !self.is_presumed_removed();
        if self.storage.has_failed() {
            Participation::Standby { leader: None }
        } else if is_blank || (self.leader.is_none() && !is_voter) {
            Participation::Standby { leader: self.leader.or(self.reported_leader) }
        } else {
            Participation::Member { leader: self.leader }
        }
    }

    /// Whether other replicas follow a leader that does not replicate to this replica. If its own
    /// log names it as a voter, it was replaced. Shortly after a loss of the leader it proves
    /// nothing, because the others may not have noticed it yet.
    pub(super) fn is_presumed_removed(&self) -> bool {
        let without_contact = |at: Instant| at.since_ms(self.last_leader_contact_at);
        self.leader.is_none()
            && self
                .leader_reported_at
                .is_some_and(|at| without_contact(at) >= REPORTED_LEADER_EXPIRES_MS)
    }

    /// Records the control replicas that membership lists, with their peer
    /// addresses.
    pub fn set_known_replicas(&mut self, cx: &mut Context<'_>, replicas: &[(NodeId, SocketAddr)]) {
        self.known_replicas = replicas.iter().map(|(node, _)| *node).collect();
        if self.settings.joins_only || !self.settings.initial_voters.is_empty() {
            return;
        }
        let node_at = |address: &SocketAddr| {
            let found = replicas.iter().find(|(_, at)| at == address);
            found.map(|(node, _)| *node)
        };
        let nodes: Option<Vec<NodeId>> =
            self.settings.initial_addresses.iter().map(node_at).collect();
        let Some(nodes) = nodes.filter(|nodes| !nodes.is_empty()) else { return };
        self.settings.initial_voters = nodes;
        let is_running = self.pending_start.is_none() && !self.storage.has_failed();
        if is_running && matches!(self.role, Role::Blank(_)) {
            self.begin_bootstrap(cx);
            self.hello_at = cx.now;
        }
    }

    /// Takes the pending outputs for the rest of the reducer.
    pub fn take_outputs(&mut self) -> Vec<ControlOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`ControlReplica::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        if self.storage.has_failed() {
            return Instant::NEVER;
        }
        let role = match &self.role {
            Role::Blank(_) => self.hello_at,
            _ if !self.floors.is_confirmed() => self.role_deadline.min(self.hello_at),
            _ => self.role_deadline,
        };
        role.min(self.pending.next_deadline())
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        if !self.ensure_started(cx) {
            return;
        }
        self.expire_requests(cx);
        let is_blank = matches!(self.role, Role::Blank(_));
        if (is_blank || !self.floors.is_confirmed()) && self.hello_at <= cx.now {
            self.send_hellos(cx);
        }
        match &self.role {
            Role::Blank(_) => {}
            _ if self.role_deadline > cx.now => {}
            Role::Leader(_) => self.tick_leader(cx),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => self.campaign(cx),
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, cx: &mut Context<'_>, from: NodeId, message: ConsensusMessage) {
        if !self.ensure_started(cx) {
            return;
        }
        match message {
            ConsensusMessage::Hello(hello) => self.handle_hello(cx, from, hello),
            ConsensusMessage::VoteRequest(request) => self.handle_vote_request(cx, from, request),
            ConsensusMessage::VoteResponse(response) => {
                self.handle_vote_response(cx, from, response)
            }
            ConsensusMessage::Append(append) => self.handle_append(cx, from, append),
            ConsensusMessage::AppendResponse(response) => {
                self.handle_append_response(cx, from, response)
            }
            ConsensusMessage::Snapshot(install) => self.handle_snapshot(cx, from, install),
            ConsensusMessage::ReadRequest { origin } => self.handle_read_request(cx, from, origin),
            ConsensusMessage::ReadResponse { origin, index } => {
                self.handle_read_response(origin, index);
            }
            ConsensusMessage::TimeoutNow { term } => self.handle_timeout_now(cx, from, term),
        }
    }

    /// Handles the close of the last connection to another process.
    pub fn peer_disconnected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        self.connected_peers.remove(&peer);
        // Entries in flight may be lost: search again for the last matching entry.
        if let Role::Leader(leadership) = &mut self.role
            && let Some(peer) = leadership.peers.get_mut(&peer)
        {
            peer.probe(peer.match_index + 1);
            peer.await_response(cx.now, 0);
        }
    }

    /// Handles a disk event.
    pub fn handle_disk_event(&mut self, cx: &mut Context<'_>, event: DiskEvent) {
        if let DiskEvent::Reopened(recovered) = event {
            return self.reopen(cx, recovered);
        }
        if !self.ensure_started(cx) {
            return;
        }
        match event {
            DiskEvent::Synced { sequence } => self.handle_synced(cx, sequence),
            DiskEvent::Failed { error } => self.handle_disk_failure(cx, &error),
            DiskEvent::Reopened(_) => {}
        }
    }

    /// Restarts the replica from the content of the disk after its failure, in the
    /// same way as a restart of the process.
    fn reopen(&mut self, cx: &mut Context<'_>, recovered: RecoveredDisk) {
        let text = "The disk works again; restarting this control replica from its content.";
        cx.log(LogLevel::Info, LogPart::Disk, text.to_owned());
        let outputs = self.take_outputs();
        let replica = Self::new(self.settings.clone(), recovered, cx.now);
        let known_replicas = std::mem::take(&mut self.known_replicas);
        let connected_peers = std::mem::take(&mut self.connected_peers);
        let log_contact_at = self.log_contact_at;
        *self = Self { known_replicas, connected_peers, outputs, log_contact_at, ..replica };
        self.ensure_started(cx);
    }

    /// Transfers leadership, if this replica leads, because the process stops.
    pub fn stop(&mut self, cx: &mut Context<'_>) {
        if self.ensure_started(cx) {
            self.transfer_leadership(cx);
        }
    }

    pub(super) fn output(&mut self, output: ControlOutput) {
        self.outputs.push(output);
    }

    /// This replica as a voter.
    pub(super) fn me(&self, cx: &Context<'_>) -> Voter {
        Voter { node: cx.me.id, disk: self.disk }
    }

    /// Returns a randomised deadline, so that two voters rarely campaign at the same time.
    pub(super) fn election_deadline(&self, cx: &mut Context<'_>) -> Instant {
        let wait_ms = cx.rng.random_range(ELECTION_TIMEOUT_MIN_MS..=ELECTION_TIMEOUT_MAX_MS);
        cx.now.plus_ms(wait_ms)
    }

    /// Becomes a follower in this term, and adopts the term if it is newer. A blank replica stays
    /// blank.
    pub(super) fn become_follower(
        &mut self,
        cx: &mut Context<'_>,
        term: u64,
        leader: Option<NodeId>,
    ) {
        if term > self.hard_state.term {
            self.set_hard_state(cx, term, None);
            // The rounds of a leader begin anew with its term, also where it led the last one.
            self.leader_round = 0;
        }
        if matches!(self.role, Role::Leader(_)) {
            let text = format!("Stopped being leader in term {}.", self.hard_state.term);
            cx.log(LogLevel::Info, LogPart::Consensus, text);
            self.last_leader_contact_at = self.last_quorum_contact_at(cx.now);
            self.refuse_reads(cx);
            self.withdraw_acceptances();
        }
        if self.leader != leader {
            self.leader = leader;
            self.verified_index = self.commit_index;
            self.leader_round = 0;
        }
        if !matches!(self.role, Role::Blank(_)) {
            self.role = Role::Follower;
        }
        self.role_deadline = self.election_deadline(cx);
    }

    pub(super) fn set_hard_state(&mut self, cx: &mut Context<'_>, term: u64, vote: Option<NodeId>) {
        if term > self.hard_state.term {
            self.verified_index = self.commit_index;
        }
        self.hard_state = HardState { term, vote, commit: self.commit_index };
        self.storage.write(cx, DiskWrite::HardState(self.hard_state));
    }

    fn handle_synced(&mut self, cx: &mut Context<'_>, sequence: u64) {
        let previous_durable_index = self.storage.durable_index();
        self.storage.record_synced(sequence);
        self.send_synced_votes(cx);
        match &self.role {
            Role::Candidate(_) => self.vote_for_self(cx),
            Role::Leader(_) => self.advance_commit(cx),
            Role::Follower if self.storage.durable_index() != previous_durable_index => {
                self.respond_to_leader(cx, None);
            }
            Role::Follower | Role::Blank(_) | Role::PreCandidate(_) => {}
        }
    }

    /// Stops taking part in consensus, because writes already issued may or may not be on disk.
    fn handle_disk_failure(&mut self, cx: &mut Context<'_>, error: &str) {
        let text = format!(
            "The disk failed; this control replica no longer takes part in consensus: {error}"
        );
        cx.log(LogLevel::Error, LogPart::Disk, text);
        self.become_follower(cx, self.hard_state.term, None);
        self.storage.mark_failed();
        self.unsent_votes.clear();
        self.abandon_requests();
    }

    /// Sends hello messages if they are due.
    pub(super) fn send_due_hellos(&mut self, cx: &mut Context<'_>) {
        if self.hello_at <= cx.now {
            self.send_hellos(cx);
        }
    }

    pub(super) fn schedule_hello(&mut self, cx: &Context<'_>) {
        self.hello_at = cx.now.plus_ms(HELLO_INTERVAL_MS);
    }
}
