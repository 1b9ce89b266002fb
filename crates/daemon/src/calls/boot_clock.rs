//! Clock of the send timestamps that proxies exchange with forwarded calls.
//!
//! It counts from the boot of the host and continues while the process or the host is
//! suspended, which the clock of [`std::time::Instant`] may not do.

use fireflylug_core::routing::{ClockId, Transit};
use rustix::time::{ClockId as SystemClock, clock_gettime};

/// Boot-time clock with an identifier of this process.
#[derive(Debug)]
pub(super) struct BootClock {
    id: ClockId,
}

/// Time at which the ingress sent a call to its owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentStamp {
    pub clock: ClockId,
    pub sent_us: u64,
}

impl SentStamp {
    /// Returns the transit times of a call that was received now.
    pub fn received_now(self) -> Transit {
        let Self { clock, sent_us } = self;
        Transit { clock, sent_us, received_us: now_us() }
    }
}

impl BootClock {
    /// Creates the clock with a random identifier.
    pub fn new() -> Self {
        Self { id: ClockId(rand::random()) }
    }

    /// Returns the timestamp of a call that is sent now.
    pub fn stamp(&self) -> SentStamp {
        SentStamp { clock: self.id, sent_us: now_us() }
    }
}

/// Time since the host booted, in microseconds.
fn now_us() -> u64 {
    let time = clock_gettime(SystemClock::Boottime);
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
