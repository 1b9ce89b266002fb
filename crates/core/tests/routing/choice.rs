//! Choice of the target for a call.

use std::collections::BTreeMap;

use fireflylug_core::ids::CallId;
use fireflylug_core::membership::{MemberStatus, TargetState};
use fireflylug_core::resource::{Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, Outcome, RefusalCode};
use rstest::rstest;

use crate::harness::{Harness, locality, name, record};

fn ingress(targets: &[(&str, &str, &str)]) -> Harness {
    let mut harness = Harness::new(
        "host-a",
        vec![
            Resource::Service(Service::new(name("seatdesk"))),
            Resource::Route(Route::new(name("seats"), "/", name("seatdesk"))),
        ],
    );
    for (id, zone, region) in targets {
        harness.set_member(&format!("host-{id}"), locality(zone, region), MemberStatus::Alive);
        harness.set_target(record("seatdesk", id, &format!("host-{id}")));
    }
    harness
}

const SIX: [(&str, &str, &str); 6] = [
    ("t1", "z1", "r1"),
    ("t2", "z1", "r1"),
    ("t3", "z1", "r1"),
    ("t4", "z1", "r1"),
    ("t5", "z1", "r1"),
    ("t6", "z1", "r1"),
];

/// Sends `calls` calls one after another, each of which succeeds if `succeeds` returns true for
/// its target. Returns the number of attempts by target.
fn run(
    harness: &mut Harness,
    calls: u32,
    succeeds: impl Fn(&str) -> bool,
) -> BTreeMap<String, u32> {
    let mut attempts = BTreeMap::new();
    for _ in 0..calls {
        harness.arrive("/", true);
        while let Some(begun) = harness.take_attempts().pop() {
            *attempts.entry(begun.target.clone()).or_default() += 1;
            harness.pass_ms(2);
            if succeeds(&begun.target) {
                harness.complete(begun.call, begun.attempt);
            } else {
                let code = RefusalCode::ConnectionLost;
                harness.fail(begun.call, begun.attempt, code, Outcome::Unknown);
            }
        }
    }
    attempts
}

#[test]
fn a_zone_that_fills_up_spills_before_it_queues() {
    let mut harness = ingress(&[("near", "z1", "r1"), ("region", "z2", "r1")]);

    (0..8).for_each(|_| _ = harness.arrive("/", true));

    let order: Vec<String> = harness.take_attempts().into_iter().map(|b| b.target).collect();
    assert_eq!(order[..4], ["near"; 4]);
    assert_eq!(order[4..], ["region"; 4]);
}

#[rstest]
#[case(MemberStatus::Suspect)]
#[case(MemberStatus::Leaving)]
#[case(MemberStatus::Dead)]
fn an_owner_that_is_not_alive_gets_no_new_work(#[case] status: MemberStatus) {
    let mut harness = ingress(&SIX[..2]);
    harness.set_member("host-t1", locality("z1", "r1"), status);

    let attempts = run(&mut harness, 50, |_| true);

    assert_eq!(attempts.keys().collect::<Vec<_>>(), ["t2"]);
}

#[rstest]
#[case(TargetState::Draining)]
#[case(TargetState::Gone)]
fn a_target_that_is_not_ready_gets_no_new_work(#[case] state: TargetState) {
    let mut harness = ingress(&SIX[..2]);
    let mut leaving = record("seatdesk", "t1", "host-t1");
    leaving.state = state;
    harness.set_target(leaving);

    let attempts = run(&mut harness, 50, |_| true);

    assert_eq!(attempts.keys().collect::<Vec<_>>(), ["t2"]);
}

#[test]
fn a_target_whose_owner_is_unknown_is_never_chosen() {
    let mut harness = ingress(&SIX[..1]);
    harness.set_target(record("seatdesk", "t2", "host-nobody"));

    let attempts = run(&mut harness, 50, |_| true);

    assert_eq!(attempts.keys().collect::<Vec<_>>(), ["t1"]);
}

#[test]
fn a_failing_target_is_ejected_and_later_receives_calls_again() {
    let mut harness = ingress(&SIX);

    let before = run(&mut harness, 300, |target| target != "t3");
    let during = run(&mut harness, 300, |target| target != "t3");
    harness.pass_ms(60_000);
    run(&mut harness, 50, |_| true);
    harness.pass_ms(10_000);
    let after = run(&mut harness, 600, |_| true);

    assert!((1..=4).contains(&before["t3"]), "{before:?}");
    assert!(during.get("t3").copied().unwrap_or(0) <= 3, "{during:?}");
    assert!(after["t3"] > 30, "{after:?}");
}

