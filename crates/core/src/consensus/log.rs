//! The entries that a replica holds in memory.

use std::collections::VecDeque;
use std::sync::Arc;

use super::encoded::encoded_bytes;
use super::entry::{Entry, Payload, VoterSet};

/// Entries after `base`, in order and without gaps.
#[derive(Debug, Default)]
pub(super) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Sized>,
    bytes: usize,
}

#[derive(Debug)]
struct Sized {
    entry: Arc<Entry>,
    bytes: usize,
}

impl Log {
    /// Makes a log that starts after an entry.
    pub(super) fn new(base_index: u64, base_term: u64) -> Self {
        Self { base_index, base_term, ..Self::default() }
    }

    /// Makes a log of the recovered entries that follow a snapshot.
    ///
    /// An installed snapshot may have replaced a log whose entries do not follow from it: such
    /// entries are of an older term.
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

    /// Encoded size of the entries, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of an entry; none where the log does not hold it.
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

    /// Entries from an index on, of at most `max_bytes` but at least one, with their size.
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
        self.entries.push_back(Sized { entry, bytes });
    }

    /// Drops every entry from an index on.
    pub(super) fn truncate_from(&mut self, index: u64) {
        while self.last_index() >= index {
            let Some(dropped) = self.entries.pop_back() else { return };
            self.bytes -= dropped.bytes;
        }
    }

    /// Drops every entry up to an index, which becomes the base.
    pub(super) fn compact_to(&mut self, index: u64) {
        while self.base_index < index {
            let Some(dropped) = self.entries.pop_front() else { return };
            self.bytes -= dropped.bytes;
            self.base_index = dropped.entry.index;
            self.base_term = dropped.entry.term;
        }
    }

    /// Voter sets after an entry, with the entries that hold them, in order.
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
