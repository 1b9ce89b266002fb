//! Routes.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::Name;

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
