//! The least of the values that were observed lately.

use crate::time::Instant;

/// Time after which the least value is taken anew, in microseconds.
const LIFE_US: u64 = 30_000_000;

/// Least value over the present and the last life.
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

    /// The least value. None where none was observed.
    pub fn get(&self) -> Option<i64> {
        self.present.into_iter().chain(self.last).min()
    }

    /// Whether the present life began no longer ago than two lives. Where it did not, no
    /// value was observed for at least one.
    pub fn is_recent(&self, now: Instant) -> bool {
        now.since_us(self.renewed_at) < 2 * LIFE_US
    }
}
