//! The link to another region, as this proxy observes it.
//!
//! Where a region has no target for calls with large answers, all of them go
//! to another one, and together they can fill the link between the two. Then
//! every call across it waits, also those that need little. Nobody is told the
//! rate of the link, so it is observed: the time that calls spend on the way,
//! above the least, is the time for which bytes wait for the link. While that
//! is long, this proxy sends fewer calls with large answers across; the others
//! are refused at once. All proxies of a region observe the same link, so they
//! slow down together.

use crate::time::Instant;

/// Time over which the least time on the way is taken, in microseconds: one
/// packet that was lost, or a new connection, must not count as a full link.
const SAMPLING_US: u64 = 150_000;
/// Fewest calls of which the least time on the way is taken: one alone may have
/// waited behind one large answer.
const MIN_SAMPLED: u32 = 3;
/// Time for which bytes wait on a full link, in microseconds.
const FULL_US: u64 = 50_000;
/// Time for which bytes wait at most on a link with room, in microseconds.
const ROOM_US: u64 = 20_000;
/// Time after a cut in which no other one is made, in microseconds: what was
/// sent before has to leave the link first.
const SETTLING_US: u64 = 600_000;
/// Time after which the least time on the way is taken anew, in microseconds.
const BASE_LIFE_US: u64 = 30_000_000;
/// Time over which the rate of calls is counted, in microseconds.
const COUNTING_US: u64 = 2_000_000;
/// Least time over which a rate is taken, in microseconds.
const MIN_COUNTED_US: u64 = 1_000_000;
/// Rate before anything is known of the link, in thousandths of a call a second.
const FIRST_RATE: u64 = 3_000;
/// Least rate, in thousandths of a call a second.
const MIN_RATE: u64 = 200;
/// Growth of the rate a second until the link was full once, in percent.
const FIRST_GROWTH_PERCENT: u64 = 25;
/// Growth of the rate a second after that, in percent.
const GROWTH_PERCENT: u64 = 2;
/// Further growth a second, in thousandths of a call a second.
const GROWTH: u64 = 150;
/// Share of the rate that calls must use for it to grow, in percent.
const USED_PERCENT: u64 = 80;
/// Share of the rate that is cut off on a full link, in percent.
const CUT_PERCENT: u64 = 25;
/// Largest share of the rate that is cut off at once, in percent.
const MAX_CUT_PERCENT: u64 = 50;
/// One call, in the unit of tokens.
const CALL: u64 = 1_000_000;
/// Time for which calls may be saved up, in thousandths of a second.
const SAVED_MS: u64 = 500;

/// The link to one other region.
#[derive(Debug)]
pub(super) struct RegionLink {
    base: Base,
    sample: Option<Sample>,
    begun: BegunRate,
    bound: Bound,
}

/// Fewer calls with large answers are sent across from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BoundChange {
    /// The rate, in thousandths of a call a second.
    pub rate: u64,
    /// Time for which bytes wait for the link.
    pub waited_us: u64,
}

/// Least time on the way that was observed in one stretch of time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    least_us: u64,
    calls: u32,
    ends_at: Instant,
}

/// Least time on the way, over the present and the last life of it.
#[derive(Clone, Copy, Debug, Default)]
struct Base {
    present_us: Option<u64>,
    last_us: Option<u64>,
    renewed_at: Instant,
}

impl Base {
    fn observe(&mut self, us: u64, now: Instant) {
        if now.since_us(self.renewed_at) >= BASE_LIFE_US {
            self.last_us = self.present_us.take();
            self.renewed_at = now;
        }
        self.present_us = Some(self.present_us.map_or(us, |least| least.min(us)));
    }

    fn least_us(&self) -> u64 {
        self.present_us.into_iter().chain(self.last_us).min().unwrap_or(0)
    }
}

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

    /// In thousandths of a call a second.
    fn per_s(&self, now: Instant) -> u64 {
        let last_us = if self.last.is_some() { COUNTING_US } else { 0 };
        let counted_us = (now.since_us(self.began_at) + last_us).max(MIN_COUNTED_US);
        (self.present + self.last.unwrap_or(0)) * 1_000 * 1_000_000 / counted_us
    }
}

