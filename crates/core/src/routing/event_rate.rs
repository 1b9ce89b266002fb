//! Rate of events, over about the last half second.

use crate::time::Instant;

/// Time constant with which events lose weight, in microseconds. After a change of the rate the
/// estimate has nine tenths of the change within 1.2 s.
const TIME_CONSTANT_US: u64 = 500_000;
/// Steps in which the weight is decayed, in microseconds. Short against the time constant, so
/// that the decay is close to an exponential one without floating-point numbers.
const DECAY_STEP_US: u64 = 100_000;
/// Age at which events have no weight, in microseconds.
const MAX_AGE_US: u64 = 4_000_000;
/// Weight of one event.
const EVENT_WEIGHT: u64 = 1_000_000;

/// Exponentially decaying count of events.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventRate {
    weight: u64,
    updated_at: Instant,
}

impl EventRate {
    /// Counts an event.
    pub fn record(&mut self, now: Instant) {
        self.weight = self.weight_at(now) + EVENT_WEIGHT;
        self.updated_at = now;
    }

    /// Events per 1,000 s.
    pub fn per_1000_s(&self, now: Instant) -> u64 {
        self.weight_at(now) * 1_000 / TIME_CONSTANT_US
    }

    fn weight_at(&self, now: Instant) -> u64 {
        let mut age_us = now.since_us(self.updated_at);
        if age_us >= MAX_AGE_US {
            return 0;
        }
        let mut weight = self.weight;
        while age_us > 0 {
            let step_us = age_us.min(DECAY_STEP_US);
            weight = weight * TIME_CONSTANT_US / (TIME_CONSTANT_US + step_us);
            age_us -= step_us;
        }
        weight
    }
}
