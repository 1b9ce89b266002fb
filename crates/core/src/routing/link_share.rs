//! Bandwidth of a slow link that remains for large responses.
//!
//! Small responses, and all responses to callers on this host, are sent without a limit. Large
//! responses to other hosts share the remaining bandwidth and are sent one after the other, so
//! that packets of other responses do not queue behind them. Requests that this host forwards
//! are not counted.

use crate::time::Instant;

/// Usable share of the link, in percent. The remainder is packet overhead.
const USABLE_PERCENT: u64 = 90;
/// Minimum share for large responses, in percent, regardless of other traffic.
const MIN_BULK_PERCENT: u64 = 40;
/// Time window over which the rate of other traffic is measured, in microseconds.
const RATE_WINDOW_US: u64 = 500_000;
const US_PER_S: u64 = 1_000_000;

/// The link of this host to the network, with the recent rate of traffic other than large
/// responses.
#[derive(Clone, Copy, Debug)]
pub struct LinkShare {
    bytes_per_s: u64,
    /// Recent bytes of other traffic; they decay linearly over [`RATE_WINDOW_US`].
    other_bytes: u64,
    counted_at: Instant,
}

impl LinkShare {
    /// Creates the state of a link with this bandwidth.
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s, other_bytes: 0, counted_at: Instant::ZERO }
    }

    /// Records sent bytes that are not part of a large response.
    pub fn record_other_bytes(&mut self, bytes: u64, now: Instant) {
        self.other_bytes = self.decayed_bytes(now) + bytes;
        self.counted_at = now;
    }

    fn decayed_bytes(&self, now: Instant) -> u64 {
        let elapsed_us = now.since_us(self.counted_at).min(RATE_WINDOW_US);
        self.other_bytes * (RATE_WINDOW_US - elapsed_us) / RATE_WINDOW_US
    }

    /// Bandwidth currently available to large responses, in bytes per second.
    pub fn bulk_bytes_per_s(&self, now: Instant) -> u64 {
        let usable_bytes_per_s = self.bytes_per_s * USABLE_PERCENT / 100;
        let min_bytes_per_s = self.bytes_per_s * MIN_BULK_PERCENT / 100;
        let other_bytes_per_s = self.decayed_bytes(now) * US_PER_S / RATE_WINDOW_US;
        usable_bytes_per_s.saturating_sub(other_bytes_per_s).max(min_bytes_per_s).max(1)
    }

    /// Time to transfer a large response that starts now, in microseconds.
    pub fn transfer_us(&self, bytes: u64, now: Instant) -> u64 {
        bytes * US_PER_S / self.bulk_bytes_per_s(now)
    }
}
