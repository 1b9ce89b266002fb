//! Recovery of the log and the snapshot of a data folder.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use fireflylug_core::consensus::{DiskId, Entry, HardState, Snapshot};

use crate::file_system::FileSystem;
use crate::files::{self, Describe};
use crate::record::{self, Record, SnapshotFile};
use crate::{StoreError, frame};

const LOG_PREFIX: &str = "log-";

/// Recovered content of the log and the snapshot.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    /// Number of the log file.
    pub(crate) log_number: u64,
    /// Number of the last frame in the log file.
    pub(crate) frame_number: u64,
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    pub(crate) entries: BTreeMap<u64, Arc<Entry>>,
    pub(crate) notices: Vec<String>,
    disk: Option<DiskId>,
    snapshot_index: Option<u64>,
}

/// Returns the path of a log file.
pub(crate) fn log_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{LOG_PREFIX}{number:016x}"))
}

/// Returns the path of the snapshot file.
pub(crate) fn snapshot_path(folder: &Path) -> PathBuf {
    folder.join("snapshot")
}

/// Returns the numbers of the log files in a folder, sorted.
pub(crate) fn log_numbers(fs: &dyn FileSystem, folder: &Path) -> Result<Vec<u64>, StoreError> {
    let mut numbers = Vec::new();
    for name in fs.list(folder).describe("list", folder)? {
        let number = name.to_str().and_then(|name| name.strip_prefix(LOG_PREFIX));
        numbers.extend(number.and_then(|number| u64::from_str_radix(number, 16).ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Recovers the newest log and the snapshot of a storage. What is returned is synced.
pub(crate) fn recover(
    fs: &dyn FileSystem,
    folder: &Path,
    disk: DiskId,
) -> Result<Recovered, StoreError> {
    let Some(log_number) = log_numbers(fs, folder)?.pop() else {
        let path = log_path(folder, 1);
        return Err(StoreError::damaged(path, 0, "the log is missing"));
    };
    let path = log_path(folder, log_number);
    let mut recovered = Recovered { log_number, ..Recovered::default() };
    recovered.read_log(fs, &path)?;
    if recovered.disk != Some(disk) {
        return Err(StoreError::damaged(path, 0, "the log belongs to another storage"));
    }
    recovered.read_snapshot(fs, &snapshot_path(folder), disk)?;
    recovered.check_entries(&path)?;
    Ok(recovered)
}

impl Recovered {
    fn read_log(&mut self, fs: &dyn FileSystem, path: &Path) -> Result<(), StoreError> {
        let bytes = files::read(fs, path)?.unwrap_or_default();
        let mut offset = 0;
        while let Some(frame) = frame::decode(&bytes[offset..]) {
            if frame.number <= self.frame_number && offset > 0 {
                return Err(StoreError::damaged(path, offset, "a frame is out of order"));
            }
            self.frame_number = frame.number;
            let payload_offset = offset + frame::HEADER_BYTES;
            for record in record::decode::<Vec<Record>>(path, payload_offset, frame.payload)? {
                self.apply(record);
            }
            offset += frame.len();
        }
        if offset < bytes.len() {
            self.note_torn_tail(path, &bytes, offset)?;
        }
        // A killed process may have left frames in memory only, and a failed sync may have
        // dropped them, so that syncing this file proves nothing: all are written again.
        files::replace(fs, path, &bytes[..offset])
    }

    /// Reports a torn last frame after a crash. None of its records was acknowledged.
    fn note_torn_tail(
        &mut self,
        path: &Path,
        bytes: &[u8],
        offset: usize,
    ) -> Result<(), StoreError> {
        // The first frame cannot be torn: the file got its name after a sync.
        if offset == 0 || frame::contains_frame(&bytes[offset + 1..]) {
            return Err(StoreError::damaged(path, offset, "the checksum does not match"));
        }
        let truncated_bytes = bytes.len() - offset;
        let name = path.display();
        self.notices.push(format!(
            "Truncated {truncated_bytes} bytes of an incomplete write at offset {offset} of {name}."
        ));
        Ok(())
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Head { disk, snapshot_index } => {
                self.disk = Some(disk);
                self.snapshot_index = snapshot_index;
            }
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Entry(entry) => {
                self.entries.split_off(&entry.index);
                self.entries.insert(entry.index, entry);
            }
        }
    }

    fn read_snapshot(
        &mut self,
        fs: &dyn FileSystem,
        path: &Path,
        disk: DiskId,
    ) -> Result<(), StoreError> {
        if let Some(bytes) = files::read(fs, path)? {
            let file: SnapshotFile = record::decode_file(path, &bytes)?;
            if file.disk != disk {
                return Err(StoreError::damaged(
                    path,
                    0,
                    "the snapshot belongs to another storage",
                ));
            }
            self.snapshot = Some(file.snapshot);
        }
        if self.snapshot.as_ref().map(|snapshot| snapshot.index) < self.snapshot_index {
            return Err(StoreError::damaged(path, 0, "the snapshot is older than the log"));
        }
        Ok(())
    }

    /// Drops the entries that the snapshot covers, and those that do not follow it, and checks
    /// that the rest has no gap.
    fn check_entries(&mut self, path: &Path) -> Result<(), StoreError> {
        let covered_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if !self.is_snapshot_in_log() {
            self.entries.clear();
        }
        self.entries = self.entries.split_off(&(covered_index + 1));
        let has_gap = self
            .entries
            .keys()
            .zip(covered_index + 1..)
            .any(|(index, expected)| *index != expected);
        if has_gap {
            return Err(StoreError::damaged(path, 0, "entries are missing"));
        }
        Ok(())
    }

    /// Whether the log was started for the snapshot. A crash may come between the two.
    pub(crate) fn is_own_log(&self) -> bool {
        self.snapshot_index == self.snapshot.as_ref().map(|snapshot| snapshot.index)
    }

    /// Whether the entries follow the snapshot: an older log has to hold the last entry that
    /// the snapshot covers.
    fn is_snapshot_in_log(&self) -> bool {
        let Some(snapshot) = &self.snapshot else { return true };
        let last_covered = self.entries.get(&snapshot.index);
        self.is_own_log() || last_covered.is_some_and(|entry| entry.term == snapshot.term)
    }
}
