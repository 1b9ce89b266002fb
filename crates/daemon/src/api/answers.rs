//! Requests that wait for the reducer's answers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use fireflylug_core::api::ApiResponse;
use fireflylug_core::collections::HashMap;
use fireflylug_core::ids::RequestId;
use fireflylug_core::{Event, api::ApiRequest};
use tokio::sync::mpsc::{Receiver, Sender, channel};

use crate::Runtime;

/// Answers that may wait for a slow watcher before it is dropped.
const MAX_WAITING_ANSWERS: usize = 256;

/// Requests that wait for answers. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    table: Arc<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: AtomicU64,
    waiting: Mutex<HashMap<RequestId, Sender<ApiResponse>>>,
}

impl Answers {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Submits a request and returns its answers. Dropping them closes the request.
    pub fn ask(&self, runtime: &Arc<Runtime>, body: ApiRequest) -> AnswerStream {
        let request = RequestId(self.table.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = channel(MAX_WAITING_ANSWERS);
        self.lock().insert(request, sender);
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
        if let Some(sender) = waiting.get(&request)
            && sender.try_send(response).is_err()
        {
            waiting.remove(&request);
        }
    }

    /// Ends every request: their streams end once their answers are read.
    pub fn close(&self) {
        self.lock().clear();
    }

    /// Requests that wait, watches included.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Sender<ApiResponse>>> {
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
