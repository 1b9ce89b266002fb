//! Identity of the storage in a data folder.

use std::path::{Path, PathBuf};

use fireflylug_core::consensus::DiskId;
use fireflylug_core::ids::NodeId;
use serde::{Deserialize, Serialize};

use crate::file_system::FileSystem;
use crate::record::{decode_file, encode_file};
use crate::{StoreError, files};

/// Identity of the storage in a data folder.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// Id of the storage.
    pub(crate) disk: DiskId,
    /// Process that owns the folder; `None` until it is set.
    pub(crate) owner: Option<NodeId>,
    /// Number of times the folder was opened. At 0 the other files are invalid.
    pub(crate) generation: u64,
}

impl Identity {
    /// Reads the identity of a folder; `None` if the file does not exist.
    pub(crate) fn read(fs: &dyn FileSystem, folder: &Path) -> Result<Option<Self>, StoreError> {
        let path = Self::path(folder);
        let Some(bytes) = files::read(fs, &path)? else { return Ok(None) };
        decode_file(&path, &bytes).map(Some)
    }

    /// Writes the identity of a folder.
    pub(crate) fn write(&self, fs: &dyn FileSystem, folder: &Path) -> Result<(), StoreError> {
        files::replace(fs, &Self::path(folder), &encode_file(self))
    }

    pub(crate) fn path(folder: &Path) -> PathBuf {
        folder.join("identity")
    }
}
