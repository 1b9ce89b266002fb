//! Passes events to the reducer and dispatches its effects to the I/O handles.

use std::sync::{Arc, Mutex, MutexGuard};

use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_core::{Effect, Event, Instant, State, reduce};
use tokio::sync::Notify;

use crate::api::PendingRequests;
use crate::calls::CallHandle;
use crate::disk::DiskHandle;
use crate::peers::{PeerHandle, PeerStats};

/// Handles that carry out effects. Each accepts an effect without blocking.
pub struct IoHandles {
    /// Connections to other processes.
    pub peers: PeerHandle,
    /// Disk of a control replica.
    pub disk: Option<DiskHandle>,
    /// Pending requests at the resource API.
    pub pending_requests: PendingRequests,
    /// Call path.
    pub calls: CallHandle,
}

/// Reducer of one process with its clock and I/O handles.
pub struct Runtime {
    state: Mutex<TimedState>,
    started: std::time::Instant,
    io_handles: IoHandles,
    timer_changed: Notify,
    exit_requested: Notify,
}

struct TimedState {
    state: State,
    /// Deadline for which the timer is set.
    timer_deadline: Instant,
}

impl Runtime {
    /// Creates a runtime. [`Runtime::run_timer`] must run concurrently.
    pub fn new(state: State, io_handles: IoHandles) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(TimedState { state, timer_deadline: Instant::ZERO }),
            started: std::time::Instant::now(),
            io_handles,
            timer_changed: Notify::new(),
            exit_requested: Notify::new(),
        })
    }

    /// Time since the runtime was created.
    pub fn now(&self) -> Instant {
        Instant::from_us(self.started.elapsed().as_micros() as u64)
    }

    /// Reduces an event and dispatches its effects in order.
    ///
    /// Effects are dispatched under the lock, so that the effects of two events arrive in
    /// the order of the events.
    pub fn submit(&self, event: Event) {
        let mut timed = self.lock();
        let now = self.now();
        for effect in reduce(&mut timed.state, event, now) {
            self.dispatch(effect);
        }
        let next_deadline = timed.state.next_deadline();
        if next_deadline < timed.timer_deadline {
            timed.timer_deadline = next_deadline;
            self.timer_changed.notify_one();
        }
    }

    /// Counters of the traffic with other processes.
    pub fn peer_stats(&self) -> &Arc<PeerStats> {
        self.io_handles.peers.stats()
    }

    /// Number of calls that were started before the responses to earlier requests of their
    /// connections had ended.
    pub fn early_calls(&self) -> u64 {
        self.io_handles.calls.early_calls()
    }

    /// Reads from the state.
    pub fn inspect<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.lock().state)
    }

    /// Submits a tick whenever a deadline has passed. Never returns.
    pub async fn run_timer(&self) {
        let mut last_tick_at = Instant::ZERO;
        loop {
            // The minimum interval prevents a busy loop while a deadline stays in the past.
            let tick_at = self.rearm_timer().max(last_tick_at.plus_ms(MIN_TICK_INTERVAL_MS));
            let wait_us = tick_at.since_us(self.now());
            tokio::select! {
                () = tokio::time::sleep(std::time::Duration::from_micros(wait_us)) => {
                    last_tick_at = self.now();
                    self.submit(Event::Tick);
                }
                () = self.timer_changed.notified() => {}
            }
        }
    }

    /// Waits until the reducer ends the process, for example after a graceful shutdown.
    pub async fn exited(&self) {
        self.exit_requested.notified().await;
    }

    fn rearm_timer(&self) -> Instant {
        let mut timed = self.lock();
        timed.timer_deadline = timed.state.next_deadline();
        // Bounds the sleep, so an idle process wakes periodically.
        timed.timer_deadline.min(self.now().plus_ms(MAX_SLEEP_MS))
    }

    fn dispatch(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.io_handles.peers.send(to, message),
            Effect::StorePeerAddress { peer, address } => {
                self.io_handles.peers.set_address(peer, address)
            }
            Effect::ForgetPeer { peer } => self.io_handles.peers.remove(peer),
            Effect::Dial { address } => self.io_handles.peers.dial(address),
            Effect::Disk(command) => {
                if let Some(disk) = &self.io_handles.disk {
                    disk.run(command);
                }
            }
            Effect::Answer { request, response } => {
                self.io_handles.pending_requests.respond(request, response)
            }
            Effect::LogDecision(decision) => self.io_handles.calls.log_decision(&decision),
            Effect::Call(effect) => self.io_handles.calls.run(effect),
            Effect::Log { level, part, text } => crate::log::write(level, part, &text),
            Effect::Exit => self.exit_requested.notify_one(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TimedState> {
        self.state.lock().unwrap_or_else(|_| {
            // A panic in the reducer may have left a partial change in the state. To continue
            // could violate a guarantee; a restart recovers the synced state.
            crate::log::write(
                LogLevel::Error,
                LogPart::Daemon,
                "The reducer panicked; the process exits.",
            );
            std::process::exit(EXIT_STATUS_PANIC)
        })
    }
}

/// Minimum interval between two ticks, in milliseconds.
const MIN_TICK_INTERVAL_MS: u64 = 1;

/// Exit status after a panic in the reducer.
const EXIT_STATUS_PANIC: i32 = 70;

/// Maximum sleep of the timer, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;
