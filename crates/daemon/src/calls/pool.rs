//! Pool of connections to targets and other proxies. Each serves one call at a time.
//!
//! The pool of the HTTP library is not used: it may retry a call by itself and does
//! not report whether a failed call had been sent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fireflylug_core::collections::HashMap;
use hyper::client::conn::http1::{self, SendRequest};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::body::RequestBody;
use super::socket::{ResetFlag, ResetGuard, Socket};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for a connection to become ready after its last response ended.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Maximum time for which an idle connection is kept.
pub(super) const MAX_IDLE: Duration = Duration::from_secs(8);
/// Idle timeout as a multiple of the connect time. A connection within an availability
/// zone is cheap to replace, one to another region is not.
const IDLE_PER_CONNECT_TIME: u32 = 150;
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Pooled connections by address.
#[derive(Clone)]
pub(super) struct Pool {
    address_pools: Arc<Mutex<HashMap<SocketAddr, Arc<AddressPool>>>>,
    /// Minimum time for which an idle connection is kept.
    min_idle: Duration,
}

/// Connections to one address.
#[derive(Default)]
struct AddressPool {
    state: Mutex<AddressPoolState>,
    closed: Notify,
}

#[derive(Default)]
struct AddressPoolState {
    open: usize,
    idle: Vec<Idle>,
}

struct Idle {
    opened: Opened,
    since: Instant,
    close_at: Instant,
}

/// An open connection that is not assigned to a call.
struct Opened {
    sender: SendRequest<RequestBody>,
    reset: ResetFlag,
    max_idle: Duration,
}

/// Requirements of a call on its connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionRequest {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Maximum number of open connections to the address.
    pub max_open: usize,
    /// Maximum time for which the connection may have been idle. The peer may close an
    /// idle connection while a call is sent.
    pub max_idle: Duration,
}

/// A connection in use by one call. Dropping it resets the connection, which discards
/// written bytes of an abandoned call that have not left this host.
pub(super) struct Connection {
    pub sender: SendRequest<RequestBody>,
    reset: ResetGuard,
    max_idle: Duration,
    address_pool: Arc<AddressPool>,
}

impl Connection {
    fn new(opened: Opened, address_pool: Arc<AddressPool>) -> Self {
        let Opened { sender, reset, max_idle } = opened;
        Self { sender, reset: reset.arm(), max_idle, address_pool }
    }

    /// Returns the connection to the pool. Allowed only after the request was written and
    /// the response read completely.
    pub fn release(self) {
        let Self { sender, reset, max_idle, address_pool } = self;
        let opened = Opened { sender, reset: reset.disarm(), max_idle };
        let since = Instant::now();
        lock(&address_pool.state).idle.push(Idle { opened, since, close_at: since + max_idle });
    }
}

impl Pool {
    /// Creates a pool that keeps each idle connection for at least `min_idle`.
    pub fn new(min_idle: Duration) -> Self {
        Self { address_pools: Arc::default(), min_idle }
    }

    /// Returns a connection that is ready to send. On an error nothing was sent.
    pub async fn acquire(&self, request: ConnectionRequest) -> std::io::Result<Connection> {
        let address_pool = self.address_pool(request.address);
        loop {
            while let Some(mut opened) = address_pool.pop_idle(request.max_idle) {
                if matches!(timeout(READY_TIMEOUT, opened.sender.ready()).await, Ok(Ok(()))) {
                    return Ok(Connection::new(opened, address_pool));
                }
            }
            if let Some(permit) = ConnectionPermit::try_acquire(&address_pool, request.max_open) {
                let connecting = timeout(CONNECT_TIMEOUT, connect(request.address, permit));
                let mut opened = connecting.await??;
                opened.max_idle = opened.max_idle.clamp(self.min_idle, MAX_IDLE);
                return Ok(Connection::new(opened, address_pool));
            }
            timeout(CONNECT_TIMEOUT, address_pool.closed.notified()).await?;
        }
    }

    /// Closes connections whose idle timeout passed.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut address_pools = lock(&self.address_pools);
        address_pools.retain(|_, address_pool| {
            let mut state = lock(&address_pool.state);
            state.idle.retain(|idle| now < idle.close_at && !idle.opened.sender.is_closed());
            state.open > 0 || Arc::strong_count(address_pool) > 1
        });
    }

    fn address_pool(&self, address: SocketAddr) -> Arc<AddressPool> {
        Arc::clone(lock(&self.address_pools).entry(address).or_default())
    }
}

impl AddressPool {
    /// Returns the most recently used connection. Connections that were idle for longer than
    /// `max_idle` are closed.
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

/// Permit for one open connection to an address; released when dropped.
struct ConnectionPermit(Arc<AddressPool>);

impl ConnectionPermit {
    fn try_acquire(address_pool: &Arc<AddressPool>, max_open: usize) -> Option<Self> {
        let mut state = lock(&address_pool.state);
        (state.open < max_open).then(|| {
            state.open += 1;
            Self(Arc::clone(address_pool))
        })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        lock(&self.0.state).open -= 1;
        self.0.closed.notify_one();
    }
}

async fn connect(address: SocketAddr, permit: ConnectionPermit) -> std::io::Result<Opened> {
    let began_at = Instant::now();
    let stream = TcpStream::connect(address).await?;
    let max_idle = began_at.elapsed() * IDLE_PER_CONNECT_TIME;
    stream.set_nodelay(true)?;
    let reset = ResetFlag::default();
    let socket = Socket::new(stream, reset.clone());
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(socket);
    let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // The call that uses the connection reports the error.
        let _ = connection.await;
        drop(permit);
    });
    Ok(Opened { sender, reset, max_idle })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
