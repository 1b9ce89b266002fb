//! Slots, queue, deadlines, refusals and the graceful stop.

use fireflylug_core::ids::CallId;
use fireflylug_core::membership::TargetState;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, Outcome, RefusalCode, RoutingSettings};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::bench::{Bench, name, record, refusal};

fn resources() -> Vec<Resource> {
    let policy = Policy::new(name("quick")).with_deadline_ms(2_000);
    vec![
        Resource::Policy(policy),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
    ]
}

/// A proxy that owns one target with 4 slots.
fn owner() -> Bench {
    let mut bench = Bench::new("host-a", resources());
    bench.target(record("seatdesk", "one", "host-a"));
    bench
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn slots_are_never_exceeded(#[case] seed: u64) {
    let mut bench = owner();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut running: Vec<CallId> = Vec::new();
    let mut most = 0;

    for _ in 0..2_000 {
        match rng.random_range(0..8) {
            0..=1 => _ = bench.arrive("/seats", rng.random()),
            2..=3 => _ = bench.arrive_forwarded("seatdesk", "one", 500),
            4 => bench.pass_ms(rng.random_range(0..50)),
            end if !running.is_empty() => {
                let call = running.swap_remove(rng.random_range(0..running.len()));
                match end {
                    5 => bench.complete(call, 1),
                    6 => bench.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown),
                    _ => bench.step(CallEvent::CallerGone { call }),
                }
            }
            _ => {}
        }
        for effect in bench.take() {
            match effect {
                CallEffect::Dispatch { call, .. } => running.push(call),
                CallEffect::Refuse { call, .. } => running.retain(|other| *other != call),
                _ => {}
            }
        }
        most = most.max(running.len());
        assert!(running.len() <= 4, "{} calls at a target with 4 slots", running.len());
    }

    assert_eq!(most, 4);
}

#[test]
fn a_slot_goes_to_the_call_that_waits_longest() {
    let mut bench = owner();
    let calls: Vec<CallId> = (0..6).map(|_| bench.arrive("/seats", true)).collect();
    assert_eq!(bench.take_attempts().len(), 4);

    bench.complete(calls[2], 1);

    let begun: Vec<CallId> = bench.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, [calls[4]]);
}

#[test]
fn a_call_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut bench = owner();
    let calls: Vec<CallId> = (0..4).map(|_| bench.arrive("/seats", true)).collect();
    bench.pass_ms(200);
    calls.iter().for_each(|call| bench.complete(*call, 1));
    (0..4).for_each(|_| _ = bench.arrive("/seats", true));
    bench.take();

    let call = bench.arrive_forwarded("seatdesk", "one", 150);

    let expected = refusal(RefusalCode::Overloaded, Outcome::NotRun);
    assert_eq!(bench.take_refusals(), [(call, expected)]);
}

#[test]
fn the_queue_is_no_longer_than_the_slots() {
    let mut bench = owner();
    (0..8).for_each(|_| _ = bench.arrive("/seats", true));
    bench.take();

    let call = bench.arrive("/seats", true);

    let expected = refusal(RefusalCode::Overloaded, Outcome::NotRun);
    assert_eq!(bench.take_refusals(), [(call, expected)]);
}

#[test]
fn a_deadline_says_whether_the_call_may_have_run() {
    let mut bench = owner();
    let calls: Vec<CallId> = (0..5).map(|_| bench.arrive("/seats", false)).collect();

    bench.pass_ms(2_100);

    let refusals = bench.take_refusals();
    let outcome_of = |call| refusals.iter().find(|(id, _)| *id == call).map(|(_, r)| r.outcome);
    assert_eq!(outcome_of(calls[0]), Some(Outcome::Unknown));
    assert_eq!(outcome_of(calls[4]), Some(Outcome::NotRun));
    assert!(bench.routing.is_idle());
}

