//! Time in the reducer.

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the process started.
///
/// The I/O code reads the clock and passes the time in, so that tests can control it.
/// The state holds instants (deadlines), never durations that count down.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Instant(u64);

impl Instant {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// Later than every deadline. Used when nothing is scheduled.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates an instant from microseconds since the process started.
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Creates an instant from milliseconds since the process started.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Microseconds since the process started.
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// Milliseconds since the process started, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }

    /// The instant `us` microseconds later. Saturates at [`Instant::NEVER`].
    pub const fn plus_us(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// The instant `ms` milliseconds later. Saturates at [`Instant::NEVER`].
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }

    /// Microseconds from `earlier` to this instant, or 0 if `earlier` is not earlier.
    pub const fn since_us(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Milliseconds from `earlier` to this instant, or 0 if `earlier` is not earlier.
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.since_us(earlier) / 1_000
    }
}
