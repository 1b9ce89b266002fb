//! Open connections of callers and other proxies, counted by what each is doing.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

use strum::{EnumCount, EnumIter, IntoEnumIterator};

use super::proxy::Client;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, EnumCount, EnumIter, Eq, PartialEq, strum::Display)]
#[repr(u8)]
#[strum(serialize_all = "lowercase")]
pub enum ConnectionStage {
    /// No call has arrived.
    Unused,
    /// The start of a request body is being received.
    Receiving,
    /// A call is in flight.
    Calling,
    /// The last call has ended. Its response may not be written completely.
    Responded,
}

/// Number of open connections in each [`ConnectionStage`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionCounts([u32; ConnectionStage::COUNT]);

impl ConnectionCounts {
    /// Number of connections in a stage.
    pub fn of(&self, stage: ConnectionStage) -> u32 {
        self.0[stage as usize]
    }
}

impl std::fmt::Display for ConnectionCounts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, stage) in ConnectionStage::iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{} {stage}", self.of(stage))?;
        }
        Ok(())
    }
}

/// Counters that the connections of one process share.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    callers: StageCounters,
    proxies: StageCounters,
}

type StageCounters = [AtomicU32; ConnectionStage::COUNT];

impl OpenConnections {
    /// Counts a new connection until the result is dropped.
    pub fn open(self: &Arc<Self>, client: Client) -> OpenConnection {
        let stage = ConnectionStage::Unused;
        self.counters(client)[stage as usize].fetch_add(1, Ordering::Relaxed);
        OpenConnection { counters: Arc::clone(self), client, stage: AtomicU8::new(stage as u8) }
    }

    /// Returns the current numbers.
    pub fn counts(&self, client: Client) -> ConnectionCounts {
        ConnectionCounts(self.counters(client).each_ref().map(|n| n.load(Ordering::Relaxed)))
    }

    fn counters(&self, client: Client) -> &StageCounters {
        match client {
            Client::Callers => &self.callers,
            Client::Proxies => &self.proxies,
        }
    }
}

/// One open connection.
#[derive(Debug)]
pub(super) struct OpenConnection {
    counters: Arc<OpenConnections>,
    client: Client,
    stage: AtomicU8,
}

impl OpenConnection {
    /// Records what the connection is doing.
    pub fn set_stage(&self, stage: ConnectionStage) {
        let counters = self.counters.counters(self.client);
        let before = self.stage.swap(stage as u8, Ordering::Relaxed);
        counters[before as usize].fetch_sub(1, Ordering::Relaxed);
        counters[stage as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Whether a call has arrived.
    pub fn is_used(&self) -> bool {
        self.stage.load(Ordering::Relaxed) != ConnectionStage::Unused as u8
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let stage = self.stage.load(Ordering::Relaxed);
        self.counters.counters(self.client)[stage as usize].fetch_sub(1, Ordering::Relaxed);
    }
}
