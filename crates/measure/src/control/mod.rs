//! Measurements of the configuration: convergence, bytes, recovery.

pub mod bytes;
pub mod catchup;
pub mod convergence;
pub mod failover;
pub mod idle;
pub mod storm;
