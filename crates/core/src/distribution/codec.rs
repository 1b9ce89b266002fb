//! Deltas and snapshots: making, compressing, applying and verifying them.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::message::Update;
use crate::config::{Configuration, StoredResource};
use crate::ids::Version;
use crate::resource::ResourceKey;

/// Longest inflated body of an update, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Most deletes that are remembered for deltas.
const MAX_DELETES: usize = 4_096;

/// Most resources of a body that is deflated as far as it can be. For a larger one the
/// processor's time delays its receivers by more than the bytes that it saves.
const THOROUGHLY_DEFLATED_RESOURCES: usize = 64;

/// The inflated body of an update.
#[derive(Serialize, Deserialize)]
struct Body {
    /// Resources that the delta puts, or every resource of a snapshot.
    #[serde(rename = "p")]
    puts: Vec<StoredResource>,
    /// Resources that the delta deletes.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    deletes: Vec<ResourceKey>,
}

/// Why an update was not applied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum ApplyError {
    /// The held version is older than the base of the delta.
    #[error("its base is not held")]
    BaseMissing,
    /// The body cannot be read.
    #[error("its body is not in form")]
    Malformed,
    /// The result has another hash than the update says.
    #[error("its content does not have the hash that it says")]
    HashMismatch,
}

/// A version made by an update.
pub(super) struct Applied {
    pub next: Configuration,
    /// Deletes since the base of a delta; none for a snapshot.
    pub deletes: Option<Vec<ResourceKey>>,
}

/// Applies an update to the held version, whole or not at all.
pub(super) fn apply(held: &Configuration, update: &Update) -> Result<Applied, ApplyError> {
    // A delta from an older base holds every change since, so it fits as well.
    if update.base.is_some_and(|base| base > held.version()) {
        return Err(ApplyError::BaseMissing);
    }
    let body = read_body(&update.body).ok_or(ApplyError::Malformed)?;
    let mut resources = match update.base {
        Some(_) => held.resources().clone(),
        None => BTreeMap::new(),
    };
    for key in &body.deletes {
        resources.remove(key);
    }
    resources.extend(body.puts.into_iter().map(|stored| (stored.resource.key(), stored)));
    let next = Configuration::new(update.version, resources);
    if next.hash() != update.hash {
        return Err(ApplyError::HashMismatch);
    }
    Ok(Applied { next, deletes: update.base.map(|_| body.deletes) })
}

/// What is needed to make deltas to the present version.
#[derive(Default)]
pub(super) struct History {
    /// Resources that were deleted, and at or before which version.
    deletes: BTreeMap<ResourceKey, Version>,
    /// Deletes after this version are all known.
    complete_from: Version,
    /// Updates to the present version, by their base.
    encoded: BTreeMap<Option<Version>, Arc<Update>>,
}

impl History {
    /// The next version is in force. `deletes` are those since a version not
    /// after `old`; none where they are not known.
    pub fn moved(
        &mut self,
        old: &Configuration,
        new: &Configuration,
        deletes: Option<Vec<ResourceKey>>,
    ) {
        self.encoded.clear();
        let deletes = match deletes {
            Some(deletes) => deletes,
            None if new.version() == old.version().next() => removed(old, new),
            None => {
                self.deletes.clear();
                self.complete_from = new.version();
                return;
            }
        };
        self.deletes.extend(deletes.into_iter().map(|key| (key, new.version())));
        self.deletes.retain(|key, _| !new.resources().contains_key(key));
        while self.deletes.len() > MAX_DELETES {
            let oldest = self.deletes.values().copied().min().unwrap_or_default();
            self.deletes.retain(|_, version| *version > oldest);
            self.complete_from = self.complete_from.max(oldest);
        }
    }

    /// The shortest update from a held version to the present one.
    pub fn update(&mut self, current: &Configuration, held: Option<Version>) -> Arc<Update> {
        let base = held.filter(|held| *held > Version(0) && *held >= self.complete_from);
        if let Some(update) = self.encoded.get(&base) {
            return Arc::clone(update);
        }
        let update = match base {
            Some(base) => self.delta(current, base),
            None => Arc::new(Update::snapshot(current)),
        };
        self.encoded.insert(base, Arc::clone(&update));
        update
    }

    fn delta(&mut self, current: &Configuration, base: Version) -> Arc<Update> {
        let changed = current.resources().values().filter(|stored| stored.version > base);
        let puts: Vec<StoredResource> = changed.cloned().collect();
        let deleted = self.deletes.iter().filter(|(_, version)| **version > base);
        let deletes: Vec<ResourceKey> = deleted.map(|(key, _)| key.clone()).collect();
        // A delta of a few resources is always shorter than all of them.
        let is_short = (puts.len() + deletes.len()) * 2 < current.resources().len();
        let delta = update(current, Some(base), &Body { puts, deletes });
        if is_short {
            return Arc::new(delta);
        }
        let whole = self.update(current, None);
        if whole.body.len() <= delta.body.len() { whole } else { Arc::new(delta) }
    }
}

fn removed(old: &Configuration, new: &Configuration) -> Vec<ResourceKey> {
    let kept: BTreeSet<&ResourceKey> = new.resources().keys().collect();
    old.resources().keys().filter(|key| !kept.contains(key)).cloned().collect()
}

impl Update {
    /// Makes an update that holds a whole version.
    pub fn snapshot(current: &Configuration) -> Self {
        let puts = current.resources().values().cloned().collect();
        update(current, None, &Body { puts, deletes: Vec::new() })
    }
}

fn update(current: &Configuration, base: Option<Version>, body: &Body) -> Update {
    let mut encoder = DeflateEncoder::new(Vec::new(), compression(body));
    let mut bytes = Vec::new();
    ciborium::into_writer(body, &mut bytes).expect("a vector takes every byte");
    encoder.write_all(&bytes).expect("a vector takes every byte");
    let body = encoder.finish().expect("a vector takes every byte");
    Update { base, version: current.version(), hash: current.hash(), body }
}

/// How hard a body is deflated.
fn compression(body: &Body) -> Compression {
    match body.puts.len() {
        0..=THOROUGHLY_DEFLATED_RESOURCES => Compression::best(),
        _ => Compression::fast(),
    }
}

fn read_body(deflated: &[u8]) -> Option<Body> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(deflated).take(MAX_BODY_BYTES).read_to_end(&mut bytes).ok()?;
    ciborium::from_reader(bytes.as_slice()).ok()
}
