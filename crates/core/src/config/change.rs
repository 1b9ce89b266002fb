//! Change sets: what operators send.

use serde::{Deserialize, Serialize};

use crate::ids::{ContentHash, IdempotencyKey, Version};
use crate::resource::{Release, Resource, ResourceKey};

/// One put or delete of a change set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase", deny_unknown_fields)]
pub enum Operation {
    /// Create or replace a resource.
    Put {
        /// The resource.
        resource: Resource,
        /// Version that the resource must be at; 0 means that it must not exist.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        if_version: Option<Version>,
    },
    /// Delete a resource. It must exist.
    Delete {
        /// Kind and name of the resource.
        resource: ResourceKey,
        /// Version that the resource must be at.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        if_version: Option<Version>,
    },
    /// Move the release number.
    Release(ReleaseStep),
}

/// Moves the number that operators give the whole configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReleaseStep {
    /// The number that must be in force; 0 means none yet.
    pub base: u64,
    /// The number afterwards. Above `base`.
    pub number: u64,
    /// Whether resources that the change set does not put are deleted.
    pub whole: bool,
    /// Hash of the whole configuration as the operator sent it, by which a
    /// resend is recognised whatever the change set was narrowed to.
    pub content: ContentHash,
}

impl Operation {
    /// Kind and name of the resource that the operation changes.
    pub fn key(&self) -> ResourceKey {
        match self {
            Self::Put { resource, .. } => resource.key(),
            Self::Delete { resource, .. } => resource.clone(),
            Self::Release(_) => Release::key(),
        }
    }

    /// Version that the resource must be at, where the operator gave one.
    pub fn if_version(&self) -> Option<Version> {
        match self {
            Self::Put { if_version, .. } | Self::Delete { if_version, .. } => *if_version,
            Self::Release(_) => None,
        }
    }
}

/// Operations that become one version together, or none of them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// The operations, in order. A resource may be named once.
    pub operations: Vec<Operation>,
}

impl ChangeSet {
    /// The move of the release number, where the change set has one.
    pub fn release(&self) -> Option<&ReleaseStep> {
        self.operations.iter().find_map(|operation| match operation {
            Operation::Release(step) => Some(step),
            _ => None,
        })
    }
}

/// A change set with the key by which a resend is recognised.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Key of the change; resending under it gets the first outcome.
    pub key: Option<IdempotencyKey>,
    /// The change set.
    pub changes: ChangeSet,
}
