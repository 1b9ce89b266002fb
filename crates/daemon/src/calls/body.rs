//! The request's body on its way to a target.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use fireflylug_core::routing::RefusalCode;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::{Sleep, sleep, timeout};

/// Most bytes of a body that are held, so that it can be sent again.
const MAX_HELD_BYTES: usize = 64 * 1024;
/// Time for which a caller may send nothing of its body.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of one request, for one or more attempts.
pub(super) struct BodySource {
    /// The first bytes.
    held: Vec<Bytes>,
    held_bytes: u64,
    /// What comes after them; absent where the whole body is held.
    rest: Option<Incoming>,
    rest_bytes: Option<u64>,
    progress: Arc<Mutex<Progress>>,
}

/// A body that the caller broke off or that is too large.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request's body failed: {0}")]
pub(super) struct BodyError(RefusalCode);

/// How far a body was sent, shared between a call and its present attempt.
#[derive(Debug, Default)]
struct Progress {
    is_done: bool,
    caller_fault: Option<RefusalCode>,
}

impl BodySource {
    /// Reads the first bytes of a body, so that a slow caller holds no slot
    /// meanwhile and a small body can be sent again.
    pub async fn read(mut body: Incoming) -> Result<Self, RefusalCode> {
        let mut held = Vec::new();
        let mut held_bytes = 0;
        while held_bytes < MAX_HELD_BYTES && !body.is_end_stream() {
            let frame = timeout(STALL_TIMEOUT, body.frame());
            match frame.await.map_err(|_| RefusalCode::CallerStalled)? {
                None => return Ok(Self::new(held, held_bytes, None)),
                Some(Err(_)) => return Err(RefusalCode::BadRequest),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        held_bytes += data.len();
                        held.push(data);
                    }
                }
            }
        }
        let rest = (!body.is_end_stream()).then_some(body);
        Ok(Self::new(held, held_bytes, rest))
    }

    fn new(held: Vec<Bytes>, held_bytes: usize, rest: Option<Incoming>) -> Self {
        let rest_bytes = match &rest {
            None => Some(0),
            Some(rest) => rest.size_hint().exact(),
        };
        let progress = Arc::default();
        Self { held, held_bytes: held_bytes as u64, rest, rest_bytes, progress }
    }

    /// Length in bytes, where it is known.
    pub fn length(&self) -> Option<u64> {
        Some(self.held_bytes + self.rest_bytes?)
    }

    /// Whether the body can be sent again, or for the first time.
    pub fn is_replayable(&self) -> bool {
        self.rest.is_some() || self.rest_bytes == Some(0)
    }

    /// The body for an attempt, with the handle that tells how far it was sent.
    /// A body that is not held whole is there for one attempt.
    pub fn open(&mut self, max_bytes: u64) -> (CallBody, BodyProgress) {
        self.progress = Arc::default();
        let body = CallBody {
            held: self.held.iter().cloned().collect(),
            left: self.length(),
            rest: self.rest.take(),
            sent_bytes: 0,
            max_bytes,
            stall: None,
            progress: Arc::clone(&self.progress),
        };
        if self.length() == Some(0) {
            lock(&self.progress).is_done = true;
        }
        (body, BodyProgress(Arc::clone(&self.progress)))
    }

    /// What the caller did wrong while its body was sent.
    pub fn caller_fault(&self) -> Option<RefusalCode> {
        lock(&self.progress).caller_fault
    }
}

/// Tells how far a body was sent.
pub(super) struct BodyProgress(Arc<Mutex<Progress>>);

impl BodyProgress {
    /// Whether the whole body was handed to the connection.
    pub fn is_done(&self) -> bool {
        lock(&self.0).is_done
    }
}

/// A request's body for one attempt.
pub(super) struct CallBody {
    held: VecDeque<Bytes>,
    /// Bytes not yet sent, where the length is known.
    left: Option<u64>,
    rest: Option<Incoming>,
    sent_bytes: u64,
    max_bytes: u64,
    /// Runs while the caller is waited for.
    stall: Option<Pin<Box<Sleep>>>,
    progress: Arc<Mutex<Progress>>,
}

impl CallBody {
    fn fail(&self, code: RefusalCode) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        lock(&self.progress).caller_fault = Some(code);
        Poll::Ready(Some(Err(BodyError(code))))
    }

    fn send(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.sent_bytes += data.len() as u64;
        if self.sent_bytes > self.max_bytes {
            return self.fail(RefusalCode::BodyTooLarge);
        }
        self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
        if self.left == Some(0) {
            lock(&self.progress).is_done = true;
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn poll_stall(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        stall.as_mut().poll(cx)
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(data) = self.held.pop_front() {
            return self.send(data);
        }
        let Some(rest) = &mut self.rest else {
            lock(&self.progress).is_done = true;
            return Poll::Ready(None);
        };
        match Pin::new(rest).poll_frame(cx) {
            Poll::Pending if self.poll_stall(cx).is_ready() => {
                self.fail(RefusalCode::CallerStalled)
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                lock(&self.progress).is_done = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_))) => self.fail(RefusalCode::BadRequest),
            Poll::Ready(Some(Ok(frame))) => {
                self.stall = None;
                match frame.into_data() {
                    Ok(data) => self.send(data),
                    // Trailers end the body; targets are not sent any.
                    Err(_) => {
                        lock(&self.progress).is_done = true;
                        Poll::Ready(None)
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
