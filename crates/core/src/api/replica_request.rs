//! Requests of operators that only a control replica can carry out.

use std::fmt;

use super::message::{ApiMessage, ReadQuery};
use crate::config::ChangeRequest;
use crate::context::Identity;
use crate::ids::{IdempotencyKey, Name, NodeId, RequestId};

/// Timeout of a change, in milliseconds from its arrival.
const CHANGE_TIMEOUT_MS: u64 = 6_000;
/// Timeout of a linearizable read, in milliseconds from its arrival.
const READ_TIMEOUT_MS: u64 = 3_000;

/// A request that only a control replica can carry out.
#[derive(Clone)]
pub(super) enum ReplicaRequest {
    /// A change that carries an idempotency key.
    Change(ChangeRequest),
    /// A replacement of a voter. It is idempotent: proposing it twice has the
    /// effect of proposing it once.
    ReplaceVoter {
        /// The voter to remove.
        old: NodeId,
        /// The process that becomes a voter.
        new: NodeId,
    },
    /// A linearizable read.
    Read(ReadQuery),
}

impl ReplicaRequest {
    /// Creates the request for a change. If the client sent no idempotency key, it
    /// gets one that is unique to this process.
    pub(super) fn change(me: &Identity, request: RequestId, mut change: ChangeRequest) -> Self {
        change.key = change.key.or_else(|| {
            let text = format!("auto-{}-{}-{}", me.id, me.incarnation, request.0);
            IdempotencyKey::new(text).ok()
        });
        Self::Change(change)
    }

    /// Creates the request to replace a voter, from the names of the hosts.
    pub(super) fn replace_voter(old: &Name, new: &Name) -> Self {
        Self::ReplaceVoter { old: NodeId::of_host(old), new: NodeId::of_host(new) }
    }

    /// Whether this is a read.
    pub(super) fn is_read(&self) -> bool {
        matches!(self, Self::Read(_))
    }

    /// Timeout of the request, in milliseconds from its arrival.
    pub(super) fn timeout_ms(&self) -> u64 {
        match self {
            Self::Change(_) | Self::ReplaceVoter { .. } => CHANGE_TIMEOUT_MS,
            Self::Read(_) => READ_TIMEOUT_MS,
        }
    }

    /// Creates the message that carries one attempt to another process.
    pub(super) fn message(&self, request: RequestId, incarnation: u64) -> ApiMessage {
        match self.clone() {
            Self::Change(change) => ApiMessage::Propose { request, change, incarnation },
            Self::ReplaceVoter { old, new } => ApiMessage::ReplaceVoter { request, old, new },
            Self::Read(query) => ApiMessage::Read { request, query },
        }
    }
}

impl fmt::Display for ReplicaRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change(ChangeRequest { key: Some(key), .. }) => write!(f, "Change {key}"),
            Self::Change(_) => write!(f, "Change without a key"),
            Self::ReplaceVoter { old, new } => write!(f, "Replacement of voter {old} by {new}"),
            Self::Read(_) => write!(f, "Read"),
        }
    }
}
