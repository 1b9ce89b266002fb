//! Change sets: the operations that operators submit to change the configuration.

use serde::{Deserialize, Serialize};

use crate::ids::{ContentHash, IdempotencyKey, Version};
use crate::resource::{Release, Resource, ResourceKey};

/// One operation of a change set.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase", deny_unknown_fields)]
pub enum Operation {
    /// Creates or replaces a resource.
    Put {
        /// The resource.
        resource: Resource,
        /// Version that the resource must be at (optimistic concurrency); 0 means that it
        /// must not exist.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        if_version: Option<Version>,
    },
    /// Deletes a resource. It must exist.
    Delete {
        /// Kind and name of the resource.
        resource: ResourceKey,
        /// Version that the resource must be at (optimistic concurrency).
        #[serde(default, skip_serializing_if = "Option::is_none")]
        if_version: Option<Version>,
    },
    /// Increases the release number.
    Release(ReleaseStep),
}

/// Increases the release number, which operators assign to the complete configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReleaseStep {
    /// The release number that must be current; 0 means that there is no release yet.
    pub base: u64,
    /// The new release number. Must be above `base`.
    pub number: u64,
    /// Whether the change set lists the complete configuration: resources that it does
    /// not put are deleted.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// Hash of the complete configuration as the operator sent it. Identifies a resend
    /// even if the change set was narrowed to other operations.
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

    /// Version that the resource must be at, if the operator gave one.
    pub fn if_version(&self) -> Option<Version> {
        match self {
            Self::Put { if_version, .. } | Self::Delete { if_version, .. } => *if_version,
            Self::Release(_) => None,
        }
    }
}

/// Operations that are applied atomically and become one version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// The operations, in order. Each resource may be named only once.
    pub operations: Vec<Operation>,
}

impl ChangeSet {
    /// The step of the release number, if the change set has one.
    pub fn release(&self) -> Option<&ReleaseStep> {
        self.operations.iter().find_map(|operation| match operation {
            Operation::Release(step) => Some(step),
            _ => None,
        })
    }
}

/// A change set with the idempotency key that identifies a resend.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Idempotency key of the change. A resend with the same key gets the outcome of the
    /// first submission.
    pub key: Option<IdempotencyKey>,
    /// The change set.
    pub changes: ChangeSet,
}
