//! Which calls are retried, how often, and which outcome is reported.

use fireflylug_core::ids::CallId;
use fireflylug_core::resource::{Policy, Repeatable, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, Chain, Outcome, RefusalCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, locality, name, record, refusal};
use fireflylug_core::membership::MemberStatus;

/// An ingress that forwards to four targets, each with a separate owner.
fn ingress() -> Harness {
    let pay = Policy::new(name("pay")).with_repeatable(Repeatable::Never);
    let mut harness = Harness::new(
        "host-a",
        vec![
            Resource::Policy(pay),
            Resource::Service(Service::new(name("treasury"))),
            Resource::Route(Route::new(name("look"), "/", name("treasury"))),
            Resource::Route(
                Route::new(name("pay"), "/pay", name("treasury")).with_policy(name("pay")),
            ),
        ],
    );
    for id in ["one", "two", "three", "four"] {
        harness.set_member(&format!("host-{id}"), locality("z1", "r1"), MemberStatus::Alive);
        let mut target = record("treasury", id, &format!("host-{id}"));
        target.slots = 1_000;
        target.connections = 1_000;
        harness.set_target(target);
    }
    harness
}

#[test]
fn a_call_that_did_not_run_is_tried_elsewhere_whatever_its_method() {
    let mut harness = ingress();
    let call = harness.arrive("/pay", false);
    let first = harness.take_attempts().remove(0);

    harness.fail(call, 1, RefusalCode::TargetGone, Outcome::NotRun);

    let second = harness.take_attempts().remove(0);
    assert_ne!(second.target, first.target);
}

#[test]
fn a_payment_that_may_have_run_is_not_tried_again() {
    let mut harness = ingress();
    let call = harness.arrive("/pay", false);
    harness.take_effects();

    harness.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    let expected = refusal(RefusalCode::ConnectionLost, Outcome::Unknown);
    assert_eq!(harness.take_refusals(), [(call, expected)]);
}

#[test]
fn a_lookup_that_may_have_run_is_tried_again() {
    let mut harness = ingress();
    let call = harness.arrive("/look", true);
    harness.take_effects();

    harness.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    assert_eq!(harness.take_attempts().len(), 1);
}

#[test]
fn an_earlier_unknown_attempt_is_not_forgotten() {
    let mut harness = ingress();
    let call = harness.arrive("/look", true);

    harness.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);
    harness.fail(call, 2, RefusalCode::TargetGone, Outcome::NotRun);
    harness.fail(call, 3, RefusalCode::TargetGone, Outcome::NotRun);
    // Attempts that reached no target do not count: the fourth target is tried too.
    harness.fail(call, 4, RefusalCode::TargetGone, Outcome::NotRun);

    let expected = refusal(RefusalCode::TargetGone, Outcome::Unknown);
    assert_eq!(harness.take_refusals(), [(call, expected)]);
}

/// An ingress with five targets, whose policy retries server errors.
fn ingress_retrying_server_errors() -> Harness {
    let mut harness = ingress();
    let eager = Policy { retry_server_errors: true, ..Policy::new(name("eager")) };
    harness.configure(vec![
        Resource::Policy(eager),
        Resource::Service(Service::new(name("treasury"))),
        Resource::Route(Route::new(name("look"), "/", name("treasury")).with_policy(name("eager"))),
    ]);
    harness.set_member("host-five", locality("z1", "r1"), MemberStatus::Alive);
    harness.set_target(record("treasury", "five", "host-five"));
    harness
}

/// The response of a target is relayed if no further attempt is allowed.
#[test]
fn a_server_error_of_the_last_attempt_is_passed_on() {
    let mut harness = ingress_retrying_server_errors();
    let call = harness.arrive("/look", true);
    for attempt in 1..=3 {
        harness.fail(call, attempt, RefusalCode::TargetGone, Outcome::NotRun);
    }
    harness.take_effects();

    harness.answer(call, 4, 500);

    let effects = harness.take_effects();
    assert!(matches!(effects.as_slice(), [CallEffect::Relay { .. }]), "{effects:?}");
}

/// All other targets are full, so that the retries after a server error are shed.
#[test]
fn a_server_error_is_passed_on_if_no_retry_succeeds() {
    let mut harness = ingress_retrying_server_errors();
    let call = harness.arrive("/look", true);
    harness.take_effects();

    harness.answer(call, 1, 500);
    assert_eq!(harness.take_attempts().len(), 1);
    for attempt in 2..=4 {
        harness.fail(call, attempt, RefusalCode::Overloaded, Outcome::NotRun);
    }

    let last = harness.take_effects().pop();
    assert!(matches!(last, Some(CallEffect::RelayEarlier { .. })), "{last:?}");
    harness.step(CallEvent::Ended { call, attempt: 1, is_complete: true });
    assert!(harness.routing.is_idle());
}

