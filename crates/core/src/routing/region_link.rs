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

use super::bulk_rate::BulkRate;
use super::recent_least::RecentLeast;
use crate::time::Instant;

/// Time over which the least time on the way is taken, in microseconds: one
/// packet that was lost, or a new connection, must not count as a full link.
const SAMPLING_US: u64 = 150_000;
/// Fewest calls of which the least time on the way is taken: one alone may have
/// waited behind one large answer.
const MIN_SAMPLED: u32 = 3;

/// The link to one other region.
#[derive(Debug)]
pub(super) struct RegionLink {
    base: RecentLeast,
    sample: Option<Sample>,
    bulk: BulkRate,
}

/// Fewer calls with large answers are sent across from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BulkCut {
    /// Calls that may be sent across from now on.
    pub millicalls_per_s: u64,
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

impl RegionLink {
    /// A link of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self { base: RecentLeast::default(), sample: None, bulk: BulkRate::new(now) }
    }

    /// A call was answered that spent `us` on its way there and back. Says where
    /// fewer calls are sent across for it.
    pub fn observe(&mut self, us: u64, now: Instant) -> Option<BulkCut> {
        self.base.observe(i64::try_from(us).unwrap_or(i64::MAX), now);
        let ends_at = now.plus_us(SAMPLING_US);
        let sample = self.sample.get_or_insert(Sample { least_us: us, calls: 0, ends_at });
        sample.least_us = sample.least_us.min(us);
        sample.calls += 1;
        if now < sample.ends_at || sample.calls < MIN_SAMPLED {
            return None;
        }
        // A sample of rare calls may be older than the least time that is remembered.
        let waited_us = sample.least_us.saturating_sub(self.least_way_us());
        self.sample = None;
        let millicalls_per_s = self.bulk.follow(waited_us, now)?;
        Some(BulkCut { millicalls_per_s, waited_us })
    }

    /// Least time on the way there and back that was observed lately, in microseconds.
    pub fn least_way_us(&self) -> u64 {
        self.base.get().and_then(|us| u64::try_from(us).ok()).unwrap_or(0)
    }

    /// A call with a large answer is sent across.
    pub fn begin_bulk(&mut self, now: Instant) {
        self.bulk.begin(now);
    }

    /// Time after which the link has room for one more large answer, in
    /// milliseconds; 0 where it has.
    pub fn bulk_wait_ms(&self, now: Instant) -> u32 {
        self.bulk.wait_ms(now)
    }
}
