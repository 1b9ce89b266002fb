//! What a control replica asks of its disk.

use std::sync::Arc;

use super::entry::{DiskId, Entry, HardState};
use super::snapshot::Snapshot;
use crate::ids::NodeId;

/// A command to the disk. Commands are carried out in order; several may
/// share one sync.
#[derive(Clone, Debug)]
pub struct DiskCommand {
    /// Grows by one with each command.
    pub sequence: u64,
    /// What to write.
    pub write: DiskWrite,
}

/// What to write.
#[derive(Clone, Debug)]
pub enum DiskWrite {
    /// Replaces the term and the vote.
    HardState(HardState),
    /// Drops every entry from the first one's index on, then appends these.
    Append(Vec<Arc<Entry>>),
    /// Replaces the snapshot and drops the entries that it covers.
    Snapshot {
        /// The new snapshot.
        snapshot: Arc<Snapshot>,
        /// Whether the entries after the snapshot follow from it and stay.
        keep_entries: bool,
    },
    /// Records to which process the folder belongs.
    Owner(NodeId),
    /// Drops everything and takes a new identity, as a folder just made.
    Reset {
        /// The new identity.
        disk: DiskId,
        /// The process to which the folder belongs.
        owner: NodeId,
    },
}

/// What the disk says.
#[derive(Clone, Debug)]
pub enum DiskEvent {
    /// Every command up to this one is on disk, files and folder synced.
    Synced {
        /// Sequence of the last such command.
        sequence: u64,
    },
    /// A write or a sync failed. Nothing later is carried out.
    Failed {
        /// What failed, with the file.
        error: String,
    },
    /// After a failure, the folder was opened again.
    Reopened(RecoveredDisk),
}

/// What the disk held when the process started.
#[derive(Clone, Debug)]
pub struct RecoveredDisk {
    /// Identity of the storage.
    pub disk: DiskId,
    /// The process to which the folder belongs; none where it was just made.
    pub owner: Option<NodeId>,
    /// How often the folder was opened, this time included. Synced before it is given.
    pub generation: u64,
    /// The promises.
    pub hard_state: HardState,
    /// The snapshot; none where the replica never held anything.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, in order.
    pub entries: Vec<Arc<Entry>>,
    /// What was mended on opening, such as a torn tail that was cut.
    pub notices: Vec<String>,
}

impl RecoveredDisk {
    /// What a folder holds that was just made.
    pub fn blank(disk: DiskId) -> Self {
        Self {
            disk,
            owner: None,
            generation: 1,
            hard_state: HardState::default(),
            snapshot: None,
            entries: Vec::new(),
            notices: Vec::new(),
        }
    }
}

impl Default for RecoveredDisk {
    fn default() -> Self {
        Self::blank(DiskId(0))
    }
}
