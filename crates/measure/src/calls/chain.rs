//! Calls through a chain of services whose last one is out.
//!
//! Sixteen services call each other in a row through the mesh. The last one's
//! targets lose each call after they read its head, or never answer. The mesh
//! must not multiply the calls on the way: attempts at the end are counted by
//! the targets there. The baseline retries plainly at each service, directly
//! and at a lesser depth: at 16 it would make 3^16 attempts for one call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_fault::HttpClient;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::load::{Call, Callee, Callers};
use super::mesh::{Announced, Mesh, name};
use crate::{Bound, Figure, Options, Report};

const DEPTH: usize = 16;
/// Depth of the baseline.
const BASELINE_DEPTH: usize = 4;
const DAEMONS: usize = 4;
/// Targets of each service.
const TARGETS: usize = 2;
/// Runs, of which the median counts.
const RUNS: u64 = 3;
const PER_S: u64 = 60;
const LENGTH: Duration = Duration::from_secs(4);
/// Time of calls before the outage, in which latencies are learnt.
const WARM_UP: Duration = Duration::from_secs(1);
/// Calls of the baseline.
const BASELINE_CALLS: u64 = 20;
const PLAIN_ATTEMPTS: u64 = 3;
/// Most attempts at the end, as a multiple of the calls.
const MAX_ATTEMPTS: f64 = 1.2;

const CALL: Call = Call { line: "GET /s1", give_up_ms: 1_500 };

/// How the last service fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outage {
    /// It loses each call after reading its head.
    Reset,
    /// It never answers.
    Silence,
}

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let (mut reset, mut silence) = (vec![], vec![]);
    for run in 0..RUNS {
        reset.push(through_mesh(Outage::Reset, options.seed + run).await?);
        silence.push(through_mesh(Outage::Silence, options.seed + run).await?);
    }
    let baseline = plainly().await?;
    let label = "attempts at the end, calls lost there";
    Ok(Report::new(options)
        .with_figure(
            Figure::new(label, "x calls", &reset)
                .with_baseline(baseline)
                .with_bound(Bound::AtMost(MAX_ATTEMPTS)),
        )
        .with_figure(
            Figure::new("attempts at the end, never answered", "x calls", &silence)
                .with_bound(Bound::AtMost(MAX_ATTEMPTS)),
        )
        .with_note(format!("Mesh: {DEPTH} services deep. Baseline: {BASELINE_DEPTH} deep.")))
}

async fn through_mesh(outage: Outage, seed: u64) -> eyre::Result<f64> {
    let mut mesh = Mesh::start(DAEMONS).await?;
    mesh.configure(resources());
    let ends = Arc::new(End::default());
    let mut targets = Vec::new();
    for depth in 1..=DEPTH {
        for index in 0..TARGETS {
            // The target calls the proxy of its own host.
            let host = (depth + index) % DAEMONS;
            let next = (depth < DEPTH).then(|| (mesh.calls(host), depth + 1));
            let target = Target::start(next, 1, Arc::clone(&ends)).await?;
            let (service, id) = (format!("s{depth}"), format!("t{index}"));
            mesh.announce(host, Announced::new(&service, &id, target.address));
            targets.push(target);
        }
    }
    mesh.wait_for_targets(DEPTH * TARGETS).await?;
    let callers = Callers::new(Callee::Mesh(vec![mesh.calls(0)]));
    let before = callers.steady(CALL, PER_S, WARM_UP, seed).await;
    eyre::ensure!(before.good.len() * 2 > before.calls(), "the chain does not work: {before:?}");
    ends.fail(outage);
    let during = callers.steady(CALL, PER_S, LENGTH, seed + 1).await;
    Ok(ends.attempts.load(Ordering::Relaxed) as f64 / during.calls() as f64)
}

