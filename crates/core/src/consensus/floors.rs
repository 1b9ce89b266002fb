//! Notices a voter that returns with an older copy of its storage.
//!
//! Every replica remembers the most that it heard from each voter's storage.
//! A voter that starts asks the others for it, and neither votes nor
//! acknowledges before a majority has answered. Where an answer tells of more
//! than its storage holds, promises are missing: it starts from nothing, under
//! a new storage identity, and is let in again like a voter with a blank disk.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::{DiskId, Voter};
use super::message::{Floor, Hello};
use super::replica::ControlReplica;
use super::role::Role;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;

/// Rounds of heartbeats between those that tell followers what the voters acknowledged.
const ACKNOWLEDGED_ROUNDS: u64 = 10;

/// What is known of the storages of voters, and whether this one may vote.
#[derive(Debug, Default)]
pub(super) struct Floors {
    by_disk: BTreeMap<DiskId, Floor>,
    /// Who answered since the start; none once a majority did.
    answered: Option<BTreeSet<NodeId>>,
}

impl Floors {
    /// Starts to ask the others.
    pub(super) fn ask(&mut self) {
        self.answered = Some(BTreeSet::new());
    }

    /// Whether the storage is known to hold every promise made with it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.answered.is_none()
    }

    pub(super) fn get(&self, disk: DiskId) -> Option<Floor> {
        self.by_disk.get(&disk).copied()
    }

    pub(super) fn raise(&mut self, disk: DiskId, heard: Floor) {
        let floor = self.by_disk.entry(disk).or_default();
        floor.generation = floor.generation.max(heard.generation);
        // A later term may drop what was acknowledged in an earlier one.
        let newest = (floor.term, floor.match_index).max((heard.term, heard.match_index));
        (floor.term, floor.match_index) = newest;
    }
}

impl ControlReplica {
    /// Takes note of what another replica's storage holds.
    pub(super) fn raise_floor(&mut self, node: NodeId, disk: DiskId, heard: Floor) {
        // Bounds what is kept: others than voters promise nothing.
        if self.is_voter(Voter { node, disk }) {
            self.floors.raise(disk, heard);
        }
    }

    /// Takes what the leader says that the voters acknowledged.
    pub(super) fn take_acknowledged(&mut self, term: u64, acknowledged: &[(DiskId, u64)]) {
        for (disk, match_index) in acknowledged {
            let is_voter = self.counting_sets().any(|set| set.contains_disk(*disk));
            if is_voter {
                let heard = Floor { generation: 0, term, match_index: *match_index };
                self.floors.raise(*disk, heard);
            }
        }
    }

    /// What the voters acknowledged, where it is time to tell.
    pub(super) fn acknowledged(&self) -> Vec<(DiskId, u64)> {
        let Role::Leader(leadership) = &self.role else { return Vec::new() };
        if !leadership.round.is_multiple_of(ACKNOWLEDGED_ROUNDS) {
            return Vec::new();
        }
        // One that has not answered in this term has promised nothing in it.
        let peers = leadership.peers.values().filter(|peer| peer.match_index > 0);
        peers.filter_map(|peer| Some((peer.disk?.0, peer.match_index))).collect()
    }

    /// Another replica answered: holds this storage all that was heard from it?
    pub(super) fn take_floor(&mut self, cx: &mut Context<'_>, from: NodeId, hello: &Hello) {
        if self.floors.is_confirmed() || hello.blank {
            return;
        }
        let floor = hello.floor.unwrap_or_default();
        let lacks_entries =
            floor.term == self.hard_state.term && floor.match_index > self.storage.durable_index();
        let is_older = floor.generation > self.generation
            || floor.term > self.hard_state.term
            || lacks_entries;
        if is_older {
            let text = "The data folder is an older copy; starting from nothing.";
            cx.log(LogLevel::Warn, LogPart::Disk, text.to_owned());
            self.start_from_nothing(cx);
            self.begin_formation(cx);
            return;
        }
        if let Some(answered) = &mut self.floors.answered {
            answered.insert(from);
        }
        self.confirm_when_answered(cx);
    }

    /// Takes part in full once a majority has answered.
    pub(super) fn confirm_when_answered(&mut self, cx: &mut Context<'_>) {
        let Some(answered) = &self.floors.answered else { return };
        let me = cx.me.id;
        if self.is_quorum(|voter| voter.node == me || answered.contains(&voter.node)) {
            self.floors.answered = None;
            self.answer_leader(cx, None);
            self.campaign_soon(cx);
        }
    }
}
