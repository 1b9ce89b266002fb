//! A target stand-in: a plain HTTP/1.1 server that counts the calls it runs.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::{BodyExt, Empty, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use crate::target_options::{ResetStage, TargetOptions};

/// Header with the request id by which runs are counted.
const REQUEST_ID: &str = "x-request-id";

/// Prefix of the headers that are copied to the next call of a chain.
const CHAIN_PREFIX: &str = "fireflylug-";

/// Maximum length of one chunk of a response body, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// A target that answers calls and counts them. Stops when dropped.
pub struct TargetStandIn {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: JoinHandle<()>,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Notify,
    client: Client<HttpConnector, Empty<Bytes>>,
}

struct Inner {
    options: TargetOptions,
    running: usize,
    max_running: usize,
    connections: usize,
    max_connections: usize,
    runs: BTreeMap<String, u32>,
    total_runs: u64,
}

impl TargetStandIn {
    /// Starts a target on a loopback port assigned by the operating system.
    pub async fn start(options: TargetOptions) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let inner = Inner {
            options,
            running: 0,
            max_running: 0,
            connections: 0,
            max_connections: 0,
            runs: BTreeMap::new(),
            total_runs: 0,
        };
        let client = Client::builder(TokioExecutor::new()).build_http();
        let shared = Arc::new(Shared { inner: Mutex::new(inner), changed: Notify::new(), client });
        let accept_task = tokio::spawn(accept_connections(listener, Arc::clone(&shared)));
        Ok(Self { address, shared, accept_task })
    }

    /// Returns the address at which the target accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the options for new calls and for calls that are stalled.
    pub fn set_options(&self, options: TargetOptions) {
        self.shared.lock().options = options;
        self.shared.changed.notify_waiters();
    }

    /// Returns how often the call with this request id ran.
    pub fn runs_of(&self, request_id: &str) -> u32 {
        self.shared.lock().runs.get(request_id).copied().unwrap_or(0)
    }

    /// Returns the request ids of the calls that ran more than once.
    pub fn repeated(&self) -> Vec<String> {
        let inner = self.shared.lock();
        inner.runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
    }

    /// Returns the number of calls that ran.
    pub fn total_runs(&self) -> u64 {
        self.shared.lock().total_runs
    }

    /// Returns the number of calls that are running.
    pub fn running(&self) -> usize {
        self.shared.lock().running
    }

    /// Returns the maximum number of calls that ran concurrently.
    pub fn max_running(&self) -> usize {
        self.shared.lock().max_running
    }

    /// Returns the maximum number of connections that were open concurrently.
    pub fn max_connections(&self) -> usize {
        self.shared.lock().max_connections
    }
}

impl Drop for TargetStandIn {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the options allow another call to run, and acquires a slot.
    async fn acquire_slot(self: &Arc<Self>) -> Slot {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.lock().try_start_call() {
                return Slot(Arc::clone(self));
            }
            changed.await;
        }
    }
}

impl Inner {
    fn try_start_call(&mut self) -> bool {
        if self.options.stalled || self.running >= self.options.slots {
            return false;
        }
        self.running += 1;
        self.max_running = self.max_running.max(self.running);
        true
    }
}

/// A running call. Frees its slot when dropped.
struct Slot(Arc<Shared>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
        self.0.changed.notify_waiters();
    }
}

async fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        if shared.lock().options.reset_at == Some(ResetStage::Accept) {
            continue;
        }
        connections.spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let _connection = OpenConnection::new(Arc::clone(&shared));
    // Delayed small writes (Nagle) would distort every latency measured through the target.
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(|request| handle_call(request, Arc::clone(&shared)));
    // A connection error is visible to the caller, so it is ignored here.
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// An open connection, counted until dropped.
struct OpenConnection(Arc<Shared>);

impl OpenConnection {
    fn new(shared: Arc<Shared>) -> Self {
        let mut inner = shared.lock();
        inner.connections += 1;
        inner.max_connections = inner.max_connections.max(inner.connections);
        drop(inner);
        Self(shared)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().connections -= 1;
    }
}

type Body = StreamBody<std::pin::Pin<Box<dyn Stream<Item = io::Result<Frame<Bytes>>> + Send>>>;

async fn handle_call(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> io::Result<Response<Body>> {
    let options = shared.lock().options;
    if options.reset_at == Some(ResetStage::AfterHead) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    if options.draining {
        return Ok(build_response(StatusCode::SERVICE_UNAVAILABLE, 0, false));
    }
    let (head, body) = request.into_parts();
    // The complete body is read before the call counts as run.
    body.collect().await.map_err(io::Error::other)?;
    let slot = shared.acquire_slot().await;
    count_run(&shared, &head.headers);
    if options.service_time_us > 0 {
        tokio::time::sleep(Duration::from_micros(options.service_time_us)).await;
    }
    let status = match options.next_hop {
        Some(next_hop) => call_next_hop(&shared, next_hop, &head).await,
        None => StatusCode::OK,
    };
    drop(slot);
    if options.reset_at == Some(ResetStage::AfterRun) {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let is_truncated = options.reset_at == Some(ResetStage::MidBody);
    let mut response = build_response(status, options.body_bytes, is_truncated);
    if let Some((name, value)) = options.response_header {
        response.headers_mut().insert(name, header::HeaderValue::from_static(value));
    }
    Ok(response)
}

fn count_run(shared: &Shared, headers: &hyper::HeaderMap) {
    let mut inner = shared.lock();
    inner.total_runs += 1;
    if let Some(id) = headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()) {
        *inner.runs.entry(id.to_owned()).or_default() += 1;
    }
}

/// Calls the next hop of a chain with the headers of the chain, and returns its status.
async fn call_next_hop(
    shared: &Shared,
    next_hop: SocketAddr,
    head: &hyper::http::request::Parts,
) -> StatusCode {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut call = Request::builder().uri(format!("http://{next_hop}{path}"));
    for (name, value) in &head.headers {
        if name.as_str().starts_with(CHAIN_PREFIX) || name == REQUEST_ID || name == header::HOST {
            call = call.header(name, value);
        }
    }
    let Ok(call) = call.body(Empty::new()) else { return StatusCode::BAD_GATEWAY };
    match shared.client.request(call).await {
        Ok(response) => read_status(response).await,
        Err(_) => StatusCode::BAD_GATEWAY,
    }
}

async fn read_status(response: Response<Incoming>) -> StatusCode {
    let status = response.status();
    match response.into_body().collect().await {
        Ok(_) => status,
        Err(_) => StatusCode::BAD_GATEWAY,
    }
}

fn build_response(status: StatusCode, body_bytes: usize, is_truncated: bool) -> Response<Body> {
    let sent_bytes = if is_truncated { body_bytes / 2 } else { body_bytes };
    let mut chunks: Vec<io::Result<Frame<Bytes>>> = (0..sent_bytes)
        .step_by(CHUNK_BYTES)
        .map(|at| vec![b'x'; CHUNK_BYTES.min(sent_bytes - at)])
        .map(|chunk| Ok(Frame::data(Bytes::from(chunk))))
        .collect();
    if is_truncated {
        chunks.push(Err(io::ErrorKind::ConnectionReset.into()));
    }
    let body: Body = StreamBody::new(Box::pin(stream::iter(chunks)));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_LENGTH, body_bytes.into());
    response
}
