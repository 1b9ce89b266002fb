//! Registry of peers: their addresses, connections and pending messages.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fireflylug_core::Event;
use fireflylug_core::collections::{HashMap, HashSet};
use fireflylug_core::ids::NodeId;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::backoff::Backoff;
use super::handshake::{End, Remote};
use super::stats::TrafficKind;
use crate::Runtime;

/// Maximum number of messages in the write queue of a connection.
pub(super) const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Maximum size of the write queue of a connection, in bytes. A longer queue means that
/// the peer does not read.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// Maximum number of pending messages while a peer is dialed. The oldest are dropped first.
const MAX_PENDING_MESSAGES: usize = 256;

/// An encoded message to send.
pub(super) struct Outgoing {
    pub kind: TrafficKind,
    pub bytes: Vec<u8>,
}

/// Registry entry of an established connection.
struct Connection {
    number: u64,
    end: End,
    incarnation: u64,
    queue: Queue,
}

/// Sending end of a connection's write queue.
#[derive(Clone)]
struct Queue {
    sender: mpsc::Sender<Outgoing>,
    queued_bytes: Arc<AtomicUsize>,
    cancel: CancellationToken,
}

impl Queue {
    /// Queues a message. A connection with a full queue is closed, since its peer does not
    /// keep up and the delay of messages would grow without bound.
    fn push(&self, outgoing: Outgoing) {
        let len = outgoing.bytes.len();
        let previous_bytes = self.queued_bytes.fetch_add(len, Ordering::Relaxed);
        if previous_bytes + len > MAX_QUEUED_BYTES || self.sender.try_send(outgoing).is_err() {
            self.cancel.cancel();
        }
    }
}

/// State of a registered connection for its task.
pub(super) struct Registered {
    pub number: u64,
    pub receiver: mpsc::Receiver<Outgoing>,
    pub queued_bytes: Arc<AtomicUsize>,
    pub cancel: CancellationToken,
}

#[derive(Default)]
struct Peer {
    address: Option<SocketAddr>,
    connections: Vec<Connection>,
    pending: VecDeque<Outgoing>,
    is_dialing: bool,
    backoff: Backoff,
}

impl Peer {
    /// The connection to send on. Both ends prefer the same one of two connections, so the
    /// other becomes idle and is closed.
    fn preferred(&self, me: NodeId, peer: NodeId) -> Option<&Connection> {
        let preferred_end = if me < peer { End::Dialer } else { End::Acceptor };
        let preferred = self.connections.iter().find(|c| c.end == preferred_end);
        preferred.or_else(|| self.connections.first())
    }

    fn newest_incarnation(&self) -> Option<u64> {
        self.connections.iter().map(|connection| connection.incarnation).max()
    }
}

#[derive(Default)]
struct Peers {
    peers: HashMap<NodeId, Peer>,
    dialed_addresses: HashSet<SocketAddr>,
    next_number: u64,
}

/// Result of sending a message through the registry.
pub(super) enum SendOutcome {
    /// The message is queued on a connection or pending until a running dial ends.
    Queued,
    /// The caller must dial this address after the delay.
    Dial(SocketAddr, std::time::Duration),
    /// The address of the process is unknown.
    AddressUnknown,
}

/// Connections, addresses and pending messages of all peers.
pub(super) struct Registry {
    runtime: Arc<Runtime>,
    me: NodeId,
    inner: Mutex<Peers>,
}

impl Registry {
    pub fn new(runtime: Arc<Runtime>, me: NodeId) -> Self {
        Self { runtime, me, inner: Mutex::default() }
    }

    /// Queues a message, or returns the action that is required first.
    pub fn send(&self, to: NodeId, outgoing: Outgoing) -> SendOutcome {
        let mut inner = self.lock();
        let peer = inner.peers.entry(to).or_default();
        if let Some(connection) = peer.preferred(self.me, to) {
            connection.queue.push(outgoing);
            return SendOutcome::Queued;
        }
        let Some(address) = peer.address else {
            inner.peers.remove(&to);
            return SendOutcome::AddressUnknown;
        };
        if peer.pending.len() == MAX_PENDING_MESSAGES {
            peer.pending.pop_front();
        }
        peer.pending.push_back(outgoing);
        if std::mem::replace(&mut peer.is_dialing, true) {
            return SendOutcome::Queued;
        }
        SendOutcome::Dial(address, peer.backoff.delay())
    }

