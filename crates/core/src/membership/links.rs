//! Links: the peers with which this process exchanges heartbeats, and which of
//! them are silent.

use std::collections::BTreeMap;

use super::topology::Topology;
use crate::context::Identity;
use crate::ids::{Name, NodeId};
use crate::time::Instant;

/// Time without a message after which a neighbour is suspected, in milliseconds.
pub const SILENT_AFTER_MS: u64 = 3_000;

/// Time within which this process must have received a message from another peer
/// to suspect a member, in milliseconds. It is longer than the heartbeat interval,
/// and so much shorter than [`SILENT_AFTER_MS`] that a process that was just cut
/// off does not suspect the first neighbour whose heartbeats it misses.
const RECEIVED_RECENTLY_MS: u64 = 1_500;

/// Consecutive disconnects, without a message in between, after which a neighbour
/// is suspected at once. The second disconnect is a failed dial.
const MAX_DISCONNECTS: u32 = 2;

/// Consecutive heartbeats with a different digest after which records are compared.
/// A single mismatch is common, because records take some time to spread.
const MAX_MISMATCHES: u32 = 2;

/// Maximum number of alternates of a silent primary that are contacted at once.
const MAX_ALTERNATES: usize = 4;

/// State of one link.
struct Link {
    /// When the last message from the peer arrived, or the link was added.
    last_received_at: Instant,
    consecutive_disconnects: u32,
    consecutive_mismatches: u32,
}

/// Another availability zone or region that this process contacts as a relay or hub.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Group {
    Zone(Name),
    Region(Name),
}

/// The members of a group that this process contacts: always the primary, which is
/// the first candidate, and also some alternates while the primary is silent.
struct Contact {
    primary: NodeId,
    primary_received_at: Instant,
    /// Each alternate, with the time of its last message or of its choice.
    alternates: BTreeMap<NodeId, Instant>,
    /// Number of candidates chosen as alternates so far. Selects the next ones.
    chosen_count: usize,
}

impl Contact {
    fn new(now: Instant, primary: NodeId) -> Self {
        Self { primary, primary_received_at: now, alternates: BTreeMap::new(), chosen_count: 0 }
    }

    fn set_received_at(&mut self, received_at: Instant, peer: NodeId) {
        if self.primary == peer {
            self.primary_received_at = received_at;
        }
        if let Some(alternate_received_at) = self.alternates.get_mut(&peer) {
            *alternate_received_at = received_at;
        }
    }

    /// Removes the alternates when the primary is not silent. Otherwise chooses the next
    /// candidates as alternates if there are none, or if all are silent too. Several at once, since
    /// those that fall silent together would add up their timeouts.
    fn update_alternates(&mut self, now: Instant, candidates: &[NodeId]) {
        if !is_silent(now, self.primary_received_at) {
            self.alternates.clear();
            return;
        }
        self.alternates
            .retain(|id, received_at| candidates.contains(id) && !is_silent(now, *received_at));
        let others = candidates.get(1..).unwrap_or_default();
        if !self.alternates.is_empty() {
            return;
        }
        let next = others.iter().cycle().skip(self.chosen_count % others.len().max(1));
        let chosen = next.take(others.len().min(MAX_ALTERNATES));
        self.alternates.extend(chosen.map(|id| (*id, now)));
        self.chosen_count += self.alternates.len();
    }
}

/// All links of this process, and the members that it contacts in other groups.
#[derive(Default)]
pub(super) struct Links {
    links: BTreeMap<NodeId, Link>,
    contacts: BTreeMap<Group, Contact>,
    /// When the last message from a process without a link arrived.
    other_received_at: Option<Instant>,
    /// When the last message from any process arrived.
    last_received_at: Instant,
}

impl Links {
    pub fn peers(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.links.keys().copied()
    }

    pub fn contains(&self, peer: NodeId) -> bool {
        self.links.contains_key(&peer)
    }

    /// Updates the links to a topology. Returns the peers of added links.
    pub fn update(&mut self, now: Instant, topology: &Topology, me: &Identity) -> Vec<NodeId> {
        self.update_contacts(now, topology, me);
        let contacts = self.contacts.values();
        let contacts =
            contacts.flat_map(|c| std::iter::once(c.primary).chain(c.alternates.keys().copied()));
        let required: Vec<NodeId> = topology.neighbours().iter().copied().chain(contacts).collect();
        self.links.retain(|peer, _| required.contains(peer));
        let mut added_peers = Vec::new();
        for peer in required {
            self.links.entry(peer).or_insert_with(|| {
                added_peers.push(peer);
                Link {
                    last_received_at: now,
                    consecutive_disconnects: 0,
                    consecutive_mismatches: 0,
                }
            });
        }
        added_peers
    }

