//! When refused callers come back, and where refused calls go.

use fireflylug_core::ids::CallId;
use fireflylug_core::membership::MemberStatus;
use fireflylug_core::routing::{
    CallEffect, CallEvent, Outcome, RefusalCode, TargetLoad, TargetNotice,
};

use crate::harness::{Harness, locality, quick_resources, record, refusal};

/// Guards against callers that all come back when the first slot is free and are refused again:
/// each is given a time behind those refused before it, at half of the rate of answers.
#[test]
fn refused_callers_are_spread_over_the_time_in_which_capacity_becomes_free() {
    let mut harness = Harness::new("host-a", quick_resources());
    harness.set_target(record("seatdesk", "one", "host-a"));
    for _ in 0..10 {
        let calls: Vec<CallId> = (0..4).map(|_| harness.arrive("/seats", true)).collect();
        harness.pass_ms(200);
        calls.iter().for_each(|call| harness.complete(*call, 1));
    }
    (0..8).for_each(|_| _ = harness.arrive("/seats", true));
    harness.take_effects();

    (0..20).for_each(|_| _ = harness.arrive("/seats", true));

    let retry_after_ms = |effect| match effect {
        CallEffect::Refuse { retry_after_ms, .. } => retry_after_ms,
        _ => None,
    };
    let times: Vec<u32> = harness.take_effects().into_iter().filter_map(retry_after_ms).collect();
    assert_eq!(times.len(), 20);
    // 20 answers per second leave a place every 100 ms; times are lengthened by up to a half.
    let early = times.iter().filter(|ms| **ms < 1_000).count();
    assert!((4..=10).contains(&early), "{times:?}");
    assert!(times[19] >= 1_700, "{times:?}");
}

/// Guards against calls that are sent again and again to a target whose slots are reserved for
/// other classes: its load shows free slots.
#[test]
fn a_target_that_refused_receives_no_retries_until_its_wait_is_over() {
    let mut ingress = Harness::new("host-a", quick_resources());
    ingress.set_member("host-b", locality("z1", "r1"), MemberStatus::Alive);
    ingress.set_target(record("seatdesk", "one", "host-b"));
    ingress.set_target(record("seatdesk", "two", "host-b"));
    let load = TargetLoad { in_flight: 2, wait_ms: 300, ..TargetLoad::default() };
    let refuse = |ingress: &mut Harness, call, attempt| {
        let refusal = refusal(RefusalCode::Overloaded, Outcome::NotRun);
        let notice = TargetNotice { load: Some(load), ..TargetNotice::default() };
        let is_replayable = true;
        ingress.step(CallEvent::Failed { call, attempt, refusal, is_replayable, notice });
    };
    let first = ingress.arrive("/seats", false);
    refuse(&mut ingress, first, 1);
    refuse(&mut ingress, first, 2);
    ingress.take_effects();

    let second = ingress.arrive("/seats", false);
    refuse(&mut ingress, second, 1);
    let refused = ingress.take_refusals().len();
    ingress.pass_ms(310);
    let third = ingress.arrive("/seats", false);
    refuse(&mut ingress, third, 1);

    assert_eq!(refused, 1);
    let attempts = ingress.take_attempts();
    assert_eq!(attempts.iter().filter(|attempt| attempt.call == third).count(), 2);
}
