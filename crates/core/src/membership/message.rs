//! Messages of membership.

use serde::{Deserialize, Serialize};

use super::{Member, MemberStatus, TargetRecord};
use crate::ids::{Name, NodeId};

/// Messages of membership.
///
/// Messages that are sent repeatedly have short field names on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The first message on each connection.
    Hello {
        /// Records of the sender itself and of its targets.
        records: Records,
        /// Whether the sender holds no record of another member and requests all records.
        is_new: bool,
    },
    /// Records that changed, or that the receiver does not hold.
    Records(Records),
    /// All records that the sender holds; the response to a hello with `is_new`.
    Welcome {
        /// The records.
        records: Records,
        /// The newest report on each availability zone.
        #[serde(rename = "reach")]
        reachability: Vec<ZoneReachability>,
    },
    /// The sender is alive. Carries digests of what it holds.
    #[serde(rename = "H")]
    Heartbeat(Heartbeat),
    /// One digest per availability zone, sent after heartbeats whose digest differed.
    Digests(Vec<ZoneDigest>),
    /// Versions of the records in the availability zones whose digests differed.
    Summary(Vec<ZoneSummary>),
    /// Requests the records of these members and of their targets.
    #[serde(rename = "Want")]
    RecordsRequest(Vec<NodeId>),
    /// Reports on availability zones that became cut off or reachable again.
    #[serde(rename = "Reach")]
    Reachability(Vec<ZoneReachability>),
}

/// Records of members and of their targets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// Members. The receiver merges them before the targets.
    pub members: Vec<Member>,
    /// Targets.
    pub targets: Vec<TargetRecord>,
}

impl Records {
    /// Whether there are neither members nor targets.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && self.targets.is_empty()
    }
}

/// Shows that the sender is alive, with digests of what it holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Hash of every record that the sender holds, except members that are dead or
    /// left and targets that are gone.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Within an availability zone: hash of the sender's reports on which other
    /// zones are cut off.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub reachability_digest: Option<u64>,
    /// Whether this answers a heartbeat. The receiver does not answer it.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_reply: bool,
    /// Between availability zones: the newest heartbeat of each zone that the sender
    /// has received. Empty unless the sender is a relay.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub zone_heartbeats: Vec<ZoneHeartbeat>,
}

/// The newest heartbeat of an availability zone. The relay of the zone creates
/// one with each of its own heartbeats; other relays forward it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZoneHeartbeat {
    /// Availability zone.
    #[serde(rename = "z")]
    pub availability_zone: Name,
    /// Increases with each heartbeat of the zone.
    #[serde(rename = "n")]
    pub number: u64,
}

/// Hash of the records of one availability zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Availability zone.
    pub availability_zone: Name,
    /// Hash of the records.
    pub digest: u64,
}

/// Versions of the records of one availability zone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ZoneSummary {
    /// Availability zone.
    pub availability_zone: Name,
    /// Its members and their targets.
    pub members: Vec<MemberSummary>,
}

/// Version of a member's record and hash of its targets' records.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// The member.
    pub id: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its status, as decided in its own availability zone.
    pub status: MemberStatus,
    /// Hash of the records of its targets.
    #[serde(rename = "targets")]
    pub targets_hash: u64,
}

/// Report of a relay to its own availability zone: whether another zone is cut
/// off from it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneReachability {
    /// The availability zone.
    pub availability_zone: Name,
    /// Whether it is cut off.
    pub cut_off: bool,
    /// Increases with each change. The report with the highest number applies.
    pub number: u64,
}
