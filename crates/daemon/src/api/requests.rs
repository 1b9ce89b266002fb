//! In-process requests to the resource API.

use std::sync::Arc;

use fireflylug_core::api::{ApiError, ApiRequest, ApiResponse, ErrorCode};

use super::PendingRequests;
use crate::Runtime;

/// Sends requests to a daemon's resource API without HTTP. Clones use the same daemon.
#[derive(Clone)]
pub struct Requests {
    runtime: Arc<Runtime>,
    pending: PendingRequests,
}

impl Requests {
    /// Creates a handle to the daemon with this runtime.
    pub fn new(runtime: Arc<Runtime>, pending: PendingRequests) -> Self {
        Self { runtime, pending }
    }

    /// Sends a request and returns the response. Dropping the future closes the request.
    pub async fn send(&self, request: ApiRequest) -> ApiResponse {
        let response = self.pending.submit(&self.runtime, request).next().await;
        response.unwrap_or_else(|| {
            let message = "the process is stopping; the outcome of the request is unknown";
            ApiResponse::Error(ApiError::new(ErrorCode::OutcomeUnknown, message))
        })
    }

    /// Number of requests without a response, except watches.
    pub fn pending_count(&self) -> u64 {
        self.pending.counts().0
    }

    /// Whether the daemon is ready for calls.
    pub fn is_ready(&self) -> bool {
        self.runtime.inspect(|state| state.distribution().is_ready() && !state.is_stopping())
    }
}
