//! Calls and the quotas of organisations at one ingress.

use fireflylug_core::Instant;
use fireflylug_core::membership::MemberStatus;
use fireflylug_core::organisation::{ApiKey, Credential, Decimal, KeyDigest, Organisation};
use fireflylug_core::quota::QuotaLimit;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, Fingerprint, Outcome, RefusalCode};

use crate::harness::{Harness, locality, name, record, refusal};

const ACME: &str = "rth5mgjy5rcpihhacrud";

/// A proxy with a quota of 1 call per second and a burst of 2 calls, all of it unused. It owns a
/// target if `has_target`.
fn proxy(has_target: bool) -> Harness {
    let keys = vec![ApiKey::from(ACME)];
    let acme =
        Organisation::new(name("acme"), keys).with_quota(Decimal::Integer(1), Decimal::Integer(2));
    let policy = Policy::new(name("quick")).with_deadline_ms(2_000);
    let route = Route::new(name("seats"), "/", name("seatdesk"));
    let resources = vec![
        Resource::Policy(policy),
        Resource::Service(Service::new(name("seatdesk"))),
        Resource::Route(route.with_policy(name("quick")).with_public(true)),
        Resource::Organisation(acme),
    ];
    let mut harness = Harness::new("host-a", resources);
    let limit = QuotaLimit { rate_per_s: 1.0, burst: 2.0 };
    harness.with_quotas(|quotas, cx| quotas.configure(cx, [(name("acme"), limit)]));
    if has_target {
        harness.set_target(record("seatdesk", "one", "host-a"));
    }
    harness.pass_ms(10_000);
    harness
}

fn arrive(harness: &mut Harness, credential: Credential) -> Vec<CallEffect> {
    harness.take_effects();
    harness.arrive_with("/", |head| head.credential = credential);
    harness.take_effects()
}

/// Guards against calls above the quota that run, and against callers that are told no time after
/// which to retry.
#[test]
fn calls_above_the_quota_are_refused() {
    let mut harness = proxy(true);
    let key = Credential::Key(KeyDigest::of(ACME));

    let effects: Vec<_> = (0..3).flat_map(|_| arrive(&mut harness, key)).collect();

    let [CallEffect::Dispatch { .. }, CallEffect::Dispatch { .. }, last] = &effects[..] else {
        panic!("unexpected effects {effects:?}");
    };
    let CallEffect::Refuse { refusal: refused, retry_after_ms, .. } = last else {
        panic!("the call is not refused: {last:?}");
    };
    assert_eq!(*refused, refusal(RefusalCode::QuotaExceeded, Outcome::NotRun));
    assert_eq!(RefusalCode::QuotaExceeded.status(), 429);
    assert!(retry_after_ms.is_some_and(|ms| (500..=2_000).contains(&ms)), "{retry_after_ms:?}");
}

/// Guards against a quota that is used up by calls that never ran.
#[test]
fn a_call_that_did_not_run_costs_no_credit() {
    let mut harness = proxy(false);
    let key = Credential::Key(KeyDigest::of(ACME));

    for _ in 0..5 {
        let effects = arrive(&mut harness, key);

        let CallEffect::Refuse { refusal: refused, .. } = &effects[0] else { panic!() };
        assert_eq!(*refused, refusal(RefusalCode::NoTarget, Outcome::NotRun));
    }
}

/// Guards against public calls that use a quota, and against timers without a quota.
#[test]
fn calls_without_an_organisation_have_no_quota() {
    let mut harness = proxy(true);

    for _ in 0..4 {
        let effects = arrive(&mut harness, Credential::Absent);
        assert!(matches!(effects[..], [CallEffect::Dispatch { .. }]), "{effects:?}");
    }

    harness.with_quotas(|quotas, cx| quotas.configure(cx, []));
    assert_eq!(harness.quotas.next_deadline(), Instant::NEVER);
}

/// A call without a key was refused, and the next call with the same content counted as its
/// repetition, although it came from another caller. While the quota is exceeded, or slots lack,
/// that caller would have been served last.
#[test]
fn refused_calls_of_others_make_no_call_a_repetition() {
    let policy = Policy::new(name("quick")).with_deadline_ms(5_000).with_target_latency_ms(400);
    let acme = Organisation::new(name("acme"), vec![ApiKey::from(ACME)]);
    let other = Organisation::new(name("other"), vec![ApiKey::from("dedev3nax7u27gxprymh")]);
    let route = Route::new(name("seats"), "/", name("seatdesk")).with_policy(name("quick"));
    let resources = vec![
        Resource::Policy(policy),
        Resource::Service(Service::new(name("seatdesk"))),
        Resource::Route(route),
        Resource::Organisation(acme),
        Resource::Organisation(other),
    ];
    let mut harness = Harness::new("host-a", resources);
    harness.set_member("host-b", locality("z1", "r1"), MemberStatus::Alive);
    let credentials = [
        Credential::Absent,
        Credential::Key(KeyDigest::of("dedev3nax7u27gxprymh")),
        Credential::Key(KeyDigest::of(ACME)),
    ];
    let arrive = |harness: &mut Harness, credential| {
        harness.arrive_with("/", |head| {
            head.credential = credential;
            head.fingerprint = Fingerprint(7);
        });
        harness.take_effects()
    };
    // Neither is served: one has no key, and there is no target for the other.
    credentials[..2].iter().for_each(|credential| _ = arrive(&mut harness, *credential));
    harness.pass_ms(300);
    harness.set_target(record("seatdesk", "one", "host-b"));

    let effects = arrive(&mut harness, credentials[2]);

    let [CallEffect::Forward { head, .. }] = &effects[..] else { panic!("{effects:?}") };
    assert!(head.useful_ms > 300, "{} ms of the target latency are left", head.useful_ms);
}
