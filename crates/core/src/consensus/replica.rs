//! A control replica as the reducer drives it.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;

use super::disk::{DiskEvent, DiskWrite, RecoveredDisk};
use super::entry::{DiskId, HardState, Voter, VoterSet};
use super::floors::Floors;
use super::log::Log;
use super::machine::Machine;
use super::message::{ConsensusMessage, VoteResponse};
use super::role::{Formation, Role};
use super::start::Start;
use super::storage::Storage;
use super::waiting::Waiting;
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
    /// Control replicas that membership knows and has not given up.
    pub(super) known_replicas: BTreeSet<NodeId>,
    /// What the disk said on opening, until the first event.
    pub(super) recovered: Option<Start>,
    pub(super) disk: DiskId,
    pub(super) generation: u64,
    pub(super) hard_state: HardState,
    pub(super) role: Role,
    pub(super) leader: Option<NodeId>,
    pub(super) log: Log,
    /// Voter sets in the log that are not applied, with their entries.
    pub(super) pending_voters: VecDeque<(u64, VoterSet)>,
    pub(super) machine: Machine,
    /// The newest entry that is known to be committed.
    pub(super) commit: u64,
    /// The last entry that is known to be the leader's. Followers only.
    pub(super) verified: u64,
    /// Newest round of heartbeats of the leader. Followers only.
    pub(super) leader_round: u64,
    /// The first set of voters, while nothing is compacted.
    pub(super) first_voters: VoterSet,
    pub(super) storage: Storage,
    pub(super) floors: Floors,
    /// Votes that are given once a command is synced.
    pub(super) unsent_votes: VecDeque<(u64, NodeId, VoteResponse)>,
    pub(super) waiting: Waiting,
    /// When the leader was last heard from.
    pub(super) heard_leader_at: Instant,
    /// When the role has something to do.
    pub(super) role_deadline: Instant,
    pub(super) hello_at: Instant,
    /// Whether everything is known that was committed before this process started.
    pub(super) is_confirmed: bool,
    /// When all that a leader knew to be committed was last known here. Followers only.
    pub(super) caught_up_at: Option<Instant>,
    /// Whether versions are published: not before the recovered one is confirmed.
    pub(super) is_publishing: bool,
    pub(super) outputs: Vec<ControlOutput>,
}

impl ControlReplica {
    /// Makes a replica from its settings and what its disk held.
    pub fn new(settings: ControlSettings, recovered: RecoveredDisk, now: Instant) -> Self {
        let (role, mut machine) = match &recovered.snapshot {
            Some(snapshot) => (Role::Follower, Machine::from_snapshot(snapshot)),
            None => (Role::Blank(Formation::default()), Machine::default()),
        };
        let base = recovered.snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let first_voters = match &recovered.snapshot {
            Some(snapshot) if snapshot.index == 0 => snapshot.voters.clone(),
            _ => VoterSet::default(),
        };
        let log = Log::recover(base.0, base.1, recovered.entries);
        let commit = recovered.hard_state.commit.clamp(base.0, log.last_index());
        for entry in (base.0 + 1..=commit).filter_map(|index| log.get(index)) {
            machine.apply(entry);
        }
        Self {
            settings,
            known_replicas: BTreeSet::new(),
            recovered: Some(Start { owner: recovered.owner, notices: recovered.notices }),
            disk: recovered.disk,
            generation: recovered.generation,
            hard_state: recovered.hard_state,
            role,
            leader: None,
            pending_voters: log.voter_sets_after(commit),
            commit,
            verified: commit,
            leader_round: 0,
            first_voters,
            storage: Storage::new(log.last_index()),
            floors: Floors::default(),
            log,
            machine,
            unsent_votes: VecDeque::new(),
            waiting: Waiting::default(),
            heard_leader_at: now,
            role_deadline: now,
            hello_at: now,
            is_confirmed: false,
            caught_up_at: None,
            is_publishing: false,
            outputs: Vec::new(),
        }
    }

    /// The newest committed configuration that this replica knows.
    pub fn configuration(&self) -> &Arc<Configuration> {
        self.machine.configuration()
    }

    /// The leader that this replica follows, itself included.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Takes note of the control replicas that membership knows, with where
    /// they listen for messages.
    pub fn know_replicas(&mut self, cx: &mut Context<'_>, replicas: &[(NodeId, SocketAddr)]) {
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
        if self.recovered.is_none() && matches!(self.role, Role::Blank(_)) {
            self.begin_formation(cx);
            self.hello_at = cx.now;
        }
    }

