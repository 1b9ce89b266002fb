//! Random commands, kills, losses of power and faults of the disk.

use std::ops::Range;
use std::sync::Arc;

use fireflylug_core::consensus::{DiskCommand, DiskId, DiskWrite, Entry, HardState, Payload};
use fireflylug_core::ids::NodeId;
use fireflylug_store::{Store, StoreError};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::fixture::{open, snapshot};
use crate::model::{Content, Model};
use crate::simulated_disk::{Fault, SimulatedDisk, Unsynced};

/// Number of seeds without `FIREFLYLUG_FUZZ_CASES`.
const DEFAULT_CASES: u64 = 100;

/// Number of batches and openings in one run.
const STEPS: u32 = 60;

/// Operations before a fault, at most.
const MAX_OPERATIONS: u32 = 20;

/// Guards against acknowledged entries, votes and terms that a loss of power takes back, and
/// against folders that do not open after one.
#[test]
fn what_was_reported_as_synced_outlasts_kills_and_losses_of_power() {
    let failures: Vec<String> = seeds()
        .filter_map(|seed| Run::new(seed).play().err().map(|error| format!("seed {seed}: {error}")))
        .collect();

    let shown = failures.iter().take(5).cloned().collect::<Vec<_>>().join("\n");
    assert!(failures.is_empty(), "{} seeds failed:\n{shown}", failures.len());
}

fn seeds() -> Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("FIREFLYLUG_FUZZ_SEED").unwrap_or(1);
    first..first + number("FIREFLYLUG_FUZZ_CASES").unwrap_or(DEFAULT_CASES)
}

struct Run {
    rng: SmallRng,
    disk: SimulatedDisk,
    /// None until the folder was opened for the first time.
    model: Option<Model>,
    written: u64,
}

impl Run {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            disk: SimulatedDisk::new(seed),
            model: None,
            written: 0,
        }
    }

    fn play(&mut self) -> Result<(), String> {
        let mut store = self.open()?;
        for _ in 0..STEPS {
            if self.rng.random_bool(0.3) {
                self.set_fault();
            }
            let is_written = self.rng.random_bool(0.8) && self.write(&mut store);
            if is_written && self.rng.random_bool(0.7) {
                continue;
            }
            drop(store);
            self.disk.clear_fault();
            self.lose_power_sometimes();
            store = self.open()?;
        }
        Ok(())
    }

    fn set_fault(&mut self) {
        let fault = match self.rng.random() {
            true => Fault::Kill,
            false => Fault::Refuse { operations: self.rng.random_range(1..4) },
        };
        self.disk.set_fault(self.rng.random_range(0..MAX_OPERATIONS), fault);
    }

    fn lose_power_sometimes(&mut self) {
        match self.rng.random_range(0..4) {
            0 => self.disk.lose_power(Unsynced::Gone),
            1 => self.disk.lose_power(Unsynced::Mixed),
            _ => {}
        }
    }

    /// Opens the folder. Kills, losses of power and faults may come first.
    fn open(&mut self) -> Result<Store, String> {
        loop {
            if self.rng.random_bool(0.3) {
                self.set_fault();
            }
            let opened = open(&self.disk);
            let has_fault = self.disk.clear_fault();
            match opened {
                Ok((store, recovered)) => {
                    match &mut self.model {
                        Some(model) => model.check(&recovered)?,
                        None => self.model = Some(Model::new(&recovered)),
                    }
                    return Ok(store);
                }
                Err(error) if !has_fault || matches!(error, StoreError::Damaged { .. }) => {
                    return Err(format!("the folder does not open: {error}"));
                }
                Err(_) => self.lose_power_sometimes(),
            }
        }
    }

    /// Runs a batch. Returns whether it was reported as synced.
    fn write(&mut self, store: &mut Store) -> bool {
        let mut content = self.model().synced.clone();
        let count = self.rng.random_range(1..5);
        let commands: Vec<_> = (1..=count)
            .map(|sequence| DiskCommand { sequence, write: self.next_write(&mut content) })
            .collect();
        self.model().begin(&commands);
        let is_written = store.run(&commands).is_ok();
        if is_written {
            self.model().finish();
        }
        is_written
    }

    fn model(&mut self) -> &mut Model {
        self.model.as_mut().expect("the folder was opened")
    }

    /// A command as a replica with this content may give it.
    fn next_write(&mut self, content: &mut Content) -> DiskWrite {
        let write = match self.rng.random_range(0..12) {
            _ if content.snapshot.is_none() => self.first_snapshot(),
            0 => DiskWrite::Reset { disk: DiskId(self.rng.random()), owner: NodeId(1) },
            1 => DiskWrite::Owner(NodeId(self.rng.random_range(1..3))),
            2 => compaction(content),
            3 => self.snapshot_of_a_leader(content),
            4..6 => self.hard_state(content),
            _ => self.append(content),
        };
        content.apply(&write);
        write
    }

    fn first_snapshot(&mut self) -> DiskWrite {
        let index = if self.rng.random() { 0 } else { self.rng.random_range(1..30) };
        snapshot(index, index.min(1), false)
    }

    fn snapshot_of_a_leader(&mut self, content: &Content) -> DiskWrite {
        let first = content.hard_state.commit.max(content.base_index()) + 1;
        let index = self.rng.random_range(first..first + 10);
        snapshot(index, content.hard_state.term + 1, false)
    }

    fn hard_state(&mut self, content: &Content) -> DiskWrite {
        let committed = content.hard_state.commit.max(content.base_index());
        let last = content.last_index().max(committed);
        DiskWrite::HardState(HardState {
            term: content.hard_state.term + self.rng.random_range(0..2),
            vote: Some(NodeId(self.rng.random_range(1..4))),
            commit: self.rng.random_range(committed..=last),
        })
    }

    fn append(&mut self, content: &Content) -> DiskWrite {
        let committed = content.hard_state.commit.max(content.base_index());
        let next = content.last_index() + 1;
        let first = if self.rng.random_bool(0.2) {
            self.rng.random_range((committed + 1).min(next)..=next)
        } else {
            next
        };
        let count = self.rng.random_range(1..6);
        DiskWrite::Append((first..first + count).map(|index| self.entry(index, content)).collect())
    }

    fn entry(&mut self, index: u64, content: &Content) -> Arc<Entry> {
        self.written += 1;
        let term = content.hard_state.term;
        Arc::new(Entry { index, term, unix_ms: self.written, payload: Payload::Noop })
    }
}

/// A snapshot of an entry that the log holds.
fn compaction(content: &Content) -> DiskWrite {
    let held = content.entries.iter().next();
    match held {
        Some((index, (term, _))) => snapshot(*index, *term, true),
        None => DiskWrite::HardState(content.hard_state),
    }
}
