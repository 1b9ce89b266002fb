//! Signs of life of whole availability zones.
//!
//! Status of a member is decided within its own availability zone. What others
//! decide is whether that whole zone is cut off from theirs: its relay makes a
//! numbered beat with each heartbeat, the relays pass beats on, and a relay
//! that hears none for too long tells its own zone. Records stay as they are,
//! so that nothing has to be refuted when the zone is heard again.

use std::collections::BTreeMap;

use super::hash::stable_hash;
use super::message::{Beat, ZoneReach};
use super::topology::Topology;
use super::view::View;
use crate::context::Identity;
use crate::ids::Name;
use crate::time::Instant;

/// Time without a beat after which an availability zone is cut off, in milliseconds.
pub const CUT_OFF_AFTER_MS: u64 = 6_000;

/// Time after which the members of an availability zone that is cut off are
/// forgotten, in milliseconds.
pub const FORGET_CUT_OFF_AFTER_MS: u64 = 3_600_000;

struct Heard {
    number: u64,
    heard_at: Instant,
}

struct Reach {
    told: ZoneReach,
    since: Instant,
}

/// Beats that were heard, and what this zone was told of the others.
#[derive(Default)]
pub(super) struct Beats {
    heard: BTreeMap<Name, Heard>,
    reach: BTreeMap<Name, Reach>,
    is_relay: bool,
}

impl Beats {
    /// Beats to pass on; none unless this process is a relay.
    pub fn outgoing(&self) -> Vec<Beat> {
        if !self.is_relay {
            return Vec::new();
        }
        let beat = |(name, heard): (&Name, &Heard)| Beat {
            availability_zone: name.clone(),
            number: heard.number,
        };
        self.heard.iter().map(beat).collect()
    }

    /// Takes beats in from another relay.
    pub fn take(&mut self, now: Instant, beats: Vec<Beat>) {
        for beat in beats {
            let heard = self.heard.entry(beat.availability_zone);
            let heard = heard.or_insert(Heard { number: 0, heard_at: now });
            if beat.number > heard.number {
                *heard = Heard { number: beat.number, heard_at: now };
            }
        }
    }

    /// Makes this zone's own beat and returns what changed of the others.
    pub fn beat(&mut self, now: Instant, topology: &Topology, me: &Identity) -> Vec<ZoneReach> {
        let own = &me.locality.availability_zone;
        let was_relay = self.is_relay;
        self.is_relay = topology.relay(own) == Some(me.id);
        if !self.is_relay {
            return Vec::new();
        }
        let known: Vec<&Name> = topology.zones().map(|(name, _)| name).collect();
        self.heard.retain(|name, _| known.contains(&name));
        for name in known {
            let heard = self.heard.entry(name.clone());
            let heard = heard.or_insert(Heard { number: 0, heard_at: now });
            if !was_relay {
                heard.heard_at = now;
            }
        }
        // The clock lets a new relay count on above the one before it.
        let next = self.heard[own].number.max(me.unix_ms(now)) + 1;
        self.heard.insert(own.clone(), Heard { number: next, heard_at: now });
        self.changed_reach(now, own)
    }

    fn changed_reach(&self, now: Instant, own: &Name) -> Vec<ZoneReach> {
        let mut changed = Vec::new();
        for (name, heard) in self.heard.iter().filter(|(name, _)| *name != own) {
            let cut_off = now.since_ms(heard.heard_at) >= CUT_OFF_AFTER_MS;
            let told = self.reach.get(name).map(|reach| &reach.told);
            if told.is_some_and(|told| told.cut_off) == cut_off {
                continue;
            }
            let number = told.map_or(0, |told| told.number) + 1;
            changed.push(ZoneReach { availability_zone: name.clone(), cut_off, number });
        }
        changed
    }

    /// Takes in what a relay of this zone told. False where it is no news.
    pub fn told(&mut self, now: Instant, view: &mut View, told: &ZoneReach) -> bool {
        let old = self.reach.get(&told.availability_zone);
        // Of two relays that counted alike, the one that reaches the zone is right.
        let rank = |told: &ZoneReach| (told.number, !told.cut_off);
        if old.is_some_and(|old| rank(&old.told) >= rank(told)) {
            return false;
        }
        view.set_cut_off(&told.availability_zone, told.cut_off);
        let reach = Reach { told: told.clone(), since: now };
        self.reach.insert(told.availability_zone.clone(), reach);
        true
    }

    /// Everything that this zone was told.
    pub fn reach(&self) -> Vec<ZoneReach> {
        self.reach.values().map(|reach| reach.told.clone()).collect()
    }

    /// Hash of everything that this zone was told, equal where the same was told.
    pub fn reach_digest(&self) -> u64 {
        self.reach.values().fold(0, |sum, reach| {
            let told = &reach.told;
            let hash = stable_hash((&told.availability_zone, told.number, told.cut_off));
            sum.wrapping_add(hash)
        })
    }

    /// Availability zones that have been cut off for so long that they are forgotten.
    pub fn forgotten(&self, now: Instant) -> Vec<Name> {
        let cut_off = self.reach.iter().filter(|(_, reach)| reach.told.cut_off);
        let long = cut_off.filter(|(_, r)| now.since_ms(r.since) >= FORGET_CUT_OFF_AFTER_MS);
        long.map(|(name, _)| name.clone()).collect()
    }
}
