//! Computes which proxies have the newest version in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::holders::member_hash;
use super::message::ZoneReport;
use crate::ids::{Name, Version};
use crate::membership::{MemberStatus, Membership};

/// Maximum number of unreachable hosts that are listed per availability zone.
const MAX_NAMED_HOSTS: usize = 32;

/// Maximum number of relays of one availability zone whose reports are kept.
const MAX_RELAYS: usize = 3;

/// Progress of a version in one availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneProgress {
    /// Availability zone.
    pub availability_zone: Name,
    /// Number of known proxies there that are not forgotten.
    pub proxies: u32,
    /// Number of proxies that acknowledged the version or a later one.
    pub in_force: u32,
    /// Hosts whose proxy is unreachable, at most a few dozen.
    pub unreachable: Vec<Name>,
    /// Whether the whole availability zone is unreachable from here.
    pub cut_off: bool,
}

/// Progress of the newest version in all availability zones.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The version.
    pub version: Version,
    /// Progress by availability zone, sorted by name.
    pub zones: Vec<ZoneProgress>,
}

impl Progress {
    /// Whether every proxy acknowledged the version. An unreachable proxy that is not forgotten
    /// counts as one that has not.
    pub fn is_in_force(&self) -> bool {
        self.zones.iter().all(|zone| zone.in_force >= zone.proxies && !zone.cut_off)
    }
}

/// The newest reports of the relays, as kept by a control replica.
#[derive(Default)]
pub(super) struct ZoneReports {
    reports: BTreeMap<Name, Vec<ZoneReport>>,
}

impl ZoneReports {
    /// Stores a report. Returns false if it is already stored.
    ///
    /// A report stays valid however late it arrives, since a process never returns to an older
    /// version. The reports of a relay and of its predecessor are therefore both kept.
    pub fn store(&mut self, report: ZoneReport) -> bool {
        let reports = self.reports.entry(report.availability_zone.clone()).or_default();
        if reports.contains(&report) {
            return false;
        }
        reports.retain(|old| old.relay != report.relay);
        reports.insert(0, report);
        reports.truncate(MAX_RELAYS);
        true
    }

    /// Removes the availability zones that have no member.
    pub fn retain(&mut self, known: &BTreeMap<Name, ZoneMembers>) {
        self.reports.retain(|name, _| known.contains_key(name));
    }

    /// The progress of `version` among the members.
    pub fn progress(&mut self, version: Version, membership: &Membership) -> Progress {
        let zones = zone_members(membership);
        self.retain(&zones);
        let zones = zones.into_iter().map(|(name, members)| {
            let reports = self.reports.get(&name).map_or(&[][..], |reports| reports);
            members.progress(name, version, reports, membership)
        });
        Progress { version, zones: zones.collect() }
    }
}

/// Members of one availability zone that a version has to reach.
#[derive(Default)]
pub(super) struct ZoneMembers {
    count: u32,
    sum: u64,
    unreachable: Vec<Name>,
}

impl ZoneMembers {
    fn progress(
        self,
        availability_zone: Name,
        version: Version,
        reports: &[ZoneReport],
        membership: &Membership,
    ) -> ZoneProgress {
        let mut in_force = 0;
        for report in reports.iter().filter(|report| report.version >= version) {
            let holders = &report.holders;
            // The zone is complete only if exactly these processes hold the version and none of
            // them has recorded a further member that is not recorded here yet.
            let is_complete = holders.sum == self.sum && holders.membership_sum == self.sum;
            let max_in_force = if is_complete { self.count } else { self.count.saturating_sub(1) };
            in_force = in_force.max(if is_complete {
                self.count
            } else {
                holders.count.min(max_in_force)
            });
        }
        ZoneProgress {
            cut_off: membership.is_cut_off(&availability_zone),
            availability_zone,
            proxies: self.count,
            in_force,
            unreachable: self.unreachable,
        }
    }
}

fn zone_members(membership: &Membership) -> BTreeMap<Name, ZoneMembers> {
    let mut zones: BTreeMap<Name, ZoneMembers> = BTreeMap::new();
    for member in membership.members().filter(|member| member.status != MemberStatus::Left) {
        let zone = zones.entry(member.locality.availability_zone.clone()).or_default();
        zone.count += 1;
        zone.sum = zone.sum.wrapping_add(member_hash(member.id, member.incarnation));
        if !member.status.is_reachable() && zone.unreachable.len() < MAX_NAMED_HOSTS {
            zone.unreachable.push(member.host.clone());
        }
    }
    zones
}
