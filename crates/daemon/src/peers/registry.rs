//! Which processes this one is connected to, and where the others listen.

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

/// Most messages that wait for one connection.
pub(super) const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Most bytes that wait for one connection. More means that the other end does not read.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;

/// Most messages that wait while a process is dialed; the oldest are dropped first.
const MAX_WAITING_MESSAGES: usize = 256;

/// An encoded message on its way out.
pub(super) struct Outgoing {
    pub kind: TrafficKind,
    pub bytes: Vec<u8>,
}

/// One established connection, as the registry holds it.
struct Connection {
    number: u64,
    end: End,
    incarnation: u64,
    queue: Queue,
}

/// The sending side of a connection's queue.
#[derive(Clone)]
struct Queue {
    sender: mpsc::Sender<Outgoing>,
    queued_bytes: Arc<AtomicUsize>,
    cancel: CancellationToken,
}

impl Queue {
    /// Queues a message. A connection whose queue is full is closed, since its
    /// other end does not keep up and would get messages ever later.
    fn push(&self, outgoing: Outgoing) {
        let len = outgoing.bytes.len();
        let before = self.queued_bytes.fetch_add(len, Ordering::Relaxed);
        if before + len > MAX_QUEUED_BYTES || self.sender.try_send(outgoing).is_err() {
            self.cancel.cancel();
        }
    }
}

/// What a connection's task needs to run.
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
    waiting: VecDeque<Outgoing>,
    dialing: bool,
    backoff: Backoff,
}

impl Peer {
    /// The connection to send on. Both ends prefer the same one of two, so
    /// that the other falls idle and is closed.
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
struct Inner {
    peers: HashMap<NodeId, Peer>,
    dialing: HashSet<SocketAddr>,
    next_number: u64,
}

/// What to do after a message was handed to the registry.
pub(super) enum SendOutcome {
    /// It is queued on a connection, or waits for a dial that runs.
    Queued,
    /// The caller must dial this address after the wait.
    Dial(SocketAddr, std::time::Duration),
    /// Nobody knows where the process listens.
    Unknown,
}

/// Connections and addresses of every peer.
pub(super) struct Registry {
    runtime: Arc<Runtime>,
    me: NodeId,
    inner: Mutex<Inner>,
}

impl Registry {
    pub fn new(runtime: Arc<Runtime>, me: NodeId) -> Self {
        Self { runtime, me, inner: Mutex::default() }
    }

    /// Sends a message, or says what must be done first.
    pub fn send(&self, to: NodeId, outgoing: Outgoing) -> SendOutcome {
        let mut inner = self.lock();
        let peer = inner.peers.entry(to).or_default();
        if let Some(connection) = peer.preferred(self.me, to) {
            connection.queue.push(outgoing);
            return SendOutcome::Queued;
        }
        let Some(address) = peer.address else {
            inner.peers.remove(&to);
            return SendOutcome::Unknown;
        };
        if peer.waiting.len() == MAX_WAITING_MESSAGES {
            peer.waiting.pop_front();
        }
        peer.waiting.push_back(outgoing);
        if std::mem::replace(&mut peer.dialing, true) {
            return SendOutcome::Queued;
        }
        SendOutcome::Dial(address, peer.backoff.wait())
    }

    /// Remembers where a process listens.
    pub fn learn(&self, id: NodeId, address: SocketAddr) {
        self.lock().peers.entry(id).or_default().address = Some(address);
    }

    /// Forgets a process and closes its connections.
    pub fn forget(&self, id: NodeId) {
        if let Some(peer) = self.lock().peers.remove(&id) {
            peer.connections.iter().for_each(|connection| connection.queue.cancel.cancel());
        }
    }

    /// Whether a process is connected.
    pub fn is_connected(&self, id: NodeId) -> bool {
        self.lock().peers.get(&id).is_some_and(|peer| !peer.connections.is_empty())
    }

    /// Marks an address as being dialed. False where it already is.
    pub fn begin_dial(&self, address: SocketAddr) -> bool {
        self.lock().dialing.insert(address)
    }

    /// Ends [`Registry::begin_dial`].
    pub fn end_dial(&self, address: SocketAddr) {
        self.lock().dialing.remove(&address);
    }

    /// A dial of a known process ended, with or without a connection.
    pub fn dialed(&self, id: NodeId) {
        let mut inner = self.lock();
        let Some(peer) = inner.peers.get_mut(&id) else { return };
        peer.dialing = false;
        if !peer.connections.is_empty() {
            return;
        }
        peer.backoff.failed();
        peer.waiting.clear();
        self.runtime.submit(Event::PeerDisconnected { peer: id });
    }

    /// Takes a connection in. None where a later start of the same process is connected.
    ///
    /// Events are submitted under the lock, so that those of two connections
    /// to one process come in the order of the connections.
    pub fn register(&self, remote: &Remote, end: End) -> Option<Registered> {
        let mut inner = self.lock();
        let number = inner.next_number;
        inner.next_number += 1;
        let peer = inner.peers.entry(remote.id).or_default();
        let newest = peer.newest_incarnation();
        if newest.is_some_and(|newest| newest > remote.incarnation) {
            return None;
        }
        let restarted = newest.is_some_and(|newest| newest < remote.incarnation);
        peer.connections.retain(|old| {
            let keep = old.incarnation == remote.incarnation && old.end != end;
            if !keep {
                old.queue.cancel.cancel();
            }
            keep
        });
        if restarted {
            self.runtime.submit(Event::PeerDisconnected { peer: remote.id });
        }
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let queue =
            Queue { sender, queued_bytes: Arc::default(), cancel: CancellationToken::new() };
        peer.waiting.drain(..).for_each(|outgoing| queue.push(outgoing));
        peer.backoff.reset();
        let incarnation = remote.incarnation;
        peer.connections.push(Connection { number, end, incarnation, queue: queue.clone() });
        if newest.is_none() || restarted {
            self.runtime.submit(Event::PeerConnected { peer: remote.id });
        }
        let Queue { queued_bytes, cancel, .. } = queue;
        Some(Registered { number, receiver, queued_bytes, cancel })
    }

    /// A connection ended.
    pub fn unregister(&self, id: NodeId, number: u64) {
        let mut inner = self.lock();
        let Some(peer) = inner.peers.get_mut(&id) else { return };
        let before = peer.connections.len();
        peer.connections.retain(|connection| connection.number != number);
        if before == 0 || !peer.connections.is_empty() {
            return;
        }
        if peer.address.is_none() {
            inner.peers.remove(&id);
        }
        self.runtime.submit(Event::PeerDisconnected { peer: id });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
