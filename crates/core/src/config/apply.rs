//! Applies a change set to a configuration: produces the next version or all findings.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::organisations::check_keys;
use super::validate::{check_fields, check_references, check_resource_count, check_routes};
use super::{ChangeSet, Configuration, Finding, FindingCode, Operation, StoredResource};
use crate::ids::Version;
use crate::organisation::redacted_resource;
use crate::resource::{Release, Resource, ResourceKey};

type Resources = BTreeMap<ResourceKey, StoredResource>;

impl Configuration {
    /// Creates the version that follows this one, with every operation of `changes` applied.
    ///
    /// A change set that changes nothing returns this version.
    ///
    /// # Errors
    ///
    /// Every finding of the change set, each with its place. No operation is applied.
    pub fn apply(&self, changes: &ChangeSet) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        check_duplicates(changes, &mut findings);
        check_versions(self, changes, &mut findings);
        check_release(self, changes, &mut findings);
        check_fields(changes, &mut findings);
        let next = self.apply_operations(changes);
        check_references(changes, &next, &mut findings);
        check_routes(changes, &next, &mut findings);
        check_keys(changes, &next, &mut findings);
        check_resource_count(&next, &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        if next == *self.resources() {
            return Ok(self.clone());
        }
        Ok(Self::new(self.version().next(), next))
    }

    /// Returns the resources after the operations, without validation.
    fn apply_operations(&self, changes: &ChangeSet) -> Resources {
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
        if changes.release().is_some_and(|step| step.is_complete) {
            let named_keys: BTreeSet<ResourceKey> =
                changes.operations.iter().map(Operation::key).collect();
            resources.retain(|key, _| named_keys.contains(key));
        }
        resources
    }
}

/// Checks that the current release number equals the base of the step, and that the
/// step increases it.
fn check_release(configuration: &Configuration, changes: &ChangeSet, findings: &mut Vec<Finding>) {
    for (index, operation) in changes.operations.iter().enumerate() {
        let Operation::Release(step) = operation else { continue };
        let current = configuration.release_number();
        if step.base != current {
            let message = format!(
                "the current release is {current}, not {}; read it again and submit a new change",
                step.base
            );
            let place = format!("operations[{index}].base");
            findings.push(Finding::new(FindingCode::VersionMismatch, place, message));
        }
        if step.number <= current {
            let message = format!("the current release is {current}; use a number above it");
            let place = format!("operations[{index}].number");
            findings.push(Finding::new(FindingCode::OutOfRange, place, message));
        }
    }
}

fn check_duplicates(changes: &ChangeSet, findings: &mut Vec<Finding>) {
    let mut first_use = BTreeMap::new();
    for (index, operation) in changes.operations.iter().enumerate() {
        let key = operation.key();
        if let Some(first) = first_use.insert(key.clone(), index) {
            findings.push(Finding::new(
                FindingCode::Duplicate,
                format!("operations[{index}].resource"),
                format!("{key} is already named by operations[{first}]; name each resource once"),
            ));
        }
    }
}

fn check_versions(configuration: &Configuration, changes: &ChangeSet, findings: &mut Vec<Finding>) {
    for (index, operation) in changes.operations.iter().enumerate() {
        let key = operation.key();
        let stored = configuration.get(&key);
        let stored_version = stored.map(|stored| stored.version);
        if let Some(expected) = operation.if_version() {
            if stored_version.unwrap_or(Version(0)) != expected {
                let state = match stored_version {
                    Some(version) => format!("{key} is at version {version}"),
                    None => format!("{key} does not exist"),
                };
                let finding = Finding::new(
                    FindingCode::VersionMismatch,
                    format!("operations[{index}].if_version"),
                    format!("{state}, not at {expected}; read it again and submit a new change"),
                );
                // Findings contain no keys.
                findings.push(finding.with_current(stored.map(redacted_resource)));
            }
        } else if matches!(operation, Operation::Delete { .. }) && stored_version.is_none() {
            findings.push(Finding::new(
                FindingCode::Missing,
                format!("operations[{index}].resource"),
                format!("{key} does not exist, so it cannot be deleted"),
            ));
        }
    }
}
