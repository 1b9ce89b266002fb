//! Which processes this one keeps in touch with, and which of them are silent.

use std::collections::BTreeMap;

use super::topology::Topology;
use crate::context::Identity;
use crate::ids::{Name, NodeId};
use crate::time::Instant;

/// Time without a message after which a neighbour is suspected, in milliseconds.
pub const SILENT_AFTER_MS: u64 = 3_000;

/// Time within which another process must have been heard for this one to
/// suspect anybody, in milliseconds. More than the time between two
/// heartbeats, and so much less than [`SILENT_AFTER_MS`] that a process that
/// was just cut off does not suspect the first neighbour that it misses.
const HEARS_WITHIN_MS: u64 = 1_500;

/// Connections lost in a row, without a message between, after which a
/// neighbour is suspected at once: the second one is a failed dial.
const MAX_DISCONNECTS: u32 = 2;

/// Heartbeats in a row with another digest after which records are compared.
/// One is common, since news takes a moment.
const MAX_MISMATCHES: u32 = 2;

/// One process to keep in touch with.
struct Link {
    /// When it was last heard, or became a link.
    heard_at: Instant,
    disconnects: u32,
    mismatches: u32,
}

/// Another availability zone or region with which this process keeps in touch.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Group {
    Zone(Name),
    Region(Name),
}

/// The members through which this process is in touch with a group: the first
/// candidate always, and another one while the first is silent.
struct Contact {
    first: NodeId,
    heard_first_at: Instant,
    alternate: Option<NodeId>,
    heard_alternate_at: Instant,
    attempt: usize,
}

impl Contact {
    fn new(now: Instant, first: NodeId) -> Self {
        Self { first, heard_first_at: now, alternate: None, heard_alternate_at: now, attempt: 0 }
    }

    fn heard(&mut self, now: Instant, peer: NodeId) {
        if self.first == peer {
            self.heard_first_at = now;
        }
        if self.alternate == Some(peer) {
            self.heard_alternate_at = now;
        }
    }

    /// Chooses the alternate anew where it is silent too.
    fn follow(&mut self, now: Instant, candidates: &[NodeId]) {
        if !is_silent(now, self.heard_first_at) {
            self.alternate = None;
            return;
        }
        let stays = self.alternate.is_some_and(|alternate| {
            candidates.contains(&alternate) && !is_silent(now, self.heard_alternate_at)
        });
        if !stays && candidates.len() > 1 {
            self.attempt = self.attempt % (candidates.len() - 1) + 1;
            self.alternate = Some(candidates[self.attempt]);
            self.heard_alternate_at = now;
        }
    }
}

/// Every link of this process.
#[derive(Default)]
pub(super) struct Links {
    links: BTreeMap<NodeId, Link>,
    contacts: BTreeMap<Group, Contact>,
    stranger_heard_at: Option<Instant>,
    /// When any process was heard.
    heard_at: Instant,
}

impl Links {
    pub fn peers(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.links.keys().copied()
    }

    pub fn contains(&self, peer: NodeId) -> bool {
        self.links.contains_key(&peer)
    }

    /// Follows a new topology. Returns the links that are new.
    pub fn follow(&mut self, now: Instant, topology: &Topology, me: &Identity) -> Vec<NodeId> {
        self.follow_contacts(now, topology, me);
        let contacts = self.contacts.values();
        let contacts = contacts.flat_map(|c| std::iter::once(c.first).chain(c.alternate));
        let wanted: Vec<NodeId> = topology.neighbours().iter().copied().chain(contacts).collect();
        self.links.retain(|peer, _| wanted.contains(peer));
        let mut added = Vec::new();
        for peer in wanted {
            self.links.entry(peer).or_insert_with(|| {
                added.push(peer);
                Link { heard_at: now, disconnects: 0, mismatches: 0 }
            });
        }
        added
    }

