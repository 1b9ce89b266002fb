//! Calls that may not be repeated, under connections that fail at every stage.
//!
//! Callers pay fees while targets reset connections on accept, after the head,
//! after the run and in the middle of the response, and while connections from
//! the ingress to the owners are reset. The targets count the runs. The baseline
//! calls the targets directly with immediate retries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflylug_core::resource::{Policy, Repeatable, Resource, Route, Service};
use fireflylug_fault::{
    Direction, FaultProxy, Faults, HttpClient, Link, ResetStage, TargetOptions, TargetStandIn,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::mesh::{Mesh, TargetSpec, name};
use crate::{Bound, Figure, Options, Report};

const TARGETS: usize = 4;
/// Number of concurrent callers.
const CALLERS: u64 = 12;
/// Number of payments of each caller.
const PAYMENTS: u64 = 150;
/// Interval between changes of the faults, in milliseconds.
const CHANGE_MS: std::ops::Range<u64> = 5..40;
const SERVICE_TIME_US: u64 = 2_000;
/// Number of runs; the sum is reported.
const RUNS: u64 = 3;
/// Attempts of the baseline, the first included.
const BASELINE_ATTEMPTS: u64 = 3;

/// Payments by reported outcome and by the runs that the targets counted.
#[derive(Default)]
struct Audit {
    run_twice: u64,
    ran_but_reported_not_run: u64,
    not_run_but_reported_ran: u64,
    answered: u64,
    refused: u64,
    unknown: u64,
}

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let (mut mesh, mut baseline) = (Audit::default(), Audit::default());
    for run in 0..RUNS {
        mesh.add(&run_payments(options.seed + run, true).await?);
        baseline.add(&run_payments(options.seed + run, false).await?);
    }
    let zero = |label, of_mesh: u64, of_baseline: u64| {
        Figure::new(label, "payments", &[of_mesh as f64])
            .with_baseline(of_baseline as f64)
            .with_bound(Bound::AtMost(0.0))
    };
    let run_twice = zero("run twice", mesh.run_twice, baseline.run_twice);
    let falsely_not_run = zero("reported as not run that ran", mesh.ran_but_reported_not_run, 0);
    let falsely_ran = zero("reported as run that did not", mesh.not_run_but_reported_ran, 0);
    let note = format!(
        "{} payments in {RUNS} runs: {} answered, {} refused as not run, {} of unknown outcome.",
        RUNS * CALLERS * PAYMENTS,
        mesh.answered,
        mesh.refused,
        mesh.unknown
    );
    Ok(Report::new(options)
        .with_figure(run_twice)
        .with_figure(falsely_not_run)
        .with_figure(falsely_ran)
        .with_note(note))
}

async fn run_payments(seed: u64, through_mesh: bool) -> eyre::Result<Audit> {
    let healthy = TargetOptions::new().with_service_time_us(SERVICE_TIME_US).with_body_bytes(600);
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(TargetStandIn::start(healthy).await?);
    }
    let link = Link::new();
    let (mesh, _proxies) = start_mesh(&targets, &link).await?;
    let addresses: Vec<SocketAddr> = if through_mesh {
        vec![mesh.calls(TARGETS)]
    } else {
        targets.iter().map(TargetStandIn::address).collect()
    };
    let attempts = if through_mesh { 1 } else { BASELINE_ATTEMPTS };

    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(pay_all(caller, addresses.clone(), attempts, seed)))
        .collect();
    let paying = futures_util::future::join_all(callers);
    let reported = tokio::select! {
        reported = paying => reported,
        never = inject_resets(&targets, healthy, &link, seed) => match never {},
    };
    let mut audit = Audit::default();
    for (id, outcome) in reported.into_iter().flatten().flatten() {
        let runs: u32 = targets.iter().map(|target| target.runs_of(&id)).sum();
        audit.count(runs, &outcome);
    }
    Ok(audit)
}

