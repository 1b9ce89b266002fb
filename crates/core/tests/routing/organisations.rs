//! Organisations of calls: which credentials are accepted, and what a changed key means for calls
//! that have not run yet.

use fireflylug_core::ids::{CallId, Version};
use fireflylug_core::membership::MemberStatus;
use fireflylug_core::organisation::{
    ApiKey, Credential, IdentityHeaders, KeyDigest, Organisation, VerifiedKey,
};
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, ForwardHead, Outcome, RefusalCode};
use rstest::rstest;

use crate::harness::{Harness, forward_head, locality, name, record, refusal};

const ACME: &str = "rth5mgjy5rcpihhacrud";
const UNKNOWN: Credential = Credential::Key(KeyDigest([7; 16]));

fn key(text: &str) -> Credential {
    Credential::Key(KeyDigest::of(text))
}

/// Route `/seats` that requires a key, and the public route `/open`, both with priority 2.
fn resources(organisations: Vec<Organisation>) -> Vec<Resource> {
    let route = |route: &str, prefix: &str| {
        Route::new(name(route), prefix, name("seatdesk")).with_policy(name("quick"))
    };
    let mut all = vec![
        Resource::Policy(Policy::new(name("quick")).with_deadline_ms(2_000).with_priority(2)),
        Resource::Service(Service::new(name("seatdesk"))),
        Resource::Route(route("seats", "/seats")),
        Resource::Route(route("open", "/open").with_public(true)),
    ];
    all.extend(organisations.into_iter().map(Resource::Organisation));
    all
}

fn organisation(text: &str, keys: &[&str]) -> Organisation {
    Organisation::new(name(text), keys.iter().map(|key| ApiKey::from(*key)).collect())
}

fn acme() -> Vec<Resource> {
    resources(vec![organisation("acme", &[ACME]).with_priority(1)])
}

/// A proxy that owns one target with 4 slots.
fn owner(resources: Vec<Resource>) -> Harness {
    let mut harness = Harness::new("host-a", resources);
    harness.set_target(record("seatdesk", "one", "host-a"));
    harness
}

/// A proxy that forwards to one or two targets on other hosts.
fn ingress(resources: Vec<Resource>, targets: &[&str]) -> Harness {
    let mut harness = Harness::new("host-a", resources);
    harness.set_member("host-b", locality("z1", "r1"), MemberStatus::Alive);
    for target in targets {
        harness.set_target(record("seatdesk", target, "host-b"));
    }
    harness
}

fn arrive(harness: &mut Harness, path: &str, credential: Credential) -> CallId {
    harness.arrive_with(path, |head| head.credential = credential)
}

/// The identity headers of the only attempt, or the code of the refusal.
fn decision(harness: &mut Harness) -> Result<IdentityHeaders, RefusalCode> {
    let mut decisions = harness.take_effects().into_iter().filter_map(|effect| match effect {
        CallEffect::Dispatch { identity, .. } => Some(Ok(identity)),
        CallEffect::Refuse { refusal, .. } => {
            assert_eq!(refusal.outcome, Outcome::NotRun);
            Some(Err(refusal.code))
        }
        _ => None,
    });
    let decision = decisions.next().expect("the call is decided");
    assert_eq!(decisions.next(), None);
    decision
}

fn forwarded(harness: &mut Harness) -> ForwardHead {
    let head = |effect| match effect {
        CallEffect::Forward { head, identity, .. } => {
            assert_eq!(identity, IdentityHeaders::Replaced(None));
            Some(head)
        }
        _ => None,
    };
    harness.take_effects().into_iter().find_map(head).expect("the call is forwarded")
}

fn named(text: &str) -> Result<IdentityHeaders, RefusalCode> {
    Ok(IdentityHeaders::Replaced(Some(name(text))))
}

/// Guards against calls that pass without a valid key, and against public calls that need one.
#[rstest]
#[case("/seats", key(ACME), named("acme"))]
#[case("/seats", UNKNOWN, Err(RefusalCode::Unauthenticated))]
#[case("/seats", Credential::Absent, Err(RefusalCode::Unauthenticated))]
#[case("/seats", Credential::Malformed, Err(RefusalCode::BadCredential))]
#[case("/open", key(ACME), named("acme"))]
#[case("/open", UNKNOWN, Ok(IdentityHeaders::Replaced(None)))]
#[case("/open", Credential::Absent, Ok(IdentityHeaders::Replaced(None)))]
#[case("/open", Credential::Malformed, Ok(IdentityHeaders::Replaced(None)))]
#[case("/none", Credential::Absent, Err(RefusalCode::NoRoute))]
fn credentials_decide_about_calls(
    #[case] path: &str,
    #[case] credential: Credential,
    #[case] expected: Result<IdentityHeaders, RefusalCode>,
) {
    let mut harness = owner(acme());

    arrive(&mut harness, path, credential);

    assert_eq!(decision(&mut harness), expected);
}

/// A deployment without organisations must not change: credentials may belong to its targets.
#[rstest]
#[case(Credential::Absent)]
#[case(Credential::Malformed)]
#[case(UNKNOWN)]
fn without_organisations_headers_pass_unchanged(#[case] credential: Credential) {
    let mut harness = owner(resources(Vec::new()));

    arrive(&mut harness, "/seats", credential);

    assert_eq!(decision(&mut harness), Ok(IdentityHeaders::Unchanged));
}

