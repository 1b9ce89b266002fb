//! State of each call in flight and of each service.

use std::sync::Arc;

use super::budget::RetryBudget;
use super::call::CallClass;
use super::capacity::CapacityMark;
use super::chain::Chain;
use super::estimate::Estimate;
use super::health::SuccessRate;
use super::ingress_shares::IngressShares;
use super::message::Fingerprint;
use super::metrics::ServiceCounts;
use super::refusal::Refusal;
use super::reports::TypicalHoldTimes;
use super::return_times::ReturnTimes;
use super::table::RouteRule;
use super::{ServiceKey, TargetKey};
use crate::collections::HashMap;
use crate::ids::{CallId, Name, TargetId};
use crate::organisation::VerifiedKey;
use crate::time::Instant;

/// Maximum number of attempts of one call, including those that reached no target.
pub(super) const MAX_ATTEMPTS: usize = 4;
/// Number of locality tiers: same availability zone, same region, other regions.
pub(super) const TIERS: usize = 3;

/// Progress of a call at this proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// No attempt is in progress.
    Choosing,
    /// Waits in the admission queue of a target of this host.
    Queued(TargetKey),
    /// An attempt is in progress and the head of its response has not arrived.
    Running(Attempt),
    /// The attempt was cancelled, and its end has not been reported yet.
    Cancelling(Attempt),
    /// The response is being relayed.
    Relaying(Attempt),
    /// The server error of an earlier attempt is being relayed. Its slot was released when the
    /// call was retried.
    RelayingEarlier,
}

impl Stage {
    /// Whether a response is being relayed.
    pub fn is_relaying(&self) -> bool {
        matches!(self, Self::Relaying(_) | Self::RelayingEarlier)
    }
}

/// One attempt of a call at one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Attempt {
    pub target: TargetKey,
    pub began_at: Instant,
    /// Sums of the capacity of the target at the start, if the attempt holds a slot.
    pub mark: CapacityMark,
    /// Whether the attempt holds a slot that this proxy admitted it to as the owner.
    pub holds_slot: bool,
    /// Whether the missing response was already counted as a failure of the target.
    pub is_overdue: bool,
}

/// A server error that a target returned.
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
    /// When the first attempt of the caller arrived, if this call repeats one that was not served;
    /// otherwise `arrived_at`.
    pub first_arrived_at: Instant,
    pub deadline: Instant,
    /// When the call is checked next. Part of its key in `Routing::deadlines`.
    pub due: Instant,
    pub is_repeatable: bool,
    /// Whether the complete request body is still buffered at this proxy.
    pub is_replayable: bool,
    pub max_queued: u32,
    /// Priority in the admission queue; 0 is served first.
    pub priority: u8,
    /// End of the policy's target latency, or the deadline if that is earlier. A later response
    /// is of reduced use to the caller.
    pub useful_until: Instant,
    pub class: CallClass,
    /// Organisation of the caller.
    pub organisation: Option<Name>,
    /// Organisation from whose quota this ingress has taken credit for the call.
    pub charged: Option<Name>,
    /// Key by which the organisation was determined.
    pub key: Option<VerifiedKey>,
    /// Whether the response is large.
    pub is_bulk: bool,
    /// Whether the request is large. Set only at the ingress.
    pub is_upload: bool,
    pub fingerprint: Fingerprint,
    pub chain: Chain,
    /// Number of the current attempt.
    pub attempt: u8,
    /// Attempts that may have reached a target.
    pub attempts_reached: u8,
    pub stage: Stage,
    pub tried: [TargetKey; MAX_ATTEMPTS],
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Refusal with which the last failed attempt ended.
    pub last_failure: Option<Refusal>,
    /// Calls that the target made through this proxy while it processed this one.
    pub children: Vec<CallId>,
    /// HTTP status of the response that is being relayed.
    pub status: u16,
    /// When the head of that response arrived.
    pub answered_at: Instant,
    /// Server error of an earlier attempt that is being retried. It is relayed if no retry
    /// succeeds.
    pub earlier_error: Option<ServerError>,
    /// Whether a token of the retry budget was already taken for the next attempt.
    pub has_retry_token: bool,
}

impl Call {
    pub fn is_ingress(&self) -> bool {
        self.rule.is_some()
    }

