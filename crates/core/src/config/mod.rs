//! Versions of the whole configuration: resources, change sets, validation.
//!
//! A [`Configuration`] is immutable once made; a change set makes the next
//! version of it, whole, or fails with every [`Finding`].

mod change;
mod configuration;
mod finding;

pub use change::{ChangeRequest, ChangeSet, Operation};
pub use configuration::{Configuration, StoredResource};
pub use finding::{Finding, FindingCode};
