//! Behaviour of a target stand-in.

use std::net::SocketAddr;

/// Stage of a call at which the stand-in closes the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResetStage {
    /// Right after the connection is accepted.
    Accept,
    /// After the head of the call was received. The call does not run.
    AfterHead,
    /// After the call has run, before any byte of the response.
    AfterRun,
    /// In the middle of the response body.
    MidBody,
}

/// How a target stand-in handles each call. May be replaced while it runs.
#[derive(Clone, Copy, Debug)]
pub struct TargetOptions {
    /// Maximum concurrent calls; further calls wait.
    pub slots: usize,
    /// Duration of each call, in microseconds.
    pub service_time_us: u64,
    /// Length of each response body, in bytes.
    pub body_bytes: usize,
    /// Whether calls hang without a response.
    pub stalled: bool,
    /// Whether calls receive status 503 and do not run.
    pub draining: bool,
    /// Stage at which each connection is closed.
    pub reset_at: Option<ResetStage>,
    /// Name and value of a header added to each response.
    pub response_header: Option<(&'static str, &'static str)>,
    /// Next target of a chain. Each call calls it with the same path before it responds.
    pub next_hop: Option<SocketAddr>,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetOptions {
    /// Creates options of a target with 12 slots that responds at once with two bytes.
    pub const fn new() -> Self {
        Self {
            slots: 12,
            service_time_us: 0,
            body_bytes: 2,
            stalled: false,
            draining: false,
            reset_at: None,
            response_header: None,
            next_hop: None,
        }
    }

    /// Sets a header added to each response.
    pub const fn with_response_header(mut self, name: &'static str, value: &'static str) -> Self {
        self.response_header = Some((name, value));
        self
    }

    /// Sets the maximum number of concurrent calls.
    pub const fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the duration of each call, in microseconds.
    pub const fn with_service_time_us(mut self, service_time_us: u64) -> Self {
        self.service_time_us = service_time_us;
        self
    }

    /// Sets the length of each response body, in bytes.
    pub const fn with_body_bytes(mut self, body_bytes: usize) -> Self {
        self.body_bytes = body_bytes;
        self
    }

    /// Sets whether calls hang without a response.
    pub const fn with_stalled(mut self, stalled: bool) -> Self {
        self.stalled = stalled;
        self
    }

    /// Sets whether calls receive status 503 and do not run.
    pub const fn with_draining(mut self, draining: bool) -> Self {
        self.draining = draining;
        self
    }

    /// Sets the stage at which each connection is closed.
    pub const fn with_reset_at(mut self, stage: ResetStage) -> Self {
        self.reset_at = Some(stage);
        self
    }

    /// Sets the next target of a chain.
    pub const fn with_next_hop(mut self, next_hop: SocketAddr) -> Self {
        self.next_hop = Some(next_hop);
        self
    }
}
