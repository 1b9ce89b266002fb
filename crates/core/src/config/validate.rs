//! Validation of a change set: fields of resources, references between resources,
//! route matches and the number of resources.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use compact_str::CompactString;

use super::{ChangeSet, Finding, FindingCode, Operation, StoredResource};
use crate::ids::Name;
use crate::resource::{
    CALLER_LIMITS, Limits, Objective, Policy, Resource, ResourceKey, ResourceKind, Route, Service,
};

/// Maximum length of a path prefix, in bytes.
pub const MAX_PATH_PREFIX_BYTES: usize = 256;

/// Maximum length of the host of a route, in bytes.
pub const MAX_HOST_BYTES: usize = 253;

/// Maximum time in a field of a resource, in milliseconds.
pub const MAX_TIME_MS: u32 = 3_600_000;

/// Maximum number of attempts of one call.
pub const MAX_ATTEMPTS: u8 = 16;

/// Maximum queue length of one target, in calls.
pub const MAX_QUEUED: u32 = 100_000;

/// Maximum value of the limit of a request body, in bytes.
pub const MAX_BODY_BYTES: u64 = 1024 * 1024 * 1024;

/// Maximum number of resources in a configuration.
pub const MAX_RESOURCES: usize = 8_192;

/// Maximum weight of one part of a traffic split.
pub const MAX_WEIGHT: u32 = 1_000_000;

/// Parts per million in 100 percent.
const PPM: u32 = 1_000_000;

pub(super) type Resources = BTreeMap<ResourceKey, StoredResource>;

/// Checks the fields of each put resource, independently of other resources.
pub(super) fn check_fields(changes: &ChangeSet, findings: &mut Vec<Finding>) {
    for (index, operation) in changes.operations.iter().enumerate() {
        let Operation::Put { resource, .. } = operation else { continue };
        let mut fields = FieldChecker { index, findings };
        match resource {
            Resource::Service(service) => fields.check_service(service),
            Resource::Route(route) => fields.check_route(route),
            Resource::Policy(policy) => fields.check_policy(policy),
            Resource::Limits(limits) => fields.check_limits(limits),
            Resource::Organisation(organisation) => fields.check_organisation(organisation),
            Resource::Release(_) => {
                fields.add("kind", "the release number changes only with a replacement".to_owned());
            }
        }
    }
}

/// Checks that the resources that the change set puts refer only to resources that
/// exist afterwards, and that no resource refers to one that it deletes.
pub(super) fn check_references(changes: &ChangeSet, next: &Resources, findings: &mut Vec<Finding>) {
    let mut deleted = BTreeMap::new();
    for (index, operation) in changes.operations.iter().enumerate() {
        match operation {
            Operation::Put { resource, .. } => {
                for (field, key) in references(resource) {
                    if !next.contains_key(&key) {
                        findings.push(Finding::new(
                            FindingCode::Dangling,
                            format!("operations[{index}].resource.{field}"),
                            format!("{key} does not exist; put it in the same change set"),
                        ));
                    }
                }
            }
            Operation::Delete { resource, .. } => {
                deleted.insert(resource.clone(), index);
            }
            Operation::Release(_) => {}
        }
    }
    if !deleted.is_empty() {
        check_references_to_deleted(changes, next, &deleted, findings);
    }
}

fn check_references_to_deleted(
    changes: &ChangeSet,
    next: &Resources,
    deleted: &BTreeMap<ResourceKey, usize>,
    findings: &mut Vec<Finding>,
) {
    // A put resource that refers to a deleted one already has a finding.
    let changed_keys: BTreeSet<_> = changes.operations.iter().map(Operation::key).collect();
    for (key, stored) in next.iter().filter(|(key, _)| !changed_keys.contains(*key)) {
        for (_, referenced) in references(&stored.resource) {
            if let Some(index) = deleted.get(&referenced) {
                findings.push(Finding::new(
                    FindingCode::Dangling,
                    format!("operations[{index}].resource"),
                    format!("{key} still refers to {referenced}; change or delete it too"),
                ));
            }
        }
    }
}

