//! What a slow link has left for large answers.
//!
//! Small answers and all those to the callers of this host take what they need. Large
//! answers to other hosts are given the rest, one after the other, so that packets of the
//! others do not wait behind them. Requests that this host forwards are not counted.

use crate::time::Instant;

/// Share of the link that is given out, in percent. The rest is the overhead of packets.
const USABLE_PERCENT: u64 = 90;
/// Least share for large answers, in percent, however much the others send.
const MIN_BULK_PERCENT: u64 = 40;
/// Time over which the others' rate is taken, in microseconds.
const RATE_US: u64 = 500_000;
const US_PER_S: u64 = 1_000_000;

/// The link of this host, towards the network.
#[derive(Clone, Copy, Debug)]
pub struct LinkShare {
    bytes_per_s: u64,
    /// Bytes that the others sent lately; they fade over [`RATE_US`].
    others_bytes: u64,
    counted_at: Instant,
}

impl LinkShare {
    /// Makes the share of a link of this rate.
    pub fn new(bytes_per_s: u64) -> Self {
        Self { bytes_per_s, others_bytes: 0, counted_at: Instant::ZERO }
    }

    /// Bytes that are no part of a large answer were sent.
    pub fn note_others(&mut self, bytes: u64, now: Instant) {
        self.others_bytes = self.faded_bytes(now) + bytes;
        self.counted_at = now;
    }

    fn faded_bytes(&self, now: Instant) -> u64 {
        let passed_us = now.since_us(self.counted_at).min(RATE_US);
        self.others_bytes * (RATE_US - passed_us) / RATE_US
    }

    /// Rate that large answers may have now, in bytes a second.
    pub fn bulk_bytes_per_s(&self, now: Instant) -> u64 {
        let usable = self.bytes_per_s * USABLE_PERCENT / 100;
        let least = self.bytes_per_s * MIN_BULK_PERCENT / 100;
        let others = self.faded_bytes(now) * US_PER_S / RATE_US;
        usable.saturating_sub(others).max(least).max(1)
    }

    /// Time that the link takes for a large answer which begins now, in microseconds.
    pub fn transfer_us(&self, bytes: u64, now: Instant) -> u64 {
        bytes * US_PER_S / self.bulk_bytes_per_s(now)
    }
}
