//! The state of one target as seen by this proxy: load, latency and readiness, and the expected
//! time until its response, by which targets are compared.

use super::admission::AdmissionControl;
use super::call::{CallClass, RateReport, TargetLoad};
use super::estimate::{ByClass, Estimate};
use super::health::Health;
use super::message::TargetEnd;
use super::recent_minimum::RecentMinimum;
use crate::membership::{TargetRecord, TargetState};
use crate::routing::ServiceKey;
use crate::time::Instant;

/// Age at which the load reported by an owner expires, in microseconds.
const OWNER_LOAD_LIFETIME_US: u64 = 3_000_000;
/// Age at which the load reported by the target itself expires, in microseconds.
const SELF_REPORT_LIFETIME_US: u64 = 2_000_000;
/// Maximum number of calls of other proxies at a target that is believed.
const MAX_OTHER_CALLS: u64 = 100_000;
/// Maximum wait at a target that is believed, in milliseconds.
const MAX_WAIT_MS: u32 = 60_000;
/// Share of calls for a target that has just become ready, in thousandths.
const COLD_WEIGHT: u64 = 100;
/// Share of calls for a target after its slow start, in thousandths.
const FULL_WEIGHT: u64 = 1_000;
/// Minimum and maximum time for which a host that had no capacity for a large response receives
/// no further call with one if another host may have capacity, in milliseconds.
const MIN_LINK_BUSY_MS: u64 = 50;
const MAX_LINK_BUSY_MS: u64 = 500;
/// Maximum time for which a target that refused a call counts as full, in milliseconds.
const MAX_FULL_MS: u32 = 500;
/// Assumed latency of a target without observations, in microseconds.
pub(super) const UNKNOWN_LATENCY_US: u64 = 1_000;
/// Weight of the owner's report in the expected time until the response, in percent; the rest is
/// the own observation, which contains the wait in the queue. With 100, responses were 1.2%
/// slower at 75% load and 2.8% at 90% in the simulation of `tests/routing/spread.rs`.
const REPORT_WEIGHT_PERCENT: u64 = 25;
/// Half-life, without new responses, of the amount by which a target's observed latency exceeds
/// the baseline, in microseconds.
const LATENCY_HALF_LIFE_US: u64 = 5_000_000;

/// A reported load of a target, less the calls of this proxy, with the time at which it was
/// received.
#[derive(Clone, Copy, Debug)]
struct LoadHint {
    other_calls: u64,
    wait_ms: u32,
    rate: Option<RateReport>,
    /// Number of concurrent calls that the target handles well, if its owner reports it.
    usable_slots: Option<u32>,
    received_at: Instant,
    lifetime_us: u64,
}

/// Speed of a target in relation to the typical target of its service.
#[derive(Clone, Copy, Debug)]
struct SpeedReport {
    speed: f64,
    received_at: Instant,
}

/// Range of speeds that is believed.
const MIN_SPEED: f64 = 0.1;
const MAX_SPEED: f64 = 4.0;
/// Age within which a report is averaged with the one before it, which may be of another class
/// of calls, in microseconds.
const SPEED_AVERAGED_US: u64 = 2_000_000;

/// One target as seen by this proxy.
#[derive(Debug)]
pub(super) struct Target {
    pub record: TargetRecord,
    pub service: ServiceKey,
    /// Calls of this proxy at the target, counted as their ingress.
    pub in_flight: u32,
    /// Attempts at the target that have not ended, as ingress or as owner. The target is
    /// forgotten only after all of them have ended.
    pub attempts: u32,
    /// Present where this proxy owns the target.
    pub admission: Option<AdmissionControl>,
    pub health: Health,
    pub latency: Estimate,
    /// Time until the head of a response by class, with the time of the last response.
    by_class: ByClass<(Estimate, Instant)>,
    /// Expected time until the head of a response by class, from the hold time that the owner
    /// reported last and the round trip, with the time of the report.
    reported_by_class: ByClass<(u64, Instant)>,
    /// Round trip to the owner, in microseconds.
    round_trip: RecentMinimum,
    last_answer_at: Instant,
    /// Start of the current wait for a response: the last response, or the first call after the
    /// target had no call of this proxy.
    waiting_since: Instant,
    ready_since: Instant,
    /// Duration of the slow start as announced by the target, in microseconds. None if it
    /// announced none.
    cold_us: Option<u64>,
    hint: Option<LoadHint>,
    speed: Option<SpeedReport>,
    /// The last end of the target that its owner noticed, and when it did last.
    pub last_end: Option<(TargetEnd, Instant)>,
    /// Until when the link of the target's host is considered to have no capacity for large
    /// responses.
    link_busy_until: Instant,
    /// Until when the target is considered to have no slot for calls of a class.
    full_until: ByClass<Instant>,
}

