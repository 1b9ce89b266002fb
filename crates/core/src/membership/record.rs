//! Records of members and targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::departures::Departure;
use crate::context::{Addresses, Identity};
use crate::ids::{Locality, Name, NodeId, TargetId};

/// Status of a member. A higher value replaces a lower one of the same incarnation.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum MemberStatus {
    /// Sends messages within the silence timeout.
    Alive,
    /// Silent or unreachable, but not yet declared dead.
    Suspect,
    /// Stopping gracefully: accepts no new work.
    Leaving,
    /// Declared dead: it did not refute the suspicion in time.
    Dead,
    /// Stopped gracefully: serves no calls, and no process waits for it.
    Left,
}

impl MemberStatus {
    /// Whether the member can receive messages.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }

    /// Whether the process is declared dead, or has left.
    pub fn is_dead_or_left(self) -> bool {
        matches!(self, Self::Dead | Self::Left)
    }
}

/// Record of a process. Each process writes its own, except for the status, which
/// other members of its availability zone may set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Key of the process.
    pub id: NodeId,
    /// Name of its host.
    pub host: Name,
    /// Region and availability zone.
    pub locality: Locality,
    /// Increases with each start, with each refuted suspicion, and with each change of
    /// `lacks_quorum`.
    pub incarnation: u64,
    /// Addresses at which it listens.
    pub addresses: Addresses,
    /// Whether it is a control replica.
    pub control: bool,
    /// Whether a few large messages saturate the network link of its host.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_link_slow: bool,
    /// Whether it is a control replica without contact to a quorum. It receives no versions, so
    /// others are preferred as relays and as sources of versions.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_quorum: bool,
    /// Status, from the point of view of the process that holds the record.
    pub status: MemberStatus,
}

impl Member {
    /// The record of this process.
    pub fn of(me: &Identity) -> Self {
        Self {
            id: me.id,
            host: me.host.clone(),
            locality: me.locality.clone(),
            incarnation: me.incarnation,
            addresses: me.addresses,
            control: me.control,
            is_link_slow: me.is_link_slow,
            lacks_quorum: false,
            status: MemberStatus::Alive,
        }
    }
}

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum TargetState {
    /// Accepts new work.
    Ready,
    /// Finishes its work and accepts none.
    Draining,
    /// Left, its lease expired, or its owner is dead or left.
    Gone,
}

/// Announcement that a target sends to the process of its own host.
///
/// Renews the target's lease. A target whose lease expires is gone.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// Service and id.
    pub target: TargetId,
    /// Address at which it accepts calls over plain HTTP/1.1.
    pub address: SocketAddr,
    /// Most calls that it runs concurrently.
    pub slots: u32,
    /// Most concurrent connections that it accepts.
    pub connections: u32,
    /// Duration of the lease, in milliseconds from the arrival of the announcement.
    pub lease_ms: u32,
    /// Load that it reports, in percent of its slots. Only a hint.
    pub load_percent: Option<u8>,
    /// Whether it finishes its work and accepts none.
    pub draining: bool,
    /// Remaining time for which it is slow after its start, in milliseconds.
    pub cold_ms: u32,
    /// Order of the announcement among those at its address, if the target
    /// numbers them. An older one that arrives late is ignored.
    pub order: Option<AnnouncementOrder>,
}

/// Latest start of a target, in Unix milliseconds: the year 2200. The clock of the owner is no
/// bound, since it may have been wrong when the owner started.
const MAX_START_UNIX_MS: u64 = 7_258_118_400_000;

/// Highest number of an announcement: the highest integer that every JSON writer can write.
const MAX_SEQUENCE: u64 = (1 << 53) - 1;

/// Why an announcement is refused. It would count as newer than all later ones of its target,
/// which would then be ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AnnouncementError {
    /// The start is too late.
    #[error("the start {started_unix_ms} of the target is above {MAX_START_UNIX_MS}")]
    StartTooLate {
        /// The stated start.
        started_unix_ms: u64,
    },
    /// The number is too high.
    #[error("the number {sequence} of the announcement is above {MAX_SEQUENCE}")]
    SequenceTooHigh {
        /// The stated number.
        sequence: u64,
    },
}

impl TargetAnnouncement {
    /// Checks that the order of the announcement is one that a target can have.
    pub fn check_order(&self) -> Result<(), AnnouncementError> {
        let Some(AnnouncementOrder { started_unix_ms, sequence }) = self.order else {
            return Ok(());
        };
        if started_unix_ms > MAX_START_UNIX_MS {
            return Err(AnnouncementError::StartTooLate { started_unix_ms });
        }
        if sequence > MAX_SEQUENCE {
            return Err(AnnouncementError::SequenceTooHigh { sequence });
        }
        Ok(())
    }
}

/// Order of an announcement among those at its target's address.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct AnnouncementOrder {
    /// Unix time of the target's start, in milliseconds. Distinguishes its starts.
    pub started_unix_ms: u64,
    /// Increases with each announcement since that start.
    pub sequence: u64,
}

impl AnnouncementOrder {
    /// The order of the first announcement of a run.
    pub(super) fn first_of(started_unix_ms: u64) -> Self {
        Self { started_unix_ms, sequence: 0 }
    }
}

/// Record of a target, held by every proxy. Only its owner writes it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Service and id.
    pub target: TargetId,
    /// The process of the target's host.
    pub owner: NodeId,
    /// Incarnation of the owner that wrote the record, or that of an earlier record
    /// of the target if it is higher (of another start or another owner).
    pub incarnation: u64,
    /// Increases with each change of the record.
    pub sequence: u64,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Most calls that it runs concurrently.
    pub slots: u32,
    /// Most concurrent connections that it accepts.
    pub connections: u32,
    /// State.
    pub state: TargetState,
    /// Load that it last reported, in percent of its slots.
    pub load_percent: Option<u8>,
    /// Time for which it is still slow, in milliseconds from when the record was written.
    #[serde(default, skip_serializing_if = "crate::message::is_zero")]
    pub cold_ms: u32,
    /// Order of the announcement by which the record was written, if the target numbers them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<AnnouncementOrder>,
    /// Whether this run of the target has left, or stated that it is leaving. No announcement of
    /// the same run brings it back: it may have been sent before.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_departed: bool,
}

impl TargetRecord {
    /// Whether this record replaces `other`, a record of the same target.
    pub fn supersedes(&self, other: &Self) -> bool {
        let version = |record: &Self| (record.incarnation, record.sequence, record.owner);
        version(self) > version(other)
    }

    /// Whether `other`, of the same target, was written by an announcement that was sent before the
    /// target departed or drained by this record. An owner that restarted may write such a record.
    pub(super) fn is_later_announcement_than(&self, other: &Self) -> bool {
        if let Some(departure) = self.departure() {
            let is_same_run =
                other.order.is_none_or(|order| order.started_unix_ms <= departure.started_unix_ms);
            return is_same_run && !other.has_departed && other.state != TargetState::Gone;
        }
        let drains = self.state == TargetState::Draining && other.state == TargetState::Ready;
        drains && other.order.is_some() && other.order < self.order
    }

    /// Departure of the run of the target, if the target numbers its runs.
    pub(super) fn departure(&self) -> Option<Departure> {
        let order = self.order.filter(|_| self.has_departed)?;
        let has_left = self.state == TargetState::Gone;
        Some(Departure { started_unix_ms: order.started_unix_ms, has_left })
    }
}
