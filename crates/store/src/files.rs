//! Atomic replacement of files, and sync of folders.

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

use crate::StoreError;

/// Adds the failed operation and the path to a system error.
pub(crate) trait Describe<T> {
    fn describe(self, action: &'static str, path: &Path) -> Result<T, StoreError>;
}

impl<T> Describe<T> for std::io::Result<T> {
    fn describe(self, action: &'static str, path: &Path) -> Result<T, StoreError> {
        self.map_err(|source| StoreError::Io { action, path: path.to_owned(), source })
    }
}

/// Replaces a file atomically: writes `bytes` to a temporary file, syncs and renames it.
pub(crate) fn replace(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let temporary = temporary_of(path);
    let mut file = File::create(&temporary).describe("create", &temporary)?;
    file.write_all(bytes).describe("write", &temporary)?;
    file.sync_all().describe("sync", &temporary)?;
    fs::rename(&temporary, path).describe("rename", &temporary)?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))
}

/// Syncs a folder, so that the names in it are durable.
pub(crate) fn sync_folder(path: &Path) -> Result<(), StoreError> {
    let folder = File::open(path).describe("open", path)?;
    folder.sync_all().describe("sync", path)
}

/// Reads a file; `None` if it does not exist.
pub(crate) fn read(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    match fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).describe("read", path),
    }
}

fn temporary_of(path: &Path) -> PathBuf {
    path.with_extension("tmp")
}
