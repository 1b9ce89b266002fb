//! File system under a data folder: the edge of the process, so that a test can lose power.

use std::ffi::OsString;
use std::fmt::Debug;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::Path;

/// Operations on the files of a data folder.
///
/// What a file holds is durable once the file is synced; names that were created, renamed
/// or removed are durable once their folder is synced.
pub trait FileSystem: Debug + Send + Sync {
    /// Creates a folder, and the folders above it, where they are missing.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Creates a file where it is missing, and locks it until the guard is dropped.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::WouldBlock`] where it is locked already, or the system's error.
    fn lock(&self, path: &Path) -> io::Result<Box<dyn FileLock>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Returns the names in a folder, in any order.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn list(&self, folder: &Path) -> io::Result<Vec<OsString>>;

    /// Creates an empty file, or empties one that exists.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn create(&self, path: &Path) -> io::Result<Box<dyn WritableFile>>;

    /// Opens a file to write at its end.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn open(&self, path: &Path) -> io::Result<Box<dyn WritableFile>>;

    /// Gives a file another name, and drops the file that had it.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Syncs the names in a folder.
    ///
    /// # Errors
    ///
    /// The system's error.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A file that is open for writing.
pub trait WritableFile: Debug + Send {
    /// Writes at the end of the file.
    ///
    /// # Errors
    ///
    /// The system's error; a part may be written.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Syncs the content and its length.
    ///
    /// # Errors
    ///
    /// The system's error; what was written since the last sync may be lost.
    fn sync_data(&mut self) -> io::Result<()>;

    /// Syncs the content and all attributes.
    ///
    /// # Errors
    ///
    /// The system's error; what was written since the last sync may be lost.
    fn sync_all(&mut self) -> io::Result<()>;
}

/// A lock that is held until it is dropped.
pub trait FileLock: Debug + Send {}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemFiles;

impl FileSystem for SystemFiles {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn FileLock>> {
        let file = File::create(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Box::new(file)),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<OsString>> {
        fs::read_dir(folder)?.map(|dir_entry| Ok(dir_entry?.file_name())).collect()
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        Ok(Box::new(File::create(path)?))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        Ok(Box::new(OpenOptions::new().append(true).open(path)?))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

impl WritableFile for File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        Write::write_all(self, bytes)
    }

    fn sync_data(&mut self) -> io::Result<()> {
        File::sync_data(self)
    }

    fn sync_all(&mut self) -> io::Result<()> {
        File::sync_all(self)
    }
}

impl FileLock for File {}
