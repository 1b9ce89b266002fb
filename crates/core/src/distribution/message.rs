//! Messages about versions.

use serde::{Deserialize, Serialize};

use crate::ids::{ContentHash, Name, NodeId, Version};

/// Messages about versions. Names are short on the wire, since most messages are.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DistributionMessage {
    /// What the sender holds, sent on connecting and to neighbours on a change.
    #[serde(rename = "H")]
    Holds(Holds),
    /// From a child to its parent: what its subtree holds. Subscribes to updates.
    #[serde(rename = "R")]
    Report(Report),
    /// The answer to a report that asked for one.
    #[serde(rename = "S")]
    Status(Status),
    /// The sender takes its updates from another parent now.
    #[serde(rename = "X")]
    Unsubscribe,
    /// A newer version.
    #[serde(rename = "U")]
    Update(Update),
    /// Please send a newer version than the one held.
    #[serde(rename = "F")]
    Fetch {
        /// The version held.
        #[serde(rename = "v")]
        version: Version,
        /// Whether a delta did not fit and a whole snapshot is wanted.
        #[serde(rename = "w")]
        whole: bool,
    },
    /// The sender serves too many transfers: ask again later, or another peer.
    #[serde(rename = "B")]
    Busy {
        /// Least time to wait, in milliseconds.
        #[serde(rename = "r")]
        retry_after_ms: u32,
    },
    /// How far versions have come in some availability zones.
    #[serde(rename = "Z")]
    Zones(Vec<ZoneReport>),
}

/// What a process holds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Holds {
    /// The version in force at the sender.
    #[serde(rename = "v")]
    pub version: Version,
    /// Hash of its content.
    #[serde(rename = "h")]
    pub hash: ContentHash,
    /// The newest version that the receiver acknowledged, as the sender remembers it.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub remembered: Option<Version>,
    /// Whether the sender may serve calls.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_ready: bool,
}

/// What a child and the children below it hold.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The version in force at the child.
    #[serde(rename = "v")]
    pub version: Version,
    /// Whether the child is a relay, which is counted in its own availability zone.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_relay: bool,
    /// Whether the child wants a [`Status`].
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub asks: bool,
    /// Whether the child, or one below it, was started and waits for word of a
    /// control replica that is newer than this question: the answer may wait for it.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub waits: bool,
    /// Processes that hold the child's version or a later one.
    #[serde(rename = "s")]
    pub holders: Holders,
}

/// A set of processes of one availability zone, added up.
///
/// `sum` adds a hash of key and incarnation of each. Two sets are taken to be
/// equal where their sums are: a set that misses one, counts one twice or
/// counts an earlier start of one has another sum.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Holders {
    /// How many they are.
    #[serde(rename = "c")]
    pub count: u32,
    /// Sum over them.
    #[serde(rename = "s")]
    pub sum: u64,
    /// Sum over the members that each of them knew in the availability zone
    /// when it acknowledged, or 0 where they did not know the same.
    #[serde(rename = "k")]
    pub known: u64,
}

/// The answer of a parent.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The version in force at the parent.
    #[serde(rename = "v")]
    pub version: Version,
    /// The newest version that was heard of along the chain of parents.
    #[serde(rename = "n")]
    pub newest: Version,
    /// Time since a control replica that has a leader was heard along the chain of parents, in
    /// milliseconds; none where it never was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub control_age_ms: Option<u64>,
    /// Time for which the question waited for this answer, in milliseconds.
    #[serde(rename = "d", default, skip_serializing_if = "crate::message::is_zero")]
    pub held_ms: u64,
}

/// A newer version: a delta against an older one, or a whole snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Update {
    /// The version that the delta starts from; none for a snapshot.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// The version.
    #[serde(rename = "v")]
    pub version: Version,
    /// Hash of its content.
    #[serde(rename = "h")]
    pub hash: ContentHash,
    /// The delta or snapshot: CBOR, deflated.
    #[serde(rename = "d", with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How far an availability zone has come.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Availability zone.
    #[serde(rename = "z")]
    pub availability_zone: Name,
    /// Its relay, which wrote the report.
    #[serde(rename = "r")]
    pub relay: NodeId,
    /// The version in force at the relay.
    #[serde(rename = "v")]
    pub version: Version,
    /// Processes that hold that version or a later one.
    #[serde(rename = "s")]
    pub holders: Holders,
}
