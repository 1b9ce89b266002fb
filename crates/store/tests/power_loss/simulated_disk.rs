//! A simulated file system. A killed process loses nothing; a loss of power cuts each file
//! back to its last sync, and each folder to its own.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use fireflylug_store::{FileLock, FileSystem, WritableFile};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What happens to operations from a moment on.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// This many operations that write or sync fail.
    Refuse { operations: u32 },
    /// The process is killed: no operation is carried out until it is started again.
    Kill,
}

/// What a loss of power leaves of writes and names that were not synced.
#[derive(Clone, Copy, Debug)]
pub enum Unsynced {
    /// None of them.
    Gone,
    /// Each write is present, missing or torn, and each name kept or lost.
    Mixed,
}

/// A handle on the simulated file system; clones share it.
#[derive(Clone, Debug)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    pub fn new(seed: u64) -> Self {
        let state = State {
            rng: SmallRng::seed_from_u64(seed),
            files: Vec::new(),
            names: Names::default(),
            fault: None,
            is_killed: false,
            refused: 0,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Carries out this many more operations that write or sync, then the fault.
    pub fn set_fault(&self, operations: u32, fault: Fault) {
        self.lock().fault = Some((operations, fault));
    }

    /// Removes a fault that has not come. Returns whether one has come since the last call.
    pub fn clear_fault(&self) -> bool {
        let mut state = self.lock();
        state.fault = None;
        let refused = std::mem::take(&mut state.refused);
        std::mem::take(&mut state.is_killed) || refused > 0
    }

    /// Loses power: what is not synced is cut back.
    pub fn lose_power(&self, unsynced: Unsynced) {
        let state = &mut *self.lock();
        for file in &mut state.files {
            file.lose_power(unsynced, &mut state.rng);
        }
        state.names.lose_power(unsynced, &mut state.rng);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }
}

#[derive(Debug)]
struct State {
    rng: SmallRng,
    files: Vec<SimulatedFile>,
    names: Names,
    fault: Option<(u32, Fault)>,
    is_killed: bool,
    refused: u32,
}

/// What becomes of one operation.
enum Verdict {
    Done,
    /// The operation fails; of a write, a part may be there.
    Refused,
    /// The process ends in the operation, which may have been carried out.
    Killed,
}

impl State {
    fn judge(&mut self) -> Verdict {
        match &mut self.fault {
            _ if self.is_killed => Verdict::Refused,
            None => Verdict::Done,
            Some((operations, _)) if *operations > 0 => {
                *operations -= 1;
                Verdict::Done
            }
            Some((_, Fault::Kill)) => {
                self.is_killed = true;
                Verdict::Killed
            }
            Some((_, Fault::Refuse { operations: 0 })) => {
                self.fault = None;
                Verdict::Done
            }
            Some((_, Fault::Refuse { operations })) => {
                *operations -= 1;
                self.refused += 1;
                Verdict::Refused
            }
        }
    }

    /// Carries out an operation that either happens as a whole or not at all.
    fn whole(&mut self, operation: impl FnOnce(&mut Self) -> io::Result<()>) -> io::Result<()> {
        match self.judge() {
            Verdict::Done => operation(self),
            Verdict::Killed if self.rng.random() => operation(self).and(Err(refused())),
            Verdict::Killed | Verdict::Refused => Err(refused()),
        }
    }

    fn file_of(&self, path: &Path) -> io::Result<usize> {
        match self.names.current.get(path) {
            Some(Some(file)) => Ok(*file),
            _ => Err(io::ErrorKind::NotFound.into()),
        }
    }
}

fn refused() -> io::Error {
    io::Error::other("refused by the simulated disk")
}

/// Names and the files that they name; `None` names a folder.
#[derive(Debug, Default)]
struct Names {
    current: BTreeMap<PathBuf, Option<usize>>,
    durable: BTreeMap<PathBuf, Option<usize>>,
    /// Names that were set or removed since their folder was synced.
    unsynced: Vec<(PathBuf, Option<Option<usize>>)>,
}

impl Names {
    fn set(&mut self, path: &Path, file: Option<usize>) {
        self.current.insert(path.to_owned(), file);
        self.unsynced.push((path.to_owned(), Some(file)));
    }

    fn remove(&mut self, path: &Path) -> io::Result<Option<usize>> {
        let file = self.current.remove(path).ok_or(io::ErrorKind::NotFound)?;
        self.unsynced.push((path.to_owned(), None));
        Ok(file)
    }

    fn sync(&mut self, folder: &Path) {
        for (path, file) in std::mem::take(&mut self.unsynced) {
            if path.parent() == Some(folder) {
                self.make_durable(path, file);
            } else {
                self.unsynced.push((path, file));
            }
        }
    }

    fn make_durable(&mut self, path: PathBuf, file: Option<Option<usize>>) {
        match file {
            Some(file) => self.durable.insert(path, file),
            None => self.durable.remove(&path),
        };
    }

    fn lose_power(&mut self, unsynced: Unsynced, rng: &mut SmallRng) {
        for (path, file) in std::mem::take(&mut self.unsynced) {
            if matches!(unsynced, Unsynced::Mixed) && rng.random() {
                self.make_durable(path, file);
            }
        }
        // Nothing is found any more in a folder that is gone.
        let folders = self.durable.clone();
        let is_found = |path: &PathBuf| {
            let parent = path.parent().expect("a name in a folder");
            parent == Path::new("/") || folders.contains_key(parent)
        };
        self.durable.retain(|path, _| is_found(path));
        self.current = self.durable.clone();
    }
}

