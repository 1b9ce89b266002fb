//! Requests passed on to the leader, and their answers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{ApiError, ErrorCode};
use crate::config::{ChangeRequest, Configuration, StoredResource};
use crate::consensus::ChangeOutcome;
use crate::ids::{NodeId, RequestId, Version};
use crate::membership::Member;
use crate::resource::{ResourceKey, ResourceKind};

/// Messages about operators' requests. `request` is the key of one attempt at
/// the process where the request arrived.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ApiMessage {
    /// Please propose this change.
    Propose {
        /// The request.
        request: RequestId,
        /// The change, with an idempotency key.
        change: ChangeRequest,
        /// Incarnation of the process at which the request arrived.
        incarnation: u64,
    },
    /// Please propose that one process votes in the place of another.
    ReplaceVoter {
        /// The request.
        request: RequestId,
        /// The process that votes no more.
        old: NodeId,
        /// The process that votes instead.
        new: NodeId,
    },
    /// What became of a proposed change.
    Outcome {
        /// The request.
        request: RequestId,
        /// The outcome.
        outcome: ChangeOutcome,
    },
    /// Please read this from the newest committed version.
    Read {
        /// The request.
        request: RequestId,
        /// What to read.
        query: ReadQuery,
    },
    /// What a read found, or why it cannot be answered.
    ReadAnswer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Result<ReadAnswer, ApiError>,
    },
    /// The sender did nothing with the request, because it does not lead.
    NotLeader {
        /// The request.
        request: RequestId,
        /// The leader that the sender follows, and where it listens.
        leader: Option<(NodeId, SocketAddr)>,
    },
}

/// What to read of a configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReadQuery {
    /// One resource.
    Get(ResourceKey),
    /// Every resource of a kind.
    List(ResourceKind),
    /// Every resource.
    Whole,
}

/// What a read found.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReadAnswer {
    /// One resource.
    Resource(StoredResource),
    /// Every resource of a kind, or of all kinds.
    List {
        /// Version of the configuration.
        version: Version,
        /// The resources, by kind and name.
        resources: Vec<StoredResource>,
    },
}

impl ReadQuery {
    /// Reads `configuration`.
    pub fn answer(&self, configuration: &Configuration) -> Result<ReadAnswer, ApiError> {
        match self {
            Self::Get(key) => {
                let stored = configuration.get(key).cloned();
                stored.map(ReadAnswer::Resource).ok_or_else(|| not_found(key, configuration))
            }
            Self::List(kind) => {
                let of_kind = configuration.resources().iter().filter(|(key, _)| key.kind == *kind);
                Ok(ReadAnswer::List {
                    version: configuration.version(),
                    resources: of_kind.map(|(_, stored)| stored.clone()).collect(),
                })
            }
            Self::Whole => Ok(ReadAnswer::List {
                version: configuration.version(),
                resources: configuration.resources().values().cloned().collect(),
            }),
        }
    }
}

fn not_found(key: &ResourceKey, configuration: &Configuration) -> ApiError {
    let version = configuration.version();
    ApiError::new(ErrorCode::NotFound, format!("{key} does not exist in version {version}"))
}

/// The leader to ask instead.
#[derive(Default)]
pub(super) struct Redirect {
    leader: Option<(NodeId, SocketAddr)>,
}

impl Redirect {
    /// Redirects to a member, where it is known.
    pub(super) fn to(member: Option<&Member>) -> Self {
        Self { leader: member.map(|member| (member.id, member.addresses.peers)) }
    }

    /// The message that answers `request`.
    pub(super) fn answering(self, request: RequestId) -> ApiMessage {
        ApiMessage::NotLeader { request, leader: self.leader }
    }
}
