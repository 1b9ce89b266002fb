//! Delivers effects of the reducer to the tasks of calls.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use fireflylug_core::collections::HashMap;
use fireflylug_core::ids::CallId;
use fireflylug_core::routing::{CallEffect, Decision};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::open_connections::{ConnectionCounts, ConnectionStage, OpenConnection, OpenConnections};
use super::proxy::Client;
use super::socket::CallerConnection;
use crate::log::{self, DecisionLog};

/// Time that a stopping process still waits for the rest of a request after it has started to
/// refuse calls.
const REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of calls of this process that are started early and wait for their turn.
const MAX_EARLY_CALLS: usize = 512;

/// Accepts effects on calls without blocking.
#[derive(Clone, Debug, Default)]
pub struct CallHandle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    next_call: AtomicU64,
    entries: Mutex<HashMap<CallId, Arc<CallEntry>>>,
    phase: watch::Sender<Phase>,
    connections: TaskTracker,
    open_connections: Arc<OpenConnections>,
    killed: CancellationToken,
    started: Instant,
    decisions: DecisionLog,
    /// Limits the calls that are started early and wait for their turn.
    early_call_permits: Arc<Semaphore>,
    early_calls: AtomicU64,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            // Targets hold keys of calls of the last run: no call of this run may have the same one.
            next_call: AtomicU64::new(rand::random()),
            entries: Mutex::default(),
            phase: watch::Sender::new(Phase::Serving),
            connections: TaskTracker::new(),
            open_connections: Arc::default(),
            killed: CancellationToken::new(),
            started: Instant::now(),
            decisions: DecisionLog::default(),
            early_call_permits: Arc::new(Semaphore::new(MAX_EARLY_CALLS)),
            early_calls: AtomicU64::new(0),
        }
    }
}

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// The shutdown has not started.
    Serving,
    /// Each response closes its connection.
    ClosingKeepAlive,
    /// The listeners are closed.
    ListenersClosed,
    /// Idle connections are closed.
    ClosingIdle,
}

impl CallHandle {
    /// Creates a handle without calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Logs a decision about a call, subject to the rate limit of [`DecisionLog`].
    pub fn log_decision(&self, decision: &Decision) {
        if !self.shared.decisions.should_log(&decision.step) {
            return;
        }
        let entry = self.entry(decision.call);
        let request_id = entry.as_ref().and_then(|entry| entry.request_id.as_deref());
        log::write_step(request_id.unwrap_or("-"), &decision.step);
    }

    /// Delivers an effect to its call, or advances the graceful shutdown.
    pub fn run(&self, effect: CallEffect) {
        match effect.call() {
            Some(call) => {
                if let Some(entry) = self.entry(call) {
                    entry.push(effect);
                }
            }
            None if effect == CallEffect::CloseIdle => self.advance_phase(Phase::ClosingIdle),
            None if effect == CallEffect::CloseListeners => {
                self.advance_phase(Phase::ListenersClosed)
            }
            None => self.advance_phase(Phase::ClosingKeepAlive),
        }
    }

    /// Waits until every connection of callers and other proxies is closed after a graceful
    /// shutdown. Each response was then written completely to the operating system.
    pub async fn drained(&self) {
        self.shared.connections.close();
        self.shared.connections.wait().await;
    }

