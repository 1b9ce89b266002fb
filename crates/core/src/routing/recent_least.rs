//! Minimum of recently observed values.

use crate::time::Instant;

/// Length of a time window, in microseconds.
const LIFE_US: u64 = 30_000_000;

/// Minimum over the current and the previous time window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentLeast {
    present: Option<i64>,
    last: Option<i64>,
    renewed_at: Instant,
}

impl RecentLeast {
    pub fn observe(&mut self, value: i64, now: Instant) {
        if now.since_us(self.renewed_at) >= LIFE_US {
            self.last = self.present.take();
            self.renewed_at = now;
        }
        self.present = Some(self.present.map_or(value, |least| least.min(value)));
    }

    /// The minimum. None if no value was observed.
    pub fn get(&self) -> Option<i64> {
        self.present.into_iter().chain(self.last).min()
    }

    /// Whether the current window began less than two window lengths ago. Otherwise no value
    /// was observed for at least one window length.
    pub fn is_recent(&self, now: Instant) -> bool {
        now.since_us(self.renewed_at) < 2 * LIFE_US
    }
}
