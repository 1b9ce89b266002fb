//! Connections of callers and of other proxies.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use http::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use super::boot_clock::BootClock;
use super::bulk_lanes::BulkLanes;
use super::handle::{CallHandle, Phase};
use super::pool::{MAX_IDLE, Pool};
use super::{CallSettings, drive, headers};
use crate::{Runtime, SharedKey};

/// Time to send the head of a request, and for which a connection may be unused.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Most headers of a request.
const MAX_HEADERS: usize = 128;
/// Time for which an answer may make no progress, in milliseconds.
const MAX_STALL_MS: u64 = 30_000;
/// Shortest time for which an unused connection to another proxy is kept. With hundreds
/// of owners few are used twice within seconds, and each takes memory at both ends.
const MIN_IDLE_TO_OWNER: Duration = Duration::from_secs(1);
/// Time between looks at stalled answers and unused connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the first call of a new connection to arrive at a stopping proxy.
const UNUSED_GRACE: Duration = Duration::from_millis(500);
/// Wait after a failed accept: the process may be out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Who opened a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Side {
    /// Callers.
    Callers,
    /// Other proxies.
    Proxies,
}

/// What every call needs.
pub(super) struct Proxy {
    pub runtime: Arc<Runtime>,
    pub handle: CallHandle,
    pub settings: CallSettings,
    pub key: Option<SharedKey>,
    pub key_value: Option<HeaderValue>,
    /// Tells owners when a call was sent.
    pub clock: BootClock,
    pub targets: Pool,
    pub owners: Pool,
    /// Places for large answers on the link of this host.
    pub bulk_lanes: Option<Arc<BulkLanes>>,
}

impl Proxy {
    /// Makes the state of a call path with no call.
    pub fn new(runtime: Arc<Runtime>, handle: CallHandle, settings: CallSettings) -> Arc<Self> {
        let key = settings.key.clone();
        let key_value = key.as_ref().map(headers::key_value);
        let targets = Pool::new(MAX_IDLE);
        let owners = Pool::new(MIN_IDLE_TO_OWNER);
        let bulk_lanes =
            settings.bulk_lanes.map(|link| Arc::new(BulkLanes::new(link, Arc::clone(&runtime))));
        let clock = BootClock::new();
        Arc::new(Self {
            clock,
            runtime,
            handle,
            settings,
            key,
            key_value,
            targets,
            owners,
            bulk_lanes,
        })
    }

    /// Accepts connections until the process accepts no more.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, side: Side) {
        let mut phase = self.handle.phase();
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn(stream, side),
                    Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
                },
                () = reached(&mut phase, Phase::Deaf) => break,
            }
        }
        // Connections that the system has accepted already are not to be reset.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.spawn(stream, side);
        }
    }

    fn spawn(self: &Arc<Self>, stream: TcpStream, side: Side) {
        let proxy = Arc::clone(self);
        let killed = self.handle.killed();
        self.handle.connections().spawn(killed.run_until_cancelled_owned(async move {
            proxy.serve(stream, side).await;
        }));
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, side: Side) {
        // A connection that fails here is already gone.
        let _ = stream.set_nodelay(true);
        let broken = Arc::new(Notify::new());
        let is_used = Arc::new(AtomicBool::new(false));
        let service = {
            let (broken, is_used) = (Arc::clone(&broken), Arc::clone(&is_used));
            let proxy = Arc::clone(&self);
            service_fn(move |request| {
                is_used.store(true, Ordering::Relaxed);
                let (proxy, broken) = (Arc::clone(&proxy), Arc::clone(&broken));
                // Boxed, so that a connection without a call holds no room for one.
                Box::pin(async move {
                    Ok::<_, Infallible>(drive::call(proxy, broken, side, request).await)
                })
            })
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut phase = self.handle.phase();
        tokio::select! {
            // The peer of a failed connection knows it; nothing is left to do.
            _ = connection.as_mut() => return,
            () = broken.notified() => return,
            () = reached(&mut phase, Phase::Closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        // A connection that never carried a call is not waited for.
        let unused = async {
            tokio::time::sleep(UNUSED_GRACE).await;
            if is_used.load(Ordering::Relaxed) {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            _ = connection.as_mut() => {}
            () = broken.notified() => {}
            () = unused => {}
        }
    }

    /// Breaks stalled answers and closes unused connections, for ever.
    pub async fn sweep(self: Arc<Self>) {
        let mut interval = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            interval.tick().await;
            self.handle.break_stalled(MAX_STALL_MS);
            self.targets.sweep();
            self.owners.sweep();
        }
    }
}

async fn reached(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    // The sender lives as long as the proxy.
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}
