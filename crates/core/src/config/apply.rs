//! Makes the next version of a configuration from a change set, or says everything that is wrong.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::validate::{check_count, check_fields, check_references, check_routes};
use super::{ChangeSet, Configuration, Finding, FindingCode, Operation, StoredResource};
use crate::ids::Version;
use crate::resource::{Release, Resource, ResourceKey};

type Resources = BTreeMap<ResourceKey, StoredResource>;

impl Configuration {
    /// Makes the version that follows this one, with every operation of `changes` carried out.
    ///
    /// A change set that changes nothing gives this version again.
    ///
    /// # Errors
    ///
    /// Every finding of the change set, each with its place. Nothing of the change set is kept.
    pub fn apply(&self, changes: &ChangeSet) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        check_named_once(changes, &mut findings);
        check_versions(self, changes, &mut findings);
        check_release(self, changes, &mut findings);
        check_fields(changes, &mut findings);
        let next = self.carry_out(changes);
        check_references(changes, &next, &mut findings);
        check_routes(changes, &next, &mut findings);
        check_count(&next, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        if next == *self.resources() {
            return Ok(self.clone());
        }
        Ok(Self::new(self.version().next(), next))
    }

    /// The resources after the operations, checked or not.
    fn carry_out(&self, changes: &ChangeSet) -> Resources {
        let version = self.version().next();
        let mut resources = self.resources().clone();
        for operation in &changes.operations {
            match operation {
                Operation::Put { resource, .. } => {
                    let key = resource.key();
                    let unchanged =
                        resources.get(&key).is_some_and(|stored| *stored.resource == *resource);
                    if !unchanged {
                        let resource = Arc::new(resource.clone());
                        resources.insert(key, StoredResource { version, resource });
                    }
                }
                Operation::Delete { resource, .. } => {
                    resources.remove(resource);
                }
                Operation::Release(step) => {
                    let resource = Arc::new(Resource::Release(Release::new(step.number)));
                    resources.insert(Release::key(), StoredResource { version, resource });
                }
            }
        }
        if changes.release().is_some_and(|step| step.whole) {
            let named: BTreeSet<ResourceKey> =
                changes.operations.iter().map(Operation::key).collect();
            resources.retain(|key, _| named.contains(key));
        }
        resources
    }
}

/// Checks that the release number is at the base of the change set and goes up.
fn check_release(present: &Configuration, changes: &ChangeSet, findings: &mut Vec<Finding>) {
    for (at, operation) in changes.operations.iter().enumerate() {
        let Operation::Release(step) = operation else { continue };
        let current = present.release_number();
        if step.base != current {
            let message = format!(
                "release {current} is in place, not {}; read it again and decide anew",
                step.base
            );
            let place = format!("operations[{at}].base");
            findings.push(Finding::new(FindingCode::VersionMismatch, place, message));
        }
        if step.number <= current {
            let message = format!("release {current} is in place; give a number above it");
            let place = format!("operations[{at}].number");
            findings.push(Finding::new(FindingCode::OutOfRange, place, message));
        }
    }
}

fn check_named_once(changes: &ChangeSet, findings: &mut Vec<Finding>) {
    let mut first_use = BTreeMap::new();
    for (at, operation) in changes.operations.iter().enumerate() {
        let key = operation.key();
        if let Some(first) = first_use.insert(key.clone(), at) {
            findings.push(Finding::new(
                FindingCode::Duplicate,
                format!("operations[{at}].resource"),
                format!("{key} is already named by operations[{first}]; name it once"),
            ));
        }
    }
}

fn check_versions(present: &Configuration, changes: &ChangeSet, findings: &mut Vec<Finding>) {
    for (at, operation) in changes.operations.iter().enumerate() {
        let key = operation.key();
        let stored = present.get(&key);
        let found = stored.map(|stored| stored.version);
        if let Some(expected) = operation.if_version() {
            if found.unwrap_or(Version(0)) != expected {
                let found = match found {
                    Some(version) => format!("{key} is at version {version}"),
                    None => format!("{key} does not exist"),
                };
                let finding = Finding::new(
                    FindingCode::VersionMismatch,
                    format!("operations[{at}].if_version"),
                    format!("{found}, not at {expected}; read it again and decide anew"),
                );
                findings.push(finding.with_current(stored.cloned()));
            }
        } else if matches!(operation, Operation::Delete { .. }) && found.is_none() {
            findings.push(Finding::new(
                FindingCode::Missing,
                format!("operations[{at}].resource"),
                format!("{key} does not exist, so it cannot be deleted"),
            ));
        }
    }
}
