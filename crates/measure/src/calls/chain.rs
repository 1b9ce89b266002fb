//! Calls through a chain of services whose last service fails.
//!
//! Sixteen services call each other in sequence through the mesh. The targets of
//! the last one reset each call after reading its head, or never respond. The mesh
//! must not amplify the calls along the chain: the last targets count the attempts
//! that reach them. The baseline retries unconditionally at each service, without
//! the mesh and at a smaller depth: at 16 it would make 3^16 attempts per call.

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
use super::mesh::{Mesh, TargetSpec, name};
use crate::{Bound, Figure, Options, Report};

const DEPTH: usize = 16;
/// Number of services in the chain of the baseline.
const BASELINE_DEPTH: usize = 4;
const DAEMONS: usize = 4;
/// Number of targets of each service.
const TARGETS: usize = 2;
/// Number of runs; the median is reported.
const RUNS: u64 = 3;
const PER_S: u64 = 60;
const LENGTH: Duration = Duration::from_secs(4);
/// Duration of calls before the outage, in which the mesh estimates latencies.
const WARM_UP: Duration = Duration::from_secs(1);
/// Number of calls of the baseline.
const BASELINE_CALLS: u64 = 20;
const BASELINE_ATTEMPTS: u64 = 3;
/// Maximum attempts at the last service, as a multiple of the calls.
const MAX_ATTEMPTS: f64 = 1.2;

const CALL: Call = Call { line: "GET /s1", timeout_ms: 1_500 };

/// How the last service fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outage {
    /// Its targets reset each call after reading its head.
    Reset,
    /// Its targets never respond.
    Silence,
}

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let (mut reset, mut silence) = (vec![], vec![]);
    for run in 0..RUNS {
        reset.push(mesh_attempts_ratio(Outage::Reset, options.seed + run).await?);
        silence.push(mesh_attempts_ratio(Outage::Silence, options.seed + run).await?);
    }
    let baseline = baseline_attempts_ratio().await?;
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

async fn mesh_attempts_ratio(outage: Outage, seed: u64) -> eyre::Result<f64> {
    let mut mesh = Mesh::start(DAEMONS).await?;
    mesh.configure(resources());
    let last_service = Arc::new(LastService::default());
    let mut targets = Vec::new();
    for depth in 1..=DEPTH {
        for index in 0..TARGETS {
            // The target calls the proxy of its own host.
            let host = (depth + index) % DAEMONS;
            let next = (depth < DEPTH).then(|| (mesh.calls(host), depth + 1));
            let target = Target::start(next, 1, Arc::clone(&last_service)).await?;
            let (service, id) = (format!("s{depth}"), format!("t{index}"));
            mesh.announce(host, TargetSpec::new(&service, &id, target.address));
            targets.push(target);
        }
    }
    mesh.wait_for_targets(DEPTH * TARGETS).await?;
    let callers = Callers::new(Callee::Mesh(vec![mesh.calls(0)]));
    let before = callers.call_at_rate(CALL, PER_S, WARM_UP, seed).await;
    eyre::ensure!(
        before.succeeded.len() * 2 > before.calls(),
        "at most half of the calls through the chain succeeded before the outage: {before:?}"
    );
    last_service.start_outage(outage);
    let during = callers.call_at_rate(CALL, PER_S, LENGTH, seed + 1).await;
    Ok(last_service.attempts.load(Ordering::Relaxed) as f64 / during.calls() as f64)
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

/// Returns the attempts at the last service of a chain with unconditional retries, as a
/// multiple of the calls.
async fn baseline_attempts_ratio() -> eyre::Result<f64> {
    let last_service = Arc::new(LastService::default());
    last_service.start_outage(Outage::Reset);
    let mut targets = vec![Target::start(None, 1, Arc::clone(&last_service)).await?];
    for depth in (1..BASELINE_DEPTH).rev() {
        let next = targets.last().map(|next| (next.address, depth + 1));
        targets.push(Target::start(next, BASELINE_ATTEMPTS, Arc::clone(&last_service)).await?);
    }
    let first = targets.last().map(|first| first.address);
    let callers = Callers::new(Callee::Random(first.into_iter().collect()));
    let mut rng = rand::SeedableRng::seed_from_u64(1);
    for _ in 0..BASELINE_CALLS {
        callers.call(CALL, &mut rng).await;
    }
    Ok(last_service.attempts.load(Ordering::Relaxed) as f64 / BASELINE_CALLS as f64)
}

/// State of the last service: its outage, and the number of attempts since then.
#[derive(Default)]
struct LastService {
    outage: std::sync::OnceLock<Outage>,
    attempts: AtomicU64,
}

impl LastService {
    fn start_outage(&self, outage: Outage) {
        // The outage is set once; setting it again has no effect.
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

/// A target that calls the next service, or belongs to the last one.
struct Target {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// State that the calls of one target share.
struct Hop {
    next: Option<(SocketAddr, usize)>,
    attempts: u64,
    client: HttpClient,
    last_service: Arc<LastService>,
}

impl Target {
    async fn start(
        next: Option<(SocketAddr, usize)>,
        attempts: u64,
        last_service: Arc<LastService>,
    ) -> eyre::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let hop = Arc::new(Hop { next, attempts, client: HttpClient::new(), last_service });
        let accept_task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                connections.spawn(serve(stream, Arc::clone(&hop)));
            }
        });
        Ok(Self { address, accept_task })
    }
}

async fn serve(stream: TcpStream, hop: Arc<Hop>) {
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(|request| handle_call(request, Arc::clone(&hop)));
    // A connection error is visible to the caller, so it is ignored here.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_call(
    request: Request<Incoming>,
    hop: Arc<Hop>,
) -> std::io::Result<Response<Empty<Bytes>>> {
    let status = match hop.next {
        None => hop.last_service.answer().await?,
        Some((address, depth)) => hop.call_next_service(address, depth, &request).await,
    };
    let mut response = Response::new(Empty::new());
    *response.status_mut() = status;
    Ok(response)
}

impl Hop {
    /// Calls the next service with the chain header of the incoming call, as every target must.
    async fn call_next_service(
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