#[test]
fn no_more_than_half_of_the_targets_are_ejected() {
    let mut harness = ingress(&SIX);

    run(&mut harness, 600, |_| false);

    let metrics = harness.routing.metrics();
    let ejected = metrics.targets.iter().filter(|target| target.is_ejected).count();
    assert_eq!(ejected, 3);
}

#[test]
fn the_only_target_is_never_ejected() {
    let mut harness = ingress(&SIX[..1]);

    run(&mut harness, 100, |_| false);

    assert!(!harness.routing.metrics().targets[0].is_ejected);
}

#[test]
fn a_lookup_at_a_silent_target_is_tried_elsewhere() {
    let mut harness = ingress(&SIX);
    run(&mut harness, 100, |_| true);
    let stuck = stuck_call(&mut harness, "t4");

    let mut moved_to = None;
    for _ in 0..20 {
        run_at_other_targets(&mut harness, "t4");
        harness.pass_ms(10);
        moved_to = moved_to.or_else(|| cancel_and_move(&mut harness, stuck));
    }

    assert!(moved_to.is_some_and(|target| target != "t4"));
}

/// Sends calls until one is at `target`; completes the others.
fn stuck_call(harness: &mut Harness, target: &str) -> CallId {
    loop {
        harness.arrive("/", true);
        let begun = harness.take_attempts().remove(0);
        if begun.target == target {
            return begun.call;
        }
        harness.pass_ms(2);
        harness.complete(begun.call, begun.attempt);
        harness.take_effects();
    }
}

fn run_at_other_targets(harness: &mut Harness, silent: &str) {
    harness.arrive("/", true);
    let begun = harness.take_attempts().remove(0);
    if begun.target != silent {
        harness.pass_ms(1);
        harness.complete(begun.call, begun.attempt);
    }
}

/// Carries out a cancellation of `call`. Returns the target of its retry.
fn cancel_and_move(harness: &mut Harness, call: CallId) -> Option<String> {
    let cancelled = CallEffect::Cancel { call };
    if !harness.take_effects().contains(&cancelled) {
        return None;
    }
    harness.fail(call, 1, RefusalCode::DeadlineExceeded, Outcome::Unknown);
    let begun = harness.take_attempts();
    begun.into_iter().find(|begun| begun.call == call).map(|begun| begun.target)
}

// Guards against a request that is broken off at a silent target after the stop signal and then
// refused, because no other target admits it.
#[test]
fn a_stopping_process_ends_no_attempt_because_its_target_is_silent() {
    let mut harness = ingress(&SIX);
    run(&mut harness, 100, |_| true);
    let stuck = stuck_call(&mut harness, "t4");
    harness.stop();

    let mut moved_to = None;
    for _ in 0..20 {
        run_at_other_targets(&mut harness, "t4");
        harness.pass_ms(10);
        moved_to = moved_to.or_else(|| cancel_and_move(&mut harness, stuck));
    }
    harness.complete(stuck, 1);

    assert_eq!(moved_to, None);
    let relayed =
        |effect: &CallEffect| matches!(effect, CallEffect::Relay { call, .. } if *call == stuck);
    assert!(harness.take_effects().iter().any(relayed));
}

#[test]
fn overdue_attempts_are_not_retried_in_an_outage() {
    let mut harness = ingress(&SIX);
    run(&mut harness, 100, |_| true);
    (0..20).for_each(|_| _ = harness.arrive("/", true));
    harness.take_effects();

    harness.pass_ms(5_000);

    assert_eq!(harness.take_effects(), []);
}

#[test]
fn a_cold_target_gets_a_growing_share() {
    let mut harness = ingress(&SIX[..3]);
    harness.pass_ms(10_000);
    harness.set_member("host-new", locality("z1", "r1"), MemberStatus::Alive);
    harness.set_target(record("seatdesk", "new", "host-new"));

    let cold = run(&mut harness, 200, |_| true).get("new").copied().unwrap_or(0);
    harness.pass_ms(10_000);
    let warm = run(&mut harness, 200, |_| true)["new"];

    assert!(cold * 3 < warm, "cold {cold}, warm {warm}");
}

