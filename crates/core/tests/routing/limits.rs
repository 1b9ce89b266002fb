//! Slots, queue, deadlines, refusals and the graceful stop.

use fireflylug_core::ids::CallId;
use fireflylug_core::membership::{MemberStatus, TargetState};
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{
    CallEffect, CallEvent, Outcome, RateLimit, RateReport, RefusalCode, RoutingSettings, TargetLoad,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, locality, name, quick_resources, record, refusal};

/// A proxy that owns one target with 4 slots.
fn owner() -> Harness {
    let mut harness = Harness::new("host-a", quick_resources());
    harness.set_target(record("seatdesk", "one", "host-a"));
    harness
}

/// A proxy that forwards to a target on another host.
fn ingress() -> Harness {
    let mut harness = Harness::new("host-a", quick_resources());
    harness.set_member("host-b", locality("z1", "r1"), MemberStatus::Alive);
    harness.set_target(record("seatdesk", "one", "host-b"));
    harness
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn slots_are_never_exceeded(#[case] seed: u64) {
    let mut harness = owner();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut running: Vec<CallId> = Vec::new();
    let mut most = 0;

    for _ in 0..2_000 {
        match rng.random_range(0..8) {
            0..=1 => _ = harness.arrive("/seats", rng.random()),
            2..=3 => _ = harness.arrive_forwarded("seatdesk", "one", 500),
            4 => harness.pass_ms(rng.random_range(0..50)),
            end if !running.is_empty() => {
                let call = running.swap_remove(rng.random_range(0..running.len()));
                match end {
                    5 => harness.complete(call, 1),
                    6 => harness.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown),
                    _ => harness.step(CallEvent::CallerGone { call }),
                }
            }
            _ => {}
        }
        for effect in harness.take_effects() {
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
    let mut harness = owner();
    let calls: Vec<CallId> = (0..6).map(|_| harness.arrive("/seats", true)).collect();
    assert_eq!(harness.take_attempts().len(), 4);

    harness.complete(calls[2], 1);

    let begun: Vec<CallId> = harness.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, [calls[4]]);
}

#[test]
fn a_call_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut harness = owner();
    let calls: Vec<CallId> = (0..4).map(|_| harness.arrive("/seats", true)).collect();
    harness.pass_ms(200);
    calls.iter().for_each(|call| harness.complete(*call, 1));
    (0..4).for_each(|_| _ = harness.arrive("/seats", true));
    harness.take_effects();

    let call = harness.arrive_forwarded("seatdesk", "one", 150);

    let expected = refusal(RefusalCode::Overloaded, Outcome::NotRun);
    assert_eq!(harness.take_refusals(), [(call, expected)]);
}

#[test]
fn the_queue_is_no_longer_than_the_slots() {
    let mut harness = owner();
    (0..8).for_each(|_| _ = harness.arrive("/seats", true));
    harness.take_effects();

    let call = harness.arrive("/seats", true);

    let expected = refusal(RefusalCode::Overloaded, Outcome::NotRun);
    assert_eq!(harness.take_refusals(), [(call, expected)]);
}

#[test]
fn a_timeout_reports_whether_the_call_may_have_run() {
    let mut harness = owner();
    let calls: Vec<CallId> = (0..5).map(|_| harness.arrive("/seats", false)).collect();

    harness.pass_ms(2_100);

    let refusals = harness.take_refusals();
    let outcome_of = |call| refusals.iter().find(|(id, _)| *id == call).map(|(_, r)| r.outcome);
    assert_eq!(outcome_of(calls[0]), Some(Outcome::Unknown));
    assert_eq!(outcome_of(calls[4]), Some(Outcome::NotRun));
    assert!(harness.routing.is_idle());
}

#[test]
fn a_draining_target_finishes_its_calls_and_takes_none() {
    let mut harness = owner();
    let calls: Vec<CallId> = (0..5).map(|_| harness.arrive("/seats", true)).collect();
    harness.take_effects();

    let mut draining = record("seatdesk", "one", "host-a");
    draining.state = TargetState::Draining;
    harness.set_target(draining);
    let late = harness.arrive_forwarded("seatdesk", "one", 500);

    let refused = harness.take_refusals();
    let gone = refusal(RefusalCode::TargetGone, Outcome::NotRun);
    assert_eq!(refused, [(calls[4], gone), (late, gone)]);
    harness.complete(calls[0], 1);
    assert!(matches!(harness.take_effects()[..], [CallEffect::Relay { .. }]));
}

