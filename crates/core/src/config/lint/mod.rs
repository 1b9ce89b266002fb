//! Checks of a change set before it is sent: the errors of validation, entries that have no effect,
//! limits that contradict each other, and the differences from the version in force.
//!
//! No text contains a key of an organisation.

mod differences;
mod limits;
mod unused;

use compact_str::{CompactString, format_compact};

use super::{ChangeSet, Configuration, Finding, FindingCode};
use crate::collections::HashMap;
use crate::organisation::KeyDigest;
use crate::resource::{ResourceKey, ResourceKind};
pub use differences::{Difference, differences};

/// The result of a check.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Report {
    /// Mistakes for which the change set would be refused. If there are any, nothing else was
    /// checked.
    pub errors: Vec<Finding>,
    /// Entries without effect and contradictions in the configuration that would result.
    pub remarks: Vec<Remark>,
    /// What the change set would change.
    pub differences: Vec<Difference>,
}

/// Checks a change set against the configuration that it is meant for. That may be a stale read,
/// which contains digests in place of keys.
pub fn check(current: &Configuration, changes: &ChangeSet) -> Report {
    let next = match current.apply(changes) {
        Ok(next) => next,
        Err(errors) => {
            let errors = errors.into_iter().map(|finding| finding.with_current(None)).collect();
            return Report { errors, ..Report::default() };
        }
    };
    Report {
        errors: shared_keys(&next),
        remarks: lint(&next),
        differences: differences(current, &next),
    }
}

/// Finds keys that two organisations have. Validation compares keys as they are written and does
/// not find a key whose digest belongs to another organisation.
fn shared_keys(configuration: &Configuration) -> Vec<Finding> {
    let mut owners: HashMap<KeyDigest, &str> = HashMap::default();
    let mut findings = Vec::new();
    for organisation in configuration.organisations() {
        for key in &organisation.keys {
            if let Some(owner) = owners.insert(key.digest(), organisation.name.as_str()) {
                let kind = ResourceKind::Organisation;
                let key = ResourceKey { kind, name: organisation.name.clone() };
                let message = format!("organisation/{owner} has one of these keys; remove one");
                findings.push(Finding::new(FindingCode::Duplicate, place(&key, "keys"), message));
            }
        }
    }
    findings
}

/// Kind of a remark.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RemarkKind {
    /// The entry can never match or is never used.
    NoEffect,
    /// Two limits contradict each other.
    Contradiction,
}

/// A remark about a valid configuration.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Remark {
    /// Kind of the remark.
    pub kind: RemarkKind,
    /// Resource and field, such as `policy/lookup.max_attempts`.
    pub place: CompactString,
    /// What is wrong, and the remedy.
    pub message: CompactString,
}

impl Remark {
    fn no_effect(key: &ResourceKey, field: &str, message: impl Into<CompactString>) -> Self {
        Self { kind: RemarkKind::NoEffect, place: place(key, field), message: message.into() }
    }

    fn contradiction(key: &ResourceKey, field: &str, message: impl Into<CompactString>) -> Self {
        Self { kind: RemarkKind::Contradiction, place: place(key, field), message: message.into() }
    }
}

fn place(key: &ResourceKey, field: &str) -> CompactString {
    if field.is_empty() { format_compact!("{key}") } else { format_compact!("{key}.{field}") }
}

/// Checks a valid configuration. The remarks are ordered by kind and name of the resources.
pub fn lint(configuration: &Configuration) -> Vec<Remark> {
    let mut remarks = unused::check(configuration);
    remarks.extend(limits::check(configuration));
    remarks
}
