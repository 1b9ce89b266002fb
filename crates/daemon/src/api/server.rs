//! HTTP server of the resource API, through xitca-web.
//!
//! xitca-web runs its workers on separate threads; one is enough here. The server is
//! stopped forcibly after all requests in flight have completed, because its graceful
//! shutdown also waits for idle connections.

use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use fireflylug_core::api::{ApiError, ErrorCode};
use tokio::net::TcpListener;
use xitca_web::body::{BodyExt, RequestBody, ResponseBody, StreamDataBody};
use xitca_web::error::Error;
use xitca_web::http::header::{CONTENT_TYPE, ETAG};
use xitca_web::http::{HeaderValue, StatusCode, WebResponse};
use xitca_web::service::fn_service;
use xitca_web::{App, HttpServer, WebContext};

use super::PendingRequests;
use super::parse::{Endpoint, MAX_BODY_BYTES, Parsed, RequestHead, parse};
use super::respond::{self, Reply, ReplyBody};
use crate::metrics::Metrics;
use crate::{Runtime, SharedKey};

/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// State shared by all handlers.
#[derive(Clone)]
pub(super) struct ApiContext {
    pub(super) runtime: Arc<Runtime>,
    pub(super) pending: PendingRequests,
    metrics: Arc<Metrics>,
    key: Option<SharedKey>,
    is_stopping: Arc<AtomicBool>,
}

/// Running server of the resource API.
pub struct ApiServer {
    handle: xitca_server::ServerHandle,
    pending: PendingRequests,
    is_stopping: Arc<AtomicBool>,
}

impl ApiServer {
    /// Serves on `listener` until stopped. Requests must carry `key`, if set.
    pub fn start(
        runtime: Arc<Runtime>,
        pending: PendingRequests,
        listener: TcpListener,
        metrics: Metrics,
        key: Option<SharedKey>,
    ) -> eyre::Result<Self> {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let context = ApiContext {
            runtime,
            pending: pending.clone(),
            metrics: Arc::new(metrics),
            key,
            is_stopping: Arc::clone(&is_stopping),
        };
        let app = App::new()
            .with_state(context)
            .at("/", fn_service(handle))
            .at("/{*rest}", fn_service(handle))
            .finish();
        let mut server = HttpServer::serve(app)
            .worker_threads(1)
            .worker_max_blocking_threads(1)
            .disable_signal()
            .request_head_timeout(HEAD_TIMEOUT)
            .keep_alive_timeout(IDLE_TIMEOUT)
            .listen(listener.into_std()?)?
            .run();
        let handle = server.handle()?;
        tokio::spawn(RunningServer(Some(server)));
        Ok(Self { handle, pending, is_stopping })
    }

    /// Refuses new requests except for health and metrics.
    pub fn refuse_requests(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Waits until all requests except watches have completed.
    pub async fn drained(&self) {
        self.pending.drained().await;
    }

    /// Closes all watches and connections.
    pub fn stop(&self) {
        self.refuse_requests();
        self.pending.close_all();
        self.handle.stop(false);
    }
}

impl Drop for ApiServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Server task. The server's runtime must not be dropped within another runtime, which
/// would happen if the program ends before the server is stopped.
struct RunningServer(Option<xitca_server::ServerFuture>);

impl Future for RunningServer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(server) = &mut self.0 else {
            return Poll::Ready(());
        };
        let poll = Pin::new(server).poll(cx).map(drop);
        if poll.is_ready() {
            self.0 = None;
        }
        poll
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        if let Some(server) = self.0.take() {
            std::thread::spawn(move || drop(server));
        }
    }
}

async fn handle(mut request: WebContext<'_, ApiContext>) -> Result<WebResponse, Error> {
    let context = request.state().clone();
    let req = request.req();
    let head = RequestHead::new(req.method().clone(), req.uri(), req.headers());
    let body = std::mem::take(request.body_get_mut());
    let reply = reply_to(&context, &head, body).await;
    Ok(response(request, reply))
}

async fn reply_to(context: &ApiContext, head: &RequestHead, body: RequestBody) -> Reply {
    match parse_request(context, head, body).await {
        Ok(Parsed::Reducer(request)) => respond::submit(context, request).await,
        Ok(Parsed::Metrics) => match context.metrics.scrape(&context.runtime, &context.pending) {
            Ok(text) => respond::text(200, &text),
            Err(error) => respond::text(500, &format!("the metrics cannot be read: {error}\n")),
        },
        Ok(Parsed::Health) => respond::text(200, "alive\n"),
        Ok(Parsed::Ready) => respond::ready(context),
        Err(error) => respond::error(&error),
    }
}

async fn parse_request(
    context: &ApiContext,
    head: &RequestHead,
    body: RequestBody,
) -> Result<Parsed, ApiError> {
    let endpoint = Endpoint::of_path(&head.path);
    if !endpoint.as_ref().is_ok_and(Endpoint::is_public) {
        authorize(context, head)?;
    }
    let endpoint = endpoint?;
    if context.is_stopping.load(Ordering::Relaxed) && !endpoint.is_about_process() {
        return Err(ApiError::new(ErrorCode::Unavailable, "the process is stopping"));
    }
    let body = tokio::time::timeout(BODY_TIMEOUT, read_body(body)).await.map_err(|_| {
        ApiError::new(
            ErrorCode::Malformed,
            "the request body was not received completely within 10 s",
        )
    })??;
    parse(head, &endpoint, &body)
}

fn authorize(context: &ApiContext, head: &RequestHead) -> Result<(), ApiError> {
    let Some(key) = &context.key else {
        return Ok(());
    };
    if head.bearer().is_some_and(|given| key.matches(given)) {
        return Ok(());
    }
    Err(ApiError::new(
        ErrorCode::Unauthorized,
        "send the shared key of the mesh as \"Authorization: Bearer KEY\"",
    ))
}

async fn read_body(body: RequestBody) -> Result<Vec<u8>, ApiError> {
    let mut body = pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.as_mut().data().await {
        let part = part.map_err(|error| {
            ApiError::new(ErrorCode::Malformed, format!("the body broke off: {error}"))
        })?;
        if bytes.len() + part.len() > MAX_BODY_BYTES {
            return Err(ApiError::new(
                ErrorCode::TooLarge,
                format!("the body is longer than {MAX_BODY_BYTES} bytes; send smaller change sets"),
            ));
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}

fn response(request: WebContext<'_, ApiContext>, reply: Reply) -> WebResponse {
    let body = match reply.body {
        ReplyBody::Complete(bytes) => ResponseBody::bytes(bytes),
        ReplyBody::Watch(first, responses) => {
            ResponseBody::boxed(StreamDataBody::new(respond::watch_lines(first, responses)))
        }
    };
    let mut response = request.into_response(body);
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    if let Some(version) = reply.version.and_then(|v| format!("\"{v}\"").parse().ok()) {
        headers.insert(ETAG, version);
    }
    response
}