#[test]
fn without_configuration_nothing_runs() {
    let mut harness = Harness::without_configuration("host-a", RoutingSettings::default());
    harness.set_target(record("seatdesk", "one", "host-a"));

    let call = harness.arrive("/seats", true);

    let expected = refusal(RefusalCode::NoConfiguration, Outcome::NotRun);
    assert_eq!(harness.take_refusals(), [(call, expected)]);
}

// Guards against calls that are taken late in a stop and cut at its end.
#[test]
fn a_stopping_proxy_takes_no_call_after_its_notice() {
    let mut harness = owner();
    let call = harness.arrive("/seats", false);
    harness.stop();
    harness.pass_ms(1_200);
    harness.take_effects();

    for _ in 0..10 {
        let late =
            [harness.arrive("/seats", false), harness.arrive_forwarded("seatdesk", "one", 1_500)];
        let stopping = refusal(RefusalCode::Stopping, Outcome::NotRun);
        assert_eq!(harness.take_refusals(), late.map(|call| (call, stopping)));
        harness.pass_ms(50);
    }

    harness.complete(call, 1);
    assert!(harness.routing.is_idle());
}

#[test]
fn a_stop_finishes_calls_in_flight_and_then_refuses() {
    let mut harness = owner();
    let call = harness.arrive("/seats", true);

    harness.stop();
    harness.pass_ms(1_200);
    let late = harness.arrive("/seats", true);

    let expected = refusal(RefusalCode::Stopping, Outcome::NotRun);
    assert_eq!(harness.take_refusals(), [(late, expected)]);
    assert!(!harness.routing.is_idle());
    harness.complete(call, 1);
    assert!(harness.routing.is_idle());
}

#[test]
fn one_service_cannot_use_up_the_limit_of_calls_in_flight() {
    let settings = RoutingSettings { max_calls: 8, ..RoutingSettings::default() };
    let mut harness = Harness::without_configuration("host-a", settings);
    let mut all = quick_resources();
    all.push(Resource::Service(Service::new(name("bookbook"))));
    all.push(Resource::Route(Route::new(name("book"), "/book", name("bookbook"))));
    harness.configure(all);
    harness.set_target(record("seatdesk", "one", "host-a"));
    harness.set_target(record("bookbook", "one", "host-a"));
    harness.arrive("/book", true);
    (0..6).for_each(|_| _ = harness.arrive("/seats", true));
    harness.take_effects();

    let (seats, book) = (harness.arrive("/seats", true), harness.arrive("/book", true));

    let effects = harness.take_effects();
    assert!(matches!(effects[0], CallEffect::Refuse { call, .. } if call == seats));
    assert!(matches!(effects[1], CallEffect::Dispatch { call, .. } if call == book));
}

/// The owner of a target with a call that it runs, and a call made for that one.
fn owner_with_a_call_made_for_another() -> (Harness, CallId, CallId) {
    let mut harness = owner();
    let parent = harness.arrive_forwarded("seatdesk", "one", 400);
    let chain = harness.take_attempts()[0].chain;
    let child = harness.arrive_with("/seats", |head| head.chain = chain);
    (harness, parent, child)
}

#[test]
fn a_caller_that_hangs_up_cancels_the_calls_made_for_its_call() {
    let (mut harness, parent, child) = owner_with_a_call_made_for_another();
    harness.take_effects();

    harness.step(CallEvent::CallerGone { call: parent });

    let expected = refusal(RefusalCode::ChainCancelled, Outcome::Unknown);
    assert_eq!(harness.take_refusals(), [(child, expected)]);
    assert!(harness.routing.is_idle());
}

