//! Configuration versions: resources, change sets and validation.
//!
//! A [`Configuration`] is immutable. A change set is applied atomically: it produces
//! the next version, or it fails with every [`Finding`] and changes nothing.

mod apply;
mod change;
mod configuration;
mod finding;
mod json;
pub mod lint;
mod organisations;
mod replacement;
mod validate;

pub use change::{ChangeRequest, ChangeSet, Operation, ReleaseStep};
pub use configuration::{Configuration, StoredResource};
pub use finding::{Finding, FindingCode};
pub use json::{deserialize_object, parse_change_set, parse_resource};
pub use replacement::{Replacement, narrow_to_differences};
pub use validate::{
    MAX_ATTEMPTS, MAX_BODY_BYTES, MAX_HOST_BYTES, MAX_PATH_PREFIX_BYTES, MAX_QUEUED, MAX_RESOURCES,
    MAX_TIME_MS,
};
