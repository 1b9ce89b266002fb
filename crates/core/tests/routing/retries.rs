//! What is tried again, how often, and what is said of the outcome.

use fireflylug_core::ids::CallId;
use fireflylug_core::resource::{Policy, Repeatable, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, Chain, Outcome, RefusalCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::bench::{Bench, locality, name, record, refusal};
use fireflylug_core::membership::MemberStatus;

/// An ingress that forwards to four targets, each with an owner of its own.
fn ingress() -> Bench {
    let pay = Policy::new(name("pay")).with_repeatable(Repeatable::Never);
    let mut bench = Bench::new(
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
        bench.member(&format!("host-{id}"), locality("z1", "r1"), MemberStatus::Alive);
        let mut target = record("treasury", id, &format!("host-{id}"));
        target.slots = 1_000;
        target.connections = 1_000;
        bench.target(target);
    }
    bench
}

#[test]
fn a_call_that_did_not_run_is_tried_elsewhere_whatever_its_method() {
    let mut bench = ingress();
    let call = bench.arrive("/pay", false);
    let first = bench.take_attempts().remove(0);

    bench.fail(call, 1, RefusalCode::TargetGone, Outcome::NotRun);

    let second = bench.take_attempts().remove(0);
    assert_ne!(second.target, first.target);
}

#[test]
fn a_payment_that_may_have_run_is_not_tried_again() {
    let mut bench = ingress();
    let call = bench.arrive("/pay", false);
    bench.take();

    bench.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    let expected = refusal(RefusalCode::ConnectionLost, Outcome::Unknown);
    assert_eq!(bench.take_refusals(), [(call, expected)]);
}

#[test]
fn a_lookup_that_may_have_run_is_tried_again() {
    let mut bench = ingress();
    let call = bench.arrive("/look", true);
    bench.take();

    bench.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    assert_eq!(bench.take_attempts().len(), 1);
}

#[test]
fn an_earlier_unknown_attempt_is_not_forgotten() {
    let mut bench = ingress();
    let call = bench.arrive("/look", true);

    bench.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);
    bench.fail(call, 2, RefusalCode::TargetGone, Outcome::NotRun);
    bench.fail(call, 3, RefusalCode::TargetGone, Outcome::NotRun);
    // Attempts that reached no target do not count: the fourth target is asked too.
    bench.fail(call, 4, RefusalCode::TargetGone, Outcome::NotRun);

    let expected = refusal(RefusalCode::TargetGone, Outcome::Unknown);
    assert_eq!(bench.take_refusals(), [(call, expected)]);
}

/// An ingress that tries server errors elsewhere, with five targets.
fn eager_ingress() -> Bench {
    let mut bench = ingress();
    let eager = Policy { retry_server_errors: true, ..Policy::new(name("eager")) };
    bench.configure(vec![
        Resource::Policy(eager),
        Resource::Service(Service::new(name("treasury"))),
        Resource::Route(Route::new(name("look"), "/", name("treasury")).with_policy(name("eager"))),
    ]);
    bench.member("host-five", locality("z1", "r1"), MemberStatus::Alive);
    bench.target(record("treasury", "five", "host-five"));
    bench
}

/// A target's own answer is passed on where no further attempt is left.
#[test]
fn a_server_error_of_the_last_attempt_is_passed_on() {
    let mut bench = eager_ingress();
    let call = bench.arrive("/look", true);
    for attempt in 1..=3 {
        bench.fail(call, attempt, RefusalCode::TargetGone, Outcome::NotRun);
    }
    bench.take();

    bench.answer(call, 4, 500);

    let effects = bench.take();
    assert!(matches!(effects.as_slice(), [CallEffect::Relay { .. }]), "{effects:?}");
}