// Guards against a kept connection of a target that is reset in the middle of a response, because
// the call for which the target made its own call has ended.
#[test]
fn a_response_to_a_call_made_for_a_cancelled_one_is_relayed_to_its_end() {
    let (mut harness, parent, child) = owner_with_a_call_made_for_another();
    harness.answer(child, 1, 200);
    harness.take_effects();

    harness.step(CallEvent::CallerGone { call: parent });
    let after_the_cancellation = harness.take_effects();
    harness.step(CallEvent::Ended { call: child, attempt: 1, is_complete: true });

    assert_eq!(after_the_cancellation, []);
    assert!(harness.routing.is_idle());
}

/// Guards against a response without end: once its head had arrived, no timer ended its call, and it
/// held a slot of its target until the caller gave up.
#[rstest]
#[case::at_the_ingress_beside_its_target(owner(), |harness: &mut Harness| harness.arrive("/seats", true))]
#[case::at_the_owner(owner(), |harness: &mut Harness| harness.arrive_forwarded("seatdesk", "one", 2_000))]
#[case::at_the_ingress_of_another_host(ingress(), |harness: &mut Harness| harness.arrive("/seats", true))]
fn a_response_without_end_is_cut_off_soon_after_the_deadline(
    #[case] mut harness: Harness,
    #[case] arrive: fn(&mut Harness) -> CallId,
) {
    let call = arrive(&mut harness);
    harness.answer(call, 1, 200);
    harness.take_effects();

    harness.pass_ms(2_000);
    let at_the_deadline = harness.take_effects();
    harness.pass_ms(500);

    assert_eq!(at_the_deadline, []);
    assert_eq!(harness.take_effects(), [CallEffect::Abort { call }]);
    assert!(harness.routing.is_idle());
    assert!(harness.routing.metrics().targets.iter().all(|target| target.in_flight == 0));
}

/// Guards against large responses that occupy all slots of a host with a slow link.
#[test]
fn large_answers_on_a_slow_link_leave_slots_to_other_calls() {
    let settings = RoutingSettings { is_link_slow: true, ..RoutingSettings::default() };
    let mut harness = Harness::without_configuration("host-a", settings);
    let pull = Policy { bulk: true, ..Policy::new(name("pull")) };
    let mut all = quick_resources();
    all.push(Resource::Policy(pull));
    all.push(Resource::Route(
        Route::new(name("sheets"), "/sheets", name("seatdesk")).with_policy(name("pull")),
    ));
    harness.configure(all);
    let mut target = record("seatdesk", "one", "host-a");
    (target.slots, target.connections) = (6, 6);
    harness.set_target(target);

    let pulls: Vec<CallId> = (0..4).map(|_| harness.arrive("/sheets", true)).collect();
    let seats: Vec<CallId> = (0..4).map(|_| harness.arrive("/seats", true)).collect();

    let begun: Vec<CallId> = harness.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, [pulls[0], pulls[1], seats[0], seats[1], seats[2], seats[3]]);
    harness.complete(pulls[0], 1);
    let next: Vec<CallId> = harness.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(next, [pulls[2]]);
}

/// A running call waits for the calls made on its behalf: the shorter target latency is served
/// first.
#[test]
fn a_call_with_a_shorter_target_latency_goes_first() {
    let mut harness = owner();
    let quick = Policy::new(name("fares")).with_deadline_ms(2_000).with_target_latency_ms(200);
    let slow = Policy::new(name("quick")).with_deadline_ms(2_000).with_target_latency_ms(1_000);
    harness.configure(vec![
        Resource::Policy(quick),
        Resource::Policy(slow),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        Resource::Route(
            Route::new(name("fares"), "/fares", name("seatdesk")).with_policy(name("fares")),
        ),
    ]);
    let running: Vec<CallId> = (0..4).map(|_| harness.arrive("/seats", true)).collect();
    let waiting = harness.arrive("/seats", true);
    let called = harness.arrive("/fares", true);
    harness.take_effects();

    harness.complete(running[0], 1);
    harness.complete(running[1], 1);

    let begun: Vec<CallId> = harness.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, [called, waiting]);
}

