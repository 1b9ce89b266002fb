//! The whole configuration replaced at once, under a number that operators choose.

use std::collections::BTreeMap;

use super::{ChangeRequest, ChangeSet, Configuration, Operation, ReleaseStep};
use crate::ids::{ContentHash, IdempotencyKey};
use crate::resource::{Release, Resource, ResourceKey};

/// A whole configuration that takes the place of the one numbered `base`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Replacement {
    /// Number of the configuration that is replaced; 0 where there is none yet.
    pub base: u64,
    /// Number of the new configuration.
    pub number: u64,
    /// Every resource of the new configuration, but for the release itself.
    pub resources: Vec<Resource>,
}

impl Replacement {
    /// The change set that carries the replacement out. Its idempotency key is
    /// made of the content, so that the same replacement is recognised at any
    /// process.
    pub fn into_change(self) -> ChangeRequest {
        let content = content_of(&self.resources);
        let Self { base, number, resources } = self;
        let text = format!("release-{base}-{number}-{content}");
        let step = ReleaseStep { base, number, whole: true, content };
        let puts =
            resources.into_iter().map(|resource| Operation::Put { resource, if_version: None });
        let operations = std::iter::once(Operation::Release(step)).chain(puts).collect();
        ChangeRequest { key: IdempotencyKey::new(text).ok(), changes: ChangeSet { operations } }
    }
}

/// Hash over the resources, in whatever order they were sent.
fn content_of(resources: &[Resource]) -> ContentHash {
    let mut sorted: Vec<&Resource> = resources.iter().collect();
    sorted.sort_by_key(|resource| resource.key());
    let mut hasher = blake3::Hasher::new();
    ciborium::into_writer(&sorted, &mut hasher).expect("a hasher takes every byte");
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    ContentHash(hash)
}

/// Leaves out of a whole replacement what `present` holds already, and names
/// what has to be deleted.
///
/// A replacement on top of another number than the present one is kept whole:
/// it is refused when it is applied, or applied to a configuration that is not
/// known here.
pub fn narrow(changes: ChangeSet, present: &Configuration) -> ChangeSet {
    let Some(step) = changes.release().filter(|step| step.whole).cloned() else { return changes };
    if step.base != present.release_number() {
        return changes;
    }
    let mut wanted: BTreeMap<ResourceKey, &Resource> = BTreeMap::new();
    for operation in &changes.operations {
        if let Operation::Put { resource, .. } = operation
            && wanted.insert(resource.key(), resource).is_some()
        {
            // Named twice: the whole change set is refused with its findings.
            return changes;
        }
    }
    let mut operations = vec![Operation::Release(ReleaseStep { whole: false, ..step })];
    for (key, resource) in &wanted {
        let is_held = present.get(key).is_some_and(|stored| *stored.resource == **resource);
        if !is_held {
            operations.push(Operation::Put { resource: (*resource).clone(), if_version: None });
        }
    }
    let release = Release::key();
    let dropped = present.resources().keys().filter(|key| !wanted.contains_key(*key));
    for key in dropped.filter(|key| **key != release) {
        operations.push(Operation::Delete { resource: key.clone(), if_version: None });
    }
    ChangeSet { operations }
}
