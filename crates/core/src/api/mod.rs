//! The operators' resource API: changes, reads, watches and status.
//!
//! Every process accepts requests. Changes and linearizable reads are forwarded to
//! a control replica (`forward`); stale reads are served from the version that this
//! process holds. Control replicas serve watches from a bounded event history
//! (`watch`), which puts no load on the replicated log.

mod error;
mod forward;
mod message;
mod nearest;
mod pending_request;
mod proposals;
mod replica_request;
mod request;
mod status;
mod watch;

use std::collections::BTreeMap;
use std::sync::Arc;

pub use error::{ApiError, ErrorCode};
pub use message::{ApiMessage, ReadAnswer, ReadQuery};
pub use request::{ApiRequest, ApiResponse, Freshness, WatchEvent};
pub use status::{ReplicaReport, ReplicaStatus, StatusReport, TargetCounts, ZoneMembers};
pub use watch::{MAX_HISTORY_EVENTS, MAX_WATCHES};

use crate::Effect;
use crate::config::Configuration;
use crate::consensus::{ChangeOutcome, ControlReplica, Origin, Participation};
use crate::context::Context;
use crate::distribution::{Distribution, Progress};
use crate::ids::{NodeId, RequestId};
use crate::membership::{Membership, TargetAnnouncement};
use crate::slo::Slo;
use crate::time::Instant;

use forward::PendingRequests;
use proposals::SeenProposals;
use replica_request::ReplicaRequest;
use watch::Watches;

/// The other parts of the process state that the API reads and updates.
pub struct ApiParts<'a> {
    /// The control replica, if this process runs one.
    pub control: Option<&'a mut ControlReplica>,
    /// Configuration versions and their distribution progress.
    pub distribution: &'a Distribution,
    /// Processes and targets of the mesh.
    pub membership: &'a mut Membership,
    /// Service-level counts, for the burn report.
    pub slo: &'a Slo,
}

impl ApiParts<'_> {
    /// How the control replica of this process takes part in the log, if it runs one.
    fn participation(&self, cx: &Context<'_>) -> Option<Participation> {
        self.control.as_ref().map(|control| control.participation(cx.me.id))
    }

    /// Whether this process runs a control replica that receives nothing from the log.
    fn is_standby(&self, cx: &Context<'_>) -> bool {
        self.participation(cx).is_some_and(Participation::is_standby)
    }
}

/// Pending requests and watches of the resource API.
#[derive(Default)]
pub struct Api {
    pending_requests: PendingRequests,
    /// Reads that wait for confirmation by a quorum, requested by this process or others.
    pending_reads: BTreeMap<Origin, ReadQuery>,
    /// Proposals that were received from other processes.
    seen_proposals: SeenProposals,
    watches: Watches,
}

/// Maximum number of reads that wait for confirmation at one replica.
const MAX_PENDING_READS: usize = 1_024;

impl Api {
    /// Creates a state without requests and watches.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a request of a client.
    pub fn request(
        &mut self,
        cx: &mut Context<'_>,
        mut parts: ApiParts<'_>,
        request: RequestId,
        body: ApiRequest,
    ) {
        let local_configuration = parts.distribution.current();
        let response = match body {
            ApiRequest::Change(change) => {
                return self.forward(
                    cx,
                    parts,
                    request,
                    ReplicaRequest::change(cx.me, request, change),
                );
            }
            ApiRequest::Replace(replacement) => {
                let replica_request = ReplicaRequest::Change(replacement.into_change());
                return self.forward(cx, parts, request, replica_request);
            }
            ApiRequest::ListAll(Freshness::Stale) => {
                ReadQuery::All.answer(local_configuration).into()
            }
            ApiRequest::ListAll(Freshness::Linearizable) => {
                return self.forward(cx, parts, request, ReplicaRequest::Read(ReadQuery::All));
            }
            ApiRequest::ReplaceVoter { old, new } => {
                return self.forward(cx, parts, request, ReplicaRequest::replace_voter(&old, &new));
            }
            ApiRequest::Get(key, Freshness::Stale) => {
                ReadQuery::Get(key).answer(local_configuration).into()
            }
            ApiRequest::List(kind, Freshness::Stale) => {
                ReadQuery::List(kind).answer(local_configuration).into()
            }
            ApiRequest::Get(key, Freshness::Linearizable) => {
                return self.forward(cx, parts, request, ReplicaRequest::Read(ReadQuery::Get(key)));
            }
            ApiRequest::List(kind, Freshness::Linearizable) => {
                return self.forward(
                    cx,
                    parts,
                    request,
                    ReplicaRequest::Read(ReadQuery::List(kind)),
                );
            }
            ApiRequest::Watch { from } if cx.me.control && !parts.is_standby(cx) => {
                return self.watches.open(cx, request, from);
            }
            ApiRequest::Watch { .. } => {
                ApiResponse::Error(status::misdirected_error(cx, &parts, "watches"))
            }
            ApiRequest::Status => ApiResponse::Status(Arc::new(status::report(cx, &parts))),
            ApiRequest::Burn if cx.me.control => ApiResponse::Burn(parts.slo.report(cx.now)),
            ApiRequest::Burn => {
                ApiResponse::Error(status::misdirected_error(cx, &parts, "burn reports"))
            }
            ApiRequest::Announce(announcement) => announce_target(cx, &mut parts, announcement),
            ApiRequest::Leave(target) => leave_target(cx, &mut parts, &target),
            ApiRequest::LeaveId(id) => match parts.membership.own_target(&id) {
                Some(target) => leave_target(cx, &mut parts, &target),
                None => {
                    parts.membership.record_unknown_departure(cx, &id);
                    let message = format!("no target {id} is announced at this host");
                    ApiResponse::Error(ApiError::new(ErrorCode::NotFound, message))
                }
            },
        };
        cx.emit(Effect::Answer { request, response });
    }

