//! Capacity of targets as their owners report it, and its use at the ingress.
//!
//! An ingress sees one target of many only now and then, its owner sees all calls of it. The
//! choice of a target therefore uses the hold times that owners report, where the service
//! observes capacities.

use super::call::{CallClass, CapacityReport, TargetLoad};
use super::target::Target;
use super::{Routing, ServiceKey, TargetKey};
use crate::collections::HashMap;
use crate::context::Context;

/// Weight of a new report in the mean hold time of a class over all targets.
const TYPICAL_WEIGHT: f64 = 1.0 / 32.0;
/// A target refuses calls as often as its service if its share of successful calls is at least
/// this much of that of the service, in percent.
const ALIKE_PERCENT: u64 = 60;

/// Mean hold time of each class over all reports of the owners of a service's targets, in
/// microseconds, and the number of reports.
#[derive(Debug, Default)]
pub(super) struct TypicalHoldTimes(HashMap<CallClass, (f64, u32)>);

impl TypicalHoldTimes {
    /// Records a hold time. Returns the speed of the target in relation to the typical one.
    fn record(&mut self, class: CallClass, hold_us: u32) -> f64 {
        let hold_us = f64::from(hold_us.max(1));
        let (mean_us, reports) = self.0.entry(class).or_insert((hold_us, 0));
        *reports = reports.saturating_add(1);
        let weight = TYPICAL_WEIGHT.max(1.0 / f64::from(*reports));
        *mean_us += (hold_us - *mean_us) * weight;
        *mean_us / hold_us
    }
}

impl Routing {
    /// Whether the observed capacity of the targets of a service is used.
    pub(super) fn is_adaptive(&self, service: ServiceKey) -> bool {
        let state = &self.services[service];
        let is_declared = self.organisations.is_declared();
        state.adaptive_limit.unwrap_or(is_declared || state.has_reported_capacity)
    }

    /// Records the capacity that the owner of a target reported.
    pub(super) fn record_capacity(
        &mut self,
        cx: &Context<'_>,
        key: TargetKey,
        class: CallClass,
        load: TargetLoad,
    ) {
        let Some(report) = load.capacity else { return };
        self.services[self.targets[key].service].has_reported_capacity = true;
        self.record_hold_time(cx, key, class, report);
    }

    /// Records the capacity of a target of this host.
    pub(super) fn record_own_capacity(
        &mut self,
        cx: &Context<'_>,
        key: TargetKey,
        class: CallClass,
    ) {
        let admission = self.targets[key].admission.as_ref();
        if let Some(report) = admission.and_then(|admission| admission.capacity_report(class)) {
            self.record_hold_time(cx, key, class, report);
        }
    }

    fn record_hold_time(
        &mut self,
        cx: &Context<'_>,
        key: TargetKey,
        class: CallClass,
        report: CapacityReport,
    ) {
        let service = self.targets[key].service;
        if report.hold_us == 0 || !self.is_adaptive(service) {
            return;
        }
        let region_trip_us = self.round_trip_us(cx, key);
        let speed = self.services[service].typical_hold.record(class, report.hold_us);
        let target = &mut self.targets[key];
        target.record_speed(speed, cx.now);
        target.record_hold_time(class, report.hold_us, region_trip_us, cx.now);
    }

    /// Records how long work takes at a target of this host, if the target states it.
    pub(super) fn record_pace(&mut self, cx: &Context<'_>, key: TargetKey, percent: Option<u32>) {
        let Some(percent) = percent else { return };
        let service = self.targets[key].service;
        self.services[service].has_reported_capacity = true;
        let is_adaptive = self.is_adaptive(service);
        if let Some(admission) = &mut self.targets[key].admission
            && is_adaptive
        {
            admission.set_adaptive(true);
            admission.record_pace(percent, cx.now);
        }
    }

    /// Whether the share of calls that a target refuses or fails is about that of all targets of
    /// its service. Ejecting such a target would only move its calls to others that refuse them
    /// as often.
    pub(super) fn does_service_refuse_alike(&self, cx: &Context<'_>, key: TargetKey) -> bool {
        let target = &self.targets[key];
        if !self.is_adaptive(target.service) {
            return false;
        }
        let of_service = self.services[target.service].success.at(cx.now);
        target.health.success_permille(cx.now) * 100 >= of_service * ALIKE_PERCENT
    }

    /// Share of successful calls of a target, in thousandths; never 0. Where the capacity of
    /// targets is observed, in relation to that of the service: if all targets refuse calls
    /// alike, none is worse than another.
    pub(super) fn comparable_success(
        &self,
        cx: &Context<'_>,
        service: ServiceKey,
        target: &Target,
    ) -> u64 {
        let success = target.health.success_permille(cx.now);
        if !self.is_adaptive(service) {
            return success;
        }
        let of_service = self.services[service].success.at(cx.now).max(1);
        (success * 1_000 / of_service).clamp(1, 1_000)
    }
}