/// Burst of calls: no call is queued beyond its target latency, and a call with a higher
/// priority is served first.
#[test]
fn in_a_burst_calls_wait_only_within_their_target_latency() {
    let mut harness = owner();
    let urgent = Policy::new(name("urgent")).with_deadline_ms(5_000).with_target_latency_ms(700);
    let usual = Policy::new(name("quick"))
        .with_deadline_ms(5_000)
        .with_target_latency_ms(450)
        .with_priority(1);
    harness.configure(vec![
        Resource::Policy(urgent),
        Resource::Policy(usual),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        Resource::Route(
            Route::new(name("book"), "/book", name("seatdesk")).with_policy(name("urgent")),
        ),
    ]);
    let warm: Vec<CallId> = (0..4).map(|_| harness.arrive("/seats", true)).collect();
    harness.pass_ms(200);
    warm.iter().for_each(|call| harness.complete(*call, 1));
    (0..4).for_each(|_| _ = harness.arrive("/seats", true));
    harness.take_effects();

    let usual: Vec<CallId> = (0..8).map(|_| harness.arrive("/seats", true)).collect();
    let book = harness.arrive("/book", true);
    let refused: Vec<CallId> = harness.take_refusals().into_iter().map(|(call, _)| call).collect();

    assert!(!refused.is_empty() && !refused.contains(&book), "{refused:?}");
    assert!(refused.iter().all(|call| usual.contains(call)));
    harness.pass_ms(100);
    harness.complete(CallId(5), 1);
    let next: Vec<CallId> = harness.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(next, [book]);
}

/// Load pattern: long calls fill a target, while short calls arrive on behalf of work in
/// progress elsewhere. A late response to a short call is still of more use than a refusal.
#[test]
fn short_calls_among_long_ones_wait_until_their_deadline() {
    let mut harness = owner();
    let fares = Policy::new(name("fares")).with_deadline_ms(600).with_target_latency_ms(200);
    let seats = Policy::new(name("quick")).with_deadline_ms(6_000).with_target_latency_ms(1_000);
    harness.configure(vec![
        Resource::Policy(fares),
        Resource::Policy(seats),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        Resource::Route(
            Route::new(name("fares"), "/fares", name("seatdesk")).with_policy(name("fares")),
        ),
    ]);
    for (path, took_ms) in [("/fares", 55), ("/seats", 350), ("/seats", 350)] {
        let calls: Vec<CallId> = (0..4).map(|_| harness.arrive(path, true)).collect();
        harness.pass_ms(took_ms);
        calls.iter().for_each(|call| harness.complete(*call, 1));
    }
    let seats: Vec<CallId> = (0..5).map(|_| harness.arrive("/seats", true)).collect();
    harness.take_effects();

    let fares: Vec<CallId> = (0..4).map(|_| harness.arrive("/fares", true)).collect();
    let refused = harness.take_refusals();
    seats[..4].iter().for_each(|call| harness.complete(*call, 1));

    let begun: Vec<CallId> = harness.take_attempts().iter().map(|begun| begun.call).collect();
    assert_eq!(begun, fares);
    assert!(refused.iter().all(|(call, _)| *call == seats[4]), "{refused:?}");
}

// Guards against a load report with large numbers that ends the process.
#[test]
fn a_load_report_with_large_numbers_is_accepted() {
    let mut ingress = Harness::new("host-a", quick_resources());
    ingress.set_member("host-b", locality("z1", "r1"), MemberStatus::Alive);
    ingress.set_target(record("seatdesk", "one", "host-b"));
    let largest = TargetLoad {
        in_flight: u32::MAX,
        queued: u32::MAX,
        wait_ms: u32::MAX,
        rate: RateLimit::per_second(0.0).map(|limit| RateReport { limit, usable_slots: 0 }),
        held_ms: u32::MAX,
        capacity: None,
    };

    let calls = [ingress.arrive("/seats", true), ingress.arrive("/seats", true)];
    ingress.complete_with(calls[0], 1, largest.into());
    ingress.pass_ms(500);
    ingress.arrive("/seats", true);
    assert_eq!(ingress.take_attempts().len(), 3);
    ingress.step(CallEvent::Failed {
        call: calls[1],
        attempt: 1,
        refusal: refusal(RefusalCode::Overloaded, Outcome::NotRun),
        is_replayable: true,
        notice: largest.into(),
    });

    let expected = refusal(RefusalCode::Overloaded, Outcome::NotRun);
    assert_eq!(ingress.take_refusals(), [(calls[1], expected)]);
}
