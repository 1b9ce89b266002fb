//! Counts the messages between processes and their bytes on the wire.

use std::collections::BTreeMap;

use fireflylug_core::context::Identity;
use fireflylug_core::ids::{Name, NodeId};
use fireflylug_core::message::PeerMessage;

/// Mean length of the header of a WebSocket frame with up to 125 bytes of payload. Only frames
/// of dialers are masked, which makes their headers longer.
const HEADER_BYTES: u64 = 4;

/// Number of messages and bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub messages: u64,
    pub bytes: u64,
}

impl Count {
    fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }
}

/// Traffic since the last [`Traffic::reset`].
#[derive(Debug, Default)]
pub struct Traffic {
    /// By sender and kind of message.
    pub sent: BTreeMap<(NodeId, &'static str), Count>,
    /// By regions of sender and receiver, and kind of message.
    pub between_regions: BTreeMap<(Name, Name, &'static str), Count>,
    /// Number of distribution messages above 16 KiB, by sender.
    pub large: BTreeMap<NodeId, u64>,
}

impl Traffic {
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    pub fn count(&mut self, from: &Identity, to: &Identity, message: &PeerMessage) {
        let kind: &'static str = message.into();
        let bytes = encoded_bytes(message);
        if bytes > 16 * 1024 && kind == "distribution" {
            *self.large.entry(from.id).or_default() += 1;
        }
        self.sent.entry((from.id, kind)).or_default().add(bytes);
        if from.locality.region != to.locality.region {
            let regions = (from.locality.region.clone(), to.locality.region.clone(), kind);
            self.between_regions.entry(regions).or_default().add(bytes);
        }
    }

    /// Number of distribution messages above 16 KiB that a process sent.
    pub fn large_sent_by(&self, id: NodeId) -> u64 {
        self.large.get(&id).copied().unwrap_or(0)
    }

    /// Messages of one kind that a process sent.
    pub fn sent_by(&self, id: NodeId, kind: &str) -> Count {
        let rows = self.sent.iter().filter(|((sender, k), _)| *sender == id && *k == kind);
        rows.map(|(_, count)| *count).next().unwrap_or_default()
    }

    /// Messages of one kind that all processes sent.
    pub fn total(&self, kind: &str) -> Count {
        let rows = self.sent.iter().filter(|((_, k), _)| *k == kind);
        rows.fold(Count::default(), |sum, (_, count)| Count {
            messages: sum.messages + count.messages,
            bytes: sum.bytes + count.bytes,
        })
    }
}

/// Length of an encoded message with the header of its frame, in bytes.
pub fn encoded_bytes(message: &PeerMessage) -> u64 {
    fireflylug_wire::encode(message).len() as u64 + HEADER_BYTES
}
