//! A restarted process must not serve calls with an older version than one that it
//! acknowledged before the restart. Its neighbours report that version to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::consensus::RecoveredDisk;
use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::distribution::{
    Distribution, DistributionMessage, DistributionSettings, HeldVersion,
};
use fireflylug_core::ids::{CallId, ContentHash, Locality, Name, NodeId, Version};
use fireflylug_core::membership::{
    Member, Membership, MembershipMessage, MembershipSettings, Records,
};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::resource::{Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, CallHead, RefusalCode};
use fireflylug_core::state::{CoreSettings, State};
use fireflylug_core::{Effect, Event, Instant, reduce};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn identity(host: &str) -> Identity {
    let address = "127.0.0.1:1".parse().unwrap();
    let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
    Identity {
        id: NodeId::of_host(&name(host)),
        host: name(host),
        locality,
        incarnation: 1,
        started_unix_ms: 1,
        addresses: Addresses { peers: address, forward: address, api: address, calls: address },
        control: false,
        is_link_slow: false,
    }
}

fn configuration(version: u64) -> Arc<Configuration> {
    let service = Resource::Service(Service::new(name("seatdesk")));
    let route = Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk")));
    let stored = |resource: Resource| {
        let key = resource.key();
        (key, StoredResource { version: Version(version), resource: Arc::new(resource) })
    };
    let resources = BTreeMap::from([stored(service), stored(route)]);
    Arc::new(Configuration::new(Version(version), resources))
}

/// A snapshot of a version, as sent by a neighbour.
fn snapshot_update(version: u64) -> DistributionMessage {
    let me = identity("neighbour");
    let membership = Membership::new(MembershipSettings::default(), &me);
    let mut neighbour = Distribution::new(DistributionSettings::default());
    let mut rng = SmallRng::seed_from_u64(1);
    let mut effects = Vec::new();
    let now = Instant::from_ms(1);
    let mut cx = Context { now, rng: &mut rng, me: &me, effects: &mut effects };
    neighbour.publish(&mut cx, configuration(version));
    let fetch = DistributionMessage::Fetch { version: Version(0), needs_snapshot: true };
    neighbour.step(&mut cx, &membership, NodeId::of_host(&name("restarted")), fetch);
    let sent = effects.into_iter().find_map(|effect| match effect {
        Effect::Send { message: PeerMessage::Distribution(message), .. } => match message {
            DistributionMessage::Update(_) => Some(message),
            _ => None,
        },
        _ => None,
    });
    sent.expect("the neighbour sent no snapshot")
}

fn restarted_state() -> State {
    State::new(identity("restarted"), CoreSettings::default(), RecoveredDisk::default(), 1)
}

fn receive(state: &mut State, message: DistributionMessage, now_ms: u64) {
    let from = NodeId::of_host(&name("neighbour"));
    let event = Event::PeerMessage { from, message: PeerMessage::Distribution(message) };
    reduce(state, event, Instant::from_ms(now_ms));
}

fn remembered_version_report(version: u64) -> DistributionMessage {
    DistributionMessage::HeldVersion(HeldVersion {
        version: Version(version),
        hash: ContentHash::default(),
        acknowledged_version: Some(Version(version)),
        is_ready: true,
    })
}

/// The refusal code of a call that arrives at `now_ms`, if the call is refused.
fn refusal(state: &mut State, call: u64, now_ms: u64) -> Option<RefusalCode> {
    refusal_at(state, call, "/seats/1", now_ms)
}

/// The same for a call to any path.
fn refusal_at(state: &mut State, call: u64, path: &str, now_ms: u64) -> Option<RefusalCode> {
    let head = CallHead::new("any", path);
    let event = Event::Call(CallEvent::Arrived { call: CallId(call), head });
    let effects = reduce(state, event, Instant::from_ms(now_ms));
    effects.into_iter().find_map(|effect| match effect {
        Effect::Call(CallEffect::Refuse { refusal, .. }) => Some(refusal.code),
        _ => None,
    })
}

#[rstest]
fn calls_are_not_served_below_the_version_that_neighbours_remember() {
    let mut state = restarted_state();
    receive(&mut state, remembered_version_report(5), 10);

    receive(&mut state, snapshot_update(3), 20);
    reduce(&mut state, Event::Tick, Instant::from_ms(10_000));
    let below_remembered = refusal(&mut state, 1, 10_001);
    receive(&mut state, snapshot_update(5), 10_002);
    reduce(&mut state, Event::Tick, Instant::from_ms(20_000));
    let at_remembered = refusal(&mut state, 2, 20_001);

    assert_eq!(below_remembered, Some(RefusalCode::NoConfiguration));
    assert_eq!(
        at_remembered,
        Some(RefusalCode::NoTarget),
        "the route exists, but no target is announced"
    );
}

/// Tells a process of a control replica, which never answers it.
fn join_silent_control_replica(state: &mut State, now_ms: u64) {
    let replica = Identity { control: true, ..identity("neighbour") };
    let records = Records { members: vec![Member::of(&replica)], targets: Vec::new() };
    let message = PeerMessage::Membership(MembershipMessage::Records(records));
    let event = Event::PeerMessage { from: replica.id, message };
    reduce(state, event, Instant::from_ms(now_ms));
}

// Guards against a 404 for a route that was added while this process received no versions.
#[rstest]
#[case::control_replica_is_silent(true, RefusalCode::OutdatedConfiguration)]
#[case::there_is_no_control_replica(false, RefusalCode::NoRoute)]
fn an_unknown_route_is_not_denied_by_a_process_that_receives_no_versions(
    #[case] has_silent_replica: bool,
    #[case] expected: RefusalCode,
) {
    let mut state = restarted_state();
    receive(&mut state, remembered_version_report(3), 10);
    receive(&mut state, snapshot_update(3), 20);
    if has_silent_replica {
        join_silent_control_replica(&mut state, 30);
    }
    reduce(&mut state, Event::Tick, Instant::from_ms(10_000));

    let unknown = refusal_at(&mut state, 1, "/added-since", 10_001);
    let known = refusal_at(&mut state, 2, "/seats/1", 10_002);

    assert_eq!(unknown, Some(expected));
    assert_eq!(known, Some(RefusalCode::NoTarget));
}