impl Target {
    pub fn new(record: TargetRecord, service: ServiceKey, now: Instant) -> Self {
        let mut target = Self {
            record,
            service,
            in_flight: 0,
            attempts: 0,
            admission: None,
            health: Health::default(),
            latency: Estimate::default(),
            by_class: ByClass::default(),
            reported_by_class: ByClass::default(),
            round_trip: RecentMinimum::default(),
            last_answer_at: now,
            waiting_since: now,
            ready_since: now,
            cold_us: None,
            hint: None,
            speed: None,
            last_end: None,
            link_busy_until: Instant::ZERO,
            full_until: ByClass::default(),
        };
        target.begin_slow_start(now);
        target.record_self_report(now);
        target
    }

    /// Applies a newer record of the target.
    pub fn update(&mut self, record: TargetRecord, now: Instant) {
        let was_ready = self.record.state == TargetState::Ready;
        let moved = record.address != self.record.address || record.owner != self.record.owner;
        self.record = record;
        if !was_ready || moved {
            self.admission.iter_mut().for_each(AdmissionControl::forget_rate_limit);
            self.admission.iter_mut().for_each(AdmissionControl::forget_capacity);
            self.speed = None;
            self.begin_slow_start(now);
            self.health = Health::default();
            self.latency = Estimate::default();
            self.by_class = ByClass::default();
            self.reported_by_class = ByClass::default();
            self.round_trip = RecentMinimum::default();
        }
        self.record_self_report(now);
    }

    fn begin_slow_start(&mut self, now: Instant) {
        self.ready_since = now;
        let cold_us = u64::from(self.record.cold_ms) * 1_000;
        self.cold_us = (cold_us > 0).then_some(cold_us);
    }

    fn record_self_report(&mut self, now: Instant) {
        let Some(percent) = self.record.load_percent else { return };
        let load = u64::from(self.record.slots) * u64::from(percent) / 100;
        let rate = self.fresh_hint(now).and_then(|hint| hint.rate);
        let usable_slots = self.fresh_hint(now).and_then(|hint| hint.usable_slots);
        let load = TargetLoad { in_flight: load as u32, rate, ..TargetLoad::default() };
        self.set_load_hint(load, now, SELF_REPORT_LIFETIME_US);
        self.hint.iter_mut().for_each(|hint| hint.usable_slots = usable_slots);
    }

    /// Records the load that the owner reported.
    pub fn record_owner_load(&mut self, load: TargetLoad, now: Instant) {
        self.set_load_hint(load, now, OWNER_LOAD_LIFETIME_US);
    }

    /// Records that the owner refused a call for lack of slots. Its slots may be reserved for
    /// other classes, so that its load does not show that.
    pub fn record_refusal(&mut self, class: CallClass, wait_ms: u32, now: Instant) {
        if let Some(full_until) = self.full_until.entry(class) {
            *full_until = now.plus_ms(u64::from(wait_ms.min(MAX_FULL_MS)));
        }
    }

    /// Whether the owner refused a call of the class for lack of slots and its reported wait is
    /// not over.
    pub fn is_full_for(&self, class: CallClass, now: Instant) -> bool {
        self.full_until.get(class).is_some_and(|until| now < *until)
    }

    /// Records that the owner had no capacity for a call with a large response.
    pub fn record_bulk_refusal(&mut self, wait_ms: u32, now: Instant) {
        let wait_ms = u64::from(wait_ms).clamp(MIN_LINK_BUSY_MS, MAX_LINK_BUSY_MS);
        self.link_busy_until = now.plus_ms(wait_ms);
    }

    /// Whether the link of the target's host is considered to have no capacity for large
    /// responses.
    pub fn is_link_busy(&self, now: Instant) -> bool {
        now < self.link_busy_until
    }

