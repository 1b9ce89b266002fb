//! Answers to callers: passed on from a target, or the mesh's own.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use fireflylug_core::Event;
use fireflylug_core::ids::CallId;
use fireflylug_core::routing::{CallEvent, GateLoad, Outcome, Refusal};
use http::header::{self, HeaderValue};
use http::{Response, StatusCode, Version};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::sync::PollSemaphore;

use super::body::BodyProgress;
use super::bulk_lanes::BulkLanes;
use super::handle::Slot;
use super::headers;
use super::pool::Connection;
use super::proxy::{Proxy, Side};

/// A call that the reducer still knows. Dropped early, it reports that the caller is gone.
pub(super) struct OpenCall {
    pub proxy: Arc<Proxy>,
    pub call: CallId,
    pub slot: Arc<Slot>,
    pub is_open: bool,
}

impl OpenCall {
    pub fn submit(&self, event: CallEvent) {
        self.proxy.runtime.submit(Event::Call(event));
    }

    /// The reducer has forgotten the call.
    pub fn close(&mut self) {
        self.is_open = false;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.proxy.handle.close(self.call);
        if self.is_open {
            self.submit(CallEvent::CallerGone { call: self.call });
        }
    }
}

/// What a target or an owner answered to an attempt.
pub(super) struct Answer {
    pub response: Response<Incoming>,
    pub connection: Connection,
    pub request_body: BodyProgress,
}

/// Body of an answer to a caller.
pub(super) enum AnswerBody {
    /// The mesh's own answer.
    Whole(Option<Bytes>),
    /// A target's answer.
    Relay(Box<Relay>),
}

/// Bytes of a frame's headers and of packets around it, about.
const OVERHEAD_BYTES: u64 = 400;

/// Answers of at least this many bytes wait for a place on a slow link.
const BULK_BYTES: u64 = 32 * 1024;

/// A target's answer on its way to the caller.
pub(super) struct Relay {
    body: Incoming,
    /// Waits for a place on the link, then holds it.
    lane: Lane,
    /// Absent once the answer ended.
    open: Option<(OpenCall, Connection)>,
    attempt: u8,
    request_body: BodyProgress,
}

/// A place on the link of this host for one large answer.
enum Lane {
    /// None is needed.
    Free,
    /// Waits for one.
    Waiting { places: PollSemaphore, lanes: Arc<BulkLanes>, bytes: u64 },
    /// Held until the link has carried the answer.
    Held { permit: OwnedSemaphorePermit, carried_at: Instant },
}

impl Lane {
    /// Small answers go ahead of large ones, which go one after the other:
    /// they would only slow each other down.
    fn new(proxy: &Proxy, side: Side, body: &Incoming) -> Self {
        let bytes = body.size_hint().lower();
        match &proxy.bulk_lanes {
            Some(lanes) if side == Side::Proxies && bytes >= BULK_BYTES => {
                let places = PollSemaphore::new(Arc::clone(&lanes.places));
                Self::Waiting { places, lanes: Arc::clone(lanes), bytes }
            }
            _ => Self::Free,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Self::Waiting { places, lanes, bytes } = self else { return Poll::Ready(()) };
        let permit = std::task::ready!(places.poll_acquire(cx));
        let carried_at = Instant::now() + lanes.time_of(*bytes);
        // The semaphore is never closed.
        *self = permit.map_or(Self::Free, |permit| Self::Held { permit, carried_at });
        Poll::Ready(())
    }

    /// Gives the place back once the link has carried what was written: the
    /// system takes bytes faster than the link does.
    fn give_back(&mut self) {
        if let Self::Held { permit, carried_at } = std::mem::replace(self, Self::Free) {
            tokio::spawn(async move {
                tokio::time::sleep_until(carried_at).await;
                drop(permit);
            });
        }
    }
}

impl Relay {
    /// Counts bytes that go ahead of large answers to other hosts.
    fn count(&self, bytes: usize) {
        if let (Lane::Free, Some((open, _))) = (&self.lane, &self.open)
            && let Some(lanes) = &open.proxy.bulk_lanes
        {
            lanes.note_others(bytes as u64 + OVERHEAD_BYTES);
        }
    }

