//! Requests that are passed on to the leader until they are answered.
//!
//! A change is sent again after a lost answer, because it carries an
//! idempotency key; one without is given a key here. "Refused" is said only
//! where the change cannot be committed any more: the replicated log refused
//! it under its key, or nothing of it was ever proposed. An attempt that was
//! sent and not answered keeps the outcome open.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;

use super::message::{ApiMessage, ReadAnswer, ReadQuery};
use super::request::ApiResponse;
use super::{ApiError, ErrorCode};
use crate::Effect;
use crate::config::ChangeRequest;
use crate::consensus::ChangeOutcome;
use crate::context::{Context, Identity};
use crate::ids::{IdempotencyKey, Name, NodeId, RequestId};
use crate::membership::{Member, Membership};
use crate::time::Instant;

/// Time in which a change is answered, in milliseconds from its arrival.
const CHANGE_LIMIT_MS: u64 = 6_000;
/// Time in which a current read is answered, in milliseconds from its arrival.
const READ_LIMIT_MS: u64 = 3_000;
/// Time after which an unanswered attempt is followed by another, in milliseconds.
const ATTEMPT_LIMIT_MS: u64 = 1_500;
/// Time between attempts where nobody leads, in milliseconds. Doubled at most by jitter.
const RETRY_MS: u64 = 50;
/// Most requests that wait at one process.
const MAX_WAITING: usize = 1_024;

/// Bits of the key of an attempt that number it within its request.
const ATTEMPT_BITS: u32 = 8;

/// Key of one attempt, by which other processes answer it. Every attempt has
/// one of its own: a second copy of an answer must not count for a later attempt.
fn attempt_key(request: RequestId, attempts: usize) -> RequestId {
    let number = attempts as u64 & ((1 << ATTEMPT_BITS) - 1);
    RequestId(request.0 << ATTEMPT_BITS | number)
}

/// The request of an attempt.
fn request_of(attempt: RequestId) -> RequestId {
    RequestId(attempt.0 >> ATTEMPT_BITS)
}

/// What is passed on.
#[derive(Clone)]
pub(super) enum Work {
    /// A change that carries an idempotency key.
    Change(ChangeRequest),
    /// A change of the voters. Proposed twice, it has the effect of once.
    ReplaceVoter {
        /// The process that votes no more.
        old: NodeId,
        /// The process that votes instead.
        new: NodeId,
    },
    /// A read.
    Read(ReadQuery),
}

impl Work {
    /// Makes work of a change, with a key of this process where the client gave none.
    pub(super) fn change(me: &Identity, request: RequestId, mut change: ChangeRequest) -> Self {
        change.key = change.key.or_else(|| {
            let text = format!("auto-{}-{}-{}", me.id, me.incarnation, request.0);
            IdempotencyKey::new(text).ok()
        });
        Self::Change(change)
    }

    /// Makes work of a change of the voters, by the names of the hosts.
    pub(super) fn replace_voter(old: &Name, new: &Name) -> Self {
        Self::ReplaceVoter { old: NodeId::of_host(old), new: NodeId::of_host(new) }
    }

    fn limit_ms(&self) -> u64 {
        match self {
            Self::Change(_) | Self::ReplaceVoter { .. } => CHANGE_LIMIT_MS,
            Self::Read(_) => READ_LIMIT_MS,
        }
    }

    fn message(&self, request: RequestId, incarnation: u64) -> ApiMessage {
        match self.clone() {
            Self::Change(change) => ApiMessage::Propose { request, change, incarnation },
            Self::ReplaceVoter { old, new } => ApiMessage::ReplaceVoter { request, old, new },
            Self::Read(query) => ApiMessage::Read { request, query },
        }
    }
}

struct Waiting {
    work: Work,
    deadline: Instant,
    attempt_at: Instant,
    attempts: usize,
    /// Where the latest attempt went, while it is not answered.
    asked: Option<NodeId>,
    /// Attempts that were sent to a replica which has not said what became of them.
    open: Vec<(NodeId, RequestId)>,
    /// Why the latest attempt failed.
    failure: Option<ApiError>,
}

/// Requests that are passed on until they are answered.
#[derive(Default)]
pub(super) struct Forwarded {
    waiting: BTreeMap<RequestId, Waiting>,
    leader: Option<NodeId>,
    next: Option<Instant>,
}

