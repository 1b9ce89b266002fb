//! Hashes that every process computes alike.

use std::hash::{BuildHasher, Hash};

use crate::ids::NodeId;

/// Hashes a value. Equal in every process of one release.
pub(crate) fn stable_hash(value: impl Hash) -> u64 {
    foldhash::quality::FixedState::with_seed(HASH_SEED).hash_one(value)
}

/// Rank of a process where one of several is chosen: the lowest is.
pub(crate) fn rank(id: NodeId) -> (u64, NodeId) {
    (stable_hash(id), id)
}

const HASH_SEED: u64 = 0x6669_7265_666c_7931;
