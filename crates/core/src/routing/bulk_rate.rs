//! The rate of calls with large answers to another region: what it was lately,
//! and what it may be.
//!
//! The rate that is allowed grows a little while the link has room and calls make
//! use of it. Where bytes wait, it is cut: the more, the longer they wait.

use crate::time::Instant;

/// Microseconds of a second.
const US_PER_S: u64 = 1_000_000;
/// Time for which bytes wait on a full link, in microseconds.
const FULL_US: u64 = 50_000;
/// Time for which bytes wait at most on a link with room, in microseconds.
const ROOM_US: u64 = 20_000;
/// Time after a cut in which no other one is made, in microseconds: what was
/// sent before has to leave the link first.
const SETTLING_US: u64 = 600_000;
/// Time over which the rate of calls is counted, in microseconds.
const COUNTING_US: u64 = 2_000_000;
/// Least time over which a rate is taken, in microseconds.
const MIN_COUNTED_US: u64 = 1_000_000;
/// Rate before anything is known of the link, in thousandths of a call a second.
const FIRST_MILLICALLS_PER_S: u64 = 3_000;
/// Least rate, in thousandths of a call a second.
const MIN_MILLICALLS_PER_S: u64 = 200;
/// Growth of the rate a second until the link was full once, in percent.
const FIRST_GROWTH_PERCENT: u64 = 25;
/// Growth of the rate a second after that, in percent.
const GROWTH_PERCENT: u64 = 2;
/// Further growth a second, in thousandths of a call a second.
const GROWTH_MILLICALLS_PER_S: u64 = 150;
/// Share of the rate that calls must use for it to grow, in percent.
const USED_PERCENT: u64 = 80;
/// Share of the rate that is cut off on a full link, in percent.
const CUT_PERCENT: u64 = 25;
/// Largest share of the rate that is cut off at once, in percent.
const MAX_CUT_PERCENT: u64 = 50;
/// One call, in the unit in which calls are saved up.
const MICROCALLS_PER_CALL: u64 = 1_000_000;
/// Time for which calls may be saved up, in milliseconds.
const SAVED_MS: u64 = 500;

/// Calls with large answers that were sent across lately.
#[derive(Clone, Copy, Debug, Default)]
struct BegunRate {
    present: u64,
    /// Absent where none were sent in the stretch of time before the present one.
    last: Option<u64>,
    began_at: Instant,
}

impl BegunRate {
    fn count(&mut self, now: Instant) {
        let passed_us = now.since_us(self.began_at);
        if passed_us >= COUNTING_US {
            self.last = (passed_us < 2 * COUNTING_US).then_some(self.present);
            self.present = 0;
            self.began_at = now;
        }
        self.present += 1;
    }

    fn millicalls_per_s(&self, now: Instant) -> u64 {
        let last_us = if self.last.is_some() { COUNTING_US } else { 0 };
        let counted_us = (now.since_us(self.began_at) + last_us).max(MIN_COUNTED_US);
        (self.present + self.last.unwrap_or(0)) * 1_000 * US_PER_S / counted_us
    }
}

/// Rate at which calls with large answers may be sent across.
#[derive(Debug)]
pub(super) struct BulkRate {
    sent: BegunRate,
    millicalls_per_s: u64,
    /// Calls that may be sent at once, as of `filled_at`.
    saved_microcalls: u64,
    filled_at: Instant,
    cut_at: Instant,
    grown_at: Instant,
    /// Whether the link was full since it was first used.
    has_met_limit: bool,
}

impl BulkRate {
    pub fn new(now: Instant) -> Self {
        Self {
            sent: BegunRate::default(),
            millicalls_per_s: FIRST_MILLICALLS_PER_S,
            saved_microcalls: MICROCALLS_PER_CALL,
            filled_at: now,
            cut_at: now,
            grown_at: now,
            has_met_limit: false,
        }
    }

    fn saved_microcalls(&self, now: Instant) -> u64 {
        let most = (self.millicalls_per_s * SAVED_MS).max(MICROCALLS_PER_CALL);
        (self.saved_microcalls + self.millicalls_per_s * now.since_us(self.filled_at) / 1_000)
            .min(most)
    }

    fn fill(&mut self, now: Instant) {
        self.saved_microcalls = self.saved_microcalls(now);
        self.filled_at = now;
    }

    /// Follows the time for which bytes wait for the link. Returns the rate, in
    /// thousandths of a call a second, where it was cut.
    pub fn follow(&mut self, waited_us: u64, now: Instant) -> Option<u64> {
        let sent = self.sent.millicalls_per_s(now);
        // Where no large answer comes here, others fill the link.
        if sent == 0 {
            return None;
        }
        if waited_us >= FULL_US {
            return self.cut(waited_us, sent, now);
        }
        if waited_us <= ROOM_US {
            self.grow(sent, now);
        }
        None
    }

    /// Cuts the rate, but not sooner than the last cut shows.
    fn cut(&mut self, waited_us: u64, sent: u64, now: Instant) -> Option<u64> {
        self.has_met_limit = true;
        if now.since_us(self.cut_at) < SETTLING_US {
            return None;
        }
        self.fill(now);
        // To take away what calls make no use of would be no cut.
        let used = self.millicalls_per_s.min(sent);
        let cut_percent = (CUT_PERCENT * waited_us / FULL_US).min(MAX_CUT_PERCENT);
        self.millicalls_per_s = (used * (100 - cut_percent) / 100).max(MIN_MILLICALLS_PER_S);
        (self.cut_at, self.grown_at) = (now, now);
        Some(self.millicalls_per_s)
    }

    /// Lets the rate grow where calls make use of it.
    fn grow(&mut self, sent: u64, now: Instant) {
        let grown_us = now.since_us(self.grown_at).min(US_PER_S);
        self.grown_at = now;
        if sent < self.millicalls_per_s * USED_PERCENT / 100 {
            return;
        }
        self.fill(now);
        let percent = if self.has_met_limit { GROWTH_PERCENT } else { FIRST_GROWTH_PERCENT };
        let a_second = self.millicalls_per_s * percent / 100 + GROWTH_MILLICALLS_PER_S;
        self.millicalls_per_s += a_second * grown_us / US_PER_S;
    }

    /// A call with a large answer is sent across.
    pub fn begin(&mut self, now: Instant) {
        self.sent.count(now);
        self.fill(now);
        self.saved_microcalls = self.saved_microcalls.saturating_sub(MICROCALLS_PER_CALL);
    }

    /// Time after which a call may be sent, in milliseconds; 0 where one may now.
    pub fn wait_ms(&self, now: Instant) -> u32 {
        let missing = MICROCALLS_PER_CALL.saturating_sub(self.saved_microcalls(now));
        u32::try_from(missing.div_ceil(self.millicalls_per_s)).unwrap_or(u32::MAX)
    }
}