fn resources() -> Vec<Resource> {
    let quick = Policy::new(name("quick")).with_deadline_ms(1_000);
    let mut all = vec![Resource::Policy(quick)];
    for depth in 1..=DEPTH {
        let service = name(&format!("s{depth}"));
        let path = format!("/s{depth}");
        all.push(Resource::Service(Service::new(service.clone()).with_policy(name("quick"))));
        all.push(Resource::Route(Route::new(service.clone(), &path, service)));
    }
    all
}

/// Attempts at the end of a chain of plain retries, as a multiple of the calls.
async fn plainly() -> eyre::Result<f64> {
    let ends = Arc::new(End::default());
    ends.fail(Outage::Reset);
    let mut targets = vec![Target::start(None, 1, Arc::clone(&ends)).await?];
    for depth in (1..BASELINE_DEPTH).rev() {
        let next = targets.last().map(|next| (next.address, depth + 1));
        targets.push(Target::start(next, PLAIN_ATTEMPTS, Arc::clone(&ends)).await?);
    }
    let first = targets.last().map(|first| first.address);
    let callers = Callers::new(Callee::Random(first.into_iter().collect()));
    let mut rng = rand::SeedableRng::seed_from_u64(1);
    for _ in 0..BASELINE_CALLS {
        callers.call(CALL, &mut rng).await;
    }
    Ok(ends.attempts.load(Ordering::Relaxed) as f64 / BASELINE_CALLS as f64)
}

/// The last service: whether it fails, and how often it was asked since then.
#[derive(Default)]
struct End {
    outage: std::sync::OnceLock<Outage>,
    attempts: AtomicU64,
}

impl End {
    fn fail(&self, outage: Outage) {
        // A second outage of the same end would be the same one.
        let _ = self.outage.set(outage);
    }

    async fn answer(&self) -> std::io::Result<StatusCode> {
        let Some(outage) = self.outage.get() else { return Ok(StatusCode::OK) };
        self.attempts.fetch_add(1, Ordering::Relaxed);
        match outage {
            Outage::Reset => Err(std::io::ErrorKind::ConnectionReset.into()),
            Outage::Silence => std::future::pending().await,
        }
    }
}

/// A target that calls the next service, or is at the end.
struct Target {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// What each call of a target needs.
struct Hop {
    next: Option<(SocketAddr, usize)>,
    attempts: u64,
    client: HttpClient,
    end: Arc<End>,
}

impl Target {
    async fn start(
        next: Option<(SocketAddr, usize)>,
        attempts: u64,
        end: Arc<End>,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let hop = Arc::new(Hop { next, attempts, client: HttpClient::new(), end });
        let accepting = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                connections.spawn(serve(stream, Arc::clone(&hop)));
            }
        });
        Ok(Self { address, accepting })
    }
}

async fn serve(stream: TcpStream, hop: Arc<Hop>) {
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(|request| answer(request, Arc::clone(&hop)));
    // The caller notices a connection that fails.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(
    request: Request<Incoming>,
    hop: Arc<Hop>,
) -> std::io::Result<Response<Empty<Bytes>>> {
    let status = match hop.next {
        None => hop.end.answer().await?,
        Some((address, depth)) => hop.call_on(address, depth, &request).await,
    };
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    Ok(response)
}

impl Hop {
    /// Calls the next service with the chain header, as a target must.
    async fn call_on(
        &self,
        address: SocketAddr,
        depth: usize,
        from: &Request<Incoming>,
    ) -> StatusCode {
        let chain = from.headers().get("fireflylug-chain").and_then(|chain| chain.to_str().ok());
        let headers: Vec<_> = chain.map(|chain| ("fireflylug-chain", chain)).into_iter().collect();
        let line = format!("GET /s{depth}");
        let mut status = StatusCode::BAD_GATEWAY;
        for _ in 0..self.attempts {
            if let Ok(answer) = self.client.send(address, &line, &headers, "").await {
                status = answer.status;
            }
            if status.is_success() {
                break;
            }
        }
        status
    }
}
