//! What a control replica asks of its disk.

/// A command to the disk. Commands are carried out in order.
#[derive(Clone, Debug)]
pub enum DiskCommand {}

/// What the disk says.
#[derive(Clone, Debug)]
pub enum DiskEvent {}

/// What the disk held when the process started.
#[derive(Clone, Debug, Default)]
pub struct RecoveredDisk {}
