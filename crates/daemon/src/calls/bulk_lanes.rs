//! Places for large answers on the link of this host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fireflylug_core::routing::LinkShare;
use fireflylug_settings::LinkLanes;
use tokio::sync::Semaphore;

/// Places for large answers, and what the link has left for them.
pub(super) struct BulkLanes {
    pub places: Arc<Semaphore>,
    lanes: u64,
    share: Mutex<LinkShare>,
    started: Instant,
}

impl BulkLanes {
    /// Makes the places of a slow link.
    pub fn new(link: LinkLanes) -> Self {
        Self {
            places: Arc::new(Semaphore::new(link.lanes)),
            lanes: link.lanes as u64,
            share: Mutex::new(LinkShare::new(link.link_bytes_per_s)),
            started: Instant::now(),
        }
    }

    /// Time that the link takes for an answer which begins now, beside those in the
    /// other places.
    pub fn time_of(&self, bytes: u64) -> Duration {
        let now = self.now();
        Duration::from_micros(self.share().transfer_us(bytes * self.lanes, now))
    }

    /// Bytes that are no part of a large answer to another host were sent.
    pub fn note_others(&self, bytes: u64) {
        let now = self.now();
        self.share().note_others(bytes, now);
    }

    fn now(&self) -> fireflylug_core::Instant {
        fireflylug_core::Instant::from_us(self.started.elapsed().as_micros() as u64)
    }

    fn share(&self) -> MutexGuard<'_, LinkShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
