//! Aggregates acknowledgements on the path back to the control replicas.
//!
//! Acknowledgements are added up along the distribution tree of an availability zone. The relay
//! sends one report to the hub of its region. The hub forwards it to the control replicas of the
//! region and, together with the region's other reports, to the hubs of the other regions.

use std::collections::BTreeMap;

use super::message::{DistributionMessage, Holders, ZoneReport};
use super::{Distribution, Progress};
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::membership::Membership;
use crate::time::Instant;

/// Time for which incomplete acknowledgements are gathered, in milliseconds.
const GATHER_MS: u64 = 50;

/// Time for which a hub gathers incomplete reports for other regions, in milliseconds.
const OTHER_REGIONS_GATHER_MS: u64 = 500;

/// Time for which a hub gathers complete reports for other regions, in milliseconds.
const OTHER_REGIONS_COMPLETE_GATHER_MS: u64 = 20;

/// Interval at which reports are repeated in case one was lost, in milliseconds.
const REPEAT_EVERY_MS: u64 = 10_000;

/// Time after a version came into force at which a hub notifies the relays that do not hold it
/// yet, in milliseconds. Their source may be a control replica that is cut off.
const NOTIFY_BEHIND_AFTER_MS: u64 = 500;

/// Time for which changes of the progress are gathered, in milliseconds.
const PROGRESS_GATHER_MS: u64 = 10;

/// Time after the first sync of the membership before this process reports progress, in
/// milliseconds. Before that its membership may be incomplete.
const PROGRESS_AFTER_SYNC_MS: u64 = 2_000;

/// State of the reports that this process sends as a tree member, relay, hub and control replica.
pub(super) struct Reporter {
    /// When to report on this process's subtree.
    pub report_at: Instant,
    /// When to repeat the reports even if nothing changed.
    pub repeat_at: Instant,
    /// When to send the region's reports to other regions.
    pub other_regions_at: Instant,
    /// When to notify the relays of the region that lack the current version.
    pub notify_behind_at: Instant,
    /// When to compute the progress.
    pub progress_at: Instant,
    /// The last report of this process as a relay, and the hub that received it.
    last_sent: Option<(NodeId, ZoneReport)>,
    /// At a hub, the newest report of each availability zone of the region.
    region_reports: BTreeMap<Name, ZoneReport>,
    /// The membership generation, and the sum over the zone's members in it.
    membership_sum: Option<(u64, u64)>,
    /// The progress that was published last.
    last_progress: Option<Progress>,
}

impl Reporter {
    pub fn new() -> Self {
        Self {
            report_at: Instant::NEVER,
            repeat_at: Instant::ZERO,
            other_regions_at: Instant::NEVER,
            notify_behind_at: Instant::NEVER,
            progress_at: Instant::NEVER,
            last_sent: None,
            region_reports: BTreeMap::new(),
            membership_sum: None,
            last_progress: None,
        }
    }

    pub fn next_deadline(&self) -> Instant {
        let own = self.report_at.min(self.repeat_at).min(self.progress_at);
        own.min(self.other_regions_at).min(self.notify_behind_at)
    }
}

impl Distribution {
    /// The processes of this subtree that hold the current version.
    pub(super) fn holders(&mut self, cx: &Context<'_>, membership: &Membership) -> Holders {
        let generation = membership.generation();
        let membership_sum = match self.reporter.membership_sum {
            Some((of, membership_sum)) if of == generation => membership_sum,
            _ => super::holders::zone_membership_sum(membership, &cx.me.locality.availability_zone),
        };
        self.reporter.membership_sum = Some((generation, membership_sum));
        let incarnation =
            membership.member(cx.me.id).map_or(cx.me.incarnation, |own| own.incarnation);
        let mut holders = Holders::single(cx.me.id, incarnation, membership_sum);
        self.children.add_holders_to(&mut holders, self.current.version());
        holders
    }

    /// Reports after a change of the holders in this subtree: at once if all of it holds the
    /// current version.
    pub(super) fn holders_changed(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if self.children.have_all_reported(self.current.version()) {
            self.report(cx, membership, false);
        } else {
            self.schedule_report(cx.now);
        }
    }

    pub(super) fn schedule_report(&mut self, now: Instant) {
        self.reporter.report_at = self.reporter.report_at.min(now.plus_ms(GATHER_MS));
    }

    /// Reports to the parent and, as a relay, to the hub.
    fn report(&mut self, cx: &mut Context<'_>, membership: &Membership, is_repeat: bool) {
        self.reporter.report_at = Instant::NEVER;
        self.report_to_parent(cx, membership);
        if !self.upstream.is_relay {
            return;
        }
        let Some(hub) = membership.hub(&cx.me.locality.region) else { return };
        let report = ZoneReport {
            availability_zone: cx.me.locality.availability_zone.clone(),
            relay: cx.me.id,
            version: self.current.version(),
            holders: self.holders(cx, membership),
        };
        let sent = Some((hub, report.clone()));
        if self.reporter.last_sent == sent && !is_repeat {
            return;
        }
        self.reporter.last_sent = sent;
        let reports = vec![report];
        if hub == cx.me.id {
            self.handle_zone_reports(cx, membership, hub, reports);
            return;
        }
        // The hub does not send a report back to its sender.
        if cx.me.control {
            self.store_reports(cx.now, &reports);
        }
        cx.send(hub, DistributionMessage::Zones(reports));
    }

