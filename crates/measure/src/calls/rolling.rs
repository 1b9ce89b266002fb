//! Calls while every target and every proxy is stopped and started in turn.
//!
//! Bookings (which may not be repeated) and lookups go on at a steady rate and
//! the configuration keeps changing. A caller whose connection is refused goes
//! to another proxy, as nothing was sent. The baseline stops the targets alone:
//! callers call them at random with plain retries, and each is told to drain,
//! answers 503 for a while, and is replaced.

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

use super::mesh::{Announced, Mesh, name};
use crate::{Bound, Figure, Options, Report};

/// Hosts, each with a proxy and a target.
const HOSTS: usize = 4;
const CALLERS: u64 = 8;
/// Time between two calls of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..25;
/// Attempts of a call of the baseline, the first included.
const PLAIN_ATTEMPTS: usize = 3;
const SERVICE_TIME_US: u64 = 10_000;
/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time from a step to the next.
const STEP: Duration = Duration::from_millis(300);
/// Time for which a draining target still takes what was on its way.
const DRAIN: Duration = Duration::from_millis(500);

/// What went wrong, each with the text that the caller was given.
#[derive(Default)]
struct Outcome {
    calls: u64,
    cut: Vec<String>,
    refused: Vec<String>,
    ids: Vec<String>,
}

/// What callers share.
struct Field {
    /// Who may be called.
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
        mesh.announce(host, Announced::new("bookbook", &id(host), target.address()));
        targets.push(target);
    }
    mesh.wait_for_targets(HOSTS).await?;
    let proxies = (0..HOSTS).map(|host| mesh.calls(host)).collect();
    let field = Arc::new(Field::new(proxies, 1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(call_on(Arc::clone(&field), caller, options.seed)))
        .collect();

    let mut unfinished = 0;
    let mut retired = Vec::new();
    for (host, target) in targets.iter_mut().enumerate() {
        let fresh = TargetStandIn::start(healthy).await?;
        roll_target(&mut mesh, host, target, &fresh).await?;
        retired.push(std::mem::replace(target, fresh));
        unfinished += u64::from(!roll_proxy(&mut mesh, host, &field).await?);
    }
    let all = Outcome::of(&field, callers).await?;
    retired.extend(targets);
    let plain = baseline(options.seed).await?;
    let zero = |label, count: usize, beside: usize| {
        Figure::new(label, "calls", &[count as f64])
            .with_baseline(beside as f64)
            .with_bound(Bound::AtMost(0.0))
    };
    let report = Report::new(options)
        .with_figure(zero("cut", all.cut.len(), plain.cut))
        .with_figure(zero("run twice", all.doubled(&retired), plain.doubled))
        .with_figure(zero("refused", all.refused.len(), plain.refused))
        .with_figure(
            Figure::new("stops that cut something off", "stops", &[unfinished as f64])
                .with_bound(Bound::AtMost(0.0)),
        )
        .with_note(format!(
            "{} calls while {HOSTS} targets and proxies were replaced; baseline: {} calls.",
            all.calls, plain.calls
        ));
    let texts = all.cut.into_iter().chain(all.refused).take(5);
    Ok(texts.fold(report, Report::with_note))
}

/// Counts of the baseline.
struct Plain {
    calls: u64,
    cut: usize,
    refused: usize,
    doubled: usize,
}

/// Targets replaced under callers that call them directly.
async fn baseline(seed: u64) -> eyre::Result<Plain> {
    let healthy = TargetOptions::new().with_service_time_us(SERVICE_TIME_US).with_body_bytes(9_000);
    let mut targets = Vec::new();
    for _ in 0..HOSTS {
        targets.push(TargetStandIn::start(healthy).await?);
    }
    let addresses = targets.iter().map(TargetStandIn::address).collect();
    let field = Arc::new(Field::new(addresses, PLAIN_ATTEMPTS));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| tokio::spawn(call_on(Arc::clone(&field), caller, seed)))
        .collect();
    let mut retired = Vec::new();
    for (host, target) in targets.iter_mut().enumerate() {
        target.set_options(healthy.with_draining(true));
        tokio::time::sleep(DRAIN).await;
        let fresh = TargetStandIn::start(healthy).await?;
        field.replace(host, fresh.address());
        retired.push(std::mem::replace(target, fresh));
        tokio::time::sleep(STEP).await;
    }
    let all = Outcome::of(&field, callers).await?;
    retired.extend(targets);
    let doubled = all.doubled(&retired);
    Ok(Plain { calls: all.calls, cut: all.cut.len(), refused: all.refused.len(), doubled })
}

