//! Content of the files.

use std::path::Path;
use std::sync::Arc;

use fireflylug_core::consensus::{DiskId, Entry, HardState, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{StoreError, frame};

/// One record of the log. A frame holds a list of them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    /// First record of a log.
    Head {
        /// Storage to which the log belongs.
        disk: DiskId,
        /// Index of the last entry in the snapshot before the log; `None` without a snapshot.
        snapshot_index: Option<u64>,
    },
    /// Replaces the term and the vote.
    HardState(HardState),
    /// Drops all entries from this entry's index on, then appends it.
    Entry(Arc<Entry>),
}

/// Content of the snapshot file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotFile {
    /// Storage to which the snapshot belongs.
    pub(crate) disk: DiskId,
    /// The snapshot.
    pub(crate) snapshot: Arc<Snapshot>,
}

/// Encodes an item as CBOR.
pub(crate) fn encode<T: Serialize>(item: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(item, &mut bytes).expect("writing to a vector cannot fail");
    bytes
}

/// Encodes an item as a file of one frame.
pub(crate) fn encode_file<T: Serialize>(item: &T) -> Vec<u8> {
    frame::encode(0, &encode(item))
}

/// Decodes a file of one frame.
pub(crate) fn decode_file<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, StoreError> {
    let frame = frame::decode(bytes);
    let Some(frame) = frame.filter(|frame| frame.len() == bytes.len()) else {
        return Err(StoreError::damaged(path, 0, "the checksum does not match"));
    };
    decode(path, frame::HEADER_BYTES, frame.payload)
}

/// Decodes the payload of a frame. `offset` is the position of the payload in the file.
pub(crate) fn decode<T: DeserializeOwned>(
    path: &Path,
    offset: usize,
    payload: &[u8],
) -> Result<T, StoreError> {
    ciborium::from_reader(payload).map_err(|error| {
        let detail =
            format!("the content is malformed ({error}); was it written by a newer version?");
        StoreError::damaged(path, offset, &detail)
    })
}
