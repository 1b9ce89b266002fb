//! Requests that a caller sends before the responses to its earlier ones have arrived.
//!
//! The HTTP library serves the requests of a connection one by one. `CallerSocket` reads ahead
//! meanwhile and starts the calls of the requests that follow, if they may run more than once.
//! When the HTTP library reaches such a request, `Pipeline::begin_turn` returns its call.

mod caller_socket;
mod early_call;
pub mod framing;
pub mod read_ahead;

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
pub(super) use caller_socket::CallerSocket;
use early_call::{EarlyCall, ParsedHead};
use http::{HeaderValue, Request, Response, header};
use http_body::{Body, Frame, SizeHint};
use read_ahead::{EarlyHead, ReadAhead};
use tokio::sync::Notify;

use super::answer::AnswerBody;
use super::call;
use super::open_connections::ConnectionStage;
use super::proxy::{Client, Proxy};
use super::socket::CallerConnection;

/// Maximum number of early calls of one connection.
const MAX_EARLY_CALLS: usize = 16;

/// Requests of one caller's connection.
pub(super) struct Pipeline {
    proxy: Arc<Proxy>,
    caller: Arc<CallerConnection>,
    state: Mutex<PipelineState>,
    emptied: Notify,
}

struct PipelineState {
    read_ahead: ReadAhead,
    early_calls: VecDeque<Box<EarlyCall>>,
}

/// A request that the HTTP library has reached. Its response has ended when this is dropped.
pub(super) struct Turn {
    pipeline: Arc<Pipeline>,
    early_call: Option<Box<EarlyCall>>,
}

impl Pipeline {
    /// Creates the state of a new connection.
    pub fn new(proxy: Arc<Proxy>, caller: Arc<CallerConnection>) -> Arc<Self> {
        let state = PipelineState { read_ahead: ReadAhead::new(), early_calls: VecDeque::new() };
        Arc::new(Self { proxy, caller, state: Mutex::new(state), emptied: Notify::new() })
    }

    /// Begins the turn of a request, and takes over its call if that was started early.
    pub fn begin_turn<B>(self: &Arc<Self>, request: &Request<B>) -> Turn {
        let mut state = self.state();
        let number = state.read_ahead.begin_turn();
        let early_call = state.early_calls.pop_front_if(|call| call.number <= number);
        let is_taken = |call: &EarlyCall| call.number == number && call.is_for(request);
        if early_call.as_ref().is_some_and(|call| !is_taken(call)) {
            // The HTTP library parses the requests differently.
            state.read_ahead.disable();
            state.early_calls.clear();
        }
        if state.early_calls.is_empty() {
            self.emptied.notify_one();
        }
        drop(state);
        Turn { pipeline: Arc::clone(self), early_call: early_call.filter(|call| is_taken(call)) }
    }

    /// Waits until no early call is left.
    pub async fn early_calls_taken(&self) {
        while self.has_early_calls() {
            self.emptied.notified().await;
        }
    }

    fn has_early_calls(&self) -> bool {
        !self.state().early_calls.is_empty()
    }

    /// Starts the calls of the requests that were read ahead, up to the limits. Returns whether
    /// further ones may be started.
    fn start_early_calls(self: &Arc<Self>, state: &mut PipelineState) -> bool {
        let handle = &self.proxy.handle;
        loop {
            if !state.read_ahead.has_unscanned() || !handle.is_serving() {
                return true;
            }
            if state.early_calls.len() >= MAX_EARLY_CALLS {
                return false;
            }
            let Some(permit) = handle.early_call_permit() else { return false };
            let Some(early) = state.read_ahead.next_early_head() else { return true };
            let Some(head) = self.early_call_head(&early) else { continue };
            handle.count_early_call();
            let call = EarlyCall::start(&self.proxy, &self.caller, &early, head, permit);
            state.early_calls.push_back(Box::new(call));
        }
    }

    /// Parses a request head; `None` if its call may not run more than once.
    fn early_call_head(&self, early: &EarlyHead) -> Option<ParsedHead> {
        let head = ParsedHead::parse(&early.bytes)?;
        let (host, path) = head.host_and_path();
        let is_repeatable =
            |state: &fireflylug_core::State| state.routing().is_repeatable(&host, path);
        self.proxy.runtime.inspect(is_repeatable).then_some(head)
    }

    fn state(&self) -> MutexGuard<'_, PipelineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Turn {
    /// Serves the request. The result ends the turn when it is dropped.
    pub async fn serve(mut self, request: Request<hyper::body::Incoming>) -> Response<TurnBody> {
        let (proxy, caller) = (&self.pipeline.proxy, &self.pipeline.caller);
        let mut response = match self.early_call.take() {
            Some(call) => {
                caller.set_stage(ConnectionStage::Calling);
                let Some(response) = call.response().await else {
                    caller.abort();
                    std::future::pending().await
                };
                if !response.body().is_open() {
                    caller.set_stage(ConnectionStage::Responded);
                }
                response
            }
            None => {
                let (proxy, caller) = (Arc::clone(proxy), Arc::clone(caller));
                call::serve(proxy, caller, Client::Callers, request).await
            }
        };
        // Callers send the requests behind a response that closes the connection again.
        if !proxy.handle.is_serving() && !self.pipeline.has_early_calls() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(|body| TurnBody { body, _turn: Some(self) })
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let waker = self.pipeline.state().read_ahead.end_turn();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Body of a response, which ends the turn of its request.
pub(super) struct TurnBody {
    body: AnswerBody,
    /// `None` on a connection of another proxy.
    _turn: Option<Turn>,
}

impl From<AnswerBody> for TurnBody {
    fn from(body: AnswerBody) -> Self {
        Self { body, _turn: None }
    }
}

impl Body for TurnBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
