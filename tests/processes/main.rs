//! Real processes behind fault-injecting proxies.
//!
//! Each test starts the daemon's own binary on ports that the system gives, and
//! waits on conditions, never for fixed times.

mod calls;
mod garbage;
mod outages;
mod support;
mod whole_path;
