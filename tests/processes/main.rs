//! Real processes behind fault-injecting proxies.
//!
//! Each test starts the real daemon binary on ports assigned by the operating
//! system, and waits for conditions, never for fixed times.

mod calls;
mod end_to_end;
mod endless;
mod garbage;
mod organisations;
mod outages;
mod stops;
mod support;
