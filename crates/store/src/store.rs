//! Store of a control replica in one data folder.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use fireflylug_core::consensus::{
    DiskCommand, DiskId, DiskWrite, Entry, HardState, RecoveredDisk, Snapshot,
};
use fireflylug_core::ids::NodeId;

use crate::file_system::{FileLock, FileSystem, SystemFiles, WritableFile};
use crate::files::{self, Describe};
use crate::identity::Identity;
use crate::record::{self, Record, SnapshotFile};
use crate::recovery::{self, log_path, snapshot_path};
use crate::{StoreError, frame};

/// An open data folder, locked exclusively by this process.
#[derive(Debug)]
pub struct Store {
    fs: Arc<dyn FileSystem>,
    folder: PathBuf,
    /// Holds the lock on the folder while the store is open.
    _lock: Box<dyn FileLock>,
    identity: Identity,
    log: Box<dyn WritableFile>,
    log_number: u64,
    frame_number: u64,
    hard_state: HardState,
    snapshot_index: Option<u64>,
    entries: BTreeMap<u64, Arc<Entry>>,
    has_failed: bool,
}

impl Store {
    /// Opens or creates a data folder and recovers its content.
    ///
    /// # Errors
    ///
    /// [`StoreError::Locked`] if another process uses the folder,
    /// [`StoreError::Damaged`] if more than a torn last write is missing or invalid,
    /// and [`StoreError::Io`].
    pub fn open(folder: &Path) -> Result<(Self, RecoveredDisk), StoreError> {
        Self::open_on(Arc::new(SystemFiles), folder)
    }

    /// Opens or creates a data folder on a file system, as [`Store::open`] does.
    ///
    /// # Errors
    ///
    /// Those of [`Store::open`].
    pub fn open_on(
        fs: Arc<dyn FileSystem>,
        folder: &Path,
    ) -> Result<(Self, RecoveredDisk), StoreError> {
        fs.create_folder(folder).describe("create", folder)?;
        let lock = lock(&*fs, folder)?;
        files::remove_temporaries(&*fs, folder)?;
        let mut identity = match Identity::read(&*fs, folder)? {
            Some(identity) => identity,
            None => create_identity(&*fs, folder)?,
        };
        if identity.generation == 0 {
            sync_name(&*fs, folder)?;
            initialize_storage(&*fs, folder, identity.disk)?;
        }
        let recovered = recovery::recover(&*fs, folder, identity.disk)?;
        identity.generation += 1;
        identity.write(&*fs, folder)?;
        let path = log_path(folder, recovered.log_number);
        let log = files::open(&*fs, &path)?;
        let is_own_log = recovered.is_own_log();
        let mut store = Self {
            fs,
            folder: folder.to_owned(),
            _lock: lock,
            identity,
            log,
            log_number: recovered.log_number,
            frame_number: recovered.frame_number,
            hard_state: recovered.hard_state,
            snapshot_index: recovered.snapshot.as_ref().map(|snapshot| snapshot.index),
            entries: recovered.entries.clone(),
            has_failed: false,
        };
        if is_own_log {
            store.remove_old_logs()?;
        } else {
            store.start_log()?;
        }
        let recovered = RecoveredDisk {
            disk: identity.disk,
            owner: identity.owner,
            generation: identity.generation,
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot,
            entries: recovered.entries.into_values().collect(),
            notices: recovered.notices,
        };
        Ok((store, recovered))
    }

    /// Path of the data folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Carries out commands in order and returns after all of them are synced.
    ///
    /// # Errors
    ///
    /// Every error is permanent: it is unknown which of the commands are on disk, and the
    /// store carries out no further commands.
    pub fn run(&mut self, commands: &[DiskCommand]) -> Result<(), StoreError> {
        if self.has_failed {
            return Err(StoreError::Failed { path: self.folder.clone() });
        }
        // A failed sync may have dropped dirty pages, so a successful retry would not prove
        // that the data is on disk.
        self.has_failed = true;
        let mut records = Vec::new();
        for command in commands {
            self.apply(&command.write, &mut records)?;
        }
        self.sync(&mut records)?;
        self.has_failed = false;
        Ok(())
    }

    fn apply(&mut self, write: &DiskWrite, records: &mut Vec<Record>) -> Result<(), StoreError> {
        match write {
            DiskWrite::HardState(hard_state) => {
                self.hard_state = *hard_state;
                records.push(Record::HardState(*hard_state));
            }
            DiskWrite::Append(entries) => {
                for entry in entries {
                    self.entries.split_off(&entry.index);
                    self.entries.insert(entry.index, Arc::clone(entry));
                    records.push(Record::Entry(Arc::clone(entry)));
                }
            }
            DiskWrite::Snapshot { snapshot, keep_entries } => {
                self.sync(records)?;
                self.replace_snapshot(snapshot, *keep_entries)?;
            }
            DiskWrite::Owner(owner) => {
                self.identity.owner = Some(*owner);
                self.identity.write(&*self.fs, &self.folder)?;
            }
            DiskWrite::Reset { disk, owner } => {
                records.clear();
                self.reset(*disk, *owner)?;
            }
        }
        Ok(())
    }

