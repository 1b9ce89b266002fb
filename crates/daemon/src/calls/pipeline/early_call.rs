//! Calls that are started before the HTTP library reaches their requests.

use std::sync::Arc;

use fireflylug_core::routing::{Outcome, Refusal, RefusalCode};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response, Uri};
use tokio::sync::{Notify, OwnedSemaphorePermit};
use tokio_util::task::AbortOnDropHandle;

use super::super::answer::{self, AnswerBody, Buffered};
use super::super::call;
use super::super::headers;
use super::super::proxy::{Client, Proxy};
use super::super::socket::CallerConnection;
use super::read_ahead::EarlyHead;

/// Maximum number of headers of a request whose call is started early.
const MAX_HEADERS: usize = 128;
/// Maximum size of a response that is buffered until its turn, in bytes. Its target connection
/// and its slot are free meanwhile.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Head of a request, as parsed before the HTTP library parses it.
#[derive(Clone, Debug)]
pub(super) struct ParsedHead {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl ParsedHead {
    /// Parses a head; `None` if the HTTP library has to judge it.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if !request.parse(bytes).ok()?.is_complete() {
            return None;
        }
        let mut header_map = HeaderMap::with_capacity(request.headers.len());
        for header in request.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            header_map.append(name, HeaderValue::from_bytes(header.value).ok()?);
        }
        Some(Self {
            method: request.method?.parse().ok()?,
            uri: request.path?.parse().ok()?,
            headers: header_map,
        })
    }

    /// Host of the request in lower case, without port, and its path.
    pub fn host_and_path(&self) -> (compact_str::CompactString, &str) {
        (headers::host(&self.uri, &self.headers), self.uri.path())
    }

    fn is_head_of<B>(&self, request: &Request<B>) -> bool {
        self.method == *request.method()
            && self.uri == *request.uri()
            && self.headers == *request.headers()
    }

    fn into_parts(self) -> Parts {
        let mut parts = Request::new(()).into_parts().0;
        (parts.method, parts.uri, parts.headers) = (self.method, self.uri, self.headers);
        parts
    }
}

/// A call that was started early. Dropping it cancels the call.
pub(super) struct EarlyCall {
    pub number: u64,
    head: ParsedHead,
    task: AbortOnDropHandle<Response<AnswerBody>>,
    is_turn: Arc<Notify>,
    _permit: OwnedSemaphorePermit,
}

impl EarlyCall {
    /// Starts a call in a task of its own.
    pub fn start(
        proxy: &Arc<Proxy>,
        caller: &Arc<CallerConnection>,
        early: &EarlyHead,
        head: ParsedHead,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        let is_turn = Arc::new(Notify::new());
        let task = {
            let (proxy, caller) = (Arc::clone(proxy), Arc::clone(caller));
            let (parts, is_turn) = (head.clone().into_parts(), Arc::clone(&is_turn));
            async move {
                let response = call::serve_early(Arc::clone(&proxy), caller, parts).await;
                buffer(&proxy, response, &is_turn).await
            }
        };
        let task = AbortOnDropHandle::new(proxy.handle.connections().spawn(task));
        Self { number: early.number, head, task, is_turn, _permit: permit }
    }

    /// Whether the call is for a request.
    pub fn is_for<B>(&self, request: &Request<B>) -> bool {
        self.head.is_head_of(request)
    }

    /// Waits for the response, now that it is its turn; `None` if the call panicked.
    pub async fn response(self) -> Option<Response<AnswerBody>> {
        self.is_turn.notify_one();
        self.task.await.ok()
    }
}

/// Buffers a response until its turn. Beyond [`MAX_BUFFERED_BYTES`], the remainder is streamed
/// when the turn comes. A response that fails meanwhile is replaced by a refusal, since no part of
/// it was sent to the caller.
async fn buffer(
    proxy: &Proxy,
    response: Response<AnswerBody>,
    is_turn: &Notify,
) -> Response<AnswerBody> {
    let (parts, body) = response.into_parts();
    let AnswerBody::Relay(mut relay) = body else { return Response::from_parts(parts, body) };
    let Some(entry) = relay.entry() else {
        return Response::from_parts(parts, AnswerBody::Relay(relay));
    };
    let receive = async {
        let buffered = Buffered::receive(&mut relay, MAX_BUFFERED_BYTES).await?;
        if relay.entry().is_some() {
            // The response makes no progress until its turn.
            entry.pause_progress();
            is_turn.notified().await;
            entry.take_turn();
            proxy.handle.note_progress(&entry);
        }
        Ok(buffered)
    };
    let received = tokio::select! {
        biased;
        () = entry.early_aborted() => Err(RefusalCode::DeadlineExceeded),
        received = receive => received.map_err(|_: hyper::Error| RefusalCode::ConnectionLost),
    };
    match received {
        Ok(buffered) => Response::from_parts(parts, AnswerBody::Buffered(buffered, relay)),
        Err(code) => {
            let refusal = Refusal { code, outcome: Outcome::Unknown };
            let retry_after_ms = refusal.default_retry_after_ms();
            answer::refuse(proxy, Client::Callers, refusal, None, retry_after_ms)
        }
    }
}
