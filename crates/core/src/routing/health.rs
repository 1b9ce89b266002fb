//! Ejection of a target by the outcomes of its calls.

use crate::time::Instant;

/// Failures in a row after which a target is ejected.
const MAX_FAILURES: u32 = 4;
/// First time for which a target is ejected, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Ejections in a row that double the time.
const MAX_DOUBLINGS: u32 = 5;

/// Whether a target may be given calls, by its outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
    success: SuccessShare,
}

/// Share of calls that went well lately.
#[derive(Clone, Copy, Debug)]
struct SuccessShare {
    permille: u64,
    observed_at: Instant,
}

impl Default for SuccessShare {
    fn default() -> Self {
        Self { permille: 1_000, observed_at: Instant::ZERO }
    }
}

/// Weight of a new outcome is one in this many.
const SUCCESS_SMOOTHING: u64 = 10;
/// Time after which failures count for half, in microseconds.
const SUCCESS_HALF_LIFE_US: u64 = 3_000_000;
/// Least share that is told, so that a target is tried again, in thousandths.
const MIN_SUCCESS_PERMILLE: u64 = 100;

impl SuccessShare {
    fn at(self, now: Instant) -> u64 {
        let halvings = (now.since_us(self.observed_at) / SUCCESS_HALF_LIFE_US).min(32);
        1_000 - ((1_000 - self.permille) >> halvings)
    }

    fn observe(&mut self, permille: u64, now: Instant) {
        let before = self.at(now);
        self.permille = (before * (SUCCESS_SMOOTHING - 1) + permille) / SUCCESS_SMOOTHING;
        self.observed_at = now;
    }
}

impl Health {
    /// A call went well: the target is given calls again.
    pub fn succeed(&mut self, now: Instant) {
        let mut success = self.success;
        success.observe(1_000, now);
        *self = Self { success, ..Self::default() };
    }

    /// A call did not go well, whatever the reason.
    pub fn note_failure(&mut self, now: Instant) {
        self.success.observe(0, now);
    }

    /// Share of calls that went well lately, in thousandths; never 0.
    pub fn success_permille(&self, now: Instant) -> u64 {
        self.success.at(now).max(MIN_SUCCESS_PERMILLE)
    }

    /// A call failed. Returns whether the target ought to be ejected.
    pub fn fail(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.probing = false;
        self.failures >= MAX_FAILURES || self.ejected_until.is_some()
    }

    /// Ejects the target, or again where its last ejection is over.
    pub fn eject(&mut self, now: Instant) {
        if self.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        self.ejections = self.ejections.saturating_add(1);
        self.probing = false;
        self.ejected_until = Some(now.plus_ms(FIRST_EJECTION_MS << doublings));
    }

    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether an ejected target may be given one call to see how it goes.
    pub fn may_probe(&self, now: Instant) -> bool {
        !self.probing && self.ejected_until.is_some_and(|until| until <= now)
    }

    pub fn begin_probe(&mut self) {
        self.probing = true;
    }

    /// A probe ended without saying anything of the target.
    pub fn end_probe(&mut self) {
        self.probing = false;
    }
}
