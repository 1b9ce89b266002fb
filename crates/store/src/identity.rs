//! Which storage a folder is.

use std::path::{Path, PathBuf};

use fireflylug_core::consensus::DiskId;
use fireflylug_core::ids::NodeId;
use serde::{Deserialize, Serialize};

use crate::record::{decode_whole, encode_whole};
use crate::{StoreError, files};

/// Which storage a folder is.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Identity {
    /// The storage.
    pub(crate) disk: DiskId,
    /// The process to which the folder belongs; none before it said so.
    pub(crate) owner: Option<NodeId>,
    /// How often the folder was opened. At 0 the other files are void.
    pub(crate) generation: u64,
}

impl Identity {
    /// Reads the identity of a folder; none where it has none.
    pub(crate) fn read(folder: &Path) -> Result<Option<Self>, StoreError> {
        let path = Self::path(folder);
        let Some(bytes) = files::read(&path)? else { return Ok(None) };
        decode_whole(&path, &bytes).map(Some)
    }

    /// Writes the identity of a folder.
    pub(crate) fn write(&self, folder: &Path) -> Result<(), StoreError> {
        files::replace(&Self::path(folder), &encode_whole(self))
    }

    pub(crate) fn path(folder: &Path) -> PathBuf {
        folder.join("identity")
    }
}
