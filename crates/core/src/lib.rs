//! The decisions of a fireflylug process as one pure reducer.
//!
//! [`reduce`] takes the [`State`] of a process, one [`Event`] and the time, and
//! returns the [`Effect`]s that the edges of the process carry out. Nothing in
//! this crate does I/O, reads a clock or starts a thread. Random numbers come
//! from a seeded generator in the state, so that one seed and one sequence of
//! events always give the same effects.
//!
//! Each part of the state has a module of its own: [`consensus`] (the
//! replicated log), [`config`] (resources, validation, versions),
//! [`distribution`] (versions to proxies and acknowledgements back),
//! [`membership`] (hosts and targets), [`routing`] (calls) and [`slo`]
//! (service-level burn). [`api`] answers operators.

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
