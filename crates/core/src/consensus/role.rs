//! Roles of a replica, with the state of each.

use std::collections::{BTreeMap, BTreeSet};

use super::entry::Voter;
use super::peer::Peer;
use crate::ids::NodeId;
use crate::time::Instant;

/// How a control replica takes part in the replicated log, and the leader that it knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Participation {
    /// Leads, follows a leader, or votes for one.
    Member {
        /// The leader that it follows; itself where it leads.
        leader: Option<NodeId>,
    },
    /// Receives nothing from the log: a leader replicates to a bounded number of replicas, and a
    /// replica without a usable storage takes no part. Its process acts like a proxy.
    Standby {
        /// The leader that other replicas report.
        leader: Option<NodeId>,
    },
}

impl Participation {
    /// Whether the replica receives nothing from the log.
    pub fn is_standby(self) -> bool {
        matches!(self, Self::Standby { .. })
    }

    /// The leader that the replica follows or that others report.
    pub fn leader(self) -> Option<NodeId> {
        match self {
            Self::Member { leader } | Self::Standby { leader } => leader,
        }
    }
}

/// Current role of a replica.
#[derive(Debug)]
pub(super) enum Role {
    /// Has an empty storage and waits for the other initial voters, or for a leader.
    Blank(Bootstrap),
    /// Follows a leader or waits for one. A learner stays in this role.
    Follower,
    /// Requests pre-votes. Holds the voters that granted one.
    PreCandidate(BTreeSet<Voter>),
    /// Requests votes. Holds the voters that granted one.
    Candidate(BTreeSet<Voter>),
    /// Leads the term.
    Leader(Leadership),
}

/// Bootstrap state of a blank replica: the initial voters that it has discovered.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    /// Storages of the blank initial voters, this replica included.
    pub(super) discovered: BTreeMap<NodeId, Voter>,
    /// The storages that each other initial voter last reported as discovered.
    pub(super) reported: BTreeMap<NodeId, Vec<Voter>>,
    /// When the missing initial voters are logged again.
    pub(super) next_log_at: Instant,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leadership {
    /// The other replicas, voters and learners.
    pub(super) peers: BTreeMap<NodeId, Peer>,
    /// When the term of this leader began.
    pub(super) started_at: Instant,
    /// Index of the first entry of the term. Once it is committed, the commit index covers every
    /// committed entry.
    pub(super) first_index: u64,
    /// Number of the newest heartbeat round.
    pub(super) round: u64,
    /// When the next heartbeat round is due at the latest.
    pub(super) next_heartbeat_at: Instant,
}
