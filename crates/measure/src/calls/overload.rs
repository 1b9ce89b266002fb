//! Goodput under load above capacity.
//!
//! Four targets of 12 slots each receive twice the load that they can serve. The
//! capacity is measured first, with one caller per slot that calls the targets
//! directly. The baseline calls targets at random with immediate retries. All
//! lookups are of the same kind and have a constant service time.

use std::time::Duration;

use fireflylug_fault::{TargetOptions, TargetStandIn};

use super::load::{Call, Callee, Callers, Tally};
use super::mesh::Mesh;
use crate::{Bound, Figure, Options, Report};

const TARGETS: usize = 4;
/// Slots of each target, as [`super::mesh::TargetSpec`] announces them.
const SLOTS: usize = 12;
/// Duration of each call at a target, in microseconds.
const SERVICE_TIME_US: u64 = 40_000;
/// Number of proxies without targets that receive the calls.
const INGRESSES: usize = 2;
/// Number of runs; the median is reported.
const RUNS: u64 = 3;
/// Duration of a run.
const RUN_LENGTH: Duration = Duration::from_secs(4);
/// Duration of the capacity measurement.
const CAPACITY_LENGTH: Duration = Duration::from_secs(2);
/// Minimum goodput, as a share of the capacity.
const MIN_GOODPUT: f64 = 0.9;
/// Maximum factor by which the load may increase the 99th percentile.
const MAX_SLOWDOWN: f64 = 3.0;
/// Maximum time of 99 in 100 refusals, in milliseconds.
const MAX_REFUSAL_MS: f64 = 5.0;

/// Callers time out after one second.
const CALL: Call = Call { line: "GET /seats", timeout_ms: 1_000 };

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let stand_in = TargetOptions::new().with_slots(SLOTS).with_service_time_us(SERVICE_TIME_US);
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(TargetStandIn::start(stand_in).await?);
    }
    let mesh = Mesh::start_with_targets(INGRESSES, CALL.timeout_ms, &targets).await?;
    let addresses: Vec<_> = targets.iter().map(TargetStandIn::address).collect();
    let baseline = Callers::new(Callee::Random(addresses));
    let proxies = (0..INGRESSES).map(|index| mesh.calls(index)).collect();
    let mesh_callers = Callers::new(Callee::Mesh(proxies));

    let capacity = capacity(&targets, options.seed).await;
    let half_load =
        mesh_callers.call_at_rate(CALL, (capacity / 2.0) as u64, RUN_LENGTH, options.seed).await;
    let unloaded_ms = half_load.succeeded_ms(99.0);
    let per_s = (capacity * 2.0) as u64;
    let (mut mesh_tallies, mut baseline_tallies) = (vec![], vec![]);
    for run in 0..RUNS {
        let seed = options.seed + run;
        mesh_tallies.push(mesh_callers.call_at_rate(CALL, per_s, RUN_LENGTH, seed).await);
        baseline_tallies.push(baseline.call_at_rate(CALL, per_s, RUN_LENGTH, seed).await);
        // Calls that timed out still occupy slots of the targets.
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let goodput = |t: &Tally| t.succeeded.len() as f64 / RUN_LENGTH.as_secs_f64() / capacity;
    let slowdown = |t: &Tally| t.succeeded_ms(99.0) / unloaded_ms;
    let refusal = |t: &Tally| t.refused_ms(99.0);
    let failed_share = |t: &Tally| t.failed as f64 / t.calls() as f64;
    let pair = |label, unit, of: &dyn Fn(&Tally) -> f64| {
        let samples = |tallies: &[Tally]| tallies.iter().map(of).collect::<Vec<_>>();
        let baseline_median = Figure::new("", unit, &samples(&baseline_tallies)).median;
        Figure::new(label, unit, &samples(&mesh_tallies)).with_baseline(baseline_median)
    };
    Ok(Report::new(options)
        .with_figure(
            pair("goodput at twice the capacity", "of capacity", &goodput)
                .with_bound(Bound::AtLeast(MIN_GOODPUT)),
        )
        .with_figure(
            pair("answered calls, 99 in 100", "x unloaded", &slowdown)
                .with_bound(Bound::AtMost(MAX_SLOWDOWN)),
        )
        .with_figure(
            Figure::new(
                "refusals, 99 in 100",
                "ms",
                &mesh_tallies.iter().map(refusal).collect::<Vec<_>>(),
            )
            .with_bound(Bound::AtMost(MAX_REFUSAL_MS)),
        )
        .with_figure(Figure::new(
            "refusals, median",
            "ms",
            &mesh_tallies.iter().map(|t| t.refused_ms(50.0)).collect::<Vec<_>>(),
        ))
        .with_figure(pair("neither answered nor refused", "of calls", &failed_share))
        .with_note(format!(
            "Capacity {capacity:.0} calls a second; unloaded 99 in 100: {unloaded_ms:.1} ms."
        )))
}

/// Returns the calls per second that the targets serve when every slot is in use.
async fn capacity(targets: &[TargetStandIn], seed: u64) -> f64 {
    let each = targets.iter().map(|target| {
        let callers = Callers::new(Callee::Random(vec![target.address()]));
        async move { callers.saturate(CALL, SLOTS, CAPACITY_LENGTH, seed).await.succeeded.len() }
    });
    let answered: u64 = futures_util::future::join_all(each).await.into_iter().sum();
    answered as f64 / CAPACITY_LENGTH.as_secs_f64()
}
