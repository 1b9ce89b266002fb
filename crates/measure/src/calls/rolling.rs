//! Calls while every target and every proxy is stopped and started in turn.
//!
//! Bookings (which may not be repeated) and lookups continue at a steady rate and
//! the configuration keeps changing. A caller whose connection is refused tries
//! another proxy, as nothing was sent. The baseline only replaces targets: callers
//! call them at random with immediate retries, and each target drains, responds
//! with 503 for a while, and is replaced.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use fireflylug_core::resource::{Policy, Repeatable, Resource, Route, Service};
use fireflylug_daemon::Daemon;
use fireflylug_fault::{HttpClient, TargetOptions, TargetStandIn};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinHandle;

use super::mesh::{Mesh, TargetSpec, name};
use crate::{Bound, Figure, Options, Report};

/// Number of hosts, each with a proxy and a target.
const HOSTS: usize = 4;
const CALLERS: u64 = 8;
/// Time between two calls of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..25;
/// Attempts of a call of the baseline, the first included.
const BASELINE_ATTEMPTS: usize = 3;
const SERVICE_TIME_US: u64 = 10_000;
/// Interval between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Wait after each replacement.
const STEP_WAIT: Duration = Duration::from_millis(300);
/// Time for which a draining target still accepts calls in flight.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// Results of calls. Each failure holds its error text.
#[derive(Default)]
struct Outcomes {
    calls: u64,
    cut: Vec<String>,
    refused: Vec<String>,
    ids: Vec<String>,
}

/// State shared by the callers.
struct SharedState {
    /// Addresses that may be called.
    callees: Mutex<Vec<SocketAddr>>,
    /// Attempts of a call, the first included.
    attempts: usize,
    stopped: tokio::sync::watch::Sender<bool>,
}

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let healthy = TargetOptions::new().with_service_time_us(SERVICE_TIME_US).with_body_bytes(9_000);
    let mut mesh = Mesh::start(HOSTS).await?;
    mesh.configure(resources(0));
    let mut targets = Vec::new();
    for host in 0..HOSTS {
        let target = TargetStandIn::start(healthy).await?;
        mesh.announce(host, TargetSpec::new("bookbook", &target_id(host), target.address()));
        targets.push(target);
    }
    mesh.wait_for_targets(HOSTS).await?;
    let proxies = (0..HOSTS).map(|host| mesh.calls(host)).collect();
    let shared = Arc::new(SharedState::new(proxies, 1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(run_caller(Arc::clone(&shared), caller, options.seed)))
        .collect();

    let mut unfinished = 0;
    let mut replaced_targets = Vec::new();
    for (host, target) in targets.iter_mut().enumerate() {
        let fresh = TargetStandIn::start(healthy).await?;
        replace_target(&mut mesh, host, target, &fresh).await?;
        replaced_targets.push(std::mem::replace(target, fresh));
        unfinished += u64::from(!replace_proxy(&mut mesh, host, &shared).await?);
    }
    let all = Outcomes::of(&shared, callers).await?;
    replaced_targets.extend(targets);
    let baseline_counts = baseline(options.seed).await?;
    let zero = |label, count: usize, baseline_count: usize| {
        Figure::new(label, "calls", &[count as f64])
            .with_baseline(baseline_count as f64)
            .with_bound(Bound::AtMost(0.0))
    };
    let report = Report::new(options)
        .with_figure(zero("cut", all.cut.len(), baseline_counts.cut))
        .with_figure(zero("run twice", all.run_twice(&replaced_targets), baseline_counts.run_twice))
        .with_figure(zero("refused", all.refused.len(), baseline_counts.refused))
        .with_figure(
            Figure::new("stops that cut something off", "stops", &[unfinished as f64])
                .with_bound(Bound::AtMost(0.0)),
        )
        .with_note(format!(
            "{} calls while {HOSTS} targets and proxies were replaced; baseline: {} calls.",
            all.calls, baseline_counts.calls
        ));
    let texts = all.cut.into_iter().chain(all.refused).take(5);
    Ok(texts.fold(report, Report::with_note))
}

/// Counts of the baseline.
struct BaselineCounts {
    calls: u64,
    cut: usize,
    refused: usize,
    run_twice: usize,
}

/// Replaces targets while callers call them directly.
async fn baseline(seed: u64) -> eyre::Result<BaselineCounts> {
    let healthy = TargetOptions::new().with_service_time_us(SERVICE_TIME_US).with_body_bytes(9_000);
    let mut targets = Vec::new();
    for _ in 0..HOSTS {
        targets.push(TargetStandIn::start(healthy).await?);
    }
    let addresses = targets.iter().map(TargetStandIn::address).collect();
    let shared = Arc::new(SharedState::new(addresses, BASELINE_ATTEMPTS));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(run_caller(Arc::clone(&shared), caller, seed)))
        .collect();
    let mut replaced_targets = Vec::new();
    for (host, target) in targets.iter_mut().enumerate() {
        target.set_options(healthy.with_draining(true));
        tokio::time::sleep(DRAIN_TIME).await;
        let fresh = TargetStandIn::start(healthy).await?;
        shared.replace(host, fresh.address());
        replaced_targets.push(std::mem::replace(target, fresh));
        tokio::time::sleep(STEP_WAIT).await;
    }
    let all = Outcomes::of(&shared, callers).await?;
    replaced_targets.extend(targets);
    let run_twice = all.run_twice(&replaced_targets);
    Ok(BaselineCounts {
        calls: all.calls,
        cut: all.cut.len(),
        refused: all.refused.len(),
        run_twice,
    })
}