#[test]
fn a_draining_target_finishes_its_calls_and_takes_none() {
    let mut bench = owner();
    let calls: Vec<CallId> = (0..5).map(|_| bench.arrive("/seats", true)).collect();
    bench.take();

    let mut draining = record("seatdesk", "one", "host-a");
    draining.state = TargetState::Draining;
    bench.target(draining);
    let late = bench.arrive_forwarded("seatdesk", "one", 500);

    let refused = bench.take_refusals();
    let gone = refusal(RefusalCode::TargetGone, Outcome::NotRun);
    assert_eq!(refused, [(calls[4], gone), (late, gone)]);
    bench.complete(calls[0], 1);
    assert!(matches!(bench.take()[..], [CallEffect::Relay { .. }]));
}

#[test]
fn without_configuration_nothing_runs() {
    let mut bench = Bench::without_configuration("host-a", RoutingSettings::default());
    bench.target(record("seatdesk", "one", "host-a"));

    let call = bench.arrive("/seats", true);

    let expected = refusal(RefusalCode::NoConfiguration, Outcome::NotRun);
    assert_eq!(bench.take_refusals(), [(call, expected)]);
}

#[test]
fn a_stop_finishes_calls_in_flight_and_then_refuses() {
    let mut bench = owner();
    let call = bench.arrive("/seats", true);

    bench.stop();
    bench.pass_ms(1_200);
    let late = bench.arrive("/seats", true);

    let expected = refusal(RefusalCode::Stopping, Outcome::NotRun);
    assert_eq!(bench.take_refusals(), [(late, expected)]);
    assert!(!bench.routing.is_idle());
    bench.complete(call, 1);
    assert!(bench.routing.is_idle());
}

#[test]
fn a_crowded_proxy_keeps_room_for_the_other_services() {
    let settings = RoutingSettings { max_calls: 8, ..RoutingSettings::default() };
    let mut bench = Bench::without_configuration("host-a", settings);
    let mut all = resources();
    all.push(Resource::Service(Service::new(name("bookbook"))));
    all.push(Resource::Route(Route::new(name("book"), "/book", name("bookbook"))));
    bench.configure(all);
    bench.target(record("seatdesk", "one", "host-a"));
    bench.target(record("bookbook", "one", "host-a"));
    bench.arrive("/book", true);
    (0..6).for_each(|_| _ = bench.arrive("/seats", true));
    bench.take();

    let (seats, book) = (bench.arrive("/seats", true), bench.arrive("/book", true));

    let effects = bench.take();
    assert!(matches!(effects[0], CallEffect::Refuse { call, .. } if call == seats));
    assert!(matches!(effects[1], CallEffect::Dispatch { call, .. } if call == book));
}

#[test]
fn a_caller_that_hangs_up_cancels_the_calls_made_for_its_call() {
    let mut bench = owner();
    let parent = bench.arrive_forwarded("seatdesk", "one", 400);
    let chain = bench.take_attempts()[0].chain;
    let child = bench.arrive_with("/seats", |head| head.chain = chain);
    bench.take();

    bench.step(CallEvent::CallerGone { call: parent });

    let expected = refusal(RefusalCode::ChainCancelled, Outcome::Unknown);
    assert_eq!(bench.take_refusals(), [(child, expected)]);
    assert!(bench.routing.is_idle());
}

/// Drivers pull manifests: large answers on a host whose link is slow.
#[test]
fn large_answers_on_a_slow_link_leave_slots_to_other_calls() {
    let settings = RoutingSettings { is_link_slow: true, ..RoutingSettings::default() };
    let mut bench = Bench::without_configuration("host-a", settings);
    let pull = Policy { bulk: true, ..Policy::new(name("pull")) };
    let mut all = resources();
    all.push(Resource::Policy(pull));
    all.push(Resource::Route(
        Route::new(name("sheets"), "/sheets", name("seatdesk")).with_policy(name("pull")),
    ));
    bench.configure(all);
    let mut target = record("seatdesk", "one", "host-a");
    (target.slots, target.connections) = (6, 6);
    bench.target(target);

    let pulls: Vec<CallId> = (0..4).map(|_| bench.arrive("/sheets", true)).collect();
    let seats: Vec<CallId> = (0..4).map(|_| bench.arrive("/seats", true)).collect();

    let begun: Vec<CallId> = bench.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, [pulls[0], pulls[1], seats[0], seats[1], seats[2], seats[3]]);
    bench.complete(pulls[0], 1);
    let next: Vec<CallId> = bench.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(next, [pulls[2]]);
}

