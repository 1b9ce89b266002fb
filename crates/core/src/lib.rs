//! The logic of a fireflylug process as one deterministic reducer.
//!
//! [`reduce`] takes the [`State`] of a process, one [`Event`] and the time, and
//! returns the [`Effect`]s that the I/O code around it executes. Nothing in this
//! crate does I/O, reads a clock or starts a thread. Random numbers come from a
//! seeded generator in the state, so that the same seed and the same sequence of
//! events always produce the same effects.
//!
//! Each part of the state has its own module: [`consensus`] (the
//! replicated log), [`config`] (resources, validation, versions),
//! [`distribution`] (versions to proxies, acknowledgements from proxies),
//! [`membership`] (hosts and targets), [`organisation`] (callers and their keys), [`quota`] (quotas
//! of organisations), [`routing`] (calls) and [`slo`] (service-level burn). [`api`] responds to
//! requests of operators.

pub mod api;
pub mod collections;
pub mod config;
pub mod consensus;
pub mod context;
pub mod distribution;
pub mod event;
pub mod ids;
pub mod membership;
pub mod message;
pub mod organisation;
pub mod quota;
pub mod reducer;
pub mod resource;
pub mod routing;
pub mod slo;
pub mod state;
pub mod time;

pub use event::{Effect, Event};
pub use reducer::reduce;
pub use state::State;
pub use time::Instant;