    /// Records that a message from a process arrived.
    pub fn record_message(&mut self, now: Instant, peer: NodeId) {
        if is_silent(now, self.last_received_at) {
            // This process was itself cut off. Its peers get time to send again before
            // they count as silent.
            let earliest_at = Instant::from_ms(now.as_ms().saturating_sub(RECEIVED_RECENTLY_MS));
            for link in self.links.values_mut() {
                link.last_received_at = link.last_received_at.max(earliest_at);
                link.consecutive_disconnects = 0;
            }
        }
        self.last_received_at = now;
        if let Some(link) = self.links.get_mut(&peer) {
            link.last_received_at = now;
            link.consecutive_disconnects = 0;
        } else {
            self.other_received_at = Some(now);
        }
        self.contacts.values_mut().for_each(|contact| contact.set_received_at(now, peer));
    }

    /// Records that a member's record changed. The silence timeout restarts unless it is
    /// suspected, so that a member that refuted a suspicion is not suspected again at once.
    pub fn record_status_change(&mut self, now: Instant, peer: NodeId, is_suspected: bool) {
        if let Some(link) = self.links.get_mut(&peer).filter(|_| !is_suspected) {
            link.last_received_at = now;
        }
    }

    /// Records that the last connection to a process closed, or that a dial failed.
    /// Returns whether to suspect the process.
    pub fn record_disconnect(&mut self, peer: NodeId) -> bool {
        let Some(link) = self.links.get_mut(&peer) else { return false };
        link.consecutive_disconnects += 1;
        let has_failed = link.consecutive_disconnects >= MAX_DISCONNECTS;
        if has_failed {
            self.contacts
                .values_mut()
                .for_each(|contact| contact.set_received_at(Instant::ZERO, peer));
        }
        has_failed
    }

    /// Records whether the digest in a heartbeat equals this process's own. Returns
    /// whether to compare records.
    pub fn record_comparison(&mut self, peer: NodeId, is_equal: bool) -> bool {
        let Some(link) = self.links.get_mut(&peer) else { return false };
        link.consecutive_mismatches = if is_equal { 0 } else { link.consecutive_mismatches + 1 };
        let should_compare = link.consecutive_mismatches >= MAX_MISMATCHES;
        if should_compare {
            link.consecutive_mismatches = 0;
        }
        should_compare
    }

    /// Peers whose links have been silent for [`SILENT_AFTER_MS`].
    pub fn silent_peers(&self, now: Instant) -> Vec<NodeId> {
        let silent = self.links.iter().filter(|(_, link)| is_silent(now, link.last_received_at));
        silent.map(|(peer, _)| *peer).collect()
    }

    /// Whether a message from a process other than `excluded` arrived within
    /// [`RECEIVED_RECENTLY_MS`]. A process that receives none may itself be cut off and
    /// must not suspect others.
    pub fn has_recent_message_except(&self, now: Instant, excluded: NodeId) -> bool {
        let is_recent = |at: Instant| now.since_ms(at) < RECEIVED_RECENTLY_MS;
        let mut other_links = self.links.iter().filter(|(peer, _)| **peer != excluded);
        other_links.any(|(_, link)| is_recent(link.last_received_at))
            || self.other_received_at.is_some_and(is_recent)
    }

    /// Whether any link is not silent.
    pub fn has_active_link(&self, now: Instant) -> bool {
        self.links.values().any(|link| !is_silent(now, link.last_received_at))
    }

    fn update_contacts(&mut self, now: Instant, topology: &Topology, me: &Identity) {
        let required = groups(topology, me);
        self.contacts.retain(|group, _| required.contains_key(group));
        for (group, candidates) in required {
            let Some(primary) = candidates.first().copied() else {
                self.contacts.remove(&group);
                continue;
            };
            let contact = self.contacts.entry(group);
            let contact = contact.or_insert_with(|| Contact::new(now, primary));
            if contact.primary != primary {
                *contact = Contact::new(now, primary);
            }
            contact.update_alternates(now, &candidates);
        }
    }
}

fn is_silent(now: Instant, last_received_at: Instant) -> bool {
    now.since_ms(last_received_at) >= SILENT_AFTER_MS
}

/// Groups that this process contacts, with the candidates in each. A relay contacts
/// the other availability zones of its region, and the hub of a region also contacts
/// the other regions. Empty for all other processes.
fn groups(topology: &Topology, me: &Identity) -> BTreeMap<Group, Vec<NodeId>> {
    let mut groups = BTreeMap::new();
    if topology.relay(&me.locality.availability_zone) != Some(me.id) {
        return groups;
    }
    for (name, zone) in topology.zones() {
        let is_same_region = zone.region.as_ref() == Some(&me.locality.region);
        if is_same_region && *name != me.locality.availability_zone {
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
