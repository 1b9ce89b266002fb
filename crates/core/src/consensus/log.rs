//! The log entries that a replica holds in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use super::encoded::encoded_bytes;
use super::entry::{Entry, Payload, VoterSet};

/// The entries after `base_index`, in order and without gaps.
#[derive(Debug, Default)]
pub(super) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<SizedEntry>,
    bytes: usize,
}

#[derive(Debug)]
struct SizedEntry {
    entry: Arc<Entry>,
    bytes: usize,
}

impl Log {
    /// Creates an empty log that starts after the given entry.
    pub(super) fn new(base_index: u64, base_term: u64) -> Self {
        Self { base_index, base_term, ..Self::default() }
    }

    /// Creates a log from the recovered entries after a snapshot.
    ///
    /// An installed snapshot may have replaced a log whose entries are not consistent with it.
    /// Such entries have an older term and are dropped.
    pub(super) fn recover(base_index: u64, base_term: u64, entries: Vec<Arc<Entry>>) -> Self {
        let mut log = Self::new(base_index, base_term);
        for entry in entries {
            if entry.index <= base_index {
                continue;
            }
            if entry.index != log.last_index() + 1 || entry.term < log.last_term() {
                break;
            }
            log.push(entry);
        }
        log
    }

    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |last| last.entry.term)
    }

    /// Total encoded size of the entries, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of an entry; none where the log does not contain it.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Arc<Entry>> {
        let at = index.checked_sub(self.base_index + 1)?;
        self.entries.get(at as usize).map(|sized| &sized.entry)
    }

    /// Returns entries from an index on with their total size: at least one entry, and further
    /// ones up to `max_bytes`.
    pub(super) fn slice(&self, from: u64, max_bytes: usize) -> (Vec<Arc<Entry>>, usize) {
        let skipped = (from - self.base_index - 1) as usize;
        let mut entries = Vec::new();
        let mut bytes = 0;
        for sized in self.entries.iter().skip(skipped) {
            if !entries.is_empty() && bytes + sized.bytes > max_bytes {
                break;
            }
            bytes += sized.bytes;
            entries.push(Arc::clone(&sized.entry));
        }
        (entries, bytes)
    }

    pub(super) fn push(&mut self, entry: Arc<Entry>) {
        let bytes = encoded_bytes(&entry);
        self.bytes += bytes;
        self.entries.push_back(SizedEntry { entry, bytes });
    }

    /// Removes every entry from an index on.
    pub(super) fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some(dropped) = self.entries.pop_back() else { return };
            self.bytes -= dropped.bytes;
        }
    }

    /// Removes every entry up to an index, which becomes the base.
    pub(super) fn compact_to(&mut self, index: u64) {
        while self.base_index < index {
            let Some(dropped) = self.entries.pop_front() else { return };
            self.bytes -= dropped.bytes;
            self.base_index = dropped.entry.index;
            self.base_term = dropped.entry.term;
        }
    }

    /// Voter sets in the log after an index, each with the index of its entry, in order.
    pub(super) fn voter_sets_after(&self, index: u64) -> VecDeque<(u64, VoterSet)> {
        let entries = self.entries.iter().map(|sized| &sized.entry);
        let after = entries.filter(|entry| entry.index > index);
        after
            .filter_map(|entry| match &entry.payload {
                Payload::Voters(voters) => Some((entry.index, voters.clone())),
                _ => None,
            })
            .collect()
    }
}
