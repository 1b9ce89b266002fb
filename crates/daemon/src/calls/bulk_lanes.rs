//! Places for large answers on the link of this host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fireflylug_core::routing::LinkShare;
use fireflylug_settings::LinkLanes;
use tokio::sync::Semaphore;

use crate::Runtime;

/// Places for large answers, and what the link has left for them.
pub(super) struct BulkLanes {
    pub places: Arc<Semaphore>,
    lanes: u64,
    share: Mutex<LinkShare>,
    runtime: Arc<Runtime>,
}

impl BulkLanes {
    /// Makes the places of a slow link.
    pub fn new(link: LinkLanes, runtime: Arc<Runtime>) -> Self {
        Self {
            places: Arc::new(Semaphore::new(link.lanes)),
            lanes: link.lanes as u64,
            share: Mutex::new(LinkShare::new(link.link_bytes_per_s)),
            runtime,
        }
    }

    /// Time that the link takes for an answer which begins now, beside those in the
    /// other places.
    pub fn time_of(&self, bytes: u64) -> Duration {
        let now = self.runtime.now();
        Duration::from_micros(self.share().transfer_us(bytes * self.lanes, now))
    }

    /// Bytes that are no part of a large answer to another host were sent.
    pub fn note_others(&self, bytes: u64) {
        let now = self.runtime.now();
        self.share().note_others(bytes, now);
    }

    fn share(&self) -> MutexGuard<'_, LinkShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
