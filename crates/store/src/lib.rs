//! Synced log and snapshots of a control replica on disk.
//!
//! A [`Store`] owns one data folder. [`Store::open`] makes it or recovers what
//! it holds; [`Store::run`] carries out commands and returns once files and
//! folder are synced, so that one sync serves every command that waited.
//!
//! The folder holds `identity` (which storage this is), `snapshot`, one
//! `log-NUMBER` of frames, and `lock`. Whole files are written beside their
//! place, synced and renamed. A frame at the end of the log that a crash cut
//! short is dropped; damage anywhere else is an error that names the place.

mod error;
mod files;
mod frame;
mod identity;
mod record;
mod recovery;
mod store;

pub use error::StoreError;
pub use store::Store;
