//! Concurrency that a target handles well and how fast it is, as observed by its owner.
//!
//! Holding times of calls and the number of calls in flight rise together for two reasons: more
//! concurrent calls slow the target down, and a slower target has more calls in flight. The two
//! cannot be told apart by observation alone, so the limit is lowered only by a trial. While the
//! target is full and calls take clearly longer than at low concurrency, the limit is lowered for
//! a short time. The lower limit stays if the target finishes as much work as before. A lowered
//! limit is tested in the other direction in the same way, and removed as soon as more
//! concurrency finishes more work.
//!
//! Work is counted in reference time: the mean hold time of the class at low concurrency. A
//! change in the mix of classes thus does not look like a change of the target.

use super::call::{CallClass, CapacityReport};
use super::estimate::ByClass;
use crate::time::Instant;

/// Time constant of the mean hold times that are reported, in microseconds: shorter than the 2 s
/// within which a change has to be followed, longer than most interference by neighbours.
const HOLD_WINDOW_US: u64 = 1_000_000;
/// Maximum weight of a new observation in these means after the first few, for classes with few
/// calls.
const MAX_HOLD_WEIGHT: f64 = 0.25;
/// Weight of a new observation in the reference time of a class, and number of observations from
/// which on it is used.
const REFERENCE_WEIGHT: f64 = 1.0 / 32.0;
const MIN_REFERENCE_CALLS: u32 = 8;
/// Minimum duration of one measurement, and number of calls, also for one that ends a trial. With
/// fewer calls the variation of their work hides the effect of the limit.
const MIN_WINDOW_US: u64 = 300_000;
const MIN_WINDOW_CALLS: u32 = 12;
const MIN_TRIAL_CALLS: u32 = 18;
/// Share of the limit that is in use on average in a window in which the target counts as full.
const FULL_PERMILLE: u64 = 900;
/// Ratio of hold times to reference times from which on the limit may be too high.
const SLOW_RATIO: f64 = 1.3;
/// Time for which the target must be full and slow before a lower limit is tried, in
/// microseconds. Other workloads slow a machine down for about 0.6 s.
const SLOW_FOR_US: u64 = 700_000;
/// A lower limit is tried if it is at most this share of the present one, in percent. The effect
/// of a smaller change is less than the variation between measurements.
const MAX_LOWERED_PERCENT: u32 = 80;
/// A lower limit is kept if at least this share of the work is finished.
const KEPT_WORK: f64 = 0.9;
/// A higher limit is kept if the work finished rises by this share of the rise of the limit.
const MIN_GAIN: f64 = 0.25;
/// Time for which a lowered limit stays before a higher one is tried, in microseconds.
const RAISE_AFTER_US: u64 = 400_000;
/// Time until the next trial of a lower limit after one that failed, in microseconds. It doubles
/// with each further failure up to the maximum, because each trial costs work.
const FIRST_BACKOFF_US: u64 = 2_000_000;
const MAX_BACKOFF_US: u64 = 32_000_000;
/// Time for which a stated pace applies, in microseconds. Targets state it with each response.
const PACE_LIFETIME_US: u64 = 500_000;
/// Usual pace, and the range of paces that is believed, in percent.
const USUAL_PACE_PERCENT: u32 = 100;
const MIN_PACE_PERCENT: u32 = 20;
const MAX_PACE_PERCENT: u32 = 1_000;

/// Sums over time at the start of a call, by which means over the call are calculated at its end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct CapacityMark {
    pub at: Instant,
    /// Number of calls in flight, summed over time.
    slots_us: u64,
    /// Pace in percent, summed over time.
    paces_us: u64,
}

/// Mean of recent observations, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
struct RecentMean {
    mean_us: f64,
    samples: u32,
    observed_at: Instant,
}

impl RecentMean {
    fn observe(&mut self, us: u64, now: Instant) {
        let elapsed_us = now.since_us(self.observed_at);
        let by_age = elapsed_us as f64 / (elapsed_us + HOLD_WINDOW_US) as f64;
        self.samples = self.samples.saturating_add(1);
        let weight = by_age.min(MAX_HOLD_WEIGHT).max(1.0 / f64::from(self.samples));
        self.mean_us += (us as f64 - self.mean_us) * weight.min(1.0);
        self.observed_at = now;
    }
}

/// What was observed of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTimes {
    recent: RecentMean,
    /// Mean hold time at low concurrency, and number of calls of which it is the mean.
    low_us: f64,
    low_calls: u32,
    /// Mean of the first hold times, used until there were calls at low concurrency.
    early_us: f64,
    early_calls: u32,
}

impl ClassTimes {
    fn observe_early(&mut self, held_us: f64) {
        if self.early_calls < MIN_REFERENCE_CALLS {
            self.early_calls += 1;
            self.early_us += (held_us - self.early_us) / f64::from(self.early_calls);
        }
    }

    fn observe_low(&mut self, held_us: f64) {
        self.low_calls = self.low_calls.saturating_add(1);
        let weight = REFERENCE_WEIGHT.max(1.0 / f64::from(self.low_calls));
        self.low_us += (held_us - self.low_us) * weight;
    }

