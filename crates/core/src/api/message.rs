//! Messages that forward operators' requests to control replicas, and the responses.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{ApiError, ErrorCode};
use crate::config::{ChangeRequest, Configuration, StoredResource};
use crate::consensus::ChangeOutcome;
use crate::ids::{NodeId, RequestId, Version};
use crate::membership::Member;
use crate::resource::{ResourceKey, ResourceKind};

/// Messages that carry forwarded operators' requests and their responses.
///
/// `request` is the random key of one attempt. No other attempt has it, of this run of the process
/// that received the operator's request or of an earlier one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ApiMessage {
    /// Requests that the leader propose a change.
    Propose {
        /// Key of the attempt.
        request: RequestId,
        /// The change, with an idempotency key.
        change: ChangeRequest,
        /// Incarnation of the process that received the operator's request.
        incarnation: u64,
    },
    /// Requests that the leader propose the replacement of a voter.
    ReplaceVoter {
        /// Key of the attempt.
        request: RequestId,
        /// The voter to remove.
        old: NodeId,
        /// The process that becomes a voter.
        new: NodeId,
    },
    /// Reports the outcome of a proposed change.
    Outcome {
        /// Key of the attempt.
        request: RequestId,
        /// The outcome.
        outcome: ChangeOutcome,
    },
    /// Requests a linearizable read of the newest committed version.
    Read {
        /// Key of the attempt.
        request: RequestId,
        /// What to read.
        query: ReadQuery,
    },
    /// Returns the result of a read, or the reason why it failed.
    ReadAnswer {
        /// Key of the attempt.
        request: RequestId,
        /// The result.
        answer: Result<ReadAnswer, ApiError>,
    },
    /// Rejects a request, because the sender is not the leader. The sender did not act
    /// on the request.
    NotLeader {
        /// Key of the attempt.
        request: RequestId,
        /// The leader that the sender follows, and its address for peers.
        leader: Option<(NodeId, SocketAddr)>,
    },
}

/// A read of a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReadQuery {
    /// One resource.
    Get(ResourceKey),
    /// All resources of a kind.
    List(ResourceKind),
    /// All resources.
    #[serde(rename = "Whole")]
    All,
}

/// The result of a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReadAnswer {
    /// One resource.
    Resource(StoredResource),
    /// All resources of one kind or of every kind.
    List {
        /// Version of the configuration.
        version: Version,
        /// The resources, ordered by kind and name.
        resources: Vec<StoredResource>,
    },
}

impl ReadQuery {
    /// Executes the read on `configuration`.
    ///
    /// # Errors
    ///
    /// `NotFound` if a single resource is read that does not exist.
    pub fn answer(&self, configuration: &Configuration) -> Result<ReadAnswer, ApiError> {
        match self {
            Self::Get(key) => {
                let stored = configuration.get(key).cloned();
                stored.map(ReadAnswer::Resource).ok_or_else(|| not_found_error(key, configuration))
            }
            Self::List(kind) => {
                let of_kind = configuration.resources().iter().filter(|(key, _)| key.kind == *kind);
                Ok(ReadAnswer::List {
                    version: configuration.version(),
                    resources: of_kind.map(|(_, stored)| stored.clone()).collect(),
                })
            }
            Self::All => Ok(ReadAnswer::List {
                version: configuration.version(),
                resources: configuration.resources().values().cloned().collect(),
            }),
        }
    }
}

fn not_found_error(key: &ResourceKey, configuration: &Configuration) -> ApiError {
    let version = configuration.version();
    ApiError::new(ErrorCode::NotFound, format!("{key} does not exist in version {version}"))
}

/// Redirects a request to the leader, if one is known.
#[derive(Default)]
pub(super) struct Redirect {
    leader: Option<(NodeId, SocketAddr)>,
}

impl Redirect {
    /// Creates a redirect to `member`, or one without a leader.
    pub(super) fn to(member: Option<&Member>) -> Self {
        Self { leader: member.map(|member| (member.id, member.addresses.peers)) }
    }

    /// Creates the message that rejects the attempt `request`.
    pub(super) fn into_message(self, request: RequestId) -> ApiMessage {
        ApiMessage::NotLeader { request, leader: self.leader }
    }
}
