//! The control replica: a replicated log of change sets.
//!
//! Elections with pre-vote, majority commit, step-down without a quorum, read
//! index, snapshots and compaction. An entry counts once it is synced.

mod disk;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use disk::{DiskCommand, DiskEvent, RecoveredDisk};

use crate::api::ApiError;
use crate::config::{ChangeRequest, Configuration};
use crate::context::Context;
use crate::ids::{NodeId, RequestId, Version};
use crate::time::Instant;

/// Messages between control replicas.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {}

/// Settings of a control replica.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// The first voters, this replica included. Counts only for an empty log.
    pub initial_voters: Vec<NodeId>,
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
    /// A version is committed here. Versions come in order, each once.
    Committed(Arc<Configuration>),
    /// A change that was proposed at this replica has its outcome.
    Outcome(Origin, ChangeOutcome),
    /// A read that was asked for at this replica may be answered from the
    /// newest committed version, or must be refused as not current.
    Read(Origin, Result<Arc<Configuration>, ApiError>),
}

/// State of a control replica.
pub struct ControlReplica {
    outputs: Vec<ControlOutput>,
    configuration: Arc<Configuration>,
}

impl ControlReplica {
    /// Makes a replica from its settings and what its disk held.
    pub fn new(_settings: ControlSettings, _recovered: RecoveredDisk, _now: Instant) -> Self {
        Self { outputs: Vec::new(), configuration: Arc::default() }
    }

    /// The newest committed configuration that this replica knows.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The leader that this replica follows, itself included.
    pub fn leader(&self) -> Option<NodeId> {
        None
    }

    /// Proposes a change. The outcome comes as a [`ControlOutput::Outcome`].
    pub fn propose(&mut self, _cx: &mut Context<'_>, origin: Origin, _change: ChangeRequest) {
        self.outputs.push(ControlOutput::Outcome(origin, ChangeOutcome::Unknown));
    }

    /// Asks for a read that is current. Answered by a [`ControlOutput::Read`].
    pub fn read(&mut self, _cx: &mut Context<'_>, origin: Origin) {
        self.outputs.push(ControlOutput::Read(origin, Ok(Arc::clone(&self.configuration))));
    }

    /// Takes what the rest of the reducer must hear.
    pub fn take_outputs(&mut self) -> Vec<ControlOutput> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`ControlReplica::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        Instant::NEVER
    }

    /// Does what is due.
    pub fn tick(&mut self, _cx: &mut Context<'_>) {}

    /// A message from another replica.
    pub fn step(&mut self, _cx: &mut Context<'_>, _from: NodeId, message: ConsensusMessage) {
        match message {}
    }

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, _cx: &mut Context<'_>, _peer: NodeId) {}

    /// The disk finished a command, or failed.
    pub fn disk(&mut self, _cx: &mut Context<'_>, event: DiskEvent) {
        match event {}
    }
}
