//! Minimum of recently observed values.

use crate::time::Instant;

/// Length of a time window, in microseconds.
const WINDOW_US: u64 = 30_000_000;

/// Minimum over the current and the previous time window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentMinimum {
    current: Option<i64>,
    previous: Option<i64>,
    window_began_at: Instant,
}

impl RecentMinimum {
    pub fn observe(&mut self, value: i64, now: Instant) {
        if now.since_us(self.window_began_at) >= WINDOW_US {
            self.previous = self.current.take();
            self.window_began_at = now;
        }
        self.current = Some(self.current.map_or(value, |minimum| minimum.min(value)));
    }

    /// The minimum. None if no value was observed.
    pub fn get(&self) -> Option<i64> {
        self.current.into_iter().chain(self.previous).min()
    }

    /// Whether the current window began less than two window lengths ago. Otherwise no value
    /// was observed for at least one window length.
    pub fn is_recent(&self, now: Instant) -> bool {
        now.since_us(self.window_began_at) < 2 * WINDOW_US
    }
}
