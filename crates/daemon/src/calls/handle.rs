//! Brings effects to the tasks of their calls.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use compact_str::CompactString;
use fireflylug_core::collections::HashMap;
use fireflylug_core::ids::CallId;
use fireflylug_core::routing::{CallEffect, Decision};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::log::{self, DecisionLog};

/// Takes effects on calls without blocking.
#[derive(Clone, Debug, Default)]
pub struct CallHandle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    next_call: AtomicU64,
    slots: Mutex<HashMap<CallId, Arc<Slot>>>,
    phase: watch::Sender<Phase>,
    connections: TaskTracker,
    killed: CancellationToken,
    started: Instant,
    decisions: DecisionLog,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            next_call: AtomicU64::new(1),
            slots: Mutex::default(),
            phase: watch::Sender::new(Phase::Serving),
            connections: TaskTracker::new(),
            killed: CancellationToken::new(),
            started: Instant::now(),
            decisions: DecisionLog::default(),
        }
    }
}

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// Not begun.
    Serving,
    /// Each answer closes its connection.
    Notice,
    /// No connection is accepted.
    Deaf,
    /// Unused connections are closed.
    Closing,
}

impl CallHandle {
    /// Makes a handle with no call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes what was decided about a call to the log, unless it is full of such lines.
    pub fn tell(&self, decision: &Decision) {
        if !self.shared.decisions.takes(&decision.step) {
            return;
        }
        let slot = self.slot(decision.call);
        let request_id = slot.as_ref().and_then(|slot| slot.request_id.as_deref());
        log::write_step(request_id.unwrap_or("-"), &decision.step);
    }

    /// Does something with a call.
    pub fn run(&self, effect: CallEffect) {
        match effect.call() {
            Some(call) => {
                if let Some(slot) = self.slot(call) {
                    slot.push(effect);
                }
            }
            None if effect == CallEffect::CloseIdle => self.enter(Phase::Closing),
            None if effect == CallEffect::CloseListeners => self.enter(Phase::Deaf),
            None => self.enter(Phase::Notice),
        }
    }

    /// Waits until every connection of callers and other proxies is closed,
    /// after a graceful stop: each answer was handed to the system whole.
    pub async fn drained(&self) {
        self.shared.connections.close();
        self.shared.connections.wait().await;
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> usize {
        self.slots().len()
    }

    pub(super) fn connections(&self) -> &TaskTracker {
        &self.shared.connections
    }

    /// Cancelled when every connection must be closed at once.
    pub(super) fn killed(&self) -> CancellationToken {
        self.shared.killed.clone()
    }

    pub(super) fn phase(&self) -> watch::Receiver<Phase> {
        self.shared.phase.subscribe()
    }

    pub(super) fn is_serving(&self) -> bool {
        *self.shared.phase.borrow() == Phase::Serving
    }

    fn enter(&self, phase: Phase) {
        self.shared.phase.send_if_modified(|now| {
            let is_later = phase > *now;
            *now = phase.max(*now);
            is_later
        });
    }

    /// Makes a slot for a new call on the connection that `broken` closes.
    pub(super) fn open(
        &self,
        broken: Arc<Notify>,
        request_id: Option<CompactString>,
    ) -> (CallId, Arc<Slot>) {
        let call = CallId(self.shared.next_call.fetch_add(1, Ordering::Relaxed));
        let slot = Arc::new(Slot {
            effects: Mutex::default(),
            pushed: Notify::new(),
            broken,
            progress_ms: AtomicU64::new(self.now_ms()),
            request_id,
        });
        self.slots().insert(call, Arc::clone(&slot));
        (call, slot)
    }

    pub(super) fn close(&self, call: CallId) {
        self.slots().remove(&call);
    }

    /// Notes that an answer made progress.
    pub(super) fn note_progress(&self, slot: &Slot) {
        slot.progress_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// Breaks connections on which an answer has made no progress for `max_ms`.
    pub(super) fn break_stalled(&self, max_ms: u64) {
        let now_ms = self.now_ms();
        for slot in self.slots().values() {
            let progress_ms = slot.progress_ms.load(Ordering::Relaxed);
            if progress_ms != 0 && now_ms.saturating_sub(progress_ms) > max_ms {
                slot.broken.notify_one();
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.shared.started.elapsed().as_millis() as u64 + 1
    }

    fn slot(&self, call: CallId) -> Option<Arc<Slot>> {
        self.slots().get(&call).cloned()
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<CallId, Arc<Slot>>> {
        self.shared.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Effects for one call, in order.
#[derive(Debug)]
pub(super) struct Slot {
    effects: Mutex<VecDeque<CallEffect>>,
    pushed: Notify,
    /// Closes the caller's connection at once.
    broken: Arc<Notify>,
    /// When the answer last made progress, in milliseconds; 0 while none is passed on.
    progress_ms: AtomicU64,
    /// Id that the caller gave the call, for the log.
    request_id: Option<CompactString>,
}

impl Slot {
    fn push(&self, effect: CallEffect) {
        if let CallEffect::Abort { .. } = effect {
            self.broken.notify_one();
            return;
        }
        self.effects().push_back(effect);
        self.pushed.notify_one();
    }

    /// The next effect that is here already.
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

    /// Stops the watch for progress: the answer has not begun.
    pub fn pause_progress(&self) {
        self.progress_ms.store(0, Ordering::Relaxed);
    }

    fn effects(&self) -> MutexGuard<'_, VecDeque<CallEffect>> {
        self.effects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
