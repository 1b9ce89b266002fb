//! Messages between control replicas.
//!
//! Fields of the frequent ones have short names on the wire, so that a
//! heartbeat stays below 100 bytes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Origin;
use super::entry::{DiskId, Entry, Voter};
use super::snapshot::Snapshot;
use crate::ids::NodeId;

/// Messages between control replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {
    /// From a replica that is no voter, or was not heard of: here I am.
    Hello(Hello),
    /// Would you vote for me, or do you?
    VoteRequest(VoteRequest),
    /// Answer to a vote request.
    VoteResponse(VoteResponse),
    /// Entries, or a heartbeat where there are none.
    #[serde(rename = "A")]
    Append(Append),
    /// Answer to an append or a snapshot.
    #[serde(rename = "R")]
    AppendResponse(AppendResponse),
    /// The whole state, in place of entries that the leader has dropped.
    Snapshot(InstallSnapshot),
    /// May I answer this read from the newest committed version?
    ReadRequest {
        /// The read.
        origin: Origin,
    },
    /// Answer to a read request.
    ReadResponse {
        /// The read.
        origin: Origin,
        /// Entry that must be applied before the read is answered; none where
        /// it must be refused.
        index: Option<u64>,
    },
    /// The leader stops; take over.
    Campaign {
        /// Term of the leader.
        term: u64,
    },
}

/// A replica makes itself known.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Hello {
    /// Its storage.
    pub disk: DiskId,
    /// How often the storage was opened.
    pub generation: u64,
    /// Whether the storage holds nothing yet.
    pub blank: bool,
    /// Whether the receiver should answer.
    pub wants_answer: bool,
    /// In an answer: the most that the sender heard from the receiver's storage.
    pub floor: Option<Floor>,
    /// The leader that the sender follows.
    pub leader: Option<NodeId>,
    /// From a blank replica: the blank initial voters that it has heard of, itself included.
    pub heard: Vec<Voter>,
}

/// What a storage was once heard to hold. One that holds less now is an older copy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    /// How often the storage was opened.
    pub generation: u64,
    /// Newest term in which it promised something.
    pub term: u64,
    /// Last entry that it acknowledged in that term.
    pub match_index: u64,
}

/// Asks for a vote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoteRequest {
    /// Term of the election.
    pub term: u64,
    /// Whether the vote is only asked about and not given.
    pub pre: bool,
    /// Last entry of the candidate.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Whether the leader asked for the election, so that it need not be waited for.
    pub transfer: bool,
}

/// Answers a vote request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VoteResponse {
    /// Term of the election, or the newer one of the voter.
    pub term: u64,
    /// Whether the request was only asked about.
    pub pre: bool,
    /// Whether the vote is given.
    pub granted: bool,
    /// Storage on which the vote is kept.
    pub disk: DiskId,
    /// How often that storage was opened.
    pub generation: u64,
}

/// Entries from the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Append {
    /// Term of the leader.
    #[serde(rename = "t")]
    pub term: u64,
    /// Entry before the first one here.
    #[serde(rename = "p")]
    pub prev_index: u64,
    /// Term of that entry.
    #[serde(rename = "q")]
    pub prev_term: u64,
    /// Newest committed entry.
    #[serde(rename = "c")]
    pub commit: u64,
    /// Round of heartbeats, to be echoed.
    #[serde(rename = "r")]
    pub round: u64,
    /// Time since a majority was last known to follow the leader, in milliseconds.
    #[serde(rename = "a", default, skip_serializing_if = "crate::message::is_zero")]
    pub quorum_age_ms: u32,
    /// The entries.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Arc<Entry>>,
    /// Now and then, the last entry that each voter's storage acknowledged.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub acknowledged: Vec<(DiskId, u64)>,
}

/// Answers an append or a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Term of the follower.
    #[serde(rename = "t")]
    pub term: u64,
    /// Round of the append.
    #[serde(rename = "r")]
    pub round: u64,
    /// Last entry that is the leader's and synced.
    #[serde(rename = "m")]
    pub match_index: u64,
    /// Where the entry before the first one was missing: the index from which
    /// the leader may try again.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub rejected: Option<Rejected>,
    /// Storage on which the entries are kept.
    #[serde(rename = "d")]
    pub disk: DiskId,
    /// How often that storage was opened.
    #[serde(rename = "g")]
    pub generation: u64,
}

/// Says that an append does not follow from the follower's log.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Rejected {
    /// Entry that was missing or of another term.
    #[serde(rename = "p")]
    pub prev_index: u64,
    /// Newest entry at which the logs may agree; none where a snapshot is needed.
    #[serde(rename = "h")]
    pub hint: Option<u64>,
}

/// The whole state, from the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// Term of the leader.
    pub term: u64,
    /// Round of heartbeats, to be echoed.
    pub round: u64,
    /// The state.
    pub snapshot: Arc<Snapshot>,
}