/// A proxy that is cut off may not have the version that contains a new key.
#[rstest]
#[case(UNKNOWN, RefusalCode::OutdatedConfiguration, 503)]
#[case(Credential::Absent, RefusalCode::Unauthenticated, 401)]
#[case(Credential::Malformed, RefusalCode::BadCredential, 400)]
fn a_proxy_that_may_be_outdated_calls_no_key_unknown(
    #[case] credential: Credential,
    #[case] code: RefusalCode,
    #[case] status: u16,
) {
    let mut harness = owner(acme());
    harness.routing.set_may_be_outdated(true);

    arrive(&mut harness, "/seats", credential);

    assert_eq!(decision(&mut harness), Err(code));
    assert_eq!(code.status(), status);
}

#[rstest]
#[case::of_the_organisation(Some(1), 1)]
#[case::highest(Some(0), 0)]
#[case::of_the_policy(None, 2)]
fn an_owner_learns_organisation_priority_and_key(
    #[case] priority: Option<u8>,
    #[case] expected: u8,
) {
    let organisation = Organisation { priority, ..organisation("acme", &[ACME]) };
    let mut harness = ingress(resources(vec![organisation]), &["one"]);

    arrive(&mut harness, "/seats", key(ACME));

    let head = forwarded(&mut harness);
    let digest = KeyDigest::of(ACME);
    assert_eq!(head.priority, expected);
    assert_eq!(head.organisation, Some(name("acme")));
    assert_eq!(head.key, Some(VerifiedKey { digest, version: Version(1), is_required: true }));
}

/// An ingress that has not received the newest version must not keep a revoked key alive.
#[rstest]
#[case::revoked(3, true, &[], Err(RefusalCode::Unauthenticated))]
#[case::revoked_on_a_public_route(3, false, &[], Ok(IdentityHeaders::Replaced(None)))]
#[case::moved(3, true, &[ACME], named("other"))]
#[case::owner_is_older(1, true, &[], named("acme"))]
#[case::same_version(2, true, &[], named("acme"))]
fn an_owner_with_a_newer_version_checks_the_key(
    #[case] version: u64,
    #[case] is_required: bool,
    #[case] keys: &[&str],
    #[case] expected: Result<IdentityHeaders, RefusalCode>,
) {
    let mut harness = owner(Vec::new());
    harness.configure_version(version, resources(vec![organisation("other", keys)]));
    let key = VerifiedKey { digest: KeyDigest::of(ACME), version: Version(2), is_required };
    let head = forward_head("seatdesk", "one", 500);

    harness.arrive_from_proxy(
        ForwardHead { organisation: Some(name("acme")), key: Some(key), ..head },
        None,
    );

    assert_eq!(decision(&mut harness), expected);
}

/// The credential of a caller may reach an owner whose ingress has an older version without
/// organisations. It must not reach the target, and neither must a forged name.
#[test]
fn an_owner_removes_what_an_outdated_ingress_lets_pass() {
    let mut harness = owner(acme());

    harness.arrive_forwarded("seatdesk", "one", 500);

    assert_eq!(decision(&mut harness), Ok(IdentityHeaders::Replaced(None)));
}

/// A revoked key must not hold a place in a queue until a slot is free.
#[test]
fn a_queued_call_is_refused_once_its_key_is_gone() {
    let mut harness = owner(acme());
    let calls: Vec<CallId> = (0..6).map(|_| arrive(&mut harness, "/seats", key(ACME))).collect();
    let public = arrive(&mut harness, "/open", key(ACME));
    harness.take_effects();

    harness.configure_version(2, resources(vec![organisation("acme", &[])]));

    let unauthenticated = refusal(RefusalCode::Unauthenticated, Outcome::NotRun);
    let expected = [(calls[4], unauthenticated), (calls[5], unauthenticated)];
    assert_eq!(harness.take_refusals(), expected);
    harness.complete(calls[0], 1);
    let attempts = harness.take_attempts();
    assert_eq!(attempts.iter().map(|attempt| attempt.call).collect::<Vec<_>>(), [public]);
}

/// A retry is a new run: it needs a key that is still valid.
#[rstest]
#[case::not_run(Outcome::NotRun)]
#[case::may_have_run(Outcome::Unknown)]
fn a_call_is_not_retried_once_its_key_is_gone(#[case] outcome: Outcome) {
    let mut harness = ingress(acme(), &["one", "two"]);
    let call = arrive(&mut harness, "/seats", key(ACME));
    harness.configure_version(2, resources(vec![organisation("acme", &[])]));
    harness.take_effects();

    harness.fail(call, 1, RefusalCode::ConnectionLost, outcome);

    let expected = refusal(RefusalCode::Unauthenticated, outcome);
    assert_eq!(harness.take_refusals(), [(call, expected)]);
}

/// Every owner with the newer version would refuse the call; the target is not at fault.
#[test]
fn an_owner_that_knows_of_a_revoked_key_ends_the_call() {
    let mut harness = ingress(acme(), &["one", "two"]);
    for _ in 0..20 {
        let call = arrive(&mut harness, "/seats", key(ACME));
        harness.take_effects();

        harness.fail(call, 1, RefusalCode::Unauthenticated, Outcome::NotRun);

        let expected = refusal(RefusalCode::Unauthenticated, Outcome::NotRun);
        assert_eq!(harness.take_refusals(), [(call, expected)]);
    }
    assert!(harness.routing.metrics().targets.iter().all(|target| !target.is_ejected));
}
