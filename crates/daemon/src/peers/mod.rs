//! Connections to other processes: CBOR messages in WebSocket frames over TCP.
//!
//! [`run`] accepts and dials. Each connection starts with a handshake that identifies
//! both ends and proves the shared key. It then carries messages in both directions until
//! an end closes it, fails or times out. Two processes that dial each other simultaneously
//! keep both connections and send on the same one.

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

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 3_000;

/// Timeout of a handshake, in milliseconds.
const HANDSHAKE_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of accepted connections with a handshake in progress.
const MAX_HANDSHAKES: usize = 256;

/// Delay after a failed accept, for example without free file descriptors, in milliseconds.
const ACCEPT_BACKOFF_MS: u64 = 100;

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Command of the reducer to the peer connections.
#[derive(Debug)]
pub enum PeerCommand {
    /// Sends a message.
    Send(NodeId, PeerMessage),
    /// Sets the address at which a process listens.
    SetAddress(NodeId, SocketAddr),
    /// Closes all connections to a removed process.
    Remove(NodeId),
    /// Connects to a process whose identity is unknown.
    Dial(SocketAddr),
}

/// Sends commands to the peer connections without blocking.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    commands: UnboundedSender<PeerCommand>,
    stats: Arc<PeerStats>,
}

/// Receiving end of a [`PeerHandle`], for [`run`].
#[derive(Debug)]
pub struct PeerCommands {
    receiver: UnboundedReceiver<PeerCommand>,
    stats: Arc<PeerStats>,
}

impl PeerHandle {
    /// Creates a handle and its receiving end for [`run`].
    pub fn new() -> (Self, PeerCommands) {
        let (commands, receiver) = unbounded_channel();
        let stats = Arc::new(PeerStats::default());
        (Self { commands, stats: Arc::clone(&stats) }, PeerCommands { receiver, stats })
    }

    /// Traffic counters.
    pub fn stats(&self) -> &Arc<PeerStats> {
        &self.stats
    }

    /// Sends a message.
    pub fn send(&self, to: NodeId, message: PeerMessage) {
        self.command(PeerCommand::Send(to, message));
    }

    /// Sets the address at which a process listens.
    pub fn set_address(&self, peer: NodeId, address: SocketAddr) {
        self.command(PeerCommand::SetAddress(peer, address));
    }

    /// Removes a process and closes its connections.
    pub fn remove(&self, peer: NodeId) {
        self.command(PeerCommand::Remove(peer));
    }

    /// Connects to a process whose identity is unknown.
    pub fn dial(&self, address: SocketAddr) {
        self.command(PeerCommand::Dial(address));
    }

    fn command(&self, command: PeerCommand) {
        // The receiver is dropped only while the process stops.
        let _ = self.commands.send(command);
    }
}

/// Settings of the peer connections.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Identity of this process, for the handshake.
    pub me: Identity,
    /// Key that both ends must prove; `None` on loopback.
    pub key: Option<SharedKey>,
    /// Address translation that is applied before connecting.
    pub translation: Translation,
}

/// Runs the peer connections until the process ends: accepts on `listener`, carries out
/// commands, and submits received messages to the runtime. Dropping the future closes every
/// connection.
pub async fn run(
    runtime: Arc<Runtime>,
    mut commands: PeerCommands,
    listener: TcpListener,
    settings: PeerSettings,
) {
    let network = Arc::new(PeerNetwork {
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
                network.command(command, &mut tasks);
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, address)) => {
                    tasks.spawn(Arc::clone(&network).accept(stream, address));
                }
                Err(error) => {
                    log(LogLevel::Warn, &format!("cannot accept a connection: {error}"));
                    tokio::time::sleep(Duration::from_millis(ACCEPT_BACKOFF_MS)).await;
                }
            },
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// State shared by the tasks of all connections.
struct PeerNetwork {
    runtime: Arc<Runtime>,
    registry: Registry,
    settings: PeerSettings,
    stats: Arc<PeerStats>,
    handshakes: Semaphore,
}

impl PeerNetwork {
    fn command(self: &Arc<Self>, command: PeerCommand, tasks: &mut JoinSet<()>) {
        match command {
            PeerCommand::Send(to, message) => self.send(to, &message, tasks),
            PeerCommand::SetAddress(peer, address) => self.registry.set_address(peer, address),
            PeerCommand::Remove(peer) => self.registry.remove(peer),
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
            SendOutcome::Dial(address, delay) => {
                tasks.spawn(Arc::clone(self).dial_peer(to, address, delay));
            }
            SendOutcome::AddressUnknown => {
                self.runtime.submit(fireflylug_core::Event::PeerDisconnected { peer: to });
            }
        }
    }

    async fn accept(self: Arc<Self>, stream: TcpStream, address: SocketAddr) {
        let Ok(permit) = self.handshakes.try_acquire() else {
            log(
                LogLevel::Warn,
                &format!("closed a connection from {address}: too many concurrent handshakes"),
            );
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
            Err(error) => log(LogLevel::Debug, &format!("cannot dial {address}: {error:#}")),
        }
    }

    async fn dial_peer(self: Arc<Self>, peer: NodeId, address: SocketAddr, delay: Duration) {
        tokio::time::sleep(delay).await;
        if self.registry.is_connected(peer) {
            self.registry.finish_peer_dial(peer);
            return;
        }
        match self.dial(address).await {
            Ok((socket, remote)) if remote.id == peer => {
                self.drive(socket, remote, End::Dialer).await;
            }
            Ok((_, remote)) => {
                log(
                    LogLevel::Warn,
                    &format!("the process at {address} is {}, expected {peer}", remote.id),
                );
                self.registry.finish_peer_dial(peer);
            }
            Err(error) => {
                log(LogLevel::Debug, &format!("cannot dial {address}: {error:#}"));
                self.registry.finish_peer_dial(peer);
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
            self.registry.finish_peer_dial(id);
        }
        let Some(registered) = registered else { return };
        let number = registered.number;
        let stats = self.stats.region(&remote.locality.region);
        let connection = Connection { runtime: Arc::clone(&self.runtime), remote, end, stats };
        if let Err(error) = connection.run(socket, registered).await {
            log(LogLevel::Debug, &format!("a connection to {id} failed: {error:#}"));
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
        .map_err(|_| eyre!("timed out after {timeout_ms} ms"))?
}

fn websocket_config() -> WebSocketConfig {
    // The default buffers of 128 KiB each take too much memory with a hundred connections.
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(fireflylug_wire::MAX_MESSAGE_BYTES))
        .max_frame_size(Some(fireflylug_wire::MAX_MESSAGE_BYTES))
}

fn log(level: LogLevel, text: &str) {
    crate::log::write(level, LogPart::Peers, text);
}
