//! Drives one call: tells the reducer what happened, does what it says.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use fireflylug_core::routing::{
    CallEffect, CallEvent, CallHead, CallOrigin, GateLoad, Outcome, Refusal, RefusalCode,
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
use super::pool::{Pool, Wanted};
use super::proxy::{Proxy, Side};

/// Longest unused time of a connection for a call that may not run twice. The
/// other end may close a connection at the moment a call is sent, and then
/// nobody knows whether it ran.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_millis(500);
/// Largest body of an owner's refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 4 * 1024;
/// Times that a call is given another connection because it was provably not sent.
const MAX_UNSENT: usize = 3;

/// Serves one call.
pub(super) async fn call(
    proxy: Arc<Proxy>,
    broken: Arc<Notify>,
    side: Side,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    let origin = match origin(&proxy, side, &parts.headers) {
        Ok(origin) => origin,
        Err(code) => return not_run(&proxy, side, code),
    };
    let stamp = (side == Side::Proxies).then(|| headers::sent_stamp(&parts.headers)).flatten();
    let transit = stamp.map(SentStamp::received_now);
    let Some(mut chain) = headers::chain(&parts.headers) else {
        return not_run(&proxy, side, RefusalCode::BadRequest);
    };
    if side == Side::Callers {
        let given_ms = headers::caller_deadline_ms(&parts.headers, &proxy.settings.dialect);
        chain.remaining_ms = chain.remaining_ms.into_iter().chain(given_ms).min();
    }
    let body = match BodySource::read(body).await {
        Ok(body) => body,
        Err(code) => return not_run(&proxy, side, code),
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
    let mut parts = outgoing(parts);
    if side == Side::Callers {
        set_caller_service(&proxy, &mut parts.headers);
    }
    let request_id = parts.headers.get(&proxy.settings.dialect.request_id);
    let request_id = request_id.and_then(|id| id.to_str().ok()).map(CompactString::from);
    let (call, slot) = proxy.handle.open(broken, request_id);
    slot.pause_progress();
    let open = OpenCall { proxy, call, slot, is_open: true };
    open.submit(CallEvent::Arrived { call, head });
    drive(open, side, Outgoing { parts, body: Mutex::new(body) }).await
}

fn not_run(proxy: &Proxy, side: Side, code: RefusalCode) -> Response<AnswerBody> {
    let refusal = Refusal { code, outcome: Outcome::NotRun };
    answer::refuse(proxy, side, refusal, None, refusal.default_retry_after_ms())
}

/// Says whose call it is, whatever the caller says.
fn set_caller_service(proxy: &Proxy, all: &mut HeaderMap) {
    let name = &proxy.settings.dialect.caller_service;
    all.remove(name);
    let service = proxy.settings.caller_service.as_ref();
    if let Some(value) = service.and_then(|service| service.parse().ok()) {
        all.insert(name, value);
    }
}

fn origin(proxy: &Proxy, side: Side, all: &HeaderMap) -> Result<CallOrigin, RefusalCode> {
    match side {
        Side::Callers => Ok(CallOrigin::Caller),
        Side::Proxies if !headers::proves_key(all, proxy.key.as_ref()) => {
            Err(RefusalCode::Unauthorized)
        }
        Side::Proxies => {
            headers::forward_head(all).map(CallOrigin::Proxy).ok_or(RefusalCode::BadRequest)
        }
    }
}

/// Host that a call names, in lower case and without port.
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

/// The head of a request as it is passed on: path and query, no header of a
/// single connection or of the mesh.
fn outgoing(mut parts: Parts) -> Parts {
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

/// A request, for one or more attempts.
struct Outgoing {
    parts: Parts,
    body: Mutex<BodySource>,
}

impl Outgoing {
    fn head(&self) -> Parts {
        let mut parts = Request::new(()).into_parts().0;
        parts.method = self.parts.method.clone();
        parts.uri = self.parts.uri.clone();
        parts.headers = self.parts.headers.clone();
        parts
    }
}

/// An attempt that ended without an answer of a target.
struct Failure {
    refusal: Refusal,
    load: Option<GateLoad>,
}

impl Failure {
    fn new(code: RefusalCode, outcome: Outcome) -> Self {
        Self { refusal: Refusal { code, outcome }, load: None }
    }
}

type Running<'a> = Pin<Box<dyn Future<Output = Result<Answer, Failure>> + Send + 'a>>;

async fn drive(mut open: OpenCall, side: Side, outgoing: Outgoing) -> Response<AnswerBody> {
    let proxy = Arc::clone(&open.proxy);
    let slot = Arc::clone(&open.slot);
    let mut attempt = 0;
    let mut running: Option<Running<'_>> = None;
    // The last answer, with its attempt. Kept while the reducer tries for a better one.
    let mut answered: Option<(u8, Answer)> = None;
    loop {
        let effect = tokio::select! {
            biased;
            effect = slot.next() => effect,
            result = wait(&mut running) => {
                running = None;
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
                running = Some(Box::pin(start(&proxy, &outgoing, effect)));
            }
            CallEffect::Relay { load, .. } => {
                if let Some((attempt, answer)) = answered.take() {
                    return answer::relay(open, side, attempt, answer, load);
                }
            }
            CallEffect::RelayEarlier { .. } => {
                open.close();
                let (attempt, answer) = answered.take().expect("the reducer heard of an answer");
                return answer::relay(open, side, attempt, answer, None);
            }
            CallEffect::Cancel { .. } => {
                running = None;
                answered.take_if(|(answered, _)| *answered == attempt);
                let failure = Failure::new(RefusalCode::DeadlineExceeded, Outcome::Unknown);
                report_failure(&open, &outgoing, attempt, failure).await;
            }
            CallEffect::Refuse { refusal, load, retry_after_ms, .. } => {
                open.close();
                return answer::refuse(&proxy, side, refusal, load, retry_after_ms);
            }
            CallEffect::Abort { .. }
            | CallEffect::CloseKeepAlive
            | CallEffect::CloseListeners
            | CallEffect::CloseIdle => {}
        }
    }
}

async fn wait(running: &mut Option<Running<'_>>) -> Result<Answer, Failure> {
    match running {
        Some(running) => running.await,
        None => std::future::pending().await,
    }
}

fn report_answer(open: &OpenCall, attempt: u8, answer: &Answer) {
    open.submit(CallEvent::Answered {
        call: open.call,
        attempt,
        status: answer.response.status().as_u16(),
        load: headers::load(answer.response.headers()),
    });
}

async fn report_failure(open: &OpenCall, outgoing: &Outgoing, attempt: u8, failure: Failure) {
    let body = outgoing.body.lock().await;
    if let Some(code) = body.caller_fault() {
        open.submit(CallEvent::CallerFailed { call: open.call, code });
        return;
    }
    open.submit(CallEvent::Failed {
        call: open.call,
        attempt,
        refusal: failure.refusal,
        replayable: body.is_replayable(),
        load: failure.load,
    });
}

/// Makes one attempt.
async fn start(proxy: &Proxy, outgoing: &Outgoing, effect: CallEffect) -> Result<Answer, Failure> {
    let mut head = outgoing.head();
    match effect {
        CallEffect::Dispatch {
            address,
            connections,
            repeatable,
            chain,
            max_body_bytes,
            target,
            ..
        } => {
            let dialect = &proxy.settings.dialect;
            headers::add_for_target(&mut head.headers, dialect, &chain, &target);
            let id = head.headers.get(&dialect.request_id).cloned();
            let wanted = wanted(address, connections as usize, repeatable);
            let sent = send(&proxy.targets, wanted, head, &outgoing.body, max_body_bytes).await;
            from_target(dialect, id.as_ref(), sent?).await
        }
        CallEffect::Forward { address, head: forward, chain, max_body_bytes, .. } => {
            let key = proxy.key_value.as_ref();
            let sent = proxy.clock.stamp();
            headers::add_for_owner(&mut head.headers, &chain, &forward, sent, key);
            let address = proxy.settings.translation.apply(address);
            let wanted = wanted(address, usize::MAX, forward.repeatable);
            let sent = send(&proxy.owners, wanted, head, &outgoing.body, max_body_bytes).await;
            from_owner(sent?).await
        }
        _ => unreachable!("only these effects begin an attempt"),
    }
}

fn wanted(address: std::net::SocketAddr, max_open: usize, repeatable: bool) -> Wanted {
    let max_idle = if repeatable { Duration::MAX } else { MAX_IDLE_UNREPEATABLE };
    Wanted { address, max_open, max_idle }
}

/// Tells a target's answer to this call from a refusal, and from what is no
/// answer to this call.
async fn from_target(
    dialect: &CallDialect,
    id: Option<&HeaderValue>,
    answer: Answer,
) -> Result<Answer, Failure> {
    let all = answer.response.headers();
    let status = answer.response.status();
    let echoed = all.get(&dialect.request_id);
    if echoed.is_some() && id.is_some() && echoed != id {
        // A late answer to an earlier call; the one to this call may come yet.
        return Err(Failure::new(RefusalCode::WrongAnswer, Outcome::Unknown));
    }
    if all.contains_key(&dialect.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        let code = match status {
            StatusCode::MISDIRECTED_REQUEST => RefusalCode::TargetGone,
            _ => RefusalCode::TargetRefused,
        };
        drain(answer).await;
        return Err(Failure::new(code, Outcome::NotRun));
    }
    let lacks_stamp = dialect.stamp.as_ref().is_some_and(|stamp| !all.contains_key(stamp));
    if status.is_success() && lacks_stamp {
        return Err(Failure::new(RefusalCode::WrongAnswer, Outcome::Unknown));
    }
    Ok(answer)
}

/// Reads a short answer to its end, so that its connection can be used again.
async fn drain(answer: Answer) {
    let Answer { response, connection, request_body } = answer;
    let is_closing = response.headers().contains_key(header::CONNECTION);
    let rest = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect().await;
    if rest.is_ok() && request_body.is_done() && !is_closing {
        connection.give_back();
    }
}

/// Tells an owner's refusal from a target's answer.
async fn from_owner(answer: Answer) -> Result<Answer, Failure> {
    let all = answer.response.headers();
    let Some((code, outcome)) = headers::refusal(all) else { return Ok(answer) };
    let load = headers::load(all);
    drain(answer).await;
    Err(Failure { refusal: Refusal { code, outcome }, load })
}

/// Sends a request on a connection of its own. An error says `not-run` only
/// where no byte of the request was written.
async fn send(
    pool: &Pool,
    wanted: Wanted,
    head: Parts,
    body: &Mutex<BodySource>,
    max_body_bytes: u64,
) -> Result<Answer, Failure> {
    let unreachable = |_| Failure::new(RefusalCode::Unreachable, Outcome::NotRun);
    let mut connection = pool.take(wanted).await.map_err(unreachable)?;
    let (body, request_body) = body.lock().await.open(max_body_bytes);
    let mut request = Request::from_parts(head, body);
    for _ in 0..MAX_UNSENT {
        let mut failed = match connection.sender.try_send_request(request).await {
            Ok(response) => return Ok(Answer { response, connection, request_body }),
            Err(failed) => failed,
        };
        // The connection hands the request back only if it has not begun to write it.
        let Some(unsent) = failed.take_message() else {
            return Err(Failure::new(RefusalCode::ConnectionLost, Outcome::Unknown));
        };
        request = unsent;
        connection = pool.take(wanted).await.map_err(unreachable)?;
    }
    Err(Failure::new(RefusalCode::Unreachable, Outcome::NotRun))
}