    /// Handles the disconnect of the client of a request.
    pub fn client_disconnected(&mut self, cx: &mut Context<'_>, request: RequestId) {
        self.pending_requests.remove(cx, request);
        self.watches.close(request);
    }

    /// Handles a message from another process.
    pub fn step(
        &mut self,
        cx: &mut Context<'_>,
        parts: ApiParts<'_>,
        from: NodeId,
        message: ApiMessage,
    ) {
        match message {
            ApiMessage::Propose { request, change, incarnation } => {
                let origin = Origin { node: from, request };
                if !self.seen_proposals.record(cx.now, origin, incarnation) {
                    // A duplicate: the first copy gets the response.
                    return;
                }
                match leading_replica(cx, parts) {
                    Ok(control) => control.propose(cx, origin, change),
                    Err(redirect) => cx.send(from, redirect.into_message(request)),
                }
            }
            ApiMessage::ReplaceVoter { request, old, new } => {
                let origin = Origin { node: from, request };
                match leading_replica(cx, parts) {
                    Ok(control) => control.propose_voter_replacement(cx, origin, old, new),
                    Err(redirect) => cx.send(from, redirect.into_message(request)),
                }
            }
            ApiMessage::Read { request, query } => {
                let origin = Origin { node: from, request };
                match leading_replica(cx, parts) {
                    Ok(control) => self.confirm_read(cx, control, origin, query),
                    Err(redirect) => cx.send(from, redirect.into_message(request)),
                }
            }
            ApiMessage::Outcome { request, outcome } => {
                self.pending_requests.outcome(cx, from, request, outcome);
            }
            ApiMessage::ReadAnswer { request, answer } => {
                self.pending_requests.read_answer(cx, from, request, answer);
            }
            ApiMessage::NotLeader { request, leader } => {
                self.pending_requests.redirected(cx, from, request, leader);
            }
        }
    }

    /// Reports the outcome of a change that was proposed at this replica.
    pub fn outcome(&mut self, cx: &mut Context<'_>, origin: Origin, outcome: ChangeOutcome) {
        if origin.node == cx.me.id {
            self.pending_requests.outcome(cx, origin.node, origin.request, outcome);
        } else {
            cx.send(origin.node, ApiMessage::Outcome { request: origin.request, outcome });
        }
    }

    /// Completes a read at this replica: with the configuration to read from, or with
    /// the reason why the read was not confirmed.
    pub fn read_ready(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        confirmed: Result<Arc<Configuration>, ApiError>,
    ) {
        let Some(query) = self.pending_reads.remove(&origin) else {
            return;
        };
        let answer = confirmed.and_then(|configuration| query.answer(&configuration));
        if origin.node == cx.me.id {
            self.pending_requests.read_answer(cx, origin.node, origin.request, answer);
        } else {
            cx.send(origin.node, ApiMessage::ReadAnswer { request: origin.request, answer });
        }
    }

    /// Handles a version that was committed at this control replica.
    pub fn committed(&mut self, cx: &mut Context<'_>, configuration: &Arc<Configuration>) {
        self.watches.committed(cx, configuration);
    }

