//! State of one call in flight and of one service.

use std::sync::Arc;

use super::budget::RetryBudget;
use super::call::CallClass;
use super::chain::Chain;
use super::estimate::Estimate;
use super::metrics::ServiceCounts;
use super::refusal::Refusal;
use super::table::RouteRule;
use super::{ServiceKey, TargetKey};
use crate::collections::HashMap;
use crate::ids::{CallId, Name, TargetId};
use crate::time::Instant;

/// Most attempts of one call, those included that reached no target.
pub(super) const MAX_ATTEMPTS: usize = 4;
/// Availability zone, region, elsewhere.
pub(super) const TIERS: usize = 3;

/// How far a call has come at this proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// No attempt is under way.
    Choosing,
    /// Waits at the gate of a target of this host.
    Queued(TargetKey),
    /// An attempt is under way; no answer yet.
    Running(Attempt),
    /// The attempt was given up; its end is awaited.
    Cancelling(Attempt),
    /// The answer is being passed on.
    Relaying(Attempt),
}

/// One attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Attempt {
    pub target: TargetKey,
    pub began_at: Instant,
    /// Whether the attempt holds a slot at this proxy's gate.
    pub holds_slot: bool,
    /// Whether its silence was counted against the target.
    pub is_overdue: bool,
}

/// A server error that a target answered with.
#[derive(Clone, Debug)]
pub(super) struct ServerError {
    pub attempt: u8,
    pub target: TargetId,
    /// HTTP status.
    pub status: u16,
}

/// One call in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub service: ServiceKey,
    /// Present where this proxy is the ingress.
    pub rule: Option<Arc<RouteRule>>,
    pub arrived_at: Instant,
    pub deadline: Instant,
    /// When the call is looked at again. Key of the call's place among the deadlines.
    pub due: Instant,
    pub is_repeatable: bool,
    /// Whether the request's body is still whole at this proxy.
    pub is_replayable: bool,
    pub max_queued: u32,
    /// Rank where calls compete for a target; 0 goes first.
    pub priority: u8,
    /// When an answer is of full use no longer.
    pub useful_until: Instant,
    pub class: CallClass,
    /// Whether the answer is large.
    pub is_bulk: bool,
    /// Whether the request is large. Known to the ingress alone.
    pub is_upload: bool,
    pub chain: Chain,
    /// Number of the present attempt.
    pub attempt: u8,
    /// Attempts that may have reached a target.
    pub reached: u8,
    pub stage: Stage,
    pub tried: [TargetKey; MAX_ATTEMPTS],
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// What the last attempt that failed said.
    pub last_failure: Option<Refusal>,
    /// Calls that the target made for this one through this proxy.
    pub children: Vec<CallId>,
    /// HTTP status of the answer that is being passed on.
    pub status: u16,
    /// When the head of that answer arrived.
    pub answered_at: Instant,
    /// The server error of an earlier attempt, while others are tried: it is
    /// passed on where none of them succeeds.
    pub earlier: Option<ServerError>,
    /// Whether the next attempt is already taken from the retry budget.
    pub is_retry_paid: bool,
}

impl Call {
    pub fn is_ingress(&self) -> bool {
        self.rule.is_some()
    }

    /// Whether the request or the answer takes long on a link that others share.
    pub fn is_large(&self) -> bool {
        self.is_bulk || self.is_upload
    }

    pub fn was_tried(&self, target: TargetKey) -> bool {
        self.tried[..usize::from(self.attempt).min(MAX_ATTEMPTS)].contains(&target)
    }

    /// Counts a new attempt at `target`.
    pub fn begin_attempt(&mut self, target: TargetKey) {
        if let Some(slot) = self.tried.get_mut(usize::from(self.attempt)) {
            *slot = target;
        }
        self.attempt += 1;
    }

    pub fn may_try_again(&self) -> bool {
        self.may_try_again_after(self.reached)
    }

    /// Whether another attempt may be made once `reached` have reached a target.
    pub fn may_try_again_after(&self, reached: u8) -> bool {
        let allowed = self.rule.as_ref().map_or(1, |rule| rule.policy.max_attempts);
        reached < allowed && usize::from(self.attempt) < MAX_ATTEMPTS
    }
}

/// One service: its targets by nearness, its retry budget and its counters.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub name: Name,
    /// Every known target, by id.
    pub targets: Vec<TargetKey>,
    /// Targets that may take new work, by nearness.
    pub tiers: [Vec<TargetKey>; TIERS],
    /// Whether `tiers` must be made again.
    pub is_stale: bool,
    /// Targets that are ejected, oldest first.
    pub ejected: Vec<TargetKey>,
    pub budget: RetryBudget,
    pub retry_budget_percent: u8,
    pub max_ejected_percent: u8,
    pub slow_start_ms: u32,
    /// Connections that each target takes, where the service says it.
    pub max_connections: Option<u32>,
    /// Time to an answer, over all targets.
    pub latency: Estimate,
    /// The same by class.
    pub latency_by_class: HashMap<CallClass, Estimate>,
    /// The last answer of any target, and the one before it of another target.
    pub last_answers: [(TargetKey, Instant); 2],
    pub counts: ServiceCounts,
}

impl ServiceState {
    pub fn new(name: Name) -> Self {
        let defaults = crate::resource::Service::new(name.clone());
        Self {
            name,
            targets: Vec::new(),
            tiers: Default::default(),
            is_stale: true,
            ejected: Vec::new(),
            budget: RetryBudget::new(),
            retry_budget_percent: defaults.retry_budget_percent,
            max_ejected_percent: defaults.max_ejected_percent,
            slow_start_ms: defaults.slow_start_ms,
            max_connections: defaults.max_connections,
            latency: Estimate::default(),
            latency_by_class: HashMap::default(),
            last_answers: Default::default(),
            counts: ServiceCounts::default(),
        }
    }

    /// Usual time to an answer for calls of a class, once one was answered.
    pub fn typical_us(&self, class: CallClass) -> Option<u64> {
        self.latency_by_class.get(&class).map(Estimate::mean_us)
    }

    /// Remembers the last answers of two different targets.
    pub fn note_answer(&mut self, target: TargetKey, now: Instant) {
        if self.last_answers[0].0 != target {
            self.last_answers[1] = self.last_answers[0];
        }
        self.last_answers[0] = (target, now);
    }

    /// Whether another target than `target` answered after `since`.
    pub fn others_answered(&self, target: TargetKey, since: Instant) -> bool {
        self.last_answers.iter().any(|(other, at)| *other != target && *at > since)
    }
}
