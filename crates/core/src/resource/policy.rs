//! Policies of calls.

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// Which calls may run more than once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Repeatable {
    /// No call: each reaches at most one target, once.
    Never,
    /// Calls with a safe method: GET, HEAD and OPTIONS.
    #[default]
    SafeMethods,
    /// Every call.
    Always,
}

/// Limits, retries, deadline and objective of calls.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Name of the policy.
    pub name: Name,
    /// Deadline of a call, in milliseconds from its arrival at the first proxy to the end of its
    /// response. A response that has begun is cut off shortly after it.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Which calls may run more than once.
    #[serde(default)]
    pub repeatable: Repeatable,
    /// Most attempts of one call, the first included.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u8,
    /// Most calls that are queued at an owner for the slots of one target.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Service-level objective of the calls.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub objective: Option<Objective>,
    /// Time within which a response is of full use to its caller, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_latency_ms: Option<u32>,
    /// Priority when calls compete for a target. 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Whether responses are large, so that waiting for a near target pays off.
    #[serde(default)]
    pub bulk: bool,
    /// Whether requests are large, so that waiting for a near target pays off.
    #[serde(default)]
    pub bulk_requests: bool,
    /// Whether a call that may run more than once is retried at another target after a
    /// server error.
    #[serde(default)]
    pub retry_server_errors: bool,
}

const fn default_deadline_ms() -> u32 {
    10_000
}

const fn default_max_attempts() -> u8 {
    3
}

const fn default_max_queued() -> u32 {
    16
}

const fn default_max_body_bytes() -> u64 {
    8 * 1024 * 1024
}

impl Policy {
    /// Creates a policy with default limits.
    pub fn new(name: Name) -> Self {
        Self {
            name,
            deadline_ms: default_deadline_ms(),
            repeatable: Repeatable::default(),
            max_attempts: default_max_attempts(),
            max_queued: default_max_queued(),
            max_body_bytes: default_max_body_bytes(),
            objective: None,
            target_latency_ms: None,
            priority: 0,
            bulk: false,
            bulk_requests: false,
            retry_server_errors: false,
        }
    }

    /// Sets the time within which a response is of full use, in milliseconds.
    pub fn with_target_latency_ms(mut self, target_latency_ms: u32) -> Self {
        self.target_latency_ms = Some(target_latency_ms);
        self
    }

    /// Sets the priority when calls compete for a target.
    pub fn with_priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the deadline, in milliseconds from a call's arrival.
    pub fn with_deadline_ms(mut self, deadline_ms: u32) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets which calls may run more than once.
    pub fn with_repeatable(mut self, repeatable: Repeatable) -> Self {
        self.repeatable = repeatable;
        self
    }

    /// Sets the service-level objective.
    pub fn with_objective(mut self, objective: Objective) -> Self {
        self.objective = Some(objective);
        self
    }
}

/// A service-level objective over the last 30 days.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of calls that must be answered successfully, in parts per million.
    pub availability_ppm: u32,
    /// Time within which a call counts as fast, in milliseconds.
    pub latency_ms: u32,
    /// Share of calls that must be fast, in parts per million.
    pub latency_ppm: u32,
}
