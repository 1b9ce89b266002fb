//! Forwarding of operators' requests to a control replica, with retries until a
//! response arrives or the request times out.
//!
//! A change is resent after a lost response. This is safe because it carries an
//! idempotency key; a change without one gets a key here. A change is reported as
//! refused only if it can no longer be committed: the replicated log refused it
//! under its key, or it was never proposed. While an attempt that was sent has no
//! response, the outcome is unknown.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;

use super::message::ReadAnswer;
use super::nearest::nearest_replica;
use super::pending_request::{PendingRequest, attempt_key};
use super::replica_request::ReplicaRequest;
use super::request::ApiResponse;
use super::{ApiError, ErrorCode};
use crate::Effect;
use crate::consensus::{ChangeOutcome, Participation};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, RequestId};
use crate::membership::Membership;
use crate::time::Instant;

/// Timeout of one attempt, in milliseconds. Another attempt follows.
const ATTEMPT_TIMEOUT_MS: u64 = 1_500;
/// Base delay between attempts while no leader is reachable, in milliseconds. Jitter
/// at most doubles it.
const RETRY_DELAY_MS: u64 = 50;
/// Maximum number of pending requests at one process.
const MAX_PENDING_REQUESTS: usize = 1_024;

/// Requests that are forwarded and wait for a response.
#[derive(Default)]
pub(super) struct PendingRequests {
    pending: BTreeMap<RequestId, PendingRequest>,
    leader_hint: Option<NodeId>,
    next_deadline: Option<Instant>,
}

