//! Processor time of the call path of the reducer for one call, at the largest
//! intended size: 610 targets, each with its own owner, in 66 services.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant as Clock;

use fireflylug_core::Instant;
use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::ids::{CallId, Locality, NodeId, TargetId, Version};
use fireflylug_core::membership::{
    Member, MemberStatus, MembershipChange, TargetRecord, TargetState,
};
use fireflylug_core::quota::Quotas;
use fireflylug_core::resource::{Resource, Route, Service};
use fireflylug_core::routing::{CallEvent, CallHead, Routing, RoutingSettings, TargetLoad};
use fireflylug_core::slo::Slo;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::mesh::name;

const SERVICES: usize = 66;
const TARGETS: usize = 610;
/// Number of calls in flight besides the measured one.
const IN_FLIGHT: u64 = 200;
const CALLS: u64 = 200_000;
/// Simulated time between two calls, in microseconds.
const PAUSE_US: u64 = 100;

/// Returns the time per call at its ingress, in microseconds: arrival, target selection,
/// response and end.
pub fn ingress_us(seed: u64) -> f64 {
    let me = identity("host-0");
    let mut routing = Routing::new(RoutingSettings::default());
    let mut slo = Slo::new();
    let mut quotas = Quotas::new();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut effects = Vec::new();
    populate(&mut routing, &me, &mut rng);
    let mut now = Instant::from_ms(60_000);
    let paths: Vec<String> = (0..SERVICES).map(|service| format!("/s{service}/x")).collect();

    let started_at = Clock::now();
    for index in 0..CALLS + IN_FLIGHT {
        now = now.plus_us(PAUSE_US);
        let mut cx = Context { now, rng: &mut rng, me: &me, effects: &mut effects };
        let head = CallHead::new("seats.example", &paths[index as usize % SERVICES]);
        routing.step(
            &mut cx,
            &mut slo,
            &mut quotas,
            CallEvent::Arrived { call: CallId(index), head },
        );
        if let Some(call) = index.checked_sub(IN_FLIGHT).map(CallId) {
            let load = TargetLoad {
                in_flight: 1,
                queued: 0,
                wait_ms: 0,
                rate: None,
                held_ms: 0,
                capacity: None,
            };
            let answered =
                CallEvent::Answered { call, attempt: 1, status: 200, notice: load.into() };
            routing.step(&mut cx, &mut slo, &mut quotas, answered);
            let ended = CallEvent::Ended { call, attempt: 1, is_complete: true };
            routing.step(&mut cx, &mut slo, &mut quotas, ended);
        }
        effects.clear();
    }
    started_at.elapsed().as_secs_f64() * 1e6 / CALLS as f64
}

pub(super) fn identity(host: &str) -> Identity {
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    Identity {
        id: NodeId::of_host(&name(host)),
        host: name(host),
        locality: Locality { region: name("r1"), availability_zone: name("z1") },
        incarnation: 1,
        started_unix_ms: 0,
        addresses: Addresses { peers: any, forward: any, api: any, calls: any },
        control: false,
        is_link_slow: false,
    }
}

/// Adds the configuration, the members and the targets to the routing state.
fn populate(routing: &mut Routing, me: &Identity, rng: &mut SmallRng) {
    let mut effects = Vec::new();
    let mut cx = Context { now: Instant::ZERO, rng, me, effects: &mut effects };
    routing.configure(&mut cx, Arc::new(configuration()));
    for index in 0..TARGETS {
        let mut member = Member::of(&identity(&format!("host-{}", index + 1)));
        member.status = MemberStatus::Alive;
        let record = TargetRecord {
            target: TargetId {
                service: name(&format!("s{}", index % SERVICES)),
                id: name(&format!("t{index}")),
            },
            owner: member.id,
            incarnation: 1,
            sequence: 1,
            address: member.addresses.calls,
            slots: 12,
            connections: 120,
            state: TargetState::Ready,
            load_percent: None,
            cold_ms: 0,
            order: None,
            has_departed: false,
        };
        routing.membership_changed(&mut cx, &MembershipChange::Member(member));
        routing.membership_changed(&mut cx, &MembershipChange::Target(record));
    }
}

fn configuration() -> Configuration {
    let version = Version(1);
    let mut all = BTreeMap::new();
    for service in 0..SERVICES {
        let service = name(&format!("s{service}"));
        let route = Route::new(service.clone(), &format!("/{service}"), service.clone());
        for resource in [Resource::Service(Service::new(service)), Resource::Route(route)] {
            let resource = Arc::new(resource);
            all.insert(resource.key(), StoredResource { version, resource });
        }
    }
    Configuration::new(version, all)
}
