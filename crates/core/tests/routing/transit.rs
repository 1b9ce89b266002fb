//! Load pattern: the link between an ingress and an owner is full, or the owner was
//! frozen, so that forwarded calls arrive seconds after they were sent.

use fireflylug_core::routing::{CallEffect, ClockId, Outcome, RefusalCode, Transit};

use crate::bench::{Bench, name, record, refusal};
use fireflylug_core::resource::{Resource, Route, Service};

/// Offset of the ingress's clock, which nobody knows.
const OFFSET_US: u64 = 7_000_000_000;
/// Time on a free way.
const WAY_US: u64 = 31_000;
const INGRESS: ClockId = ClockId(9);

fn owner() -> Bench {
    let mut bench = Bench::new(
        "host-a",
        vec![
            Resource::Service(Service::new(name("seatdesk"))),
            Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
        ],
    );
    bench.target(record("seatdesk", "one", "host-a"));
    bench
}

/// What is told of a call that arrives now, `delay_us` later than on a free way.
fn transit(bench: &Bench, clock: ClockId, delay_us: u64) -> Option<Transit> {
    let received_us = OFFSET_US + bench.now.as_us();
    Some(Transit { clock, sent_us: bench.now.as_us() - WAY_US - delay_us, received_us })
}

/// A call arrives with so much time left. Returns the deadline that the target is told.
fn deadline_ms(bench: &mut Bench, delay_us: u64, remaining_ms: u32) -> Option<u32> {
    let transit = transit(bench, INGRESS, delay_us);
    let call = bench.arrive_after("seatdesk", "one", remaining_ms, transit);
    match bench.take().pop() {
        Some(CallEffect::Dispatch { chain, .. }) => {
            bench.complete(call, 1);
            bench.take();
            chain.remaining_ms
        }
        Some(CallEffect::Refuse { refusal: said, .. }) => {
            assert_eq!(said, refusal(RefusalCode::DeadlineExceeded, Outcome::NotRun));
            None
        }
        other => panic!("{other:?}"),
    }
}

/// An owner that has seen a call on a free way, a while ago.
fn acquainted_owner() -> Bench {
    let mut bench = owner();
    bench.pass_ms(5_000);
    assert_eq!(deadline_ms(&mut bench, 0, 600), Some(600));
    bench.pass_ms(3_000);
    bench
}

#[test]
fn what_the_way_takes_is_no_longer_left() {
    let mut bench = acquainted_owner();

    assert_eq!(deadline_ms(&mut bench, 400_000, 600), Some(200));
    assert_eq!(deadline_ms(&mut bench, 1_500_000, 600), None);
    assert!(bench.routing.is_idle());
}

#[test]
fn the_calls_that_a_frozen_owner_finds_when_it_wakes_have_no_time_left() {
    let mut bench = acquainted_owner();

    bench.pass_ms(4_000);
    for waited_ms in [3_900, 2_100, 700] {
        assert_eq!(deadline_ms(&mut bench, waited_ms * 1_000, 600), None);
    }
    assert_eq!(deadline_ms(&mut bench, 0, 600), Some(600));
}

#[test]
fn nothing_is_taken_off_while_the_clock_of_the_ingress_is_unknown() {
    let mut bench = owner();
    bench.pass_ms(5_000);

    assert_eq!(deadline_ms(&mut bench, 1_500_000, 600), Some(600));
}

/// An ingress that starts anew counts time from another origin.
#[test]
fn a_clock_that_starts_anew_takes_nothing_off() {
    let mut bench = acquainted_owner();
    let transit = Transit { clock: ClockId(10), sent_us: 40, received_us: OFFSET_US };

    bench.arrive_after("seatdesk", "one", 600, Some(transit));

    let Some(CallEffect::Dispatch { chain, .. }) = bench.take().pop() else { panic!("it runs") };
    assert_eq!(chain.remaining_ms, Some(600));
}

/// A way that has become longer for good counts as the free one after a minute.
#[test]
fn the_least_time_on_the_way_is_taken_anew() {
    let mut bench = acquainted_owner();

    for _ in 0..70 {
        bench.pass_ms(1_000);
        deadline_ms(&mut bench, 50_000, 600);
    }

    assert_eq!(deadline_ms(&mut bench, 50_000, 600), Some(600));
}