    /// Sets the address at which a process listens.
    pub fn set_address(&self, id: NodeId, address: SocketAddr) {
        self.lock().peers.entry(id).or_default().address = Some(address);
    }

    /// Removes a process and closes its connections.
    pub fn remove(&self, id: NodeId) {
        if let Some(peer) = self.lock().peers.remove(&id) {
            peer.connections.iter().for_each(|connection| connection.queue.cancel.cancel());
        }
    }

    /// Whether a process has a connection.
    pub fn is_connected(&self, id: NodeId) -> bool {
        self.lock().peers.get(&id).is_some_and(|peer| !peer.connections.is_empty())
    }

    /// Marks an address as being dialed. Returns false if it already is, or if the process at the
    /// address is connected: a new connection would replace the present one, and the messages in
    /// transit on it would be lost.
    pub fn begin_dial(&self, address: SocketAddr) -> bool {
        let mut inner = self.lock();
        let is_at_address = |peer: &&Peer| peer.address == Some(address);
        let is_connected =
            inner.peers.values().filter(is_at_address).any(|peer| !peer.connections.is_empty());
        !is_connected && inner.dialed_addresses.insert(address)
    }

    /// Ends [`Registry::begin_dial`].
    pub fn end_dial(&self, address: SocketAddr) {
        self.lock().dialed_addresses.remove(&address);
    }

    /// Records that a dial of a known process ended, with or without a connection.
    pub fn finish_peer_dial(&self, id: NodeId) {
        let mut inner = self.lock();
        let Some(peer) = inner.peers.get_mut(&id) else { return };
        peer.is_dialing = false;
        if !peer.connections.is_empty() {
            return;
        }
        peer.backoff.record_failure();
        peer.pending.clear();
        self.runtime.submit(Event::PeerDisconnected { peer: id });
    }

    /// Registers a connection. Returns `None` if a newer incarnation of the process is
    /// connected.
    ///
    /// Events are submitted under the lock, so that events of two connections to one
    /// process have the order of the connections.
    pub fn register(&self, remote: &Remote, end: End) -> Option<Registered> {
        let mut inner = self.lock();
        let number = inner.next_number;
        inner.next_number += 1;
        let peer = inner.peers.entry(remote.id).or_default();
        let newest_incarnation = peer.newest_incarnation();
        if newest_incarnation
            .is_some_and(|newest_incarnation| newest_incarnation > remote.incarnation)
        {
            return None;
        }
        let has_restarted = newest_incarnation
            .is_some_and(|newest_incarnation| newest_incarnation < remote.incarnation);
        peer.connections.retain(|old| {
            let is_kept = old.incarnation == remote.incarnation && old.end != end;
            if !is_kept {
                old.queue.cancel.cancel();
            }
            is_kept
        });
        if has_restarted {
            self.runtime.submit(Event::PeerDisconnected { peer: remote.id });
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let queue =
            Queue { sender, queued_bytes: Arc::default(), cancel: CancellationToken::new() };
        peer.pending.drain(..).for_each(|outgoing| queue.push(outgoing));
        peer.backoff.reset();
        let incarnation = remote.incarnation;
        peer.connections.push(Connection { number, end, incarnation, queue: queue.clone() });
        if newest_incarnation.is_none() || has_restarted {
            self.runtime.submit(Event::PeerConnected { peer: remote.id });
        }
        let Queue { queued_bytes, cancel, .. } = queue;
        Some(Registered { number, receiver, queued_bytes, cancel })
    }

    /// Removes a connection that ended.
    pub fn unregister(&self, id: NodeId, number: u64) {
        let mut inner = self.lock();
        let Some(peer) = inner.peers.get_mut(&id) else { return };
        let previous_count = peer.connections.len();
        peer.connections.retain(|connection| connection.number != number);
        if previous_count == 0 || !peer.connections.is_empty() {
            return;
        }
        if peer.address.is_none() {
            inner.peers.remove(&id);
        }
        self.runtime.submit(Event::PeerDisconnected { peer: id });
    }

    fn lock(&self) -> MutexGuard<'_, Peers> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
