//! Load pattern: a region is full, and another one may have room.
//!
//! The way there takes 60 ms and its link is paid by volume, and what an ingress
//! knows of targets there is old: it mostly asks those at hand.

use fireflylug_core::ids::CallId;
use fireflylug_core::membership::MemberStatus;
use fireflylug_core::resource::{Policy, Repeatable, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, GateLoad};

use crate::bench::{Bench, locality, name, record};

/// Time for a seat lookup at its target, and within which it is of full use.
const LOOKUP_MS: u32 = 300;
const LOOKUP_USEFUL_MS: u32 = 800;
/// The same for a fare, which a lookup waits for.
const FARE_MS: u32 = 55;
const FARE_USEFUL_MS: u32 = 200;
/// Slots of each target.
const SLOTS: u32 = 4;
/// To the other region and back.
const WAY_MS: u32 = 60;

fn policy(policy: &str, deadline_ms: u32, useful_ms: u32) -> Resource {
    let policy = Policy::new(name(policy)).with_deadline_ms(deadline_ms);
    Resource::Policy(policy.with_target_latency_ms(useful_ms))
}

/// Large requests, which take as long as a lookup at their target.
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
fn ingress() -> Bench {
    let mut bench = Bench::new(
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
        bench.member(&format!("host-{id}"), locality(zone, region), MemberStatus::Alive);
        bench.target(record("seatdesk", id, &format!("host-{id}")));
    }
    bench
}

/// A call arrives. Returns it with its target and the time within which the owner
/// may take its answer to be of full use.
fn send(bench: &mut Bench, path: &str) -> (CallId, String, u32) {
    let call = bench.arrive(path, true);
    let forwarded = bench.take().into_iter().find_map(|effect| match effect {
        CallEffect::Forward { head, .. } => Some((head.target.id.to_string(), head.useful_ms)),
        _ => None,
    });
    let (target, useful_ms) = forwarded.expect("the call is forwarded");
    (call, target, useful_ms)
}

fn answer(bench: &mut Bench, call: CallId, load: GateLoad) {
    bench.step(CallEvent::Answered { call, attempt: 1, status: 200, load: Some(load) });
    bench.step(CallEvent::Ended { call, attempt: 1, whole: true });
    bench.take();
}

/// What the owner of a target without a free slot tells.
fn full(queued: u32) -> GateLoad {
    GateLoad { in_flight: SLOTS, queued, wait_ms: 100, held_ms: LOOKUP_MS }
}

/// Lets calls of a path be answered, so that their time is known.
fn learn(bench: &mut Bench, path: &str, took_ms: u32) {
    for _ in 0..4 {
        let (call, ..) = send(bench, path);
        bench.pass_ms(u64::from(took_ms));
        let idle = GateLoad { in_flight: 0, queued: 0, wait_ms: 0, held_ms: took_ms };
        answer(bench, call, idle);
    }
}

/// Fills the target at hand with calls that do not end.
fn fill_near(bench: &mut Bench, path: &str) {
    for _ in 0..SLOTS {
        let (_, target, _) = send(bench, path);
        assert_eq!(target, "near");
    }
}

#[test]
fn a_full_region_spills_what_a_wait_would_make_late() {
    let mut bench = ingress();
    learn(&mut bench, "/lookup", LOOKUP_MS);
    fill_near(&mut bench, "/lookup");

    let (_, target, _) = send(&mut bench, "/lookup");

    assert_eq!(target, "far");
}

#[test]
fn a_full_region_keeps_what_a_short_wait_serves_sooner() {
    let mut bench = ingress();
    learn(&mut bench, "/fare", FARE_MS);
    fill_near(&mut bench, "/fare");

    let (_, target, _) = send(&mut bench, "/fare");

    assert_eq!(target, "near");
}

#[test]
fn a_full_region_keeps_large_requests_off_the_link_to_another_one() {
    let mut bench = ingress();
    learn(&mut bench, "/upload", LOOKUP_MS);
    fill_near(&mut bench, "/upload");

    let (_, target, _) = send(&mut bench, "/upload");

    assert_eq!(target, "near");
}

/// Both regions are full. What the other one said of that is 1.2 s old.
#[test]
fn a_full_region_spills_nothing_to_one_that_was_full_lately() {
    let mut bench = ingress();
    learn(&mut bench, "/lookup", LOOKUP_MS);
    let near: Vec<CallId> = (0..SLOTS).map(|_| send(&mut bench, "/lookup").0).collect();
    let (far, target, _) = send(&mut bench, "/lookup");
    assert_eq!(target, "far");
    bench.pass_ms(u64::from(LOOKUP_MS + WAY_MS));
    near.into_iter().for_each(|call| answer(&mut bench, call, full(1)));
    answer(&mut bench, far, full(SLOTS));
    bench.pass_ms(900);
    let (call, target, _) = send(&mut bench, "/lookup");
    assert_eq!(target, "near");
    bench.pass_ms(u64::from(LOOKUP_MS));
    answer(&mut bench, call, full(1));

    let (_, target, _) = send(&mut bench, "/lookup");

    assert_eq!(target, "near");
}

#[test]
fn an_owner_in_another_region_is_told_what_the_way_leaves_of_the_time() {
    let mut bench = ingress();
    learn(&mut bench, "/lookup", LOOKUP_MS);
    fill_near(&mut bench, "/lookup");
    let (call, _, useful_ms) = send(&mut bench, "/lookup");
    assert_eq!(useful_ms, LOOKUP_USEFUL_MS, "nothing is known of the way yet");
    bench.pass_ms(u64::from(LOOKUP_MS + WAY_MS));
    let idle = GateLoad { in_flight: 0, queued: 0, wait_ms: 0, held_ms: LOOKUP_MS };
    answer(&mut bench, call, idle);

    let (_, target, useful_ms) = send(&mut bench, "/lookup");

    assert_eq!(target, "far");
    assert_eq!(useful_ms, LOOKUP_USEFUL_MS - WAY_MS);
}
