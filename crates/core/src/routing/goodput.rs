//! Limit of the new work at one target whose requests end in server errors, because the calls
//! that they make fail.
//!
//! If a service that requests depend on is overloaded, the requests run in vain: their callers
//! come back, the slots stay full of work that will fail, and the overload does not end with its
//! cause. So the owner of a target counts how its requests end. While a share of them fails, it
//! reduces the number of concurrent requests towards the number that is finished, and it
//! increases that number again as soon as they succeed.
//!
//! Errors of another cause (a faulty release) do not depend on the number of requests, so there
//! is a limit only while this proxy refuses calls to other services for lack of capacity. Some
//! requests are always admitted.

use crate::time::Instant;

/// Time between two changes of the limit, in milliseconds.
const STEP_MS: u64 = 250;
/// Time after a reduction during which ends are not counted, in milliseconds: those requests
/// were admitted before it.
const SETTLE_MS: u64 = 250;
/// Share of failed requests from which on the limit is reduced, in percent. Lower shares are
/// common without overload.
const HIGH_FAILURE_PERCENT: u32 = 20;
/// Share of failed requests below which the limit is increased, in percent.
const LOW_FAILURE_PERCENT: u32 = 10;
/// Failed requests within one step from which on a limit is set.
const MIN_FAILURES: u32 = 3;
/// One slot in this number is always available to new work.
const SLOTS_PER_FLOOR_SLOT: u32 = 6;
/// Time without an end after which the limit expires, in milliseconds.
const LIFETIME_MS: u64 = 2_000;
/// Unit of the limit: thousandths of a slot.
const MILLI: u32 = 1_000;
/// First increase after a reduction, in thousandths of a slot. It doubles with each step without
/// failures: small near the limit at which requests failed, and at all slots within 2 s.
const FIRST_INCREASE_MILLI: u32 = 250;

/// Change of the limit, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GoodputChange {
    /// New work is limited from now on.
    Limited {
        /// Share of requests that failed, in percent.
        failed_percent: u32,
    },
    /// New work is no longer limited.
    Unlimited,
}

/// How a request ended that held a slot of the target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestEnd {
    /// Whether it ended with a server error or timed out.
    pub is_failure: bool,
    /// Slots of the target.
    pub slots: u32,
    /// Whether other services refused calls for lack of capacity within the last second.
    pub others_lack_capacity: bool,
}

/// Limit of the new work at one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Goodput {
    /// Maximum number of concurrent requests in thousandths. None if not limited.
    limit_milli: Option<u32>,
    finished: u32,
    failed: u32,
    /// When the current step begins to count, and when it ends.
    counts_from: Instant,
    step_ends_at: Instant,
    expires_at: Instant,
    /// Next increase of the limit, in thousandths of a slot.
    increase_milli: u32,
}

impl Goodput {
    /// Maximum number of concurrent requests. None if not limited.
    pub fn limit(&self, now: Instant) -> Option<u32> {
        let limit_milli = self.limit_milli.filter(|_| now < self.expires_at)?;
        Some((limit_milli / MILLI).max(1))
    }

    /// Counts the end of a request. Returns whether the target has become limited or unlimited.
    pub fn record_end(&mut self, end: RequestEnd, now: Instant) -> Option<GoodputChange> {
        if self.limit_milli.is_some() && now >= self.expires_at {
            self.limit_milli = None;
            self.begin_step(now, 0);
        }
        self.expires_at = now.plus_ms(LIFETIME_MS);
        if now < self.counts_from {
            return None;
        }
        self.failed += u32::from(end.is_failure);
        self.finished += u32::from(!end.is_failure);
        if now < self.step_ends_at {
            return None;
        }
        let failed_percent = self.failed * 100 / (self.failed + self.finished);
        match self.limit_milli {
            None => self.check_unlimited(failed_percent, end, now),
            Some(limit_milli) => self.check_limited(limit_milli, failed_percent, end, now),
        }
    }

    fn check_unlimited(
        &mut self,
        failed_percent: u32,
        end: RequestEnd,
        now: Instant,
    ) -> Option<GoodputChange> {
        let is_failing = self.failed >= MIN_FAILURES && failed_percent >= HIGH_FAILURE_PERCENT;
        if !is_failing || !end.others_lack_capacity {
            self.begin_step(now, 0);
            return None;
        }
        self.reduce(end.slots * MILLI, failed_percent, end.slots, now);
        Some(GoodputChange::Limited { failed_percent })
    }

    fn check_limited(
        &mut self,
        limit_milli: u32,
        failed_percent: u32,
        end: RequestEnd,
        now: Instant,
    ) -> Option<GoodputChange> {
        if failed_percent >= HIGH_FAILURE_PERCENT {
            if !end.others_lack_capacity {
                return self.remove_limit(now);
            }
            self.reduce(limit_milli, failed_percent, end.slots, now);
            return None;
        }
        if failed_percent < LOW_FAILURE_PERCENT {
            let limit_milli = limit_milli + self.increase_milli;
            self.increase_milli = self.increase_milli.saturating_mul(2);
            if limit_milli >= end.slots * MILLI {
                return self.remove_limit(now);
            }
            self.limit_milli = Some(limit_milli);
        }
        self.begin_step(now, 0);
        None
    }

    /// Reduces a limit to the share of it that is finished, at most by half.
    fn reduce(&mut self, limit_milli: u32, failed_percent: u32, slots: u32, now: Instant) {
        let floor_milli = slots.div_ceil(SLOTS_PER_FLOOR_SLOT) * MILLI;
        let finished_percent = (100 - failed_percent).max(50);
        self.limit_milli = Some((limit_milli / 100 * finished_percent).max(floor_milli));
        self.increase_milli = FIRST_INCREASE_MILLI;
        self.begin_step(now, SETTLE_MS);
    }

    fn remove_limit(&mut self, now: Instant) -> Option<GoodputChange> {
        self.limit_milli = None;
        self.begin_step(now, 0);
        Some(GoodputChange::Unlimited)
    }

    fn begin_step(&mut self, now: Instant, settle_ms: u64) {
        (self.finished, self.failed) = (0, 0);
        self.counts_from = now.plus_ms(settle_ms);
        self.step_ends_at = now.plus_ms(settle_ms + STEP_MS);
    }
}
