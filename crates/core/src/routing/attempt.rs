//! Attempts of a call: the choice of the next one, dispatch or forwarding, and the
//! release of the slot.

use super::answer::FIRST_SERVER_ERROR;
use super::call::{CallClass, ForwardHead};
use super::capacity::CapacityMark;
use super::chain::Chain;
use super::decision::Step;
use super::refusal::{Outcome, Refusal, RefusalCode};
use super::state::{Attempt, Call, Stage};
use super::{CallEffect, Routing, TargetKey};
use crate::context::Context;
use crate::event::Effect;
use crate::ids::CallId;
use crate::time::Instant;

/// Minimum time without a response before an attempt counts as overdue, in microseconds.
const MIN_OVERDUE_AFTER_US: u64 = 50_000;
/// Multiple of the high estimate of the latency after which an attempt counts as overdue.
const OVERDUE_FACTOR: u64 = 3;
/// Time past the deadline for which an ingress waits for the owner to report the outcome of the
/// call, in microseconds.
const OWNER_GRACE_US: u64 = 50_000;
/// Time past the deadline within which a response whose head was in time may end, in
/// microseconds.
const BODY_GRACE_US: u64 = 200_000;

impl Routing {
    /// Starts the next attempt of a call at this ingress, or refuses the call.
    pub(super) fn try_next(&mut self, cx: &mut Context<'_>, id: CallId) {
        if let Err(code) = self.recheck_key(id) {
            let refusal = Refusal { code, outcome: Outcome::NotRun };
            self.record_attempt_failure(cx, id, refusal);
            return self.refuse_after_failure(cx, id);
        }
        loop {
            let Some(target) = self.choose(cx, id) else {
                return self.refuse_without_target(cx, id);
            };
            self.count_attempt(id, target);
            self.log_choice(cx, id, target);
            if self.targets[target].admission.is_none() {
                return self.forward(cx, id, target);
            }
            if self.request_admission(cx, id, target) {
                return;
            }
            let refusal = Refusal { code: RefusalCode::Overloaded, outcome: Outcome::NotRun };
            if !self.record_attempt_failure(cx, id, refusal) {
                return self.refuse_after_failure(cx, id);
            }
        }
    }

    /// Submits a forwarded call to the admission control of the target that its ingress chose.
    pub(super) fn begin_forwarded(&mut self, cx: &mut Context<'_>, id: CallId, target: TargetKey) {
        self.call_mut(id).begin_attempt(target);
        if !self.request_admission(cx, id, target) {
            self.call_mut(id).last_failure =
                Some(Refusal { code: RefusalCode::Overloaded, outcome: Outcome::NotRun });
            self.refuse_after_failure(cx, id);
        }
    }

    fn log_choice(&self, cx: &mut Context<'_>, id: CallId, key: TargetKey) {
        let target = &self.targets[key];
        let step = Step::Chosen {
            attempt: self.calls[&id].attempt,
            target: target.record.target.clone(),
            load: target.expected_load(cx.now),
            load_age_ms: target.load_age_ms(cx.now),
            waits: !target.has_free_slot(cx.now),
            version: self.configuration.version(),
        };
        cx.log_decision(id, step);
    }

    fn count_attempt(&mut self, id: CallId, target: TargetKey) {
        let call = self.call_mut(id);
        call.begin_attempt(target);
        let is_retry = call.attempt > 1;
        let service = call.service;
        let counts = &mut self.services[service].counts;
        counts.attempts += 1;
        counts.retries += u64::from(is_retry);
    }

    pub(super) fn dispatch(&mut self, cx: &mut Context<'_>, id: CallId, key: TargetKey) {
        self.begin_running(cx, id, key, true);
        let call = &self.calls[&id];
        let connections = self.connections_of(key);
        let target = &self.targets[key].record;
        let chain = Chain { parent: Some((cx.me.id, id)), ..outgoing_chain(call, cx.now) };
        let identity = self.identity_headers(call, true);
        cx.emit(Effect::Call(CallEffect::Dispatch {
            call: id,
            attempt: call.attempt,
            target: target.target.clone(),
            address: target.address,
            connections,
            is_repeatable: call.is_repeatable,
            identity,
            chain,
            max_body_bytes: max_body_bytes(call),
        }));
    }

    fn forward(&mut self, cx: &mut Context<'_>, id: CallId, key: TargetKey) {
        let record = &self.targets[key].record;
        let Some(owner) = self.members.get(&record.owner) else {
            return self.refuse_after_failure(cx, id);
        };
        let (owner, address, target) = (owner.id, owner.addresses.forward, record.target.clone());
        self.begin_running(cx, id, key, false);
        let round_trip_us = self.round_trip_us(cx, key);
        let call = &self.calls[&id];
        let useful_us = call.useful_until.since_us(cx.now).saturating_sub(round_trip_us);
        let chain = outgoing_chain(call, cx.now);
        let rate_limit = self.reported_limits.get(&target, cx.now);
        let head = ForwardHead {
            target,
            remaining_ms: remaining_ms(call, cx.now),
            max_queued: call.max_queued,
            is_repeatable: call.is_repeatable,
            priority: call.priority,
            useful_ms: u32::try_from(useful_us / 1_000).unwrap_or(u32::MAX),
            class: call.class,
            is_bulk: call.is_bulk,
            rate_limit,
            organisation: call.organisation.clone(),
            key: call.key,
        };
        let identity = self.identity_headers(call, false);
        cx.emit(Effect::Call(CallEffect::Forward {
            call: id,
            attempt: call.attempt,
            owner,
            address,
            head,
            identity,
            chain,
            max_body_bytes: max_body_bytes(call),
        }));
    }

