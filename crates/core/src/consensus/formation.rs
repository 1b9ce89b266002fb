//! Bootstrap of the initial voter set, and hello messages of a replica to which
//! no leader replicates.
//!
//! The initial voters form a set only once each of them has received from every
//! other one that it is blank and has discovered the same storages. A voter that
//! loses its storage later therefore cannot form a set of its own, because the
//! others respond that they are not blank. It waits for the leader instead.

use std::collections::BTreeSet;

use super::disk::DiskWrite;
use super::entry::{Voter, VoterSet};
use super::machine::Machine;
use super::message::{ConsensusMessage, Floor, Hello};
use super::replica::ControlReplica;
use super::role::{Formation, Role};
use super::snapshot::Snapshot;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;

/// Interval between log lines about the voters for which a blank replica waits, in
/// milliseconds.
const TELL_INTERVAL_MS: u64 = 10_000;

impl ControlReplica {
    pub(super) fn begin_formation(&mut self, cx: &mut Context<'_>) {
        let me = self.me(cx);
        if self.settings.initial_voters.contains(&me.node) {
            let mut formation = Formation::default();
            formation.heard.insert(me.node, me);
            formation.told_at = cx.now.plus_ms(TELL_INTERVAL_MS / 10);
            self.role = Role::Blank(formation);
        }
        self.form_when_complete(cx);
    }

    /// Sends a hello to every replica that may have a leader.
    pub(super) fn greet(&mut self, cx: &mut Context<'_>) {
        self.delay_hello(cx);
        self.tell_what_is_missing(cx);
        let voters = self.newest_voters().voters().iter().map(|voter| voter.node);
        let known: BTreeSet<_> = voters
            .chain(self.settings.initial_voters.iter().copied())
            .chain(self.known_replicas.iter().copied())
            .chain(self.leader)
            .collect();
        for node in known.into_iter().filter(|node| *node != cx.me.id) {
            self.send_hello(cx, node, true, None);
        }
    }

    /// Logs at intervals what a blank replica waits for.
    fn tell_what_is_missing(&mut self, cx: &mut Context<'_>) {
        let Role::Blank(formation) = &mut self.role else { return };
        if self.leader.is_some() || formation.told_at > cx.now {
            return;
        }
        formation.told_at = cx.now.plus_ms(TELL_INTERVAL_MS);
        let (heard, count) = (formation.heard.len(), self.settings.initial_voters.len());
        let text = format!(
            "The data folder is empty: waiting for a leader, or for every initial voter to start \
             ({heard} of {count} have started)."
        );
        cx.log(LogLevel::Info, LogPart::Consensus, text);
    }

    fn send_hello(
        &self,
        cx: &mut Context<'_>,
        to: NodeId,
        wants_answer: bool,
        floor: Option<Floor>,
    ) {
        let hello = Hello {
            disk: self.disk,
            generation: self.generation,
            blank: matches!(self.role, Role::Blank(_)),
            wants_answer,
            floor,
            leader: self.leader,
            heard: self.heard(),
        };
        cx.send(to, ConsensusMessage::Hello(hello));
    }

    /// The blank initial voters that this replica has discovered, or with which it formed
    /// the initial set.
    fn heard(&self) -> Vec<Voter> {
        match &self.role {
            Role::Blank(formation) => formation.heard.values().copied().collect(),
            // Lets a voter complete the bootstrap that missed this replica's last hello.
            _ if self.log.base_index() == 0 => self.first_voters.voters().to_vec(),
            _ => Vec::new(),
        }
    }

    pub(super) fn take_hello(&mut self, cx: &mut Context<'_>, from: NodeId, hello: Hello) {
        if hello.wants_answer {
            self.send_hello(cx, from, false, self.floors.get(hello.disk));
            let heard = Floor { generation: hello.generation, ..Floor::default() };
            self.raise_floor(from, hello.disk, heard);
        } else {
            self.take_floor(cx, from, &hello);
        }
        match &mut self.role {
            Role::Blank(formation) => {
                if hello.blank && self.settings.initial_voters.contains(&from) {
                    formation.heard.insert(from, Voter { node: from, disk: hello.disk });
                }
                formation.echoed.insert(from, hello.heard);
                if let Some(leader) = hello.leader
                    && leader != cx.me.id
                {
                    self.leader = Some(leader);
                }
                self.form_when_complete(cx);
            }
            Role::Leader(_) => self.take_greeting(cx, from, (hello.disk, hello.generation)),
            Role::Follower | Role::PreCandidate(_) | Role::Candidate(_) => {
                // A voter that was replaced while unreachable may not find the leader through
                // its own log.
                if let Some(leader) = hello.leader
                    && !hello.wants_answer
                    && self.leader.is_none()
                    && leader != from
                    && leader != cx.me.id
                {
                    self.send_hello(cx, leader, true, None);
                }
            }
        }
    }

    /// Forms the initial set once all of its voters have discovered the same storages.
    fn form_when_complete(&mut self, cx: &mut Context<'_>) {
        let Role::Blank(formation) = &self.role else { return };
        let mut initial = self.settings.initial_voters.clone();
        initial.sort_unstable();
        initial.dedup();
        let complete: Vec<Voter> = formation.heard.values().copied().collect();
        let is_complete = complete.len() == initial.len() && !initial.is_empty();
        let agrees = |node: &NodeId| {
            *node == cx.me.id || formation.echoed.get(node).is_some_and(|heard| *heard == complete)
        };
        if is_complete && initial.iter().all(agrees) {
            self.form(cx, VoterSet::new(complete));
        }
    }

    fn form(&mut self, cx: &mut Context<'_>, voters: VoterSet) {
        let text = format!("Formed the initial set of {} voters.", voters.voters().len());
        cx.log(LogLevel::Info, LogPart::Consensus, text);
        for voter in voters.voters().iter().filter(|voter| voter.node != cx.me.id) {
            // The other voters may still need this replica's final list.
            self.send_hello(cx, voter.node, false, None);
        }
        let snapshot = std::sync::Arc::new(Snapshot::initial(voters.clone()));
        self.machine = Machine::from_snapshot(&snapshot);
        self.first_voters = voters;
        self.storage.write(cx, DiskWrite::Snapshot { snapshot, keep_entries: false });
        self.role = Role::Follower;
        self.leader = None;
        // No leader can exist yet, so a sole voter campaigns at once.
        let alone = self.newest_voters().voters().len() == 1;
        self.role_deadline = if alone { cx.now } else { self.election_deadline(cx) };
    }
}
