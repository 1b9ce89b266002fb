//! Entries that can never match, or that nothing uses.
//!
//! A route cannot be hidden by another one: of the routes for a host the longest prefix wins, and
//! two routes with the same host and prefix are refused by validation.

use std::collections::BTreeSet;

use super::Remark;
use crate::config::Configuration;
use crate::ids::Name;
use crate::resource::{Resource, Route};

/// Returns a remark for each entry without effect.
pub fn check(configuration: &Configuration) -> Vec<Remark> {
    let used = Used::new(configuration);
    let has_organisations = configuration.organisations().next().is_some();
    let mut remarks = Vec::new();
    for (key, stored) in configuration.resources() {
        match &*stored.resource {
            Resource::Service(service) if !used.services.contains(&service.name) => {
                let message = "no route sends calls to this service; add one or delete the service";
                remarks.push(Remark::no_effect(key, "", message));
            }
            Resource::Policy(policy) if !used.policies.contains(&policy.name) => {
                let message = "no route uses this policy, directly or through its service; name it \
                               in one or delete it";
                remarks.push(Remark::no_effect(key, "", message));
            }
            Resource::Organisation(organisation) if organisation.keys.is_empty() => {
                let message = "no caller can belong to an organisation without keys";
                remarks.push(Remark::no_effect(key, "keys", message));
            }
            Resource::Route(route) => {
                let unweighted = route.split.iter().filter(|part| part.weight == 0);
                remarks.extend(unweighted.map(|part| {
                    let message =
                        format!("service {} has weight 0 and gets no calls", part.service);
                    Remark::no_effect(key, "split", message)
                }));
                if route.is_public() && !has_organisations {
                    let message = "without organisations, no route requires a key";
                    remarks.push(Remark::no_effect(key, "public", message));
                }
            }
            _ => {}
        }
    }
    remarks
}

/// Services and policies that calls of some route use.
struct Used<'a> {
    services: BTreeSet<&'a Name>,
    policies: BTreeSet<&'a Name>,
}

impl<'a> Used<'a> {
    fn new(configuration: &'a Configuration) -> Self {
        let services = configuration.routes().flat_map(services_of).collect();
        let policy_of = |route: &'a Route| {
            let service = configuration.service(&route.service);
            let of_service = service.and_then(|service| service.policy.as_ref());
            route.policy.as_ref().or(of_service)
        };
        let policies = configuration.routes().filter_map(policy_of).collect();
        Self { services, policies }
    }
}

fn services_of(route: &Route) -> impl Iterator<Item = &Name> {
    let parts = route.split.iter().map(|part| &part.service);
    std::iter::once(&route.service).chain(parts)
}