impl Field {
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

impl Outcome {
    /// Stops the callers and adds up what they saw.
    async fn of(field: &Field, callers: Vec<JoinHandle<Self>>) -> eyre::Result<Self> {
        field.stopped.send_replace(true);
        let mut all = Self::default();
        for caller in callers {
            all.add(caller.await?);
        }
        Ok(all)
    }

    /// Bookings that ran more than once.
    fn doubled(&self, targets: &[TargetStandIn]) -> usize {
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

fn id(host: usize) -> String {
    format!("t{host}")
}

/// The configuration, with something that differs from one version to the next.
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

/// Replaces a target: the old one drains, finishes and is gone.
async fn roll_target(
    mesh: &mut Mesh,
    host: usize,
    old: &TargetStandIn,
    fresh: &TargetStandIn,
) -> eyre::Result<()> {
    mesh.announce_again(host, &id(host), true);
    keep_changing(mesh, DRAIN).await;
    let idle = async {
        while old.running() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), idle).await?;
    mesh.announce(host, Announced::new("bookbook", &id(host), fresh.address()));
    keep_changing(mesh, STEP).await;
    Ok(())
}

/// Replaces a proxy. Returns whether its graceful stop finished everything.
async fn roll_proxy(mesh: &mut Mesh, host: usize, field: &Field) -> eyre::Result<bool> {
    let finished = mesh.stop(host).await;
    mesh.add_daemon().await?;
    mesh.wait_for_members().await?;
    // Until then its readiness says no, and callers are not sent there.
    let is_ready = |daemon: &Daemon| daemon.runtime().inspect(|s| s.distribution().is_ready());
    mesh.wait_until("the proxy is ready", is_ready).await?;
    mesh.announce_again(host, &id(host), false);
    field.replace(host, mesh.calls(host));
    keep_changing(mesh, STEP).await;
    Ok(finished)
}

/// Changes the configuration again and again for a while.
async fn keep_changing(mesh: &mut Mesh, length: Duration) {
    let until = tokio::time::Instant::now() + length;
    let mut version = 0;
    while tokio::time::Instant::now() < until {
        version += 1;
        mesh.configure(resources(version));
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

/// One caller, until the field is stopped.
async fn call_on(field: Arc<Field>, caller: u64, seed: u64) -> Outcome {
    let client = HttpClient::new();
    let mut rng = SmallRng::seed_from_u64(seed ^ caller);
    let mut outcome = Outcome::default();
    while !*field.stopped.borrow() {
        outcome.calls += 1;
        let id = format!("booking-{caller}-{}", outcome.calls);
        let line = if rng.random() { "POST /book" } else { "GET /seats" };
        match call_any(&client, &field, line, &id, &mut rng).await {
            Ok(answer) if answer.status.is_success() => {}
            Ok(answer) => outcome.refused.push(format!("{line}: {}", answer.text().trim())),
            Err(error) => outcome.cut.push(format!("{line}: {error:?}")),
        }
        if line == "POST /book" {
            outcome.ids.push(id);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    outcome
}

/// Calls any callee that takes the connection, and another after a failure if
/// attempts are left.
async fn call_any(
    client: &HttpClient,
    field: &Field,
    line: &str,
    id: &str,
    rng: &mut SmallRng,
) -> std::io::Result<fireflylug_fault::Answer> {
    let mut callees = field.callees();
    callees.shuffle(rng);
    let mut answer = Err(std::io::ErrorKind::NotConnected.into());
    let mut attempts = 0;
    for callee in callees {
        answer = client.send(callee, line, &[("x-request-id", id)], "seat=7").await;
        attempts += usize::from(!answer.as_ref().is_err_and(is_connect));
        let is_good = answer.as_ref().is_ok_and(|answer| answer.status.is_success());
        if is_good || attempts >= field.attempts {
            break;
        }
    }
    answer
}

/// Whether no connection could be made, so that nothing was sent.
fn is_connect(error: &std::io::Error) -> bool {
    let inner = error.get_ref().and_then(|e| e.downcast_ref::<hyper_util::client::legacy::Error>());
    inner.is_some_and(hyper_util::client::legacy::Error::is_connect)
}
