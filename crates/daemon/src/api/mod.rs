//! The resource API, announcements, metrics and health over HTTP.

use std::sync::{Arc, Mutex, PoisonError};

use fireflylug_core::api::ApiResponse;
use fireflylug_core::collections::HashMap;
use fireflylug_core::ids::RequestId;
use tokio::sync::mpsc::UnboundedSender;

/// Requests that wait for answers.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    waiting: Arc<Mutex<HashMap<RequestId, UnboundedSender<ApiResponse>>>>,
}

impl Answers {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a request that waits for answers.
    pub fn register(&self, request: RequestId, answers: UnboundedSender<ApiResponse>) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).insert(request, answers);
    }

    /// Forgets a request.
    pub fn remove(&self, request: RequestId) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).remove(&request);
    }

    /// Passes an answer to the handler of its request.
    pub fn answer(&self, request: RequestId, response: ApiResponse) {
        let waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(answers) = waiting.get(&request) {
            // The handler is gone where the client hung up.
            let _ = answers.send(response);
        }
    }
}
