//! Synced log and snapshots of a control replica on disk.
