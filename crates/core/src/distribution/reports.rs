//! Acknowledgements on their way back to the control replicas.
//!
//! They are added up along the tree of an availability zone. Its relay hands
//! one report to the hub of its region, which hands it to the control replicas
//! there and, with those of its other zones, to the hubs of the other regions.

use std::collections::BTreeMap;

use super::message::{DistributionMessage, Holders, ZoneReport};
use super::{Distribution, Progress};
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::membership::Membership;
use crate::time::Instant;

/// Time in which incomplete acknowledgements are gathered, in milliseconds.
const GATHER_MS: u64 = 50;

/// Time in which a hub gathers incomplete reports for other regions, in milliseconds.
const FAR_GATHER_MS: u64 = 500;

/// Time in which a hub gathers complete reports for other regions, in milliseconds.
const FAR_COMPLETE_MS: u64 = 20;

/// Time between two repetitions of reports, which heal lost ones, in milliseconds.
const REPEAT_EVERY_MS: u64 = 10_000;

/// Time after which a hub tells the relays that are still behind of a version,
/// in milliseconds. They may take updates from a replica that is cut off.
const NUDGE_AFTER_MS: u64 = 500;

/// Time in which changes of the progress are gathered, in milliseconds.
const PROGRESS_MS: u64 = 10;

/// Time after this process first knew the others before it says how far a
/// version has come, in milliseconds. Before that it may not know of all.
const PROGRESS_AFTER_SYNC_MS: u64 = 2_000;

/// Reports of this process as a relay, as a hub and as a control replica.
pub(super) struct Reporter {
    /// When to report on this process's subtree.
    pub report_at: Instant,
    /// When to report again though nothing changed.
    pub repeat_at: Instant,
    /// When to send the region's reports to other regions.
    pub far_at: Instant,
    /// When to tell relays of the region that are still behind.
    pub nudge_at: Instant,
    /// When to add up the progress.
    pub progress_at: Instant,
    last: Option<(NodeId, ZoneReport)>,
    region: BTreeMap<Name, ZoneReport>,
    known: Option<(u64, u64)>,
    told: Option<Progress>,
}

impl Reporter {
    pub fn new() -> Self {
        Self {
            report_at: Instant::NEVER,
            repeat_at: Instant::ZERO,
            far_at: Instant::NEVER,
            nudge_at: Instant::NEVER,
            progress_at: Instant::NEVER,
            last: None,
            region: BTreeMap::new(),
            known: None,
            told: None,
        }
    }

    pub fn next_deadline(&self) -> Instant {
        let own = self.report_at.min(self.repeat_at).min(self.progress_at);
        own.min(self.far_at).min(self.nudge_at)
    }
}

impl Distribution {
    /// This process and those below it that hold the present version.
    pub(super) fn holders(&mut self, cx: &Context<'_>, membership: &Membership) -> Holders {
        let generation = membership.generation();
        let known = match self.reporter.known {
            Some((of, known)) if of == generation => known,
            _ => super::holders::known_sum(membership, &cx.me.locality.availability_zone),
        };
        self.reporter.known = Some((generation, known));
        let incarnation =
            membership.member(cx.me.id).map_or(cx.me.incarnation, |own| own.incarnation);
        let mut holders = Holders::one(cx.me.id, incarnation, known);
        self.children.add_to(&mut holders, self.current.version());
        holders
    }

    /// The holders below this process changed: report, at once where all hold it.
    pub(super) fn holders_changed(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if self.children.all_reported(self.current.version()) {
            self.report(cx, membership, false);
        } else {
            self.report_soon(cx.now);
        }
    }

    pub(super) fn report_soon(&mut self, now: Instant) {
        self.reporter.report_at = self.reporter.report_at.min(now.plus_ms(GATHER_MS));
    }

    /// Reports to the parent, and as a relay to the hub.
    fn report(&mut self, cx: &mut Context<'_>, membership: &Membership, again: bool) {
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
        if self.reporter.last == sent && !again {
            return;
        }
        self.reporter.last = sent;
        let reports = vec![report];
        if hub == cx.me.id {
            self.take_zones(cx, membership, hub, reports);
            return;
        }
        // The hub sends nothing back to where a report came from.
        if cx.me.control {
            self.keep_reports(cx.now, &reports);
        }
        cx.send(hub, DistributionMessage::Zones(reports));
    }

