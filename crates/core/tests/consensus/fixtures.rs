//! Identities and change requests of the tests.

use fireflylug_core::config::{ChangeRequest, ChangeSet, Operation};
use fireflylug_core::context::{Addresses, Identity};
use fireflylug_core::ids::{IdempotencyKey, Locality, Name, NodeId, Version};
use fireflylug_core::resource::{Resource, ResourceKey, ResourceKind, Service};

/// Identity of a control replica.
pub fn identity(at: usize) -> Identity {
    let host = name(&format!("control-{at}"));
    let any = "127.0.0.1:1".parse().expect("an address");
    Identity {
        id: NodeId::of_host(&host),
        host,
        locality: Locality { region: name("kochi"), availability_zone: name("kochi-aluva") },
        incarnation: 1,
        started_unix_ms: 1_000_000,
        addresses: Addresses { peers: any, forward: any, api: any, calls: any },
        control: true,
        is_link_slow: false,
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

/// Change request that puts a service, with the service name as idempotency key.
pub fn put_service(service: &str) -> ChangeRequest {
    put_service_at(service, 0, None, service)
}

/// Change request that puts a service with a distinguishing value, at an expected version and
/// under an idempotency key.
pub fn put_service_at(
    service: &str,
    slow_start_ms: u32,
    if_version: Option<Version>,
    key: &str,
) -> ChangeRequest {
    let resource = Resource::Service(Service { slow_start_ms, ..Service::new(name(service)) });
    let operations = vec![Operation::Put { resource, if_version }];
    ChangeRequest {
        key: Some(IdempotencyKey::new(key).expect("a valid key")),
        changes: ChangeSet { operations },
    }
}

pub fn service_key(service: &str) -> ResourceKey {
    ResourceKey { kind: ResourceKind::Service, name: name(service) }
}