/// Starts the owners, and an ingress that connects to them over a faulty link.
async fn start_mesh(
    targets: &[TargetStandIn],
    link: &Arc<Link>,
) -> eyre::Result<(Mesh, Vec<FaultProxy>)> {
    let mut mesh = Mesh::start(targets.len()).await?;
    mesh.configure(resources());
    let mut proxies = Vec::new();
    let mut translate = Vec::new();
    for daemon in mesh.running() {
        let forward = daemon.addresses().forward;
        let proxy = FaultProxy::start_over(Arc::clone(link), Direction::Forward).await?;
        proxy.set_upstream(Some(forward));
        translate.push((forward, proxy.address()));
        proxies.push(proxy);
    }
    mesh.add_daemon_with(|mut settings| {
        settings.translate = translate;
        settings
    })
    .await?;
    mesh.wait_for_members().await?;
    for (index, target) in targets.iter().enumerate() {
        let id = format!("t{index}");
        mesh.announce(index, TargetSpec::new("treasury", &id, target.address()));
    }
    mesh.wait_for_targets(targets.len()).await?;
    Ok((mesh, proxies))
}

impl Audit {
    fn add(&mut self, other: &Self) {
        self.run_twice += other.run_twice;
        self.ran_but_reported_not_run += other.ran_but_reported_not_run;
        self.not_run_but_reported_ran += other.not_run_but_reported_ran;
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
    }

    fn count(&mut self, runs: u32, outcome: &str) {
        self.run_twice += u64::from(runs > 1);
        match outcome {
            "ran" => {
                self.answered += 1;
                self.not_run_but_reported_ran += u64::from(runs == 0);
            }
            "not-run" => {
                self.refused += 1;
                self.ran_but_reported_not_run += u64::from(runs > 0);
            }
            _ => self.unknown += 1,
        }
    }
}

fn resources() -> Vec<Resource> {
    let pay = Policy::new(name("pay")).with_repeatable(Repeatable::Never).with_deadline_ms(3_000);
    vec![
        Resource::Policy(pay),
        Resource::Service(Service::new(name("treasury")).with_policy(name("pay"))),
        Resource::Route(Route::new(name("pay"), "/pay", name("treasury"))),
    ]
}

/// Pays one fee after another. Returns the id and the reported outcome of each.
async fn pay_all(
    caller: u64,
    addresses: Vec<SocketAddr>,
    attempts: u64,
    seed: u64,
) -> Vec<(String, String)> {
    let client = HttpClient::new();
    let mut rng = SmallRng::seed_from_u64(seed ^ caller);
    let mut outcomes = Vec::new();
    for payment in 0..PAYMENTS {
        let id = format!("fee-{caller}-{payment}");
        let mut outcome = String::from("unknown");
        for _ in 0..attempts {
            let address = addresses[rng.random_range(0..addresses.len())];
            let headers = [("x-request-id", id.as_str())];
            match client.send(address, "POST /pay", &headers, "fee=250").await {
                Ok(answer) if answer.status.is_success() => {
                    outcome = "ran".to_owned();
                    break;
                }
                Ok(answer) => outcome = answer.header("fireflylug-outcome").to_owned(),
                Err(_) => {}
            }
        }
        outcomes.push((id, outcome));
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..4))).await;
    }
    outcomes
}

/// Injects resets at random stages into random targets and the link, forever.
async fn inject_resets(
    targets: &[TargetStandIn],
    healthy: TargetOptions,
    link: &Link,
    seed: u64,
) -> std::convert::Infallible {
    let stages =
        [ResetStage::Accept, ResetStage::AfterHead, ResetStage::AfterRun, ResetStage::MidBody];
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xfee);
    loop {
        let target = &targets[rng.random_range(0..targets.len())];
        let faults = Faults::new().with_reset_after_bytes(rng.random_range(1..600));
        match stages.get(rng.random_range(0..=stages.len())) {
            Some(stage) => target.set_options(healthy.with_reset_at(*stage)),
            None if rng.random() => link.set_faults(Direction::Forward, faults),
            None => link.set_faults(Direction::Backward, faults),
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(CHANGE_MS))).await;
        target.set_options(healthy);
        link.set_faults(Direction::Forward, Faults::new());
        link.set_faults(Direction::Backward, Faults::new());
        tokio::time::sleep(Duration::from_millis(rng.random_range(CHANGE_MS))).await;
    }
}
