//! The link to another region, as measured by this proxy.
//!
//! If a region has no target for calls with large responses, all of them go to another region
//! and can saturate the link between the two. Every call over the link then queues, including
//! small ones. The bandwidth of the link is not configured, so it is inferred: the round-trip
//! time of calls above its recent minimum is the queueing delay of the link. While the delay is
//! long, this proxy sends fewer large calls over the link and refuses the others at once. All
//! proxies of a region measure the same link, so all of them reduce their rate.

use super::bulk_rate::BulkRate;
use super::recent_minimum::RecentMinimum;
use crate::time::Instant;

/// Time over which the minimum round-trip time of a sample is taken, in microseconds: one lost
/// packet or a new connection must not count as a saturated link.
const SAMPLING_US: u64 = 150_000;
/// Minimum number of calls in a sample: a single call may have queued behind one large
/// response.
const MIN_SAMPLED: u32 = 3;

/// The link to one other region.
#[derive(Debug)]
pub(super) struct RegionLink {
    min_round_trip: RecentMinimum,
    sample: Option<Sample>,
    bulk: BulkRate,
}

/// A reduction of the rate limit for large calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct BulkRateCut {
    /// The new rate limit, in thousandths of a call per second.
    pub millicalls_per_s: u64,
    /// The queueing delay of the link that caused the reduction.
    pub queueing_delay_us: u64,
}

/// Minimum round-trip time over one sampling period.
#[derive(Clone, Copy, Debug)]
struct Sample {
    min_us: u64,
    calls: u32,
    ends_at: Instant,
}

impl RegionLink {
    /// Creates the state of a link without observations.
    pub fn new(now: Instant) -> Self {
        Self { min_round_trip: RecentMinimum::default(), sample: None, bulk: BulkRate::new(now) }
    }

    /// Records that a response had a round-trip time of `us`. Returns the reduction of the rate
    /// limit if it was reduced.
    pub fn observe(&mut self, us: u64, now: Instant) -> Option<BulkRateCut> {
        self.min_round_trip.observe(i64::try_from(us).unwrap_or(i64::MAX), now);
        let ends_at = now.plus_us(SAMPLING_US);
        let sample = self.sample.get_or_insert(Sample { min_us: us, calls: 0, ends_at });
        sample.min_us = sample.min_us.min(us);
        sample.calls += 1;
        if now < sample.ends_at || sample.calls < MIN_SAMPLED {
            return None;
        }
        // With rare calls, a sample can be older than the observations in the recent minimum,
        // and its round trip shorter.
        let queueing_delay_us = sample.min_us.saturating_sub(self.min_round_trip_us());
        self.sample = None;
        let millicalls_per_s = self.bulk.adjust(queueing_delay_us, now)?;
        Some(BulkRateCut { millicalls_per_s, queueing_delay_us })
    }

    /// Recent minimum round-trip time, in microseconds; 0 if none was observed.
    pub fn min_round_trip_us(&self) -> u64 {
        self.min_round_trip.get().and_then(|us| u64::try_from(us).ok()).unwrap_or(0)
    }

    /// Counts a large call that is sent over the link.
    pub fn begin_bulk(&mut self, now: Instant) {
        self.bulk.begin(now);
    }

    /// Time after which one more large call may be sent over the link, in milliseconds; 0 if it
    /// may be sent now.
    pub fn bulk_wait_ms(&self, now: Instant) -> u32 {
        self.bulk.wait_ms(now)
    }
}
