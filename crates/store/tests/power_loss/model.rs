//! What a data folder holds according to the commands that it was given.

use std::collections::BTreeMap;

use fireflylug_core::consensus::{DiskCommand, DiskId, DiskWrite, HardState, RecoveredDisk};
use fireflylug_core::ids::NodeId;

/// Content of a data folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Content {
    pub disk: DiskId,
    pub hard_state: HardState,
    /// Index and term of the snapshot.
    pub snapshot: Option<(u64, u64)>,
    /// Term and time of each entry by its index.
    pub entries: BTreeMap<u64, (u64, u64)>,
}

impl Content {
    pub fn of(recovered: &RecoveredDisk) -> Self {
        let entries = recovered.entries.iter();
        Self {
            disk: recovered.disk,
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot.as_ref().map(|snapshot| (snapshot.index, snapshot.term)),
            entries: entries.map(|entry| (entry.index, (entry.term, entry.unix_ms))).collect(),
        }
    }

    pub fn base_index(&self) -> u64 {
        self.snapshot.map_or(0, |(index, _)| index)
    }

    pub fn last_index(&self) -> u64 {
        self.entries.keys().next_back().copied().unwrap_or(self.base_index())
    }

    pub fn apply(&mut self, write: &DiskWrite) {
        match write {
            DiskWrite::HardState(hard_state) => self.hard_state = *hard_state,
            DiskWrite::Append(entries) => {
                for entry in entries {
                    self.entries.split_off(&entry.index);
                    self.entries.insert(entry.index, (entry.term, entry.unix_ms));
                }
            }
            DiskWrite::Snapshot { snapshot, keep_entries } => {
                self.snapshot = Some((snapshot.index, snapshot.term));
                self.entries.retain(|index, _| *keep_entries && *index > snapshot.index);
            }
            DiskWrite::Owner(_) => {}
            DiskWrite::Reset { disk, .. } => {
                *self = Self {
                    disk: *disk,
                    hard_state: HardState::default(),
                    snapshot: None,
                    entries: BTreeMap::new(),
                };
            }
        }
    }
}

/// What may be found in a data folder that is opened again.
#[derive(Debug)]
pub struct Model {
    /// The content that was reported as synced.
    pub synced: Content,
    /// What commands whose end is unknown would have made of it, in their order.
    possible: Vec<Content>,
    owners: Vec<Option<NodeId>>,
    generation: u64,
}

impl Model {
    /// Takes what was recovered as reported.
    pub fn new(recovered: &RecoveredDisk) -> Self {
        Self {
            synced: Content::of(recovered),
            possible: Vec::new(),
            owners: vec![recovered.owner],
            generation: recovered.generation,
        }
    }

    /// Notes commands before they are run.
    pub fn begin(&mut self, commands: &[DiskCommand]) {
        let mut content = self.synced.clone();
        for command in commands {
            content.apply(&command.write);
            self.possible.push(content.clone());
            if let DiskWrite::Owner(owner) | DiskWrite::Reset { owner, .. } = command.write {
                self.owners.push(Some(owner));
            }
        }
    }

    /// Notes that all commands were reported as synced.
    pub fn finish(&mut self) {
        let Some(synced) = self.possible.pop() else { return };
        if synced.disk != self.synced.disk {
            self.generation = 1;
        }
        self.synced = synced;
        self.possible.clear();
        self.owners = self.owners.pop().into_iter().collect();
    }

    /// Checks what was recovered, and takes it as reported.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn check(&mut self, recovered: &RecoveredDisk) -> Result<(), String> {
        let content = Content::of(recovered);
        let is_same_disk = content.disk == self.synced.disk;
        if content != self.synced && !self.possible.contains(&content) {
            return Err(format!(
                "recovered {content:?}, synced {:?}, possible {:?}",
                self.synced, self.possible
            ));
        }
        if !self.owners.contains(&recovered.owner) {
            return Err(format!("owner {:?} of {:?}", recovered.owner, self.owners));
        }
        if is_same_disk && recovered.generation <= self.generation {
            return Err(format!("generation {} after {}", recovered.generation, self.generation));
        }
        *self = Self::new(recovered);
        Ok(())
    }
}
