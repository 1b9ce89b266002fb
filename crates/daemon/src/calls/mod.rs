//! Call path between callers, other proxies and targets over HTTP/1.1.
//!
//! Each call runs in the task of its caller's connection. The task submits
//! [`fireflylug_core::routing::CallEvent`]s and carries out the effects that
//! [`CallHandle`] delivers. Dropping an attempt closes its connection, so a caller
//! that disconnects cancels its call at every hop up to the target.

mod answer;
mod attempt;
mod body;
mod boot_clock;
mod bulk_limiter;
mod call;
mod credential;
mod dialect;
mod fingerprint;
mod handle;
mod headers;
mod open_connections;
pub mod pipeline;
mod pool;
mod proxy;
mod socket;

use std::sync::Arc;

use compact_str::CompactString;
pub use dialect::{CallDialect, StatusRule};
use fireflylug_settings::BulkLimit;
pub use handle::CallHandle;
pub use open_connections::{ConnectionCounts, ConnectionStage};
use tokio::net::TcpListener;

use self::proxy::{Client, Proxy};
use crate::{Runtime, SharedKey, Translation};

/// Settings of the call path.
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// Key that other proxies must present to forward a call; `None` on loopback.
    pub key: Option<SharedKey>,
    /// Address translation that is applied before connecting.
    pub translation: Translation,
    /// Headers and statuses between the mesh, callers and targets.
    pub dialect: Arc<CallDialect>,
    /// Service of the callers on this host, sent to targets.
    pub caller_service: Option<CompactString>,
    /// Limit on concurrent large responses to other hosts; `None` for no limit.
    pub bulk_limit: Option<BulkLimit>,
}

/// Serves callers and other proxies until the process accepts no more calls and
/// every connection is closed. Dropping the future closes every connection immediately.
///
/// After a graceful shutdown, wait for [`CallHandle::drained`] before the process
/// exits: the last responses may still be being written.
pub async fn run(
    runtime: Arc<Runtime>,
    handle: CallHandle,
    callers: TcpListener,
    forward: TcpListener,
    settings: CallSettings,
) {
    let proxy = Proxy::new(runtime, handle, settings);
    let accept_callers = Arc::clone(&proxy).accept(callers, Client::Callers);
    let accept_proxies = Arc::clone(&proxy).accept(forward, Client::Proxies);
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
