//! Serves the resource API through xitca-web.
//!
//! xitca-web runs its workers on threads of its own; one is enough here. The
//! server is stopped by force once the requests in flight are answered,
//! because its graceful stop waits for idle connections too.

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

use super::Answers;
use super::parse::{Endpoint, MAX_BODY_BYTES, Parsed, RequestHead, parse};
use super::respond::{self, Reply, ReplyBody};
use crate::metrics::Metrics;
use crate::{Runtime, SharedKey};

/// Time in which a client must send the head of a request.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// Time in which a client must send the body of a request.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// What every handler is given.
#[derive(Clone)]
pub(super) struct ApiContext {
    pub(super) runtime: Arc<Runtime>,
    pub(super) answers: Answers,
    metrics: Arc<Metrics>,
    key: Option<SharedKey>,
    stopped: Arc<AtomicBool>,
}

/// The running server of the resource API.
pub struct ApiServer {
    handle: xitca_server::ServerHandle,
    answers: Answers,
    stopped: Arc<AtomicBool>,
}

impl ApiServer {
    /// Serves on `listener` until stopped. Requests must carry `key`, where given.
    pub fn start(
        runtime: Arc<Runtime>,
        answers: Answers,
        listener: TcpListener,
        metrics: Metrics,
        key: Option<SharedKey>,
    ) -> eyre::Result<Self> {
        let stopped = Arc::new(AtomicBool::new(false));
        let context = ApiContext {
            runtime,
            answers: answers.clone(),
            metrics: Arc::new(metrics),
            key,
            stopped: Arc::clone(&stopped),
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
            .request_head_timeout(HEAD_LIMIT)
            .keep_alive_timeout(IDLE_LIMIT)
            .listen(listener.into_std()?)?
            .run();
        let handle = server.handle()?;
        tokio::spawn(RunningServer(Some(server)));
        Ok(Self { handle, answers, stopped })
    }

    /// Refuses new requests, but for health and metrics.
    pub fn refuse(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Waits until every request but watches is answered.
    pub async fn drained(&self) {
        self.answers.drained().await;
    }

    /// Ends the watches and closes every connection.
    pub fn stop(&self) {
        self.refuse();
        self.answers.close();
        self.handle.stop(false);
    }
}

impl Drop for ApiServer {
    fn drop(&mut self) {
        self.stop();
    }
}

/// The server as a task. Its own runtime must not be dropped within another
/// one, which happens where the program ends before the server was stopped.
struct RunningServer(Option<xitca_server::ServerFuture>);

impl Future for RunningServer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(server) = &mut self.0 else {
            return Poll::Ready(());
        };
        let ended = Pin::new(server).poll(cx).map(drop);
        if ended.is_ready() {
            self.0 = None;
        }
        ended
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
    let reply = answer(&context, &head, body).await;
    Ok(response(request, reply))
}

async fn answer(context: &ApiContext, head: &RequestHead, body: RequestBody) -> Reply {
    match checked(context, head, body).await {
        Ok(Parsed::Reducer(request)) => respond::ask(context, request).await,
        Ok(Parsed::Metrics) => match context.metrics.scrape(&context.runtime, &context.answers) {
            Ok(text) => respond::text(200, &text),
            Err(error) => respond::text(500, &format!("the metrics cannot be read: {error}\n")),
        },
        Ok(Parsed::Health) => respond::text(200, "alive\n"),
        Ok(Parsed::Ready) => respond::ready(context),
        Err(error) => respond::error(&error),
    }
}

async fn checked(
    context: &ApiContext,
    head: &RequestHead,
    body: RequestBody,
) -> Result<Parsed, ApiError> {
    let endpoint = Endpoint::of_path(&head.path);
    if !endpoint.as_ref().is_ok_and(Endpoint::is_public) {
        authorize(context, head)?;
    }
    let endpoint = endpoint?;
    if context.stopped.load(Ordering::Relaxed) && !endpoint.is_about_process() {
        return Err(ApiError::new(ErrorCode::Unavailable, "the process is stopping"));
    }
    let body = tokio::time::timeout(BODY_LIMIT, read_body(body)).await.map_err(|_| {
        ApiError::new(ErrorCode::Malformed, "the body did not arrive whole within 10 s")
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
        ReplyBody::Whole(bytes) => ResponseBody::bytes(bytes),
        ReplyBody::Watch(first, answers) => {
            ResponseBody::boxed(StreamDataBody::new(respond::watch_lines(first, answers)))
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
