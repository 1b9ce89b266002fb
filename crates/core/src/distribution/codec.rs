//! Encodes, decodes, applies and verifies deltas and snapshots.

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

/// Maximum size of the inflated body of an update, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Maximum number of deleted resources that are kept for deltas.
const MAX_DELETES: usize = 4_096;

/// Maximum number of resources in a body that is deflated at the highest level. Above it, the
/// processor time delays the receivers by more than the saved bytes do.
const MAX_BEST_COMPRESSED_RESOURCES: usize = 64;

/// The inflated body of an update.
#[derive(Serialize, Deserialize)]
struct Body {
    /// Resources that the delta puts, or all resources of a snapshot.
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
    #[error("its base version is not held")]
    BaseMissing,
    /// The body cannot be decoded.
    #[error("its body cannot be decoded")]
    Malformed,
    /// The hash of the resulting content is not the one in the update.
    #[error("its content does not match its hash")]
    HashMismatch,
}

/// The result of applying an update.
pub(super) struct Applied {
    pub next: Configuration,
    /// Resources deleted since the base of a delta. None for a snapshot.
    pub deletes: Option<Vec<ResourceKey>>,
}

/// Applies an update to the held version, completely or not at all.
pub(super) fn apply(held: &Configuration, update: &Update) -> Result<Applied, ApplyError> {
    // A delta from an older base contains every change since that base, so it applies as well.
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

/// The state from which deltas to the current version are made.
#[derive(Default)]
pub(super) struct History {
    /// Deleted resources, each with a version at or before which it was deleted.
    deletes: BTreeMap<ResourceKey, Version>,
    /// `deletes` contains every delete after this version.
    complete_from: Version,
    /// Encoded updates to the current version, by their base.
    encoded: BTreeMap<Option<Version>, Arc<Update>>,
}

impl History {
    /// Records that `new` replaced `old`. `deletes` lists the deletes since a version not newer
    /// than `old`. None if they are unknown.
    pub fn record_change(
        &mut self,
        old: &Configuration,
        new: &Configuration,
        deletes: Option<Vec<ResourceKey>>,
    ) {
        self.encoded.clear();
        let deletes = match deletes {
            Some(deletes) => deletes,
            None if new.version() == old.version().next() => deleted_keys(old, new),
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

    /// The shortest update from a held version to the current one.
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
        // A delta with few resources is always shorter than the snapshot.
        let is_short = (puts.len() + deletes.len()) * 2 < current.resources().len();
        let delta = encode_update(current, Some(base), &Body { puts, deletes });
        if is_short {
            return Arc::new(delta);
        }
        let snapshot = self.update(current, None);
        if snapshot.body.len() <= delta.body.len() { snapshot } else { Arc::new(delta) }
    }
}

fn deleted_keys(old: &Configuration, new: &Configuration) -> Vec<ResourceKey> {
    let kept: BTreeSet<&ResourceKey> = new.resources().keys().collect();
    old.resources().keys().filter(|key| !kept.contains(key)).cloned().collect()
}

impl Update {
    /// Makes an update that contains a full version.
    pub fn snapshot(current: &Configuration) -> Self {
        let puts = current.resources().values().cloned().collect();
        encode_update(current, None, &Body { puts, deletes: Vec::new() })
    }
}

fn encode_update(current: &Configuration, base: Option<Version>, body: &Body) -> Update {
    let mut encoder = DeflateEncoder::new(Vec::new(), compression(body));
    let mut bytes = Vec::new();
    ciborium::into_writer(body, &mut bytes).expect("writing to a vector cannot fail");
    encoder.write_all(&bytes).expect("writing to a vector cannot fail");
    let body = encoder.finish().expect("writing to a vector cannot fail");
    Update { base, version: current.version(), hash: current.hash(), body }
}

/// The compression level for a body.
fn compression(body: &Body) -> Compression {
    match body.puts.len() {
        0..=MAX_BEST_COMPRESSED_RESOURCES => Compression::best(),
        _ => Compression::fast(),
    }
}

fn read_body(deflated: &[u8]) -> Option<Body> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(deflated).take(MAX_BODY_BYTES).read_to_end(&mut bytes).ok()?;
    ciborium::from_reader(bytes.as_slice()).ok()
}
