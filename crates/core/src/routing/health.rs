//! Outlier ejection: whether a target may receive calls, according to the outcomes of its
//! calls.

use crate::time::Instant;

/// Consecutive failures after which a target is ejected.
const MAX_FAILURES: u32 = 4;
/// Duration of the first ejection, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Maximum number of times that consecutive ejections double the duration.
const MAX_DOUBLINGS: u32 = 5;

/// Health of one target, according to the outcomes of its calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    is_probing: bool,
    success: SuccessRate,
}

/// Moving average of the share of successful calls of a target or a service. It recovers with time.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuccessRate {
    permille: u64,
    observed_at: Instant,
}

impl Default for SuccessRate {
    fn default() -> Self {
        Self { permille: 1_000, observed_at: Instant::ZERO }
    }
}

/// A new outcome has a weight of one in this number, for a target and for a service.
const SUCCESS_SMOOTHING: u64 = 10;
pub(super) const SERVICE_SUCCESS_SMOOTHING: u64 = 32;
/// Half-life of the weight of failures, in microseconds.
const SUCCESS_HALF_LIFE_US: u64 = 3_000_000;
/// Lower bound of the reported share, so that a target is tried again, in thousandths.
const MIN_SUCCESS_PERMILLE: u64 = 100;

impl SuccessRate {
    /// Recent share of successful calls, in thousandths.
    pub fn at(self, now: Instant) -> u64 {
        let halvings = (now.since_us(self.observed_at) / SUCCESS_HALF_LIFE_US).min(32);
        1_000 - ((1_000 - self.permille) >> halvings)
    }

    /// Records one outcome, in thousandths, with a weight of one in `smoothing`.
    pub fn observe(&mut self, permille: u64, smoothing: u64, now: Instant) {
        let before = self.at(now);
        self.permille = (before * (smoothing - 1) + permille) / smoothing;
        self.observed_at = now;
    }
}

impl Health {
    /// Records a successful call. Ends an ejection.
    pub fn record_success(&mut self, now: Instant) {
        let mut success = self.success;
        success.observe(1_000, SUCCESS_SMOOTHING, now);
        *self = Self { success, ..Self::default() };
    }

    /// Records a failed call in the success rate.
    pub fn note_failure(&mut self, now: Instant) {
        self.success.observe(0, SUCCESS_SMOOTHING, now);
    }

    /// Recent share of successful calls, in thousandths; never 0.
    pub fn success_permille(&self, now: Instant) -> u64 {
        self.success.at(now).max(MIN_SUCCESS_PERMILLE)
    }

    /// Counts a consecutive failure. Returns whether the target has to be ejected.
    pub fn count_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.is_probing = false;
        self.failures >= MAX_FAILURES || self.ejected_until.is_some()
    }

    /// Ejects the target, or ejects it again if its last ejection is over.
    pub fn eject(&mut self, now: Instant) {
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections = self.ejections.saturating_add(1);
        self.is_probing = false;
        self.ejected_until = Some(now.plus_ms(FIRST_EJECTION_MS << doublings));
    }

    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether an ejected target may receive one call as a probe.
    pub fn may_probe(&self, now: Instant) -> bool {
        !self.is_probing && self.ejected_until.is_some_and(|until| until <= now)
    }

    pub fn begin_probe(&mut self) {
        self.is_probing = true;
    }

    /// Ends a probe, also one without a result.
    pub fn end_probe(&mut self) {
        self.is_probing = false;
    }
}
