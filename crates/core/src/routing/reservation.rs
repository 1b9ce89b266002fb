//! Slots of one target that are kept free for calls that go ahead of others: calls of higher
//! priority, and calls of classes with a short hold time.
//!
//! A call of a class with a short hold time is usually made by a request that holds a slot
//! elsewhere meanwhile. Without free slots it waits until a long call ends, and the request that
//! made it fails if that takes longer than its deadline.

use super::call::CallClass;
use super::event_rate::EventRate;
use super::hold_times::HoldTimes;
use crate::collections::HashMap;
use crate::time::Instant;

/// Maximum number of pairs of class and priority that are counted.
const MAX_STREAMS: usize = 64;
/// At most one slot in this number is kept free.
const SLOTS_PER_RESERVED_SLOT: u32 = 2;

/// Order in which calls get slots; the lowest is first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    priority: u8,
    is_long: bool,
}

impl Rank {
    /// A call of a class with a short hold time is ranked one priority higher, since it is
    /// usually made by a request in progress. Two or more priorities still separate it from the
    /// calls above.
    pub fn new(priority: u8, is_nested: bool) -> Self {
        let priority = if is_nested { priority.saturating_sub(1) } else { priority };
        Self { priority, is_long: !is_nested }
    }

    /// Whether the call is of a class with a short hold time.
    pub fn is_nested(self) -> bool {
        !self.is_long
    }
}

/// Calls of one class and priority.
#[derive(Clone, Copy, Debug, Default)]
struct Stream {
    arrivals: EventRate,
    in_flight: u32,
}

/// Arrivals and calls in flight at one target by class and priority.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    streams: HashMap<(CallClass, u8), Stream>,
}

impl Reservation {
    /// Counts a call that requests admission.
    pub fn record_arrival(&mut self, class: CallClass, priority: u8, now: Instant) {
        let key = (class, priority);
        if self.streams.len() >= MAX_STREAMS && !self.streams.contains_key(&key) {
            let is_used = |stream: &Stream| stream.in_flight > 0 || stream.is_active(now);
            self.streams.retain(|_, stream| is_used(stream));
        }
        if self.streams.len() < MAX_STREAMS || self.streams.contains_key(&key) {
            self.streams.entry(key).or_default().arrivals.record(now);
        }
    }

    /// Counts a call that receives a slot.
    pub fn begin(&mut self, class: CallClass, priority: u8) {
        if let Some(stream) = self.streams.get_mut(&(class, priority)) {
            stream.in_flight += 1;
        }
    }

    /// Counts a call that releases its slot.
    pub fn end(&mut self, class: CallClass, priority: u8) {
        if let Some(stream) = self.streams.get_mut(&(class, priority)) {
            stream.in_flight = stream.in_flight.saturating_sub(1);
        }
    }

    /// Number of slots that are kept free for calls that are ranked before `rank`: as many as
    /// they use on average (Little's law), less those that they hold.
    pub fn reserved_slots(
        &self,
        rank: Rank,
        limit: u32,
        hold_times: &HoldTimes,
        now: Instant,
    ) -> u32 {
        let (mut expected, mut in_flight) = (0, 0);
        for ((class, priority), stream) in &self.streams {
            if Rank::new(*priority, hold_times.is_nested(*class)) < rank {
                let arrivals_per_1000_s = stream.arrivals.per_1000_s(now);
                expected += arrivals_per_1000_s.saturating_mul(hold_times.mean_us_of(*class));
                in_flight += stream.in_flight;
            }
        }
        let slots = (expected / 1_000_000_000).min(u64::from(limit / SLOTS_PER_RESERVED_SLOT));
        (slots as u32).saturating_sub(in_flight)
    }

    /// Calls in flight of classes without a short hold time.
    pub fn new_work_in_flight(&self, hold_times: &HoldTimes) -> u32 {
        let streams = self.streams.iter();
        streams
            .filter(|((class, _), _)| !hold_times.is_nested(*class))
            .map(|(_, s)| s.in_flight)
            .sum()
    }
}

impl Stream {
    fn is_active(&self, now: Instant) -> bool {
        self.arrivals.per_1000_s(now) > 0
    }
}