#[derive(Debug, Default)]
struct SimulatedFile {
    /// What a read returns.
    current: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Change {
    kind: ChangeKind,
    /// Dropped by a sync that failed: no later sync writes it.
    is_dropped: bool,
}

#[derive(Clone, Debug)]
enum ChangeKind {
    Write { offset: usize, bytes: Vec<u8> },
    Empty,
}

impl ChangeKind {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Self::Empty => content.clear(),
            Self::Write { offset, bytes } => {
                let end = offset + bytes.len();
                content.resize(content.len().max(end), 0);
                content[*offset..end].copy_from_slice(bytes);
            }
        }
    }

    /// Applies a part of a write; the file may have its full length.
    fn apply_torn(&self, content: &mut Vec<u8>, rng: &mut SmallRng) {
        let Self::Write { offset, bytes } = self else { return };
        let kept = rng.random_range(0..=bytes.len());
        let torn = Self::Write { offset: *offset, bytes: bytes[..kept].to_vec() };
        torn.apply(content);
        if rng.random() {
            content.resize(content.len().max(offset + bytes.len()), 0);
        }
    }
}

impl SimulatedFile {
    fn change(&mut self, kind: ChangeKind) {
        kind.apply(&mut self.current);
        self.unsynced.push(Change { kind, is_dropped: false });
    }

    fn append(&mut self, bytes: &[u8]) {
        let offset = self.current.len();
        self.change(ChangeKind::Write { offset, bytes: bytes.to_vec() });
    }

    fn sync(&mut self) {
        for change in std::mem::take(&mut self.unsynced) {
            if change.is_dropped {
                self.unsynced.push(change);
            } else {
                change.kind.apply(&mut self.durable);
            }
        }
    }

    fn fail_sync(&mut self, rng: &mut SmallRng) {
        for change in &mut self.unsynced {
            change.is_dropped |= rng.random::<bool>();
        }
    }

    fn lose_power(&mut self, unsynced: Unsynced, rng: &mut SmallRng) {
        for change in std::mem::take(&mut self.unsynced) {
            match (unsynced, rng.random_range(0..3)) {
                _ if change.is_dropped => {}
                (Unsynced::Gone, _) | (Unsynced::Mixed, 0) => {}
                (Unsynced::Mixed, 1) => change.kind.apply_torn(&mut self.durable, rng),
                (Unsynced::Mixed, _) => change.kind.apply(&mut self.durable),
            }
        }
        self.current = self.durable.clone();
    }
}

impl FileSystem for SimulatedDisk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        self.lock().whole(|state| {
            if !state.names.current.contains_key(folder) {
                state.names.set(folder, None);
            }
            Ok(())
        })
    }

    fn lock(&self, _path: &Path) -> io::Result<Box<dyn FileLock>> {
        Ok(Box::new(GrantedLock))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let state = self.lock();
        let file = state.file_of(path)?;
        Ok(state.files[file].current.clone())
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        let state = self.lock();
        let paths = state.names.current.keys().filter(|path| path.parent() == Some(folder));
        Ok(paths.filter_map(|path| path.file_name()).map(OsString::from).collect())
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        self.lock().whole(|state| {
            if let Ok(file) = state.file_of(path) {
                state.files[file].change(ChangeKind::Empty);
            } else {
                let file = state.files.len();
                state.files.push(SimulatedFile::default());
                state.names.set(path, Some(file));
            }
            Ok(())
        })?;
        self.open(path)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        let file = self.lock().file_of(path)?;
        Ok(Box::new(OpenFile { disk: self.clone(), file }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.lock().whole(|state| {
            let file = state.file_of(from)?;
            state.names.set(to, Some(file));
            state.names.remove(from).map(|_| ())
        })
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.lock().whole(|state| state.names.remove(path).map(|_| ()))
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.lock().whole(|state| {
            state.names.sync(folder);
            Ok(())
        })
    }
}

#[derive(Debug)]
struct GrantedLock;

impl FileLock for GrantedLock {}

#[derive(Debug)]
struct OpenFile {
    disk: SimulatedDisk,
    file: usize,
}

impl WritableFile for OpenFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.disk.lock();
        match state.judge() {
            Verdict::Done => {
                state.files[self.file].append(bytes);
                Ok(())
            }
            Verdict::Refused if state.is_killed => Err(refused()),
            Verdict::Refused | Verdict::Killed => {
                let written = state.rng.random_range(0..=bytes.len());
                state.files[self.file].append(&bytes[..written]);
                Err(refused())
            }
        }
    }

    fn sync_data(&mut self) -> io::Result<()> {
        self.sync_all()
    }

    fn sync_all(&mut self) -> io::Result<()> {
        let state = &mut *self.disk.lock();
        let was_killed = state.is_killed;
        match state.judge() {
            Verdict::Done => state.files[self.file].sync(),
            Verdict::Killed if state.rng.random() => state.files[self.file].sync(),
            Verdict::Refused if !was_killed => {
                state.files[self.file].fail_sync(&mut state.rng);
                return Err(refused());
            }
            Verdict::Killed | Verdict::Refused => return Err(refused()),
        }
        if state.is_killed { Err(refused()) } else { Ok(()) }
    }
}