    /// Reports the end. The connection is used again only where nothing of
    /// request and answer is left on it.
    fn end(&mut self, whole: bool) {
        let Some((mut open, connection)) = self.open.take() else { return };
        self.lane.give_back();
        if whole && self.request_body.is_done() {
            connection.give_back();
        } else {
            drop(connection);
        }
        open.close();
        open.submit(CallEvent::Ended { call: open.call, attempt: self.attempt, whole });
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let relay = match &mut *self {
            Self::Whole(body) => return Poll::Ready(body.take().map(|b| Ok(Frame::data(b)))),
            Self::Relay(relay) => relay,
        };
        std::task::ready!(relay.lane.poll(cx));
        let polled = Pin::new(&mut relay.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            relay.count(frame.data_ref().map_or(0, Bytes::len));
        }
        match &polled {
            Poll::Pending => {}
            Poll::Ready(None) => relay.end(true),
            Poll::Ready(Some(Err(_))) => relay.end(false),
            Poll::Ready(Some(Ok(_))) if relay.body.is_end_stream() => relay.end(true),
            Poll::Ready(Some(Ok(_))) => {
                if let Some((open, _)) = &relay.open {
                    open.proxy.handle.note_progress(&open.slot);
                }
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_none(),
            Self::Relay(relay) => relay.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Self::Relay(relay) => relay.body.size_hint(),
        }
    }
}

/// Passes a target's answer on.
pub(super) fn relay(
    open: OpenCall,
    side: Side,
    attempt: u8,
    answer: Answer,
    load: Option<GateLoad>,
) -> Response<AnswerBody> {
    let Answer { response, connection, request_body } = answer;
    let (mut parts, body) = response.into_parts();
    headers::strip(&mut parts.headers);
    if open.proxy.settings.dialect.has_mesh_headers {
        parts.headers.insert(headers::OUTCOME, headers::outcome_value(Outcome::Ran));
    }
    if let Some(load) = load {
        headers::add_load(&mut parts.headers, load);
    }
    parts.version = Version::HTTP_11;
    close_if_stopping(&open.proxy, &mut parts.headers);
    open.proxy.handle.note_progress(&open.slot);
    let lane = Lane::new(&open.proxy, side, &body);
    let mut relay = Relay { body, lane, open: Some((open, connection)), attempt, request_body };
    if relay.body.is_end_stream() {
        relay.end(true);
    }
    Response::from_parts(parts, AnswerBody::Relay(Box::new(relay)))
}

/// An answer of the mesh itself: JSON with a code and a message.
pub(super) fn refuse(
    proxy: &Proxy,
    side: Side,
    refusal: Refusal,
    load: Option<GateLoad>,
    retry_after_ms: Option<u32>,
) -> Response<AnswerBody> {
    let dialect = &proxy.settings.dialect;
    let Refusal { code, outcome } = refusal;
    let message = code.message();
    let text =
        format!("{{\"code\":\"{code}\",\"message\":\"{message}\",\"outcome\":\"{outcome}\"}}\n");
    let mut response = Response::new(AnswerBody::Whole(Some(text.into())));
    let status = match side {
        Side::Callers => dialect.status(refusal),
        Side::Proxies => code.status(),
    };
    *response.status_mut() = StatusCode::from_u16(status).expect("the status is in range");
    let all = response.headers_mut();
    all.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    all.insert(headers::ERROR, HeaderValue::from_static(code.into()));
    all.insert(headers::OUTCOME, headers::outcome_value(outcome));
    if let Some(wait_ms) = retry_after_ms
        && let Ok(value) = dialect.retry_after(wait_ms).parse()
    {
        all.insert(header::RETRY_AFTER, value);
    }
    if let Some(load) = load {
        headers::add_load(all, load);
    }
    close_if_stopping(proxy, all);
    response
}

fn close_if_stopping(proxy: &Proxy, headers: &mut http::HeaderMap) {
    if !proxy.handle.is_serving() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
}