/// Checks the number of resources in the configuration.
pub(super) fn check_resource_count(next: &Resources, findings: &mut Vec<Finding>) {
    if next.len() > MAX_RESOURCES {
        let count = next.len();
        let message = format!("there would be {count} resources; use at most {MAX_RESOURCES}");
        findings.push(Finding::new(FindingCode::OutOfRange, "operations", message));
    }
}

/// Checks that no two routes have the same host and path prefix.
pub(super) fn check_routes(changes: &ChangeSet, next: &Resources, findings: &mut Vec<Finding>) {
    let put_routes = changes.operations.iter().filter_map(|operation| match operation {
        Operation::Put { resource: Resource::Route(route), .. } => Some(match_key(route)),
        _ => None,
    });
    let mut routes_by_match: BTreeMap<(Option<&str>, &str), Vec<&Name>> =
        put_routes.map(|key| (key, Vec::new())).collect();
    if routes_by_match.is_empty() {
        return;
    }
    for stored in next.values() {
        if let Resource::Route(route) = &*stored.resource
            && let Some(names) = routes_by_match.get_mut(&match_key(route))
        {
            names.push(&route.name);
        }
    }
    for (index, operation) in changes.operations.iter().enumerate() {
        let Operation::Put { resource: Resource::Route(route), .. } = operation else { continue };
        let same_match = routes_by_match.get(&match_key(route)).into_iter().flatten();
        for other in same_match.filter(|name| ***name != route.name) {
            findings.push(Finding::new(
                FindingCode::Duplicate,
                format!("operations[{index}].resource.path_prefix"),
                format!("route/{other} has the same host and path prefix; change one of them"),
            ));
        }
    }
}

fn match_key(route: &Route) -> (Option<&str>, &str) {
    (route.host.as_deref(), route.path_prefix.as_str())
}

/// Returns the resources that a resource refers to, each with the referring field.
fn references(resource: &Resource) -> Vec<(&'static str, ResourceKey)> {
    let policy = |name: &Option<Name>| {
        let name = name.clone()?;
        Some(("policy", ResourceKey { kind: ResourceKind::Policy, name }))
    };
    match resource {
        Resource::Service(service) => policy(&service.policy).into_iter().collect(),
        Resource::Route(route) => {
            let name = route.service.clone();
            let service = ("service", ResourceKey { kind: ResourceKind::Service, name });
            let parts = route.split.iter().map(|part| {
                let name = part.service.clone();
                ("split", ResourceKey { kind: ResourceKind::Service, name })
            });
            std::iter::once(service).chain(parts).chain(policy(&route.policy)).collect()
        }
        Resource::Policy(_)
        | Resource::Limits(_)
        | Resource::Release(_)
        | Resource::Organisation(_) => Vec::new(),
    }
}

/// Checks the fields of one put resource and collects the findings.
pub(super) struct FieldChecker<'a> {
    index: usize,
    findings: &'a mut Vec<Finding>,
}