/// Guards against the body of an earlier server error that has no end: no timer ended its call.
#[test]
fn an_endless_server_error_of_an_earlier_attempt_is_cut_off() {
    let mut harness = ingress_retrying_server_errors();
    let call = harness.arrive("/look", true);
    harness.answer(call, 1, 500);
    for attempt in 2..=4 {
        harness.fail(call, attempt, RefusalCode::Overloaded, Outcome::NotRun);
    }
    harness.take_effects();

    let deadline_ms = Policy::new(name("eager")).deadline_ms;
    harness.pass_ms(u64::from(deadline_ms) + 500);

    assert_eq!(harness.take_effects(), [CallEffect::Abort { call }]);
    assert!(harness.routing.is_idle());
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_payment_reaches_at_most_one_target_once(#[case] seed: u64) {
    let mut harness = ingress();
    let mut rng = SmallRng::seed_from_u64(seed);

    for _ in 0..500 {
        let call = harness.arrive("/pay", false);
        let mut may_have_run = 0;
        while let Some(begun) = harness.take_attempts().pop() {
            match rng.random_range(0..4) {
                0 => harness.fail(call, begun.attempt, RefusalCode::TargetGone, Outcome::NotRun),
                1 => harness.fail(call, begun.attempt, RefusalCode::Overloaded, Outcome::NotRun),
                2 => {
                    may_have_run += 1;
                    harness.fail(
                        call,
                        begun.attempt,
                        RefusalCode::ConnectionLost,
                        Outcome::Unknown,
                    );
                }
                _ => {
                    may_have_run += 1;
                    harness.complete(call, begun.attempt);
                }
            }
        }
        assert!(may_have_run <= 1, "{call:?} may have run {may_have_run} times");
        harness.pass_ms(20);
    }

    assert!(harness.routing.is_idle());
}

#[test]
fn an_outage_costs_no_more_retries_than_the_budget() {
    let mut harness = ingress();
    let calls = 1_000;
    let mut attempts = 0;

    for _ in 0..calls {
        harness.arrive("/look", true);
        while let Some(begun) = harness.take_attempts().pop() {
            attempts += 1;
            harness.fail(begun.call, begun.attempt, RefusalCode::ConnectionLost, Outcome::Unknown);
        }
    }

    assert!(attempts > calls && attempts <= calls * 11 / 10 + 5, "{attempts} attempts");
}

/// Load pattern: after a quiet period, the targets of a service fail everywhere at once. The
/// tokens that many processes have accumulated must not add up to a retry storm.
#[rstest]
#[case::few(4, 10)]
#[case::medium(18, 3)]
#[case::large(95, 1)]
fn processes_share_the_maximum_of_the_retry_budget(
    #[case] processes: usize,
    #[case] max_retries: usize,
) {
    let mut harness = ingress();
    for other in 1..processes {
        harness.set_member(&format!("other-{other}"), locality("z2", "r1"), MemberStatus::Alive);
    }
    for _ in 0..500 {
        let call = harness.arrive("/look", true);
        harness.complete(call, 1);
    }
    harness.take_effects();

    let calls: Vec<CallId> = (0..20).map(|_| harness.arrive("/look", true)).collect();
    harness.take_effects();
    for call in calls {
        harness.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);
    }

    let retries = harness.take_attempts().len();
    assert!(retries <= max_retries, "{retries} retries");
}

#[test]
fn a_call_made_for_a_retry_is_not_retried() {
    let mut harness = ingress();
    let chain = Chain { is_retry: true, ..Chain::default() };
    let call = harness.arrive_with("/look", |head| head.chain = chain);
    harness.take_effects();

    harness.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    assert_eq!(harness.take_refusals().len(), 1);
}

#[test]
fn a_retry_marks_the_chain_of_its_calls() {
    let mut harness = ingress();
    let call = harness.arrive("/look", true);
    let first = harness.take_attempts().remove(0);

    harness.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    let second = harness.take_attempts().remove(0);
    assert!(!first.chain.is_retry);
    assert!(second.chain.is_retry);
}

#[rstest]
#[case(15, true)]
#[case(200, false)]
fn a_loop_ends_at_the_hop_limit(#[case] hops: u8, #[case] runs: bool) {
    let mut harness = ingress();

    harness.arrive_with("/look", |head| head.chain.hops = hops);

    let ran = matches!(harness.take_effects()[0], CallEffect::Forward { .. });
    assert_eq!(ran, runs);
}

#[test]
fn a_body_that_was_sent_in_part_is_not_sent_again() {
    let mut harness = ingress();
    let call = harness.arrive_with("/look", |head| {
        head.body_bytes = Some(1 << 20);
        head.is_replayable = false;
    });
    harness.take_effects();

    harness.fail(call, 1, RefusalCode::TargetGone, Outcome::NotRun);

    let expected = refusal(RefusalCode::TargetGone, Outcome::NotRun);
    assert_eq!(harness.take_refusals(), [(call, expected)]);
}

#[test]
fn events_of_an_attempt_that_ended_change_nothing() {
    let mut harness = ingress();
    let call = harness.arrive("/look", true);
    harness.fail(call, 1, RefusalCode::TargetGone, Outcome::NotRun);
    harness.take_effects();

    harness.answer(call, 1, 200);
    harness.answer(CallId(9_999), 1, 200);

    assert_eq!(harness.take_effects(), []);
    assert_eq!(harness.routing.in_flight(), 1);
}

#[test]
fn a_chain_round_trips_through_its_header() {
    let mut harness = ingress();
    harness.arrive_with("/look", |head| head.chain.hops = 3);
    let sent = harness.take_attempts()[0].chain;

    let read: Chain = sent.to_string().parse().expect("the header is well-formed");

    assert_eq!(read, sent);
    assert_eq!(read.hops, 4);
}