    /// A message came from a process.
    pub fn heard(&mut self, now: Instant, peer: NodeId) {
        if is_silent(now, self.heard_at) {
            // This process was cut off. The others get time to be heard again.
            let excused_at = Instant::from_ms(now.as_ms().saturating_sub(HEARS_WITHIN_MS));
            for link in self.links.values_mut() {
                link.heard_at = link.heard_at.max(excused_at);
                link.disconnects = 0;
            }
        }
        self.heard_at = now;
        if let Some(link) = self.links.get_mut(&peer) {
            link.heard_at = now;
            link.disconnects = 0;
        } else {
            self.stranger_heard_at = Some(now);
        }
        self.contacts.values_mut().for_each(|contact| contact.heard(now, peer));
    }

    /// A member's record changed. One that refuted a suspicion gets its time again.
    pub fn refuted(&mut self, now: Instant, peer: NodeId, still_accused: bool) {
        if let Some(link) = self.links.get_mut(&peer).filter(|_| !still_accused) {
            link.heard_at = now;
        }
    }

    /// The last connection to a process closed, or none could be made. Returns
    /// whether that is a reason to suspect it.
    pub fn disconnected(&mut self, peer: NodeId) -> bool {
        let Some(link) = self.links.get_mut(&peer) else { return false };
        link.disconnects += 1;
        let failed = link.disconnects >= MAX_DISCONNECTS;
        if failed {
            self.contacts.values_mut().for_each(|contact| contact.heard(Instant::ZERO, peer));
        }
        failed
    }

    /// A heartbeat came with this process's digest or another. Returns whether
    /// to compare records.
    pub fn compared(&mut self, peer: NodeId, same: bool) -> bool {
        let Some(link) = self.links.get_mut(&peer) else { return false };
        link.mismatches = if same { 0 } else { link.mismatches + 1 };
        let compare = link.mismatches >= MAX_MISMATCHES;
        if compare {
            link.mismatches = 0;
        }
        compare
    }

    /// Links that have been silent for too long.
    pub fn silent(&self, now: Instant) -> Vec<NodeId> {
        let silent = self.links.iter().filter(|(_, link)| is_silent(now, link.heard_at));
        silent.map(|(peer, _)| *peer).collect()
    }

    /// Whether another process than `accused` was heard lately. A process that
    /// hears nobody is itself cut off and must accuse nobody.
    pub fn hears_others(&self, now: Instant, accused: NodeId) -> bool {
        let lately = |at: Instant| now.since_ms(at) < HEARS_WITHIN_MS;
        let mut others = self.links.iter().filter(|(peer, _)| **peer != accused);
        others.any(|(_, link)| lately(link.heard_at)) || self.stranger_heard_at.is_some_and(lately)
    }

    /// Whether any link was heard lately.
    pub fn hears_anyone(&self, now: Instant) -> bool {
        self.links.values().any(|link| !is_silent(now, link.heard_at))
    }

    fn follow_contacts(&mut self, now: Instant, topology: &Topology, me: &Identity) {
        let wanted = groups(topology, me);
        self.contacts.retain(|group, _| wanted.contains_key(group));
        for (group, candidates) in wanted {
            let Some(first) = candidates.first().copied() else {
                self.contacts.remove(&group);
                continue;
            };
            let contact = self.contacts.entry(group);
            let contact = contact.or_insert_with(|| Contact::new(now, first));
            if contact.first != first {
                *contact = Contact::new(now, first);
            }
            contact.follow(now, &candidates);
        }
    }
}

fn is_silent(now: Instant, heard_at: Instant) -> bool {
    now.since_ms(heard_at) >= SILENT_AFTER_MS
}

/// Groups that this process keeps in touch with, and whom to contact in each:
/// a relay the other availability zones of its region, and the hub of a region
/// the other regions.
fn groups(topology: &Topology, me: &Identity) -> BTreeMap<Group, Vec<NodeId>> {
    let mut groups = BTreeMap::new();
    if topology.relay(&me.locality.availability_zone) != Some(me.id) {
        return groups;
    }
    for (name, zone) in topology.zones() {
        let same_region = zone.region.as_ref() == Some(&me.locality.region);
        if same_region && *name != me.locality.availability_zone {
            groups.insert(Group::Zone(name.clone()), zone.order.clone());
        }
    }
    if topology.hub(&me.locality.region) == Some(me.id) {
        for region in topology.regions().filter(|region| **region != me.locality.region) {
            let candidates = topology.region_candidates(region);
            groups.insert(Group::Region(region.clone()), candidates);
        }
    }
    groups
}
