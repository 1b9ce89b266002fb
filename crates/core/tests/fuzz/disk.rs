//! A simulated disk that can lose unsynced commands in a crash.

use std::collections::VecDeque;
use std::sync::Arc;

use fireflylug_core::consensus::{DiskCommand, DiskId, DiskWrite, RecoveredDisk};
use rand::Rng;
use rand::rngs::SmallRng;

/// The contents of one data folder.
pub struct FakeDisk {
    synced: RecoveredDisk,
    unsynced: VecDeque<DiskCommand>,
}

impl FakeDisk {
    /// Makes the disk of a new data folder.
    pub fn blank(rng: &mut SmallRng) -> Self {
        Self { synced: RecoveredDisk::blank(DiskId(rng.random())), unsynced: VecDeque::new() }
    }

    /// Queues a command. It is durable once [`FakeDisk::sync`] has included it.
    pub fn enqueue(&mut self, command: DiskCommand) {
        self.unsynced.push_back(command);
    }

    /// Syncs all commands up to and including this sequence number.
    pub fn sync(&mut self, sequence: u64) {
        while self.unsynced.front().is_some_and(|command| command.sequence <= sequence) {
            self.write_next();
        }
    }

    /// Loses a random part of the unsynced commands.
    pub fn crash(&mut self, rng: &mut SmallRng) {
        for _ in 0..rng.random_range(0..=self.unsynced.len()) {
            self.write_next();
        }
        self.unsynced.clear();
    }

    /// Opens the data folder again.
    pub fn open(&mut self) -> RecoveredDisk {
        self.synced.generation += 1;
        self.synced.clone()
    }

    fn write_next(&mut self) {
        let Some(command) = self.unsynced.pop_front() else { return };
        let disk = &mut self.synced;
        match command.write {
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
}

fn append(disk: &mut RecoveredDisk, entries: Vec<Arc<fireflylug_core::consensus::Entry>>) {
    let Some(first) = entries.first().map(|entry| entry.index) else { return };
    disk.entries.retain(|entry| entry.index < first);
    disk.entries.extend(entries);
}
