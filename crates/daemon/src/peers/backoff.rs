//! Full-jitter backoff of dials to one address.

use std::time::Duration;

use rand::Rng;

/// Upper bound of the first wait, in milliseconds.
const FIRST_WAIT_MS: u64 = 50;

/// Upper bound of every wait, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// Failed dials in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// A dial failed.
    pub fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// A connection was made.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// How long to wait before the next dial: anywhere up to a bound that
    /// doubles with each failure, so that many processes do not dial in step.
    pub fn wait(&self) -> Duration {
        if self.failures == 0 {
            return Duration::ZERO;
        }
        let doublings = (self.failures - 1).min(10);
        let bound_ms = (FIRST_WAIT_MS << doublings).min(MAX_WAIT_MS);
        Duration::from_millis(rand::rng().random_range(0..=bound_ms))
    }
}
