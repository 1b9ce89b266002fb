//! Atomic replacement of files, and sync of folders.

use std::io;
use std::path::{Path, PathBuf};

use crate::StoreError;
use crate::file_system::{FileSystem, WritableFile};

const TEMPORARY_EXTENSION: &str = "tmp";

/// Adds the failed operation and the path to a system error.
pub(crate) trait Describe<T> {
    fn describe(self, action: &'static str, path: &Path) -> Result<T, StoreError>;
}

impl<T> Describe<T> for io::Result<T> {
    fn describe(self, action: &'static str, path: &Path) -> Result<T, StoreError> {
        self.map_err(|source| StoreError::Io { action, path: path.to_owned(), source })
    }
}

/// Replaces a file atomically: writes `bytes` to a temporary file, syncs and renames it.
pub(crate) fn replace(fs: &dyn FileSystem, path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let temporary = temporary_of(path);
    let mut file = fs.create(&temporary).describe("create", &temporary)?;
    file.write_all(bytes).describe("write", &temporary)?;
    file.sync_all().describe("sync", &temporary)?;
    fs.rename(&temporary, path).describe("rename", &temporary)?;
    sync_folder(fs, path.parent().unwrap_or(Path::new(".")))
}

/// Syncs a folder, so that the names in it are durable.
pub(crate) fn sync_folder(fs: &dyn FileSystem, path: &Path) -> Result<(), StoreError> {
    fs.sync_folder(path).describe("sync", path)
}

/// Reads a file; `None` if it does not exist.
pub(crate) fn read(fs: &dyn FileSystem, path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    match fs.read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error).describe("read", path),
    }
}

/// Opens a file to write at its end.
pub(crate) fn open(fs: &dyn FileSystem, path: &Path) -> Result<Box<dyn WritableFile>, StoreError> {
    fs.open(path).describe("open", path)
}

/// Removes a file where it exists.
pub(crate) fn remove(fs: &dyn FileSystem, path: &Path) -> Result<(), StoreError> {
    match fs.remove(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        removed => removed.describe("remove", path),
    }
}

/// Removes the temporary files that a crash left. To empty them in place would be wrong: after
/// a loss of power in a rename, both names may name one file.
pub(crate) fn remove_temporaries(fs: &dyn FileSystem, folder: &Path) -> Result<(), StoreError> {
    for name in fs.list(folder).describe("list", folder)? {
        let path = folder.join(name);
        if path.extension().is_some_and(|extension| extension == TEMPORARY_EXTENSION) {
            remove(fs, &path)?;
        }
    }
    Ok(())
}

fn temporary_of(path: &Path) -> PathBuf {
    path.with_extension(TEMPORARY_EXTENSION)
}
