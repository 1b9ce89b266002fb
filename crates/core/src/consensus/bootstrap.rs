//! Bootstrap of the initial voter set, and hello messages of a replica to which
//! no leader replicates.
//!
//! The initial voters form a set only once each of them has received from every
//! other one that it is blank and has discovered the same storages. A voter that
//! loses its storage later therefore cannot form a set of its own, because the
//! others respond that they are not blank. It waits for the leader instead. A voter
//! that is still blank with a storage that another voter has formed the set with
//! adopts that set.

use std::collections::BTreeSet;

use super::disk::DiskWrite;
use super::entry::{Voter, VoterSet};
use super::message::{ConsensusMessage, Floor, Hello};
use super::replica::ControlReplica;
use super::role::{Bootstrap, Role};
use super::snapshot::Snapshot;
use super::state_machine::StateMachine;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;

/// Interval between log lines about the voters for which a blank replica waits, in
/// milliseconds.
const WAIT_LOG_INTERVAL_MS: u64 = 10_000;

impl ControlReplica {
    pub(super) fn begin_bootstrap(&mut self, cx: &mut Context<'_>) {
        let me = self.me(cx);
        if self.settings.initial_voters.contains(&me.node) {
            let mut bootstrap = Bootstrap::default();
            bootstrap.discovered.insert(me.node, me);
            bootstrap.next_log_at = cx.now.plus_ms(WAIT_LOG_INTERVAL_MS / 10);
            self.role = Role::Blank(bootstrap);
        }
        self.bootstrap_when_complete(cx);
    }

    /// Sends a hello to every replica that may have a leader.
    pub(super) fn send_hellos(&mut self, cx: &mut Context<'_>) {
        self.schedule_hello(cx);
        self.log_missing_voters(cx);
        let voters = self.newest_voters().voters().iter().map(|voter| voter.node);
        let recipients: BTreeSet<_> = voters
            .chain(self.settings.initial_voters.iter().copied())
            .chain(self.known_replicas.iter().copied())
            .chain(self.leader)
            .collect();
        for node in recipients.into_iter().filter(|node| *node != cx.me.id) {
            self.send_hello(cx, node, true, None);
        }
    }

    /// Logs at intervals what a blank replica waits for.
    fn log_missing_voters(&mut self, cx: &mut Context<'_>) {
        let Role::Blank(bootstrap) = &mut self.role else { return };
        if self.leader.is_some() || bootstrap.next_log_at > cx.now {
            return;
        }
        bootstrap.next_log_at = cx.now.plus_ms(WAIT_LOG_INTERVAL_MS);
        let (discovered, count) = (bootstrap.discovered.len(), self.settings.initial_voters.len());
        let text = format!(
            "The data folder is empty: waiting for a leader, or for every initial voter to start \
             ({discovered} of {count} have started)."
        );
        cx.log(LogLevel::Info, LogPart::Consensus, text);
    }

    fn send_hello(
        &self,
        cx: &mut Context<'_>,
        to: NodeId,
        needs_response: bool,
        floor: Option<Floor>,
    ) {
        let hello = Hello {
            disk: self.disk,
            generation: self.generation,
            blank: matches!(self.role, Role::Blank(_)),
            needs_response,
            floor,
            leader: self.leader,
            discovered_voters: self.discovered_voters(),
        };
        cx.send(to, ConsensusMessage::Hello(hello));
    }

    /// The blank initial voters that this replica has discovered, or with which it formed
    /// the initial set.
    fn discovered_voters(&self) -> Vec<Voter> {
        match &self.role {
            Role::Blank(bootstrap) => bootstrap.discovered.values().copied().collect(),
            // A voter that missed this replica's last hello needs the list to form the set.
            _ if self.log.base_index() == 0 => self.first_voters.voters().to_vec(),
            _ => Vec::new(),
        }
    }

