//! The call path: callers, other proxies and targets over HTTP.

use std::sync::Arc;

use fireflylug_core::routing::CallEffect;
use tokio::net::TcpListener;

use crate::{Runtime, SharedKey, Translation};

/// Takes effects on calls without blocking.
#[derive(Clone, Debug, Default)]
pub struct CallHandle {}

impl CallHandle {
    /// Makes a handle with no call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Does something with a call.
    pub fn run(&self, effect: CallEffect) {
        match effect {}
    }
}

/// Settings of the call path.
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// Key that other proxies must present when they forward a call; none on loopback.
    pub key: Option<SharedKey>,
    /// Addresses replaced before connecting.
    pub translation: Translation,
}

/// Serves callers and other proxies until the process ends.
pub async fn run(
    _runtime: Arc<Runtime>,
    _handle: CallHandle,
    _callers: TcpListener,
    _forward: TcpListener,
    _settings: CallSettings,
) {
    std::future::pending().await
}
