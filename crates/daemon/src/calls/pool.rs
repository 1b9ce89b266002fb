//! Connections to targets and to other proxies, each used by one call at a time.
//!
//! A library's pool is not used: it may send a call again on its own, and it
//! does not say whether a call that failed had been sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fireflylug_core::collections::HashMap;
use hyper::client::conn::http1::{self, SendRequest};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::body::CallBody;
use super::socket::{ResetFlag, ResetGuard, Socket};

/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for a connection whose answer has just ended to be ready again.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Longest time for which an unused connection is kept.
pub(super) const MAX_IDLE: Duration = Duration::from_secs(8);
/// An unused connection is kept for so many times the time that it took to open: one
/// within an availability zone is soon made again, one to another region is not.
const IDLE_PER_OPENING: u32 = 150;
/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Connections by address.
#[derive(Clone)]
pub(super) struct Pool {
    hosts: Arc<Mutex<HashMap<SocketAddr, Arc<Host>>>>,
    /// Shortest time for which an unused connection is kept.
    min_idle: Duration,
}

/// Connections to one address.
#[derive(Default)]
struct Host {
    state: Mutex<HostState>,
    closed: Notify,
}

#[derive(Default)]
struct HostState {
    open: usize,
    idle: Vec<Idle>,
}

struct Idle {
    opened: Opened,
    since: Instant,
    close_at: Instant,
}

/// A connection that no call uses.
struct Opened {
    sender: SendRequest<CallBody>,
    reset: ResetFlag,
    max_idle: Duration,
}

/// What a call asks of its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wanted {
    /// Where to.
    pub address: SocketAddr,
    /// Most connections to the address.
    pub max_open: usize,
    /// Longest time for which the connection may have been unused. The other
    /// end may close an unused connection at the moment a call is sent.
    pub max_idle: Duration,
}

/// A connection in use by one call. Reset when dropped: what was written of an
/// abandoned call and has not left the host yet is not sent.
pub(super) struct Connection {
    pub sender: SendRequest<CallBody>,
    reset: ResetGuard,
    max_idle: Duration,
    host: Arc<Host>,
}

impl Connection {
    fn new(opened: Opened, host: Arc<Host>) -> Self {
        let Opened { sender, reset, max_idle } = opened;
        Self { sender, reset: reset.arm(), max_idle, host }
    }

    /// Gives the connection back for other calls. Only where the whole answer
    /// was read and the whole request written.
    pub fn give_back(self) {
        let Self { sender, reset, max_idle, host } = self;
        let opened = Opened { sender, reset: reset.disarm(), max_idle };
        let since = Instant::now();
        lock(&host.state).idle.push(Idle { opened, since, close_at: since + max_idle });
    }
}

impl Pool {
    /// Makes a pool that keeps each unused connection for at least `min_idle`.
    pub fn new(min_idle: Duration) -> Self {
        Self { hosts: Arc::default(), min_idle }
    }

    /// A connection that is ready to send, or an error with nothing sent.
    pub async fn take(&self, wanted: Wanted) -> std::io::Result<Connection> {
        let host = self.host(wanted.address);
        loop {
            while let Some(mut opened) = host.pop_idle(wanted.max_idle) {
                if matches!(timeout(READY_TIMEOUT, opened.sender.ready()).await, Ok(Ok(()))) {
                    return Ok(Connection::new(opened, host));
                }
            }
            if let Some(place) = Place::take(&host, wanted.max_open) {
                let connecting = timeout(CONNECT_TIMEOUT, connect(wanted.address, place));
                let mut opened = connecting.await??;
                opened.max_idle = opened.max_idle.clamp(self.min_idle, MAX_IDLE);
                return Ok(Connection::new(opened, host));
            }
            timeout(CONNECT_TIMEOUT, host.closed.notified()).await?;
        }
    }

    /// Closes connections that were unused for long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut hosts = lock(&self.hosts);
        hosts.retain(|_, host| {
            let mut state = lock(&host.state);
            state.idle.retain(|idle| now < idle.close_at && !idle.opened.sender.is_closed());
            state.open > 0 || Arc::strong_count(host) > 1
        });
    }

    fn host(&self, address: SocketAddr) -> Arc<Host> {
        Arc::clone(lock(&self.hosts).entry(address).or_default())
    }
}

impl Host {
    /// The connection that was used last. Older ones than `max_idle` are closed.
    fn pop_idle(&self, max_idle: Duration) -> Option<Opened> {
        let mut state = lock(&self.state);
        while let Some(idle) = state.idle.pop() {
            if !idle.opened.sender.is_closed() && idle.since.elapsed() <= max_idle {
                return Some(idle.opened);
            }
        }
        None
    }
}

/// One of the connections that an address may have open; given back when dropped.
struct Place(Arc<Host>);

impl Place {
    fn take(host: &Arc<Host>, max_open: usize) -> Option<Self> {
        let mut state = lock(&host.state);
        (state.open < max_open).then(|| {
            state.open += 1;
            Self(Arc::clone(host))
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.0.state).open -= 1;
        self.0.closed.notify_one();
    }
}

async fn connect(address: SocketAddr, place: Place) -> std::io::Result<Opened> {
    let began_at = Instant::now();
    let stream = TcpStream::connect(address).await?;
    let max_idle = began_at.elapsed() * IDLE_PER_OPENING;
    stream.set_nodelay(true)?;
    let reset = ResetFlag::default();
    let socket = Socket::new(stream, reset.clone());
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(socket);
    let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // The call that uses the connection reports its error.
        let _ = connection.await;
        drop(place);
    });
    Ok(Opened { sender, reset, max_idle })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
