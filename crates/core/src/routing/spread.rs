//! Distribution of calls over targets by the capacity that their owners report.
//!
//! Of each locality tier, two targets are drawn at random in proportion to their capacity, and
//! the one with the lower expected utilisation is compared with those of the other tiers. An
//! ingress sees one target of many only now and then, so the lowest of all reported loads would
//! mostly be an outdated one, and all ingresses would choose it. A draw of two gives no target
//! more than twice its share, whatever the reports say.
//!
//! The tiers are compared by the expected time until the response. It includes the wait that
//! is usual at the expected utilisation, so calls leave a full zone before a queue forms. The
//! wait varies at random, so that ingresses with the same view do not all change the zone at
//! once.

use rand::Rng;

use super::call::{CallClass, TargetLoad};
use super::choose::{
    BULK_TIER_COST_PERCENT, TIER_COST_PERCENT, TIER_EXTRA_LATENCY_US, WAITING_COST_PERCENT,
};
use super::state::TIERS;
use super::target::{Target, UNKNOWN_LATENCY_US};
use super::{Routing, ServiceKey, TargetKey};
use crate::collections::HashMap;
use crate::context::Context;
use crate::ids::{CallId, Locality};
use crate::time::Instant;

/// Weight of a new report in the mean hold time of a class over all targets.
const TYPICAL_WEIGHT: f64 = 1.0 / 32.0;
/// Time constant of the mean utilisation of a zone, in microseconds.
const ZONE_WINDOW_US: u64 = 300_000;
/// Minimum weight of a new report in this mean, for zones from which reports are frequent.
const MIN_ZONE_WEIGHT: f64 = 0.05;
/// Age at which a mean utilisation counts half, in microseconds. Without calls to a zone that
/// was full once nothing would report that it has capacity again.
const ZONE_HALF_AGE_US: u64 = 2_000_000;
/// Assumed utilisation of a zone without reports.
const USUAL_UTILISATION: f64 = 0.5;
/// Age at which a reported load no longer says more than the utilisation of its zone, in
/// microseconds: a few times the duration of a call.
const LOAD_LIFETIME_US: u64 = 600_000;
/// A target refuses calls as often as its service if its share of successful calls is at least
/// this much of that of the service, in percent.
const ALIKE_PERCENT: u64 = 60;
/// Utilisation above which the expected wait rises by the length of the queue only.
const MAX_UTILISATION: f64 = 0.97;

/// Mean utilisation of the targets of one zone.
#[derive(Clone, Copy, Debug)]
struct ZoneLoad {
    utilisation: f64,
    reported_at: Instant,
}

/// Reports of the owners of the targets of a service.
#[derive(Debug, Default)]
pub(super) struct ServiceReports {
    /// Mean hold time of each class over all reports, in microseconds, and their number.
    typical_us: HashMap<CallClass, (f64, u32)>,
    zones: HashMap<Locality, ZoneLoad>,
}

impl ServiceReports {
    /// Mean hold time of a class, in microseconds. None before the first report.
    pub fn typical_us(&self, class: CallClass) -> Option<f64> {
        self.typical_us.get(&class).map(|(mean_us, _)| *mean_us)
    }

    /// Records a hold time. Returns the speed of the target in relation to the typical one.
    pub fn record_hold(&mut self, class: CallClass, hold_us: u32) -> f64 {
        let hold_us = f64::from(hold_us.max(1));
        let (mean_us, reports) = self.typical_us.entry(class).or_insert((hold_us, 0));
        *reports = reports.saturating_add(1);
        let weight = TYPICAL_WEIGHT.max(1.0 / f64::from(*reports));
        *mean_us += (hold_us - *mean_us) * weight;
        *mean_us / hold_us
    }

    fn record_utilisation(&mut self, zone: &Locality, utilisation: f64, now: Instant) {
        if let Some(load) = self.zones.get_mut(zone) {
            let elapsed_us = now.since_us(load.reported_at);
            let weight = elapsed_us as f64 / (elapsed_us + ZONE_WINDOW_US) as f64;
            load.utilisation += (utilisation - load.utilisation) * weight.max(MIN_ZONE_WEIGHT);
            load.reported_at = now;
        } else {
            self.zones.insert(zone.clone(), ZoneLoad { utilisation, reported_at: now });
        }
    }

