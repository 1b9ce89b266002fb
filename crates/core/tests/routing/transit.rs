//! Load pattern: forwarded calls arrive seconds after they were sent, because the link between
//! ingress and owner is saturated or the owner was frozen. Guards against work on calls whose
//! deadline passed in transit.

use fireflylug_core::routing::{CallEffect, ClockId, Outcome, RefusalCode, Transit};

use crate::harness::{Harness, name, record, refusal};
use fireflylug_core::resource::{Resource, Route, Service};

/// Offset of the ingress's clock, which is unknown to the owner.
const OFFSET_US: u64 = 7_000_000_000;
/// Transit time on an idle network path.
const MIN_TRANSIT_US: u64 = 31_000;
const INGRESS: ClockId = ClockId(9);

fn owner() -> Harness {
    let mut harness = Harness::new(
        "host-a",
        vec![
            Resource::Service(Service::new(name("seatdesk"))),
            Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        ],
    );
    harness.set_target(record("seatdesk", "one", "host-a"));
    harness
}

/// Send and receive time of a call that arrives now, `delay_us` later than on an idle path.
fn transit(harness: &Harness, clock: ClockId, delay_us: u64) -> Option<Transit> {
    let received_us = OFFSET_US + harness.now.as_us();
    Some(Transit { clock, sent_us: harness.now.as_us() - MIN_TRANSIT_US - delay_us, received_us })
}

/// Lets a call arrive with this remaining time. Returns the remaining time that the target
/// receives.
fn deadline_ms(harness: &mut Harness, delay_us: u64, remaining_ms: u32) -> Option<u32> {
    let transit = transit(harness, INGRESS, delay_us);
    let call = harness.arrive_after("seatdesk", "one", remaining_ms, transit);
    match harness.take_effects().pop() {
        Some(CallEffect::Dispatch { chain, .. }) => {
            harness.complete(call, 1);
            harness.take_effects();
            chain.remaining_ms
        }
        Some(CallEffect::Refuse { refusal: actual, .. }) => {
            assert_eq!(actual, refusal(RefusalCode::DeadlineExceeded, Outcome::NotRun));
            None
        }
        other => panic!("{other:?}"),
    }
}

/// An owner that received a call over an idle path a while ago.
fn owner_with_known_transit() -> Harness {
    let mut harness = owner();
    harness.pass_ms(5_000);
    assert_eq!(deadline_ms(&mut harness, 0, 600), Some(600));
    harness.pass_ms(3_000);
    harness
}

#[test]
fn transit_delay_is_subtracted_from_the_remaining_time() {
    let mut harness = owner_with_known_transit();

    assert_eq!(deadline_ms(&mut harness, 400_000, 600), Some(200));
    assert_eq!(deadline_ms(&mut harness, 1_500_000, 600), None);
    assert!(harness.routing.is_idle());
}

#[test]
fn calls_received_after_an_owner_freeze_have_no_time_left() {
    let mut harness = owner_with_known_transit();

    harness.pass_ms(4_000);
    for waited_ms in [3_900, 2_100, 700] {
        assert_eq!(deadline_ms(&mut harness, waited_ms * 1_000, 600), None);
    }
    assert_eq!(deadline_ms(&mut harness, 0, 600), Some(600));
}

#[test]
fn no_delay_is_subtracted_for_an_unknown_clock() {
    let mut harness = owner();
    harness.pass_ms(5_000);

    assert_eq!(deadline_ms(&mut harness, 1_500_000, 600), Some(600));
}

/// A restarted ingress counts time from another origin.
#[test]
fn no_delay_is_subtracted_after_an_ingress_restart() {
    let mut harness = owner_with_known_transit();
    let transit = Transit { clock: ClockId(10), sent_us: 40, received_us: OFFSET_US };

    harness.arrive_after("seatdesk", "one", 600, Some(transit));

    let Some(CallEffect::Dispatch { chain, .. }) = harness.take_effects().pop() else {
        panic!("the call was not dispatched")
    };
    assert_eq!(chain.remaining_ms, Some(600));
}

/// A permanently longer transit time counts as the minimum after a minute.
#[test]
fn the_minimum_transit_time_is_renewed() {
    let mut harness = owner_with_known_transit();

    for _ in 0..70 {
        harness.pass_ms(1_000);
        deadline_ms(&mut harness, 50_000, 600);
    }

    assert_eq!(deadline_ms(&mut harness, 50_000, 600), Some(600));
}
