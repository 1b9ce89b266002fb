//! Messages by which processes distribute and acknowledge versions.

use serde::{Deserialize, Serialize};

use crate::ids::{ContentHash, Name, NodeId, Version};

/// Messages of the distribution. Field names are one letter on the wire, since most messages
/// are short.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DistributionMessage {
    /// The version that the sender holds. Sent on connecting, and to neighbours on a change.
    #[serde(rename = "H")]
    HeldVersion(HeldVersion),
    /// From a child to its parent: what its subtree holds. Subscribes the child to updates.
    #[serde(rename = "R")]
    Report(Report),
    /// The answer to a report that requested one, or to a [`DistributionMessage::StatusRequest`].
    #[serde(rename = "S")]
    Status(Status),
    /// Requests a [`Status`] without a subscription to updates.
    #[serde(rename = "Q")]
    StatusRequest,
    /// The sender now receives its updates from another parent.
    #[serde(rename = "X")]
    Unsubscribe,
    /// A newer version.
    #[serde(rename = "U")]
    Update(Update),
    /// Requests a version newer than the held one.
    #[serde(rename = "F")]
    Fetch {
        /// The version that the sender holds.
        #[serde(rename = "v")]
        version: Version,
        /// Whether the sender needs a full snapshot, since a delta could not be applied.
        #[serde(rename = "w")]
        needs_snapshot: bool,
    },
    /// The sender serves too many transfers: retry later, or fetch from another peer.
    #[serde(rename = "B")]
    Busy {
        /// Minimum time before a retry, in milliseconds.
        #[serde(rename = "r")]
        retry_after_ms: u32,
    },
    /// Which versions the processes of some availability zones hold.
    #[serde(rename = "Z")]
    Zones(Vec<ZoneReport>),
}

/// What a process holds, and what the sender has recorded of the receiver.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The version in force at the sender.
    #[serde(rename = "v")]
    pub version: Version,
    /// Hash of that version's content.
    #[serde(rename = "h")]
    pub hash: ContentHash,
    /// The newest acknowledged version of the receiver that the sender has recorded.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub acknowledged_version: Option<Version>,
    /// Whether the sender may serve calls.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_ready: bool,
}

/// What the subtree of a child holds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The version in force at the child.
    #[serde(rename = "v")]
    pub version: Version,
    /// Whether the child is the root of a tree: a relay, or a process without a parent in the tree
    /// of its availability zone. The parent does not count it. A relay is counted in the report of
    /// its own availability zone.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_root: bool,
    /// Number of the child's request of a [`Status`], if it requests one.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub status_request: Option<u32>,
    /// Whether the child, or a process below it, was started and waits for a contact with a
    /// control replica that is newer than this request. The parent may then hold the answer.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_awaiting_control: bool,
    /// Processes in the subtree that hold the child's version or a later one.
    #[serde(rename = "s")]
    pub holders: Holders,
}

/// An aggregated set of processes of one availability zone.
///
/// `sum` adds up a hash of each process's key and incarnation. Two sets with equal sums count
/// as equal. The sum differs if a set lacks a process, counts one twice, or counts an earlier
/// incarnation of one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Holders {
    /// Number of processes.
    #[serde(rename = "c")]
    pub count: u32,
    /// Wrapping sum of their hashes.
    #[serde(rename = "s")]
    pub sum: u64,
    /// Sum over the members that each process had recorded in the availability zone when it
    /// acknowledged. It is 0 if the recorded members differ.
    #[serde(rename = "k")]
    pub membership_sum: u64,
}

/// The answer to a report that requested one, or to a [`DistributionMessage::StatusRequest`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Status {
    /// Number of the report's request that this answers.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub request: Option<u32>,
    /// The version in force at the parent.
    #[serde(rename = "v")]
    pub version: Version,
    /// The newest version reported through the chain of parents.
    #[serde(rename = "n")]
    pub newest_known: Version,
    /// Time since the last contact with a control replica that has a leader, through the chain
    /// of parents, in milliseconds. None if there was none.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub control_age_ms: Option<u64>,
    /// Time for which the parent held the request before it answered, in milliseconds.
    #[serde(rename = "d", default, skip_serializing_if = "crate::message::is_zero")]
    pub held_ms: u64,
    /// Whether the parent is a control replica that receives nothing from the log. It may depend
    /// on the relay that asks.
    #[serde(rename = "s", default, skip_serializing_if = "crate::message::is_zero")]
    pub is_standby: bool,
    /// Whether the sender receives no versions at the moment.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_source: bool,
}

/// A newer version: a delta against an older one, or a full snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// The version that the delta starts from. None for a snapshot.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// The version.
    #[serde(rename = "v")]
    pub version: Version,
    /// Hash of that version's content.
    #[serde(rename = "h")]
    pub hash: ContentHash,
    /// The delta or snapshot, as deflated CBOR.
    #[serde(rename = "d", with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// The version that an availability zone has reached, as reported by its relay.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Availability zone.
    #[serde(rename = "z")]
    pub availability_zone: Name,
    /// The relay of the availability zone, which wrote the report.
    #[serde(rename = "r")]
    pub relay: NodeId,
    /// The version in force at the relay.
    #[serde(rename = "v")]
    pub version: Version,
    /// Processes that hold that version or a later one.
    #[serde(rename = "s")]
    pub holders: Holders,
}
