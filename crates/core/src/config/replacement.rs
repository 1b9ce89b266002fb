//! Releases: atomic replacement of the complete configuration under a release number
//! that operators choose.

use std::collections::BTreeMap;

use super::{ChangeRequest, ChangeSet, Configuration, Operation, ReleaseStep};
use crate::ids::{ContentHash, IdempotencyKey};
use crate::resource::{Release, Resource, ResourceKey};

/// A complete configuration that replaces the release `base`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replacement {
    /// Release number of the configuration to replace; 0 if there is no release yet.
    pub base: u64,
    /// Release number of the new configuration.
    pub number: u64,
    /// All resources of the new configuration, except for the release itself.
    pub resources: Vec<Resource>,
}

impl Replacement {
    /// Converts the replacement into a change request. Its idempotency key is derived
    /// from the content, so that a resend is recognised at every process.
    pub fn into_change(self) -> ChangeRequest {
        let content = hash_resources(&self.resources);
        let Self { base, number, resources } = self;
        let text = format!("release-{base}-{number}-{content}");
        let step = ReleaseStep { base, number, is_complete: true, content };
        let puts =
            resources.into_iter().map(|resource| Operation::Put { resource, if_version: None });
        let operations = std::iter::once(Operation::Release(step)).chain(puts).collect();
        ChangeRequest { key: IdempotencyKey::new(text).ok(), changes: ChangeSet { operations } }
    }
}

/// Hashes the resources. The order in which they were sent does not matter.
fn hash_resources(resources: &[Resource]) -> ContentHash {
    let mut sorted: Vec<&Resource> = resources.iter().collect();
    sorted.sort_by_key(|resource| resource.key());
    let mut hasher = blake3::Hasher::new();
    ciborium::into_writer(&sorted, &mut hasher).expect("writing to a hasher does not fail");
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    ContentHash(hash)
}

/// Narrows the change set of a complete replacement to the differences from `current`:
/// drops the puts of unchanged resources and adds the deletes.
///
/// A replacement whose base is not the current release number is returned unchanged:
/// it is refused when it is applied, or it applies to a configuration that this
/// process does not have.
pub fn narrow_to_differences(changes: ChangeSet, current: &Configuration) -> ChangeSet {
    let Some(step) = changes.release().filter(|step| step.is_complete).cloned() else {
        return changes;
    };
    if step.base != current.release_number() {
        return changes;
    }
    let mut new_resources: BTreeMap<ResourceKey, &Resource> = BTreeMap::new();
    for operation in &changes.operations {
        if let Operation::Put { resource, .. } = operation
            && new_resources.insert(resource.key(), resource).is_some()
        {
            // Named twice: validation refuses the complete change set with its findings.
            return changes;
        }
    }
    let mut operations = vec![Operation::Release(ReleaseStep { is_complete: false, ..step })];
    for (key, resource) in &new_resources {
        let is_unchanged = current.get(key).is_some_and(|stored| *stored.resource == **resource);
        if !is_unchanged {
            operations.push(Operation::Put { resource: (*resource).clone(), if_version: None });
        }
    }
    let release = Release::key();
    let removed = current.resources().keys().filter(|key| !new_resources.contains_key(*key));
    for key in removed.filter(|key| **key != release) {
        operations.push(Operation::Delete { resource: key.clone(), if_version: None });
    }
    ChangeSet { operations }
}
