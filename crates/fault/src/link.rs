//! The network link that one or several proxies stand for.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Direction of bytes over a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the side that `Forward` proxies accept on.
    Forward,
    /// The other way.
    Backward,
}

impl Direction {
    /// The other direction.
    pub const fn reversed(self) -> Self {
        match self {
            Self::Forward => Self::Backward,
            Self::Backward => Self::Forward,
        }
    }

    const fn index(self) -> usize {
        self as usize
    }
}

/// Whether a link carries anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Bytes pass.
    Pass,
    /// Connections are closed, and new ones too as soon as they are accepted.
    Cut,
    /// Connections stay open and are accepted, but no byte passes.
    Stall,
}

/// Faults of one direction. Offsets count from the start of each connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// One-way latency, in microseconds.
    pub latency_us: u64,
    /// Rate shared by all connections, in bytes a second; 0 for no limit.
    pub rate_bytes_per_s: u64,
    /// Reset a connection after this many bytes.
    pub reset_after_bytes: Option<u64>,
    /// Invert the bits of the byte at this offset.
    pub corrupt_at_byte: Option<u64>,
}

impl Faults {
    /// Makes a direction without faults.
    pub const fn new() -> Self {
        Self { latency_us: 0, rate_bytes_per_s: 0, reset_after_bytes: None, corrupt_at_byte: None }
    }

    /// Sets the one-way latency, in microseconds.
    pub const fn with_latency_us(mut self, latency_us: u64) -> Self {
        self.latency_us = latency_us;
        self
    }

    /// Sets the shared rate, in bytes a second.
    pub const fn with_rate_bytes_per_s(mut self, rate_bytes_per_s: u64) -> Self {
        self.rate_bytes_per_s = rate_bytes_per_s;
        self
    }

    /// Resets each connection after this many bytes.
    pub const fn with_reset_after_bytes(mut self, bytes: u64) -> Self {
        self.reset_after_bytes = Some(bytes);
        self
    }

    /// Inverts the byte at this offset of each connection.
    pub const fn with_corrupt_at_byte(mut self, offset_bytes: u64) -> Self {
        self.corrupt_at_byte = Some(offset_bytes);
        self
    }
}

/// A link between two places, shared by any number of proxies.
#[derive(Debug)]
pub struct Link {
    mode: watch::Sender<Mode>,
    lanes: [Lane; 2],
}

#[derive(Debug, Default)]
struct Lane {
    faults: Mutex<Faults>,
    free_at: Mutex<Option<Instant>>,
    bytes: AtomicU64,
}

impl Link {
    /// Makes a link without faults.
    pub fn new() -> Arc<Self> {
        Self::with_faults(Faults::new())
    }

    /// Makes a link with the same faults in both directions.
    pub fn with_faults(faults: Faults) -> Arc<Self> {
        let link = Self { mode: watch::Sender::new(Mode::Pass), lanes: Default::default() };
        link.set_faults(Direction::Forward, faults);
        link.set_faults(Direction::Backward, faults);
        Arc::new(link)
    }

    /// Sets whether anything passes.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Sets the faults of one direction, for the bytes that come after.
    pub fn set_faults(&self, direction: Direction, faults: Faults) {
        *lock(&self.lane(direction).faults) = faults;
    }

    /// Bytes taken in so far in one direction.
    pub fn bytes(&self, direction: Direction) -> u64 {
        self.lane(direction).bytes.load(Ordering::Relaxed)
    }

    /// Bytes taken in so far in both directions.
    pub fn total_bytes(&self) -> u64 {
        self.bytes(Direction::Forward) + self.bytes(Direction::Backward)
    }

    pub(crate) fn modes(&self) -> watch::Receiver<Mode> {
        self.mode.subscribe()
    }

    pub(crate) fn faults(&self, direction: Direction) -> Faults {
        *lock(&self.lane(direction).faults)
    }

    /// Counts bytes and says when they arrive at the other end.
    pub(crate) fn admit(&self, direction: Direction, bytes: u64) -> Instant {
        let lane = self.lane(direction);
        lane.bytes.fetch_add(bytes, Ordering::Relaxed);
        let faults = *lock(&lane.faults);
        let sent_at = lane.reserve(bytes, faults.rate_bytes_per_s);
        sent_at + Duration::from_micros(faults.latency_us)
    }

    fn lane(&self, direction: Direction) -> &Lane {
        &self.lanes[direction.index()]
    }
}

impl Lane {
    fn reserve(&self, bytes: u64, rate_bytes_per_s: u64) -> Instant {
        let now = Instant::now();
        if rate_bytes_per_s == 0 {
            return now;
        }
        let mut free_at = lock(&self.free_at);
        let start_at = free_at.map_or(now, |at| at.max(now));
        let sent_at = start_at + Duration::from_micros(bytes * 1_000_000 / rate_bytes_per_s);
        *free_at = Some(sent_at);
        sent_at
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
