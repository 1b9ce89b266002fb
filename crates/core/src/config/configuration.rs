//! One immutable version of the complete configuration.

use std::collections::BTreeMap;
use std::sync::{Arc, OnceLock};

use serde::{Deserialize, Serialize};

use crate::ids::{ContentHash, Name, Version};
use crate::resource::{
    Limits, Organisation, Policy, Release, Resource, ResourceKey, ResourceKind, Route, Service,
};

/// A resource with the version that last changed it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Version of the configuration that last changed the resource.
    pub version: Version,
    /// The resource.
    pub resource: Arc<Resource>,
}

/// One version of the complete configuration, with the hash of its content.
#[derive(Clone, Debug)]
pub struct Configuration {
    version: Version,
    /// Computed on first use: a replica that replays its log passes through many
    /// versions whose hash is never needed.
    hash: OnceLock<ContentHash>,
    resources: BTreeMap<ResourceKey, StoredResource>,
}

impl Eq for Configuration {}

impl PartialEq for Configuration {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version && self.resources == other.resources
    }
}

impl Default for Configuration {
    fn default() -> Self {
        Self::new(Version(0), BTreeMap::new())
    }
}

impl Configuration {
    /// Creates a version with these resources.
    pub fn new(version: Version, resources: BTreeMap<ResourceKey, StoredResource>) -> Self {
        Self { version, hash: OnceLock::new(), resources }
    }

    /// The version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Hash over the version and every resource. The first call takes time in proportion
    /// to the size of the resources.
    pub fn hash(&self) -> ContentHash {
        *self.hash.get_or_init(|| content_hash(self.version, &self.resources))
    }

    /// All resources, ordered by kind and name.
    pub fn resources(&self) -> &BTreeMap<ResourceKey, StoredResource> {
        &self.resources
    }

    /// The resource with this key.
    pub fn get(&self, key: &ResourceKey) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// The service with this name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        match self.find(ResourceKind::Service, name)? {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The policy with this name.
    pub fn policy(&self, name: &Name) -> Option<&Policy> {
        match self.find(ResourceKind::Policy, name)? {
            Resource::Policy(policy) => Some(policy),
            _ => None,
        }
    }

    /// Release number that operators assigned to the configuration; 0 if there is none.
    pub fn release_number(&self) -> u64 {
        match self.get(&Release::key()).map(|stored| &*stored.resource) {
            Some(Resource::Release(release)) => release.number,
            _ => 0,
        }
    }

    /// Limits of callers, if they are declared.
    pub fn limits(&self) -> Option<&Limits> {
        match self.get(&Limits::key()).map(|stored| &*stored.resource) {
            Some(Resource::Limits(limits)) => Some(limits),
            _ => None,
        }
    }

    /// All services, ordered by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.resources.values().filter_map(|stored| match &*stored.resource {
            Resource::Service(service) => Some(service),
            _ => None,
        })
    }

    /// All routes, ordered by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.resources.values().filter_map(|stored| match &*stored.resource {
            Resource::Route(route) => Some(route),
            _ => None,
        })
    }

    /// All organisations, ordered by name.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        // Organisations are the last kind, so a configuration without one is recognised at once.
        let declared = self.resources.values().rev();
        let declared = declared.map_while(|stored| match &*stored.resource {
            Resource::Organisation(organisation) => Some(organisation),
            _ => None,
        });
        declared.collect::<Vec<_>>().into_iter().rev()
    }

    fn find(&self, kind: ResourceKind, name: &Name) -> Option<&Resource> {
        let key = ResourceKey { kind, name: name.clone() };
        self.resources.get(&key).map(|stored| &*stored.resource)
    }
}

/// Hashes the version and the resources in the order of their keys.
fn content_hash(
    version: Version,
    resources: &BTreeMap<ResourceKey, StoredResource>,
) -> ContentHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&version.0.to_le_bytes());
    let stored: Vec<_> = resources.values().collect();
    ciborium::into_writer(&stored, &mut hasher).expect("writing to a hasher does not fail");
    let mut hash = [0; 16];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    ContentHash(hash)
}
