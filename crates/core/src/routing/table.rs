//! Which service and policy a call belongs to.

use std::sync::Arc;

use compact_str::CompactString;

use crate::collections::HashMap;
use crate::config::Configuration;
use crate::ids::Name;
use crate::resource::{Policy, Repeatable, Route};

/// Limits of the calls of one route.
#[derive(Clone, Debug)]
pub(super) struct RouteRule {
    /// Path prefix without a trailing slash; empty for every path.
    prefix: CompactString,
    /// Service that answers.
    pub service: Name,
    /// Policy; defaults where neither route nor service names one.
    pub policy: Policy,
}

/// The routes of one version, longest prefix first.
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
            // A stable sort: routes of one prefix stay in the order of their names.
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        table
    }

    /// The rule for a call: one with its host goes before one without.
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
    let prefix = route.path_prefix.trim_end_matches('/').into();
    RouteRule { prefix, service: route.service.clone(), policy }
}

/// Matches by whole segments: `/seats` matches `/seats/7` and not `/seatsale`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
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
