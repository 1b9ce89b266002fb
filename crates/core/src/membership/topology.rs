//! Relays, hubs and neighbours.
//!
//! They are derived from the records alone, so that processes that hold the same
//! records make the same choice.

use std::collections::{BTreeMap, BTreeSet};

use super::MemberStatus;
use super::hash::rank;
use super::view::View;
use crate::context::Identity;
use crate::ids::{Name, NodeId};

/// Distances in the ring of an availability zone at which members exchange
/// heartbeats. Each is four times the previous one, so that a record crosses a
/// ring of 256 members in a few hops while each member has at most eight neighbours.
const RING_DISTANCES: [usize; 4] = [1, 4, 16, 64];

/// Most members to which a member forwards versions if its network link is not slow.
const FAST_FAN_OUT: usize = 32;

/// The same for a member with a slow link, which carries the copies one after another.
const SLOW_FAN_OUT: usize = 3;

/// The members of one availability zone that can be its relay.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneOrder {
    /// Region of the availability zone.
    pub region: Option<Name>,
    /// Members that are alive. Control replicas without contact to a quorum come last, and
    /// members with a slow link before them; within each part control replicas come last;
    /// otherwise members are sorted by rank. The first is the relay.
    pub order: Vec<NodeId>,
    /// Number of members at the start of `order` whose link is not slow.
    fast_count: usize,
}

impl ZoneOrder {
    /// Position in `order` of the parent of the member at `position`, in the fan-out
    /// tree of the zone. `None` for the relay.
    pub fn parent_position(&self, position: usize) -> Option<usize> {
        let child_index = position.checked_sub(1)?;
        match child_index.checked_sub(self.fast_count * FAST_FAN_OUT) {
            None => Some(child_index / FAST_FAN_OUT),
            Some(slow_child_index) => Some(self.fast_count + slow_child_index / SLOW_FAN_OUT),
        }
    }
}

/// Relays, hubs and neighbours derived from one generation of the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    zones: BTreeMap<Name, ZoneOrder>,
    /// Relays of each region by rank, those without contact to a quorum last. The first is the hub.
    /// In the own region, zones that are cut off are left out.
    relays: BTreeMap<Name, Vec<NodeId>>,
    neighbours: Vec<NodeId>,
}

impl Topology {
    pub(super) fn new(view: &View, me: &Identity) -> Self {
        let zones = zone_orders(view);
        let relays = region_relays(view, &zones, me);
        let neighbours = neighbours(view, me);
        Self { zones, relays, neighbours }
    }

    /// Every availability zone with the order of its members.
    pub fn zones(&self) -> impl Iterator<Item = (&Name, &ZoneOrder)> {
        self.zones.iter()
    }

    /// The order of an availability zone, if it has members.
    pub fn zone(&self, availability_zone: &Name) -> Option<&ZoneOrder> {
        self.zones.get(availability_zone)
    }

    /// The relay of an availability zone.
    pub fn relay(&self, availability_zone: &Name) -> Option<NodeId> {
        self.zone(availability_zone)?.order.first().copied()
    }

    /// The hub of a region: the relay that communicates with the other regions.
    pub fn hub(&self, region: &Name) -> Option<NodeId> {
        self.relays.get(region)?.first().copied()
    }

    /// Every region that has a relay.
    pub fn regions(&self) -> impl Iterator<Item = &Name> {
        self.relays.keys()
    }

    /// Members of a region in the order in which to contact them: the relays first,
    /// then the second member of each availability zone, and so on.
    pub fn region_candidates(&self, region: &Name) -> Vec<NodeId> {
        let orders: Vec<&[NodeId]> = self
            .zones
            .values()
            .filter(|zone| zone.region.as_ref() == Some(region))
            .map(|zone| &*zone.order)
            .collect();
        let longest_order = orders.iter().map(|order| order.len()).max().unwrap_or(0);
        let mut candidates = Vec::new();
        for position in 0..longest_order {
            let mut same_position: Vec<NodeId> =
                orders.iter().filter_map(|order| order.get(position)).copied().collect();
            same_position.sort_by_key(|id| rank(*id));
            candidates.extend(same_position);
        }
        candidates
    }

    /// Members of this process's own availability zone with which it exchanges heartbeats.
    pub fn neighbours(&self) -> &[NodeId] {
        &self.neighbours
    }
}

fn zone_orders(view: &View) -> BTreeMap<Name, ZoneOrder> {
    let mut zones: BTreeMap<Name, ZoneOrder> = BTreeMap::new();
    for (member, recorded_status) in view
        .members_with_recorded_status()
        .filter(|(_, recorded_status)| !recorded_status.is_dead_or_left())
    {
        let zone = zones.entry(member.locality.availability_zone.clone()).or_default();
        zone.region = Some(member.locality.region.clone());
        if recorded_status == MemberStatus::Alive {
            zone.order.push(member.id);
        }
    }
    let lacks_quorum = |id: NodeId| lacks_quorum(view, id);
    let is_slow = |id: NodeId| view.member(id).is_some_and(|member| member.is_link_slow);
    // Other members are preferred as relays: control replicas have other work.
    let is_control = |id: NodeId| view.member(id).is_some_and(|member| member.control);
    for zone in zones.values_mut() {
        zone.order
            .sort_by_cached_key(|id| (lacks_quorum(*id), is_slow(*id), is_control(*id), rank(*id)));
        zone.fast_count = zone.order.iter().take_while(|id| !is_slow(**id)).count();
    }
    zones
}

fn region_relays(
    view: &View,
    zones: &BTreeMap<Name, ZoneOrder>,
    me: &Identity,
) -> BTreeMap<Name, Vec<NodeId>> {
    let mut relays: BTreeMap<Name, Vec<NodeId>> = BTreeMap::new();
    for (name, zone) in zones {
        let is_own_region = zone.region.as_ref() == Some(&me.locality.region);
        // The hub of another region does not change when its zone is cut off, so that
        // this region keeps contacting it and notices when it is reachable again.
        if is_own_region && view.is_cut_off(name) {
            continue;
        }
        if let (Some(region), Some(relay)) = (&zone.region, zone.order.first()) {
            relays.entry(region.clone()).or_default().push(*relay);
        }
    }
    for relays in relays.values_mut() {
        relays.sort_by_cached_key(|id| (lacks_quorum(view, *id), rank(*id)));
    }
    relays
}

fn lacks_quorum(view: &View, id: NodeId) -> bool {
    view.member(id).is_some_and(|member| member.lacks_quorum)
}

fn neighbours(view: &View, me: &Identity) -> Vec<NodeId> {
    let ring: Vec<NodeId> = view
        .members_with_recorded_status()
        .filter(|(member, recorded_status)| {
            let is_same_zone = member.locality.availability_zone == me.locality.availability_zone;
            is_same_zone && (!recorded_status.is_dead_or_left() || member.id == me.id)
        })
        .map(|(member, _)| member.id)
        .collect();
    let Some(position) = ring.iter().position(|id| *id == me.id) else { return Vec::new() };
    let mut neighbours = BTreeSet::new();
    for distance in RING_DISTANCES.into_iter().filter(|distance| *distance < ring.len()) {
        neighbours.insert(ring[(position + distance) % ring.len()]);
        neighbours.insert(ring[(position + ring.len() - distance) % ring.len()]);
    }
    neighbours.remove(&me.id);
    neighbours.into_iter().collect()
}
