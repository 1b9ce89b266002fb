//! When refused callers should come back: `Retry-After` of refusals for lack of capacity.
//!
//! Each refusal reserves a place behind the callers that were refused before it, so that callers
//! come back at the rate at which capacity becomes available, and not all at once.

use super::event_rate::EventRate;
use crate::time::Instant;

/// Number of priorities that are told apart; lower ones share the last.
const PRIORITIES: usize = 4;
/// Part of the calls answered per second that is left to callers that come back: one in this
/// number. The rest serves new calls.
const SHARE_DIVISOR: u64 = 2;
/// Lowest assumed rate of answers, per 1,000 s. Used while nothing is answered.
const MIN_ANSWERS_PER_1000_S: u64 = 4_000;
/// Maximum time to come back, in milliseconds. What is known about capacity says nothing about
/// later.
const MAX_RETURN_MS: u64 = 4_000;

/// Callers of one service that this proxy refused for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReturnTimes {
    answers: EventRate,
    /// When capacity is expected for the next refused caller, by priority.
    capacity_at: [Instant; PRIORITIES],
}

impl ReturnTimes {
    /// Counts a call of the service that this proxy answered as its ingress.
    pub fn record_answer(&mut self, now: Instant) {
        self.answers.record(now);
    }

    /// Time after which a refused caller should come back, in milliseconds. `wait_ms` is the
    /// expected wait for a slot of a target.
    pub fn reserve_ms(&mut self, priority: u8, wait_ms: u32, now: Instant) -> u32 {
        let answers_per_1000_s = self.answers.per_1000_s(now).max(MIN_ANSWERS_PER_1000_S);
        let interval_us = 1_000_000_000 * SHARE_DIVISOR / answers_per_1000_s;
        let latest = now.plus_ms(MAX_RETURN_MS);
        let priority = usize::from(priority).min(PRIORITIES - 1);
        let earliest = now.plus_ms(u64::from(wait_ms));
        let at = self.capacity_at[priority].max(earliest).min(latest);
        // Callers of lower priority come back after those of higher priority.
        for capacity_at in &mut self.capacity_at[priority..] {
            *capacity_at = (*capacity_at).max(earliest).plus_us(interval_us).min(latest);
        }
        at.since_ms(now) as u32
    }
}
