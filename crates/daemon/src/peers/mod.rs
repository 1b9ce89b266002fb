//! Connections to other processes: WebSocket over TCP, CBOR messages.
//!
//! [`run`] accepts and dials. Each connection passes a handshake that names
//! both ends and proves the shared key, then carries messages both ways until
//! an end closes it, breaks or falls silent. Two processes that dial each
//! other at once keep both connections and send on the same one.

mod backoff;
mod connection;
mod handshake;
mod registry;
mod stats;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use fireflylug_core::context::Identity;
use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_core::ids::NodeId;
use fireflylug_core::message::PeerMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

pub use stats::{PeerStats, RegionStats, Traffic, TrafficKind, TrafficRow};

use crate::{Runtime, SharedKey, Translation};
use connection::Connection;
use handshake::{End, Remote};
use registry::{Outgoing, Registry, SendOutcome};

/// Time a connection may take to be opened, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;

/// Time a handshake may take, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 5_000;

/// Most accepted connections that may be in their handshake at once.
const MAX_HANDSHAKES: usize = 256;

/// Wait after a failed accept, such as for lack of file descriptors, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 100;

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// What the reducer asks of the connections.
#[derive(Debug)]
pub enum PeerCommand {
    /// Send a message.
    Send(NodeId, PeerMessage),
    /// Remember where a process listens.
    Learn(NodeId, SocketAddr),
    /// Close connections to a process that is gone.
    Forget(NodeId),
    /// Connect to a process that is not known yet.
    Dial(SocketAddr),
}

/// Takes commands to the connections without blocking.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    commands: UnboundedSender<PeerCommand>,
    stats: Arc<PeerStats>,
}

/// The other end of a [`PeerHandle`], for [`run`].
#[derive(Debug)]
pub struct PeerCommands {
    receiver: UnboundedReceiver<PeerCommand>,
    stats: Arc<PeerStats>,
}

impl PeerHandle {
    /// Makes a handle and what [`run`] needs of it.
    pub fn new() -> (Self, PeerCommands) {
        let (commands, receiver) = unbounded_channel();
        let stats = Arc::new(PeerStats::default());
        (Self { commands, stats: Arc::clone(&stats) }, PeerCommands { receiver, stats })
    }

    /// Counters of the traffic.
    pub fn stats(&self) -> &Arc<PeerStats> {
        &self.stats
    }

    /// Sends a message.
    pub fn send(&self, to: NodeId, message: PeerMessage) {
        self.command(PeerCommand::Send(to, message));
    }

    /// Remembers where a process listens.
    pub fn learn(&self, peer: NodeId, address: SocketAddr) {
        self.command(PeerCommand::Learn(peer, address));
    }

    /// Forgets a process that is gone.
    pub fn forget(&self, peer: NodeId) {
        self.command(PeerCommand::Forget(peer));
    }

    /// Connects to a process that is not known yet.
    pub fn dial(&self, address: SocketAddr) {
        self.command(PeerCommand::Dial(address));
    }

    fn command(&self, command: PeerCommand) {
        // The receiver is gone only while the process stops.
        let _ = self.commands.send(command);
    }
}

/// Settings of the connections.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Who this process is, for the handshake.
    pub me: Identity,
    /// Key that both ends must hold; none on loopback.
    pub key: Option<SharedKey>,
    /// Addresses replaced before connecting.
    pub translation: Translation,
}

