//! What a target stand-in does.

use std::net::SocketAddr;

/// Stage of a call at which the stand-in closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetStage {
    /// As soon as the connection is accepted.
    Accept,
    /// When the head of the call has arrived: the call does not run.
    AfterHead,
    /// When the call has run, before any byte of the answer.
    AfterRun,
    /// In the middle of the answer's body.
    MidBody,
}

/// What a target stand-in does with each call. May be replaced while it runs.
#[derive(Clone, Copy, Debug)]
pub struct TargetOptions {
    /// Calls that run at once; more wait.
    pub slots: usize,
    /// Time that each call takes, in microseconds.
    pub service_time_us: u64,
    /// Length of each answer's body, in bytes.
    pub body_bytes: usize,
    /// Whether calls hang without an answer.
    pub stalled: bool,
    /// Whether calls are answered with 503 and do not run.
    pub draining: bool,
    /// Stage at which each connection is closed.
    pub reset_at: Option<ResetStage>,
    /// A header of each answer, with its value.
    pub answer_header: Option<(&'static str, &'static str)>,
    /// Where each call calls on, under the same path, before it answers.
    pub next_hop: Option<SocketAddr>,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetOptions {
    /// Makes options of a target with 12 slots that answers two bytes at once.
    pub const fn new() -> Self {
        Self {
            slots: 12,
            service_time_us: 0,
            body_bytes: 2,
            stalled: false,
            draining: false,
            reset_at: None,
            answer_header: None,
            next_hop: None,
        }
    }

    /// Sets a header of each answer.
    pub const fn with_answer_header(mut self, name: &'static str, value: &'static str) -> Self {
        self.answer_header = Some((name, value));
        self
    }

    /// Sets the calls that run at once.
    pub const fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time that each call takes, in microseconds.
    pub const fn with_service_time_us(mut self, service_time_us: u64) -> Self {
        self.service_time_us = service_time_us;
        self
    }

    /// Sets the length of each answer's body, in bytes.
    pub const fn with_body_bytes(mut self, body_bytes: usize) -> Self {
        self.body_bytes = body_bytes;
        self
    }

    /// Sets whether calls hang.
    pub const fn with_stalled(mut self, stalled: bool) -> Self {
        self.stalled = stalled;
        self
    }

    /// Sets whether calls are answered with 503.
    pub const fn with_draining(mut self, draining: bool) -> Self {
        self.draining = draining;
        self
    }

    /// Sets the stage at which each connection is closed.
    pub const fn with_reset_at(mut self, stage: ResetStage) -> Self {
        self.reset_at = Some(stage);
        self
    }

    /// Sets where each call calls on.
    pub const fn with_next_hop(mut self, next_hop: SocketAddr) -> Self {
        self.next_hop = Some(next_hop);
        self
    }
}
