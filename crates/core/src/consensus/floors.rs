//! Detects a voter that restarts with an older copy of its storage.
//!
//! Every replica records a [`Floor`] for each voter's storage: the highest
//! generation, term and match index that it received from there. A voter that
//! starts requests its floors from the other voters, and neither votes nor
//! acknowledges entries until a majority has responded. If a floor exceeds what
//! its storage holds, votes or acknowledged entries are missing. The voter then
//! resets its storage under a new identity, and is admitted again like a voter
//! with a blank disk.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::{DiskId, Voter};
use super::message::{Floor, Hello};
use super::replica::ControlReplica;
use super::role::Role;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;

/// Interval, in heartbeat rounds, at which the leader sends the match indexes of the voters.
const ACKNOWLEDGED_INTERVAL_ROUNDS: u64 = 10;

/// Floors of the voters' storages, and whether this replica's own storage is confirmed.
#[derive(Debug, Default)]
pub(super) struct Floors {
    by_disk: BTreeMap<DiskId, Floor>,
    /// Replicas that responded since startup; none once a majority has.
    responders: Option<BTreeSet<NodeId>>,
}

impl Floors {
    /// Starts the confirmation of this replica's storage by the other voters.
    pub(super) fn begin_confirmation(&mut self) {
        self.responders = Some(BTreeSet::new());
    }

    /// Whether the storage is known to hold every vote and entry acknowledged from it.
    pub(super) fn is_confirmed(&self) -> bool {
        self.responders.is_none()
    }

    pub(super) fn get(&self, disk: DiskId) -> Option<Floor> {
        self.by_disk.get(&disk).copied()
    }

    pub(super) fn raise(&mut self, disk: DiskId, observed: Floor) {
        let floor = self.by_disk.entry(disk).or_default();
        floor.generation = floor.generation.max(observed.generation);
        // A leader of a later term may overwrite entries acknowledged in an earlier term.
        let newest = (floor.term, floor.match_index).max((observed.term, observed.match_index));
        (floor.term, floor.match_index) = newest;
    }
}

impl ControlReplica {
    /// Records what another replica's storage holds.
    pub(super) fn raise_floor(&mut self, node: NodeId, disk: DiskId, observed: Floor) {
        // Only voters give votes and acknowledgements that count. This also bounds the map.
        if self.is_voter(Voter { node, disk }) {
            self.floors.raise(disk, observed);
        }
    }

    /// Records the match indexes of the voters, as received from the leader.
    pub(super) fn record_acknowledged(&mut self, term: u64, acknowledged: &[(DiskId, u64)]) {
        for (disk, match_index) in acknowledged {
            let is_voter = self.active_voter_sets().any(|set| set.contains_disk(*disk));
            if is_voter {
                let observed = Floor { generation: 0, term, match_index: *match_index };
                self.floors.raise(*disk, observed);
            }
        }
    }

    /// Match indexes of the voters' storages, if they are due in this heartbeat round.
    pub(super) fn acknowledged(&self) -> Vec<(DiskId, u64)> {
        let Role::Leader(leadership) = &self.role else { return Vec::new() };
        if !leadership.round.is_multiple_of(ACKNOWLEDGED_INTERVAL_ROUNDS) {
            return Vec::new();
        }
        // A peer that has not responded in this term has acknowledged nothing in it.
        let peers = leadership.peers.values().filter(|peer| peer.match_index > 0);
        peers.filter_map(|peer| Some((peer.disk?.0, peer.match_index))).collect()
    }

    /// Compares this replica's storage with the floor that another replica recorded for it.
    pub(super) fn check_floor(&mut self, cx: &mut Context<'_>, from: NodeId, hello: &Hello) {
        if self.floors.is_confirmed() || hello.blank {
            return;
        }
        let floor = hello.floor.unwrap_or_default();
        let lacks_entries =
            floor.term == self.hard_state.term && floor.match_index > self.storage.held_index();
        let is_older = floor.generation > self.generation
            || floor.term > self.hard_state.term
            || lacks_entries;
        if is_older {
            let text = "The data folder is an older copy of this voter's storage; resetting it to an empty one.";
            cx.log(LogLevel::Warn, LogPart::Disk, text.to_owned());
            self.reset_storage(cx);
            self.begin_bootstrap(cx);
            return;
        }
        if let Some(responders) = &mut self.floors.responders {
            responders.insert(from);
        }
        self.confirm_on_quorum(cx);
    }

    /// Allows votes and acknowledgements once a majority has responded.
    pub(super) fn confirm_on_quorum(&mut self, cx: &mut Context<'_>) {
        let Some(responders) = &self.floors.responders else { return };
        let me = cx.me.id;
        if self.is_quorum(|voter| voter.node == me || responders.contains(&voter.node)) {
            self.floors.responders = None;
            self.respond_to_leader(cx, None);
            self.schedule_early_campaign(cx);
        }
    }
}
