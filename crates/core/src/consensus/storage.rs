//! Tracks the commands issued to the disk and how far they are synced.

use std::collections::VecDeque;

use super::disk::{DiskCommand, DiskWrite};
use crate::context::Context;
use crate::event::Effect;

/// Sequences of issued and synced disk commands.
#[derive(Debug)]
pub(super) struct Storage {
    issued_sequence: u64,
    synced_sequence: u64,
    hard_state_sequence: u64,
    /// Unsynced appends and snapshots: the command's sequence and its last entry.
    unsynced: VecDeque<(u64, u64)>,
    durable_index: u64,
    /// Index of the last entry that was recovered and not overwritten since.
    recovered_index: u64,
    has_failed: bool,
}

impl Storage {
    /// Creates the state after recovery, in which every entry up to `durable_index` is synced.
    pub(super) fn new(durable_index: u64) -> Self {
        Self {
            issued_sequence: 0,
            synced_sequence: 0,
            hard_state_sequence: 0,
            unsynced: VecDeque::new(),
            durable_index,
            recovered_index: durable_index,
            has_failed: false,
        }
    }

    /// Issues a command to the disk. Returns its sequence.
    pub(super) fn write(&mut self, cx: &mut Context<'_>, write: DiskWrite) -> u64 {
        self.issued_sequence += 1;
        let sequence = self.issued_sequence;
        match &write {
            DiskWrite::HardState(_) => self.hard_state_sequence = sequence,
            DiskWrite::Append(entries) => {
                let first = entries.first().map_or(u64::MAX, |entry| entry.index);
                let last = entries.last().map_or(0, |entry| entry.index);
                self.truncate_from(first);
                self.recovered_index = self.recovered_index.min(first.saturating_sub(1));
                self.unsynced.push_back((sequence, last));
            }
            DiskWrite::Snapshot { snapshot, keep_entries } => {
                if !keep_entries {
                    self.truncate_from(0);
                }
                self.unsynced.push_back((sequence, snapshot.index));
            }
            DiskWrite::Reset { .. } => {
                self.hard_state_sequence = sequence;
                self.truncate_from(0);
                self.recovered_index = 0;
            }
            DiskWrite::Owner(_) => {}
        }
        cx.emit(Effect::Disk(DiskCommand { sequence, write }));
        sequence
    }

    /// Records that every command up to `sequence` is synced.
    pub(super) fn record_synced(&mut self, sequence: u64) {
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some((at, last)) = self.unsynced.front().copied()
            && at <= self.synced_sequence
        {
            self.unsynced.pop_front();
            self.durable_index = self.durable_index.max(last);
        }
    }

    /// Whether a command is synced.
    pub(super) fn is_synced(&self, sequence: u64) -> bool {
        sequence <= self.synced_sequence
    }

    /// Whether the newest term and vote are synced.
    pub(super) fn is_hard_state_synced(&self) -> bool {
        self.is_synced(self.hard_state_sequence)
    }

    /// Index of the last synced entry.
    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    /// Index of the last entry that the disk held when it was opened, or of a later one that
    /// is synced. A snapshot under way takes nothing back from it.
    pub(super) fn held_index(&self) -> u64 {
        self.recovered_index.max(self.durable_index)
    }

    pub(super) fn hard_state_sequence(&self) -> u64 {
        self.hard_state_sequence
    }

    pub(super) fn mark_failed(&mut self) {
        self.has_failed = true;
    }

    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    fn truncate_from(&mut self, index: u64) {
        let last_kept = index.saturating_sub(1);
        self.durable_index = self.durable_index.min(last_kept);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(last_kept);
        }
    }
}
