//! Operators' requests: changes, reads, watches and status.
//!
//! A request may arrive at any process. Changes and current reads are passed
//! on to the leader (`forward`); watches are served by control replicas from
//! a bounded history (`watch`), without load on the log.

mod error;
mod forward;
mod message;
mod proposals;
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
use crate::consensus::{ChangeOutcome, ControlReplica, Origin};
use crate::context::Context;
use crate::distribution::{Distribution, Progress};
use crate::ids::{NodeId, RequestId};
use crate::membership::Membership;
use crate::slo::Slo;
use crate::time::Instant;

use forward::{Forwarded, Work};
use proposals::TakenProposals;
use watch::Watches;

/// The other parts of the state, as the API needs them.
pub struct ApiParts<'a> {
    /// The control replica, where this process is one.
    pub control: Option<&'a mut ControlReplica>,
    /// Versions and their progress.
    pub distribution: &'a Distribution,
    /// Hosts and targets.
    pub membership: &'a mut Membership,
    /// Burn.
    pub slo: &'a Slo,
}

/// Requests that wait for an answer, and watches.
#[derive(Default)]
pub struct Api {
    forwarded: Forwarded,
    /// Reads that this replica confirms, for itself and for other processes.
    reads: BTreeMap<Origin, ReadQuery>,
    /// Proposals of other processes that were taken here.
    taken: TakenProposals,
    watches: Watches,
}

/// Most reads that wait for confirmation at one replica.
const MAX_WAITING_READS: usize = 1_024;

impl Api {
    /// Makes a state with no request.
    pub fn new() -> Self {
        Self::default()
    }

    /// A request arrived.
    pub fn request(
        &mut self,
        cx: &mut Context<'_>,
        mut parts: ApiParts<'_>,
        request: RequestId,
        body: ApiRequest,
    ) {
        let held = parts.distribution.current();
        let response = match body {
            ApiRequest::Change(change) => {
                return self.forward(cx, parts, request, Work::change(cx.me, request, change));
            }
            ApiRequest::Replace(replacement) => {
                let work = Work::Change(replacement.into_change());
                return self.forward(cx, parts, request, work);
            }
            ApiRequest::Whole(Freshness::Held) => ReadQuery::Whole.answer(held).into(),
            ApiRequest::Whole(Freshness::Current) => {
                return self.forward(cx, parts, request, Work::Read(ReadQuery::Whole));
            }
            ApiRequest::ReplaceVoter { old, new } => {
                return self.forward(cx, parts, request, Work::replace_voter(&old, &new));
            }
            ApiRequest::Get(key, Freshness::Held) => ReadQuery::Get(key).answer(held).into(),
            ApiRequest::List(kind, Freshness::Held) => ReadQuery::List(kind).answer(held).into(),
            ApiRequest::Get(key, Freshness::Current) => {
                return self.forward(cx, parts, request, Work::Read(ReadQuery::Get(key)));
            }
            ApiRequest::List(kind, Freshness::Current) => {
                return self.forward(cx, parts, request, Work::Read(ReadQuery::List(kind)));
            }
            ApiRequest::Watch { from } if cx.me.control => {
                return self.watches.open(cx, request, from);
            }
            ApiRequest::Watch { .. } => ApiResponse::Error(status::misdirected(&parts, "watches")),
            ApiRequest::Status => ApiResponse::Status(Arc::new(status::report(cx, &parts))),
            ApiRequest::Burn if cx.me.control => ApiResponse::Burn(parts.slo.report(cx.now)),
            ApiRequest::Burn => ApiResponse::Error(status::misdirected(&parts, "burn reports")),
            ApiRequest::Announce(announcement) => {
                parts.membership.announce(cx, announcement);
                ApiResponse::Done
            }
            ApiRequest::Leave(target) => leave(cx, &mut parts, &target),
            ApiRequest::LeaveId(id) => match parts.membership.own_target(&id) {
                Some(target) => leave(cx, &mut parts, &target),
                None => ApiResponse::Error(ApiError::new(
                    ErrorCode::NotFound,
                    format!("no target {id} is announced at this host"),
                )),
            },
        };
        cx.emit(Effect::Answer { request, response });
    }

    /// The client of a request hung up.
    pub fn closed(&mut self, _cx: &mut Context<'_>, request: RequestId) {
        self.forwarded.remove(request);
        self.watches.close(request);
    }