    /// Whether the request or the response occupies a shared network link for long.
    pub fn is_large(&self) -> bool {
        self.is_bulk || self.is_upload
    }

    pub fn was_tried(&self, target: TargetKey) -> bool {
        self.tried[..usize::from(self.attempt).min(MAX_ATTEMPTS)].contains(&target)
    }

    /// Records a new attempt at `target`.
    pub fn begin_attempt(&mut self, target: TargetKey) {
        if let Some(slot) = self.tried.get_mut(usize::from(self.attempt)) {
            *slot = target;
        }
        self.attempt += 1;
    }

    pub fn may_try_again(&self) -> bool {
        self.may_try_again_after(self.attempts_reached)
    }

    /// Whether another attempt is allowed after `attempts_reached` attempts reached a target.
    pub fn may_try_again_after(&self, attempts_reached: u8) -> bool {
        let allowed = self.rule.as_ref().map_or(1, |rule| rule.policy.max_attempts);
        attempts_reached < allowed && usize::from(self.attempt) < MAX_ATTEMPTS
    }
}

/// One service: its targets by locality tier, its retry budget and its counters.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub name: Name,
    /// Every known target, by id.
    pub targets: Vec<TargetKey>,
    /// Targets that accept new calls, by locality tier.
    pub tiers: [Vec<TargetKey>; TIERS],
    /// Whether `tiers` must be rebuilt.
    pub is_stale: bool,
    /// Ejected targets, oldest ejection first.
    pub ejected: Vec<TargetKey>,
    pub budget: RetryBudget,
    pub retry_budget_percent: u8,
    pub max_ejected_percent: u8,
    pub slow_start_ms: u32,
    /// Maximum connections to each target, if the service limits them.
    pub max_connections: Option<u32>,
    /// Whether the observed capacity of targets is used, if the service states it.
    pub adaptive_limit: Option<bool>,
    /// Whether a target stated its pace, or an owner reported a capacity.
    pub has_reported_capacity: bool,
    /// Hold times of the typical target, as reported by the owners.
    pub typical_hold: TypicalHoldTimes,
    /// Share of calls that any target completed.
    pub success: SuccessRate,
    /// Whether new work at a target is limited while its requests fail for lack of capacity
    /// elsewhere.
    pub limit_failing_work: bool,
    /// Time until the head of a response, over all targets.
    pub latency: Estimate,
    /// The same, by class of calls.
    pub latency_by_class: HashMap<CallClass, Estimate>,
    /// The most recent response of any target, and the most recent one of another target before
    /// it.
    pub last_answers: [(TargetKey, Instant); 2],
    pub counts: ServiceCounts,
    /// Callers that this proxy refused for lack of capacity.
    pub return_times: ReturnTimes,
    /// Shares of organisations in the calls of this ingress.
    pub shares: IngressShares,
    /// Until when the service counts as lacking capacity, after a refusal.
    pub lacks_capacity_until: Instant,
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
            adaptive_limit: defaults.adaptive_limit,
            has_reported_capacity: false,
            typical_hold: TypicalHoldTimes::default(),
            success: SuccessRate::default(),
            limit_failing_work: defaults.limit_failing_work,
            latency: Estimate::default(),
            latency_by_class: HashMap::default(),
            last_answers: Default::default(),
            counts: ServiceCounts::default(),
            return_times: ReturnTimes::default(),
            shares: IngressShares::default(),
            lacks_capacity_until: Instant::ZERO,
        }
    }

    /// Mean time until the head of a response for calls of a class. None before the first
    /// response.
    pub fn typical_us(&self, class: CallClass) -> Option<u64> {
        self.latency_by_class.get(&class).map(Estimate::mean_us)
    }

    /// Records a response. Keeps the most recent responses of two different targets.
    pub fn note_answer(&mut self, target: TargetKey, now: Instant) {
        if self.last_answers[0].0 != target {
            self.last_answers[1] = self.last_answers[0];
        }
        self.last_answers[0] = (target, now);
    }

    /// Whether a target other than `target` responded after `since`.
    pub fn others_answered(&self, target: TargetKey, since: Instant) -> bool {
        self.last_answers.iter().any(|(other, at)| *other != target && *at > since)
    }
}
