//! Task of one call: reports events to the reducer and carries out its effects.

use std::pin::Pin;
use std::sync::Arc;

use compact_str::CompactString;
use fireflylug_core::organisation::Credential;
use fireflylug_core::routing::{
    CallEffect, CallEvent, CallHead, CallOrigin, Outcome, Refusal, RefusalCode,
};
use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response, Uri, Version};
use hyper::body::Incoming;
use tokio::sync::Mutex;

use super::answer::{self, Answer, AnswerBody, OpenCall};
use super::attempt::{Failure, OutgoingRequest, run_attempt};
use super::body::BodySource;
use super::boot_clock::SentStamp;
use super::credential::credential;
use super::fingerprint::fingerprint;
use super::headers;
use super::open_connections::ConnectionStage;
use super::proxy::{Client, Proxy};
use super::socket::CallerConnection;

/// Serves one call and returns the response to its sender.
pub(super) async fn serve(
    proxy: Arc<Proxy>,
    connection: Arc<CallerConnection>,
    client: Client,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    serve_parts(proxy, connection, client, parts, Some(body)).await
}

/// Serves a call that is started before the turn of its request, which has no body.
pub(super) async fn serve_early(
    proxy: Arc<Proxy>,
    connection: Arc<CallerConnection>,
    parts: Parts,
) -> Response<AnswerBody> {
    serve_parts(proxy, connection, Client::Callers, parts, None).await
}

/// Serves a call. The body is `None` if the call is started early.
async fn serve_parts(
    proxy: Arc<Proxy>,
    connection: Arc<CallerConnection>,
    client: Client,
    parts: Parts,
    body: Option<Incoming>,
) -> Response<AnswerBody> {
    let is_early = body.is_none();
    let origin = match origin(&proxy, client, &parts.headers) {
        Ok(origin) => origin,
        Err(code) => return refuse_not_run(&proxy, &connection, client, is_early, code),
    };
    let stamp = (client == Client::Proxies).then(|| headers::sent_stamp(&parts.headers)).flatten();
    let transit = stamp.map(SentStamp::received_now);
    let Some(mut chain) = headers::chain(&parts.headers) else {
        return refuse_not_run(&proxy, &connection, client, is_early, RefusalCode::BadRequest);
    };
    if client == Client::Callers {
        let given_ms = headers::caller_deadline_ms(&parts.headers, &proxy.settings.dialect);
        chain.remaining_ms = chain.remaining_ms.into_iter().chain(given_ms).min();
    }
    let body = match body {
        None => BodySource::empty(),
        Some(body) => match receive(&proxy, body).await {
            Ok(body) => body,
            Err(code) => return refuse_not_run(&proxy, &connection, client, is_early, code),
        },
    };
    let host = headers::host(&parts.uri, &parts.headers);
    let caller_service = caller_service(&proxy, client, &parts.headers);
    let head = CallHead {
        origin,
        host: host.clone(),
        path: parts.uri.path().into(),
        is_safe_method: matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS),
        body_bytes: body.length(),
        is_replayable: body.is_replayable(),
        fingerprint: fingerprint(caller_service.as_ref(), &host, &parts, &body),
        chain,
        transit,
        credential: match client {
            Client::Callers => credential(&parts.headers, &proxy.settings.dialect),
            Client::Proxies => Credential::Absent,
        },
    };
    let mut parts = forwarded_head(parts);
    let name = &proxy.settings.dialect.caller_service;
    parts.headers.remove(name);
    parts.headers.extend(caller_service.map(|service| (name.clone(), service)));
    let request_id = parts.headers.get(&proxy.settings.dialect.request_id);
    let request_id = request_id.and_then(|id| id.to_str().ok()).map(CompactString::from);
    let (call, entry) = proxy.handle.open(connection, request_id, is_early);
    entry.pause_progress();
    let open = OpenCall { proxy, call, entry, is_open: true };
    open.submit(CallEvent::Arrived { call, head });
    run(open, client, OutgoingRequest { parts, body: Mutex::new(body) }).await
}

/// Receives the start of a request body. A stopping process refuses new calls, so it does not
/// wait for a body until the time limit of the stop.
async fn receive(proxy: &Proxy, body: Incoming) -> Result<BodySource, RefusalCode> {
    tokio::select! {
        biased;
        body = BodySource::read(body) => body,
        () = proxy.handle.request_grace_elapsed() => Err(RefusalCode::Stopping),
    }
}

fn refuse_not_run(
    proxy: &Proxy,
    connection: &CallerConnection,
    client: Client,
    is_early: bool,
    code: RefusalCode,
) -> Response<AnswerBody> {
    if !is_early {
        connection.set_stage(ConnectionStage::Responded);
    }
    let refusal = Refusal { code, outcome: Outcome::NotRun };
    answer::refuse(proxy, client, refusal, None, refusal.default_retry_after_ms())
}

