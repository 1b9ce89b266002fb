//! Calls beside a stalled target.
//!
//! One of six targets stops answering, while it takes connections and its
//! announcement still says that it is ready and has no load. Lookups that begin
//! more than a second later must not fail or be late. The baseline calls
//! targets at random with plain retries.

use std::time::Duration;

use fireflylug_fault::{TargetOptions, TargetStandIn};

use super::load::{Call, Callee, Callers, Tally};
use super::mesh::Mesh;
use crate::{Bound, Figure, Options, Report};

const TARGETS: usize = 6;
/// Time that a target takes for each call, in microseconds.
const SERVICE_TIME_US: u64 = 5_000;
/// Proxies without targets that take the calls.
const INGRESSES: usize = 2;
/// Lookups a second.
const PER_S: u64 = 400;
/// Time of calls before the stall.
const BEFORE: Duration = Duration::from_secs(2);
/// Time from the stall to the calls that count.
const GRACE: Duration = Duration::from_secs(1);
/// Time of the calls that count.
const COUNTED: Duration = Duration::from_secs(5);
/// Runs, of which the median counts.
const RUNS: u64 = 3;
/// Time after which a lookup is late, in milliseconds.
const LATE_MS: u64 = 250;
/// Most lookups that may fail or be late, in percent.
const MAX_BAD_PERCENT: f64 = 1.0;

const CALL: Call = Call { line: "GET /seats", give_up_ms: 2_000 };

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let (mut of_mesh, mut first_second, mut of_baseline) = (vec![], vec![], vec![]);
    for run in 0..RUNS {
        let seed = options.seed + 100 * run;
        let (first, after) = stall(seed, true).await?;
        first_second.push(bad_percent(&first));
        of_mesh.push(bad_percent(&after));
        of_baseline.push(bad_percent(&stall(seed, false).await?.1));
    }
    let baseline = Figure::new("", "%", &of_baseline).median;
    Ok(Report::new(options)
        .with_figure(
            Figure::new("failed or late after the first second", "% of lookups", &of_mesh)
                .with_baseline(baseline)
                .with_bound(Bound::AtMost(MAX_BAD_PERCENT)),
        )
        .with_figure(Figure::new("in the first second", "% of lookups", &first_second))
        .with_note(format!("{PER_S} lookups a second; late: more than {LATE_MS} ms.")))
}

/// Tallies of the first second of a stall and of the time after it.
async fn stall(seed: u64, through_mesh: bool) -> eyre::Result<(Tally, Tally)> {
    let healthy = TargetOptions::new().with_service_time_us(SERVICE_TIME_US);
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(TargetStandIn::start(healthy).await?);
    }
    let mesh = Mesh::start_with_targets(INGRESSES, CALL.give_up_ms, &targets).await?;
    let callee = if through_mesh {
        Callee::Mesh((0..INGRESSES).map(|index| mesh.calls(index)).collect())
    } else {
        Callee::Random(targets.iter().map(TargetStandIn::address).collect())
    };
    let callers = Callers::new(callee);
    callers.steady(CALL, PER_S, BEFORE, seed).await;
    targets[0].set_options(healthy.with_stalled(true));
    // The calls of the first second may end later than those that count.
    let first = tokio::spawn({
        let callers = callers.clone();
        async move { callers.steady(CALL, PER_S, GRACE, seed + 1).await }
    });
    tokio::time::sleep(GRACE).await;
    let after = callers.steady(CALL, PER_S, COUNTED, seed + 2).await;
    Ok((first.await?, after))
}

/// Share of calls that failed, were refused or were late, in percent.
fn bad_percent(tally: &Tally) -> f64 {
    let in_time = tally.good.count_between(0, LATE_MS * 1_000);
    100.0 * (tally.calls() - in_time) as f64 / tally.calls() as f64
}
