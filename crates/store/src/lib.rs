//! Durable log and snapshots of a control replica.
//!
//! A [`Store`] owns one data folder. [`Store::open`] creates it or recovers its content;
//! [`Store::run`] carries out a batch of commands and returns after files and folder are
//! synced, so that one sync covers all queued commands.
//!
//! The folder holds `identity` (the identity of the storage), `snapshot`, one `log-NUMBER`
//! of frames, and `lock`. Files are replaced by writing a temporary file, syncing and
//! renaming it. A torn frame at the end of the log, left by a crash, is dropped; damage
//! anywhere else is an error that names file and offset. On opening, the log is written
//! again, since what is read may never have been synced. All of it goes through a
//! [`FileSystem`], which is [`SystemFiles`] in the program.

mod error;
mod file_system;
mod files;
mod frame;
mod identity;
mod record;
mod recovery;
mod store;

pub use error::StoreError;
pub use file_system::{FileLock, FileSystem, SystemFiles, WritableFile};
pub use store::Store;
