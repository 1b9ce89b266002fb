//! Queued events of the simulated mesh.

use fireflylug_core::message::PeerMessage;

/// An event of the simulation, for the process of one host.
#[derive(Debug)]
pub enum SimEvent {
    Tick,
    Connected { peer: usize },
    Disconnected { peer: usize },
    Message { from: usize, message: Box<PeerMessage> },
    Break { peer: usize },
}

/// An event in the queue, ordered by time and then by the order of scheduling.
pub struct Scheduled {
    pub at_us: u64,
    pub order: u64,
    pub host: usize,
    pub start: u64,
    pub event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.order).cmp(&(other.at_us, other.order))
    }
}
