//! What is known of a member and of a target.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::context::{Addresses, Identity};
use crate::ids::{Locality, Name, NodeId, TargetId};

/// Status of a member as this process sees it.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum MemberStatus {
    /// Heard from within the heartbeat timeout.
    Alive,
    /// Not heard from; not yet given up.
    Suspect,
    /// Stopping gracefully: takes no new work.
    Leaving,
    /// Given up: nothing was heard of it for too long.
    Dead,
    /// Stopped gracefully: serves nothing any more and is waited for by nobody.
    Left,
}

impl MemberStatus {
    /// Whether messages to the member may arrive.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }

    /// Whether the process is given up, or stopped.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

/// A process as others know it. Written by the process itself, but for the status.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Key of the process.
    pub id: NodeId,
    /// Name of its host.
    pub host: Name,
    /// Region and availability zone.
    pub locality: Locality,
    /// Grows with each start, and with each refuted suspicion.
    pub incarnation: u64,
    /// Where it listens.
    pub addresses: Addresses,
    /// Whether it is a control replica.
    pub control: bool,
    /// Whether a few large messages fill the link of its host.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_link_slow: bool,
    /// Status, as the holder of the record sees it.
    pub status: MemberStatus,
}

impl Member {
    /// The record of the process itself.
    pub fn of(me: &Identity) -> Self {
        Self {
            id: me.id,
            host: me.host.clone(),
            locality: me.locality.clone(),
            incarnation: me.incarnation,
            addresses: me.addresses,
            control: me.control,
            is_link_slow: me.is_link_slow,
            status: MemberStatus::Alive,
        }
    }
}

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum TargetState {
    /// Takes new work.
    Ready,
    /// Finishes its work and takes none.
    Draining,
    /// Left, lapsed, or its owner is gone.
    Gone,
}

/// What a target says of itself to the process of its own host.
///
/// Renews the target's lease; a target that does not renew it in time is gone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// Service and id.
    pub target: TargetId,
    /// Where it takes calls: plain HTTP/1.1.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it takes at once.
    pub connections: u32,
    /// Time until which the announcement holds, in milliseconds from its arrival.
    pub lease_ms: u32,
    /// Load that it reports, in percent of its slots. A hint.
    pub load_percent: Option<u8>,
    /// Whether it finishes its work and wants none.
    pub draining: bool,
    /// Time for which it is still slow after its start, in milliseconds.
    pub cold_ms: u32,
    /// Place of the announcement among those of its target, where the target
    /// numbers them: an older one that arrives late changes nothing.
    pub order: Option<AnnouncementOrder>,
}

/// Place of an announcement among those at its target's address.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AnnouncementOrder {
    /// Unix time of the target's start, in milliseconds. Tells starts apart.
    pub started_unix_ms: u64,
    /// Grows with each announcement of that start.
    pub sequence: u64,
}

/// A target as every proxy knows it. Written only by its owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Service and id.
    pub target: TargetId,
    /// The process of the target's host.
    pub owner: NodeId,
    /// Incarnation of the owner at the start that wrote the record. Higher where
    /// the target had a record of another start or owner before.
    pub incarnation: u64,
    /// Grows with each change of the record.
    pub sequence: u64,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it takes at once.
    pub connections: u32,
    /// State.
    pub state: TargetState,
    /// Load that it last reported, in percent of its slots.
    pub load_percent: Option<u8>,
    /// Time for which it is still slow from the writing of the record on, in milliseconds.
    #[serde(default, skip_serializing_if = "crate::message::is_zero")]
    pub cold_ms: u32,
}

impl TargetRecord {
    /// Whether this record replaces `other`, which is of the same target.
    pub fn supersedes(&self, other: &Self) -> bool {
        let version = |record: &Self| (record.incarnation, record.sequence, record.owner);
        version(self) > version(other)
    }
}
