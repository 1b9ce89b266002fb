//! Reachability of whole availability zones.
//!
//! The status of a member is decided within its own availability zone. Other
//! zones only decide whether that whole zone is cut off from theirs. With each
//! heartbeat, the relay of a zone creates a numbered zone heartbeat, and the
//! relays forward the zone heartbeats to each other. A relay that receives none
//! from a zone for [`CUT_OFF_AFTER_MS`] reports that zone as cut off to its own
//! zone. The members' records do not change, so that no member has to refute a
//! suspicion when the zone is reachable again.

use std::collections::BTreeMap;

use super::hash::stable_hash;
use super::health::HEARTBEAT_EVERY_MS;
use super::message::{ZoneHeartbeat, ZoneReachability};
use super::topology::Topology;
use super::view::View;
use crate::context::Identity;
use crate::ids::Name;
use crate::time::Instant;

/// Time without a zone heartbeat after which an availability zone counts as
/// cut off, in milliseconds.
pub const CUT_OFF_AFTER_MS: u64 = 6_000;

/// Time after which the members of an availability zone that is cut off are
/// forgotten, in milliseconds.
pub const FORGET_CUT_OFF_AFTER_MS: u64 = 3_600_000;

/// Time between two heartbeat rounds from which this process counts as stopped in between, in
/// milliseconds.
const STOPPED_AFTER_MS: u64 = 2 * HEARTBEAT_EVERY_MS;

struct LastHeartbeat {
    number: u64,
    received_at: Instant,
}

struct StoredReport {
    report: ZoneReachability,
    since: Instant,
}

/// The newest heartbeat of each availability zone, and the newest report on
/// whether each is cut off from this zone.
#[derive(Default)]
pub(super) struct ReachabilityTracker {
    last_heartbeats: BTreeMap<Name, LastHeartbeat>,
    reports: BTreeMap<Name, StoredReport>,
    is_relay: bool,
    advanced_at: Instant,
}

impl ReachabilityTracker {
    /// Zone heartbeats to forward; empty unless this process is a relay.
    pub fn outgoing_heartbeats(&self) -> Vec<ZoneHeartbeat> {
        if !self.is_relay {
            return Vec::new();
        }
        let heartbeat = |(name, last): (&Name, &LastHeartbeat)| ZoneHeartbeat {
            availability_zone: name.clone(),
            number: last.number,
        };
        self.last_heartbeats.iter().map(heartbeat).collect()
    }

    /// Records zone heartbeats that another relay sent.
    pub fn record_heartbeats(&mut self, now: Instant, heartbeats: Vec<ZoneHeartbeat>) {
        for heartbeat in heartbeats {
            let last = self.last_heartbeats.entry(heartbeat.availability_zone);
            let last = last.or_insert(LastHeartbeat { number: 0, received_at: now });
            if heartbeat.number > last.number {
                *last = LastHeartbeat { number: heartbeat.number, received_at: now };
            }
        }
    }

    /// Records a message of any kind from a member of another availability zone: that zone is not
    /// cut off, even if its relay is silent.
    pub fn record_contact(&mut self, now: Instant, availability_zone: &Name) {
        if let Some(last) = self.last_heartbeats.get_mut(availability_zone) {
            last.received_at = now;
        }
    }

    /// On a relay, creates the next heartbeat of this zone and returns the
    /// reports on zones whose reachability changed. Does nothing elsewhere.
    pub fn advance(
        &mut self,
        now: Instant,
        topology: &Topology,
        me: &Identity,
    ) -> Vec<ZoneReachability> {
        let own = &me.locality.availability_zone;
        let was_relay = self.is_relay;
        self.is_relay = topology.relay(own) == Some(me.id);
        // A process that was itself stopped has processed no heartbeats, whoever sent them.
        let was_stopped = now.since_ms(self.advanced_at) >= STOPPED_AFTER_MS;
        self.advanced_at = now;
        if !self.is_relay {
            return Vec::new();
        }
        let zones: Vec<&Name> = topology.zones().map(|(name, _)| name).collect();
        self.last_heartbeats.retain(|name, _| zones.contains(&name));
        for name in zones {
            let last = self.last_heartbeats.entry(name.clone());
            let last = last.or_insert(LastHeartbeat { number: 0, received_at: now });
            if !was_relay || was_stopped {
                last.received_at = now;
            }
        }
        // Starting from the clock puts the numbers of a new relay above those of
        // its predecessor.
        let next = self.last_heartbeats[own].number.max(me.unix_ms(now)) + 1;
        self.last_heartbeats.insert(own.clone(), LastHeartbeat { number: next, received_at: now });
        self.changed_reports(now, own)
    }

    fn changed_reports(&self, now: Instant, own: &Name) -> Vec<ZoneReachability> {
        let mut changed = Vec::new();
        for (name, last) in self.last_heartbeats.iter().filter(|(name, _)| *name != own) {
            let cut_off = now.since_ms(last.received_at) >= CUT_OFF_AFTER_MS;
            let report = self.reports.get(name).map(|stored| &stored.report);
            if report.is_some_and(|report| report.cut_off) == cut_off {
                continue;
            }
            let number = report.map_or(0, |report| report.number) + 1;
            changed.push(ZoneReachability { availability_zone: name.clone(), cut_off, number });
        }
        changed
    }

    /// Stores a report from a relay of this zone and applies it to the view.
    /// Returns false if the stored report is as new or newer.
    pub fn apply_report(
        &mut self,
        now: Instant,
        view: &mut View,
        report: &ZoneReachability,
    ) -> bool {
        let old = self.reports.get(&report.availability_zone);
        // Two relays may use the same number. The one that reaches the zone is right.
        let precedence = |report: &ZoneReachability| (report.number, !report.cut_off);
        if old.is_some_and(|old| precedence(&old.report) >= precedence(report)) {
            return false;
        }
        view.set_cut_off(&report.availability_zone, report.cut_off);
        let stored = StoredReport { report: report.clone(), since: now };
        self.reports.insert(report.availability_zone.clone(), stored);
        true
    }

    /// The newest report on each availability zone.
    pub fn reports(&self) -> Vec<ZoneReachability> {
        self.reports.values().map(|stored| stored.report.clone()).collect()
    }

    /// Hash of all stored reports, independent of their order.
    pub fn reports_digest(&self) -> u64 {
        self.reports.values().fold(0, |sum, stored| {
            let report = &stored.report;
            let hash = stable_hash((&report.availability_zone, report.number, report.cut_off));
            sum.wrapping_add(hash)
        })
    }

    /// Availability zones that have been cut off for [`FORGET_CUT_OFF_AFTER_MS`],
    /// whose members are to be forgotten.
    pub fn zones_to_forget(&self, now: Instant) -> Vec<Name> {
        let cut_off = self.reports.iter().filter(|(_, stored)| stored.report.cut_off);
        let expired = cut_off.filter(|(_, s)| now.since_ms(s.since) >= FORGET_CUT_OFF_AFTER_MS);
        expired.map(|(name, _)| name.clone()).collect()
    }
}
