//! Change sets: what operators send.

use serde::{Deserialize, Serialize};

use crate::ids::{IdempotencyKey, Version};
use crate::resource::{Resource, ResourceKey};

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
}

impl Operation {
    /// Kind and name of the resource that the operation changes.
    pub fn key(&self) -> ResourceKey {
        match self {
            Self::Put { resource, .. } => resource.key(),
            Self::Delete { resource, .. } => resource.clone(),
        }
    }

    /// Version that the resource must be at, where the operator gave one.
    pub fn if_version(&self) -> Option<Version> {
        match self {
            Self::Put { if_version, .. } | Self::Delete { if_version, .. } => *if_version,
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

/// A change set with the key by which a resend is recognised.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Key of the change; resending under it gets the first outcome.
    pub key: Option<IdempotencyKey>,
    /// The change set.
    pub changes: ChangeSet,
}
