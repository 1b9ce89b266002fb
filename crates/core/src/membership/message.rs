//! Messages about hosts and targets.

use serde::{Deserialize, Serialize};

use super::{Member, MemberStatus, TargetRecord};
use crate::ids::{Name, NodeId};

/// Messages about hosts and targets.
///
/// Fields of messages that are sent again and again have short names on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Sent first on each connection.
    Hello {
        /// Records of the sender itself and of its targets.
        records: Records,
        /// Whether the sender knows nobody else and asks for every record.
        is_new: bool,
    },
    /// Records that changed or that the receiver lacks.
    Records(Records),
    /// Every record that the sender holds, in answer to a first hello.
    Welcome {
        /// The records.
        records: Records,
        /// Availability zones that are cut off from the receiver's.
        reach: Vec<ZoneReach>,
    },
    /// The sender is alive.
    #[serde(rename = "H")]
    Heartbeat(Heartbeat),
    /// Digests by availability zone, after a heartbeat whose digest differed.
    Digests(Vec<ZoneDigest>),
    /// Records by their version, after digests that differed.
    Summary(Vec<ZoneSummary>),
    /// Please send the records of these members and their targets.
    Want(Vec<NodeId>),
    /// Availability zones that became cut off, or no longer are.
    Reach(Vec<ZoneReach>),
}

/// Records of members and of their targets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// Members. They are taken in before the targets.
    pub members: Vec<Member>,
    /// Targets.
    pub targets: Vec<TargetRecord>,
}

impl Records {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty() && self.targets.is_empty()
    }
}

/// A sign of life.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Hash of every record that the sender holds, but for the dead and gone.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Within an availability zone: hash of what is known of the reach of the others.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub reach: Option<u64>,
    /// Whether this answers a heartbeat and wants no answer.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_reply: bool,
    /// Between relays: the newest sign of life of each availability zone.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub beats: Vec<Beat>,
}

/// The newest sign of life of an availability zone. Its relay makes a new one
/// every heartbeat; the other relays pass it on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// Availability zone.
    #[serde(rename = "z")]
    pub availability_zone: Name,
    /// Grows with each sign of life.
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
    pub members: Vec<Summary>,
}

/// Version of a member's record and hash of its targets' records.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The member.
    pub id: NodeId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its status, as its own availability zone says.
    pub status: MemberStatus,
    /// Hash of the records of its targets.
    pub targets: u64,
}

/// Whether an availability zone is cut off from the one in which this is told.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneReach {
    /// The availability zone.
    pub availability_zone: Name,
    /// Whether it is cut off.
    pub cut_off: bool,
    /// Grows with each change; the highest holds.
    pub number: u64,
}
