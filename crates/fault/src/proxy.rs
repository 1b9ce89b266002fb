//! The TCP proxy: accepts on loopback and passes bytes to an upstream over a [`Link`].

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

/// Most bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Most chunks that are under way on one connection and direction.
const MAX_CHUNKS: usize = 64;

/// A TCP proxy that injects the faults of its link. Stops when dropped.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    link: Arc<Link>,
    upstream: Upstream,
    accepting: JoinHandle<()>,
}

/// Where new connections go; none while the upstream is not up.
type Upstream = Arc<Mutex<Option<SocketAddr>>>;

impl FaultProxy {
    /// Starts a proxy with a link of its own on a port that the system chooses.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let proxy = Self::start_over(Link::new(), Direction::Forward).await?;
        proxy.set_upstream(Some(upstream));
        Ok(proxy)
    }

    /// Starts a proxy over a shared link, whose upstream is not up yet. Bytes to
    /// the upstream go in `direction`.
    pub async fn start_over(link: Arc<Link>, direction: Direction) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let upstream = Upstream::default();
        let accepting =
            tokio::spawn(accept(listener, Arc::clone(&link), direction, Arc::clone(&upstream)));
        Ok(Self { address, link, upstream, accepting })
    }

    /// Sets where new connections go; they are closed while that is nowhere.
    pub fn set_upstream(&self, upstream: Option<SocketAddr>) {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner) = upstream;
    }

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The link, to change its faults and read its counts.
    pub fn link(&self) -> &Arc<Link> {
        &self.link
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        // The connections belong to a set inside the task and end with it.
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, link: Arc<Link>, direction: Direction, upstream: Upstream) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let upstream = *upstream.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(upstream) = upstream {
            connections.spawn(carry(client, Arc::clone(&link), direction, upstream));
        }
    }
}

/// Carries one connection until an end closes it or the link is cut.
async fn carry(client: TcpStream, link: Arc<Link>, direction: Direction, upstream: SocketAddr) {
    let mut modes = link.modes();
    if *modes.borrow() == Mode::Cut {
        return;
    }
    let passed = tokio::select! {
        _ = modes.wait_for(|mode| *mode == Mode::Cut) => return,
        passed = connect_and_pass(client, &link, direction, upstream) => passed,
    };
    // Both ends see a closed connection, as after a reset.
    drop(passed);
}

async fn connect_and_pass(
    client: TcpStream,
    link: &Link,
    direction: Direction,
    upstream: SocketAddr,
) -> io::Result<()> {
    pass_mode(link).await;
    let server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::try_join!(
        pump(from_client, to_server, link, direction),
        pump(from_server, to_client, link, direction.reversed()),
    )?;
    Ok(())
}

async fn pass_mode(link: &Link) {
    // The sender lives in the link, so that waiting cannot fail.
    let _ = link.modes().wait_for(|mode| *mode == Mode::Pass).await;
}

type Chunk = (Instant, Vec<u8>);

async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
    tokio::try_join!(take_in(from, sender, link, direction), give_out(to, receiver, link))?;
    Ok(())
}

async fn take_in(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    link: &Link,
    direction: Direction,
) -> io::Result<()> {
    let mut taken_bytes = 0;
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        pass_mode(link).await;
        let mut chunk = buffer[..length].to_vec();
        let reset = inject(&mut chunk, taken_bytes, link, direction);
        taken_bytes += chunk.len() as u64;
        let arrives_at = link.admit(direction, chunk.len() as u64);
        if sender.send((arrives_at, chunk)).await.is_err() {
            return Ok(());
        }
        if reset {
            drop(sender);
            // Lets the last chunk go out; the error then closes both ends.
            tokio::time::sleep_until(arrives_at + RESET_AFTER).await;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
    }
}

/// Time that the bytes before a reset have to go out.
const RESET_AFTER: std::time::Duration = std::time::Duration::from_millis(20);

/// Corrupts and cuts a chunk as the faults say. Returns whether to reset after it.
fn inject(chunk: &mut Vec<u8>, taken_bytes: u64, link: &Link, direction: Direction) -> bool {
    let faults = link.faults(direction);
    let within = |offset: u64| offset.checked_sub(taken_bytes).map(|at| at as usize);
    if let Some(byte) = faults.corrupt_at_byte.and_then(within).and_then(|at| chunk.get_mut(at)) {
        *byte = !*byte;
    }
    let Some(after) = faults.reset_after_bytes else { return false };
    let left = after.saturating_sub(taken_bytes) as usize;
    if chunk.len() < left {
        return false;
    }
    chunk.truncate(left);
    true
}

async fn give_out(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    link: &Link,
) -> io::Result<()> {
    while let Some((arrives_at, chunk)) = receiver.recv().await {
        tokio::time::sleep_until(arrives_at).await;
        pass_mode(link).await;
        to.write_all(&chunk).await?;
    }
    to.shutdown().await
}