/// Rate at which calls with large answers may be sent across.
#[derive(Clone, Copy, Debug)]
struct Bound {
    /// In thousandths of a call a second.
    rate: u64,
    /// Calls that may be sent now, in millionths.
    tokens: u64,
    filled_at: Instant,
    cut_at: Instant,
    grown_at: Instant,
    /// Whether the link was full since it was first used.
    has_met_limit: bool,
}

impl Bound {
    fn new(now: Instant) -> Self {
        Self {
            rate: FIRST_RATE,
            tokens: CALL,
            filled_at: now,
            cut_at: now,
            grown_at: now,
            has_met_limit: false,
        }
    }

    fn tokens(&self, now: Instant) -> u64 {
        let most = (self.rate * SAVED_MS).max(CALL);
        (self.tokens + self.rate * now.since_us(self.filled_at) / 1_000).min(most)
    }

    fn fill(&mut self, now: Instant) {
        self.tokens = self.tokens(now);
        self.filled_at = now;
    }

    /// Returns the rate, where it is cut: not sooner than the last cut shows.
    fn cut(&mut self, waited_us: u64, sent: u64, now: Instant) -> Option<u64> {
        if now.since_us(self.cut_at) < SETTLING_US {
            return None;
        }
        self.fill(now);
        // To take away what calls make no use of would be no cut.
        let used = self.rate.min(sent);
        let cut_percent = (CUT_PERCENT * waited_us / FULL_US).min(MAX_CUT_PERCENT);
        self.rate = (used * (100 - cut_percent) / 100).max(MIN_RATE);
        (self.cut_at, self.grown_at) = (now, now);
        Some(self.rate)
    }

    /// Lets the rate grow where calls make use of it.
    fn grow(&mut self, sent: u64, now: Instant) {
        let grown_us = now.since_us(self.grown_at).min(1_000_000);
        self.grown_at = now;
        if sent < self.rate * USED_PERCENT / 100 {
            return;
        }
        self.fill(now);
        let percent = if self.has_met_limit { GROWTH_PERCENT } else { FIRST_GROWTH_PERCENT };
        let a_second = self.rate * percent / 100 + GROWTH;
        self.rate += a_second * grown_us / 1_000_000;
    }
}

impl RegionLink {
    /// A link of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self {
            base: Base::default(),
            sample: None,
            begun: BegunRate::default(),
            bound: Bound::new(now),
        }
    }

    /// A call was answered that spent `us` on its way there and back. Returns
    /// how the bound was changed by it, if that is worth a line of the log.
    pub fn observe(&mut self, us: u64, now: Instant) -> Option<BoundChange> {
        self.base.observe(us, now);
        let ends_at = now.plus_us(SAMPLING_US);
        let sample = self.sample.get_or_insert(Sample { least_us: us, calls: 0, ends_at });
        sample.least_us = sample.least_us.min(us);
        sample.calls += 1;
        if now < sample.ends_at || sample.calls < MIN_SAMPLED {
            return None;
        }
        let waited_us = sample.least_us - self.base.least_us();
        self.sample = None;
        let rate = self.adapt(waited_us, now)?;
        Some(BoundChange { rate, waited_us })
    }

    /// Follows the time for which bytes wait for the link. Returns the rate
    /// where it was cut.
    fn adapt(&mut self, waited_us: u64, now: Instant) -> Option<u64> {
        let sent = self.begun.per_s(now);
        // Where no large answer comes here, others fill the link.
        if sent == 0 {
            return None;
        }
        self.bound.has_met_limit |= waited_us >= FULL_US;
        if waited_us >= FULL_US {
            return self.bound.cut(waited_us, sent, now);
        }
        if waited_us <= ROOM_US {
            self.bound.grow(sent, now);
        }
        None
    }

    /// A call with a large answer is sent across.
    pub fn begin_bulk(&mut self, now: Instant) {
        self.begun.count(now);
        self.bound.fill(now);
        self.bound.tokens = self.bound.tokens.saturating_sub(CALL);
    }

    /// Time after which the link has room for one more large answer, in
    /// milliseconds; 0 where it has.
    pub fn bulk_wait_ms(&self, now: Instant) -> u32 {
        let missing = CALL.saturating_sub(self.bound.tokens(now));
        u32::try_from(missing.div_ceil(self.bound.rate)).unwrap_or(u32::MAX)
    }
}
