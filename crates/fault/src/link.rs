//! The simulated network link of one or several proxies.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Direction of traffic over a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the client to the upstream of a proxy started with `Forward`.
    Forward,
    /// The opposite direction.
    Backward,
}

impl Direction {
    /// Returns the opposite direction.
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

/// Whether a link carries traffic.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Traffic passes.
    Pass,
    /// Open connections are closed. New ones are closed as soon as they are accepted.
    Cut,
    /// Open connections stay open and new ones are accepted, but no byte passes.
    Stall,
}

/// Faults of one direction. Byte offsets count from the start of each connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// One-way latency, in microseconds.
    pub latency_us: u64,
    /// Bandwidth shared by all connections, in bytes per second; 0 for no limit.
    pub rate_bytes_per_s: u64,
    /// Resets each connection after this many bytes.
    pub reset_after_bytes: Option<u64>,
    /// Inverts all bits of the byte at this offset.
    pub corrupt_at_byte: Option<u64>,
}

impl Faults {
    /// Creates settings without faults.
    pub const fn new() -> Self {
        Self { latency_us: 0, rate_bytes_per_s: 0, reset_after_bytes: None, corrupt_at_byte: None }
    }

    /// Sets the one-way latency, in microseconds.
    pub const fn with_latency_us(mut self, latency_us: u64) -> Self {
        self.latency_us = latency_us;
        self
    }

    /// Sets the shared bandwidth, in bytes per second.
    pub const fn with_rate_bytes_per_s(mut self, rate_bytes_per_s: u64) -> Self {
        self.rate_bytes_per_s = rate_bytes_per_s;
        self
    }

    /// Resets each connection after this many bytes.
    pub const fn with_reset_after_bytes(mut self, bytes: u64) -> Self {
        self.reset_after_bytes = Some(bytes);
        self
    }

    /// Inverts all bits of the byte at this offset of each connection.
    pub const fn with_corrupt_at_byte(mut self, offset_bytes: u64) -> Self {
        self.corrupt_at_byte = Some(offset_bytes);
        self
    }
}

/// A link between two locations, shared by any number of proxies.
#[derive(Debug)]
pub struct Link {
    mode: watch::Sender<Mode>,
    /// Indexed by [`Direction`].
    directions: [DirectionState; 2],
}

#[derive(Debug, Default)]
struct DirectionState {
    faults: Mutex<Faults>,
    /// Time at which all bytes read so far are transmitted under the bandwidth limit.
    idle_at: Mutex<Option<Instant>>,
    bytes: AtomicU64,
}

impl Link {
    /// Creates a link without faults.
    pub fn new() -> Arc<Self> {
        Self::with_faults(Faults::new())
    }

    /// Creates a link with the same faults in both directions.
    pub fn with_faults(faults: Faults) -> Arc<Self> {
        let link = Self { mode: watch::Sender::new(Mode::Pass), directions: Default::default() };
        link.set_faults(Direction::Forward, faults);
        link.set_faults(Direction::Backward, faults);
        Arc::new(link)
    }

    /// Sets whether the link carries traffic.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Sets the faults of one direction for all bytes read from now on.
    pub fn set_faults(&self, direction: Direction, faults: Faults) {
        *lock(&self.state(direction).faults) = faults;
    }

    /// Returns the bytes read from senders so far in one direction.
    pub fn bytes(&self, direction: Direction) -> u64 {
        self.state(direction).bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes read from senders so far in both directions.
    pub fn total_bytes(&self) -> u64 {
        self.bytes(Direction::Forward) + self.bytes(Direction::Backward)
    }

    pub(crate) fn subscribe_mode(&self) -> watch::Receiver<Mode> {
        self.mode.subscribe()
    }

    pub(crate) fn faults(&self, direction: Direction) -> Faults {
        *lock(&self.state(direction).faults)
    }

    /// Counts bytes and returns the time at which they arrive at the other end.
    pub(crate) fn schedule_delivery(&self, direction: Direction, bytes: u64) -> Instant {
        let state = self.state(direction);
        state.bytes.fetch_add(bytes, Ordering::Relaxed);
        let faults = *lock(&state.faults);
        let sent_at = state.reserve_bandwidth(bytes, faults.rate_bytes_per_s);
        sent_at + Duration::from_micros(faults.latency_us)
    }

    fn state(&self, direction: Direction) -> &DirectionState {
        &self.directions[direction.index()]
    }
}

impl DirectionState {
    fn reserve_bandwidth(&self, bytes: u64, rate_bytes_per_s: u64) -> Instant {
        let now = Instant::now();
        if rate_bytes_per_s == 0 {
            return now;
        }
        let mut idle_at = lock(&self.idle_at);
        let start_at = idle_at.map_or(now, |at| at.max(now));
        let sent_at = start_at + Duration::from_micros(bytes * 1_000_000 / rate_bytes_per_s);
        *idle_at = Some(sent_at);
        sent_at
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
