//! Route table: maps the host and path of a request to a service and a policy.

use std::sync::Arc;

use compact_str::CompactString;

use crate::collections::HashMap;
use crate::config::Configuration;
use crate::ids::Name;
use crate::resource::{Policy, Repeatable, Route, WeightedService};
use crate::routing::call::CallClass;

/// Rule for the calls of one route.
#[derive(Clone, Debug)]
pub(super) struct RouteRule {
    /// Name of the route.
    pub route: Name,
    /// Path prefix; empty matches every path. A prefix that ends with a slash matches only
    /// paths below it.
    prefix: CompactString,
    /// Service that receives the calls.
    pub service: Name,
    /// Weighted services over which the calls are distributed; empty if one service receives
    /// all calls.
    pub split: Vec<WeightedService>,
    /// Policy; the default policy if neither the route nor the service names one.
    pub policy: Policy,
    /// Class of the calls, for latency estimates.
    pub class: CallClass,
    /// Whether the calls need no key of an organisation.
    pub is_public: bool,
}

/// The routes of one configuration version, longest prefix first.
#[derive(Debug, Default)]
pub(super) struct RouteTable {
    by_host: HashMap<CompactString, Vec<Arc<RouteRule>>>,
    any_host: Vec<Arc<RouteRule>>,
}

impl RouteTable {
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for route in configuration.routes() {
            let rule = Arc::new(rule(configuration, route));
            match &route.host {
                Some(host) => table.by_host.entry(host.clone()).or_default().push(rule),
                None => table.any_host.push(rule),
            }
        }
        for rules in table.by_host.values_mut().chain([&mut table.any_host]) {
            // The sort is stable: routes with the same prefix stay in the order of their names.
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        table
    }

    /// The rule for a request. A rule for its host takes precedence over one for any host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let matches = |rule: &&Arc<RouteRule>| prefix_matches(&rule.prefix, path);
        let with_host = self.by_host.get(host).and_then(|rules| rules.iter().find(matches));
        with_host.or_else(|| self.any_host.iter().find(matches))
    }
}

fn rule(configuration: &Configuration, route: &Route) -> RouteRule {
    let of_service = configuration.service(&route.service).and_then(|s| s.policy.as_ref());
    let name = route.policy.as_ref().or(of_service);
    let policy = name
        .and_then(|name| configuration.policy(name))
        .cloned()
        .unwrap_or_else(|| Policy::new(route.service.clone()));
    let prefix = if route.path_prefix == "/" { "" } else { route.path_prefix.as_str() };
    let hash = blake3::hash(policy.name.as_str().as_bytes());
    RouteRule {
        route: route.name.clone(),
        prefix: prefix.into(),
        service: route.service.clone(),
        split: route.split.clone(),
        class: CallClass(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]])),
        policy,
        is_public: route.is_public(),
    }
}

/// Matches whole path segments: `/seats` matches `/seats/7` but not `/seatsale`; `/seats/` does
/// not match `/seats`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    if prefix.ends_with('/') {
        return path.starts_with(prefix);
    }
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl RouteRule {
    /// Whether a call of this rule may run more than once.
    pub fn is_repeatable(&self, is_safe_method: bool) -> bool {
        match self.policy.repeatable {
            Repeatable::Never => false,
            Repeatable::SafeMethods => is_safe_method,
            Repeatable::Always => true,
        }
    }
}