    /// Handles new distribution progress of the newest version.
    pub fn progress(&mut self, cx: &mut Context<'_>, progress: Progress) {
        self.watches.progress(cx, progress);
    }

    /// Handles the loss of the last connection to another process.
    pub fn peer_disconnected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        self.pending_requests.peer_disconnected(cx, peer);
        self.pending_reads.retain(|origin, _| origin.node != peer);
    }

    /// Time at which [`Api::tick`] must be called.
    pub fn next_deadline(&self) -> Instant {
        self.pending_requests.next_deadline().min(self.watches.next_deadline())
    }

    /// Sends due watch events, times out requests and starts due attempts.
    pub fn tick(&mut self, cx: &mut Context<'_>, mut parts: ApiParts<'_>) {
        self.watches.tick(cx);
        for request in self.pending_requests.due(cx) {
            self.attempt(cx, &mut parts, request);
        }
    }

    fn forward(
        &mut self,
        cx: &mut Context<'_>,
        mut parts: ApiParts<'_>,
        request: RequestId,
        replica_request: ReplicaRequest,
    ) {
        if self.pending_requests.add(cx, request, replica_request) {
            self.attempt(cx, &mut parts, request);
        }
    }

    /// Forwards a request to the leader, or to a control replica that can redirect to it.
    fn attempt(&mut self, cx: &mut Context<'_>, parts: &mut ApiParts<'_>, request: RequestId) {
        let local = parts.participation(cx);
        let Some(replica_request) =
            self.pending_requests.attempt(cx, parts.membership, local, request)
        else {
            return;
        };
        let Some(control) = parts.control.as_deref_mut() else {
            return;
        };
        let (attempt_key, replica_request) = replica_request;
        let origin = Origin { node: cx.me.id, request: attempt_key };
        match replica_request {
            ReplicaRequest::Change(change) => control.propose(cx, origin, change),
            ReplicaRequest::ReplaceVoter { old, new } => {
                control.propose_voter_replacement(cx, origin, old, new)
            }
            ReplicaRequest::Read(query) => self.confirm_read(cx, control, origin, query),
        }
    }

    fn confirm_read(
        &mut self,
        cx: &mut Context<'_>,
        control: &mut ControlReplica,
        origin: Origin,
        query: ReadQuery,
    ) {
        if self.pending_reads.len() < MAX_PENDING_READS {
            self.pending_reads.insert(origin, query);
            control.read(cx, origin);
        }
    }
}

/// Returns the control replica of this process if it is the leader, and otherwise a
/// redirect.
fn leading_replica<'a>(
    cx: &Context<'_>,
    parts: ApiParts<'a>,
) -> Result<&'a mut ControlReplica, message::Redirect> {
    let membership = parts.membership;
    let Some(control) = parts.control else {
        return Err(message::Redirect::default());
    };
    match control.participation(cx.me.id).leader() {
        Some(leader) if leader == cx.me.id => Ok(control),
        Some(leader) => Err(message::Redirect::to(membership.member(leader))),
        None => Err(message::Redirect::default()),
    }
}

fn announce_target(
    cx: &mut Context<'_>,
    parts: &mut ApiParts<'_>,
    announcement: TargetAnnouncement,
) -> ApiResponse {
    if let Err(error) = announcement.check_order() {
        return ApiResponse::Error(ApiError::new(ErrorCode::Invalid, error.to_string()));
    }
    parts.membership.announce_target(cx, announcement);
    ApiResponse::Done
}

fn leave_target(
    cx: &mut Context<'_>,
    parts: &mut ApiParts<'_>,
    target: &crate::ids::TargetId,
) -> ApiResponse {
    if parts.membership.remove_own_target(cx, target) {
        return ApiResponse::Done;
    }
    ApiResponse::Error(ApiError::new(
        ErrorCode::NotFound,
        format!(
            "target {target} is not announced at this host; send the request to the process on \
             its own host"
        ),
    ))
}

impl From<ReadAnswer> for ApiResponse {
    fn from(answer: ReadAnswer) -> Self {
        match answer {
            ReadAnswer::Resource(stored) => Self::Resource(stored),
            ReadAnswer::List { version, resources } => Self::List { version, resources },
        }
    }
}

impl From<Result<ReadAnswer, ApiError>> for ApiResponse {
    fn from(answer: Result<ReadAnswer, ApiError>) -> Self {
        answer.map_or_else(Self::Error, Self::from)
    }
}
