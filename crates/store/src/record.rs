//! What the files hold.

use std::path::Path;
use std::sync::Arc;

use fireflylug_core::consensus::{DiskId, Entry, HardState, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{StoreError, frame};

/// One record of the log. A frame holds a list of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The first record of a log.
    Head {
        /// The storage to which the log belongs.
        disk: DiskId,
        /// Last entry of the snapshot that the log follows; none where it follows none.
        snapshot_index: Option<u64>,
    },
    /// Replaces the term and the vote.
    HardState(HardState),
    /// Drops every entry from this one's index on, then appends it.
    Entry(Arc<Entry>),
}

/// The snapshot file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotFile {
    /// The storage to which the snapshot belongs.
    pub(crate) disk: DiskId,
    /// The snapshot.
    pub(crate) snapshot: Arc<Snapshot>,
}

/// Encodes an item.
pub(crate) fn encode<T: Serialize>(item: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(item, &mut bytes).expect("a vector takes every byte");
    bytes
}

/// Encodes an item as a file of one frame.
pub(crate) fn encode_whole<T: Serialize>(item: &T) -> Vec<u8> {
    frame::encode(0, &encode(item))
}

/// Decodes a file of one frame.
pub(crate) fn decode_whole<T: DeserializeOwned>(
    path: &Path,
    bytes: &[u8],
) -> Result<T, StoreError> {
    let frame = frame::decode(bytes);
    let Some(frame) = frame.filter(|frame| frame.len() == bytes.len()) else {
        return Err(StoreError::damaged(path, 0, "the checksum does not match"));
    };
    decode(path, frame::HEADER_BYTES, frame.payload)
}

/// Decodes an item of a frame whose payload starts at an offset.
pub(crate) fn decode<T: DeserializeOwned>(
    path: &Path,
    offset: usize,
    payload: &[u8],
) -> Result<T, StoreError> {
    ciborium::from_reader(payload).map_err(|error| {
        let detail =
            format!("the content is not in form ({error}); was it written by a newer version?");
        StoreError::damaged(path, offset, &detail)
    })
}