    /// Reference time of a call. None before enough calls at low concurrency.
    fn reference_us(&self) -> Option<f64> {
        let has_early = self.early_calls >= MIN_REFERENCE_CALLS;
        let has_low = self.low_calls >= MIN_REFERENCE_CALLS;
        has_low.then_some(self.low_us).or(has_early.then_some(self.early_us))
    }
}

/// One measurement of the work that the target finishes.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    began: CapacityMark,
    calls: u32,
    /// Sums over the calls that ended.
    held_us: f64,
    reference_us: f64,
}

/// Result of a measurement.
#[derive(Clone, Copy, Debug)]
struct Measured {
    /// Work finished per time: the mean number of slots if each call took its reference time.
    work: f64,
    /// Hold times in relation to reference times.
    ratio: f64,
    is_full: bool,
}

/// A limit that is being tried.
#[derive(Clone, Copy, Debug)]
struct Trial {
    previous_limit: u32,
    previous_work: f64,
    /// Whether the calls in flight have come down to the limit.
    has_settled: bool,
}

/// Observations of one target.
#[derive(Debug)]
pub(super) struct TargetCapacity {
    announced: u32,
    limit: u32,
    in_flight: u32,
    /// Sums up to the last change.
    sums: CapacityMark,
    pace_percent: u32,
    pace_until: Instant,
    classes: ByClass<ClassTimes>,
    window: Window,
    trial: Option<Trial>,
    /// Since when the target is full and slow.
    slow_since: Option<Instant>,
    /// Work measured in the window before, if the target was full and slow in it.
    previous_work: Option<f64>,
    lower_after: Instant,
    raise_after: Instant,
    backoff_us: u64,
}

impl Default for TargetCapacity {
    fn default() -> Self {
        Self {
            announced: 0,
            limit: 0,
            in_flight: 0,
            sums: CapacityMark::default(),
            pace_percent: USUAL_PACE_PERCENT,
            pace_until: Instant::ZERO,
            classes: ByClass::default(),
            window: Window::default(),
            trial: None,
            slow_since: None,
            previous_work: None,
            lower_after: Instant::ZERO,
            raise_after: Instant::ZERO,
            backoff_us: FIRST_BACKOFF_US,
        }
    }
}

impl TargetCapacity {
    /// Sets the number of slots that the target announces. A change removes a lowered limit.
    pub fn set_announced(&mut self, slots: u32) {
        if slots != self.announced {
            (self.announced, self.limit) = (slots, slots);
            self.trial = None;
        }
    }

    /// Forgets the observations, because the target has started again.
    pub fn reset(&mut self) {
        let Self { announced, in_flight, sums, .. } = *self;
        *self = Self { announced, limit: announced, in_flight, sums, ..Self::default() };
        self.window.began = sums;
    }

    /// Number of slots that the target announces.
    pub fn announced(&self) -> u32 {
        self.announced
    }

    /// Number of slots that calls can use: between 1 and the announced slots, or 0 if the target
    /// announces none.
    pub fn usable_slots(&self) -> u32 {
        self.limit
    }

    /// How long work takes at the target at this moment, in percent of the usual time.
    pub fn pace_percent(&self, now: Instant) -> u32 {
        if now < self.pace_until { self.pace_percent } else { USUAL_PACE_PERCENT }
    }

    /// Records the pace that the target states with a response.
    pub fn record_pace(&mut self, percent: u32, now: Instant) {
        self.advance(now);
        self.pace_percent = percent.clamp(MIN_PACE_PERCENT, MAX_PACE_PERCENT);
        self.pace_until = now.plus_us(PACE_LIFETIME_US);
    }

    /// Sums at this time, for a call that begins.
    pub fn mark(&self, now: Instant) -> CapacityMark {
        let elapsed_us = now.since_us(self.sums.at);
        let paced_us = self.pace_until.since_us(self.sums.at).min(elapsed_us);
        let paces_us = u64::from(self.pace_percent) * paced_us
            + u64::from(USUAL_PACE_PERCENT) * (elapsed_us - paced_us);
        CapacityMark {
            at: now,
            slots_us: self.sums.slots_us + u64::from(self.in_flight) * elapsed_us,
            paces_us: self.sums.paces_us + paces_us,
        }
    }

    fn advance(&mut self, now: Instant) {
        self.sums = self.mark(now);
    }

    /// Records the number of calls in flight from now on.
    pub fn set_in_flight(&mut self, in_flight: u32, now: Instant) {
        self.advance(now);
        self.in_flight = in_flight;
    }

    /// Mean pace since the start of a call, in percent.
    pub fn mean_pace_percent(&self, since: CapacityMark, now: Instant) -> u32 {
        let mean = (self.mark(now).paces_us - since.paces_us).checked_div(now.since_us(since.at));
        mean.map_or(USUAL_PACE_PERCENT, |percent| percent as u32)
    }

