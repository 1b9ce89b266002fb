//! Calls while one target is stalled.
//!
//! One of six targets stops responding, but still accepts connections and is still
//! announced as ready and without load. Lookups that start more than a second later
//! must not fail or be late. The baseline calls targets at random with immediate
//! retries.

use std::time::Duration;

use fireflylug_fault::{TargetOptions, TargetStandIn};

use super::load::{Call, Callee, Callers, Tally};
use super::mesh::Mesh;
use crate::{Bound, Figure, Options, Report};

const TARGETS: usize = 6;
/// Duration of each call at a target, in microseconds.
const SERVICE_TIME_US: u64 = 5_000;
/// Number of proxies without targets that receive the calls.
const INGRESSES: usize = 2;
/// Lookups per second.
const PER_S: u64 = 400;
/// Duration of calls before the stall.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time between the stall and the first counted call.
const GRACE: Duration = Duration::from_secs(1);
/// Duration of the counted calls.
const COUNTED_LENGTH: Duration = Duration::from_secs(5);
/// Number of runs; the median is reported.
const RUNS: u64 = 3;
/// Time after which a lookup is late, in milliseconds.
const LATE_MS: u64 = 250;
/// Maximum share of lookups that may fail or be late, in percent.
const MAX_FAILED_OR_LATE_PERCENT: f64 = 1.0;

const CALL: Call = Call { line: "GET /seats", timeout_ms: 2_000 };

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let (mut mesh_percents, mut first_second, mut baseline_percents) = (vec![], vec![], vec![]);
    for run in 0..RUNS {
        let seed = options.seed + 100 * run;
        let (first, after) = run_stall(seed, true).await?;
        first_second.push(failed_or_late_percent(&first));
        mesh_percents.push(failed_or_late_percent(&after));
        baseline_percents.push(failed_or_late_percent(&run_stall(seed, false).await?.1));
    }
    let baseline = Figure::new("", "%", &baseline_percents).median;
    Ok(Report::new(options)
        .with_figure(
            Figure::new("failed or late after the first second", "% of lookups", &mesh_percents)
                .with_baseline(baseline)
                .with_bound(Bound::AtMost(MAX_FAILED_OR_LATE_PERCENT)),
        )
        .with_figure(Figure::new("in the first second", "% of lookups", &first_second))
        .with_note(format!("{PER_S} lookups a second; late: more than {LATE_MS} ms.")))
}

/// Returns the results of the first second of a stall and of the time after it.
async fn run_stall(seed: u64, through_mesh: bool) -> eyre::Result<(Tally, Tally)> {
    let healthy = TargetOptions::new().with_service_time_us(SERVICE_TIME_US);
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(TargetStandIn::start(healthy).await?);
    }
    let mesh = Mesh::start_with_targets(INGRESSES, CALL.timeout_ms, &targets).await?;
    let callee = if through_mesh {
        Callee::Mesh((0..INGRESSES).map(|index| mesh.calls(index)).collect())
    } else {
        Callee::Random(targets.iter().map(TargetStandIn::address).collect())
    };
    let callers = Callers::new(callee);
    callers.call_at_rate(CALL, PER_S, WARM_UP, seed).await;
    targets[0].set_options(healthy.with_stalled(true));
    // Calls of the first second may end after the counted ones, so they run in a task.
    let first = tokio::spawn({
        let callers = callers.clone();
        async move { callers.call_at_rate(CALL, PER_S, GRACE, seed + 1).await }
    });
    tokio::time::sleep(GRACE).await;
    let after = callers.call_at_rate(CALL, PER_S, COUNTED_LENGTH, seed + 2).await;
    Ok((first.await?, after))
}

/// Returns the share of calls that failed, were refused or were late, in percent.
fn failed_or_late_percent(tally: &Tally) -> f64 {
    let in_time = tally.succeeded.count_between(0, LATE_MS * 1_000);
    100.0 * (tally.calls() - in_time) as f64 / tally.calls() as f64
}
