//! Rate limit for calls with large requests or responses to another region.
//!
//! The limit grows slowly while the link has capacity and calls use most of it. Queueing
//! delay on the link reduces it: the longer the delay, the larger the cut.

use crate::time::Instant;

/// Microseconds per second.
const US_PER_S: u64 = 1_000_000;
/// Queueing delay from which the link counts as saturated, in microseconds.
const FULL_LINK_DELAY_US: u64 = 50_000;
/// Queueing delay up to which the link counts as having capacity, in microseconds.
const FREE_LINK_DELAY_US: u64 = 20_000;
/// Minimum time between two cuts, in microseconds: what was sent before a cut has to leave the
/// link before its effect can be measured.
const MIN_CUT_INTERVAL_US: u64 = 600_000;
/// Time window over which calls are counted, in microseconds.
const COUNTING_WINDOW_US: u64 = 2_000_000;
/// Minimum time over which a rate is computed, in microseconds.
const MIN_COUNTING_US: u64 = 1_000_000;
/// Initial rate limit, in thousandths of a call per second.
const INITIAL_MILLICALLS_PER_S: u64 = 3_000;
/// Minimum rate limit, in thousandths of a call per second.
const MIN_MILLICALLS_PER_S: u64 = 200;
/// Growth of the limit per second until the link was saturated once, in percent.
const INITIAL_GROWTH_PERCENT: u64 = 25;
/// Growth of the limit per second after that, in percent.
const GROWTH_PERCENT: u64 = 2;
/// Additional growth of the limit per second, in thousandths of a call per second.
const GROWTH_MILLICALLS_PER_S: u64 = 150;
/// Share of the limit that calls must use for it to grow, in percent.
const USED_PERCENT: u64 = 80;
/// Cut at the queueing delay of a saturated link, in percent of the rate.
const CUT_PERCENT: u64 = 25;
/// Largest single cut, in percent of the rate.
const MAX_CUT_PERCENT: u64 = 50;
/// One call, in the unit of the token bucket.
const MICROCALLS_PER_CALL: u64 = 1_000_000;
/// Time over which unused tokens accumulate, in milliseconds.
const MAX_BURST_MS: u64 = 500;

/// Recent rate of large calls over the link, counted in two consecutive time windows.
#[derive(Clone, Copy, Debug, Default)]
struct SentRate {
    current: u64,
    /// Count of the previous window. None if the current window does not follow it directly.
    previous: Option<u64>,
    began_at: Instant,
}

impl SentRate {
    fn count(&mut self, now: Instant) {
        let elapsed_us = now.since_us(self.began_at);
        if elapsed_us >= COUNTING_WINDOW_US {
            self.previous = (elapsed_us < 2 * COUNTING_WINDOW_US).then_some(self.current);
            self.current = 0;
            self.began_at = now;
        }
        self.current += 1;
    }

    fn millicalls_per_s(&self, now: Instant) -> u64 {
        let previous_us = if self.previous.is_some() { COUNTING_WINDOW_US } else { 0 };
        let counted_us = (now.since_us(self.began_at) + previous_us).max(MIN_COUNTING_US);
        (self.current + self.previous.unwrap_or(0)) * 1_000 * US_PER_S / counted_us
    }
}

/// Rate limit with a token bucket.
#[derive(Debug)]
pub(super) struct BulkRate {
    sent: SentRate,
    millicalls_per_s: u64,
    /// Tokens in the bucket, as of `filled_at`.
    available_microcalls: u64,
    filled_at: Instant,
    cut_at: Instant,
    grown_at: Instant,
    /// Whether the link was ever saturated.
    was_saturated: bool,
}

impl BulkRate {
    pub fn new(now: Instant) -> Self {
        Self {
            sent: SentRate::default(),
            millicalls_per_s: INITIAL_MILLICALLS_PER_S,
            available_microcalls: MICROCALLS_PER_CALL,
            filled_at: now,
            cut_at: now,
            grown_at: now,
            was_saturated: false,
        }
    }

    fn available_microcalls(&self, now: Instant) -> u64 {
        let max_microcalls = (self.millicalls_per_s * MAX_BURST_MS).max(MICROCALLS_PER_CALL);
        (self.available_microcalls + self.millicalls_per_s * now.since_us(self.filled_at) / 1_000)
            .min(max_microcalls)
    }

    fn fill(&mut self, now: Instant) {
        self.available_microcalls = self.available_microcalls(now);
        self.filled_at = now;
    }

    /// Adjusts the limit to the queueing delay of the link. Returns the new limit, in
    /// thousandths of a call per second, if it was cut.
    pub fn adjust(&mut self, queueing_delay_us: u64, now: Instant) -> Option<u64> {
        let sent = self.sent.millicalls_per_s(now);
        // Without large calls of this proxy, only other traffic can cause the delay.
        if sent == 0 {
            return None;
        }
        if queueing_delay_us >= FULL_LINK_DELAY_US {
            return self.cut(queueing_delay_us, sent, now);
        }
        if queueing_delay_us <= FREE_LINK_DELAY_US {
            self.grow(sent, now);
        }
        None
    }

    /// Cuts the limit, unless the last cut cannot have taken effect yet.
    fn cut(&mut self, queueing_delay_us: u64, sent: u64, now: Instant) -> Option<u64> {
        self.was_saturated = true;
        if now.since_us(self.cut_at) < MIN_CUT_INTERVAL_US {
            return None;
        }
        self.fill(now);
        // The cut starts from the rate in use: a cut of unused capacity would have no effect.
        let used = self.millicalls_per_s.min(sent);
        let cut_percent =
            (CUT_PERCENT * queueing_delay_us / FULL_LINK_DELAY_US).min(MAX_CUT_PERCENT);
        self.millicalls_per_s = (used * (100 - cut_percent) / 100).max(MIN_MILLICALLS_PER_S);
        (self.cut_at, self.grown_at) = (now, now);
        Some(self.millicalls_per_s)
    }

    /// Raises the limit if calls use most of it.
    fn grow(&mut self, sent: u64, now: Instant) {
        let grown_us = now.since_us(self.grown_at).min(US_PER_S);
        self.grown_at = now;
        if sent < self.millicalls_per_s * USED_PERCENT / 100 {
            return;
        }
        self.fill(now);
        let percent = if self.was_saturated { GROWTH_PERCENT } else { INITIAL_GROWTH_PERCENT };
        let growth_per_s = self.millicalls_per_s * percent / 100 + GROWTH_MILLICALLS_PER_S;
        self.millicalls_per_s += growth_per_s * grown_us / US_PER_S;
    }

    /// Counts a large call that is sent over the link.
    pub fn begin(&mut self, now: Instant) {
        self.sent.count(now);
        self.fill(now);
        self.available_microcalls = self.available_microcalls.saturating_sub(MICROCALLS_PER_CALL);
    }

    /// Time after which the next large call may be sent, in milliseconds; 0 if it may be sent
    /// now.
    pub fn wait_ms(&self, now: Instant) -> u32 {
        let missing = MICROCALLS_PER_CALL.saturating_sub(self.available_microcalls(now));
        u32::try_from(missing.div_ceil(self.millicalls_per_s)).unwrap_or(u32::MAX)
    }
}