    fn set_load_hint(&mut self, load: TargetLoad, now: Instant, lifetime_us: u64) {
        let TargetLoad { in_flight, queued, wait_ms, rate, capacity, .. } = load;
        let all_calls = u64::from(in_flight) + u64::from(queued);
        let other_calls = all_calls.saturating_sub(u64::from(self.in_flight)).min(MAX_OTHER_CALLS);
        let wait_ms = wait_ms.min(MAX_WAIT_MS);
        let usable_slots = capacity.map(|report| report.usable_slots.max(1));
        let received_at = now;
        let hint = LoadHint { other_calls, wait_ms, rate, usable_slots, received_at, lifetime_us };
        self.hint = Some(hint);
    }

    /// Records the speed of the target in relation to the typical one.
    pub fn record_speed(&mut self, speed: f64, now: Instant) {
        let mut speed = speed.clamp(MIN_SPEED, MAX_SPEED);
        if let Some(before) = &self.speed
            && now.since_us(before.received_at) < SPEED_AVERAGED_US
        {
            speed = (before.speed + speed) / 2.0;
        }
        self.speed = Some(SpeedReport { speed, received_at: now });
    }

    /// Speed in relation to the typical target, as reported last.
    pub fn reported_speed(&self) -> Option<f64> {
        self.speed.map(|report| report.speed)
    }

    /// Records how long calls of a class hold a slot, as reported by the owner. Without an
    /// observed round trip to the owner, that of its region is used.
    pub fn record_hold_time(
        &mut self,
        class: CallClass,
        hold_us: u32,
        region_trip_us: u64,
        now: Instant,
    ) {
        let observed_us = self.round_trip.get().and_then(|us| u64::try_from(us).ok());
        let answer_us = u64::from(hold_us) + observed_us.unwrap_or(region_trip_us);
        if let Some(report) = self.reported_by_class.entry(class) {
            *report = (answer_us, now);
        }
    }

    /// Records the round trip to the owner, without the time for which it held the call.
    pub fn observe_round_trip(&mut self, us: u64, now: Instant) {
        self.round_trip.observe(i64::try_from(us).unwrap_or(i64::MAX), now);
    }

    /// Records a response that arrived `us` after the start of its attempt.
    pub fn observe(&mut self, class: CallClass, us: u64, now: Instant) {
        self.latency.observe(us);
        self.last_answer_at = now;
        self.waiting_since = now;
        if let Some((estimate, at)) = self.by_class.entry(class) {
            estimate.observe(us);
            *at = now;
        }
    }

    /// Restarts the slow start, after an ejection.
    pub fn restart_slow_start(&mut self, now: Instant) {
        self.ready_since = now;
        self.cold_us = None;
    }

