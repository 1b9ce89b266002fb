//! Exponential backoff with full jitter for dials to one address.

use std::time::Duration;

use rand::Rng;

/// Upper bound of the first delay, in milliseconds.
const FIRST_DELAY_MS: u64 = 50;

/// Upper bound of every delay, in milliseconds.
const MAX_DELAY_MS: u64 = 1_000;

/// Number of consecutive failed dials.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a failed dial.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Resets the backoff after a successful dial.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay before the next dial: a random time up to a bound that doubles
    /// with each failure. The jitter keeps many processes from dialing simultaneously.
    pub fn delay(&self) -> Duration {
        if self.failures == 0 {
            return Duration::ZERO;
        }
        let doublings = (self.failures - 1).min(10);
        let bound_ms = (FIRST_DELAY_MS << doublings).min(MAX_DELAY_MS);
        Duration::from_millis(rand::rng().random_range(0..=bound_ms))
    }
}
