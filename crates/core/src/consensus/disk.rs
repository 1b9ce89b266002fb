//! Commands of a control replica to its disk, and the events that the disk returns.

use std::sync::Arc;

use super::entry::{DiskId, Entry, HardState};
use super::snapshot::Snapshot;
use crate::ids::NodeId;

/// A command to the disk. Commands are executed in order; several may share one
/// fsync.
#[derive(Clone, Debug)]
pub struct DiskCommand {
    /// Sequence number; increases by one with each command.
    pub sequence: u64,
    /// The write to perform.
    pub write: DiskWrite,
}

/// A write to the disk.
#[derive(Clone, Debug)]
pub enum DiskWrite {
    /// Replaces the term and the vote.
    HardState(HardState),
    /// Drops every stored entry from the index of the first given entry on, then
    /// appends the given ones.
    Append(Vec<Arc<Entry>>),
    /// Replaces the snapshot and drops the entries that it covers.
    Snapshot {
        /// The new snapshot.
        snapshot: Arc<Snapshot>,
        /// Whether the log entries after the snapshot are consistent with it and are kept.
        keep_entries: bool,
    },
    /// Records the process that owns the data folder.
    Owner(NodeId),
    /// Drops all data and assigns a new identity, as for a newly created folder.
    Reset {
        /// The new identity.
        disk: DiskId,
        /// The process that owns the data folder.
        owner: NodeId,
    },
}

/// An event from the disk.
#[derive(Clone, Debug)]
pub enum DiskEvent {
    /// Every command up to this one is durable: files and folder are synced.
    Synced {
        /// Sequence of the last such command.
        sequence: u64,
    },
    /// A write or an fsync failed. No later command is executed.
    Failed {
        /// Description of the failure, with the file.
        error: String,
    },
    /// The data folder was opened again after a failure.
    Reopened(RecoveredDisk),
}

/// Content of the disk when the process started.
#[derive(Clone, Debug)]
pub struct RecoveredDisk {
    /// Identity of the storage.
    pub disk: DiskId,
    /// The process that owns the data folder; none for a newly created folder.
    pub owner: Option<NodeId>,
    /// Number of times that the folder was opened, this time included. Synced before it is
    /// returned.
    pub generation: u64,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The snapshot; none where the replica has never stored any state.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, in order.
    pub entries: Vec<Arc<Entry>>,
    /// Repairs that were made on opening, such as the truncation of a torn tail.
    pub notices: Vec<String>,
}

impl RecoveredDisk {
    /// Content of a newly created folder.
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
