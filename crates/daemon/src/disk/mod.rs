//! Disk of a control replica: runs commands in order on a separate thread.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use eyre::WrapErr;
use fireflylug_core::Event;
use fireflylug_core::consensus::{DiskCommand, DiskEvent, RecoveredDisk};
use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_store::{Store, StoreError};

use crate::Runtime;

/// Maximum number of commands in one batch with a single sync.
const MAX_BATCH: usize = 1024;

/// Maximum number of retries to open a locked folder.
const MAX_LOCK_RETRIES: u32 = 40;

/// Delay between attempts to reopen the folder after a disk failure.
const REOPEN_DELAY: std::time::Duration = std::time::Duration::from_millis(500);

/// Delay between attempts to open a locked folder.
const LOCK_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(50);

/// Sends commands to the disk without blocking.
#[derive(Clone, Debug)]
pub struct DiskHandle {
    commands: Sender<DiskCommand>,
}

impl DiskHandle {
    /// Queues a command. An event reports its completion.
    pub fn run(&self, command: DiskCommand) {
        // The receiver is dropped only while the process stops or after a disk failure.
        let _ = self.commands.send(command);
    }
}

/// An opened data folder whose thread is not started yet.
pub struct Disk {
    commands: Receiver<DiskCommand>,
    store: Store,
}

/// Opens or creates the data folder and recovers its content.
pub fn open(data_dir: &Path) -> eyre::Result<(DiskHandle, Disk, RecoveredDisk)> {
    let (store, recovered) = open_store(data_dir)
        .wrap_err_with(|| format!("cannot open the data folder {}", data_dir.display()))?;
    let (commands, receiver) = channel();
    Ok((DiskHandle { commands }, Disk { commands: receiver, store }, recovered))
}

/// Opens the folder, with retries while a stopped replica of this program still holds the lock.
fn open_store(data_dir: &Path) -> Result<(Store, RecoveredDisk), StoreError> {
    let mut retries = 0;
    loop {
        match Store::open(data_dir) {
            Err(StoreError::Locked { .. }) if retries < MAX_LOCK_RETRIES => {
                retries += 1;
                std::thread::sleep(LOCK_RETRY_DELAY);
            }
            opened => return opened,
        }
    }
}

impl Disk {
    /// Starts the thread. It ends when all handles or the runtime are dropped.
    pub fn start(self, runtime: Arc<Runtime>) {
        // A weak reference, since the runtime owns the handles whose drop ends the thread.
        let runtime = Arc::downgrade(&runtime);
        let submit = move |event| {
            let runtime = runtime.upgrade();
            runtime.map(|runtime| runtime.submit(Event::Disk(event))).is_some()
        };
        std::thread::spawn(move || run(&self.commands, self.store, submit));
    }
}

/// Runs queued commands in batches with one sync each, and reopens the folder after a failure.
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
            (store, recovered) = reopen_with_retries(&folder);
            // Discards commands that were queued before the reducer received the failure.
            while commands.try_recv().is_ok() {}
            if !submit(DiskEvent::Reopened(recovered)) {
                return;
            }
        }
    }
}

/// Reopens the folder as soon as the disk accepts writes again. The state after a failed
/// sync is unreliable, so the folder is recovered as after a restart.
fn reopen_with_retries(folder: &Path) -> (Store, RecoveredDisk) {
    loop {
        std::thread::sleep(REOPEN_DELAY);
        match Store::open(folder) {
            Ok(opened) => return opened,
            Err(error) => {
                let text = format!("The data folder cannot be opened again yet: {error}");
                crate::log::write(LogLevel::Warn, LogPart::Disk, &text);
            }
        }
    }
}
