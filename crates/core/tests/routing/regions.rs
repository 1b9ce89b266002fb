//! Load pattern: a region is at capacity, and another one may have free slots.
//!
//! The round trip to the other region takes 60 ms, its link is billed by volume, and the load
//! known for targets there is old. An ingress therefore mostly uses targets in its own region.

use fireflylug_core::ids::CallId;
use fireflylug_core::membership::MemberStatus;
use fireflylug_core::resource::{Policy, Repeatable, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, TargetLoad};

use crate::harness::{Harness, locality, name, record};

/// Time of a seat lookup at its target, and its target latency.
const LOOKUP_MS: u32 = 300;
const LOOKUP_USEFUL_MS: u32 = 800;
/// The same for a fare call, which a lookup waits for.
const FARE_MS: u32 = 55;
const FARE_USEFUL_MS: u32 = 200;
/// Slots of each target.
const SLOTS: u32 = 4;
/// Round trip to the other region.
const ROUND_TRIP_MS: u32 = 60;

fn policy(policy: &str, deadline_ms: u32, useful_ms: u32) -> Resource {
    let policy = Policy::new(name(policy)).with_deadline_ms(deadline_ms);
    Resource::Policy(policy.with_target_latency_ms(useful_ms))
}

/// Policy of large requests, which take as long as a lookup at their target.
fn uploads() -> Resource {
    let uploads = Policy { bulk_requests: true, ..Policy::new(name("upload")) };
    let uploads = uploads.with_deadline_ms(2_500).with_repeatable(Repeatable::Never);
    Resource::Policy(uploads.with_target_latency_ms(LOOKUP_USEFUL_MS))
}

fn route(path: &str, policy: &str) -> Resource {
    let route = Route::new(name(policy), path, name("seatdesk"));
    Resource::Route(route.with_policy(name(policy)))
}

/// An ingress with one target in its region and one in another.
fn ingress() -> Harness {
    let mut harness = Harness::new(
        "host-a",
        vec![
            policy("lookup", 2_500, LOOKUP_USEFUL_MS),
            policy("fare", 600, FARE_USEFUL_MS),
            uploads(),
            Resource::Service(Service { slow_start_ms: 0, ..Service::new(name("seatdesk")) }),
            route("/lookup", "lookup"),
            route("/fare", "fare"),
            route("/upload", "upload"),
        ],
    );
    for (id, zone, region) in [("near", "z2", "r1"), ("far", "z3", "r2")] {
        harness.set_member(&format!("host-{id}"), locality(zone, region), MemberStatus::Alive);
        harness.set_target(record("seatdesk", id, &format!("host-{id}")));
    }
    harness
}

/// Lets a call arrive. Returns its id, its target and the remaining target latency that is
/// forwarded to the owner.
fn send(harness: &mut Harness, path: &str) -> (CallId, String, u32) {
    let call = harness.arrive(path, true);
    let forwarded = harness.take_effects().into_iter().find_map(|effect| match effect {
        CallEffect::Forward { head, .. } => Some((head.target.id.to_string(), head.useful_ms)),
        _ => None,
    });
    let (target, useful_ms) = forwarded.expect("the call is forwarded");
    (call, target, useful_ms)
}

fn complete_with_load(harness: &mut Harness, call: CallId, load: TargetLoad) {
    harness.step(CallEvent::Answered { call, attempt: 1, status: 200, notice: load.into() });
    harness.step(CallEvent::Ended { call, attempt: 1, is_complete: true });
    harness.take_effects();
}

/// Load report of an owner whose target has no free slot.
fn full_load(queued: u32) -> TargetLoad {
    TargetLoad {
        in_flight: SLOTS,
        queued,
        wait_ms: 100,
        rate: None,
        held_ms: LOOKUP_MS,
        capacity: None,
    }
}

/// Completes calls of a path, so that their latency is observed.
fn observe_latency(harness: &mut Harness, path: &str, took_ms: u32) {
    for _ in 0..4 {
        let (call, ..) = send(harness, path);
        harness.pass_ms(u64::from(took_ms));
        let idle = TargetLoad {
            in_flight: 0,
            queued: 0,
            wait_ms: 0,
            rate: None,
            held_ms: took_ms,
            capacity: None,
        };
        complete_with_load(harness, call, idle);
    }
}

/// Fills the target in this region with calls that do not end.
fn fill_near(harness: &mut Harness, path: &str) {
    for _ in 0..SLOTS {
        let (_, target, _) = send(harness, path);
        assert_eq!(target, "near");
    }
}

#[test]
fn a_full_region_spills_what_a_wait_would_make_late() {
    let mut harness = ingress();
    observe_latency(&mut harness, "/lookup", LOOKUP_MS);
    fill_near(&mut harness, "/lookup");

    let (_, target, _) = send(&mut harness, "/lookup");

    assert_eq!(target, "far");
}

#[test]
fn a_full_region_keeps_what_a_short_wait_serves_sooner() {
    let mut harness = ingress();
    observe_latency(&mut harness, "/fare", FARE_MS);
    fill_near(&mut harness, "/fare");

    let (_, target, _) = send(&mut harness, "/fare");

    assert_eq!(target, "near");
}

#[test]
fn a_full_region_keeps_large_requests_off_the_link_to_another_one() {
    let mut harness = ingress();
    observe_latency(&mut harness, "/upload", LOOKUP_MS);
    fill_near(&mut harness, "/upload");

    let (_, target, _) = send(&mut harness, "/upload");

    assert_eq!(target, "near");
}

/// Both regions are at capacity. The load report from the other one is 1.2 s old.
#[test]
fn a_full_region_spills_nothing_to_one_that_was_full_lately() {
    let mut harness = ingress();
    observe_latency(&mut harness, "/lookup", LOOKUP_MS);
    let near: Vec<CallId> = (0..SLOTS).map(|_| send(&mut harness, "/lookup").0).collect();
    let (far, target, _) = send(&mut harness, "/lookup");
    assert_eq!(target, "far");
    harness.pass_ms(u64::from(LOOKUP_MS + ROUND_TRIP_MS));
    near.into_iter().for_each(|call| complete_with_load(&mut harness, call, full_load(1)));
    complete_with_load(&mut harness, far, full_load(SLOTS));
    harness.pass_ms(900);
    let (call, target, _) = send(&mut harness, "/lookup");
    assert_eq!(target, "near");
    harness.pass_ms(u64::from(LOOKUP_MS));
    complete_with_load(&mut harness, call, full_load(1));

    let (_, target, _) = send(&mut harness, "/lookup");

    assert_eq!(target, "near");
}

#[test]
fn the_round_trip_to_another_region_is_subtracted_from_the_forwarded_time() {
    let mut harness = ingress();
    observe_latency(&mut harness, "/lookup", LOOKUP_MS);
    fill_near(&mut harness, "/lookup");
    let (call, _, useful_ms) = send(&mut harness, "/lookup");
    assert_eq!(useful_ms, LOOKUP_USEFUL_MS, "the round trip is not known yet");
    harness.pass_ms(u64::from(LOOKUP_MS + ROUND_TRIP_MS));
    let idle = TargetLoad {
        in_flight: 0,
        queued: 0,
        wait_ms: 0,
        rate: None,
        held_ms: LOOKUP_MS,
        capacity: None,
    };
    complete_with_load(&mut harness, call, idle);

    let (_, target, useful_ms) = send(&mut harness, "/lookup");

    assert_eq!(target, "far");
    assert_eq!(useful_ms, LOOKUP_USEFUL_MS - ROUND_TRIP_MS);
}