impl Forwarded {
    /// Adds a request. Answers it at once, and returns false, where too many wait.
    pub(super) fn add(&mut self, cx: &mut Context<'_>, request: RequestId, work: Work) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            let message = format!("{MAX_WAITING} requests wait here already; nothing was done");
            answer(cx, request, Err(ApiError::new(ErrorCode::Unavailable, message)));
            return false;
        }
        let waiting = Waiting {
            deadline: cx.now.plus_ms(work.limit_ms()),
            attempt_at: cx.now,
            attempts: 0,
            asked: None,
            open: Vec::new(),
            failure: None,
            work,
        };
        self.waiting.insert(request, waiting);
        true
    }

    /// Forgets a request whose client hung up.
    pub(super) fn remove(&mut self, request: RequestId) {
        self.waiting.remove(&request);
        self.schedule();
    }

    /// When [`Forwarded::due`] is due.
    pub(super) fn next_deadline(&self) -> Instant {
        self.next.unwrap_or(Instant::NEVER)
    }

    /// Answers the requests whose time is up, and returns those to attempt now.
    pub(super) fn due(&mut self, cx: &mut Context<'_>) -> Vec<RequestId> {
        if cx.now < self.next_deadline() {
            return Vec::new();
        }
        let over = |(request, waiting): (&RequestId, &Waiting)| {
            (waiting.deadline <= cx.now).then_some(*request)
        };
        let over: Vec<RequestId> = self.waiting.iter().filter_map(over).collect();
        for request in over {
            if let Some(waiting) = self.waiting.remove(&request) {
                answer(cx, request, Err(waiting.timeout()));
            }
        }
        self.schedule();
        let due = self.waiting.iter().filter(|(_, waiting)| waiting.attempt_at <= cx.now);
        due.map(|(request, _)| *request).collect()
    }

    /// Sends a request to a replica. Returns the work where this process is
    /// the leader and must do it itself.
    ///
    /// `own` is the leader that the control replica of this process follows,
    /// where there is one.
    pub(super) fn attempt(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        own: Option<Option<NodeId>>,
        request: RequestId,
    ) -> Option<(RequestId, Work)> {
        let hint = self.leader;
        let waiting = self.waiting.get_mut(&request)?;
        let to = match own {
            // Any control replica confirms a read; only a number crosses for it.
            Some(_) if matches!(waiting.work, Work::Read(_)) => Some(cx.me.id),
            Some(leader) => leader,
            None => hint.or_else(|| nearest(cx, membership, waiting.attempts)),
        };
        waiting.attempts += 1;
        waiting.asked = to;
        let wait_ms = if to.is_some() { ATTEMPT_LIMIT_MS } else { retry_ms(cx) };
        waiting.attempt_at = cx.now.plus_ms(wait_ms);
        let key = attempt_key(request, waiting.attempts);
        waiting.open.extend(to.map(|to| (to, key)));
        // An attempt that is not answered in time may have gone to the wrong replica.
        if waiting.attempts > 1 {
            self.leader = None;
        }
        let local = to == Some(cx.me.id);
        let work = local.then(|| (key, waiting.work.clone()));
        if let Some(to) = to.filter(|_| !local) {
            cx.send(to, waiting.work.message(key, cx.me.incarnation));
        }
        self.schedule();
        work
    }

    /// A replica says what became of a change.
    pub(super) fn outcome(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        attempt: RequestId,
        outcome: ChangeOutcome,
    ) {
        let request = request_of(attempt);
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        let answered = match outcome {
            ChangeOutcome::Accepted { version } => Ok(ApiResponse::Accepted { version }),
            // Not proposed at all: the replica does not lead any more.
            ChangeOutcome::Refused(error) if error.code == ErrorCode::Unavailable => {
                if !waiting.answered_by(from, attempt) {
                    return;
                }
                return self.retry(cx, request, Some(error));
            }
            ChangeOutcome::Refused(error) => Err(error),
            ChangeOutcome::Unknown => return self.retry(cx, request, None),
        };
        self.leader = Some(from);
        self.waiting.remove(&request);
        self.schedule();
        answer(cx, request, answered);
    }

    /// A replica answers a read.
    pub(super) fn read_answer(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        attempt: RequestId,
        read: Result<ReadAnswer, ApiError>,
    ) {
        let request = request_of(attempt);
        if !self.waiting.contains_key(&request) {
            return;
        }
        match read {
            Err(error) if error.code == ErrorCode::Unavailable => {
                self.retry(cx, request, Some(error));
            }
            read => {
                self.leader = Some(from);
                self.waiting.remove(&request);
                self.schedule();
                answer(cx, request, read.map(ApiResponse::from));
            }
        }
    }

    /// A replica did nothing, because it does not lead.
    pub(super) fn redirected(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        attempt: RequestId,
        leader: Option<(NodeId, SocketAddr)>,
    ) {
        let request = request_of(attempt);
        let Some(waiting) = self.waiting.get_mut(&request) else {
            return;
        };
        if !waiting.answered_by(from, attempt) {
            return;
        }
        if let Some((peer, address)) = leader.filter(|(peer, _)| *peer != from) {
            cx.emit(Effect::LearnAddress { peer, address });
            self.leader = Some(peer);
            waiting.attempt_at = cx.now;
            self.schedule();
        } else {
            self.leader = None;
            self.retry(cx, request, None);
        }
    }

    /// The last connection to a process closed: what it was asked may be lost.
    pub(super) fn peer_disconnected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        if self.leader == Some(peer) {
            self.leader = None;
        }
        let asked = self.waiting.iter().filter(|(_, waiting)| waiting.asked == Some(peer));
        let asked: Vec<RequestId> = asked.map(|(request, _)| *request).collect();
        for request in asked {
            self.retry(cx, request, None);
        }
    }

    fn retry(&mut self, cx: &mut Context<'_>, request: RequestId, failure: Option<ApiError>) {
        let wait_ms = retry_ms(cx);
        if let Some(waiting) = self.waiting.get_mut(&request) {
            waiting.asked = None;
            waiting.attempt_at = cx.now.plus_ms(wait_ms);
            waiting.failure = failure.or(waiting.failure.take());
        }
        self.schedule();
    }

    fn schedule(&mut self) {
        let due = self.waiting.values().map(|waiting| waiting.attempt_at.min(waiting.deadline));
        self.next = due.min();
    }
}