/// Runs the connections until the process ends: accepts on `listener`, dials
/// as commanded, and submits what arrives to the runtime. Dropping the future
/// closes every connection.
pub async fn run(
    runtime: Arc<Runtime>,
    mut commands: PeerCommands,
    listener: TcpListener,
    settings: PeerSettings,
) {
    let edge = Arc::new(Edge {
        registry: Registry::new(Arc::clone(&runtime), settings.me.id),
        runtime,
        settings,
        stats: commands.stats,
        handshakes: Semaphore::new(MAX_HANDSHAKES),
    });
    let mut tasks = JoinSet::new();
    loop {
        tokio::select! {
            command = commands.receiver.recv() => {
                let Some(command) = command else { return };
                edge.command(command, &mut tasks);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => {
                    tasks.spawn(Arc::clone(&edge).accept(stream, address));
                }
                Err(error) => {
                    log(LogLevel::Warn, &format!("could not accept a connection: {error}"));
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// What every connection's task shares.
struct Edge {
    runtime: Arc<Runtime>,
    registry: Registry,
    settings: PeerSettings,
    stats: Arc<PeerStats>,
    handshakes: Semaphore,
}

impl Edge {
    fn command(self: &Arc<Self>, command: PeerCommand, tasks: &mut JoinSet<()>) {
        match command {
            PeerCommand::Send(to, message) => self.send(to, &message, tasks),
            PeerCommand::Learn(peer, address) => self.registry.learn(peer, address),
            PeerCommand::Forget(peer) => self.registry.forget(peer),
            PeerCommand::Dial(address) => {
                if self.registry.begin_dial(address) {
                    tasks.spawn(Arc::clone(self).dial_address(address));
                }
            }
        }
    }

    fn send(self: &Arc<Self>, to: NodeId, message: &PeerMessage, tasks: &mut JoinSet<()>) {
        let kind = TrafficKind::from(message);
        let outgoing = Outgoing { kind, bytes: fireflylug_wire::encode(message) };
        match self.registry.send(to, outgoing) {
            SendOutcome::Queued => {}
            SendOutcome::Dial(address, wait) => {
                tasks.spawn(Arc::clone(self).dial_peer(to, address, wait));
            }
            SendOutcome::Unknown => {
                self.runtime.submit(fireflylug_core::Event::PeerDisconnected { peer: to });
            }
        }
    }

    async fn accept(self: Arc<Self>, stream: TcpStream, address: SocketAddr) {
        let Ok(permit) = self.handshakes.try_acquire() else {
            log(LogLevel::Warn, &format!("closed a connection from {address}: too many at once"));
            return;
        };
        let opened = with_timeout(HANDSHAKE_TIMEOUT_MS, self.open(stream, End::Acceptor)).await;
        drop(permit);
        match opened {
            Ok((socket, remote)) => self.drive(socket, remote, End::Acceptor).await,
            Err(error) => {
                log(LogLevel::Warn, &format!("closed a connection from {address}: {error:#}"));
            }
        }
    }

    async fn dial_address(self: Arc<Self>, address: SocketAddr) {
        let dialed = self.dial(address).await;
        self.registry.end_dial(address);
        match dialed {
            Ok((socket, remote)) => self.drive(socket, remote, End::Dialer).await,
            Err(error) => log(LogLevel::Debug, &format!("could not dial {address}: {error:#}")),
        }
    }

    async fn dial_peer(self: Arc<Self>, peer: NodeId, address: SocketAddr, wait: Duration) {
        tokio::time::sleep(wait).await;
        if self.registry.is_connected(peer) {
            self.registry.dialed(peer);
            return;
        }
        match self.dial(address).await {
            Ok((socket, remote)) if remote.id == peer => {
                self.drive(socket, remote, End::Dialer).await;
            }
            Ok((_, remote)) => {
                log(LogLevel::Warn, &format!("{address} is {} and not {peer}", remote.id));
                self.registry.dialed(peer);
            }
            Err(error) => {
                log(LogLevel::Debug, &format!("could not dial {address}: {error:#}"));
                self.registry.dialed(peer);
            }
        }
    }

    async fn dial(
        &self,
        address: SocketAddr,
    ) -> eyre::Result<(WebSocketStream<TcpStream>, Remote)> {
        let target = self.settings.translation.apply(address);
        let connect = async { TcpStream::connect(target).await.wrap_err("cannot connect") };
        let stream = with_timeout(CONNECT_TIMEOUT_MS, connect).await?;
        with_timeout(HANDSHAKE_TIMEOUT_MS, self.open(stream, End::Dialer)).await
    }

    async fn open(
        &self,
        stream: TcpStream,
        end: End,
    ) -> eyre::Result<(WebSocketStream<TcpStream>, Remote)> {
        stream.set_nodelay(true)?;
        let config = Some(websocket_config());
        let mut socket = match end {
            End::Acceptor => tokio_tungstenite::accept_async_with_config(stream, config).await?,
            End::Dialer => {
                let url = format!("ws://{}/", stream.peer_addr()?);
                tokio_tungstenite::client_async_with_config(url, stream, config).await?.0
            }
        };
        let key = self.settings.key.as_ref();
        let remote = handshake::run(&mut socket, end, &self.settings.me, key).await?;
        Ok((socket, remote))
    }

    async fn drive(&self, socket: WebSocketStream<TcpStream>, remote: Remote, end: End) {
        let id = remote.id;
        let registered = self.registry.register(&remote, end);
        if end == End::Dialer {
            self.registry.dialed(id);
        }
        let Some(registered) = registered else { return };
        let number = registered.number;
        let stats = self.stats.region(&remote.locality.region);
        let connection = Connection { runtime: Arc::clone(&self.runtime), remote, end, stats };
        if let Err(error) = connection.run(socket, registered).await {
            log(LogLevel::Debug, &format!("a connection to {id} broke: {error:#}"));
        }
        self.registry.unregister(id, number);
    }
}

async fn with_timeout<T>(
    timeout_ms: u64,
    work: impl Future<Output = eyre::Result<T>>,
) -> eyre::Result<T> {
    timeout(Duration::from_millis(timeout_ms), work)
        .await
        .map_err(|_| eyre!("not done within {timeout_ms} ms"))?
}

fn websocket_config() -> WebSocketConfig {
    // The default buffers are 128 KiB each, too much for a hundred connections.
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(fireflylug_wire::MAX_MESSAGE_BYTES))
        .max_frame_size(Some(fireflylug_wire::MAX_MESSAGE_BYTES))
}

fn log(level: LogLevel, text: &str) {
    crate::log::write(level, LogPart::Peers, text);
}
