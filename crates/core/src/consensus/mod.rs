//! The control replica: a replicated log of change sets.
//!
//! Elections with pre-vote, majority commit, step-down without a quorum, read
//! index, snapshots and compaction. An entry counts once it is synced.
//!
//! A [`ControlReplica`] is driven by the reducer: it is given messages, disk
//! events and ticks, and answers with effects and [`ControlOutput`]s. A change
//! set is validated when its entry is applied, so that every replica comes to
//! the same outcome and none hangs on the leader of the moment.

mod disk;
mod election;
mod encoded;
mod entry;
mod floors;
mod follower;
mod formation;
mod leader;
mod log;
mod machine;
mod message;
mod outcomes;
mod peer;
mod proposals;
mod quorum;
mod reads;
mod replica;
mod role;
mod snapshot;
mod start;
mod status;
mod storage;
mod tend;
mod waiting;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use disk::{DiskCommand, DiskEvent, DiskWrite, RecoveredDisk};
pub use entry::{DiskId, Entry, HardState, Payload, Voter, VoterSet};
pub use message::{
    Append, AppendResponse, ConsensusMessage, Floor, Hello, InstallSnapshot, Rejected, VoteRequest,
    VoteResponse,
};
pub use outcomes::{MAX_OUTCOME_AGE_MS, MAX_OUTCOME_BYTES, MAX_OUTCOMES, OutcomeRecord};
pub use replica::ControlReplica;
pub use snapshot::Snapshot;
pub use status::{ControlRole, ControlStatus};
pub use waiting::{PROPOSAL_TIMEOUT_MS, READ_TIMEOUT_MS};

use crate::api::ApiError;
use crate::config::Configuration;
use crate::ids::{NodeId, RequestId, Version};

/// Least time without a leader after which a voter asks for an election, in milliseconds.
pub const ELECTION_TIMEOUT_MIN_MS: u64 = 300;

/// Most time without a leader after which a voter asks for an election, in milliseconds.
pub const ELECTION_TIMEOUT_MAX_MS: u64 = 600;

/// Time between heartbeats of the leader, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Time between the greetings of a replica that no leader knows, in milliseconds.
pub const HELLO_INTERVAL_MS: u64 = 150;

/// Settings of a control replica.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// The first voters, this replica included. Counts only for an empty log.
    pub initial_voters: Vec<NodeId>,
    /// Addresses of the first voters, for messages between processes, where
    /// their names are not known. Counts only where `initial_voters` is empty.
    pub initial_addresses: Vec<SocketAddr>,
    /// Whether this replica never forms the first set: it joins one.
    pub joins_only: bool,
    /// Voters that the leader keeps, by letting replicas that have caught up
    /// vote and by replacing voters that fall silent. None leaves every change
    /// of the voters to operators.
    pub kept_voters: Option<usize>,
}

/// Who asked for a change or a read: the process and its own request key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Origin {
    /// The process at which the request arrived.
    pub node: NodeId,
    /// The request's key there.
    pub request: RequestId,
}

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Committed, or was already so under the same idempotency key.
    Accepted {
        /// Version of the configuration that holds the change.
        version: Version,
    },
    /// Not committed, and never will be.
    Refused(ApiError),
    /// May or may not be committed. A resend under the same key tells.
    Unknown,
}

/// What the control replica tells the rest of the reducer.
#[derive(Clone, Debug)]
pub enum ControlOutput {
    /// A version is committed here. Versions come in order, each once; those
    /// that a snapshot covers are left out.
    Committed(Arc<Configuration>),
    /// What the disk held as committed at the start. Newer versions may be in force,
    /// so that nobody may serve by it before a leader was heard; it can be passed on.
    Recovered(Arc<Configuration>),
    /// A change that was proposed at this replica has its outcome.
    Outcome(Origin, ChangeOutcome),
    /// A read that was asked for at this replica may be answered from the
    /// newest committed version, or must be refused as not current.
    Read(Origin, Result<Arc<Configuration>, ApiError>),
}
