//! Rate limits that targets state in their responses.
//!
//! The owner of a target admits every call to it, so it alone applies the limit: a gate in the
//! admission control opens once per interval. To the ingresses the owner reports how many slots
//! the target can use at that rate, by which they choose other targets, and the limit, which they
//! tell the owner in case it has restarted.

use std::fmt;

use crate::time::Instant;

/// Microseconds per second.
const US_PER_S: f64 = 1_000_000.0;
/// Longest interval between two calls, in microseconds. A target that accepts no calls still
/// gets one at times, since only a response can end its limit.
const MAX_INTERVAL_US: u64 = 2_000_000;
/// Time by which calls may be ahead of the rate, in microseconds. It lets calls that arrive
/// close together pass without a wait.
const BURST_US: u64 = 250_000;

/// Rate of calls that a target accepts from all proxies together. It holds until a response of
/// the target states another one, or none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimit {
    /// Mean interval between two calls.
    interval_us: u64,
}

impl RateLimit {
    /// A limit in calls per second. None if the number is negative or not finite.
    pub fn per_second(calls: f64) -> Option<Self> {
        let is_valid = calls.is_finite() && calls >= 0.0;
        // The cast saturates. Without the sign, -0 is 0.
        let interval_us = (US_PER_S / calls.abs()) as u64;
        is_valid.then(|| Self::from_interval_us(interval_us))
    }

    /// A limit of one call in each interval, in microseconds.
    pub fn from_interval_us(interval_us: u64) -> Self {
        Self { interval_us: interval_us.clamp(1, MAX_INTERVAL_US) }
    }

    /// Mean interval between two calls, in microseconds.
    pub fn interval_us(self) -> u64 {
        self.interval_us
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} calls per second", US_PER_S / self.interval_us as f64)
    }
}

/// Gate in front of one target that states a rate limit (generic cell rate algorithm).
#[derive(Clone, Copy, Debug)]
pub(super) struct RateGate {
    limit: RateLimit,
    stated_at: Instant,
    admitted: u64,
    /// When the next call is due at the exact rate.
    next_due_at: Instant,
}

impl RateGate {
    pub fn new(limit: RateLimit, now: Instant) -> Self {
        Self { limit, stated_at: now, admitted: 0, next_due_at: now }
    }

    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Replaces the limit by one that a later response stated.
    pub fn set_limit(&mut self, limit: RateLimit, now: Instant) {
        self.limit = limit;
        // Calls admitted at a lower rate do not delay those at a higher one.
        self.next_due_at = self.next_due_at.min(now.plus_us(BURST_US + limit.interval_us));
    }

    /// Records a call that is sent to the target.
    pub fn record_call(&mut self, now: Instant) {
        self.admitted += 1;
        self.next_due_at = self.next_due_at.max(now).plus_us(self.limit.interval_us);
    }

    /// Time until the gate opens for the call at a position of the queue, in microseconds.
    pub fn wait_us(&self, position: usize, now: Instant) -> u64 {
        let due_at = self.next_due_at.plus_us(position as u64 * self.limit.interval_us);
        due_at.since_us(now).saturating_sub(BURST_US)
    }

    /// Whether a call may be sent to the target.
    pub fn is_open(&self, now: Instant) -> bool {
        self.wait_us(0, now) == 0
    }

    /// Number of slots that calls use at the stated rate if each holds one for `hold_us`.
    pub fn usable_slots(&self, hold_us: u64) -> u32 {
        u32::try_from(hold_us.div_ceil(self.limit.interval_us)).unwrap_or(u32::MAX).max(1)
    }

    /// What was admitted under limits, for the log.
    pub fn summary(&self, now: Instant) -> String {
        format!("{} calls in {} ms", self.admitted, now.since_ms(self.stated_at))
    }
}
