//! Messages between control replicas.
//!
//! Fields of frequent messages have short names on the wire, so that a heartbeat
//! stays below 100 bytes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Origin;
use super::entry::{DiskId, Entry, Voter};
use super::snapshot::Snapshot;
use crate::ids::NodeId;

/// A message between control replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// Announces a replica that does not follow a leader, or responds to such an
    /// announcement.
    Hello(Hello),
    /// Requests a vote or a pre-vote.
    VoteRequest(VoteRequest),
    /// Response to a vote request.
    VoteResponse(VoteResponse),
    /// Appends entries; a heartbeat where there are none.
    #[serde(rename = "A")]
    Append(Append),
    /// Response to an append or a snapshot.
    #[serde(rename = "R")]
    AppendResponse(AppendResponse),
    /// Installs a snapshot, in place of entries that the leader no longer holds.
    Snapshot(InstallSnapshot),
    /// Requests the read index for a read at a follower.
    ReadRequest {
        /// The read.
        origin: Origin,
    },
    /// Response to a read request.
    ReadResponse {
        /// The read.
        origin: Origin,
        /// Read index: the entry that must be applied before the read is answered.
        /// None where the read must be refused.
        index: Option<u64>,
    },
    /// Leadership transfer: the stopping leader requests an immediate election by the
    /// receiver.
    #[serde(rename = "Campaign")]
    TimeoutNow {
        /// Term of the leader.
        term: u64,
    },
}

/// Announces a replica, its storage and the leader that it follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Storage of the sender.
    pub disk: DiskId,
    /// Number of times that the storage was opened.
    pub generation: u64,
    /// Whether the storage is still empty.
    pub blank: bool,
    /// Whether the receiver must respond with a hello.
    #[serde(rename = "wants_answer")]
    pub needs_response: bool,
    /// In a response: the floor that the sender has recorded for the receiver's storage.
    pub floor: Option<Floor>,
    /// The leader that the sender follows.
    pub leader: Option<NodeId>,
    /// The blank initial voters that the sender has discovered, itself included, or with which
    /// it formed the initial set.
    #[serde(rename = "heard")]
    pub discovered_voters: Vec<Voter>,
}

/// Lower bound of what a storage holds, from the messages received from it. A storage that holds
/// less is an older copy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    /// Number of times that the storage was opened.
    pub generation: u64,
    /// Highest term in which it voted or acknowledged an entry.
    pub term: u64,
    /// Last entry that it acknowledged in that term.
    pub match_index: u64,
}

/// Requests a vote or a pre-vote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term of the election.
    pub term: u64,
    /// Whether this is a pre-vote, for which no vote is recorded.
    #[serde(rename = "pre")]
    pub is_pre_vote: bool,
    /// Index of the candidate's last entry.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Whether the leader requested the election by a leadership transfer, so that receivers
    /// need not wait for it to time out.
    #[serde(rename = "transfer")]
    pub is_leadership_transfer: bool,
}

/// Response to a vote request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Term of the election, or the voter's own term where that is higher.
    pub term: u64,
    /// Whether this responds to a pre-vote.
    #[serde(rename = "pre")]
    pub is_pre_vote: bool,
    /// Whether the vote is granted.
    pub granted: bool,
    /// Storage on which the vote is recorded.
    pub disk: DiskId,
    /// Number of times that the storage was opened.
    pub generation: u64,
}

/// Append message of the leader: entries, or a heartbeat where there are none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// Term of the leader.
    #[serde(rename = "t")]
    pub term: u64,
    /// Index of the entry before the first one in this message.
    #[serde(rename = "p")]
    pub prev_index: u64,
    /// Term of that entry.
    #[serde(rename = "q")]
    pub prev_term: u64,
    /// Commit index of the leader.
    #[serde(rename = "c")]
    pub commit_index: u64,
    /// Heartbeat round, echoed by the follower.
    #[serde(rename = "r")]
    pub round: u64,
    /// Time since the leader last had contact with a quorum, in milliseconds.
    #[serde(rename = "a", default, skip_serializing_if = "crate::message::is_zero")]
    pub quorum_age_ms: u32,
    /// The entries.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Arc<Entry>>,
    /// Last entry that each storage acknowledged; sent every few heartbeat rounds only.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub acknowledged: Vec<(DiskId, u64)>,
}

/// Response to an append or a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Term of the follower.
    #[serde(rename = "t")]
    pub term: u64,
    /// Newest heartbeat round received.
    #[serde(rename = "r")]
    pub round: u64,
    /// Last entry that matches the leader's log and is synced.
    #[serde(rename = "m")]
    pub match_index: u64,
    /// Set where the append did not match the follower's log; contains the index at which
    /// the leader may retry.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub rejected: Option<Rejected>,
    /// Storage on which the entries are stored.
    #[serde(rename = "d")]
    pub disk: DiskId,
    /// Number of times that the storage was opened.
    #[serde(rename = "g")]
    pub generation: u64,
}

/// Rejection of an append whose previous entry is not in the follower's log.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Rejected {
    /// Index of the previous entry, which is missing or of another term.
    #[serde(rename = "p")]
    pub prev_index: u64,
    /// Newest index at which the logs may match; none where a snapshot is needed.
    #[serde(rename = "h")]
    pub hint: Option<u64>,
}

/// Snapshot installation by the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// Term of the leader.
    pub term: u64,
    /// Heartbeat round, echoed by the follower.
    pub round: u64,
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
}