/// A target that announces the duration of its slow start has its full share after that time.
#[test]
fn the_slow_start_announced_by_a_target_is_used() {
    let mut harness = ingress(&SIX[..3]);
    harness.pass_ms(10_000);
    harness.set_member("host-new", locality("z1", "r1"), MemberStatus::Alive);
    let mut new = record("seatdesk", "new", "host-new");
    new.cold_ms = 1_000;
    harness.set_target(new);

    let cold = run(&mut harness, 100, |_| true).get("new").copied().unwrap_or(0);
    harness.pass_ms(1_000);
    let warm = run(&mut harness, 200, |_| true)["new"];

    assert!(cold * 3 < warm, "cold {cold}, warm {warm}");
    assert!(warm >= 40, "{warm} of 200 calls, where 50 are an equal share");
}

#[test]
fn the_longest_prefix_of_the_named_host_wins() {
    let mut harness = Harness::new(
        "host-a",
        vec![
            Resource::Service(Service::new(name("any"))),
            Resource::Service(Service::new(name("long"))),
            Resource::Service(Service::new(name("hosted"))),
            Resource::Route(Route::new(name("r1"), "/", name("any"))),
            Resource::Route(Route::new(name("r2"), "/seats", name("long"))),
            Resource::Route(Route::new(name("r3"), "/seats", name("hosted")).with_host("x.in")),
        ],
    );
    ["any", "long", "hosted"].iter().for_each(|s| harness.set_target(record(s, s, "host-a")));

    harness.arrive("/seatsale", true);
    harness.arrive("/seats/7", true);
    harness.arrive_with("/seats/7", |head| head.host = "x.in".into());

    let order: Vec<String> = harness.take_attempts().into_iter().map(|b| b.target).collect();
    assert_eq!(order, ["any", "long", "hosted"]);
}

/// Low load: a slow target in the same zone must not delay calls if a target in the region is
/// faster.
#[test]
fn a_slow_near_target_leaves_calls_to_a_faster_one_in_the_region() {
    let policy = fireflylug_core::resource::Policy::new(name("quick")).with_target_latency_ms(800);
    let mut harness = ingress(&[("near", "z1", "r1"), ("region", "z2", "r1")]);
    harness.configure(vec![
        Resource::Policy(policy),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/", name("seatdesk"))),
    ]);
    let mut counts = BTreeMap::new();

    for _ in 0..60 {
        harness.arrive("/", true);
        let begun = harness.take_attempts().remove(0);
        harness.pass_ms(if begun.target == "near" { 600 } else { 100 });
        harness.complete(begun.call, begun.attempt);
        harness.take_effects();
        *counts.entry(begun.target).or_insert(0) += 1;
    }

    assert!(counts["region"] > 3 * counts["near"], "{counts:?}");
}

/// The services of a split route receive their shares, also over few calls.
#[rstest]
#[case(200, 10)]
#[case(1_000, 10)]
fn a_split_keeps_its_weights_over_few_calls(#[case] calls: u32, #[case] percent: u32) {
    let part = |service: &str, weight| fireflylug_core::resource::WeightedService {
        service: name(service),
        weight,
    };
    let split = vec![part("seatdesk", 100 - percent), part("bookbook", percent)];
    let mut harness = Harness::new(
        "host-a",
        vec![
            Resource::Service(Service::new(name("seatdesk"))),
            Resource::Service(Service::new(name("bookbook"))),
            Resource::Route(Route::new(name("seats"), "/", name("seatdesk")).with_split(split)),
        ],
    );
    ["seatdesk", "bookbook"].iter().for_each(|s| harness.set_target(record(s, s, "host-a")));

    let attempts = run(&mut harness, calls, |_| true);

    let expected = calls * percent / 100;
    assert!(attempts["bookbook"].abs_diff(expected) <= 2, "{attempts:?}");
}

/// A target stops responding. Its latency estimate lags, because it is based on responses; the
/// calls that wait there show the problem earlier (incident inc-5d4b).
#[test]
fn a_target_that_stopped_answering_gets_no_more_calls_while_others_answer() {
    let mut harness = ingress(&SIX[..3]);
    run(&mut harness, 100, |_| true);

    let mut stuck = 0;
    for _ in 0..60 {
        harness.arrive("/", false);
        let begun = harness.take_attempts().remove(0);
        harness.pass_ms(10);
        if begun.target == "t2" {
            stuck += 1;
        } else {
            harness.complete(begun.call, begun.attempt);
        }
        harness.take_effects();
    }

    assert!((1..=2).contains(&stuck), "{stuck} calls at the silent target");
}
