//! Who relays for whom: chosen alike by every process that holds the same records.

use std::collections::{BTreeMap, BTreeSet};

use super::MemberStatus;
use super::hash::rank;
use super::view::View;
use crate::context::Identity;
use crate::ids::{Name, NodeId};

/// Distances in the ring of an availability zone at which members keep in
/// touch. Each is four times the one before, so that news crosses a ring of
/// 256 in a few steps while each member keeps at most eight neighbours.
const RING_DISTANCES: [usize; 4] = [1, 4, 16, 64];

/// Most members that one whose link is not slow passes versions on to.
const FAST_FAN_OUT: usize = 32;

/// The same for one whose link is slow: it carries one copy after the other.
const SLOW_FAN_OUT: usize = 3;

/// The members of one availability zone that can relay.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneOrder {
    /// Region.
    pub region: Option<Name>,
    /// Live members, those with a slow link last, and control replicas last among
    /// the others; by rank otherwise. The first is the relay.
    pub order: Vec<NodeId>,
    /// Members whose link is not slow; they come first.
    fast: usize,
}

impl ZoneOrder {
    /// Place of the parent of the member at a place, in the tree of the zone. None
    /// for the relay.
    pub fn parent_place(&self, place: usize) -> Option<usize> {
        let below = place.checked_sub(1)?;
        match below.checked_sub(self.fast * FAST_FAN_OUT) {
            None => Some(below / FAST_FAN_OUT),
            Some(below) => Some(self.fast + below / SLOW_FAN_OUT),
        }
    }
}

/// Relays and neighbours that follow from one generation of the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    zones: BTreeMap<Name, ZoneOrder>,
    /// Relays of the availability zones of a region that are not cut off, by rank.
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

    /// Every availability zone with its order.
    pub fn zones(&self) -> impl Iterator<Item = (&Name, &ZoneOrder)> {
        self.zones.iter()
    }

    /// The order of an availability zone that has a member.
    pub fn zone(&self, availability_zone: &Name) -> Option<&ZoneOrder> {
        self.zones.get(availability_zone)
    }

    /// The relay of an availability zone.
    pub fn relay(&self, availability_zone: &Name) -> Option<NodeId> {
        self.zone(availability_zone)?.order.first().copied()
    }

    /// The relay that speaks for a region with the other regions.
    pub fn hub(&self, region: &Name) -> Option<NodeId> {
        self.relays.get(region)?.first().copied()
    }

    /// Every region that has a relay.
    pub fn regions(&self) -> impl Iterator<Item = &Name> {
        self.relays.keys()
    }

    /// Members to contact in a region, the relays first.
    pub fn region_candidates(&self, region: &Name) -> Vec<NodeId> {
        let orders: Vec<&[NodeId]> = self
            .zones
            .values()
            .filter(|zone| zone.region.as_ref() == Some(region))
            .map(|zone| &*zone.order)
            .collect();
        let longest = orders.iter().map(|order| order.len()).max().unwrap_or(0);
        let mut candidates = Vec::new();
        for position in 0..longest {
            let mut row: Vec<NodeId> =
                orders.iter().filter_map(|order| order.get(position)).copied().collect();
            row.sort_by_key(|id| rank(*id));
            candidates.extend(row);
        }
        candidates
    }

    /// Members of this process's own availability zone to keep in touch with.
    pub fn neighbours(&self) -> &[NodeId] {
        &self.neighbours
    }
}

fn zone_orders(view: &View) -> BTreeMap<Name, ZoneOrder> {
    let mut zones: BTreeMap<Name, ZoneOrder> = BTreeMap::new();
    for (member, written) in view.written().filter(|(_, written)| !written.is_over()) {
        let zone = zones.entry(member.locality.availability_zone.clone()).or_default();
        zone.region = Some(member.locality.region.clone());
        if written == MemberStatus::Alive {
            zone.order.push(member.id);
        }
    }
    let is_slow = |id: NodeId| view.member(id).is_some_and(|member| member.is_link_slow);
    // Control replicas have other work than to relay.
    let is_control = |id: NodeId| view.member(id).is_some_and(|member| member.control);
    for zone in zones.values_mut() {
        zone.order.sort_by_cached_key(|id| (is_slow(*id), is_control(*id), rank(*id)));
        zone.fast = zone.order.iter().take_while(|id| !is_slow(**id)).count();
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
        let own_region = zone.region.as_ref() == Some(&me.locality.region);
        // Another region's hub stays the same when it is cut off, to be found again.
        if own_region && view.is_cut_off(name) {
            continue;
        }
        if let (Some(region), Some(relay)) = (&zone.region, zone.order.first()) {
            relays.entry(region.clone()).or_default().push(*relay);
        }
    }
    for relays in relays.values_mut() {
        relays.sort_by_cached_key(|id| rank(*id));
    }
    relays
}

fn neighbours(view: &View, me: &Identity) -> Vec<NodeId> {
    let ring: Vec<NodeId> = view
        .written()
        .filter(|(member, written)| {
            let same_zone = member.locality.availability_zone == me.locality.availability_zone;
            same_zone && (!written.is_over() || member.id == me.id)
        })
        .map(|(member, _)| member.id)
        .collect();
    let Some(place) = ring.iter().position(|id| *id == me.id) else { return Vec::new() };
    let mut neighbours = BTreeSet::new();
    for distance in RING_DISTANCES.into_iter().filter(|distance| *distance < ring.len()) {
        neighbours.insert(ring[(place + distance) % ring.len()]);
        neighbours.insert(ring[(place + ring.len() - distance) % ring.len()]);
    }
    neighbours.remove(&me.id);
    neighbours.into_iter().collect()
}