impl Waiting {
    /// Closes one attempt at `replica`: it can no longer be committed. Returns
    /// false where it was closed before.
    fn answered_by(&mut self, replica: NodeId, attempt: RequestId) -> bool {
        let index = self.open.iter().position(|open| *open == (replica, attempt));
        index.map(|index| self.open.swap_remove(index)).is_some()
    }

    fn timeout(self) -> ApiError {
        match self.work {
            Work::Change(_) | Work::ReplaceVoter { .. } if !self.open.is_empty() => ApiError::new(
                ErrorCode::OutcomeUnknown,
                "no control replica said what became of the change within 6 s; it may have been \
                 accepted; resend with the same Idempotency-Key to learn the outcome",
            ),
            Work::Change(_) | Work::ReplaceVoter { .. } => ApiError::new(
                ErrorCode::Unavailable,
                "refused: no leader of the control replicas could be reached within 6 s, and \
                 nothing was proposed; send it again later",
            ),
            Work::Read(_) => self.failure.unwrap_or_else(|| {
                ApiError::new(
                    ErrorCode::Unavailable,
                    "no control replica confirmed within 3 s that it is current; \
                     add ?stale=true to read what this process holds",
                )
            }),
        }
    }
}

/// A control replica to ask: the same availability zone first, then the region,
/// then elsewhere; the next one with each attempt.
fn nearest(cx: &Context<'_>, membership: &Membership, attempts: usize) -> Option<NodeId> {
    let mut replicas: Vec<&Member> = membership.control_replicas().collect();
    replicas.sort_by_key(|member| (distance(cx, member), member.id));
    let index = attempts.checked_rem(replicas.len())?;
    Some(replicas[index].id)
}

fn distance(cx: &Context<'_>, member: &Member) -> u8 {
    let here = &cx.me.locality;
    if member.locality.availability_zone == here.availability_zone {
        0
    } else if member.locality.region == here.region {
        1
    } else {
        2
    }
}

fn retry_ms(cx: &mut Context<'_>) -> u64 {
    RETRY_MS + cx.rng.random_range(0..=RETRY_MS)
}

fn answer(cx: &mut Context<'_>, request: RequestId, answer: Result<ApiResponse, ApiError>) {
    let response = answer.unwrap_or_else(ApiResponse::Error);
    cx.emit(Effect::Answer { request, response });
}
