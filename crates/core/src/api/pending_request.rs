//! One forwarded request and its attempts, whose outcomes are independent of each other.

use rand::Rng;

use super::replica_request::ReplicaRequest;
use super::{ApiError, ErrorCode};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, RequestId};
use crate::time::Instant;

/// Creates the key of one attempt. Responses from other processes carry it.
///
/// The key is random, because request keys begin anew with each start of the process: a
/// response to an attempt of an earlier run must not match a request of this one. Every
/// attempt has its own key, so that a duplicate response to one attempt is not taken for
/// the response to a later attempt.
pub(super) fn attempt_key(rng: &mut impl Rng) -> RequestId {
    RequestId(rng.random())
}

/// A request of an operator that was forwarded and waits for a response.
pub(super) struct PendingRequest {
    pub replica_request: ReplicaRequest,
    pub arrived_at: Instant,
    pub deadline: Instant,
    pub attempt_at: Instant,
    pub attempts: usize,
    /// Replica that the latest attempt was sent to, while its response is outstanding.
    pub awaited_replica: Option<NodeId>,
    /// Attempts that were sent and whose outcome is unknown, with their replicas. A response
    /// to any other attempt is not for this request.
    pub unresolved_attempts: Vec<(NodeId, RequestId)>,
    /// Error of the latest attempt that failed.
    pub last_error: Option<ApiError>,
}

impl PendingRequest {
    /// Whether `attempt` was sent to `replica` and its outcome is unknown.
    pub fn awaits(&self, replica: NodeId, attempt: RequestId) -> bool {
        self.unresolved_attempts.contains(&(replica, attempt))
    }

    /// Marks one attempt at `replica` as resolved: it can no longer be committed.
    pub fn resolve_attempt(&mut self, replica: NodeId, attempt: RequestId) {
        self.unresolved_attempts.retain(|entry| *entry != (replica, attempt));
    }

    /// Logs the end of the request with the time and the attempts that it took.
    pub fn log_end(&self, cx: &mut Context<'_>, end: &str) {
        let request = &self.replica_request;
        let elapsed_ms = cx.now.since_ms(self.arrived_at);
        let last_replica = self.awaited_replica.map_or("none".to_owned(), |node| node.to_string());
        let attempts = self.attempts;
        let text = format!(
            "{request}: {end} after {elapsed_ms} ms; attempts: {attempts}, waiting for replica: \
             {last_replica}."
        );
        cx.log(LogLevel::Info, LogPart::Api, text);
    }

    pub fn timeout_error(&self) -> ApiError {
        match self.replica_request {
            ReplicaRequest::Change(_) | ReplicaRequest::ReplaceVoter { .. }
                if !self.unresolved_attempts.is_empty() =>
            {
                ApiError::new(
                    ErrorCode::OutcomeUnknown,
                    "no control replica reported the outcome of the change within 6 s; it may have \
                     been accepted; resend it with the same Idempotency-Key to get the outcome",
                )
            }
            ReplicaRequest::Change(_) | ReplicaRequest::ReplaceVoter { .. } => ApiError::new(
                ErrorCode::Unavailable,
                "refused: no leader of the control replicas could be reached within 6 s, and \
                 nothing was proposed; send it again later",
            ),
            ReplicaRequest::Read(_) => self.last_error.clone().unwrap_or_else(|| {
                ApiError::new(
                    ErrorCode::Unavailable,
                    "no control replica confirmed the read with a quorum within 3 s; \
                     add ?stale=true to read the version that this process holds",
                )
            }),
        }
    }
}
