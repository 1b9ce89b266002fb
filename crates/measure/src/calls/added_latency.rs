//! Time added to a call.
//!
//! Callers at moderate load call a target directly, through its owner, and through
//! two proxies (ingress and owner) in turn. The added time is reported twice: as
//! the difference of the 99th percentiles, and as the 99th percentile through the
//! mesh minus the median of direct calls. The second figure also includes the noise
//! of the machine itself.

use std::time::{Duration, Instant};

use fireflylug_core::resource::{Resource, Route, Service};
use fireflylug_fault::{TargetOptions, TargetStandIn};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::load::{Call, Callee, Callers, Tally};
use super::mesh::{Mesh, TargetSpec, name};
use super::reducer_cost;
use crate::{Bound, Figure, Options, Report};

/// Maximum time that the mesh may add to 99 calls in 100, in milliseconds.
const MAX_ADDED_MS: f64 = 0.6;
/// Number of runs; the median is reported.
const RUNS: u64 = 5;
/// Length of a run.
const RUN_LENGTH: Duration = Duration::from_secs(4);
/// Warm-up before the measured runs: connections open and estimates converge.
const WARM_UP: Duration = Duration::from_millis(500);
/// Number of concurrent callers.
const CALLERS: u64 = 6;
/// Time between two calls of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1..5;

const CALL: Call = Call { line: "GET /seats", timeout_ms: 5_000 };

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let target = TargetStandIn::start(TargetOptions::new().with_body_bytes(512)).await?;
    let mut mesh = Mesh::start(2).await?;
    mesh.configure([
        Resource::Service(Service::new(name("seatdesk"))),
        Resource::Route(Route::new(name("seats"), "/", name("seatdesk"))),
    ]);
    mesh.announce(1, TargetSpec::new("seatdesk", "t1", target.address()));
    mesh.wait_for_targets(1).await?;
    let direct = Callers::new(Callee::Random(vec![target.address()]));
    let owner = Callers::new(Callee::Mesh(vec![mesh.calls(1)]));
    let two_proxies = Callers::new(Callee::Mesh(vec![mesh.calls(0)]));

    alternate([&direct, &owner, &two_proxies], WARM_UP, options.seed).await;
    let (mut added, mut above_direct_median, mut p50, mut p99, mut one_hop, mut direct_p99) =
        (vec![], vec![], vec![], vec![], vec![], vec![]);
    let mut failed = 0;
    let mut calls = 0;
    for run in 0..RUNS {
        let seed = options.seed + 1_000 * run;
        let [direct, owner, two_proxies] =
            alternate([&direct, &owner, &two_proxies], RUN_LENGTH, seed).await;
        added.push(two_proxies.succeeded_ms(99.0) - direct.succeeded_ms(99.0));
        above_direct_median.push(two_proxies.succeeded_ms(99.0) - direct.succeeded_ms(50.0));
        one_hop.push(owner.succeeded_ms(99.0) - direct.succeeded_ms(99.0));
        p50.push(two_proxies.succeeded_ms(50.0) - direct.succeeded_ms(50.0));
        p99.push(two_proxies.succeeded_ms(99.0));
        direct_p99.push(direct.succeeded_ms(99.0));
        failed += two_proxies.calls() - two_proxies.succeeded.len();
        calls = direct.calls() + owner.calls() + two_proxies.calls();
    }
    let baseline = Figure::new("", "ms", &direct_p99).median;
    let cost: Vec<f64> =
        (0..RUNS).map(|run| reducer_cost::ingress_us(options.seed + run)).collect();
    let rate = calls as f64 / RUN_LENGTH.as_secs_f64();
    Ok(Report::new(options)
        .with_figure(
            Figure::new("added by two proxies, 99 in 100 calls", "ms", &added)
                .with_bound(Bound::AtMost(MAX_ADDED_MS)),
        )
        .with_figure(
            Figure::new("the same, against the direct median", "ms", &above_direct_median)
                .with_bound(Bound::AtMost(MAX_ADDED_MS)),
        )
        .with_figure(Figure::new("added by the owner alone, 99 in 100 calls", "ms", &one_hop))
        .with_figure(Figure::new("added by two proxies, median", "ms", &p50))
        .with_figure(Figure::new("whole call, 99 in 100 calls", "ms", &p99).with_baseline(baseline))
        .with_figure(Figure::new("reducer's time for a call at its ingress", "us", &cost))
        .with_figure(
            Figure::new("calls not answered well", "calls", &[failed as f64])
                .with_bound(Bound::AtMost(0.0)),
        )
        .with_note(format!(
            "{rate:.0} calls a second in all, a third of each kind; baseline: direct calls."
        ))
        .with_note("Callers, both proxies and the target share one machine and one scheduler."))
}

/// Runs callers that each call every callee in turn, with random pauses.
async fn alternate<const N: usize>(
    callees: [&Callers; N],
    length: Duration,
    seed: u64,
) -> [Tally; N] {
    let until = Instant::now() + length;
    let run_caller = |caller| {
        let callees = callees.map(Callers::clone);
        let mut rng = SmallRng::seed_from_u64(seed + caller);
        tokio::spawn(async move {
            let mut tallies: [Tally; N] = std::array::from_fn(|_| Tally::default());
            while Instant::now() < until {
                for (callee, tally) in callees.iter().zip(&mut tallies) {
                    let pause_ms = rng.random_range(PAUSE_MS);
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    let (result, duration_us) = callee.call(CALL, &mut rng).await;
                    tally.count(result, duration_us);
                }
            }
            tallies
        })
    };
    let callers: Vec<_> = (0..CALLERS).map(run_caller).collect();
    let mut total: [Tally; N] = std::array::from_fn(|_| Tally::default());
    for caller in callers {
        if let Ok(tallies) = caller.await {
            total.iter_mut().zip(&tallies).for_each(|(total, tally)| total.add(tally));
        }
    }
    total
}