/// Service of the caller: at the ingress from its settings, whatever the caller sent, and at the
/// owner as the ingress forwarded it.
fn caller_service(proxy: &Proxy, client: Client, header_map: &HeaderMap) -> Option<HeaderValue> {
    match client {
        Client::Callers => proxy.settings.caller_service.as_ref()?.parse().ok(),
        Client::Proxies => header_map.get(&proxy.settings.dialect.caller_service).cloned(),
    }
}

fn origin(
    proxy: &Proxy,
    client: Client,
    header_map: &HeaderMap,
) -> Result<CallOrigin, RefusalCode> {
    match client {
        Client::Callers => Ok(CallOrigin::Caller),
        Client::Proxies if !headers::has_valid_key(header_map, proxy.key.as_ref()) => {
            Err(RefusalCode::Unauthorized)
        }
        Client::Proxies => {
            headers::forward_head(header_map).map(CallOrigin::Proxy).ok_or(RefusalCode::BadRequest)
        }
    }
}

/// Prepares a request head for forwarding: keeps path and query, removes hop-by-hop headers
/// and headers of the mesh.
fn forwarded_head(mut parts: Parts) -> Parts {
    headers::strip(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    parts.headers.remove(header::EXPECT);
    if let Some(authority) = parts.uri.authority()
        && let Ok(value) = authority.as_str().parse()
    {
        parts.headers.insert(header::HOST, value);
    }
    if let Some(path) = parts.uri.path_and_query() {
        parts.uri = Uri::from(path.clone());
    }
    parts.version = Version::HTTP_11;
    parts
}

type RunningAttempt<'a> = Pin<Box<dyn Future<Output = Result<Answer, Failure>> + Send + 'a>>;

async fn run(
    mut open: OpenCall,
    client: Client,
    outgoing: OutgoingRequest,
) -> Response<AnswerBody> {
    let proxy = Arc::clone(&open.proxy);
    let entry = Arc::clone(&open.entry);
    let mut attempt = 0;
    let mut running_attempt: Option<RunningAttempt<'_>> = None;
    // The last response and its attempt. Kept while the reducer retries elsewhere.
    let mut answered: Option<(u8, Answer)> = None;
    loop {
        let effect = tokio::select! {
            biased;
            effect = entry.next() => effect,
            result = attempt_result(&mut running_attempt) => {
                running_attempt = None;
                match result {
                    Ok(answer) => {
                        report_answer(&open, attempt, &answer);
                        answered = Some((attempt, answer));
                    }
                    Err(failure) => report_failure(&open, &outgoing, attempt, failure).await,
                }
                continue;
            }
        };
        match effect {
            CallEffect::Forward { attempt: number, .. }
            | CallEffect::Dispatch { attempt: number, .. } => {
                attempt = number;
                running_attempt = Some(Box::pin(run_attempt(&proxy, &outgoing, effect)));
            }
            CallEffect::Relay { load, .. } => {
                if let Some((attempt, answer)) = answered.take() {
                    return answer::relay(open, client, attempt, answer, load);
                }
            }
            CallEffect::RelayEarlier { .. } => {
                let (attempt, answer) =
                    answered.take().expect("a response was reported to the reducer");
                return answer::relay(open, client, attempt, answer, None);
            }
            CallEffect::Cancel { .. } => {
                running_attempt = None;
                answered.take_if(|(answered, _)| *answered == attempt);
                let failure = Failure::new(RefusalCode::DeadlineExceeded, Outcome::Unknown);
                report_failure(&open, &outgoing, attempt, failure).await;
            }
            CallEffect::Refuse { refusal, load, retry_after_ms, .. } => {
                open.close();
                return answer::refuse(&proxy, client, refusal, load, retry_after_ms);
            }
            CallEffect::Abort { .. }
            | CallEffect::CloseKeepAlive
            | CallEffect::CloseListeners
            | CallEffect::CloseIdle => {}
        }
    }
}

async fn attempt_result(
    running_attempt: &mut Option<RunningAttempt<'_>>,
) -> Result<Answer, Failure> {
    match running_attempt {
        Some(running_attempt) => running_attempt.await,
        None => std::future::pending().await,
    }
}

fn report_answer(open: &OpenCall, attempt: u8, answer: &Answer) {
    open.submit(CallEvent::Answered {
        call: open.call,
        attempt,
        status: answer.response.status().as_u16(),
        notice: answer.notice,
    });
}

async fn report_failure(
    open: &OpenCall,
    outgoing: &OutgoingRequest,
    attempt: u8,
    failure: Failure,
) {
    let body = outgoing.body.lock().await;
    if let Some(code) = body.caller_error() {
        open.submit(CallEvent::CallerFailed { call: open.call, code });
        return;
    }
    open.submit(CallEvent::Failed {
        call: open.call,
        attempt,
        refusal: failure.refusal,
        is_replayable: body.is_replayable(),
        notice: failure.notice,
    });
}
