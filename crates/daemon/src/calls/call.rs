//! Task of one call: reports events to the reducer and carries out its effects.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use fireflylug_core::routing::{
    CallEffect, CallEvent, CallHead, CallOrigin, Outcome, Refusal, RefusalCode, TargetNotice,
};
use http::header::{self, HeaderMap, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode, Uri, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::{Mutex, Notify};

use super::CallDialect;
use super::answer::{self, Answer, AnswerBody, OpenCall};
use super::body::BodySource;
use super::boot_clock::SentStamp;
use super::headers;
use super::pool::{ConnectionRequest, Pool};
use super::proxy::{Client, Proxy};

/// Maximum idle time of a connection that is used for a call which may not run twice. The
/// peer may close an idle connection while a call is sent, and then it is unknown whether
/// the call ran.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(500);
/// Maximum size of a refusal body that is read to reuse its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 4 * 1024;
/// Maximum number of new connections for a request that was provably not sent.
const MAX_UNSENT_RETRIES: usize = 3;

/// Serves one call and returns the response to its sender.
pub(super) async fn serve(
    proxy: Arc<Proxy>,
    abort_connection: Arc<Notify>,
    client: Client,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let origin = match origin(&proxy, client, &parts.headers) {
        Ok(origin) => origin,
        Err(code) => return refuse_not_run(&proxy, client, code),
    };
    let stamp = (client == Client::Proxies).then(|| headers::sent_stamp(&parts.headers)).flatten();
    let transit = stamp.map(SentStamp::received_now);
    let Some(mut chain) = headers::chain(&parts.headers) else {
        return refuse_not_run(&proxy, client, RefusalCode::BadRequest);
    };
    if client == Client::Callers {
        let given_ms = headers::caller_deadline_ms(&parts.headers, &proxy.settings.dialect);
        chain.remaining_ms = chain.remaining_ms.into_iter().chain(given_ms).min();
    }
    let body = match BodySource::read(body).await {
        Ok(body) => body,
        Err(code) => return refuse_not_run(&proxy, client, code),
    };
    let head = CallHead {
        origin,
        host: host(&parts),
        path: parts.uri.path().into(),
        is_safe_method: matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS),
        body_bytes: body.length(),
        is_replayable: body.is_replayable(),
        chain,
        transit,
    };
    let mut parts = forwarded_head(parts);
    if client == Client::Callers {
        set_caller_service(&proxy, &mut parts.headers);
    }
    let request_id = parts.headers.get(&proxy.settings.dialect.request_id);
    let request_id = request_id.and_then(|id| id.to_str().ok()).map(CompactString::from);
    let (call, entry) = proxy.handle.open(abort_connection, request_id);
    entry.pause_progress();
    let open = OpenCall { proxy, call, entry, is_open: true };
    open.submit(CallEvent::Arrived { call, head });
    run(open, client, OutgoingRequest { parts, body: Mutex::new(body) }).await
}

fn refuse_not_run(proxy: &Proxy, client: Client, code: RefusalCode) -> Response<AnswerBody> {
    let refusal = Refusal { code, outcome: Outcome::NotRun };
    answer::refuse(proxy, client, refusal, None, refusal.default_retry_after_ms())
}

