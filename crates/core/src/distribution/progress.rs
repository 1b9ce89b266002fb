//! How far a version has come.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::holders::member_sum;
use super::message::ZoneReport;
use crate::ids::{Name, Version};
use crate::membership::{MemberStatus, Membership};

/// Most unreachable hosts that are named in each availability zone.
const MAX_NAMED_HOSTS: usize = 32;

/// Most relays of one availability zone whose reports are kept.
const MAX_RELAYS: usize = 3;

/// How far a version has come in one availability zone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneProgress {
    /// Availability zone.
    pub availability_zone: Name,
    /// Proxies that are known there and not forgotten.
    pub proxies: u32,
    /// Proxies that acknowledged the version or a later one.
    pub in_force: u32,
    /// Hosts whose proxy cannot be reached, at most a few dozen.
    pub unreachable: Vec<Name>,
    /// Whether the availability zone as a whole cannot be reached from here.
    pub cut_off: bool,
}

/// How far the newest version has come everywhere.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The version.
    pub version: Version,
    /// By availability zone, sorted by name.
    pub zones: Vec<ZoneProgress>,
}

impl Progress {
    /// Whether every proxy acknowledged the version. One that cannot be
    /// reached and is not forgotten counts as not having done so.
    pub fn is_in_force(&self) -> bool {
        self.zones.iter().all(|zone| zone.in_force >= zone.proxies && !zone.cut_off)
    }
}

/// The newest reports of the relays, as a control replica keeps them.
#[derive(Default)]
pub(super) struct ZoneReports {
    reports: BTreeMap<Name, Vec<ZoneReport>>,
}

impl ZoneReports {
    /// Takes a report in. False where it says nothing new.
    ///
    /// A report stays true however late it comes, since a process never goes
    /// back to an older version. So reports of a relay and of the one before
    /// it are both kept.
    pub fn take(&mut self, report: ZoneReport) -> bool {
        let reports = self.reports.entry(report.availability_zone.clone()).or_default();
        if reports.contains(&report) {
            return false;
        }
        reports.retain(|old| old.relay != report.relay);
        reports.insert(0, report);
        reports.truncate(MAX_RELAYS);
        true
    }

    /// Forgets the availability zones that have no member.
    pub fn retain(&mut self, known: &BTreeMap<Name, ZoneMembers>) {
        self.reports.retain(|name, _| known.contains_key(name));
    }

    /// How far `version` has come among the members.
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
            // All of them only where these very processes hold it, and none of
            // them knew of one more that is not known here yet.
            let all = holders.sum == self.sum && holders.known == self.sum;
            let most = if all { self.count } else { self.count.saturating_sub(1) };
            in_force = in_force.max(if all { self.count } else { holders.count.min(most) });
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
        zone.sum = zone.sum.wrapping_add(member_sum(member.id, member.incarnation));
        if !member.status.is_reachable() && zone.unreachable.len() < MAX_NAMED_HOSTS {
            zone.unreachable.push(member.host.clone());
        }
    }
    zones
}
