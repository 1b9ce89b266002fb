//! The TCP proxy: accepts on loopback and forwards bytes to an upstream over a [`Link`].

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::link::{Direction, Link, Mode};

/// Maximum bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;

/// Maximum chunks in flight per connection and direction.
const MAX_CHUNKS: usize = 64;

/// A TCP proxy that injects the faults of its link. Stops when dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    link: Arc<Link>,
    upstream: Upstream,
    accept_task: JoinHandle<()>,
}

/// Upstream of new connections; `None` while the upstream is down.
type Upstream = Arc<Mutex<Option<SocketAddr>>>;

impl FaultProxy {
    /// Starts a proxy with its own link on a port assigned by the operating system.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let proxy = Self::start_over(Link::new(), Direction::Forward).await?;
        proxy.set_upstream(Some(upstream));
        Ok(proxy)
    }

    /// Starts a proxy over a shared link, without an upstream yet. Bytes to the
    /// upstream travel in `direction`.
    pub async fn start_over(link: Arc<Link>, direction: Direction) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let upstream = Upstream::default();
        let accept_task = tokio::spawn(accept_connections(
            listener,
            Arc::clone(&link),
            direction,
            Arc::clone(&upstream),
        ));
        Ok(Self { address, link, upstream, accept_task })
    }

    /// Sets the upstream of new connections. With `None`, they are closed on accept.
    pub fn set_upstream(&self, upstream: Option<SocketAddr>) {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner) = upstream;
    }

    /// Returns the address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the link, to change its faults and read its byte counts.
    pub fn link(&self) -> &Arc<Link> {
        &self.link
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        // The task owns the set of connections, so they end with it.
        self.accept_task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    link: Arc<Link>,
    direction: Direction,
    upstream: Upstream,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let upstream = *upstream.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(upstream) = upstream {
            connections.spawn(forward_connection(client, Arc::clone(&link), direction, upstream));
        }
    }
}

/// Forwards one connection until either end closes it or the link is cut.
async fn forward_connection(
    client: TcpStream,
    link: Arc<Link>,
    direction: Direction,
    upstream: SocketAddr,
) {
    let mut modes = link.subscribe_mode();
    if *modes.borrow() == Mode::Cut {
        return;
    }
    let result = tokio::select! {
        _ = modes.wait_for(|mode| *mode == Mode::Cut) => return,
        result = connect_and_forward(client, &link, direction, upstream) => result,
    };
    // Both ends see a closed connection, as after a reset.
    drop(result);
}

async fn connect_and_forward(
    client: TcpStream,
    link: &Link,
    direction: Direction,
    upstream: SocketAddr,
) -> io::Result<()> {
    wait_until_passing(link).await;
    let server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::try_join!(
        forward_direction(from_client, to_server, link, direction),
        forward_direction(from_server, to_client, link, direction.reversed()),
    )?;
    Ok(())
}

async fn wait_until_passing(link: &Link) {
    // The link owns the sender, so waiting cannot fail.
    let _ = link.subscribe_mode().wait_for(|mode| *mode == Mode::Pass).await;
}

/// Bytes and the time at which they arrive at the other end.
type Chunk = (Instant, Vec<u8>);

async fn forward_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
    tokio::try_join!(read_chunks(from, sender, link, direction), write_chunks(to, receiver, link))?;
    Ok(())
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let mut offset_bytes = 0;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        wait_until_passing(link).await;
        let mut chunk = buffer[..length].to_vec();
        let is_reset = inject_faults(&mut chunk, offset_bytes, link, direction);
        offset_bytes += chunk.len() as u64;
        let arrives_at = link.schedule_delivery(direction, chunk.len() as u64);
        if sender.send((arrives_at, chunk)).await.is_err() {
            return Ok(());
        }
        if is_reset {
            drop(sender);
            // Leaves time to write the last chunk; the error then closes both ends.
            tokio::time::sleep_until(arrives_at + RESET_DELAY).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
}

/// Delay before a reset, in which the bytes before it are written.
const RESET_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// Corrupts and truncates a chunk as the faults of the link require. Returns whether to
/// reset the connection after it.
fn inject_faults(
    chunk: &mut Vec<u8>,
    offset_bytes: u64,
    link: &Link,
    direction: Direction,
) -> bool {
    let faults = link.faults(direction);
    let offset_in_chunk = |offset: u64| offset.checked_sub(offset_bytes).map(|at| at as usize);
    if let Some(byte) =
        faults.corrupt_at_byte.and_then(offset_in_chunk).and_then(|at| chunk.get_mut(at))
    {
        *byte = !*byte;
    }
    let Some(limit_bytes) = faults.reset_after_bytes else { return false };
    let remaining_bytes = limit_bytes.saturating_sub(offset_bytes) as usize;
    if chunk.len() < remaining_bytes {
        return false;
    }
    chunk.truncate(remaining_bytes);
    true
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    link: &Link,
) -> io::Result<()> {
    while let Some((arrives_at, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(arrives_at).await;
        wait_until_passing(link).await;
        to.write_all(&chunk).await?;
    }
    to.shutdown().await
}
