//! The clock by which proxies tell each other when they sent a call.
//!
//! It counts from the start of the host and goes on while a process is suspended,
//! which the clock of [`std::time::Instant`] may not do.

use fireflylug_core::routing::{ClockId, Transit};
use rustix::time::{ClockId as SystemClock, clock_gettime};

/// The clock of this process.
#[derive(Debug)]
pub(super) struct BootClock {
    id: ClockId,
}

/// When a call was sent, as its owner is told.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentStamp {
    pub clock: ClockId,
    pub sent_us: u64,
}

impl SentStamp {
    /// The call's time on the way, where it was received just now.
    pub fn received_now(self) -> Transit {
        let Self { clock, sent_us } = self;
        Transit { clock, sent_us, received_us: now_us() }
    }
}

impl BootClock {
    /// Makes the clock of a process that was just started.
    pub fn new() -> Self {
        Self { id: ClockId(rand::random()) }
    }

    /// Stamps a call that is sent now.
    pub fn stamp(&self) -> SentStamp {
        SentStamp { clock: self.id, sent_us: now_us() }
    }
}

/// Time since the host started, in microseconds.
fn now_us() -> u64 {
    let time = clock_gettime(SystemClock::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