    /// Expected mean utilisation of the targets of a zone.
    fn utilisation(&self, zone: &Locality, now: Instant) -> f64 {
        let Some(load) = self.zones.get(zone) else { return USUAL_UTILISATION };
        let age_us = now.since_us(load.reported_at);
        let weight = ZONE_HALF_AGE_US as f64 / (ZONE_HALF_AGE_US + age_us) as f64;
        USUAL_UTILISATION + (load.utilisation - USUAL_UTILISATION) * weight
    }
}

/// A target as it is compared with others.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: TargetKey,
    /// Share of calls in relation to other targets.
    weight: f64,
    /// Expected calls in relation to the slots that are usable; above 1 with a queue.
    utilisation: f64,
}

impl Routing {
    /// Whether calls of a service are distributed by the reported capacity of its targets.
    pub(super) fn is_adaptive(&self, service: ServiceKey) -> bool {
        let state = &self.services[service];
        let is_declared = self.organisations.is_declared();
        state.adaptive_limit.unwrap_or(is_declared || state.has_reported_capacity)
    }

    /// Records the capacity and the load that the owner of a target reported.
    pub(super) fn record_capacity(
        &mut self,
        cx: &Context<'_>,
        key: TargetKey,
        class: CallClass,
        load: TargetLoad,
    ) {
        let Some(report) = load.capacity else { return };
        let target = &mut self.targets[key];
        let state = &mut self.services[target.service];
        state.has_reported_capacity = true;
        if report.hold_us > 0 {
            target.record_speed(state.reports.record_hold(class, report.hold_us), cx.now);
        }
        if let Some(owner) = self.members.get(&target.record.owner) {
            let calls = f64::from(load.in_flight) + f64::from(load.queued);
            let utilisation = calls / f64::from(report.usable_slots.max(1));
            state.reports.record_utilisation(&owner.locality, utilisation.min(2.0), cx.now);
        }
    }

