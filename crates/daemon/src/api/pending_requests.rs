//! Requests that are waiting for responses of the reducer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fireflylug_core::api::{ApiResponse, MAX_HISTORY_EVENTS};
use fireflylug_core::collections::HashMap;
use fireflylug_core::ids::RequestId;
use fireflylug_core::{Event, api::ApiRequest};
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::Runtime;

/// Maximum number of responses that are queued for a slow watcher before it is dropped.
/// The queue must hold the complete history, which a resumed watch receives at once.
pub const MAX_QUEUED_RESPONSES: usize = 2 * MAX_HISTORY_EVENTS;
/// Interval between checks for pending requests.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Table of pending requests. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct PendingRequests {
    table: Arc<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: AtomicU64,
    pending: Mutex<HashMap<RequestId, PendingRequest>>,
}

#[derive(Debug)]
struct PendingRequest {
    responses: Sender<ApiResponse>,
    /// Whether the request is a watch, which lasts until its client disconnects.
    is_watch: bool,
}

impl PendingRequests {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Submits a request and returns its responses. Dropping the stream closes the request.
    pub fn submit(&self, runtime: &Arc<Runtime>, body: ApiRequest) -> ResponseStream {
        let request = RequestId(self.table.next_id.fetch_add(1, Ordering::Relaxed));
        let is_watch = matches!(body, ApiRequest::Watch { .. });
        let (responses, receiver) = channel(if is_watch { MAX_QUEUED_RESPONSES } else { 1 });
        self.lock().insert(request, PendingRequest { responses, is_watch });
        let stream = ResponseStream {
            request,
            receiver,
            pending: self.clone(),
            runtime: Arc::clone(runtime),
        };
        runtime.submit(Event::ApiRequest { request, body });
        stream
    }

    /// Passes a response to the handler of its request.
    ///
    /// A watcher whose queue is full is dropped: its stream ends, and it may resume
    /// from the last version that it received.
    pub fn respond(&self, request: RequestId, response: ApiResponse) {
        let mut pending = self.lock();
        if let Some(found) = pending.get(&request)
            && found.responses.try_send(response).is_err()
        {
            pending.remove(&request);
        }
    }

    /// Closes every request. Each stream ends after its queued responses are read.
    pub fn close_all(&self) {
        self.lock().clear();
    }

    /// Returns the numbers of pending requests and of watches.
    pub fn counts(&self) -> (u64, u64) {
        let pending = self.lock();
        let watches = pending.values().filter(|pending| pending.is_watch).count();
        ((pending.len() - watches) as u64, watches as u64)
    }

    /// Waits until only watches are pending.
    pub async fn drained(&self) {
        while self.counts().0 > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, PendingRequest>> {
        self.table.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Responses to one request.
pub struct ResponseStream {
    request: RequestId,
    receiver: Receiver<ApiResponse>,
    pending: PendingRequests,
    runtime: Arc<Runtime>,
}

impl ResponseStream {
    /// Returns the next response; `None` if the request was dropped.
    pub async fn next(&mut self) -> Option<ApiResponse> {
        self.receiver.recv().await
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.pending.lock().remove(&self.request);
        self.runtime.submit(Event::ApiClosed { request: self.request });
    }
}
