//! What the tests of losses of power share.

use std::path::Path;
use std::sync::Arc;

use fireflylug_core::consensus::{DiskWrite, RecoveredDisk, Snapshot, VoterSet};
use fireflylug_store::{Store, StoreError};

use crate::simulated_disk::SimulatedDisk;

/// Folder of the simulated disk that the store uses.
const FOLDER: &str = "/data";

/// Opens the folder of a simulated disk.
pub fn open(disk: &SimulatedDisk) -> Result<(Store, RecoveredDisk), StoreError> {
    Store::open_on(Arc::new(disk.clone()), Path::new(FOLDER))
}

/// A write that replaces the snapshot.
pub fn snapshot(index: u64, term: u64, keep_entries: bool) -> DiskWrite {
    let snapshot = Snapshot { index, term, ..Snapshot::initial(VoterSet::default()) };
    DiskWrite::Snapshot { snapshot: Arc::new(snapshot), keep_entries }
}
