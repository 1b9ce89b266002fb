//! Limit on concurrent large responses over the link of this host.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fireflylug_core::routing::LinkShare;
use fireflylug_settings::BulkLimit;
use tokio::sync::Semaphore;

use crate::Runtime;

/// Permits for large responses, and an estimate of the link capacity left for them.
pub(super) struct BulkLimiter {
    pub permits: Arc<Semaphore>,
    max_concurrent: u64,
    share: Mutex<LinkShare>,
    runtime: Arc<Runtime>,
}

impl BulkLimiter {
    /// Creates the limiter of a slow link.
    pub fn new(link: BulkLimit, runtime: Arc<Runtime>) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(link.max_concurrent)),
            max_concurrent: link.max_concurrent as u64,
            share: Mutex::new(LinkShare::new(link.link_bytes_per_s)),
            runtime,
        }
    }

    /// Estimated time to transmit a response that starts now while all other permits
    /// are in use.
    pub fn transfer_time(&self, bytes: u64) -> Duration {
        let now = self.runtime.now();
        Duration::from_micros(self.share().transfer_us(bytes * self.max_concurrent, now))
    }

    /// Records sent bytes that are not part of a large response to another host.
    pub fn record_other_traffic(&self, bytes: u64) {
        let now = self.runtime.now();
        self.share().record_other_bytes(bytes, now);
    }

    fn share(&self) -> MutexGuard<'_, LinkShare> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
