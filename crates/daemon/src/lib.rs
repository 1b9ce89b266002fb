//! Input and output of the daemon: network, disk, metrics, logs and signals.
//!
//! [`Runtime`] owns the [`fireflylug_core::State`], passes each event to the reducer
//! and dispatches its effects to the I/O handles. Several daemons can run in one program,
//! since they share no state except the logger.

pub mod api;
pub mod args;
pub mod calls;
pub mod daemon;
pub mod disk;
pub mod key;
pub mod local_target;
pub mod log;
pub mod main_loop;
pub mod metrics;
pub mod open_work;
pub mod peers;
pub mod runtime;
pub mod translation;

pub use daemon::Daemon;
pub use key::SharedKey;
pub use main_loop::main;
pub use open_work::OpenWork;
pub use runtime::Runtime;
pub use translation::Translation;
