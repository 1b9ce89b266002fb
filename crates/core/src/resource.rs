//! The resources that operators declare: services, routes and policies.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::Name;
pub use crate::organisation::Organisation;

/// Kind of a declared resource.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum ResourceKind {
    /// A named group of targets.
    Service,
    /// A rule that sends calls to a service.
    Route,
    /// Limits, retries, deadline and objective of calls.
    Policy,
    /// Limits of what callers may send.
    Limits,
    /// The number that operators assign to the whole configuration.
    Release,
    /// An organisation whose callers are recognised by their keys.
    Organisation,
}

/// Kind and name of one resource.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, unique within the kind.
    pub name: Name,
}

impl std::fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A declared resource with its name.
///
/// In JSON: `{"kind": "service", "name": "seatdesk", ...fields}`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Resource {
    /// A named group of targets.
    Service(Service),
    /// A rule that sends calls to a service.
    Route(Route),
    /// Limits, retries, deadline and objective of calls.
    Policy(Policy),
    /// Limits of what callers may send.
    Limits(Limits),
    /// The number that operators assign to the whole configuration.
    Release(Release),
    /// An organisation whose callers are recognised by their keys.
    Organisation(Organisation),
}

impl Resource {
    /// Kind and name of the resource.
    pub fn key(&self) -> ResourceKey {
        let (kind, name) = match self {
            Self::Service(service) => (ResourceKind::Service, &service.name),
            Self::Route(route) => (ResourceKind::Route, &route.name),
            Self::Policy(policy) => (ResourceKind::Policy, &policy.name),
            Self::Limits(limits) => (ResourceKind::Limits, &limits.name),
            Self::Release(release) => (ResourceKind::Release, &release.name),
            Self::Organisation(organisation) => (ResourceKind::Organisation, &organisation.name),
        };
        ResourceKey { kind, name: name.clone() }
    }
}

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
            limit_failing_work: false,
        }
    }

    /// Sets the policy of calls whose route has none.
    pub fn with_policy(mut self, policy: Name) -> Self {
        self.policy = Some(policy);
        self
    }
}

/// A rule that sends calls to a service. Among the routes that match a call, one
/// with a host precedes one without; then the longest path prefix wins.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host of the call, in lower case and without port. If absent, any host matches.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<CompactString>,
    /// Prefix of the call's path, matched by whole segments. Starts with `/`. A prefix
    /// that ends with `/` matches only paths below it.
    pub path_prefix: CompactString,
    /// Service that receives the calls.
    pub service: Name,
    /// Services among which the calls are split by weight. Empty if `service` receives
    /// all calls; otherwise `service` is one of these.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<WeightedService>,
    /// Policy of the calls. If absent, the policy of the service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Name>,
    /// Whether calls need no key. Absent means false; it is kept apart from false so that a
    /// configuration reads back as it was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub public: Option<bool>,
}

impl Route {
    /// Creates a route for any host.
    pub fn new(name: Name, path_prefix: &str, service: Name) -> Self {
        Self {
            name,
            host: None,
            path_prefix: path_prefix.into(),
            service,
            split: Vec::new(),
            policy: None,
            public: None,
        }
    }

    /// Whether calls need no key.
    pub fn is_public(&self) -> bool {
        self.public == Some(true)
    }

    /// Sets whether calls need no key.
    pub fn with_public(mut self, is_public: bool) -> Self {
        self.public = Some(is_public);
        self
    }

    /// Splits the calls among services by weight.
    pub fn with_split(mut self, split: Vec<WeightedService>) -> Self {
        self.split = split;
        self
    }

    /// Restricts the route to one host.
    pub fn with_host(mut self, host: &str) -> Self {
        self.host = Some(host.into());
        self
    }

    /// Sets the policy of the calls.
    pub fn with_policy(mut self, policy: Name) -> Self {
        self.policy = Some(policy);
        self
    }
}

/// One part of a route's split.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Service that receives this part of the calls.
    pub service: Name,
    /// Share of the calls, relative to the other weights.
    pub weight: u32,
}

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

/// The number that operators assign to the whole configuration. Changed only by a
/// change set that names the previous number.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Name of the release: [`CURRENT_RELEASE`].
    pub name: Name,
    /// The number.
    pub number: u64,
}

/// Name of the only [`Release`] resource.
pub const CURRENT_RELEASE: &str = "current";

impl Release {
    /// Creates the release with this number.
    pub fn new(number: u64) -> Self {
        Self { name: release_name(), number }
    }

    /// Kind and name of the release.
    pub fn key() -> ResourceKey {
        ResourceKey { kind: ResourceKind::Release, name: release_name() }
    }
}

fn release_name() -> Name {
    Name::new(CURRENT_RELEASE).expect("the name is valid")
}

impl Limits {
    /// Kind and name of the limits of callers.
    pub fn key() -> ResourceKey {
        let name = Name::new(CALLER_LIMITS).expect("the name is valid");
        ResourceKey { kind: ResourceKind::Limits, name }
    }
}
