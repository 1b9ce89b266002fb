//! Log entries, voter sets and the hard state of a replica.

use serde::{Deserialize, Serialize};

use super::Origin;
use crate::config::ChangeRequest;
use crate::ids::NodeId;

/// Identity of a storage, generated at random when its data folder is created.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct DiskId(pub u64);

/// A voter: a process with the storage that holds its votes and log entries.
///
/// The same host with another storage is another voter, because the new storage
/// has no record of the earlier votes and acknowledgements.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Voter {
    /// The process.
    pub node: NodeId,
    /// Its storage.
    pub disk: DiskId,
}

/// A set of voters, sorted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct VoterSet(Vec<Voter>);

impl VoterSet {
    /// Creates a set from these voters.
    pub fn new(mut voters: Vec<Voter>) -> Self {
        voters.sort_unstable();
        voters.dedup_by_key(|voter| voter.node);
        Self(voters)
    }

    /// The voters, sorted.
    pub fn voters(&self) -> &[Voter] {
        &self.0
    }

    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.0.len() / 2 + 1
    }

    /// Whether the set contains this process with this storage.
    pub fn contains(&self, voter: Voter) -> bool {
        self.0.binary_search(&voter).is_ok()
    }

    /// Whether the storage belongs to a voter of the set.
    pub fn contains_disk(&self, disk: DiskId) -> bool {
        self.0.iter().any(|voter| voter.disk == disk)
    }

    /// The storage of a voter; none where the process is not a voter.
    pub fn disk_of(&self, node: NodeId) -> Option<DiskId> {
        self.0.iter().find(|voter| voter.node == node).map(|voter| voter.disk)
    }

    /// Returns the set with one more voter.
    pub fn with_added(&self, new: Voter) -> Self {
        self.with_replaced(new.node, new)
    }

    /// Returns the set with `new` in place of the voter of process `old`, or with
    /// `new` added where `old` is not a voter.
    pub fn with_replaced(&self, old: NodeId, new: Voter) -> Self {
        let kept = self.0.iter().filter(|voter| voter.node != old && voter.node != new.node);
        Self::new(kept.copied().chain([new]).collect())
    }
}

/// Payload of a log entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation: the first entry of each term.
    Noop,
    /// Changes the configuration if the change set is valid at this position in the log.
    Change {
        /// Origin of the request.
        origin: Origin,
        /// The change.
        change: ChangeRequest,
    },
    /// Replaces the voters.
    Voters(VoterSet),
}

/// One log entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log; the first is 1.
    #[serde(rename = "i")]
    pub index: u64,
    /// Term of the leader that created the entry.
    #[serde(rename = "t")]
    pub term: u64,
    /// Unix time by the leader's clock, in milliseconds. Never decreases along the log.
    #[serde(rename = "u")]
    pub unix_ms: u64,
    /// The payload.
    #[serde(rename = "p")]
    pub payload: Payload,
}

/// The state that must be synced before a message that depends on it is sent: term, vote and
/// commit index.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term that the replica has seen.
    pub term: u64,
    /// The candidate for which this replica voted in the term.
    pub vote: Option<NodeId>,
    /// A lower bound of the commit index; later entries may be committed too.
    ///
    /// Written when a voter set is committed: after a restart, a replica must not
    /// require a majority of the previous set any more, as its voters may be gone.
    /// Also written with each version, so that a restarted replica can distribute
    /// the newest one at once.
    pub commit: u64,
}
