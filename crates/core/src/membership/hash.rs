//! Hashes that are the same in every process.

use std::hash::{BuildHasher, Hash};

use crate::ids::NodeId;

/// Hashes a value. All processes of one release get the same hash.
pub(crate) fn stable_hash(value: impl Hash) -> u64 {
    foldhash::quality::FixedState::with_seed(HASH_SEED).hash_one(value)
}

/// Rank of a process in a choice among several: the lowest rank is chosen.
pub(crate) fn rank(id: NodeId) -> (u64, NodeId) {
    (stable_hash(id), id)
}

const HASH_SEED: u64 = 0x6669_7265_666c_7931;
