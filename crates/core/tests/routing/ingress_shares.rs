//! Shares of organisations at the ingress of a service whose owner does not divide its capacity.

use fireflylug_core::membership::MemberStatus;
use fireflylug_core::organisation::{ApiKey, Credential, KeyDigest, Organisation};
use fireflylug_core::quota::QuotaLimit;
use fireflylug_core::resource::Resource;
use fireflylug_core::routing::{CallEffect, CallEvent, Outcome, RefusalCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, locality, name, quick_resources, record};

/// Calls per second that the owner admits, in the order in which they arrive.
const CAPACITY: u64 = 50;
const SECONDS: u64 = 10;

/// Ends of calls, by organisation, from second 3 on.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    served: u64,
    refused_by_owner: u64,
    refused_at_once: u64,
}

/// Lets calls of organisations arrive at random. `calls_per_s` has one number per organisation.
/// The target answers `faulty_percent` of the calls with an error.
fn play(calls_per_s: &[u64], faulty_percent: u32, seed: u64) -> Vec<Ends> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut resources = quick_resources();
    for i in 0..calls_per_s.len() {
        let organisation =
            Organisation::new(name(&format!("org-{i}")), vec![ApiKey::from(&*format!("key-{i}"))]);
        resources.push(Resource::Organisation(organisation));
    }
    let mut ingress = Harness::new("host-a", resources);
    ingress.set_member("host-b", locality("z1", "r1"), MemberStatus::Alive);
    ingress.set_target(record("seatdesk", "one", "host-b"));
    let limit = QuotaLimit { rate_per_s: 100.0, burst: 100.0 };
    let quotas: Vec<_> =
        (0..calls_per_s.len()).map(|i| (name(&format!("org-{i}")), limit)).collect();
    ingress.with_quotas(|all, cx| all.configure(cx, quotas));
    ingress.pass_ms(10_000);
    let mut ends = vec![Ends::default(); calls_per_s.len()];
    let mut credit = 0;
    for ms in 0..SECONDS * 1_000 {
        ingress.pass_ms(1);
        credit = (credit + CAPACITY).min(4_000);
        for (i, rate) in calls_per_s.iter().enumerate() {
            if rng.random_range(0..1_000) >= *rate {
                continue;
            }
            let key = Credential::Key(KeyDigest::of(&format!("key-{i}")));
            ingress.arrive_with("/seats", |head| head.credential = key);
            let mut ended = Ends::default();
            for effect in ingress.take_effects() {
                match effect {
                    CallEffect::Forward { call, attempt, .. } if credit >= 1_000 => {
                        credit -= 1_000;
                        let is_faulty = rng.random_range(0..100) < faulty_percent;
                        ingress.answer(call, attempt, if is_faulty { 500 } else { 200 });
                        ingress.step(CallEvent::Ended { call, attempt, is_complete: true });
                        ended.served = 1;
                    }
                    CallEffect::Forward { call, attempt, .. } => {
                        ingress.fail(call, attempt, RefusalCode::Overloaded, Outcome::NotRun);
                        ended.refused_by_owner = 1;
                    }
                    CallEffect::Refuse { retry_after_ms, refusal, .. } => {
                        // Refused calls use no credit of the quota.
                        assert_eq!(refusal.code, RefusalCode::Overloaded);
                        assert!(retry_after_ms.is_some_and(|ms| ms <= 6_000));
                        ended.refused_at_once = 1;
                    }
                    _ => {}
                }
            }
            ingress.take_effects();
            if ms >= 3_000 {
                ends[i].served += ended.served;
                ends[i].refused_by_owner += ended.refused_by_owner;
                ends[i].refused_at_once += ended.refused_at_once;
            }
        }
    }
    ends
}

/// Guards against an organisation that takes the capacity of others by making more calls, and
/// against limits that leave capacity unused, also if the target fails for another reason.
#[rstest]
#[case::one_large(&[10, 15, 400], 25, 0)]
#[case::three_large(&[5, 60, 60, 300], 15, 0)]
#[case::errors(&[10, 15, 400], 25, 50)]
fn calls_above_a_share_are_refused_at_the_ingress(
    #[case] rates: &[u64],
    #[case] level: u64,
    #[case] faulty_percent: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let ends = play(rates, faulty_percent, seed);

    let seconds = SECONDS - 3;
    for (end, rate) in ends.iter().zip(rates) {
        assert!(end.served * 10 >= level.min(*rate) * seconds * 6, "{ends:?}");
    }
    let served: u64 = ends.iter().map(|end| end.served).sum();
    assert!(served * 10 >= CAPACITY * seconds * 9, "{ends:?}");
    let largest = ends.last().unwrap();
    assert!(largest.refused_at_once > largest.refused_by_owner * 10, "{ends:?}");
}

/// Guards against refusals at the ingress below the capacity, also where the owner refuses single
/// calls that arrive at the same time.
#[rstest]
fn no_call_is_refused_at_the_ingress_below_the_capacity(#[values(1, 2, 3)] seed: u64) {
    let ends = play(&[5, 5, 15], 0, seed);

    assert!(ends.iter().all(|end| end.refused_at_once == 0), "{ends:?}");
}