    /// A message from another process.
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
                if !self.taken.take(cx.now, origin, incarnation) {
                    // A copy: the first one is answered, or has been.
                    return;
                }
                match leading(cx, parts) {
                    Ok(control) => control.propose(cx, origin, change),
                    Err(redirect) => cx.send(from, redirect.answering(request)),
                }
            }
            ApiMessage::ReplaceVoter { request, old, new } => {
                let origin = Origin { node: from, request };
                match leading(cx, parts) {
                    Ok(control) => control.propose_voters(cx, origin, old, new),
                    Err(redirect) => cx.send(from, redirect.answering(request)),
                }
            }
            ApiMessage::Read { request, query } => {
                let origin = Origin { node: from, request };
                match leading(cx, parts) {
                    Ok(control) => self.confirm_read(cx, control, origin, query),
                    Err(redirect) => cx.send(from, redirect.answering(request)),
                }
            }
            ApiMessage::Outcome { request, outcome } => {
                self.forwarded.outcome(cx, from, request, outcome);
            }
            ApiMessage::ReadAnswer { request, answer } => {
                self.forwarded.read_answer(cx, from, request, answer);
            }
            ApiMessage::NotLeader { request, leader } => {
                self.forwarded.redirected(cx, from, request, leader);
            }
        }
    }

    /// A change proposed at this replica has its outcome.
    pub fn outcome(&mut self, cx: &mut Context<'_>, origin: Origin, outcome: ChangeOutcome) {
        if origin.node == cx.me.id {
            self.forwarded.outcome(cx, origin.node, origin.request, outcome);
        } else {
            cx.send(origin.node, ApiMessage::Outcome { request: origin.request, outcome });
        }
    }

    /// A read asked for at this replica may be answered, or not.
    pub fn read_ready(
        &mut self,
        cx: &mut Context<'_>,
        origin: Origin,
        read: Result<Arc<Configuration>, ApiError>,
    ) {
        let Some(query) = self.reads.remove(&origin) else {
            return;
        };
        let answer = read.and_then(|configuration| query.answer(&configuration));
        if origin.node == cx.me.id {
            self.forwarded.read_answer(cx, origin.node, origin.request, answer);
        } else {
            cx.send(origin.node, ApiMessage::ReadAnswer { request: origin.request, answer });
        }
    }

    /// A version is committed at this control replica.
    pub fn committed(&mut self, cx: &mut Context<'_>, configuration: &Arc<Configuration>) {
        self.watches.committed(cx, configuration);
    }

    /// The newest version came further.
    pub fn progress(&mut self, cx: &mut Context<'_>, progress: Progress) {
        self.watches.progress(cx, progress);
    }

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        self.forwarded.peer_disconnected(cx, peer);
        self.reads.retain(|origin, _| origin.node != peer);
    }

    /// When [`Api::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        self.forwarded.next_deadline().min(self.watches.next_deadline())
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: &mut Context<'_>, mut parts: ApiParts<'_>) {
        self.watches.tick(cx);
        for request in self.forwarded.due(cx) {
            self.attempt(cx, &mut parts, request);
        }
    }

    fn forward(
        &mut self,
        cx: &mut Context<'_>,
        mut parts: ApiParts<'_>,
        request: RequestId,
        work: Work,
    ) {
        if self.forwarded.add(cx, request, work) {
            self.attempt(cx, &mut parts, request);
        }
    }

    /// Passes a request to the leader, or to a control replica that may know it.
    fn attempt(&mut self, cx: &mut Context<'_>, parts: &mut ApiParts<'_>, request: RequestId) {
        // A replica that takes no part any more will hear of no leader: another one may.
        let control = parts.control.as_ref().filter(|control| !control.has_failed());
        let leader = control.map(|control| control.leader());
        let Some(work) = self.forwarded.attempt(cx, parts.membership, leader, request) else {
            return;
        };
        let Some(control) = parts.control.as_deref_mut() else {
            return;
        };
        let (key, work) = work;
        let origin = Origin { node: cx.me.id, request: key };
        match work {
            Work::Change(change) => control.propose(cx, origin, change),
            Work::ReplaceVoter { old, new } => control.propose_voters(cx, origin, old, new),
            Work::Read(query) => self.confirm_read(cx, control, origin, query),
        }
    }

    fn confirm_read(
        &mut self,
        cx: &mut Context<'_>,
        control: &mut ControlReplica,
        origin: Origin,
        query: ReadQuery,
    ) {
        if self.reads.len() < MAX_WAITING_READS {
            self.reads.insert(origin, query);
            control.read(cx, origin);
        }
    }
}

/// The control replica of this process where it leads, or whom to ask instead.
fn leading<'a>(
    cx: &Context<'_>,
    parts: ApiParts<'a>,
) -> Result<&'a mut ControlReplica, message::Redirect> {
    let membership = parts.membership;
    let Some(control) = parts.control else {
        return Err(message::Redirect::default());
    };
    match control.leader() {
        Some(leader) if leader == cx.me.id => Ok(control),
        Some(leader) => Err(message::Redirect::to(membership.member(leader))),
        None => Err(message::Redirect::default()),
    }
}

fn leave(
    cx: &mut Context<'_>,
    parts: &mut ApiParts<'_>,
    target: &crate::ids::TargetId,
) -> ApiResponse {
    if parts.membership.leave(cx, target) {
        return ApiResponse::Done;
    }
    ApiResponse::Error(ApiError::new(
        ErrorCode::NotFound,
        format!("target {target} is not announced at this host; ask the process of its own host"),
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
