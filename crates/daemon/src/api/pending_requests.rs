//! Requests that wait for the reducer's answers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fireflylug_core::api::{ApiResponse, MAX_HISTORY_EVENTS};
use fireflylug_core::collections::HashMap;
use fireflylug_core::ids::RequestId;
use fireflylug_core::{Event, api::ApiRequest};
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::Runtime;

/// Answers that may wait for a slow watcher before it is dropped. A watch that
/// resumes is given the whole history at once.
pub const MAX_WAITING_ANSWERS: usize = 2 * MAX_HISTORY_EVENTS;
/// Time between two looks at the requests that wait.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Requests that wait for answers. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    table: Arc<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: AtomicU64,
    waiting: Mutex<HashMap<RequestId, Waiting>>,
}

#[derive(Debug)]
struct Waiting {
    answers: Sender<ApiResponse>,
    /// Whether the request is a watch, which ends only with its client.
    is_watch: bool,
}

impl Answers {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Submits a request and returns its answers. Dropping them closes the request.
    pub fn ask(&self, runtime: &Arc<Runtime>, body: ApiRequest) -> AnswerStream {
        let request = RequestId(self.table.next_id.fetch_add(1, Ordering::Relaxed));
        let is_watch = matches!(body, ApiRequest::Watch { .. });
        let (answers, receiver) = channel(if is_watch { MAX_WAITING_ANSWERS } else { 1 });
        self.lock().insert(request, Waiting { answers, is_watch });
        let stream =
            AnswerStream { request, receiver, answers: self.clone(), runtime: Arc::clone(runtime) };
        runtime.submit(Event::ApiRequest { request, body });
        stream
    }

    /// Passes an answer to the handler of its request.
    ///
    /// A watcher that reads too slowly to take it is dropped: its stream ends,
    /// and it may resume from the last version that it has seen.
    pub fn answer(&self, request: RequestId, response: ApiResponse) {
        let mut waiting = self.lock();
        if let Some(found) = waiting.get(&request)
            && found.answers.try_send(response).is_err()
        {
            waiting.remove(&request);
        }
    }

    /// Ends every request: their streams end once their answers are read.
    pub fn close(&self) {
        self.lock().clear();
    }

    /// Requests that wait for an answer, and watches.
    pub fn counts(&self) -> (u64, u64) {
        let waiting = self.lock();
        let watches = waiting.values().filter(|waiting| waiting.is_watch).count();
        ((waiting.len() - watches) as u64, watches as u64)
    }

    /// Waits until no request waits but watches.
    pub async fn drained(&self) {
        while self.counts().0 > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Waiting>> {
        self.table.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The answers of one request.
pub struct AnswerStream {
    request: RequestId,
    receiver: Receiver<ApiResponse>,
    answers: Answers,
    runtime: Arc<Runtime>,
}

impl AnswerStream {
    /// The next answer; none where the request was dropped.
    pub async fn next(&mut self) -> Option<ApiResponse> {
        self.receiver.recv().await
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.answers.lock().remove(&self.request);
        self.runtime.submit(Event::ApiClosed { request: self.request });
    }
}