    /// Records a call that the target completed, before its slot is released.
    pub fn observe(&mut self, class: CallClass, since: CapacityMark, now: Instant) {
        self.advance(now);
        let held_us = now.since_us(since.at);
        let slots_us = self.sums.slots_us - since.slots_us;
        let is_low = slots_us <= held_us * u64::from(self.announced / 2).max(1);
        let Some(times) = self.classes.entry(class) else { return };
        times.recent.observe(held_us, now);
        let held_us = held_us as f64;
        times.observe_early(held_us);
        if is_low {
            times.observe_low(held_us);
        }
        if let Some(reference_us) = times.reference_us() {
            self.window.calls += 1;
            self.window.held_us += held_us;
            self.window.reference_us += reference_us;
        }
        self.settle();
        if let Some(measured) = self.take_measurement(now) {
            self.evaluate(measured, now);
        }
    }

    /// Restarts the measurement of a trial when the calls in flight have come down to its limit.
    fn settle(&mut self) {
        let Some(trial) = &mut self.trial else { return };
        if !trial.has_settled && self.in_flight <= self.limit {
            trial.has_settled = true;
            self.window = Window { began: self.sums, ..Window::default() };
        }
    }

    /// Result of the current window if it is long enough. Begins the next one.
    fn take_measurement(&mut self, now: Instant) -> Option<Measured> {
        let window = self.window;
        let elapsed_us = now.since_us(window.began.at);
        let has_settled = self.trial.is_none_or(|trial| trial.has_settled);
        let min_calls = if self.trial.is_some() { MIN_TRIAL_CALLS } else { MIN_WINDOW_CALLS };
        if !has_settled || window.calls < min_calls || elapsed_us < MIN_WINDOW_US {
            return None;
        }
        let slots_us = self.sums.slots_us - window.began.slots_us;
        self.window = Window { began: self.sums, ..Window::default() };
        Some(Measured {
            work: window.reference_us / elapsed_us as f64,
            ratio: window.held_us / window.reference_us.max(1.0),
            is_full: slots_us * 1_000 >= elapsed_us * u64::from(self.limit) * FULL_PERMILLE,
        })
    }

    fn evaluate(&mut self, measured: Measured, now: Instant) {
        if let Some(trial) = self.trial.take() {
            return self.end_trial(trial, measured, now);
        }
        if !measured.is_full {
            // A limit that is not reached has no effect, and a change would not show.
            self.limit = self.announced;
            (self.slow_since, self.previous_work) = (None, None);
        } else if self.limit < self.announced {
            if now >= self.raise_after {
                let raised = self.limit + self.limit.div_ceil(2);
                self.begin_trial(raised.min(self.announced), measured);
            }
        } else if measured.ratio < SLOW_RATIO {
            (self.slow_since, self.previous_work) = (None, None);
        } else {
            let since = *self.slow_since.get_or_insert(now);
            let lowered = (f64::from(self.limit) / measured.ratio).round() as u32;
            let lowered = lowered.clamp(self.limit.div_ceil(3), self.limit);
            let is_lower = lowered * 100 <= self.limit * MAX_LOWERED_PERCENT;
            let is_slow = now.since_us(since) >= SLOW_FOR_US;
            // The mean of two measurements varies less.
            let before = self.previous_work.replace(measured.work).unwrap_or(measured.work);
            if is_slow && now >= self.lower_after && is_lower {
                let work = (before + measured.work) / 2.0;
                self.begin_trial(lowered, Measured { work, ..measured });
            }
        }
    }

    fn begin_trial(&mut self, limit: u32, measured: Measured) {
        let previous_limit = self.limit;
        let has_settled = self.in_flight <= limit && limit < previous_limit;
        self.trial = Some(Trial { previous_limit, previous_work: measured.work, has_settled });
        self.limit = limit;
        (self.slow_since, self.previous_work) = (None, None);
    }

    fn end_trial(&mut self, trial: Trial, measured: Measured, now: Instant) {
        let Trial { previous_limit, previous_work, .. } = trial;
        let gain = measured.work / previous_work.max(f64::MIN_POSITIVE) - 1.0;
        if self.limit < previous_limit {
            if measured.is_full && 1.0 + gain >= KEPT_WORK {
                self.raise_after = now.plus_us(RAISE_AFTER_US);
                self.backoff_us = FIRST_BACKOFF_US;
                return;
            }
            self.limit = previous_limit;
            self.lower_after = now.plus_us(self.backoff_us);
            self.backoff_us = (self.backoff_us * 2).min(MAX_BACKOFF_US);
            return;
        }
        let rise = f64::from(self.limit) / f64::from(previous_limit.max(1)) - 1.0;
        if !measured.is_full || gain >= rise * MIN_GAIN {
            // The target may be as good as before. If it is not, the next trial shows it.
            self.limit = self.announced;
        } else {
            self.limit = previous_limit;
            self.raise_after = now.plus_us(RAISE_AFTER_US);
        }
    }

    /// What the owner reports about the target for calls of a class.
    pub fn report(&self, class: CallClass) -> CapacityReport {
        let hold_us = self.classes.get(class).map_or(0.0, |times| times.recent.mean_us);
        CapacityReport { usable_slots: self.limit, hold_us: hold_us as u32 }
    }
}
