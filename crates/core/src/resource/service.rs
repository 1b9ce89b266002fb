//! Services.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// A named group of targets that answer the same calls.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Policy of calls whose route has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Name>,
    /// Retries allowed as a share of first attempts, in percent.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u8,
    /// Largest share of the targets that may be ejected at once, in percent.
    #[serde(default = "default_max_ejected_percent")]
    pub max_ejected_percent: u8,
    /// Time over which a new target ramps up to its full share of calls, in milliseconds.
    #[serde(default = "default_slow_start_ms")]
    pub slow_start_ms: u32,
    /// Most connections that each target accepts from all callers together. If absent,
    /// the number that the target announces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<u32>,
    /// Path of the health check of a target.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<CompactString>,
    /// Whether the limit of concurrent calls and the share of calls of each target follow its
    /// observed capacity. If absent, they do if the configuration declares an organisation or
    /// the targets state how long work takes on their machines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adaptive_limit: Option<bool>,
    /// Whether each target receives fewer requests while they end in server errors because the
    /// calls that they make are refused for lack of capacity. Off by default: on a deployment
    /// the limit reduced what callers received (docs/design/admission.md).
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub limit_failing_work: bool,
}

const fn default_retry_budget_percent() -> u8 {
    8
}

const fn default_max_ejected_percent() -> u8 {
    50
}

const fn default_slow_start_ms() -> u32 {
    5_000
}

impl Service {
    /// Creates a service with default limits.
    pub fn new(name: Name) -> Self {
        Self {
            name,
            policy: None,
            retry_budget_percent: default_retry_budget_percent(),
            max_ejected_percent: default_max_ejected_percent(),
            slow_start_ms: default_slow_start_ms(),
            max_connections: None,
            health_path: None,
            adaptive_limit: None,
            limit_failing_work: false,
        }
    }

    /// Sets the policy of calls whose route has none.
    pub fn with_policy(mut self, policy: Name) -> Self {
        self.policy = Some(policy);
        self
    }
}
