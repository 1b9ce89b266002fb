//! Listeners and connections for callers and other proxies.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use http::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::{TcpListener, TcpStream};

use super::boot_clock::BootClock;
use super::bulk_limiter::BulkLimiter;
use super::handle::{CallHandle, Phase};
use super::open_connections::ConnectionStage;
use super::pipeline::{CallerSocket, Pipeline, TurnBody};
use super::pool::{MAX_IDLE, Pool};
use super::socket::CallerConnection;
use super::{CallSettings, call, headers};
use crate::{Runtime, SharedKey};

/// Maximum time to receive a request head. Also the idle timeout of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 128;
/// Maximum time without progress of a response, in milliseconds.
const MAX_STALL_MS: u64 = 30_000;
/// Minimum time for which an idle connection to another proxy is kept. With hundreds of
/// owners few connections are reused within seconds, and each takes memory at both ends.
const MIN_IDLE_TO_OWNER: Duration = Duration::from_secs(1);
/// Interval between checks for stalled responses and idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept: the process may be out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Who opened a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Client {
    /// Callers.
    Callers,
    /// Other proxies.
    Proxies,
}

/// State shared by all calls.
pub(super) struct Proxy {
    pub runtime: Arc<Runtime>,
    pub handle: CallHandle,
    pub settings: CallSettings,
    pub key: Option<SharedKey>,
    pub key_value: Option<HeaderValue>,
    /// Provides the send timestamps of forwarded calls.
    pub clock: BootClock,
    pub targets: Pool,
    pub owners: Pool,
    /// Limit on concurrent large responses over the link of this host.
    pub bulk_limiter: Option<Arc<BulkLimiter>>,
}

impl Proxy {
    /// Creates the state of the call path without calls.
    pub fn new(runtime: Arc<Runtime>, handle: CallHandle, settings: CallSettings) -> Arc<Self> {
        let key = settings.key.clone();
        let key_value = key.as_ref().map(headers::key_value);
        let targets = Pool::new(MAX_IDLE);
        let owners = Pool::new(MIN_IDLE_TO_OWNER);
        let bulk_limiter =
            settings.bulk_limit.map(|link| Arc::new(BulkLimiter::new(link, Arc::clone(&runtime))));
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
            bulk_limiter,
        })
    }

    /// Accepts connections until the graceful shutdown closes the listeners.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, client: Client) {
        let mut listeners_closed = std::pin::pin!(self.handle.reached(Phase::ListenersClosed));
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.spawn(stream, client),
                    Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
                },
                () = &mut listeners_closed => break,
            }
        }
        // Serves connections in the accept backlog; closing the listener would reset them.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.spawn(stream, client);
        }
    }

    fn spawn(self: &Arc<Self>, stream: TcpStream, client: Client) {
        let proxy = Arc::clone(self);
        let killed = self.handle.killed();
        self.handle.connections().spawn(killed.run_until_cancelled_owned(async move {
            proxy.serve(stream, client).await;
        }));
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, client: Client) {
        // A failure means that the connection is already closed.
        let _ = stream.set_nodelay(true);
        let caller = Arc::new(CallerConnection::new(self.handle.open_connection(client)));
        let pipeline = (client == Client::Callers)
            .then(|| Pipeline::new(Arc::clone(&self), Arc::clone(&caller)));
        let service = {
            let (proxy, caller) = (Arc::clone(&self), Arc::clone(&caller));
            let pipeline = pipeline.clone();
            service_fn(move |request| {
                caller.set_stage(ConnectionStage::Receiving);
                let (proxy, caller) = (Arc::clone(&proxy), Arc::clone(&caller));
                let turn = pipeline.as_ref().map(|pipeline| pipeline.begin_turn(&request));
                // Boxed so that an idle connection does not reserve memory for a call.
                Box::pin(async move {
                    let response = match turn {
                        Some(turn) => turn.serve(request).await,
                        None => {
                            let response = call::serve(proxy, caller, client, request).await;
                            response.map(TurnBody::from)
                        }
                    };
                    Ok::<_, Infallible>(response)
                })
            })
        };
        let socket = CallerSocket::new(caller.socket(stream), pipeline.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_headers(MAX_HEADERS)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(socket, service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            // The peer of a failed connection notices the failure itself.
            _ = connection.as_mut() => return,
            () = caller.aborted() => return,
            () = self.handle.reached(Phase::ClosingIdle) => {}
        }
        // The HTTP library would close a connection that carried no call at once, although its
        // first call may be in transit. The response to that call closes the connection.
        if caller.is_used() {
            let early_calls_taken = async {
                if let Some(pipeline) = &pipeline {
                    pipeline.early_calls_taken().await;
                }
            };
            tokio::select! {
                biased;
                // The HTTP library would close the connection with the next response.
                () = early_calls_taken => {}
                _ = connection.as_mut() => return,
                () = caller.aborted() => return,
            }
            connection.as_mut().graceful_shutdown();
        }
        let first_call_timeout = async {
            self.handle.request_grace_elapsed().await;
            if caller.is_used() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            _ = connection.as_mut() => {}
            () = caller.aborted() => {}
            () = first_call_timeout => {}
        }
    }

    /// Periodically closes stalled and idle connections. Never returns.
    pub async fn sweep(self: Arc<Self>) {
        let mut interval = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            interval.tick().await;
            self.handle.close_stalled(MAX_STALL_MS);
            self.targets.sweep();
            self.owners.sweep();
        }
    }
}
