//! Counters of bytes and messages between processes, by region of the peer and kind.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use fireflylug_core::ids::Name;
use fireflylug_core::message::PeerMessage;
use strum::EnumCount;

/// Kind of traffic between processes.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
)]
#[strum(serialize_all = "lowercase")]
pub enum TrafficKind {
    /// Between control replicas.
    Consensus,
    /// Configuration versions and acknowledgements.
    Distribution,
    /// Hosts and targets.
    Membership,
    /// Forwarded requests of operators.
    Api,
    /// Counts for the burn report.
    Slo,
    /// Contents of calls that end their targets.
    Routing,
    /// Usage and admission fractions of organisations.
    Quota,
    /// Keep-alive frames of the connections themselves.
    Transport,
}

impl From<&PeerMessage> for TrafficKind {
    fn from(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Consensus(_) => Self::Consensus,
            PeerMessage::Distribution(_) => Self::Distribution,
            PeerMessage::Membership(_) => Self::Membership,
            PeerMessage::Api(_) => Self::Api,
            PeerMessage::Slo(_) => Self::Slo,
            PeerMessage::Routing(_) => Self::Routing,
            PeerMessage::Quota(_) => Self::Quota,
        }
    }
}

/// Messages and bytes in both directions. Bytes include the headers of WebSocket frames.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// Traffic of one kind with the peers of one region.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficRow {
    /// Region of the peers.
    pub region: Name,
    /// Kind of traffic.
    pub kind: TrafficKind,
    /// Counts since the process started.
    pub traffic: Traffic,
}

#[derive(Debug, Default)]
struct Counter {
    sent_messages: AtomicU64,
    sent_bytes: AtomicU64,
    received_messages: AtomicU64,
    received_bytes: AtomicU64,
}

/// Counters of traffic with the peers of one region.
#[derive(Debug, Default)]
pub struct RegionStats {
    counters: [Counter; TrafficKind::COUNT],
}

impl RegionStats {
    /// Counts a message sent.
    pub fn sent(&self, kind: TrafficKind, bytes: usize) {
        let counter = &self.counters[kind as usize];
        counter.sent_messages.fetch_add(1, Ordering::Relaxed);
        counter.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a message received.
    pub fn received(&self, kind: TrafficKind, bytes: usize) {
        let counter = &self.counters[kind as usize];
        counter.received_messages.fetch_add(1, Ordering::Relaxed);
        counter.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn traffic(&self, kind: TrafficKind) -> Traffic {
        let counter = &self.counters[kind as usize];
        Traffic {
            sent_messages: counter.sent_messages.load(Ordering::Relaxed),
            sent_bytes: counter.sent_bytes.load(Ordering::Relaxed),
            received_messages: counter.received_messages.load(Ordering::Relaxed),
            received_bytes: counter.received_bytes.load(Ordering::Relaxed),
        }
    }
}

/// Counters of the traffic of one process with its peers.
#[derive(Debug, Default)]
pub struct PeerStats {
    regions: Mutex<BTreeMap<Name, Arc<RegionStats>>>,
}

impl PeerStats {
    /// Returns the counters of one region.
    pub fn region(&self, region: &Name) -> Arc<RegionStats> {
        let mut regions = self.regions.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(regions.entry(region.clone()).or_default())
    }

    /// Returns all counters by region and kind.
    pub fn rows(&self) -> Vec<TrafficRow> {
        let regions = self.regions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rows = Vec::new();
        for (region, stats) in regions.iter() {
            for kind in <TrafficKind as strum::IntoEnumIterator>::iter() {
                rows.push(TrafficRow {
                    region: region.clone(),
                    kind,
                    traffic: stats.traffic(kind),
                });
            }
        }
        rows
    }
}
