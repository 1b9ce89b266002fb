//! Availability zones, names and configurations for tests.

use std::sync::Arc;

use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::ids::{Name, Version};
use fireflylug_core::resource::{Resource, Service};

/// One availability zone of a mesh, with its numbers of hosts and control replicas.
#[derive(Clone, Debug)]
pub struct Zone {
    pub region: &'static str,
    pub name: &'static str,
    pub hosts: usize,
    pub control: usize,
}

/// Creates a [`Zone`].
pub fn zone(region: &'static str, name: &'static str, hosts: usize, control: usize) -> Zone {
    Zone { region, name, hosts, control }
}

/// Two regions with two availability zones each, as in the users' deployment.
/// Each zone has `hosts` hosts.
pub fn two_regions(hosts: usize) -> Vec<Zone> {
    vec![
        zone("kochi", "kochi-aluva", hosts, 1),
        zone("kochi", "kochi-ernakulam", hosts, 1),
        zone("kozhikode", "kzd-feroke", hosts, 1),
        zone("kozhikode", "kzd-mavoor", hosts, 0),
    ]
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A configuration version with these services, each paired with the version that
/// last changed it.
pub fn configuration(version: u64, services: &[(String, u64)]) -> Arc<Configuration> {
    let stored = services.iter().map(|(service, changed)| {
        let resource = Arc::new(Resource::Service(Service::new(name(service))));
        (resource.key(), StoredResource { version: Version(*changed), resource })
    });
    Arc::new(Configuration::new(Version(version), stored.collect()))
}

/// Consecutive versions. Each adds a service, and every third one also deletes an
/// older service.
pub fn versions(count: u64) -> Vec<Arc<Configuration>> {
    let mut services: Vec<(String, u64)> = Vec::new();
    let mut versions = Vec::new();
    for version in 1..=count {
        services.push((format!("service-{version}"), version));
        if version % 3 == 0 {
            services.remove(services.len() / 2);
        }
        versions.push(configuration(version, &services));
    }
    versions
}
