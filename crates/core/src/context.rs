//! The context that every part of the reducer receives besides its own state.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::event::{Effect, LogLevel, LogPart};
use crate::ids::{CallId, Locality, Name, NodeId};
use crate::routing::{Decision, Step};
use crate::time::Instant;

/// Addresses of a process at which other processes and clients can reach it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Addresses {
    /// For messages between processes.
    pub peers: SocketAddr,
    /// For calls that other proxies forward to this owner.
    pub forward: SocketAddr,
    /// For the resource API, announcements, metrics and health checks.
    pub api: SocketAddr,
    /// For calls from callers.
    pub calls: SocketAddr,
}

/// Identity of this process. Does not change while it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Key of the process.
    pub id: NodeId,
    /// Name of the host.
    pub host: Name,
    /// Region and availability zone of the host.
    pub locality: Locality,
    /// Increases with each start of the process (Unix time of the start, in milliseconds).
    pub incarnation: u64,
    /// Unix time at [`Instant::ZERO`], in milliseconds.
    pub started_unix_ms: u64,
    /// Addresses at which the process listens.
    pub addresses: Addresses,
    /// Whether the process is a control replica.
    pub control: bool,
    /// Whether a few large messages saturate the network link of the host.
    pub is_link_slow: bool,
}

impl Identity {
    /// Unix time at `now`, in milliseconds.
    pub fn unix_ms(&self, now: Instant) -> u64 {
        self.started_unix_ms + now.as_ms()
    }
}

/// Time, random numbers, identity, and the effects collected so far.
pub struct Context<'a> {
    /// Time of the event.
    pub now: Instant,
    /// Seeded random number generator.
    pub rng: &'a mut SmallRng,
    /// Identity of this process.
    pub me: &'a Identity,
    /// Effects of the event, in the order in which they must be executed.
    pub effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    /// Adds an effect.
    pub fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Adds an effect that sends a message to another process.
    pub fn send(&mut self, to: NodeId, message: impl Into<crate::message::PeerMessage>) {
        self.emit(Effect::Send { to, message: message.into() });
    }

    /// Adds a log entry for a decision about a call.
    pub fn log_decision(&mut self, call: CallId, step: Step) {
        self.emit(Effect::LogDecision(Decision { call, step }));
    }

    /// Adds a log line.
    pub fn log(&mut self, level: LogLevel, part: LogPart, text: String) {
        self.emit(Effect::Log { level, part, text });
    }
}
