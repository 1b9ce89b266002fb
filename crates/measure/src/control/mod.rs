//! Measurements of the configuration: convergence, bytes, recovery.

pub mod baseline;
pub mod bytes;
pub mod catchup;
pub mod convergence;
pub mod failover;
pub mod idle;
pub mod mesh;
pub mod process;
pub mod storm;
