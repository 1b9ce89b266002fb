//! Identities, change requests and started clusters of the tests.

use fireflylug_core::config::{ChangeRequest, ChangeSet, Operation};
use fireflylug_core::consensus::ChangeOutcome;
use fireflylug_core::context::{Addresses, Identity};
use fireflylug_core::ids::{IdempotencyKey, Locality, Name, NodeId, Version};
use fireflylug_core::resource::{Resource, ResourceKey, ResourceKind, Service};

use crate::cluster::Cluster;

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

pub fn cluster_with_leader(count: usize, seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::new(count, count, seed);
    cluster.run_for(1_500);
    let leader = wait_for_leader(&mut cluster, None);
    (cluster, leader)
}

/// Runs until a replica other than `not` leads.
pub fn wait_for_leader(cluster: &mut Cluster, not: Option<usize>) -> usize {
    let leads = |cluster: &Cluster| cluster.leader().is_some_and(|leader| Some(leader) != not);
    assert!(cluster.run_until(3_000, leads), "no leader within 3 s");
    cluster.leader().expect("a leader")
}

pub fn propose(cluster: &mut Cluster, node: usize, service: &str) -> ChangeOutcome {
    let origin = cluster.propose(node, put_service(service));
    cluster.run_until(4_000, |cluster| cluster.outcomes.contains_key(&origin));
    cluster.outcomes[&origin].clone()
}

pub fn is_accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

pub fn followers(count: usize, leader: usize) -> Vec<usize> {
    (0..count).filter(|node| *node != leader).collect()
}
