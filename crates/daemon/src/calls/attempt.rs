//! One attempt of a call: sends the request to a target or to its owner, and classifies the response.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use fireflylug_core::routing::{CallEffect, Outcome, Refusal, RefusalCode, TargetNotice};
use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;

use super::CallDialect;
use super::answer::Answer;
use super::body::BodySource;
use super::credential::replace_identity;
use super::headers;
use super::pool::{ConnectionRequest, Pool};
use super::proxy::Proxy;

/// Maximum idle time of a connection that is used for a call which may not run twice. The
/// peer may close an idle connection while a call is sent, and then it is unknown whether
/// the call ran.
const MAX_IDLE_NON_REPEATABLE: Duration = Duration::from_millis(500);
/// Maximum size of a refusal body that is read to reuse its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 4 * 1024;
/// Time after the loss of a connection by which a target that has ended refuses new ones.
const LISTENER_CLOSES_WITHIN: Duration = Duration::from_millis(10);
/// Timeout of the connection that shows whether a target has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of new connections for a request that was provably not sent.
const MAX_UNSENT_RETRIES: usize = 3;

/// A request as sent in one or more attempts.
pub(super) struct OutgoingRequest {
    pub parts: Parts,
    pub body: Mutex<BodySource>,
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
pub(super) struct Failure {
    pub refusal: Refusal,
    pub notice: TargetNotice,
    /// Whether the other end closed or reset the connection.
    is_closed_by_peer: bool,
}

impl Failure {
    pub fn new(code: RefusalCode, outcome: Outcome) -> Self {
        let (refusal, notice) = (Refusal { code, outcome }, TargetNotice::default());
        Self { refusal, notice, is_closed_by_peer: false }
    }

    /// No response was received after some of the request was written.
    fn without_response(error: &hyper::Error) -> Self {
        if error.is_parse() {
            return Self::new(RefusalCode::WrongAnswer, Outcome::Unknown);
        }
        let failure = Self::new(RefusalCode::ConnectionLost, Outcome::Unknown);
        Self { is_closed_by_peer: true, ..failure }
    }

    /// Adds what the other end says about the target.
    fn with_notice(self, notice: TargetNotice) -> Self {
        Self { notice, ..self }
    }

    /// Adds whether the target has ended, if it closed the connection.
    async fn with_target_state(mut self, address: SocketAddr) -> Self {
        if self.is_closed_by_peer {
            self.notice.has_ended = refuses_connections(address).await;
        }
        self
    }
}

/// Runs one attempt.
pub(super) async fn run_attempt(
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
            identity,
            ..
        } => {
            let dialect = &proxy.settings.dialect;
            replace_identity(&mut head.headers, dialect, &identity);
            headers::add_for_target(&mut head.headers, dialect, &chain, &target);
            let id = head.headers.get(&dialect.request_id).cloned();
            let connection_request =
                connection_request(address, connections as usize, is_repeatable);
            let sent =
                send(&proxy.targets, connection_request, head, &outgoing.body, max_body_bytes)
                    .await;
            match sent {
                Ok(answer) => classify_target_response(dialect, id.as_ref(), answer).await,
                Err(failure) => Err(failure.with_target_state(address).await),
            }
        }
        CallEffect::Forward { address, head: forward, identity, chain, max_body_bytes, .. } => {
            replace_identity(&mut head.headers, &proxy.settings.dialect, &identity);
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
    address: SocketAddr,
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
    if !is_valid_status(status) {
        return Err(Failure::new(RefusalCode::WrongAnswer, Outcome::Unknown));
    }
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
        return Err(Failure::new(code, Outcome::NotRun).with_notice(notice));
    }
    let lacks_stamp = dialect.stamp.as_ref().is_some_and(|stamp| !header_map.contains_key(stamp));
    if status.is_success() && lacks_stamp {
        return Err(Failure::new(RefusalCode::WrongAnswer, Outcome::Unknown));
    }
    answer.notice = notice;
    Ok(answer)
}

/// Whether a status is one of a final response. The HTTP library accepts 100 to 999. It skips
/// informational responses except 101, which no call requests.
fn is_valid_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether nobody accepts connections at an address.
async fn refuses_connections(address: SocketAddr) -> bool {
    // A process that ends may close its listener after its connections.
    tokio::time::sleep(LISTENER_CLOSES_WITHIN).await;
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
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
    Err(Failure::new(code, outcome).with_notice(notice))
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
            return Err(Failure::without_response(failed.error()));
        };
        request = unsent;
        connection = pool.acquire(connection_request).await.map_err(unreachable)?;
    }
    Err(Failure::new(RefusalCode::Unreachable, Outcome::NotRun))
}