impl SharedState {
    fn new(callees: Vec<SocketAddr>, attempts: usize) -> Self {
        let stopped = tokio::sync::watch::Sender::new(false);
        Self { callees: Mutex::new(callees), attempts, stopped }
    }

    fn callees(&self) -> Vec<SocketAddr> {
        self.callees.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn replace(&self, host: usize, address: SocketAddr) {
        self.callees.lock().unwrap_or_else(PoisonError::into_inner)[host] = address;
    }
}

impl Outcomes {
    /// Stops the callers and returns the sum of their results.
    async fn of(shared: &SharedState, callers: Vec<JoinHandle<Self>>) -> eyre::Result<Self> {
        shared.stopped.send_replace(true);
        let mut all = Self::default();
        for caller in callers {
            all.add(caller.await?);
        }
        Ok(all)
    }

    /// Returns the number of bookings that ran more than once.
    fn run_twice(&self, targets: &[TargetStandIn]) -> usize {
        let runs = |id: &String| targets.iter().map(|target| target.runs_of(id)).sum::<u32>();
        self.ids.iter().filter(|id| runs(id) > 1).count()
    }

    fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.cut.extend(other.cut);
        self.refused.extend(other.refused);
        self.ids.extend(other.ids);
    }
}

fn target_id(host: usize) -> String {
    format!("t{host}")
}

/// Returns the configuration. The deadline of one policy depends on the version.
fn resources(version: u32) -> Vec<Resource> {
    let book = Policy::new(name("book"))
        .with_repeatable(Repeatable::Never)
        .with_deadline_ms(5_000 + version % 100);
    vec![
        Resource::Policy(book),
        Resource::Service(Service::new(name("bookbook"))),
        Resource::Route(Route::new(name("look"), "/", name("bookbook"))),
        Resource::Route(
            Route::new(name("book"), "/book", name("bookbook")).with_policy(name("book")),
        ),
    ]
}

/// Replaces a target: the old one drains, finishes its calls and is removed.
async fn replace_target(
    mesh: &mut Mesh,
    host: usize,
    old: &TargetStandIn,
    fresh: &TargetStandIn,
) -> eyre::Result<()> {
    mesh.announce_again(host, &target_id(host), true);
    keep_changing(mesh, DRAIN_TIME).await;
    let idle = async {
        while old.running() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), idle).await?;
    mesh.announce(host, TargetSpec::new("bookbook", &target_id(host), fresh.address()));
    keep_changing(mesh, STEP_WAIT).await;
    Ok(())
}

/// Replaces a proxy. Returns whether all its work finished during the graceful stop.
async fn replace_proxy(mesh: &mut Mesh, host: usize, shared: &SharedState) -> eyre::Result<bool> {
    let finished = mesh.stop(host).await;
    mesh.add_daemon().await?;
    mesh.wait_for_members().await?;
    // Until then its readiness check fails, and callers do not use it.
    let is_ready = |daemon: &Daemon| daemon.runtime().inspect(|s| s.distribution().is_ready());
    mesh.wait_until("the proxy is ready", is_ready).await?;
    mesh.announce_again(host, &target_id(host), false);
    shared.replace(host, mesh.calls(host));
    keep_changing(mesh, STEP_WAIT).await;
    Ok(finished)
}

/// Changes the configuration repeatedly for the given time.
async fn keep_changing(mesh: &mut Mesh, length: Duration) {
    let until = tokio::time::Instant::now() + length;
    let mut version = 0;
    while tokio::time::Instant::now() < until {
        version += 1;
        mesh.configure(resources(version));
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// Runs one caller until the shared state is stopped.
async fn run_caller(shared: Arc<SharedState>, caller: u64, seed: u64) -> Outcomes {
    let client = HttpClient::new();
    let mut rng = SmallRng::seed_from_u64(seed ^ caller);
    let mut outcomes = Outcomes::default();
    while !*shared.stopped.borrow() {
        outcomes.calls += 1;
        let id = format!("booking-{caller}-{}", outcomes.calls);
        let line = if rng.random() { "POST /book" } else { "GET /seats" };
        match call_until_success(&client, &shared, line, &id, &mut rng).await {
            Ok(answer) if answer.status.is_success() => {}
            Ok(answer) => outcomes.refused.push(format!("{line}: {}", answer.text().trim())),
            Err(error) => outcomes.cut.push(format!("{line}: {error:?}")),
        }
        if line == "POST /book" {
            outcomes.ids.push(id);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    outcomes
}

/// Calls the callees in random order until one call succeeds or no attempts are left.
/// A callee that accepts no connection does not count as an attempt.
async fn call_until_success(
    client: &HttpClient,
    shared: &SharedState,
    line: &str,
    id: &str,
    rng: &mut SmallRng,
) -> std::io::Result<fireflylug_fault::HttpResponse> {
    let mut callees = shared.callees();
    callees.shuffle(rng);
    let mut answer = Err(std::io::ErrorKind::NotConnected.into());
    let mut attempts = 0;
    for callee in callees {
        answer = client.send(callee, line, &[("x-request-id", id)], "seat=7").await;
        attempts += usize::from(!answer.as_ref().is_err_and(is_connect_error));
        let is_success = answer.as_ref().is_ok_and(|answer| answer.status.is_success());
        if is_success || attempts >= shared.attempts {
            break;
        }
    }
    answer
}

/// Returns whether no connection could be made, so nothing was sent.
fn is_connect_error(error: &std::io::Error) -> bool {
    let inner = error.get_ref().and_then(|e| e.downcast_ref::<hyper_util::client::legacy::Error>());
    inner.is_some_and(hyper_util::client::legacy::Error::is_connect)
}
