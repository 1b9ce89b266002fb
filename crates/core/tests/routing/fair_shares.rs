//! Shares of organisations at one overloaded target, in a model without a network.

use std::collections::BTreeMap;

use fireflylug_core::ids::CallId;
use fireflylug_core::routing::CallEffect;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, forward_head, name, record};

const SLOTS: u32 = 8;
const HOLD_MS: u64 = 100;
const MEASURED_S: u64 = 8;
/// Calls per second that the target completes.
const CAPACITY: u64 = SLOTS as u64 * 1_000 / HOLD_MS;
/// Time for which a caller repeats a refused call, in milliseconds.
const PATIENCE_MS: u64 = 2_000;

#[derive(Clone, Copy)]
struct Caller {
    has_organisation: bool,
    /// When the caller makes its first call, in milliseconds.
    from_ms: u64,
    calls_per_s: u64,
    /// Time until a refused call is repeated, in milliseconds.
    repeat_after_ms: u64,
}

fn caller(calls_per_s: u64) -> Caller {
    Caller { has_organisation: true, from_ms: 0, calls_per_s, repeat_after_ms: 300 }
}

enum Event {
    Arrive(usize),
    Repeat(usize, u64),
    Done(CallId, u8),
}

/// Calls per second that are served by caller, from second 1 on.
fn serve(callers: &[Caller], seed: u64) -> Vec<f64> {
    serve_from(1_000, callers, seed)
}

fn serve_from(measured_from_ms: u64, callers: &[Caller], seed: u64) -> Vec<f64> {
    let mut harness = Harness::new("host-a", Vec::new());
    let mut target = record("seatdesk", "one", "host-a");
    (target.slots, target.connections) = (SLOTS, SLOTS);
    harness.set_target(target);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut events: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut schedule = {
        let mut next = 0;
        move |events: &mut BTreeMap<_, _>, at_ms: u64, event| {
            next += 1;
            events.insert((at_ms, next), event);
        }
    };
    let (start_ms, from_ms) = (harness.now.as_ms(), harness.now.as_ms() + measured_from_ms);
    for (i, caller) in callers.iter().enumerate() {
        schedule(&mut events, start_ms + caller.from_ms, Event::Arrive(i));
    }
    let mut open: BTreeMap<CallId, (usize, u64)> = BTreeMap::new();
    let mut served = vec![0_u32; callers.len()];
    while let Some(((at_ms, _), event)) = events.pop_first()
        && at_ms < from_ms + MEASURED_S * 1_000
    {
        harness.pass_ms(at_ms.saturating_sub(harness.now.as_ms()));
        let (i, until_ms) = match event {
            Event::Arrive(i) => {
                let gap_ms = rng.random_range(0..=2_000 / callers[i].calls_per_s);
                schedule(&mut events, at_ms + gap_ms.max(1), Event::Arrive(i));
                (i, at_ms + PATIENCE_MS)
            }
            Event::Repeat(i, until_ms) => (i, until_ms),
            Event::Done(call, attempt) => {
                let (i, _) = open.remove(&call).expect("the call is open");
                served[i] += u32::from(at_ms >= from_ms);
                harness.complete(call, attempt);
                (i, 0)
            }
        };
        if until_ms > at_ms {
            let mut head = forward_head("seatdesk", "one", 800);
            head.useful_ms = 400;
            head.organisation = callers[i].has_organisation.then(|| name(&format!("org-{i}")));
            let call = harness.arrive_from_proxy(head, None);
            open.insert(call, (i, until_ms));
        }
        for effect in harness.take_effects() {
            match effect {
                CallEffect::Dispatch { call, attempt, .. } => {
                    let hold_ms = rng.random_range(HOLD_MS * 3 / 4..=HOLD_MS * 5 / 4);
                    schedule(&mut events, at_ms + hold_ms, Event::Done(call, attempt));
                }
                CallEffect::Refuse { call, .. } => {
                    let (i, until_ms) = open.remove(&call).expect("the call is open");
                    let repeat_ms = at_ms + callers[i].repeat_after_ms;
                    schedule(&mut events, repeat_ms, Event::Repeat(i, until_ms));
                }
                _ => {}
            }
        }
    }
    served.iter().map(|calls| f64::from(*calls) / MEASURED_S as f64).collect()
}

/// Max-min fair shares of the capacity.
fn water_fill(callers: &[Caller]) -> Vec<f64> {
    let level = (1..=CAPACITY).rev().find(|level| {
        callers.iter().map(|caller| caller.calls_per_s.min(*level)).sum::<u64>() <= CAPACITY
    });
    callers.iter().map(|caller| caller.calls_per_s.min(level.unwrap_or(1)) as f64).collect()
}

/// Guards against organisations whose share depends on how many calls they make, or on how soon
/// they repeat refused ones. The last two callers differ only in that.
#[rstest]
#[case::few(&[10, 20, 60, 60])]
#[case::one_large(&[5, 15, 400, 30, 30])]
#[case::many(&[4, 4, 8, 8, 8, 8, 16, 16, 16, 40, 80, 80])]
fn organisations_get_max_min_shares(#[case] demands: &[u64], #[values(1, 2, 3)] seed: u64) {
    let mut callers: Vec<Caller> = demands.iter().map(|calls| caller(*calls)).collect();
    callers.last_mut().unwrap().repeat_after_ms = 10;

    let served = serve(&callers, seed);

    let shares = water_fill(&callers);
    let mean = served.iter().sum::<f64>() / served.len() as f64;
    for (i, share) in shares.iter().enumerate() {
        assert!(served[i] >= share * 0.75, "{i}: {served:?}, shares {shares:?}");
        let is_modest = (demands[i] as f64) < mean / 4.0;
        assert!(is_modest || served[i] >= mean / 4.0, "{i}: {served:?}, mean {mean}");
    }
    let [.., patient, eager] = served[..] else { panic!("two callers") };
    assert!(eager <= patient * 1.1, "{served:?}, shares {shares:?}");
    assert!(served.iter().sum::<f64>() >= CAPACITY as f64 * 0.95, "{served:?}");
}

/// Guards against shares that are kept for organisations without demand.
#[rstest]
fn one_organisation_alone_may_use_all_capacity(#[values(1, 2)] seed: u64) {
    let alone = serve(&[caller(200)], seed);

    let without = serve(&[Caller { has_organisation: false, ..caller(200) }], seed);
    assert_eq!(alone, without);
    assert!(alone[0] >= CAPACITY as f64 * 0.95, "{alone:?}");
}

/// Guards against organisations that collect a claim while they are idle, and displace the calls
/// of others when they return.
#[rstest]
fn an_idle_organisation_gains_nothing(#[values(1, 2)] seed: u64) {
    let from_ms = 6_000;
    let callers = [caller(200), Caller { from_ms, ..caller(200) }];

    let served = serve_from(from_ms, &callers, seed);

    assert!((served[0] - served[1]).abs() <= CAPACITY as f64 * 0.05, "{served:?}");
}