    /// Takes what the rest of the reducer must hear.
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
        role.min(self.waiting.next_deadline())
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        if !self.begin(cx) {
            return;
        }
        self.give_up_late(cx);
        let is_blank = matches!(self.role, Role::Blank(_));
        if (is_blank || !self.floors.is_confirmed()) && self.hello_at <= cx.now {
            self.greet(cx);
        }
        match &self.role {
            Role::Blank(_) => {}
            _ if self.role_deadline > cx.now => {}
            Role::Leader(_) => self.lead_on(cx),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => self.campaign(cx),
        }
    }

    /// A message from another replica.
    pub fn step(&mut self, cx: &mut Context<'_>, from: NodeId, message: ConsensusMessage) {
        if !self.begin(cx) {
            return;
        }
        match message {
            ConsensusMessage::Hello(hello) => self.take_hello(cx, from, hello),
            ConsensusMessage::VoteRequest(request) => self.take_vote_request(cx, from, request),
            ConsensusMessage::VoteResponse(response) => self.take_vote(cx, from, response),
            ConsensusMessage::Append(append) => self.take_append(cx, from, append),
            ConsensusMessage::AppendResponse(response) => self.take_response(cx, from, response),
            ConsensusMessage::Snapshot(install) => self.take_snapshot(cx, from, install),
            ConsensusMessage::ReadRequest { origin } => self.take_read_request(cx, from, origin),
            ConsensusMessage::ReadResponse { origin, index } => {
                self.take_read_response(origin, index);
            }
            ConsensusMessage::Campaign { term } => self.take_campaign(cx, from, term),
        }
    }

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, _cx: &mut Context<'_>, peer: NodeId) {
        // Entries under way may be lost: look again for where the logs agree.
        if let Role::Leader(leadership) = &mut self.role
            && let Some(peer) = leadership.peers.get_mut(&peer)
        {
            peer.probe(peer.match_index + 1);
        }
    }

    /// The disk finished a command, or failed.
    pub fn disk(&mut self, cx: &mut Context<'_>, event: DiskEvent) {
        if let DiskEvent::Reopened(recovered) = event {
            return self.reopen(cx, recovered);
        }
        if !self.begin(cx) {
            return;
        }
        match event {
            DiskEvent::Synced { sequence } => self.take_synced(cx, sequence),
            DiskEvent::Failed { error } => self.fail(cx, &error),
            DiskEvent::Reopened(_) => {}
        }
    }

    /// Takes part again, with what the disk holds after its failure: the same
    /// as a restart of the process.
    fn reopen(&mut self, cx: &mut Context<'_>, recovered: RecoveredDisk) {
        let text = "The disk works again; this control replica starts anew from what it holds.";
        cx.log(LogLevel::Info, LogPart::Disk, text.to_owned());
        let outputs = self.take_outputs();
        let replica = Self::new(self.settings.clone(), recovered, cx.now);
        let known_replicas = std::mem::take(&mut self.known_replicas);
        *self = Self { known_replicas, outputs, ..replica };
        self.begin(cx);
    }

    /// The process stops: hands the lead over where it has it.
    pub fn stop(&mut self, cx: &mut Context<'_>) {
        if self.begin(cx) {
            self.hand_over(cx);
        }
    }

    pub(super) fn output(&mut self, output: ControlOutput) {
        self.outputs.push(output);
    }

    /// This replica as a voter.
    pub(super) fn me(&self, cx: &Context<'_>) -> Voter {
        Voter { node: cx.me.id, disk: self.disk }
    }

    /// A deadline at random, so that two voters seldom ask at once.
    pub(super) fn election_deadline(&self, cx: &mut Context<'_>) -> Instant {
        let wait_ms = cx.rng.random_range(ELECTION_TIMEOUT_MIN_MS..=ELECTION_TIMEOUT_MAX_MS);
        cx.now.plus_ms(wait_ms)
    }

    /// Follows in this term, or a newer one.
    pub(super) fn follow(&mut self, cx: &mut Context<'_>, term: u64, leader: Option<NodeId>) {
        if term > self.hard_state.term {
            self.set_hard_state(cx, term, None);
        }
        if matches!(self.role, Role::Leader(_)) {
            let text = format!("Stops leading in term {}.", self.hard_state.term);
            cx.log(LogLevel::Info, LogPart::Consensus, text);
            self.heard_leader_at = self.current_at(cx.now);
            self.refuse_reads(cx);
        }
        if self.leader != leader {
            self.leader = leader;
            self.verified = self.commit;
            self.leader_round = 0;
        }
        if !matches!(self.role, Role::Blank(_)) {
            self.role = Role::Follower;
        }
        self.role_deadline = self.election_deadline(cx);
    }

    pub(super) fn set_hard_state(&mut self, cx: &mut Context<'_>, term: u64, vote: Option<NodeId>) {
        if term > self.hard_state.term {
            self.verified = self.commit;
        }
        self.hard_state = HardState { term, vote, commit: self.commit };
        self.storage.write(cx, DiskWrite::HardState(self.hard_state));
    }

    fn take_synced(&mut self, cx: &mut Context<'_>, sequence: u64) {
        let was_durable = self.storage.durable_index();
        self.storage.synced(sequence);
        self.send_votes(cx);
        match &self.role {
            Role::Candidate(_) => self.vote_for_myself(cx),
            Role::Leader(_) => self.advance_commit(cx),
            Role::Follower if self.storage.durable_index() != was_durable => {
                self.answer_leader(cx, None);
            }
            Role::Follower | Role::Blank(_) | Role::PreCandidate(_) => {}
        }
    }

    /// Takes no part from here on: what was handed to the disk may or may not be there.
    fn fail(&mut self, cx: &mut Context<'_>, error: &str) {
        let text = format!("The disk failed; this control replica takes no part any more: {error}");
        cx.log(LogLevel::Error, LogPart::Disk, text);
        self.follow(cx, self.hard_state.term, None);
        self.storage.fail();
        self.unsent_votes.clear();
        self.give_up_all();
    }

    /// Sends a greeting where it is due.
    pub(super) fn greet_in_time(&mut self, cx: &mut Context<'_>) {
        if self.hello_at <= cx.now {
            self.greet(cx);
        }
    }

    pub(super) fn delay_hello(&mut self, cx: &Context<'_>) {
        self.hello_at = cx.now.plus_ms(HELLO_INTERVAL_MS);
    }
}