impl FieldChecker<'_> {
    fn check_service(&mut self, service: &Service) {
        self.check_range("retry_budget_percent", service.retry_budget_percent, 0..=100);
        self.check_range("max_ejected_percent", service.max_ejected_percent, 0..=100);
        self.check_range("slow_start_ms", service.slow_start_ms, 0..=MAX_TIME_MS);
    }

    fn check_route(&mut self, route: &Route) {
        if let Some(host) = &route.host
            && !is_valid_host(host)
        {
            let remedy =
                "use lower-case labels of a-z, 0-9 and '-', separated by dots, without a port";
            self.add("host", format!("host {host:?} is invalid: {remedy}"));
        }
        self.check_split(route);
        if !is_valid_path_prefix(&route.path_prefix) {
            let prefix: CompactString =
                route.path_prefix.chars().take(MAX_PATH_PREFIX_BYTES).collect();
            let remedy = "start it with '/' and use no empty, '.' or '..' segment, no query and \
                          no fragment";
            self.add("path_prefix", format!("path prefix {prefix:?} is invalid: {remedy}"));
        }
    }

    fn check_split(&mut self, route: &Route) {
        if route.split.is_empty() {
            return;
        }
        if route.split.iter().all(|part| part.weight == 0) {
            self.add("split", "every weight is 0; give at least one part a weight".to_owned());
        }
        if !route.split.iter().any(|part| part.service == route.service) {
            self.add("split", format!("service {} is not a part of the split", route.service));
        }
        for part in &route.split {
            self.check_range("split.weight", part.weight, 0..=MAX_WEIGHT);
        }
    }

    fn check_limits(&mut self, limits: &Limits) {
        if limits.name.as_str() != CALLER_LIMITS {
            self.add("name", format!("limits must be named {CALLER_LIMITS}"));
        }
        self.check_range("max_body_bytes", limits.max_body_bytes, 0..=MAX_BODY_BYTES);
        self.check_range("head_timeout_ms", limits.head_timeout_ms, 1..=MAX_TIME_MS);
        self.check_range("idle_timeout_ms", limits.idle_timeout_ms, 1..=MAX_TIME_MS);
    }

    fn check_policy(&mut self, policy: &Policy) {
        self.check_range("deadline_ms", policy.deadline_ms, 1..=MAX_TIME_MS);
        self.check_range("max_attempts", policy.max_attempts, 1..=MAX_ATTEMPTS);
        self.check_range("max_queued", policy.max_queued, 0..=MAX_QUEUED);
        self.check_range("max_body_bytes", policy.max_body_bytes, 0..=MAX_BODY_BYTES);
        if let Some(target_latency_ms) = policy.target_latency_ms {
            self.check_range("target_latency_ms", target_latency_ms, 1..=MAX_TIME_MS);
        }
        if let Some(objective) = &policy.objective {
            self.check_objective(objective);
        }
    }

    fn check_objective(&mut self, objective: &Objective) {
        // An objective of 100 percent leaves no error budget.
        let allowed_ppm = 1..=PPM - 1;
        self.check_range(
            "objective.availability_ppm",
            objective.availability_ppm,
            allowed_ppm.clone(),
        );
        self.check_range("objective.latency_ppm", objective.latency_ppm, allowed_ppm);
        self.check_range("objective.latency_ms", objective.latency_ms, 1..=MAX_TIME_MS);
    }

    fn check_range<T>(&mut self, field: &str, value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + std::fmt::Display,
    {
        if !range.contains(&value) {
            let (min, max) = (range.start(), range.end());
            self.add(field, format!("{field} is {value}; use {min} to {max}"));
        }
    }

    pub(super) fn add(&mut self, field: &str, message: String) {
        let place = format!("operations[{}].resource.{field}", self.index);
        self.findings.push(Finding::new(FindingCode::OutOfRange, place, message));
    }
}

fn is_valid_host(host: &str) -> bool {
    let is_label = |label: &str| {
        !label.is_empty()
            && !label.starts_with('-')
            && !label.ends_with('-')
            && label.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
    };
    host.len() <= MAX_HOST_BYTES && host.split('.').all(is_label)
}

fn is_valid_path_prefix(prefix: &str) -> bool {
    let is_segment = |segment: &str| {
        !matches!(segment, "" | "." | "..")
            && segment.bytes().all(|b| b.is_ascii_graphic() && b != b'?' && b != b'#')
    };
    let Some(path) = prefix.strip_prefix('/') else { return false };
    let path = path.strip_suffix('/').unwrap_or(path);
    prefix.len() <= MAX_PATH_PREFIX_BYTES && (path.is_empty() || path.split('/').all(is_segment))
}
