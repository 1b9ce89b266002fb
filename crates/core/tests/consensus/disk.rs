//! A simulated disk: synced commands survive a crash, unsynced ones may be lost.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use fireflylug_core::consensus::{
    DiskCommand, DiskId, DiskWrite, Entry, HardState, RecoveredDisk, Snapshot,
};
use fireflylug_core::ids::NodeId;

#[derive(Clone, Debug)]
pub struct FakeDisk {
    pub id: DiskId,
    owner: Option<NodeId>,
    generation: u64,
    hard_state: HardState,
    snapshot: Option<Arc<Snapshot>>,
    entries: BTreeMap<u64, Arc<Entry>>,
    pub unsynced: VecDeque<DiskCommand>,
    /// Whether no sync finishes, as on a disk that hangs.
    pub is_stuck: bool,
}

impl FakeDisk {
    pub fn blank(id: u64) -> Self {
        Self {
            id: DiskId(id),
            owner: None,
            generation: 0,
            hard_state: HardState::default(),
            snapshot: None,
            entries: BTreeMap::new(),
            unsynced: VecDeque::new(),
            is_stuck: false,
        }
    }

    pub fn write(&mut self, command: DiskCommand) {
        self.unsynced.push_back(command);
    }

    /// Whether an entry is synced.
    pub fn holds(&self, index: u64) -> bool {
        self.snapshot.as_ref().is_some_and(|snapshot| snapshot.index >= index)
            || self.entries.contains_key(&index)
    }

    /// Syncs all pending commands. Returns the sequence of the last one.
    pub fn sync(&mut self) -> Option<u64> {
        let last = self.unsynced.back()?.sequence;
        for command in std::mem::take(&mut self.unsynced) {
            self.apply_write(command.write);
        }
        Some(last)
    }

    /// Syncs the first `kept` pending commands and loses the rest.
    pub fn crash(&mut self, kept: usize) {
        self.unsynced.truncate(kept);
        self.sync();
    }

    pub fn recover(&mut self) -> RecoveredDisk {
        self.generation += 1;
        RecoveredDisk {
            disk: self.id,
            owner: self.owner,
            generation: self.generation,
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.values().cloned().collect(),
            notices: Vec::new(),
        }
    }

    fn apply_write(&mut self, write: DiskWrite) {
        match write {
            DiskWrite::HardState(hard_state) => self.hard_state = hard_state,
            DiskWrite::Append(entries) => {
                for entry in entries {
                    self.entries.split_off(&entry.index);
                    self.entries.insert(entry.index, entry);
                }
            }
            DiskWrite::Snapshot { snapshot, keep_entries } => {
                self.entries = self.entries.split_off(&(snapshot.index + 1));
                if !keep_entries {
                    self.entries.clear();
                }
                self.snapshot = Some(snapshot);
            }
            DiskWrite::Owner(owner) => self.owner = Some(owner),
            DiskWrite::Reset { disk, owner } => {
                *self = Self { owner: Some(owner), ..Self::blank(disk.0) };
            }
        }
    }
}