    pub(super) fn handle_hello(&mut self, cx: &mut Context<'_>, from: NodeId, hello: Hello) {
        if hello.needs_response {
            self.send_hello(cx, from, false, self.floors.get(hello.disk));
            let observed = Floor { generation: hello.generation, ..Floor::default() };
            self.raise_floor(from, hello.disk, observed);
        } else {
            self.check_floor(cx, from, &hello);
            let leader = hello.leader.filter(|leader| *leader != cx.me.id);
            self.record_reported_leader(cx, leader);
        }
        match &mut self.role {
            Role::Blank(bootstrap) => {
                if hello.blank && self.settings.initial_voters.contains(&from) {
                    bootstrap.discovered.insert(from, Voter { node: from, disk: hello.disk });
                }
                bootstrap.reported.insert(from, hello.discovered_voters.clone());
                if let Some(leader) = hello.leader
                    && leader != cx.me.id
                {
                    self.leader = Some(leader);
                }
                self.bootstrap_when_complete(cx);
                self.adopt_initial_set(cx, hello);
            }
            Role::Leader(_) => {
                self.handle_hello_as_leader(cx, from, (hello.disk, hello.generation))
            }
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => {
                // A voter that was replaced while unreachable may not find the leader through
                // its own log.
                if let Some(leader) = hello.leader
                    && !hello.needs_response
                    && self.leader.is_none()
                    && leader != from
                    && leader != cx.me.id
                {
                    self.send_hello(cx, leader, true, None);
                }
            }
        }
    }

    /// Records the leader that another replica named, if it named one.
    fn record_reported_leader(&mut self, cx: &Context<'_>, leader: Option<NodeId>) {
        if leader.is_none() {
            return;
        }
        self.reported_leader = leader;
        self.leader_reported_at = Some(cx.now);
        if self.participation(cx.me.id).is_standby() {
            self.log_contact_at = cx.now;
        }
    }

    /// Forms the initial set once all of its voters have discovered the same storages.
    fn bootstrap_when_complete(&mut self, cx: &mut Context<'_>) {
        let Role::Blank(bootstrap) = &self.role else { return };
        let mut initial = self.settings.initial_voters.clone();
        initial.sort_unstable();
        initial.dedup();
        let discovered: Vec<Voter> = bootstrap.discovered.values().copied().collect();
        let is_complete = discovered.len() == initial.len() && !initial.is_empty();
        let agrees = |node: &NodeId| {
            *node == cx.me.id
                || bootstrap.reported.get(node).is_some_and(|reported| *reported == discovered)
        };
        if is_complete && initial.iter().all(agrees) {
            self.bootstrap(cx, VoterSet::new(discovered));
        }
    }

    /// Adopts the initial set that the sender has formed with this storage.
    ///
    /// A replica that was restarted before it formed the set itself no longer receives that the
    /// others are blank. It has neither voted nor acknowledged an entry, unless its storage is an
    /// older copy; the floors that the other voters recorded show that.
    fn adopt_initial_set(&mut self, cx: &mut Context<'_>, hello: Hello) {
        let has_formed_set = !hello.blank && hello.discovered_voters.contains(&self.me(cx));
        if matches!(self.role, Role::Blank(_)) && has_formed_set {
            self.bootstrap(cx, VoterSet::new(hello.discovered_voters));
            self.floors.begin_confirmation();
            self.hello_at = cx.now;
        }
    }

    fn bootstrap(&mut self, cx: &mut Context<'_>, voters: VoterSet) {
        let text = format!("Formed the initial set of {} voters.", voters.voters().len());
        cx.log(LogLevel::Info, LogPart::Consensus, text);
        for voter in voters.voters().iter().filter(|voter| voter.node != cx.me.id) {
            // The other voters may still need this replica's final list.
            self.send_hello(cx, voter.node, false, None);
        }
        let snapshot = std::sync::Arc::new(Snapshot::initial(voters.clone()));
        self.state_machine = StateMachine::from_snapshot(&snapshot);
        self.first_voters = voters;
        self.storage.write(cx, DiskWrite::Snapshot { snapshot, keep_entries: false });
        self.role = Role::Follower;
        self.leader = None;
        // No leader can exist yet, so a sole voter campaigns at once.
        let is_sole_voter = self.newest_voters().voters().len() == 1;
        self.role_deadline = if is_sole_voter { cx.now } else { self.election_deadline(cx) };
    }
}
