//! The call path: callers, other proxies and targets over HTTP/1.1.
//!
//! Each call has one task (its caller's connection). The task submits
//! [`fireflylug_core::routing::CallEvent`]s and carries out the effects that
//! [`CallHandle`] brings to it. Dropping an attempt closes its connection, so a
//! caller that hangs up cancels its call all the way to the target.

mod answer;
mod body;
mod boot_clock;
mod bulk_lanes;
mod dialect;
mod drive;
mod handle;
mod headers;
mod pool;
mod proxy;
mod socket;

use std::sync::Arc;

use compact_str::CompactString;
pub use dialect::{CallDialect, StatusRule};
use fireflylug_settings::LinkLanes;
pub use handle::CallHandle;
use tokio::net::TcpListener;

use self::proxy::{Proxy, Side};
use crate::{Runtime, SharedKey, Translation};

/// Settings of the call path.
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// Key that other proxies must present when they forward a call; none on loopback.
    pub key: Option<SharedKey>,
    /// Addresses replaced before connecting.
    pub translation: Translation,
    /// What callers and targets speak.
    pub dialect: Arc<CallDialect>,
    /// Service of the callers of this host, which targets are told.
    pub caller_service: Option<CompactString>,
    /// Large answers that are passed to other hosts at once; none is no bound.
    pub bulk_lanes: Option<LinkLanes>,
}

/// Serves callers and other proxies until the process takes no more calls and
/// every connection is closed. Dropped early, it closes every connection at once.
///
/// After a graceful stop, wait for [`CallHandle::drained`] before the process
/// ends: the last answers may still be on their way out.
pub async fn run(
    runtime: Arc<Runtime>,
    handle: CallHandle,
    callers: TcpListener,
    forward: TcpListener,
    settings: CallSettings,
) {
    let proxy = Proxy::new(runtime, handle, settings);
    let accept_callers = Arc::clone(&proxy).accept(callers, Side::Callers);
    let accept_proxies = Arc::clone(&proxy).accept(forward, Side::Proxies);
    let handle = proxy.handle.clone();
    // Connections do not outlive this future.
    let _killed = handle.killed().drop_guard();
    let serve = async {
        tokio::join!(accept_callers, accept_proxies);
        handle.drained().await;
    };
    tokio::select! {
        () = serve => {}
        () = proxy.sweep() => {}
    }
}
