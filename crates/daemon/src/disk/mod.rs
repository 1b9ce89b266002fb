//! The disk of a control replica: runs commands in order on a thread of its own.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use eyre::WrapErr;
use fireflylug_core::Event;
use fireflylug_core::consensus::{DiskCommand, DiskEvent, RecoveredDisk};
use fireflylug_store::{Store, StoreError};

use crate::Runtime;

/// Most commands that share one sync.
const MAX_BATCH: usize = 1024;

/// How often a locked folder is tried again.
const MAX_LOCK_TRIES: u32 = 40;

/// Time between tries to open the folder of a disk that failed.
const REOPEN_PAUSE: std::time::Duration = std::time::Duration::from_millis(500);

/// Time between tries of a locked folder.
const LOCK_RETRY_PAUSE: std::time::Duration = std::time::Duration::from_millis(50);

/// Takes commands to the disk without blocking.
#[derive(Clone, Debug)]
pub struct DiskHandle {
    commands: Sender<DiskCommand>,
}

impl DiskHandle {
    /// Runs a command. Its completion comes as an event.
    pub fn run(&self, command: DiskCommand) {
        // The receiver is gone only while the process stops, or after the disk failed.
        let _ = self.commands.send(command);
    }
}

/// An opened data folder whose thread does not run yet.
pub struct Disk {
    commands: Receiver<DiskCommand>,
    store: Store,
}

/// Opens or makes the data folder and reads what it holds.
pub fn open(data_dir: &Path) -> eyre::Result<(DiskHandle, Disk, RecoveredDisk)> {
    let (store, recovered) = open_store(data_dir)
        .wrap_err_with(|| format!("cannot use the data folder {}", data_dir.display()))?;
    let (commands, receiver) = channel();
    Ok((DiskHandle { commands }, Disk { commands: receiver, store }, recovered))
}

/// Opens the folder, also where a replica that just ended in this program still closes it.
fn open_store(data_dir: &Path) -> Result<(Store, RecoveredDisk), StoreError> {
    let mut tries = 0;
    loop {
        match Store::open(data_dir) {
            Err(StoreError::Locked { .. }) if tries < MAX_LOCK_TRIES => {
                tries += 1;
                std::thread::sleep(LOCK_RETRY_PAUSE);
            }
            opened => return opened,
        }
    }
}

impl Disk {
    /// Starts the thread. It ends when every handle is dropped or the runtime is gone.
    pub fn start(self, runtime: Arc<Runtime>) {
        // Held weakly: the runtime owns the handles whose drop ends the thread.
        let runtime = Arc::downgrade(&runtime);
        let submit = move |event| {
            let runtime = runtime.upgrade();
            runtime.map(|runtime| runtime.submit(Event::Disk(event))).is_some()
        };
        std::thread::spawn(move || run(&self.commands, self.store, submit));
    }
}

/// Runs what waits, with one sync for all of it, until the end or a failure.
fn run(commands: &Receiver<DiskCommand>, mut store: Store, submit: impl Fn(DiskEvent) -> bool) {
    let folder = store.folder().to_owned();
    while let Ok(first) = commands.recv() {
        let mut batch = vec![first];
        batch.extend(commands.try_iter().take(MAX_BATCH - 1));
        let sequence = batch[batch.len() - 1].sequence;
        let event = match store.run(&batch) {
            Ok(()) => DiskEvent::Synced { sequence },
            Err(error) => DiskEvent::Failed { error: error.to_string() },
        };
        let has_failed = matches!(event, DiskEvent::Failed { .. });
        if !submit(event) {
            return;
        }
        if has_failed {
            drop(store);
            let recovered;
            (store, recovered) = open_when_possible(&folder);
            // Sent before the reducer knew of the failure.
            while commands.try_recv().is_ok() {}
            if !submit(DiskEvent::Reopened(recovered)) {
                return;
            }
        }
    }
}

/// Opens the folder once the disk takes writes again. What a failed sync left
/// behind is not trusted: the folder is read anew, as after a restart.
fn open_when_possible(folder: &Path) -> (Store, RecoveredDisk) {
    loop {
        std::thread::sleep(REOPEN_PAUSE);
        if let Ok(opened) = Store::open(folder) {
            return opened;
        }
    }
}