    /// Takes reports of availability zones in, and hands them on as a hub.
    pub(super) fn take_zones(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        reports: Vec<ZoneReport>,
    ) {
        if cx.me.control {
            self.keep_reports(cx.now, &reports);
        }
        for report in &reports {
            // The hub that handed the report on may not hold the version itself.
            self.note_newer(cx, membership, report.relay, report.version);
        }
        if membership.hub(&cx.me.locality.region) != Some(cx.me.id) {
            return;
        }
        let own_region = membership
            .member(from)
            .is_some_and(|member| member.locality.region == cx.me.locality.region);
        if own_region {
            self.gather_for_others(cx.now, &reports);
            self.tell_of_newer(cx, from, &reports);
        }
        let replicas = membership.control_replicas().filter(|replica| {
            let same_region = replica.locality.region == cx.me.locality.region;
            same_region && replica.id != cx.me.id && replica.id != from
        });
        for replica in replicas {
            cx.send(replica.id, DistributionMessage::Zones(reports.clone()));
        }
    }

    fn gather_for_others(&mut self, now: Instant, reports: &[ZoneReport]) {
        for report in reports {
            let old = self.reporter.region.insert(report.availability_zone.clone(), report.clone());
            if old.as_ref() == Some(report) {
                continue;
            }
            let newest = self.reporter.region.values().map(|zone| zone.version).max();
            let mut zones = self.reporter.region.values();
            let complete =
                zones.all(|zone| Some(zone.version) == newest && zone.holders.is_complete());
            let wait_ms = if complete { FAR_COMPLETE_MS } else { FAR_GATHER_MS };
            self.reporter.far_at = self.reporter.far_at.min(now.plus_ms(wait_ms));
        }
    }

    /// Lets a relay that is behind know that there is a newer version.
    fn tell_of_newer(&self, cx: &mut Context<'_>, relay: NodeId, reports: &[ZoneReport]) {
        let behind = reports.iter().any(|report| report.version < self.current.version());
        if behind && relay != cx.me.id {
            self.send_holds(cx, relay);
        }
    }

    /// A version came into force: look later who is behind.
    pub(super) fn nudge_later(&mut self, now: Instant) {
        self.reporter.nudge_at = now.plus_ms(NUDGE_AFTER_MS);
    }

    fn nudge(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.reporter.nudge_at = Instant::NEVER;
        if membership.hub(&cx.me.locality.region) != Some(cx.me.id) {
            return;
        }
        for report in self.reporter.region.values() {
            self.tell_of_newer(cx, report.relay, std::slice::from_ref(report));
        }
    }

    /// Sends the region's reports to the hubs of the regions with a control replica.
    fn report_far(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        self.reporter.far_at = Instant::NEVER;
        let own = &cx.me.locality.region;
        if membership.hub(own) != Some(cx.me.id) {
            self.reporter.region.clear();
            return;
        }
        let topology = membership.topology();
        let zones = &mut self.reporter.region;
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

    /// Does what is due.
    pub(super) fn tick_reporter(&mut self, cx: &mut Context<'_>, membership: &Membership) {
        if cx.now >= self.reporter.repeat_at {
            self.reporter.repeat_at = cx.now.plus_ms(REPEAT_EVERY_MS);
            if self.children.lapse(cx.now) {
                self.report_soon(cx.now);
            }
            self.report(cx, membership, true);
            self.report_far(cx, membership);
        }
        if cx.now >= self.reporter.report_at {
            self.report(cx, membership, false);
        }
        if cx.now >= self.reporter.far_at {
            self.report_far(cx, membership);
        }
        if cx.now >= self.reporter.nudge_at {
            self.nudge(cx, membership);
        }
        if cx.now >= self.reporter.progress_at {
            self.add_up_progress(cx, membership);
        }
    }

    fn keep_reports(&mut self, now: Instant, reports: &[ZoneReport]) {
        for report in reports {
            if self.zone_reports.take(report.clone()) {
                self.progress_soon(now);
            }
        }
    }

    pub(super) fn progress_soon(&mut self, now: Instant) {
        self.reporter.progress_at = self.reporter.progress_at.min(now.plus_ms(PROGRESS_MS));
    }

    fn add_up_progress(&mut self, cx: &mut Context<'_>, membership: &Membership) {
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
        if self.reporter.told.as_ref() != Some(&progress) {
            self.reporter.told = Some(progress.clone());
            self.progress = Some(progress);
        }
    }
}
