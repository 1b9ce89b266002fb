//! Errors of a data folder.

use std::io;
use std::path::PathBuf;

/// Why a data folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file or folder cannot be read, written or synced.
    #[error("cannot {action} {}: {source}", path.display())]
    Io {
        /// Operation that failed.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("{} is locked by another process; stop it or use another data folder", path.display())]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// A file is missing or its content is not what was written.
    #[error(
        "{} is damaged at offset {offset_bytes}: {detail}; move the data folder aside, keep \
         it, and start with an empty one; the other replicas then send the data",
        path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the damage begins, in bytes from the start of the file.
        offset_bytes: u64,
        /// Description of the damage.
        detail: String,
    },
    /// An earlier write failed; no further commands are carried out.
    #[error("an earlier write to {} failed; no further writes are accepted", path.display())]
    Failed {
        /// The folder.
        path: PathBuf,
    },
}

impl StoreError {
    pub(crate) fn damaged(path: impl Into<PathBuf>, offset: usize, detail: &str) -> Self {
        Self::Damaged { path: path.into(), offset_bytes: offset as u64, detail: detail.to_owned() }
    }
}