    /// Writes all records as one frame and syncs the log.
    fn sync(&mut self, records: &mut Vec<Record>) -> Result<(), StoreError> {
        if records.is_empty() {
            return Ok(());
        }
        let path = log_path(&self.folder, self.log_number);
        self.frame_number += 1;
        let frame = frame::encode(self.frame_number, &record::encode(records));
        self.log.write_all(&frame).describe("write", &path)?;
        self.log.sync_data().describe("sync", &path)?;
        records.clear();
        Ok(())
    }

    fn replace_snapshot(
        &mut self,
        snapshot: &Arc<Snapshot>,
        keep_entries: bool,
    ) -> Result<(), StoreError> {
        let file = SnapshotFile { disk: self.identity.disk, snapshot: Arc::clone(snapshot) };
        files::replace(&*self.fs, &snapshot_path(&self.folder), &record::encode_file(&file))?;
        self.snapshot_index = Some(snapshot.index);
        self.entries = self.entries.split_off(&(snapshot.index + 1));
        if !keep_entries {
            self.entries.clear();
        }
        self.start_log()
    }

    /// Starts a new log with the records of the old one that are still needed.
    fn start_log(&mut self) -> Result<(), StoreError> {
        self.log_number += 1;
        self.frame_number += 1;
        let (disk, snapshot_index) = (self.identity.disk, self.snapshot_index);
        let mut records =
            vec![Record::Head { disk, snapshot_index }, Record::HardState(self.hard_state)];
        records.extend(self.entries.values().cloned().map(Record::Entry));
        let path = log_path(&self.folder, self.log_number);
        let frame = frame::encode(self.frame_number, &record::encode(&records));
        files::replace(&*self.fs, &path, &frame)?;
        self.log = files::open(&*self.fs, &path)?;
        self.remove_old_logs()
    }

    fn remove_old_logs(&self) -> Result<(), StoreError> {
        let numbers = recovery::log_numbers(&*self.fs, &self.folder)?;
        for number in numbers.into_iter().filter(|number| *number < self.log_number) {
            files::remove(&*self.fs, &log_path(&self.folder, number))?;
        }
        Ok(())
    }

    fn reset(&mut self, disk: DiskId, owner: NodeId) -> Result<(), StoreError> {
        self.identity = Identity { disk, owner: Some(owner), generation: 0 };
        self.identity.write(&*self.fs, &self.folder)?;
        initialize_storage(&*self.fs, &self.folder, disk)?;
        self.identity.generation = 1;
        self.identity.write(&*self.fs, &self.folder)?;
        let path = log_path(&self.folder, FIRST_LOG_NUMBER);
        self.log = files::open(&*self.fs, &path)?;
        self.log_number = FIRST_LOG_NUMBER;
        self.frame_number = 0;
        self.hard_state = HardState::default();
        self.snapshot_index = None;
        self.entries.clear();
        Ok(())
    }
}

/// Number of the first log of a storage.
const FIRST_LOG_NUMBER: u64 = 1;

fn lock(fs: &dyn FileSystem, folder: &Path) -> Result<Box<dyn FileLock>, StoreError> {
    let path = folder.join("lock");
    match fs.lock(&path) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(StoreError::Locked { path }),
        locked => locked.describe("lock", &path),
    }
}

/// Creates the identity of a new folder.
fn create_identity(fs: &dyn FileSystem, folder: &Path) -> Result<Identity, StoreError> {
    let has_log = !recovery::log_numbers(fs, folder)?.is_empty();
    if has_log || files::read(fs, &snapshot_path(folder))?.is_some() {
        let path = Identity::path(folder);
        return Err(StoreError::damaged(path, 0, "the file is missing"));
    }
    let identity = Identity { disk: DiskId(rand::random()), owner: None, generation: 0 };
    identity.write(fs, folder)?;
    Ok(identity)
}

/// Syncs the name of a data folder.
fn sync_name(fs: &dyn FileSystem, folder: &Path) -> Result<(), StoreError> {
    match folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        Some(parent) => files::sync_folder(fs, parent),
        None => Ok(()),
    }
}

/// Removes all logs and the snapshot, and starts the first log of a storage.
fn initialize_storage(fs: &dyn FileSystem, folder: &Path, disk: DiskId) -> Result<(), StoreError> {
    // The identity may have been read from memory. Without it, the rest would be damage.
    files::sync_folder(fs, folder)?;
    for number in recovery::log_numbers(fs, folder)? {
        files::remove(fs, &log_path(folder, number))?;
    }
    files::remove(fs, &snapshot_path(folder))?;
    let head = vec![Record::Head { disk, snapshot_index: None }];
    let frame = frame::encode(0, &record::encode(&head));
    files::replace(fs, &log_path(folder, FIRST_LOG_NUMBER), &frame)
}