/// A running call waits for what it called: shorter target latency goes first.
#[test]
fn a_call_whose_answer_is_of_use_for_a_shorter_time_goes_first() {
    let mut bench = owner();
    let quick = Policy::new(name("fares")).with_deadline_ms(2_000).with_target_latency_ms(200);
    let slow = Policy::new(name("quick")).with_deadline_ms(2_000).with_target_latency_ms(1_000);
    bench.configure(vec![
        Resource::Policy(quick),
        Resource::Policy(slow),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        Resource::Route(
            Route::new(name("fares"), "/fares", name("seatdesk")).with_policy(name("fares")),
        ),
    ]);
    let running: Vec<CallId> = (0..4).map(|_| bench.arrive("/seats", true)).collect();
    let waiting = bench.arrive("/seats", true);
    let called = bench.arrive("/fares", true);
    bench.take();

    bench.complete(running[0], 1);
    bench.complete(running[1], 1);

    let begun: Vec<CallId> = bench.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, [called, waiting]);
}

/// Many users come at once: nobody is kept waiting for an answer that is of no
/// use any more, and a call of a higher rank goes ahead.
#[test]
fn in_a_burst_calls_wait_only_as_long_as_their_answers_are_of_use() {
    let mut bench = owner();
    let urgent = Policy::new(name("urgent")).with_deadline_ms(5_000).with_target_latency_ms(700);
    let usual = Policy::new(name("quick"))
        .with_deadline_ms(5_000)
        .with_target_latency_ms(450)
        .with_priority(1);
    bench.configure(vec![
        Resource::Policy(urgent),
        Resource::Policy(usual),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        Resource::Route(
            Route::new(name("book"), "/book", name("seatdesk")).with_policy(name("urgent")),
        ),
    ]);
    let warm: Vec<CallId> = (0..4).map(|_| bench.arrive("/seats", true)).collect();
    bench.pass_ms(200);
    warm.iter().for_each(|call| bench.complete(*call, 1));
    (0..4).for_each(|_| _ = bench.arrive("/seats", true));
    bench.take();

    let usual: Vec<CallId> = (0..8).map(|_| bench.arrive("/seats", true)).collect();
    let book = bench.arrive("/book", true);
    let refused: Vec<CallId> = bench.take_refusals().into_iter().map(|(call, _)| call).collect();

    assert!(!refused.is_empty() && !refused.contains(&book), "{refused:?}");
    assert!(refused.iter().all(|call| usual.contains(call)));
    bench.pass_ms(100);
    bench.complete(CallId(5), 1);
    let next: Vec<CallId> = bench.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(next, [book]);
}

/// Load pattern: long calls fill a target, and short ones are made for work that goes
/// on elsewhere. A short one that comes late is still of more use than its refusal.
#[test]
fn short_calls_among_long_ones_wait_until_their_deadline() {
    let mut bench = owner();
    let fares = Policy::new(name("fares")).with_deadline_ms(600).with_target_latency_ms(200);
    let seats = Policy::new(name("quick")).with_deadline_ms(6_000).with_target_latency_ms(1_000);
    bench.configure(vec![
        Resource::Policy(fares),
        Resource::Policy(seats),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        Resource::Route(
            Route::new(name("fares"), "/fares", name("seatdesk")).with_policy(name("fares")),
        ),
    ]);
    for (path, took_ms) in [("/fares", 55), ("/seats", 350), ("/seats", 350)] {
        let calls: Vec<CallId> = (0..4).map(|_| bench.arrive(path, true)).collect();
        bench.pass_ms(took_ms);
        calls.iter().for_each(|call| bench.complete(*call, 1));
    }
    let seats: Vec<CallId> = (0..5).map(|_| bench.arrive("/seats", true)).collect();
    bench.take();

    let fares: Vec<CallId> = (0..4).map(|_| bench.arrive("/fares", true)).collect();
    let refused = bench.take_refusals();
    seats[..4].iter().for_each(|call| bench.complete(*call, 1));

    let begun: Vec<CallId> = bench.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, fares);
    assert!(refused.iter().all(|(call, _)| *call == seats[4]), "{refused:?}");
}
