//! What the replicated log holds.

use serde::{Deserialize, Serialize};

use super::Origin;
use crate::config::ChangeRequest;
use crate::ids::NodeId;

/// Identity of a storage, made at random when its data folder is made.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct DiskId(pub u64);

/// A voter with the storage on which its promises are kept.
///
/// The same host with another storage is another voter: it knows nothing of
/// the votes and acknowledgements that the first one gave.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Voter {
    /// The process.
    pub node: NodeId,
    /// Its storage.
    pub disk: DiskId,
}

/// The voters, sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct VoterSet(Vec<Voter>);

impl VoterSet {
    /// Makes a set of these voters.
    pub fn new(mut voters: Vec<Voter>) -> Self {
        voters.sort_unstable();
        voters.dedup_by_key(|voter| voter.node);
        Self(voters)
    }

    /// The voters, sorted.
    pub fn voters(&self) -> &[Voter] {
        &self.0
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether the process votes with this storage.
    pub fn contains(&self, voter: Voter) -> bool {
        self.0.binary_search(&voter).is_ok()
    }

    /// Whether any process votes with this storage.
    pub fn contains_disk(&self, disk: DiskId) -> bool {
        self.0.iter().any(|voter| voter.disk == disk)
    }

    /// The storage with which a process votes.
    pub fn disk_of(&self, node: NodeId) -> Option<DiskId> {
        self.0.iter().find(|voter| voter.node == node).map(|voter| voter.disk)
    }

    /// The set with another voter beside the others.
    pub fn with_added(&self, new: Voter) -> Self {
        self.with_replaced(new.node, new)
    }

    /// The set with `new` in the place of the voter of process `old`, or
    /// beside the others where `old` is no voter.
    pub fn with_replaced(&self, old: NodeId, new: Voter) -> Self {
        let kept = self.0.iter().filter(|voter| voter.node != old && voter.node != new.node);
        Self::new(kept.copied().chain([new]).collect())
    }
}

/// What an entry does.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of each term.
    Noop,
    /// Changes the configuration, where the change set is valid at this place of the log.
    Change {
        /// Who asked.
        origin: Origin,
        /// The change.
        change: ChangeRequest,
    },
    /// Replaces the voters.
    Voters(VoterSet),
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Place in the log; the first is 1.
    #[serde(rename = "i")]
    pub index: u64,
    /// Term of the leader that made the entry.
    #[serde(rename = "t")]
    pub term: u64,
    /// Unix time by the leader's clock, in milliseconds. Never goes back in the log.
    #[serde(rename = "u")]
    pub unix_ms: u64,
    /// What the entry does.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// Promises that must be synced before they are given.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that the replica has seen.
    pub term: u64,
    /// The candidate that got this replica's vote in the term.
    pub vote: Option<NodeId>,
    /// An entry up to which the log is committed; there may be later ones.
    ///
    /// Written when a voter set is committed: after a restart, a replica must
    /// know that the set before it counts no more, as its voters may be gone.
    /// Written with each version too, so that a replica which was restarted can pass
    /// the newest one on at once.
    pub commit: u64,
}
