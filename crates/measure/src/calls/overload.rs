//! Useful answers above capacity.
//!
//! Four targets of 12 slots each are given twice the calls that they can
//! answer. The capacity is measured first, by as many callers as there are
//! slots that call the targets directly. The baseline calls targets at random
//! with plain retries. The lookups are of one kind and of steady service time.

use std::time::Duration;

use fireflylug_fault::{TargetOptions, TargetStandIn};

use super::load::{Call, Callee, Callers, Tally};
use super::mesh::Mesh;
use crate::{Bound, Figure, Options, Report};

const TARGETS: usize = 4;
/// Slots of each target, as [`super::mesh::Announced`] tells them.
const SLOTS: usize = 12;
/// Time that a target takes for each call, in microseconds.
const SERVICE_TIME_US: u64 = 40_000;
/// Proxies without targets that take the calls.
const INGRESSES: usize = 2;
/// Runs, of which the median counts.
const RUNS: u64 = 3;
/// Length of a run.
const RUN_LENGTH: Duration = Duration::from_secs(4);
/// Length of the measurement of the capacity.
const CAPACITY_LENGTH: Duration = Duration::from_secs(2);
/// Least share of the capacity that must be answered usefully.
const MIN_GOODPUT: f64 = 0.9;
/// Most times that the load may multiply the 99th percentile.
const MAX_SLOWDOWN: f64 = 3.0;
/// Time within which 99 in 100 refusals must be answered, in milliseconds.
const MAX_REFUSAL_MS: f64 = 5.0;

/// Callers walk away after a second.
const CALL: Call = Call { line: "GET /seats", give_up_ms: 1_000 };

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let stand_in = TargetOptions::new().with_slots(SLOTS).with_service_time_us(SERVICE_TIME_US);
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(TargetStandIn::start(stand_in).await?);
    }
    let mesh = Mesh::start_with_targets(INGRESSES, CALL.give_up_ms, &targets).await?;
    let addresses: Vec<_> = targets.iter().map(TargetStandIn::address).collect();
    let baseline = Callers::new(Callee::Random(addresses));
    let proxies = (0..INGRESSES).map(|index| mesh.calls(index)).collect();
    let through = Callers::new(Callee::Mesh(proxies));

    let capacity = capacity(&targets, options.seed).await;
    let light = through.steady(CALL, (capacity / 2.0) as u64, RUN_LENGTH, options.seed).await;
    let unloaded_ms = light.good_ms(99.0);
    let per_s = (capacity * 2.0) as u64;
    let (mut of_mesh, mut of_baseline) = (vec![], vec![]);
    for run in 0..RUNS {
        let seed = options.seed + run;
        of_mesh.push(through.steady(CALL, per_s, RUN_LENGTH, seed).await);
        of_baseline.push(baseline.steady(CALL, per_s, RUN_LENGTH, seed).await);
        // Calls that were given up still hold slots of the targets.
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let goodput = |t: &Tally| t.good.len() as f64 / RUN_LENGTH.as_secs_f64() / capacity;
    let slowdown = |t: &Tally| t.good_ms(99.0) / unloaded_ms;
    let refusal = |t: &Tally| t.refused_ms(99.0);
    let other = |t: &Tally| t.failed as f64 / t.calls() as f64;
    let pair = |label, unit, of: &dyn Fn(&Tally) -> f64| {
        let samples = |tallies: &[Tally]| tallies.iter().map(of).collect::<Vec<_>>();
        let beside = Figure::new("", unit, &samples(&of_baseline)).median;
        Figure::new(label, unit, &samples(&of_mesh)).with_baseline(beside)
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
                &of_mesh.iter().map(refusal).collect::<Vec<_>>(),
            )
            .with_bound(Bound::AtMost(MAX_REFUSAL_MS)),
        )
        .with_figure(Figure::new(
            "refusals, median",
            "ms",
            &of_mesh.iter().map(|t| t.refused_ms(50.0)).collect::<Vec<_>>(),
        ))
        .with_figure(pair("neither answered nor refused", "of calls", &other))
        .with_note(format!(
            "Capacity {capacity:.0} calls a second; unloaded 99 in 100: {unloaded_ms:.1} ms."
        )))
}

/// Calls a second that the targets answer when every slot is in use.
async fn capacity(targets: &[TargetStandIn], seed: u64) -> f64 {
    let each = targets.iter().map(|target| {
        let callers = Callers::new(Callee::Random(vec![target.address()]));
        async move { callers.saturate(CALL, SLOTS, CAPACITY_LENGTH, seed).await.good.len() }
    });
    let answered: u64 = futures_util::future::join_all(each).await.into_iter().sum();
    answered as f64 / CAPACITY_LENGTH.as_secs_f64()
}