/// Sets the caller's service from the settings and ignores the value that the caller sent.
fn set_caller_service(proxy: &Proxy, header_map: &mut HeaderMap) {
    let name = &proxy.settings.dialect.caller_service;
    header_map.remove(name);
    let service = proxy.settings.caller_service.as_ref();
    if let Some(value) = service.and_then(|service| service.parse().ok()) {
        header_map.insert(name, value);
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

/// Host of the request in lower case, without port.
fn host(parts: &Parts) -> CompactString {
    let of_header = || parts.headers.get(header::HOST)?.to_str().ok();
    let authority = parts.uri.authority().map(|a| a.as_str()).or_else(of_header).unwrap_or("");
    let host = match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => host,
        _ => authority,
    };
    let mut host = CompactString::from(host);
    host.make_ascii_lowercase();
    host
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

/// A request as sent in one or more attempts.
struct OutgoingRequest {
    parts: Parts,
    body: Mutex<BodySource>,
}

impl OutgoingRequest {
    fn head(&self) -> Parts {
        let mut parts = Request::new(()).into_parts().0;
        parts.method = self.parts.method.clone();
        parts.uri = self.parts.uri.clone();
        parts.headers = self.parts.headers.clone();
        parts
    }
}

/// An attempt that ended without a response of a target.
struct Failure {
    refusal: Refusal,
    notice: TargetNotice,
}

impl Failure {
    fn new(code: RefusalCode, outcome: Outcome) -> Self {
        Self { refusal: Refusal { code, outcome }, notice: TargetNotice::default() }
    }
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
                open.close();
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

/// Runs one attempt.
async fn run_attempt(
    proxy: &Proxy,
    outgoing: &OutgoingRequest,
    effect: CallEffect,
) -> Result<Answer, Failure> {
    let mut head = outgoing.head();
    match effect {
        CallEffect::Dispatch {
            address,
            connections,
            is_repeatable,
            chain,
            max_body_bytes,
            target,
            ..
        } => {
            let dialect = &proxy.settings.dialect;
            headers::add_for_target(&mut head.headers, dialect, &chain, &target);
            let id = head.headers.get(&dialect.request_id).cloned();
            let connection_request =
                connection_request(address, connections as usize, is_repeatable);
            let sent =
                send(&proxy.targets, connection_request, head, &outgoing.body, max_body_bytes)
                    .await;
            classify_target_response(dialect, id.as_ref(), sent?).await
        }
        CallEffect::Forward { address, head: forward, chain, max_body_bytes, .. } => {
            let key = proxy.key_value.as_ref();
            let sent = proxy.clock.stamp();
            headers::add_for_owner(&mut head.headers, &chain, &forward, sent, key);
            let address = proxy.settings.translation.apply(address);
            let connection_request = connection_request(address, usize::MAX, forward.is_repeatable);
            let sent =
                send(&proxy.owners, connection_request, head, &outgoing.body, max_body_bytes).await;
            classify_owner_response(sent?).await
        }
        _ => unreachable!("only dispatch and forward start an attempt"),
    }
}

fn connection_request(
    address: std::net::SocketAddr,
    max_open: usize,
    is_repeatable: bool,
) -> ConnectionRequest {
    let max_idle = if is_repeatable { Duration::MAX } else { MAX_IDLE_NON_REPEATABLE };
    ConnectionRequest { address, max_open, max_idle }
}

/// Classifies a response of a target: a result of this call, a refusal, or a response that
/// belongs to another call.
async fn classify_target_response(
    dialect: &CallDialect,
    id: Option<&HeaderValue>,
    mut answer: Answer,
) -> Result<Answer, Failure> {
    let header_map = answer.response.headers();
    let notice = headers::target_notice(header_map, dialect);
    let status = answer.response.status();
    let echoed = header_map.get(&dialect.request_id);
    if echoed.is_some() && id.is_some() && echoed != id {
        // A late response to an earlier call; the response to this call may still follow.
        return Err(Failure::new(RefusalCode::WrongAnswer, Outcome::Unknown));
    }
    if header_map.contains_key(&dialect.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        let code = match status {
            StatusCode::MISDIRECTED_REQUEST => RefusalCode::TargetGone,
            _ => RefusalCode::TargetRefused,
        };
        // The connection is not reused: a faulty target may send the refusal again, and a later
        // call would take it for its own.
        return Err(Failure { refusal: Refusal { code, outcome: Outcome::NotRun }, notice });
    }
    let lacks_stamp = dialect.stamp.as_ref().is_some_and(|stamp| !header_map.contains_key(stamp));
    if status.is_success() && lacks_stamp {
        return Err(Failure::new(RefusalCode::WrongAnswer, Outcome::Unknown));
    }
    answer.notice = notice;
    Ok(answer)
}

/// Reads a short response of an owner to its end so that its connection can be reused.
async fn drain(answer: Answer) {
    let Answer { response, connection, request_body, .. } = answer;
    let is_closing = response.headers().contains_key(header::CONNECTION);
    let rest = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect().await;
    if rest.is_ok() && request_body.is_done() && !is_closing {
        connection.release();
    }
}

/// Distinguishes an owner's refusal from a relayed response of a target.
async fn classify_owner_response(mut answer: Answer) -> Result<Answer, Failure> {
    let header_map = answer.response.headers();
    let notice = headers::owner_notice(header_map);
    let Some((code, outcome)) = headers::refusal(header_map) else {
        answer.notice = notice;
        return Ok(answer);
    };
    drain(answer).await;
    Err(Failure { refusal: Refusal { code, outcome }, notice })
}

/// Sends a request on an exclusive connection. The error has the outcome `not-run` only if
/// no byte of the request was written.
async fn send(
    pool: &Pool,
    connection_request: ConnectionRequest,
    head: Parts,
    body: &Mutex<BodySource>,
    max_body_bytes: u64,
) -> Result<Answer, Failure> {
    let unreachable = |_| Failure::new(RefusalCode::Unreachable, Outcome::NotRun);
    let mut connection = pool.acquire(connection_request).await.map_err(unreachable)?;
    let (body, request_body) = body.lock().await.open(max_body_bytes);
    let mut request = Request::from_parts(head, body);
    for _ in 0..MAX_UNSENT_RETRIES {
        let mut failed = match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let notice = TargetNotice::default();
                return Ok(Answer { response, connection, request_body, notice });
            }
            Err(failed) => failed,
        };
        // The connection returns the request only if it has not started to write it.
        let Some(unsent) = failed.take_message() else {
            return Err(Failure::new(RefusalCode::ConnectionLost, Outcome::Unknown));
        };
        request = unsent;
        connection = pool.acquire(connection_request).await.map_err(unreachable)?;
    }
    Err(Failure::new(RefusalCode::Unreachable, Outcome::NotRun))
}