    fn begin_running(&mut self, cx: &Context<'_>, id: CallId, target: TargetKey, holds_slot: bool) {
        let overdue_after_us = self.overdue_after_us(id, target);
        let admission = self.targets[target].admission.as_ref();
        let mark = admission.map_or_else(CapacityMark::default, |a| a.capacity_mark(cx.now));
        let began_at = cx.now;
        let attempt = Attempt { target, began_at, mark, holds_slot, is_overdue: false };
        let call = self.call_mut(id);
        call.stage = Stage::Running(attempt);
        let mut due = attempt_timeout_at(call, holds_slot);
        if let Some(overdue_after_us) = overdue_after_us {
            due = due.min(cx.now.plus_us(overdue_after_us));
        }
        let (is_ingress, is_large) = (call.is_ingress(), call.is_large());
        if is_large && let Some(link) = self.link_to(cx, target) {
            link.begin_bulk(cx.now);
        }
        let target = &mut self.targets[target];
        target.attempts += 1;
        if is_ingress {
            target.begin_call(cx.now);
        }
        self.set_due(id, due);
    }

    /// Time without a response after which an attempt counts as overdue, in microseconds. None
    /// for calls that cannot be retried at another target.
    pub(super) fn overdue_after_us(&self, id: CallId, target: TargetKey) -> Option<u64> {
        let call = &self.calls[&id];
        if !call.is_ingress() || !call.is_repeatable || !call.is_replayable {
            return None;
        }
        let of_service = self.services[call.service].latency.high_us()?;
        let of_target = self.targets[target].latency.high_us().unwrap_or(0);
        Some((of_service.max(of_target) * OVERDUE_FACTOR).max(MIN_OVERDUE_AFTER_US))
    }

    /// Cancels an attempt; [`super::CallEvent::Failed`] follows.
    pub(super) fn cancel_attempt(&mut self, cx: &mut Context<'_>, id: CallId) {
        let call = self.call_mut(id);
        if let Stage::Running(attempt) = call.stage {
            call.stage = Stage::Cancelling(attempt);
            let due = attempt_timeout_at(call, true);
            self.set_due(id, due);
            cx.emit(Effect::Call(CallEffect::Cancel { call: id }));
        }
    }

    /// Releases the slot and the counters of an attempt.
    pub(super) fn release(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        attempt: Attempt,
        completed: bool,
    ) {
        let call = self.calls.get(&id);
        let is_ingress = call.is_some_and(Call::is_ingress);
        let class = call.map_or(CallClass::default(), |call| call.class);
        let is_bulk = call.is_some_and(|call| call.is_bulk);
        let is_error = call.is_some_and(|call| call.status >= FIRST_SERVER_ERROR);
        let priority = call.map_or(0, |call| call.priority);
        let target = &mut self.targets[attempt.target];
        target.health.end_probe();
        target.attempts -= 1;
        target.in_flight -= u32::from(is_ingress);
        if attempt.holds_slot
            && let Some(admission) = &mut target.admission
        {
            if completed && !is_error {
                admission.observe_capacity(class, attempt.mark, cx.now);
            }
            admission.release(cx.now, attempt.mark, completed, class, priority, is_bulk);
            self.admit_queued(cx, attempt.target);
        }
        self.forget_target(attempt.target);
    }

    pub(super) fn call_mut(&mut self, id: CallId) -> &mut Call {
        self.calls.get_mut(&id).expect("the call is in flight")
    }
}

/// When an attempt times out: at the deadline, or [`OWNER_GRACE_US`] later if the owner can
/// still report the outcome of the call.
pub(super) fn attempt_timeout_at(call: &Call, is_local: bool) -> Instant {
    if is_local { call.deadline } else { call.deadline.plus_us(OWNER_GRACE_US) }
}

/// When a response that has begun is cut off: [`BODY_GRACE_US`] after the deadline. The owner
/// waits longer, since the ingress ends the call at both.
pub(super) fn relay_timeout_at(call: &Call) -> Instant {
    let owner_grace_us = if call.is_ingress() { 0 } else { OWNER_GRACE_US };
    call.deadline.plus_us(BODY_GRACE_US + owner_grace_us)
}

fn remaining_ms(call: &Call, now: Instant) -> u32 {
    u32::try_from(call.deadline.since_ms(now)).unwrap_or(u32::MAX - 1)
}

fn outgoing_chain(call: &Call, now: Instant) -> Chain {
    Chain { remaining_ms: Some(remaining_ms(call, now)), parent: None, ..call.chain }
}

fn max_body_bytes(call: &Call) -> u64 {
    call.rule.as_ref().map_or(u64::MAX, |rule| rule.policy.max_body_bytes)
}
