//! Streaming of request bodies to targets.

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

/// Maximum size of a body prefix that is buffered so that the body can be sent again.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum time without progress while a caller sends its body.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of one request, shared by all its attempts.
pub(super) struct BodySource {
    /// Buffered start of the body.
    buffered: Vec<Bytes>,
    buffered_bytes: u64,
    /// Remainder that is not read yet; `None` if the complete body is buffered.
    unread: Option<Incoming>,
    unread_bytes: Option<u64>,
    progress: Arc<Mutex<Progress>>,
}

/// The caller aborted its body, or the body is too large.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the request body could not be sent: {0}")]
pub(super) struct BodyError(RefusalCode);

/// Transmission state of a body, shared between a call and its current attempt.
#[derive(Debug, Default)]
struct Progress {
    is_done: bool,
    caller_error: Option<RefusalCode>,
}

impl BodySource {
    /// Buffers the start of a body before the call is admitted. A slow caller thus occupies
    /// no slot meanwhile, and a small body can be sent again.
    pub async fn read(mut body: Incoming) -> Result<Self, RefusalCode> {
        let mut buffered = Vec::new();
        let mut buffered_bytes = 0;
        while buffered_bytes < MAX_BUFFERED_BYTES && !body.is_end_stream() {
            let frame = timeout(STALL_TIMEOUT, body.frame());
            match frame.await.map_err(|_| RefusalCode::CallerStalled)? {
                None => return Ok(Self::new(buffered, buffered_bytes, None)),
                Some(Err(_)) => return Err(RefusalCode::BadRequest),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        buffered_bytes += data.len();
                        buffered.push(data);
                    }
                }
            }
        }
        let unread = (!body.is_end_stream()).then_some(body);
        Ok(Self::new(buffered, buffered_bytes, unread))
    }

    /// Creates the source of an empty body.
    pub fn empty() -> Self {
        Self::new(Vec::new(), 0, None)
    }

    fn new(buffered: Vec<Bytes>, buffered_bytes: usize, unread: Option<Incoming>) -> Self {
        let unread_bytes = match &unread {
            None => Some(0),
            Some(unread) => unread.size_hint().exact(),
        };
        let progress = Arc::default();
        Self { buffered, buffered_bytes: buffered_bytes as u64, unread, unread_bytes, progress }
    }

    /// The buffered start of the body, of at most [`MAX_BUFFERED_BYTES`]. It is the same at every
    /// proxy, however the body was divided on its way.
    pub fn buffered_start(&self) -> impl Iterator<Item = &[u8]> {
        let mut remaining_bytes = MAX_BUFFERED_BYTES;
        self.buffered.iter().map(move |chunk| {
            let taken = &chunk[..chunk.len().min(remaining_bytes)];
            remaining_bytes -= taken.len();
            taken
        })
    }

    /// Length in bytes, if known.
    pub fn length(&self) -> Option<u64> {
        Some(self.buffered_bytes + self.unread_bytes?)
    }

    /// Whether the complete body is available for another attempt.
    pub fn is_replayable(&self) -> bool {
        self.unread.is_some() || self.unread_bytes == Some(0)
    }

    /// Returns the body for an attempt and a handle to its transmission state. A body that
    /// is not completely buffered serves a single attempt.
    pub fn open(&mut self, max_bytes: u64) -> (RequestBody, BodyProgress) {
        self.progress = Arc::default();
        let body = RequestBody {
            buffered: self.buffered.iter().cloned().collect(),
            remaining_bytes: self.length(),
            unread: self.unread.take(),
            sent_bytes: 0,
            max_bytes,
            stall_timer: None,
            progress: Arc::clone(&self.progress),
        };
        if self.length() == Some(0) {
            lock(&self.progress).is_done = true;
        }
        (body, BodyProgress(Arc::clone(&self.progress)))
    }

    /// Error that the caller caused while its body was sent.
    pub fn caller_error(&self) -> Option<RefusalCode> {
        lock(&self.progress).caller_error
    }
}

/// Handle to the transmission state of a body.
pub(super) struct BodyProgress(Arc<Mutex<Progress>>);

impl BodyProgress {
    /// Whether the complete body was passed to the connection.
    pub fn is_done(&self) -> bool {
        lock(&self.0).is_done
    }
}

/// Request body as sent in one attempt.
pub(super) struct RequestBody {
    buffered: VecDeque<Bytes>,
    /// Bytes not sent yet, if the length is known.
    remaining_bytes: Option<u64>,
    unread: Option<Incoming>,
    sent_bytes: u64,
    max_bytes: u64,
    /// Timer that runs while the caller sends nothing.
    stall_timer: Option<Pin<Box<Sleep>>>,
    progress: Arc<Mutex<Progress>>,
}

impl RequestBody {
    fn fail(&self, code: RefusalCode) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        lock(&self.progress).caller_error = Some(code);
        Poll::Ready(Some(Err(BodyError(code))))
    }

    fn send(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.sent_bytes += data.len() as u64;
        if self.sent_bytes > self.max_bytes {
            return self.fail(RefusalCode::BodyTooLarge);
        }
        self.remaining_bytes = self
            .remaining_bytes
            .map(|remaining_bytes| remaining_bytes.saturating_sub(data.len() as u64));
        if self.remaining_bytes == Some(0) {
            lock(&self.progress).is_done = true;
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn poll_stall_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let stall_timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(STALL_TIMEOUT)));
        stall_timer.as_mut().poll(cx)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(data) = self.buffered.pop_front() {
            return self.send(data);
        }
        let Some(unread) = &mut self.unread else {
            lock(&self.progress).is_done = true;
            return Poll::Ready(None);
        };
        match Pin::new(unread).poll_frame(cx) {
            Poll::Pending if self.poll_stall_timer(cx).is_ready() => {
                self.fail(RefusalCode::CallerStalled)
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                lock(&self.progress).is_done = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_))) => self.fail(RefusalCode::BadRequest),
            Poll::Ready(Some(Ok(frame))) => {
                self.stall_timer = None;
                match frame.into_data() {
                    Ok(data) => self.send(data),
                    // Trailers end the body and are not forwarded to targets.
                    Err(_) => {
                        lock(&self.progress).is_done = true;
                        Poll::Ready(None)
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
