//! The resources that operators declare.

mod limits;
mod policy;
mod release;
mod route;
mod service;

use serde::{Deserialize, Serialize};

use crate::ids::Name;
pub use crate::organisation::Organisation;
pub use limits::{CALLER_LIMITS, Limits};
pub use policy::{Objective, Policy, Repeatable};
pub use release::{CURRENT_RELEASE, Release};
pub use route::{Route, WeightedService};
pub use service::Service;

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