    /// Load and capacity of a target of this host. None for other targets.
    pub(super) fn own_load(
        &self,
        cx: &Context<'_>,
        key: TargetKey,
        class: CallClass,
    ) -> Option<TargetLoad> {
        let admission = self.targets[key].admission.as_ref()?;
        let capacity = admission.capacity_report(class);
        Some(TargetLoad { capacity, ..admission.load(cx.now) })
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

    /// Chooses the target for the next attempt of a call.
    pub(super) fn choose_by_capacity(
        &self,
        cx: &mut Context<'_>,
        id: CallId,
        service: ServiceKey,
    ) -> Option<TargetKey> {
        let (mut best, mut least_cost) = (None, f64::INFINITY);
        for tier in 0..TIERS {
            let candidates = self.weighted_candidates(cx, id, service, tier);
            let drawn = [draw(cx, &candidates), draw(cx, &candidates)];
            let by_utilisation =
                |a: &Candidate, b: &Candidate| a.utilisation.total_cmp(&b.utilisation);
            let Some(candidate) = drawn.into_iter().flatten().min_by(by_utilisation) else {
                continue;
            };
            let cost = self.expected_cost(cx, id, candidate, tier);
            if cost < least_cost {
                (best, least_cost) = (Some(candidate.key), cost);
            }
        }
        best
    }

    fn weighted_candidates(
        &self,
        cx: &Context<'_>,
        id: CallId,
        service: ServiceKey,
        tier: usize,
    ) -> Vec<Candidate> {
        let call = &self.calls[&id];
        let state = &self.services[service];
        let usable = state.tiers[tier].iter().filter(|key| {
            let is_ejected = self.targets[**key].health.is_ejected();
            !is_ejected && !call.was_tried(**key) && self.has_path_capacity(cx, call, **key)
        });
        let candidate = |key: &TargetKey| {
            let target = &self.targets[*key];
            let limit = target.limit(cx.now).max(1) as f64;
            let success = self.relative_success(cx, service, target);
            let warm = target.weight(cx.now, state.slow_start_ms) as f64 / 1_000.0;
            let weight = limit * target.speed(cx.now) * warm * success * success;
            let load = self.expected_calls(cx, service, target, limit);
            Candidate { key: *key, weight, utilisation: load / limit }
        };
        usable.map(candidate).collect()
    }

    /// Share of successful calls of a target, in relation to all targets of its service: if all
    /// of them refuse calls alike, none is worse than another.
    fn relative_success(&self, cx: &Context<'_>, service: ServiceKey, target: &Target) -> f64 {
        let of_service = self.services[service].success.at(cx.now).max(1);
        (target.health.success_permille(cx.now) as f64 / of_service as f64).min(1.0)
    }

    /// Expected calls at a target: as reported, and with the age of the report as is usual in
    /// its zone.
    fn expected_calls(
        &self,
        cx: &Context<'_>,
        service: ServiceKey,
        target: &Target,
        limit: f64,
    ) -> f64 {
        if target.admission.is_some() {
            return target.expected_load(cx.now) as f64;
        }
        let own = f64::from(target.in_flight);
        let owner = self.members.get(&target.record.owner);
        let utilisation = owner.map_or(USUAL_UTILISATION, |owner| {
            self.services[service].reports.utilisation(&owner.locality, cx.now)
        });
        let usual = own.max(utilisation * limit);
        let Some((other, age_us)) = target.reported_calls(cx.now) else { return usual };
        let weight = 1.0 - age_us.min(LOAD_LIFETIME_US) as f64 / LOAD_LIFETIME_US as f64;
        (own + other as f64) * weight + usual * (1.0 - weight)
    }

    /// Expected cost of a call at a target, in microseconds.
    fn expected_cost(
        &self,
        cx: &mut Context<'_>,
        id: CallId,
        candidate: Candidate,
        tier: usize,
    ) -> f64 {
        let call = &self.calls[&id];
        let state = &self.services[call.service];
        let target = &self.targets[candidate.key];
        let observed_us = || state.typical_us(call.class).unwrap_or(UNKNOWN_LATENCY_US) as f64;
        let typical_us = state.reports.typical_us(call.class).unwrap_or_else(observed_us);
        let hold_us = typical_us / target.speed(cx.now);
        let limit = target.limit(cx.now).max(1);
        // The random factor has a mean of 1.
        let wait_us = expected_wait_us(hold_us, limit, candidate.utilisation)
            * cx.rng.random_range(0..=200) as f64
            / 100.0;
        let success = self.relative_success(cx, call.service, target);
        let is_large = call.is_large();
        let tier_percent =
            if is_large { BULK_TIER_COST_PERCENT[tier] } else { TIER_COST_PERCENT[tier] };
        let useful_us = call.useful_until.since_us(call.arrived_at);
        let waits =
            (is_large && tier == TIERS - 1) || (call.is_bulk && target.is_link_busy(cx.now));
        let waiting_percent = if waits { WAITING_COST_PERCENT } else { 0 };
        let surcharge_us =
            TIER_EXTRA_LATENCY_US[tier] + useful_us * (tier_percent + waiting_percent) / 100;
        (hold_us + wait_us) / (success * success) + surcharge_us as f64
    }
}

/// Mean wait for one of `slots` slots at a utilisation (Sakasegawa's approximation for
/// independent arrivals), and the time in which the present queue is served.
fn expected_wait_us(hold_us: f64, slots: u64, utilisation: f64) -> f64 {
    let busy = utilisation.clamp(0.0, MAX_UTILISATION);
    let exponent = (2.0 * (slots + 1) as f64).sqrt().round() as u32;
    let power: f64 = (0..exponent).map(|_| busy).product();
    let queued = (utilisation - 1.0).max(0.0);
    hold_us / slots as f64 * power / (1.0 - busy) + hold_us * queued
}

/// Draws a candidate at random, in proportion to the weights.
fn draw(cx: &mut Context<'_>, candidates: &[Candidate]) -> Option<Candidate> {
    let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let mut rest = cx.rng.random_range(0.0..1.0) * total;
    for candidate in candidates {
        rest -= candidate.weight;
        if rest < 0.0 {
            return Some(*candidate);
        }
    }
    candidates.last().copied()
}
