//! A simulated disk. The end of its process keeps what was written, synced or not; a loss of power
//! keeps what was synced, and a random part of the rest.

use std::collections::VecDeque;
use std::sync::Arc;

use fireflylug_core::consensus::{DiskCommand, DiskId, DiskWrite, RecoveredDisk};
use rand::Rng;
use rand::rngs::SmallRng;

/// The contents of one data folder.
pub struct FakeDisk {
    synced: RecoveredDisk,
    /// What ended processes wrote and no sync covers.
    left_behind: VecDeque<DiskWrite>,
    /// Commands of the present process that are not synced.
    unsynced: VecDeque<DiskCommand>,
}

impl FakeDisk {
    /// Makes the disk of a new data folder.
    pub fn blank(rng: &mut SmallRng) -> Self {
        Self {
            synced: RecoveredDisk::blank(DiskId(rng.random())),
            left_behind: VecDeque::new(),
            unsynced: VecDeque::new(),
        }
    }

    /// Queues a command. It is durable once [`FakeDisk::sync`] has included it.
    pub fn enqueue(&mut self, command: DiskCommand) {
        self.unsynced.push_back(command);
    }

    /// Syncs all commands up to and including this sequence number.
    pub fn sync(&mut self, sequence: u64) {
        self.sync_left_behind();
        while self.unsynced.front().is_some_and(|command| command.sequence <= sequence) {
            let Some(command) = self.unsynced.pop_front() else { return };
            apply(&mut self.synced, command.write);
        }
    }

    /// Ends the process. A random part of its unsynced commands is in the files.
    pub fn kill(&mut self, rng: &mut SmallRng) {
        let written_count = rng.random_range(0..=self.unsynced.len());
        let written = self.unsynced.drain(..).take(written_count).map(|command| command.write);
        self.left_behind.extend(written);
        self.unsynced.clear();
    }

    /// Loses power: a random part of what is not synced is lost.
    pub fn lose_power(&mut self, rng: &mut SmallRng) {
        let unsynced_count = self.left_behind.len() + self.unsynced.len();
        let kept_count = rng.random_range(0..=unsynced_count);
        self.cut_back(kept_count);
    }

    /// Loses power, and everything that is not synced.
    pub fn lose_all_unsynced(&mut self) {
        self.cut_back(0);
    }

    fn cut_back(&mut self, kept_count: usize) {
        let unsynced = self.unsynced.drain(..).map(|command| command.write);
        let writes = self.left_behind.drain(..).chain(unsynced);
        writes.take(kept_count).for_each(|write| apply(&mut self.synced, write));
    }

    /// Opens the data folder again. The recovery syncs what it found in the log if `syncs_log`.
    pub fn open(&mut self, syncs_log: bool) -> RecoveredDisk {
        self.synced.generation += 1;
        if syncs_log {
            self.sync_left_behind();
        }
        let mut found = self.synced.clone();
        self.left_behind.iter().for_each(|write| apply(&mut found, write.clone()));
        found
    }

    fn sync_left_behind(&mut self) {
        self.left_behind.drain(..).for_each(|write| apply(&mut self.synced, write));
    }
}

fn apply(disk: &mut RecoveredDisk, write: DiskWrite) {
    match write {
        DiskWrite::HardState(hard_state) => disk.hard_state = hard_state,
        DiskWrite::Append(entries) => append(disk, entries),
        DiskWrite::Snapshot { snapshot, keep_entries } => {
            let index = snapshot.index;
            disk.entries.retain(|entry| keep_entries && entry.index > index);
            disk.snapshot = Some(snapshot);
        }
        DiskWrite::Owner(owner) => disk.owner = Some(owner),
        DiskWrite::Reset { disk: id, owner } => {
            *disk = RecoveredDisk { owner: Some(owner), ..RecoveredDisk::blank(id) };
        }
    }
}

fn append(disk: &mut RecoveredDisk, entries: Vec<Arc<fireflylug_core::consensus::Entry>>) {
    let Some(first) = entries.first().map(|entry| entry.index) else { return };
    disk.entries.retain(|entry| entry.index < first);
    disk.entries.extend(entries);
}
