//! Time series of counts, in a bounded number of buckets.

use std::collections::VecDeque;

use super::counts::Counts;
use crate::time::Instant;

/// Length of a short bucket, in milliseconds.
const SHORT_BUCKET_MS: u64 = 60_000;
/// Number of short buckets: six hours.
const SHORT_BUCKETS: u64 = 360;
/// Length of a long bucket, in milliseconds.
const LONG_BUCKET_MS: u64 = 3_600_000;
/// Number of long buckets: the 30 days of an error budget.
const LONG_BUCKETS: u64 = 720;

/// Counts per minute over six hours and per hour over 30 days.
#[derive(Debug, Default)]
pub(super) struct Series {
    short: Buckets,
    long: Buckets,
}

impl Series {
    pub fn add(&mut self, now: Instant, counts: &Counts) {
        self.short.add(now.as_ms() / SHORT_BUCKET_MS, SHORT_BUCKETS, counts);
        self.long.add(now.as_ms() / LONG_BUCKET_MS, LONG_BUCKETS, counts);
    }

    /// Counts of the last `minutes`, including the current minute. At most six hours.
    pub fn last_minutes(&self, now: Instant, minutes: u64) -> Counts {
        self.short.sum(now.as_ms() / SHORT_BUCKET_MS, minutes)
    }

    /// Counts of the last 30 days, or since the process started.
    pub fn last_month(&self, now: Instant) -> Counts {
        self.long.sum(now.as_ms() / LONG_BUCKET_MS, LONG_BUCKETS)
    }
}

/// Non-empty buckets with their index, oldest first.
#[derive(Debug, Default)]
struct Buckets(VecDeque<(u64, Counts)>);

impl Buckets {
    fn add(&mut self, index: u64, max_buckets: u64, counts: &Counts) {
        match self.0.back_mut() {
            Some((last, sum)) if *last == index => sum.add(counts),
            _ => self.0.push_back((index, *counts)),
        }
        while self.0.front().is_some_and(|(first, _)| first + max_buckets <= index) {
            self.0.pop_front();
        }
    }

    fn sum(&self, index: u64, bucket_count: u64) -> Counts {
        let mut total = Counts::default();
        let recent = self.0.iter().rev().take_while(|(bucket, _)| bucket + bucket_count > index);
        recent.for_each(|(_, counts)| total.add(counts));
        total
    }
}
