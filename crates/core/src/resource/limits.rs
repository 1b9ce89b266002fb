//! Limits of callers.

use serde::{Deserialize, Serialize};

use super::{ResourceKey, ResourceKind};
use crate::ids::Name;

/// Limits of what callers may send.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Name of the limits: [`CALLER_LIMITS`].
    pub name: Name,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: u32,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time in which the head of a request must arrive, in milliseconds.
    pub head_timeout_ms: u32,
    /// Time after which an unused connection is closed, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// Name of the only [`Limits`] resource.
pub const CALLER_LIMITS: &str = "callers";

impl Limits {
    /// Kind and name of the limits of callers.
    pub fn key() -> ResourceKey {
        let name = Name::new(CALLER_LIMITS).expect("the name is valid");
        ResourceKey { kind: ResourceKind::Limits, name }
    }
}