    /// Counts a call that this proxy starts at the target as ingress.
    pub fn begin_call(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.waiting_since = now;
        }
        self.in_flight += 1;
    }

    pub fn last_answer_at(&self) -> Instant {
        self.last_answer_at
    }

    pub fn is_ready(&self) -> bool {
        self.record.state == TargetState::Ready
    }

    /// Maximum number of concurrent calls at the target, or the number that its rate limit
    /// leaves of them.
    pub fn limit(&self, now: Instant) -> u64 {
        let slots = self.record.slots.min(self.record.connections);
        let usable = match &self.admission {
            Some(admission) => Some(admission.usable_slots()),
            None => self.fresh_hint(now).and_then(|hint| {
                let within_rate = hint.rate.map(|rate| rate.usable_slots);
                within_rate.into_iter().chain(hint.usable_slots).min()
            }),
        };
        u64::from(usable.map_or(slots, |usable| usable.min(slots)))
    }

    /// Estimated number of calls at the target. The proxy's own calls are exact; calls of other
    /// proxies come from a report whose weight decreases with age.
    pub fn expected_load(&self, now: Instant) -> u64 {
        if let Some(admission) = &self.admission {
            return u64::from(admission.in_flight() + admission.queued());
        }
        let other_calls = self.hint.map_or(0, |hint| {
            let remaining_us = hint.lifetime_us.saturating_sub(now.since_us(hint.received_at));
            hint.other_calls * remaining_us / hint.lifetime_us
        });
        u64::from(self.in_flight) + other_calls
    }

    /// Expected wait of one more call for a slot, in milliseconds, according to the last
    /// report.
    pub fn wait_ms(&self, now: Instant) -> u32 {
        if let Some(admission) = &self.admission {
            return admission.load(now).wait_ms;
        }
        self.fresh_hint(now).map_or(0, |hint| hint.wait_ms)
    }

    /// Age of the reported load, in milliseconds. None without a valid report, and 0 if this
    /// proxy admits every call itself.
    pub fn load_age_ms(&self, now: Instant) -> Option<u64> {
        if self.admission.is_some() {
            return Some(0);
        }
        self.fresh_hint(now).map(|hint| now.since_ms(hint.received_at))
    }

    /// The reported load, until it expires.
    fn fresh_hint(&self, now: Instant) -> Option<LoadHint> {
        self.hint.filter(|hint| now.since_us(hint.received_at) < hint.lifetime_us)
    }

    pub fn has_free_slot(&self, now: Instant) -> bool {
        self.expected_load(now) < self.limit(now)
    }

    /// Share of calls for the target, in thousandths. It grows during the slow start.
    pub fn weight(&self, now: Instant, slow_start_ms: u32) -> u64 {
        let start_us = self.cold_us.unwrap_or(u64::from(slow_start_ms) * 1_000);
        let warm_us = now.since_us(self.ready_since);
        if warm_us >= start_us {
            return FULL_WEIGHT;
        }
        COLD_WEIGHT + (FULL_WEIGHT - COLD_WEIGHT) * warm_us / start_us
    }

    /// Expected time until the response to one more call, in microseconds. `success` is the
    /// share of calls that succeed, in thousandths.
    pub fn cost_us(
        &self,
        now: Instant,
        slow_start_ms: u32,
        baseline: LatencyBaseline,
        success: u64,
    ) -> u64 {
        let mut answer_us = self.answer_us(now, baseline);
        if self.in_flight > 0 {
            // A call that has waited this long will not be answered in less.
            answer_us = answer_us.max(now.since_us(self.waiting_since));
        }
        let (load, limit) = (self.expected_load(now), self.limit(now).max(1));
        // Targets near their limit are often slower.
        let contention_us = answer_us * load.min(limit) / limit / 2;
        let wait_us = answer_us * (load + 1).saturating_sub(limit) / limit;
        let time_us = (answer_us + contention_us + wait_us) * FULL_WEIGHT;
        // A failed call needs another attempt, or is lost.
        time_us / self.weight(now, slow_start_ms) * 1_000 / success * 1_000 / success
    }

    /// Time until the response as reported or observed last. None before the first response of
    /// the class.
    pub fn recent_us(&self, class: CallClass) -> Option<u64> {
        self.recent(class).map(|(us, _)| us)
    }

    /// Time until the response, and when it was reported or observed last.
    fn recent(&self, class: CallClass) -> Option<(u64, Instant)> {
        let observed = self.by_class.get(class).map(|(estimate, at)| (estimate.mean_us(), *at));
        let reported = self.reported_by_class.get(class).copied();
        let (us, at) = match (observed, reported) {
            (Some((own_us, own_at)), Some((us, at))) if at >= own_at => {
                let own_percent = 100 - REPORT_WEIGHT_PERCENT;
                ((own_us * own_percent + us * REPORT_WEIGHT_PERCENT) / 100, at)
            }
            (Some(observed), _) => observed,
            (None, reported) => reported?,
        };
        Some((us.max(UNKNOWN_LATENCY_US), at))
    }

    /// Expected time until the response. An excess over the baseline decays with age, so that a
    /// target that was slow once is tried again.
    fn answer_us(&self, now: Instant, baseline: LatencyBaseline) -> u64 {
        let Some((recent_us, at)) = self.recent(baseline.class) else {
            return baseline.reference_us;
        };
        let halvings = (now.since_us(at) / LATENCY_HALF_LIFE_US).min(32);
        let excess_us = recent_us.saturating_sub(baseline.reference_us);
        baseline.reference_us.min(recent_us) + (excess_us >> halvings)
    }
}

/// Expected latency of a target without recent observations.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyBaseline {
    pub class: CallClass,
    /// Time until the response, in microseconds.
    pub reference_us: u64,
}