    /// Stores reports of availability zones and, as a hub, forwards them.
    pub(super) fn handle_zone_reports(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        reports: Vec<ZoneReport>,
    ) {
        if cx.me.control {
            self.store_reports(cx.now, &reports);
        }
        for report in &reports {
            // The hub that forwarded the report may not hold the version itself.
            self.record_newer_holder(cx, membership, report.relay, report.version);
        }
        if membership.hub(&cx.me.locality.region) != Some(cx.me.id) {
            return;
        }
        let is_own_region = membership
            .member(from)
            .is_some_and(|member| member.locality.region == cx.me.locality.region);
        if is_own_region {
            self.gather_for_other_regions(cx.now, &reports);
            self.notify_if_behind(cx, from, &reports);
        }
        let replicas = membership.control_replicas().filter(|replica| {
            let is_same_region = replica.locality.region == cx.me.locality.region;
            is_same_region && replica.id != cx.me.id && replica.id != from
        });
        for replica in replicas {
            cx.send(replica.id, DistributionMessage::Zones(reports.clone()));
        }
    }

    fn gather_for_other_regions(&mut self, now: Instant, reports: &[ZoneReport]) {
        for report in reports {
            let old = self
                .reporter
                .region_reports
                .insert(report.availability_zone.clone(), report.clone());
            if old.as_ref() == Some(report) {
                continue;
            }
            let newest = self.reporter.region_reports.values().map(|zone| zone.version).max();
            let mut zones = self.reporter.region_reports.values();
            let is_complete =
                zones.all(|zone| Some(zone.version) == newest && zone.holders.is_complete());
            let wait_ms = if is_complete {
                OTHER_REGIONS_COMPLETE_GATHER_MS
            } else {
                OTHER_REGIONS_GATHER_MS
            };
            self.reporter.other_regions_at =
                self.reporter.other_regions_at.min(now.plus_ms(wait_ms));
        }
    }

    /// Notifies a relay of the current version if its report shows an older one.
    fn notify_if_behind(&self, cx: &mut Context<'_>, relay: NodeId, reports: &[ZoneReport]) {
        let is_behind = reports.iter().any(|report| report.version < self.current.version());
        if is_behind && relay != cx.me.id {
            self.send_holds(cx, relay);
        }
    }

    /// Schedules a notification of the relays that lack the new version.
    pub(super) fn schedule_behind_notice(&mut self, now: Instant) {
        self.reporter.notify_behind_at = now.plus_ms(NOTIFY_BEHIND_AFTER_MS);
    }

    fn notify_relays_behind(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.reporter.notify_behind_at = Instant::NEVER;
        if membership.hub(&cx.me.locality.region) != Some(cx.me.id) {
            return;
        }
        for report in self.reporter.region_reports.values() {
            self.notify_if_behind(cx, report.relay, std::slice::from_ref(report));
        }
    }

    /// Sends the region's reports to the hubs of the other regions that have a control replica.
    fn report_to_other_regions(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.reporter.other_regions_at = Instant::NEVER;
        let own = &cx.me.locality.region;
        if membership.hub(own) != Some(cx.me.id) {
            self.reporter.region_reports.clear();
            return;
        }
        let topology = membership.topology();
        let zones = &mut self.reporter.region_reports;
        zones.retain(|name, _| topology.relay(name).is_some());
        let reports: Vec<ZoneReport> = zones.values().cloned().collect();
        for region in topology.regions().filter(|region| *region != own && !reports.is_empty()) {
            let mut replicas = membership.members().filter(|member| member.control);
            if !replicas.any(|replica| replica.locality.region == *region) {
                continue;
            }
            if let Some(hub) = topology.hub(region) {
                cx.send(hub, DistributionMessage::Zones(reports.clone()));
            }
        }
    }

    /// Performs the work that is due.
    pub(super) fn tick_reporter(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if cx.now >= self.reporter.repeat_at {
            self.reporter.repeat_at = cx.now.plus_ms(REPEAT_EVERY_MS);
            for child in self.children.expired(cx.now) {
                self.remove_child(cx, membership, child, "it no longer reports");
            }
            self.report(cx, membership, true);
            self.report_to_other_regions(cx, membership);
        }
        if cx.now >= self.reporter.report_at {
            self.report(cx, membership, false);
        }
        if cx.now >= self.reporter.other_regions_at {
            self.report_to_other_regions(cx, membership);
        }
        if cx.now >= self.reporter.notify_behind_at {
            self.notify_relays_behind(cx, membership);
        }
        if cx.now >= self.reporter.progress_at {
            self.compute_progress(cx, membership);
        }
    }

    fn store_reports(&mut self, now: Instant, reports: &[ZoneReport]) {
        for report in reports {
            if self.zone_reports.store(report.clone()) {
                self.schedule_progress(now);
            }
        }
    }

    pub(super) fn schedule_progress(&mut self, now: Instant) {
        self.reporter.progress_at = self.reporter.progress_at.min(now.plus_ms(PROGRESS_GATHER_MS));
    }

    fn compute_progress(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.reporter.progress_at = Instant::NEVER;
        if !cx.me.control || self.current.version().0 == 0 {
            return;
        }
        let Some(synced_at) = membership.synced_at() else {
            self.reporter.progress_at = cx.now.plus_ms(PROGRESS_AFTER_SYNC_MS);
            return;
        };
        let from = synced_at.plus_ms(PROGRESS_AFTER_SYNC_MS);
        if cx.now < from {
            self.reporter.progress_at = from;
            return;
        }
        let progress = self.zone_reports.progress(self.current.version(), membership);
        if self.reporter.last_progress.as_ref() != Some(&progress) {
            self.reporter.last_progress = Some(progress.clone());
            self.progress = Some(progress);
        }
    }
}
