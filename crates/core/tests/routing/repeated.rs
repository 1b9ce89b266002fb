//! Calls that their callers repeat after a refusal, beside new calls.
//!
//! The load: more calls than the targets can run, and callers that come back after each refusal.
//! Served in order of arrival, most slots went to repeated calls whose target latency had ended.

use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, Fingerprint, Outcome, RefusalCode};

use crate::harness::{Harness, name, record};

const TARGET_LATENCY_MS: u32 = 400;

/// A proxy that owns one target with 4 slots, and a policy with a target latency.
fn owner() -> Harness {
    let policy = Policy::new(name("quick"))
        .with_deadline_ms(5_000)
        .with_target_latency_ms(TARGET_LATENCY_MS);
    let mut harness = Harness::new(
        "host-a",
        vec![
            Resource::Policy(policy),
            Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
            Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        ],
    );
    harness.set_target(record("seatdesk", "one", "host-a"));
    harness
}

/// Fills all slots, and the queue with `queued` further calls.
fn fill(harness: &mut Harness, queued: usize) -> Vec<fireflylug_core::ids::CallId> {
    let calls = (0..4 + queued).map(|_| harness.arrive("/seats", false)).collect();
    harness.take_effects();
    calls
}

/// Lets the target observe that calls take 200 ms.
fn observe_hold_times(harness: &mut Harness) {
    for _ in 0..20 {
        let call = harness.arrive("/seats", false);
        harness.pass_ms(200);
        harness.complete(call, 1);
    }
    harness.take_effects();
}

fn arrive_with_content(harness: &mut Harness, content: u64) -> fireflylug_core::ids::CallId {
    harness.arrive_with("/seats", |head| {
        head.is_safe_method = false;
        head.fingerprint = Fingerprint(content);
    })
}

/// Without the time of the first attempt, the repeated call went ahead of the new one by the order
/// of arrival, was answered too late to be of full use, and made the new one late as well.
#[test]
fn new_call_goes_ahead_of_a_repeated_one_that_is_late() {
    let mut harness = owner();
    observe_hold_times(&mut harness);
    let running = fill(&mut harness, 4);
    let refused = arrive_with_content(&mut harness, 1);
    let refusals = harness.take_refusals();
    assert_eq!(refusals.iter().map(|(call, _)| *call).collect::<Vec<_>>(), [refused]);
    harness.pass_ms(200);
    running[..4].iter().for_each(|call| harness.complete(*call, 1));
    harness.pass_ms(200);
    harness.take_effects();

    let repeated = arrive_with_content(&mut harness, 1);
    let new = arrive_with_content(&mut harness, 2);
    harness.complete(running[4], 1);

    let dispatched = harness.take_effects().into_iter().find_map(|effect| match effect {
        CallEffect::Dispatch { call, .. } => Some(call),
        _ => None,
    });
    assert_eq!(dispatched, Some(new), "the repeated call {repeated:?} delays a new one");
}

/// A refused call accounts for one repetition only: two callers may send the same content.
#[test]
fn second_call_with_the_content_of_a_refused_one_is_new() {
    let mut harness = owner();
    observe_hold_times(&mut harness);
    let running = fill(&mut harness, 4);
    arrive_with_content(&mut harness, 1);
    harness.pass_ms(200);
    running[..4].iter().for_each(|call| harness.complete(*call, 1));
    harness.pass_ms(200);
    harness.take_effects();

    arrive_with_content(&mut harness, 1);
    let of_other_caller = arrive_with_content(&mut harness, 1);
    harness.complete(running[4], 1);

    let attempts = harness.take_attempts();
    assert_eq!(attempts.iter().map(|a| a.call).collect::<Vec<_>>(), [of_other_caller]);
}

/// A repeated call is not refused because it is late: it takes a slot that no other call needs.
#[test]
fn repeated_call_takes_a_free_slot() {
    let mut harness = owner();
    let first = arrive_with_content(&mut harness, 1);
    harness.fail(first, 1, RefusalCode::ConnectionLost, Outcome::Unknown);
    harness.pass_ms(u64::from(TARGET_LATENCY_MS) + 100);
    harness.take_effects();

    let repeated = arrive_with_content(&mut harness, 1);

    let attempts = harness.take_attempts();
    assert_eq!(attempts.iter().map(|a| a.call).collect::<Vec<_>>(), [repeated]);
}
