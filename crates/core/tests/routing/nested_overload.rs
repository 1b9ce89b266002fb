//! Overload of services whose requests make calls to each other.

use rstest::rstest;

use crate::nested_model::{Kind, Model, OVERLOAD, SECONDS, Second};

/// Requests per second of the service that makes calls, outside of the overload.
const RATE: u64 = 120;

fn booking(rate_in_overload: u64, calls: u64) -> Kind {
    Kind {
        name: "booking",
        targets: 8,
        rates: [RATE, rate_in_overload],
        work_ms: 160,
        nested_ms: 0,
        calls: Some((1, calls)),
    }
}

/// Completes the calls of 150 requests per second that make two each.
fn prices() -> Kind {
    Kind { name: "prices", targets: 1, rates: [0, 0], work_ms: 30, nested_ms: 30, calls: None }
}

/// Requests that hold their slots for long, beside short nested calls.
fn hotels(rate_in_overload: u64) -> Kind {
    let rates = [70, rate_in_overload];
    Kind { name: "hotels", targets: 3, rates, work_ms: 300, nested_ms: 40, calls: None }
}

fn sum(seconds: &[Second], count: impl Fn(&Second) -> u32) -> u64 {
    seconds.iter().map(|second| u64::from(count(second))).sum()
}

/// Guards against an overload that outlasts its cause: requests whose nested calls are refused
/// end with errors, their callers return, and the nested calls of those that fail later leave too
/// little capacity for any request to be finished. It lasts if new work is not limited.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn an_overload_ends_soon_after_its_cause(#[case] seed: u64) {
    let run = |is_limited| Model::new(vec![booking(500, 2), prices()], is_limited, seed).run();

    let (limited, unlimited) = (run(true), run(false));

    let after = OVERLOAD.end + 3..SECONDS;
    let succeeded = sum(&limited[after.clone()], |second| second.succeeded[0]);
    let failed = sum(&limited[after.clone()], |second| second.failed[0]);
    let new = RATE * after.len() as u64;
    assert!(succeeded * 100 >= new * 95, "{succeeded} of {new} succeeded");
    assert!(failed * 4 <= succeeded, "{failed} failed, {succeeded} succeeded");
    let succeeded = sum(&unlimited[after.clone()], |second| second.succeeded[0]);
    let failed = sum(&unlimited[after], |second| second.failed[0]);
    assert!(failed >= succeeded * 2, "{failed} failed, {succeeded} succeeded without a limit");
}

/// Guards against a limit that starves a service whose requests fail for another reason than
/// their number, and against one that remains after the errors have ended. In the second case
/// another service is overloaded at the same time, so that the cause is not known.
#[rstest]
#[case::no_overload(10, 100)]
#[case::overload_of_another_service(250, 40)]
fn errors_of_another_cause_starve_no_service(
    #[case] other_rate: u64,
    #[case] min_percent: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let faulty = Kind { calls: None, ..booking(RATE, 0) };
    let mut other = hotels(other_rate);
    other.targets = 1;
    other.rates[0] = 10;
    let mut model = Model::new(vec![faulty, other], true, seed);
    model.faults = (OVERLOAD, 50);

    let seconds = model.run();

    let ran = sum(&seconds[OVERLOAD], |second| second.succeeded[0] + second.failed[0]);
    assert!(ran * 100 >= RATE * OVERLOAD.len() as u64 * min_percent, "{ran} requests ran");
    for second in &seconds[OVERLOAD.end + 2..] {
        assert!(u64::from(second.succeeded[0]) * 10 >= RATE * 8, "{second:?}");
        assert_eq!(second.failed[0], 0);
    }
}

/// Guards against nested calls that wait for long calls to end, so that the requests that made
/// them fail.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn nested_calls_find_slots_among_long_calls(#[case] seed: u64) {
    let seconds = Model::new(vec![booking(RATE, 1), hotels(400)], true, seed).run();

    let failed = sum(&seconds[OVERLOAD], |second| second.failed[0]);
    let succeeded = sum(&seconds[OVERLOAD], |second| second.succeeded[0]);
    assert!(failed * 50 <= succeeded, "{failed} failed, {succeeded} succeeded");
}
