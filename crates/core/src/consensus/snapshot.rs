//! Snapshots of the replicated state.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::entry::VoterSet;
use super::outcomes::OutcomeRecord;
use crate::config::{Configuration, StoredResource};
use crate::ids::Version;

/// The replicated state after the entry at `index`, which replaces the entries up to it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers; 0 before the first entry.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Unix time of that entry, in milliseconds.
    pub unix_ms: u64,
    /// The voters.
    pub voters: VoterSet,
    /// Version of the configuration.
    pub version: Version,
    /// The resources, by kind and name.
    pub resources: Vec<StoredResource>,
    /// Outcomes of changes with an idempotency key, oldest first.
    pub outcomes: Vec<OutcomeRecord>,
}

impl Snapshot {
    /// Returns the state before the first entry.
    pub fn initial(voters: VoterSet) -> Self {
        Self {
            index: 0,
            term: 0,
            unix_ms: 0,
            voters,
            version: Version(0),
            resources: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    /// Returns the configuration in the snapshot.
    pub fn configuration(&self) -> Arc<Configuration> {
        let keyed = self.resources.iter().map(|stored| (stored.resource.key(), stored.clone()));
        Arc::new(Configuration::new(self.version, keyed.collect::<BTreeMap<_, _>>()))
    }
}
