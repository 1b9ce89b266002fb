//! A fault-injecting TCP proxy and a target stand-in for tests and measurements.
//!
//! A [`FaultProxy`] is placed between two processes. The [`Link`] that it simulates
//! can be changed while they run. Several proxies may share one link, such as the
//! link between two regions. A [`TargetStandIn`] answers calls over plain
//! HTTP/1.1 and counts how often each one ran. An [`EndlessTarget`] sends bytes without end.

mod client;
mod endless;
mod link;
mod proxy;
mod target;
mod target_options;

pub use client::{HttpClient, HttpResponse, Lines};
pub use endless::EndlessTarget;
pub use link::{Direction, Faults, Link, Mode};
pub use proxy::FaultProxy;
pub use target::TargetStandIn;
pub use target_options::{ResetStage, TargetOptions};