impl PendingRequests {
    /// Adds a request. If too many are pending, responds with an error and returns false.
    pub(super) fn add(
        &mut self,
        cx: &mut Context<'_>,
        request: RequestId,
        replica_request: ReplicaRequest,
    ) -> bool {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            let message = format!(
                "this process already has {MAX_PENDING_REQUESTS} pending requests; nothing was done"
            );
            respond(cx, request, Err(ApiError::new(ErrorCode::Unavailable, message)));
            return false;
        }
        let pending = PendingRequest {
            arrived_at: cx.now,
            deadline: cx.now.plus_ms(replica_request.timeout_ms()),
            attempt_at: cx.now,
            attempts: 0,
            awaited_replica: None,
            unresolved_attempts: Vec::new(),
            last_error: None,
            replica_request,
        };
        self.pending.insert(request, pending);
        true
    }

    /// Removes a request whose client disconnected.
    pub(super) fn remove(&mut self, cx: &mut Context<'_>, request: RequestId) {
        if let Some(pending) = self.pending.remove(&request) {
            pending.log_end(cx, "abandoned by its client");
        }
        self.update_next_deadline();
    }

    /// Removes a request and responds to its client.
    fn finish(
        &mut self,
        cx: &mut Context<'_>,
        request: RequestId,
        result: Result<ApiResponse, ApiError>,
    ) {
        if let Some(pending) = self.pending.remove(&request) {
            pending.log_end(cx, &describe_result(&result));
        }
        self.update_next_deadline();
        respond(cx, request, result);
    }

    /// Time at which [`PendingRequests::due`] must be called.
    pub(super) fn next_deadline(&self) -> Instant {
        self.next_deadline.unwrap_or(Instant::NEVER)
    }

    /// Responds with an error to the requests that timed out, and returns those to
    /// attempt now.
    pub(super) fn due(&mut self, cx: &mut Context<'_>) -> Vec<RequestId> {
        if cx.now < self.next_deadline() {
            return Vec::new();
        }
        let expired = |(request, pending): (&RequestId, &PendingRequest)| {
            (pending.deadline <= cx.now).then_some(*request)
        };
        let expired: Vec<RequestId> = self.pending.iter().filter_map(expired).collect();
        for request in expired {
            let error = self.pending.get(&request).map(PendingRequest::timeout_error);
            if let Some(error) = error {
                self.finish(cx, request, Err(error));
            }
        }
        self.update_next_deadline();
        let due = self.pending.iter().filter(|(_, pending)| pending.attempt_at <= cx.now);
        due.map(|(request, _)| *request).collect()
    }

    /// Sends a request to a replica. If that is the replica of this process,
    /// returns the request with its attempt key instead, for the caller to carry out.
    ///
    /// `local` is how the control replica of this process takes part in the log, if it runs one.
    pub(super) fn attempt(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        local: Option<Participation>,
        request: RequestId,
    ) -> Option<(RequestId, ReplicaRequest)> {
        let leader_hint = self.leader_hint;
        let pending = self.pending.get_mut(&request)?;
        let to = match (local, pending.attempts) {
            // A replica that receives the log can confirm a linearizable read: only the read
            // index crosses the network, not the resources.
            (Some(Participation::Member { .. }), _) if pending.replica_request.is_read() => {
                Some(cx.me.id)
            }
            (Some(Participation::Member { leader }), _) => leader,
            // The reported leader may be gone, so only the first attempt goes there.
            (Some(Participation::Standby { leader: Some(leader) }), 0) => Some(leader),
            (Some(Participation::Standby { .. }) | None, attempts) => {
                leader_hint.or_else(|| nearest_replica(cx, membership, attempts))
            }
        };
        pending.attempts += 1;
        pending.awaited_replica = to;
        let delay_ms = if to.is_some() { ATTEMPT_TIMEOUT_MS } else { retry_delay_ms(cx) };
        pending.attempt_at = cx.now.plus_ms(delay_ms);
        let key = attempt_key(cx.rng);
        pending.unresolved_attempts.extend(to.map(|to| (to, key)));
        // The previous attempt may have gone to a replica that is not the leader.
        if pending.attempts > 1 {
            self.leader_hint = None;
        }
        let is_local = to == Some(cx.me.id);
        let replica_request = is_local.then(|| (key, pending.replica_request.clone()));
        if let Some(to) = to.filter(|_| !is_local) {
            cx.send(to, pending.replica_request.message(key, cx.me.incarnation));
        }
        self.update_next_deadline();
        replica_request
    }

    /// The request that awaits the response of `replica` to `attempt`. None where the response
    /// is a duplicate, comes after the end of its request, or is for an earlier run of this
    /// process.
    fn awaiting(
        &mut self,
        cx: &mut Context<'_>,
        replica: NodeId,
        attempt: RequestId,
    ) -> Option<(RequestId, &mut PendingRequest)> {
        let mut pending = self.pending.iter_mut();
        let found = pending.find(|(_, pending)| pending.awaits(replica, attempt));
        if found.is_none() {
            let key = attempt.0;
            let text =
                format!("Ignored a response of {replica} to attempt {key:016x}: not awaited.");
            cx.log(LogLevel::Info, LogPart::Api, text);
        }
        found.map(|(request, pending)| (*request, pending))
    }

    /// Handles the outcome of a change, reported by a replica.
    pub(super) fn outcome(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        attempt: RequestId,
        outcome: ChangeOutcome,
    ) {
        let Some((request, pending)) = self.awaiting(cx, from, attempt) else {
            return;
        };
        let result = match outcome {
            ChangeOutcome::Accepted { version } => Ok(ApiResponse::Accepted { version }),
            // Not proposed: the replica is no longer the leader.
            ChangeOutcome::Refused(error) if error.code == ErrorCode::Unavailable => {
                pending.resolve_attempt(from, attempt);
                return self.schedule_retry(cx, request, Some(error));
            }
            ChangeOutcome::Refused(error) => Err(error),
            ChangeOutcome::Unknown => return self.schedule_retry(cx, request, None),
        };
        self.leader_hint = Some(from);
        self.finish(cx, request, result);
    }

    /// Handles the result of a read, sent by a replica.
    pub(super) fn read_answer(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        attempt: RequestId,
        result: Result<ReadAnswer, ApiError>,
    ) {
        let Some((request, _)) = self.awaiting(cx, from, attempt) else {
            return;
        };
        match result {
            Err(error) if error.code == ErrorCode::Unavailable => {
                self.schedule_retry(cx, request, Some(error));
            }
            result => {
                self.leader_hint = Some(from);
                self.finish(cx, request, result.map(ApiResponse::from));
            }
        }
    }

    /// Handles the rejection of a request by a replica that is not the leader and did
    /// not act on the request.
    pub(super) fn redirected(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        attempt: RequestId,
        leader: Option<(NodeId, SocketAddr)>,
    ) {
        let Some((request, pending)) = self.awaiting(cx, from, attempt) else {
            return;
        };
        pending.resolve_attempt(from, attempt);
        if let Some((peer, address)) = leader.filter(|(peer, _)| *peer != from) {
            cx.emit(Effect::StorePeerAddress { peer, address });
            pending.attempt_at = cx.now;
            self.leader_hint = Some(peer);
            self.update_next_deadline();
        } else {
            self.leader_hint = None;
            self.schedule_retry(cx, request, None);
        }
    }

    /// Handles the loss of the last connection to a process: requests and responses
    /// in transit may be lost, so they are retried.
    pub(super) fn peer_disconnected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        if self.leader_hint == Some(peer) {
            self.leader_hint = None;
        }
        let affected =
            self.pending.iter().filter(|(_, pending)| pending.awaited_replica == Some(peer));
        let affected: Vec<RequestId> = affected.map(|(request, _)| *request).collect();
        for request in affected {
            self.schedule_retry(cx, request, None);
        }
    }

    fn schedule_retry(
        &mut self,
        cx: &mut Context<'_>,
        request: RequestId,
        error: Option<ApiError>,
    ) {
        let delay_ms = retry_delay_ms(cx);
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.awaited_replica = None;
            pending.attempt_at = cx.now.plus_ms(delay_ms);
            pending.last_error = error.or(pending.last_error.take());
        }
        self.update_next_deadline();
    }

    fn update_next_deadline(&mut self) {
        let deadlines =
            self.pending.values().map(|pending| pending.attempt_at.min(pending.deadline));
        self.next_deadline = deadlines.min();
    }
}

fn retry_delay_ms(cx: &mut Context<'_>) -> u64 {
    RETRY_DELAY_MS + cx.rng.random_range(0..=RETRY_DELAY_MS)
}

/// Describes a result for the log.
fn describe_result(result: &Result<ApiResponse, ApiError>) -> String {
    match result {
        Ok(ApiResponse::Accepted { version }) => format!("accepted as version {version}"),
        Ok(ApiResponse::List { version, .. }) => format!("answered from version {version}"),
        Ok(_) => "answered".to_owned(),
        Err(error) => format!("failed ({})", error.code),
    }
}

fn respond(cx: &mut Context<'_>, request: RequestId, result: Result<ApiResponse, ApiError>) {
    let response = result.unwrap_or_else(ApiResponse::Error);
    cx.emit(Effect::Answer { request, response });
}