    /// Number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.entries().len()
    }

    /// Open connections of callers.
    pub fn caller_connections(&self) -> ConnectionCounts {
        self.shared.open_connections.counts(Client::Callers)
    }

    /// Open connections of other proxies.
    pub fn proxy_connections(&self) -> ConnectionCounts {
        self.shared.open_connections.counts(Client::Proxies)
    }

    /// Number of calls that were started before the turn of their requests.
    pub fn early_calls(&self) -> u64 {
        self.shared.early_calls.load(Ordering::Relaxed)
    }

    pub(super) fn count_early_call(&self) {
        self.shared.early_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a permit to start a call early, unless the limit of the process is reached.
    pub(super) fn early_call_permit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.shared.early_call_permits).try_acquire_owned().ok()
    }

    /// Counts a new connection until the result is dropped.
    pub(super) fn open_connection(&self, client: Client) -> OpenConnection {
        self.shared.open_connections.open(client)
    }

    pub(super) fn connections(&self) -> &TaskTracker {
        &self.shared.connections
    }

    /// Token that is cancelled to close every connection immediately.
    pub(super) fn killed(&self) -> CancellationToken {
        self.shared.killed.clone()
    }

    /// Waits until a stopping process refuses requests of which a part is missing.
    pub async fn request_grace_elapsed(&self) {
        self.reached(Phase::ClosingIdle).await;
        tokio::time::sleep(REQUEST_GRACE).await;
    }

    /// Waits until the graceful shutdown has reached a phase.
    pub(super) async fn reached(&self, minimum_phase: Phase) {
        // The sender is not dropped before `self`.
        let _ = self.shared.phase.subscribe().wait_for(|phase| *phase >= minimum_phase).await;
    }

    pub(super) fn is_serving(&self) -> bool {
        *self.shared.phase.borrow() == Phase::Serving
    }

    fn advance_phase(&self, phase: Phase) {
        self.shared.phase.send_if_modified(|now| {
            let is_later = phase > *now;
            *now = phase.max(*now);
            is_later
        });
    }

    /// Registers a new call that arrived on a connection.
    pub(super) fn open(
        &self,
        caller: Arc<CallerConnection>,
        request_id: Option<CompactString>,
        is_early: bool,
    ) -> (CallId, Arc<CallEntry>) {
        let call = CallId(self.shared.next_call.fetch_add(1, Ordering::Relaxed));
        let entry = Arc::new(CallEntry {
            effects: Mutex::default(),
            pushed: Notify::new(),
            caller,
            progress_ms: AtomicU64::new(self.now_ms()),
            request_id,
            is_early: AtomicBool::new(is_early),
            is_aborted: AtomicBool::new(false),
            early_abort: Notify::new(),
        });
        if !is_early {
            entry.caller.set_stage(ConnectionStage::Calling);
        }
        self.entries().insert(call, Arc::clone(&entry));
        (call, entry)
    }

    pub(super) fn close(&self, call: CallId) {
        if let Some(entry) = self.entries().remove(&call)
            && !entry.is_early.load(Ordering::SeqCst)
        {
            entry.caller.set_stage(ConnectionStage::Responded);
        }
    }

    /// Records progress of a response.
    pub(super) fn note_progress(&self, entry: &CallEntry) {
        entry.progress_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Closes connections whose response made no progress for `max_ms`.
    pub(super) fn close_stalled(&self, max_ms: u64) {
        let now_ms = self.now_ms();
        for entry in self.entries().values() {
            let progress_ms = entry.progress_ms.load(Ordering::Relaxed);
            if progress_ms != 0 && now_ms.saturating_sub(progress_ms) > max_ms {
                entry.abort();
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.shared.started.elapsed().as_millis() as u64 + 1
    }

    fn entry(&self, call: CallId) -> Option<Arc<CallEntry>> {
        self.entries().get(&call).cloned()
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<CallId, Arc<CallEntry>>> {
        self.shared.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queue of effects for one call, and progress of its response.
#[derive(Debug)]
pub(super) struct CallEntry {
    effects: Mutex<VecDeque<CallEffect>>,
    pushed: Notify,
    caller: Arc<CallerConnection>,
    /// Time of the last progress of the response, in milliseconds; 0 while none is relayed.
    progress_ms: AtomicU64,
    /// Request id sent by the caller, for the log.
    request_id: Option<CompactString>,
    /// Whether the call was started early and its turn has not come.
    is_early: AtomicBool,
    is_aborted: AtomicBool,
    /// Notified when the call is aborted before its turn.
    early_abort: Notify,
}

impl CallEntry {
    fn push(&self, effect: CallEffect) {
        if let CallEffect::Abort { .. } = effect {
            return self.abort();
        }
        self.effects().push_back(effect);
        self.pushed.notify_one();
    }

    /// Cuts off the response. Before its turn, the connection stays open.
    pub fn abort(&self) {
        self.is_aborted.store(true, Ordering::SeqCst);
        if self.is_early.load(Ordering::SeqCst) {
            self.early_abort.notify_one();
        } else {
            self.caller.abort();
        }
    }

    /// Waits until the call is aborted before its turn.
    pub async fn early_aborted(&self) {
        self.early_abort.notified().await;
    }

    /// Records that the turn of the call has come.
    pub fn take_turn(&self) {
        self.is_early.store(false, Ordering::SeqCst);
        // The call may have been aborted at the same time.
        if self.is_aborted.load(Ordering::SeqCst) {
            self.caller.abort();
        }
    }

    /// Returns the next effect if one is queued.
    pub fn try_next(&self) -> Option<CallEffect> {
        self.effects().pop_front()
    }

    /// Waits for the next effect.
    pub async fn next(&self) -> CallEffect {
        loop {
            if let Some(effect) = self.try_next() {
                return effect;
            }
            self.pushed.notified().await;
        }
    }

    /// Disables the stall check until the response starts.
    pub fn pause_progress(&self) {
        self.progress_ms.store(0, Ordering::Relaxed);
    }

    fn effects(&self) -> MutexGuard<'_, VecDeque<CallEffect>> {
        self.effects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
