//! The control replica: a replicated log of change sets.
//!
//! A Raft-like protocol: elections with pre-vote, commit by majority, step-down
//! of a leader without a quorum, read index, snapshots and log compaction. A
//! replica acknowledges an entry only after it is synced to disk.
//!
//! The reducer drives a [`ControlReplica`]: it passes in messages, disk events
//! and ticks, and the replica returns effects and [`ControlOutput`]s. A change
//! set is validated when its entry is applied, so that every replica computes
//! the same outcome, whichever replica leads at that time.

mod acceptance;
mod bootstrap;
mod disk;
mod election;
mod encoded;
mod entry;
mod floors;
mod follower;
mod leader;
mod log;
mod message;
mod outcomes;
mod peer;
mod pending;
mod proposals;
mod quorum;
mod reads;
mod replica;
mod role;
mod snapshot;
mod start;
mod state_machine;
mod status;
mod storage;
mod voters;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use acceptance::MAX_WITHHOLD_MS;
pub use disk::{DiskCommand, DiskEvent, DiskWrite, RecoveredDisk};
pub use entry::{DiskId, Entry, HardState, Payload, Voter, VoterSet};
pub use message::{
    Append, AppendResponse, ConsensusMessage, Floor, Hello, InstallSnapshot, Rejected, VoteRequest,
    VoteResponse,
};
pub use outcomes::{MAX_OUTCOME_AGE_MS, MAX_OUTCOME_BYTES, MAX_OUTCOMES, OutcomeRecord};
pub use pending::{PROPOSAL_TIMEOUT_MS, READ_TIMEOUT_MS};
pub use replica::ControlReplica;
pub use role::Participation;
pub use snapshot::Snapshot;
pub use status::{ControlRole, ControlStatus};

use crate::api::ApiError;
use crate::config::Configuration;
use crate::ids::{NodeId, RequestId, Version};

/// Shortest election timeout: time without a leader after which a voter campaigns, in
/// milliseconds.
pub const ELECTION_TIMEOUT_MIN_MS: u64 = 300;

/// Longest election timeout: time without a leader after which a voter campaigns, in
/// milliseconds.
pub const ELECTION_TIMEOUT_MAX_MS: u64 = 600;

/// Interval between heartbeats of the leader, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Interval between the [`Hello`] messages of a replica to which no leader replicates, in
/// milliseconds.
pub const HELLO_INTERVAL_MS: u64 = 150;

/// Settings of a control replica.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// The initial voters, this replica included. Used only where the log is empty.
    pub initial_voters: Vec<NodeId>,
    /// Peer addresses of the initial voters, for use where their names are not
    /// known. Used only where `initial_voters` is empty.
    pub initial_addresses: Vec<SocketAddr>,
    /// Whether this replica never bootstraps a voter set, but only joins an existing one.
    pub joins_only: bool,
    /// Number of voters that the leader maintains: it promotes learners that
    /// have caught up, and replaces voters that stop responding. With none,
    /// only operators change the voters.
    pub desired_voter_count: Option<usize>,
}

/// Origin of a change or read request: the process and its own request key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Origin {
    /// The process at which the request arrived.
    pub node: NodeId,
    /// The request's key there.
    pub request: RequestId,
}

/// Outcome of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Committed now, or earlier under the same idempotency key. Reported once the voters in
    /// touch are admitted with their present storages, within [`MAX_WITHHOLD_MS`].
    Accepted {
        /// Version of the configuration that holds the change.
        version: Version,
    },
    /// Not committed, and never will be.
    Refused(ApiError),
    /// May or may not be committed. A resend under the same key returns the outcome.
    Unknown,
}

/// Output of the control replica to the rest of the reducer.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// A version was committed at this replica. Versions are output in order, each once since the
    /// disk was last opened; versions that an installed snapshot skips are not output.
    Committed(Arc<Configuration>),
    /// The committed configuration that was on disk at startup. Newer versions may be in
    /// force, so it must not be served from before a leader has made contact; it may be
    /// distributed to other processes.
    Recovered(Arc<Configuration>),
    /// Outcome of a change that was proposed at this replica.
    Outcome(Origin, ChangeOutcome),
    /// Result of a read that was requested at this replica: the newest committed
    /// configuration, or an error where the replica is not current.
    Read(Origin, Result<Arc<Configuration>, ApiError>),
}
