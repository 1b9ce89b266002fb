//! Passes events to the reducer and its effects to the edges.

use std::sync::{Arc, Mutex, MutexGuard};

use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_core::{Effect, Event, Instant, State, reduce};
use tokio::sync::Notify;

use crate::api::Answers;
use crate::calls::CallHandle;
use crate::disk::DiskHandle;
use crate::peers::{PeerHandle, PeerStats};

/// Where effects go. Each handle takes an effect without blocking.
pub struct Edges {
    /// Connections to other processes.
    pub peers: PeerHandle,
    /// The disk of a control replica.
    pub disk: Option<DiskHandle>,
    /// Answers at the resource API.
    pub answers: Answers,
    /// Calls.
    pub calls: CallHandle,
}

/// The reducer of one process with its clock and its edges.
pub struct Runtime {
    state: Mutex<Guarded>,
    started: std::time::Instant,
    edges: Edges,
    rearm: Notify,
    exit: Notify,
}

struct Guarded {
    state: State,
    /// The deadline that the timer waits for.
    armed: Instant,
}

impl Runtime {
    /// Makes a runtime. [`Runtime::run_timer`] must be run beside it.
    pub fn new(state: State, edges: Edges) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(Guarded { state, armed: Instant::ZERO }),
            started: std::time::Instant::now(),
            edges,
            rearm: Notify::new(),
            exit: Notify::new(),
        })
    }

    /// Time since the start.
    pub fn now(&self) -> Instant {
        Instant::from_us(self.started.elapsed().as_micros() as u64)
    }

    /// Takes an event in and hands its effects to the edges, in order.
    ///
    /// Effects are handed over under the lock, so that the edges see those of
    /// two events in the order of the events.
    pub fn submit(&self, event: Event) {
        let mut guarded = self.lock();
        let now = self.now();
        for effect in reduce(&mut guarded.state, event, now) {
            self.hand_over(effect);
        }
        let next = guarded.state.next_deadline();
        if next < guarded.armed {
            guarded.armed = next;
            self.rearm.notify_one();
        }
    }

    /// Counters of the traffic with other processes.
    pub fn peer_stats(&self) -> &Arc<PeerStats> {
        self.edges.peers.stats()
    }

    /// Reads the state.
    pub fn inspect<T>(&self, read: impl FnOnce(&State) -> T) -> T {
        read(&self.lock().state)
    }

    /// Submits a tick whenever a deadline has passed, for ever.
    pub async fn run_timer(&self) {
        let mut ticked = Instant::ZERO;
        loop {
            // A deadline that stays in the past must not make this loop spin.
            let due = self.rearm_timer().max(ticked.plus_ms(MIN_TICK_INTERVAL_MS));
            let wait_us = due.since_us(self.now());
            tokio::select! {
                () = tokio::time::sleep(std::time::Duration::from_micros(wait_us)) => {
                    ticked = self.now();
                    self.submit(Event::Tick);
                }
                () = self.rearm.notified() => {}
            }
        }
    }

    /// Waits until the reducer says that a graceful stop is complete.
    pub async fn exited(&self) {
        self.exit.notified().await;
    }

    fn rearm_timer(&self) -> Instant {
        let mut guarded = self.lock();
        guarded.armed = guarded.state.next_deadline();
        // An idle process wakes now and then; this also bounds the sleep.
        guarded.armed.min(self.now().plus_ms(MAX_SLEEP_MS))
    }

    fn hand_over(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.edges.peers.send(to, message),
            Effect::LearnAddress { peer, address } => self.edges.peers.learn(peer, address),
            Effect::ForgetPeer { peer } => self.edges.peers.forget(peer),
            Effect::Dial { address } => self.edges.peers.dial(address),
            Effect::Disk(command) => {
                if let Some(disk) = &self.edges.disk {
                    disk.run(command);
                }
            }
            Effect::Answer { request, response } => self.edges.answers.answer(request, response),
            Effect::Decided(decision) => self.edges.calls.log_decision(&decision),
            Effect::Call(effect) => self.edges.calls.run(effect),
            Effect::Log { level, part, text } => crate::log::write(level, part, &text),
            Effect::Exit => self.exit.notify_one(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Guarded> {
        self.state.lock().unwrap_or_else(|_| {
            // A panic inside the reducer may have left half a change in the state.
            // Going on could break a promise; a restart recovers what was synced.
            crate::log::write(LogLevel::Error, LogPart::Daemon, "The reducer panicked; exiting.");
            std::process::exit(EXIT_STATUS_PANIC)
        })
    }
}

/// Least time between two ticks, in milliseconds.
const MIN_TICK_INTERVAL_MS: u64 = 1;

/// Exit status after a panic inside the reducer.
const EXIT_STATUS_PANIC: i32 = 70;

/// Longest sleep of the timer, in milliseconds.
const MAX_SLEEP_MS: u64 = 1_000;
