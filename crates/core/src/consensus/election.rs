//! Elections: pre-vote, vote and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use super::entry::{Payload, Voter};
use super::message::{ConsensusMessage, Floor, VoteRequest, VoteResponse};
use super::peer::Peer;
use super::replica::ControlReplica;
use super::role::{Leadership, Role};
use super::{ELECTION_TIMEOUT_MAX_MS, ELECTION_TIMEOUT_MIN_MS, HEARTBEAT_INTERVAL_MS};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;

/// Delay between the first campaigns of replicas that start at the same time, in
/// milliseconds: long enough for a vote to reach another availability zone.
const FIRST_CAMPAIGN_STAGGER_MS: u64 = 20;

/// Time after which the leader that another replica named may be gone, in milliseconds. The other
/// replica stops naming it after an election timeout, and a hello is sent with each campaign.
pub(super) const REPORTED_LEADER_EXPIRES_MS: u64 = 2 * ELECTION_TIMEOUT_MAX_MS;

impl ControlReplica {
    /// Starts a pre-vote after an election timeout without contact from a leader.
    pub(super) fn campaign(&mut self, cx: &mut Context<'_>) {
        if let Some(leader) = self.leader.take() {
            let text = format!("Lost contact with the leader, {leader}.");
            cx.log(LogLevel::Warn, LogPart::Consensus, text);
        }
        self.leader_reported_at.take_if(|at| cx.now.since_ms(*at) >= REPORTED_LEADER_EXPIRES_MS);
        let me = self.me(cx);
        if !self.is_voter(me) || !self.floors.is_confirmed() {
            self.role = Role::Follower;
            self.role_deadline = self.election_deadline(cx);
            self.send_due_hellos(cx);
            return;
        }
        if !matches!(self.role, Role::Follower) {
            // This replica may have been replaced as a voter without having received the entry.
            self.send_due_hellos(cx);
        }
        self.role = Role::PreCandidate(BTreeSet::from([me]));
        self.role_deadline = self.election_deadline(cx);
        self.request_votes(cx, true, false);
        self.check_votes(cx);
    }

    /// Moves the first campaign forward once a majority has responded after startup
    /// and no leader is known. There may be no leader to wait for, as where all
    /// replicas restart at the same time. A pre-vote does not disrupt an existing
    /// leader. Replicas that restart together campaign one after the other.
    pub(super) fn schedule_early_campaign(&mut self, cx: &mut Context<'_>) {
        if self.leader.is_none() && matches!(self.role, Role::Follower) {
            let voters = self.newest_voters();
            let earlier_voters =
                voters.voters().iter().filter(|voter| voter.node < cx.me.id).count();
            let wait_ms = earlier_voters as u64 * FIRST_CAMPAIGN_STAGGER_MS
                + cx.rng.random_range(0..FIRST_CAMPAIGN_STAGGER_MS / 2);
            self.role_deadline = self.role_deadline.min(cx.now.plus_ms(wait_ms));
        }
    }

    /// Starts an election at once, because the leader stops and transfers leadership to
    /// this replica.
    pub(super) fn handle_timeout_now(&mut self, cx: &mut Context<'_>, from: NodeId, term: u64) {
        let me = self.me(cx);
        if term == self.hard_state.term && self.leader == Some(from) && self.is_voter(me) {
            self.start_election(cx, true);
        }
    }

    /// Transfers leadership to the voter with the highest match index.
    pub(super) fn transfer_leadership(&mut self, cx: &mut Context<'_>) {
        let term = self.hard_state.term;
        let Role::Leader(leadership) = &self.role else { return };
        let voters = self.newest_voters();
        let can_lead = |node: &NodeId, peer: &Peer| {
            voters.disk_of(*node).is_some_and(|disk| peer.has_disk(disk))
        };
        let most_advanced = leadership
            .peers
            .iter()
            .filter(|(node, peer)| can_lead(node, peer))
            .max_by_key(|(_, peer)| (peer.match_index, peer.last_response_at));
        if let Some((node, _)) = most_advanced {
            let node = *node;
            cx.log(LogLevel::Info, LogPart::Consensus, format!("Transfers leadership to {node}."));
            cx.send(node, ConsensusMessage::TimeoutNow { term });
        }
    }

    fn start_election(&mut self, cx: &mut Context<'_>, is_leadership_transfer: bool) {
        self.leader = None;
        let term = self.hard_state.term + 1;
        self.set_hard_state(cx, term, Some(cx.me.id));
        self.role = Role::Candidate(BTreeSet::new());
        self.role_deadline = self.election_deadline(cx);
        self.request_votes(cx, false, is_leadership_transfer);
    }

