//! What a replica is at the moment.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::Voter;
use super::peer::Peer;
use crate::ids::NodeId;
use crate::time::Instant;

/// What a replica is at the moment.
#[derive(Debug)]
pub(super) enum Role {
    /// Holds nothing and waits for the first voters, or for a leader.
    Blank(Formation),
    /// Follows a leader or waits for one. A replica that is no voter stays so.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate(BTreeSet<Voter>),
    /// Asks for votes.
    Candidate(BTreeSet<Voter>),
    /// Leads.
    Leader(Leadership),
}

/// What a blank replica has heard of the other initial voters.
#[derive(Debug, Default)]
pub(super) struct Formation {
    /// Storages of the blank initial voters, this replica included.
    pub(super) heard: BTreeMap<NodeId, Voter>,
    /// What each of the others last said that it had heard.
    pub(super) echoed: BTreeMap<NodeId, Vec<Voter>>,
    /// When the log says again what is waited for.
    pub(super) told_at: Instant,
}

/// What a leader knows.
#[derive(Debug)]
pub(super) struct Leadership {
    /// The other replicas, voters or not.
    pub(super) peers: BTreeMap<NodeId, Peer>,
    /// First entry of the term; what is committed is known once it is.
    pub(super) first_index: u64,
    /// Newest round of heartbeats.
    pub(super) round: u64,
    /// When the next round is due at the latest.
    pub(super) heartbeat_at: Instant,
}