/// Targets are full, and the attempt that was to better a server error is shed.
#[test]
fn a_server_error_that_no_later_attempt_betters_is_passed_on() {
    let mut bench = eager_ingress();
    let call = bench.arrive("/look", true);
    bench.take();

    bench.answer(call, 1, 500);
    assert_eq!(bench.take_attempts().len(), 1);
    for attempt in 2..=4 {
        bench.fail(call, attempt, RefusalCode::Overloaded, Outcome::NotRun);
    }

    let last = bench.take().pop();
    assert!(matches!(last, Some(CallEffect::RelayEarlier { .. })), "{last:?}");
    assert!(bench.routing.is_idle());
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_payment_reaches_at_most_one_target_once(#[case] seed: u64) {
    let mut bench = ingress();
    let mut rng = SmallRng::seed_from_u64(seed);

    for _ in 0..500 {
        let call = bench.arrive("/pay", false);
        let mut may_have_run = 0;
        while let Some(begun) = bench.take_attempts().pop() {
            match rng.random_range(0..4) {
                0 => bench.fail(call, begun.attempt, RefusalCode::TargetGone, Outcome::NotRun),
                1 => bench.fail(call, begun.attempt, RefusalCode::Overloaded, Outcome::NotRun),
                2 => {
                    may_have_run += 1;
                    bench.fail(call, begun.attempt, RefusalCode::ConnectionLost, Outcome::Unknown);
                }
                _ => {
                    may_have_run += 1;
                    bench.complete(call, begun.attempt);
                }
            }
        }
        assert!(may_have_run <= 1, "{call:?} may have run {may_have_run} times");
        bench.pass_ms(20);
    }

    assert!(bench.routing.is_idle());
}

#[test]
fn an_outage_costs_no_more_retries_than_the_budget() {
    let mut bench = ingress();
    let calls = 1_000;
    let mut attempts = 0;

    for _ in 0..calls {
        bench.arrive("/look", true);
        while let Some(begun) = bench.take_attempts().pop() {
            attempts += 1;
            bench.fail(begun.call, begun.attempt, RefusalCode::ConnectionLost, Outcome::Unknown);
        }
    }

    assert!(attempts > calls && attempts <= calls * 11 / 10 + 5, "{attempts} attempts");
}

/// Load pattern: the targets of a service fail everywhere at once after a quiet time.
/// What each of many processes has saved must not add up to a storm.
#[rstest]
#[case::few(4, 10)]
#[case::users_size(18, 3)]
#[case::grown(95, 1)]
fn processes_share_what_is_saved_up_for_retries(#[case] processes: usize, #[case] saved: usize) {
    let mut bench = ingress();
    for other in 1..processes {
        bench.member(&format!("other-{other}"), locality("z2", "r1"), MemberStatus::Alive);
    }
    for _ in 0..500 {
        let call = bench.arrive("/look", true);
        bench.complete(call, 1);
    }
    bench.take();

    let calls: Vec<CallId> = (0..20).map(|_| bench.arrive("/look", true)).collect();
    bench.take();
    for call in calls {
        bench.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);
    }

    let retries = bench.take_attempts().len();
    assert!(retries <= saved, "{retries} retries");
}

#[test]
fn a_call_made_for_a_retry_is_not_retried() {
    let mut bench = ingress();
    let chain = Chain { retried: true, ..Chain::default() };
    let call = bench.arrive_with("/look", |head| head.chain = chain);
    bench.take();

    bench.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    assert_eq!(bench.take_refusals().len(), 1);
}

#[test]
fn a_retry_tells_the_calls_made_for_it() {
    let mut bench = ingress();
    let call = bench.arrive("/look", true);
    let first = bench.take_attempts().remove(0);

    bench.fail(call, 1, RefusalCode::ConnectionLost, Outcome::Unknown);

    let second = bench.take_attempts().remove(0);
    assert!(!first.chain.retried);
    assert!(second.chain.retried);
}

#[rstest]
#[case(15, true)]
#[case(200, false)]
fn a_loop_ends_at_the_hop_limit(#[case] hops: u8, #[case] runs: bool) {
    let mut bench = ingress();

    bench.arrive_with("/look", |head| head.chain.hops = hops);

    let ran = matches!(bench.take()[0], CallEffect::Forward { .. });
    assert_eq!(ran, runs);
}

#[test]
fn a_body_that_was_sent_in_part_is_not_sent_again() {
    let mut bench = ingress();
    let call = bench.arrive_with("/look", |head| {
        head.body_bytes = Some(1 << 20);
        head.is_replayable = false;
    });
    bench.take();

    bench.fail(call, 1, RefusalCode::TargetGone, Outcome::NotRun);

    let expected = refusal(RefusalCode::TargetGone, Outcome::NotRun);
    assert_eq!(bench.take_refusals(), [(call, expected)]);
}

#[test]
fn events_of_an_attempt_that_ended_change_nothing() {
    let mut bench = ingress();
    let call = bench.arrive("/look", true);
    bench.fail(call, 1, RefusalCode::TargetGone, Outcome::NotRun);
    bench.take();

    bench.answer(call, 1, 200);
    bench.answer(CallId(9_999), 1, 200);

    assert_eq!(bench.take(), []);
    assert_eq!(bench.routing.in_flight(), 1);
}

#[test]
fn chain_survives_its_header() {
    let mut bench = ingress();
    bench.arrive_with("/look", |head| head.chain.hops = 3);
    let sent = bench.take_attempts()[0].chain;

    let read: Chain = sent.to_string().parse().expect("the header is in form");

    assert_eq!(read, sent);
    assert_eq!(read.hops, 4);
}