    fn request_votes(&self, cx: &mut Context<'_>, is_pre_vote: bool, is_leadership_transfer: bool) {
        let request = VoteRequest {
            term: self.hard_state.term + u64::from(is_pre_vote),
            is_pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_leadership_transfer,
        };
        let sets = self.active_voter_sets().flat_map(|set| set.voters());
        let nodes: BTreeSet<_> = sets.map(|voter| voter.node).collect();
        for node in nodes.into_iter().filter(|node| *node != cx.me.id) {
            cx.send(node, ConsensusMessage::VoteRequest(request.clone()));
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        request: VoteRequest,
    ) {
        if matches!(self.role, Role::Blank(_)) || !self.floors.is_confirmed() {
            return;
        }
        if request.is_pre_vote {
            let granted = request.term > self.hard_state.term
                && self.is_up_to_date(&request)
                && !self.has_live_leader(cx);
            let term = if granted { request.term } else { self.hard_state.term };
            self.respond_to_vote_request(cx, from, term, true, granted);
            return;
        }
        if request.term > self.hard_state.term {
            // While a leader is live, only an election that it requested itself is accepted.
            if self.has_live_leader(cx) && !request.is_leadership_transfer {
                return;
            }
            self.become_follower(cx, request.term, None);
        }
        let can_vote = matches!(self.role, Role::Follower)
            && self.hard_state.vote.is_none_or(|candidate| candidate == from);
        let granted = request.term == self.hard_state.term
            && self.leader.is_none()
            && can_vote
            && self.is_up_to_date(&request);
        if granted {
            if self.hard_state.vote.is_none() {
                self.set_hard_state(cx, request.term, Some(from));
            }
            self.role_deadline = self.election_deadline(cx);
        }
        self.respond_to_vote_request(cx, from, self.hard_state.term, false, granted);
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own_position = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own_position
    }

    fn has_live_leader(&self, cx: &Context<'_>) -> bool {
        self.leader.is_some()
            && cx.now.since_ms(self.last_quorum_contact_at(cx.now)) < ELECTION_TIMEOUT_MIN_MS
    }

    fn respond_to_vote_request(
        &mut self,
        cx: &mut Context<'_>,
        to: NodeId,
        term: u64,
        is_pre_vote: bool,
        granted: bool,
    ) {
        let (disk, generation) = (self.disk, self.generation);
        let response = VoteResponse { term, is_pre_vote, granted, disk, generation };
        self.unsent_votes.push_back((self.storage.hard_state_sequence(), to, response));
        self.send_synced_votes(cx);
    }

    /// Sends the vote responses whose term and vote are synced.
    pub(super) fn send_synced_votes(&mut self, cx: &mut Context<'_>) {
        while let Some((sequence, ..)) = self.unsent_votes.front()
            && self.storage.is_synced(*sequence)
            && let Some((_, to, response)) = self.unsent_votes.pop_front()
        {
            cx.send(to, ConsensusMessage::VoteResponse(response));
        }
    }

    pub(super) fn handle_vote_response(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        vote: VoteResponse,
    ) {
        if !vote.granted {
            if vote.term > self.hard_state.term {
                self.become_follower(cx, vote.term, None);
            }
            return;
        }
        if !vote.is_pre_vote {
            let (term, generation) = (vote.term, vote.generation);
            self.raise_floor(from, vote.disk, Floor { term, generation, match_index: 0 });
        }
        let requested_term = self.hard_state.term + u64::from(vote.is_pre_vote);
        let voter = Voter { node: from, disk: vote.disk };
        match &mut self.role {
            Role::PreCandidate(votes) if vote.is_pre_vote && vote.term == requested_term => {
                votes.insert(voter);
            }
            Role::Candidate(votes) if !vote.is_pre_vote && vote.term == requested_term => {
                votes.insert(voter);
            }
            _ => return,
        }
        self.check_votes(cx);
    }

    /// Counts the candidate's vote for itself once that vote is synced.
    pub(super) fn vote_for_self(&mut self, cx: &mut Context<'_>) {
        let me = self.me(cx);
        if !self.storage.is_hard_state_synced() {
            return;
        }
        if let Role::Candidate(votes) = &mut self.role
            && votes.insert(me)
        {
            self.check_votes(cx);
        }
    }

    fn check_votes(&mut self, cx: &mut Context<'_>) {
        match &self.role {
            Role::PreCandidate(votes) if self.is_quorum(|voter| votes.contains(voter)) => {
                self.start_election(cx, false);
            }
            Role::Candidate(votes) if self.is_quorum(|voter| votes.contains(voter)) => {
                self.become_leader(cx);
            }
            _ => {}
        }
    }

    fn become_leader(&mut self, cx: &mut Context<'_>) {
        let text = format!("Became leader in term {}.", self.hard_state.term);
        cx.log(LogLevel::Info, LogPart::Consensus, text);
        let next_index = self.log.last_index() + 1;
        self.leader = Some(cx.me.id);
        self.role = Role::Leader(Leadership {
            peers: BTreeMap::new(),
            started_at: cx.now,
            first_index: next_index,
            round: 0,
            next_heartbeat_at: cx.now.plus_ms(HEARTBEAT_INTERVAL_MS),
        });
        self.update_peers(cx);
        self.append(cx, Payload::Noop);
        self.send_heartbeats(cx);
    }
}
