//! Ends of calls: timeouts, disconnected callers, complete and cut-off responses, and
//! what each end counts for the health of the target.

use std::sync::Arc;

use super::answer::FIRST_SERVER_ERROR;
use super::attempt::attempt_timeout_at;
use super::decision::Step;
use super::fair_queue::OrganisationKey;
use super::health::SERVICE_SUCCESS_SMOOTHING;
use super::refusal::{Outcome, RefusalCode};
use super::state::{Attempt, Call, Stage};
use super::table::RouteRule;
use super::unserved_calls::RepeatedContent;
use super::{CallEffect, Routing, TargetKey};
use crate::context::Context;
use crate::event::Effect;
use crate::ids::{CallId, Name};
use crate::quota::Quotas;
use crate::slo::{CallResult, Slo};
use crate::time::Instant;

/// A call of this ingress that ended, for the burn report.
pub(super) struct Finished {
    pub service: Name,
    pub rule: Arc<RouteRule>,
    pub result: CallResult,
    /// Organisation to which the credit for the call is returned, because it did not run.
    pub refunded: Option<Name>,
}

impl Routing {
    /// Handles the end of a response: relayed completely, or cut off.
    pub(super) fn ended(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        attempt: u8,
        is_complete: bool,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let relaying = match call.stage {
            Stage::Relaying(relaying) if call.attempt == attempt => relaying,
            Stage::RelayingEarlier => return self.remove_answered(cx, id, false),
            _ => return,
        };
        let is_success = is_complete && call.status < FIRST_SERVER_ERROR;
        let is_ingress = call.is_ingress();
        if is_complete && cx.now > call.useful_until {
            let since_arrival_ms = |at: Instant| at.since_ms(call.arrived_at);
            let step = Step::Late {
                attempt,
                began_ms: since_arrival_ms(relaying.began_at),
                head_ms: since_arrival_ms(call.answered_at),
                after_ms: since_arrival_ms(cx.now),
            };
            cx.log_decision(id, step);
        }
        // A target that fails may not have run the call, so that proves nothing.
        if is_success {
            self.record_answered_content(cx, id);
        }
        if is_complete {
            self.record_request_end(cx, id, relaying.target, !is_success);
        }
        self.release(cx, id, relaying, is_complete);
        if is_ingress && !is_complete && self.targets.contains_key(relaying.target) {
            self.note_failure(cx, relaying.target);
        }
        self.remove_answered(cx, id, is_success);
    }

    fn remove_answered(&mut self, cx: &Context<'_>, id: CallId, is_success: bool) {
        let call = &self.calls[&id];
        let took_us = cx.now.since_us(call.arrived_at);
        if call.is_ingress() {
            let service = &mut self.services[call.service];
            if is_success {
                service.return_times.record_answer(cx.now);
            }
            if call.organisation.is_some() {
                let organisation = OrganisationKey::new(call.organisation.as_ref());
                service.shares.record_answer(call.priority, organisation, cx.now);
            }
        }
        self.remove(cx.now, id, Some(Outcome::Ran), CallResult::Answered { is_success, took_us });
    }

    /// Cuts off a response whose end is overdue. Whether bytes still arrive makes no difference:
    /// a body may have no end.
    fn cut_off(&mut self, cx: &mut Context<'_>, id: CallId) {
        let call = &self.calls[&id];
        let (attempt, after_ms) = (call.attempt, cx.now.since_ms(call.arrived_at));
        let step = Step::CutOff { attempt, after_ms };
        cx.log_decision(id, step);
        cx.emit(Effect::Call(CallEffect::Abort { call: id }));
        self.ended(cx, id, attempt, false);
    }

    /// The caller closed its connection; the process has already dropped the attempt.
    pub(super) fn caller_gone(&mut self, cx: &mut Context<'_>, id: CallId) {
        if let Some(call) = self.calls.get(&id) {
            let after_ms = cx.now.since_ms(call.arrived_at);
            let step = Step::CallerGone { attempts: call.attempt, after_ms };
            cx.log_decision(id, step);
            // A caller that waited this long has timed out.
            if let Stage::Running(attempt) = self.calls[&id].stage
                && attempt.holds_slot
                && cx.now >= self.calls[&id].useful_until
            {
                self.record_request_end(cx, id, attempt.target, true);
            }
            self.drop_attempt(cx, id);
            self.remove(cx.now, id, None, CallResult::Cancelled);
        }
    }

    /// The caller violated a limit.
    pub(super) fn caller_failed(&mut self, cx: &mut Context<'_>, id: CallId, code: RefusalCode) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let is_relaying = call.stage.is_relaying();
        call.may_have_run |= matches!(call.stage, Stage::Running(_) | Stage::Cancelling(_));
        self.drop_attempt(cx, id);
        if is_relaying {
            cx.emit(Effect::Call(CallEffect::Abort { call: id }));
            self.remove(cx.now, id, None, CallResult::Cancelled);
        } else {
            self.refuse(cx, id, code);
        }
    }

    fn drop_attempt(&mut self, cx: &mut Context<'_>, id: CallId) {
        match self.calls[&id].stage {
            Stage::Choosing | Stage::RelayingEarlier => {}
            Stage::Queued(target) => self.leave_queue(id, target),
            Stage::Running(attempt) | Stage::Cancelling(attempt) | Stage::Relaying(attempt) => {
                self.release(cx, id, attempt, false);
            }
        }
    }

    fn leave_queue(&mut self, id: CallId, target: TargetKey) {
        if let Some(admission) = self.targets.get_mut(target).and_then(|t| t.admission.as_mut()) {
            admission.remove(id);
        }
    }

    /// Handles a timer of a call: its deadline, or the time at which its attempt is overdue.
    pub(super) fn check_due(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        match call.stage {
            Stage::Choosing => {}
            Stage::Relaying(_) | Stage::RelayingEarlier => self.cut_off(cx, id),
            Stage::Queued(target) => {
                self.leave_queue(id, target);
                self.refuse(cx, id, RefusalCode::DeadlineExceeded);
            }
            Stage::Cancelling(attempt) => self.expire(cx, id, attempt),
            Stage::Running(attempt) => {
                if cx.now >= attempt_timeout_at(call, attempt.holds_slot) {
                    self.note_overdue(cx, id, attempt);
                    self.expire(cx, id, attempt);
                } else {
                    self.check_overdue(cx, id, attempt);
                }
            }
        }
    }

    fn expire(&mut self, cx: &mut Context<'_>, id: CallId, attempt: Attempt) {
        self.call_mut(id).may_have_run = true;
        if attempt.holds_slot {
            self.record_request_end(cx, id, attempt.target, true);
        }
        self.release(cx, id, attempt, false);
        self.refuse(cx, id, RefusalCode::DeadlineExceeded);
    }

    /// Handles an overdue attempt. If other targets respond, the call is retried at one of
    /// them. If none responds, a retry would only add load. A stopping process retries none: its
    /// target may be at work, and the retry may be refused.
    fn check_overdue(&mut self, cx: &mut Context<'_>, id: CallId, attempt: Attempt) {
        let overdue_after_us = self.overdue_after_us(id, attempt.target).unwrap_or(u64::MAX);
        let is_outlier = self.note_overdue(cx, id, attempt);
        let call = &self.calls[&id];
        let may_retry = is_outlier
            && !self.is_stopping()
            && call.may_try_again()
            && self.has_free_slot_elsewhere(cx, id);
        if may_retry && self.take_retry_token(id) {
            self.call_mut(id).has_retry_token = true;
            return self.cancel_attempt(cx, id);
        }
        let attempt_timeout_at = attempt_timeout_at(&self.calls[&id], attempt.holds_slot);
        self.set_due(id, attempt_timeout_at.min(cx.now.plus_us(overdue_after_us)));
    }

    /// Counts an overdue attempt as a failure of its target, once per attempt, if other targets
    /// responded meanwhile. Returns whether they did.
    fn note_overdue(&mut self, cx: &mut Context<'_>, id: CallId, attempt: Attempt) -> bool {
        let call = &self.calls[&id];
        if !call.is_ingress() {
            return false;
        }
        let service = &self.services[call.service];
        let is_outlier = service.others_answered(attempt.target, attempt.began_at)
            && self.targets[attempt.target].last_answer_at() <= attempt.began_at;
        if is_outlier && !attempt.is_overdue {
            self.call_mut(id).stage = Stage::Running(Attempt { is_overdue: true, ..attempt });
            self.note_failure(cx, attempt.target);
        }
        is_outlier
    }

    /// Sets the time at which a call is checked next.
    pub(super) fn set_due(&mut self, id: CallId, due: Instant) {
        let call = self.calls.get_mut(&id).expect("the call is in flight");
        let before = std::mem::replace(&mut call.due, due);
        self.deadlines.remove(&(before, id));
        if due != Instant::NEVER {
            self.deadlines.insert((due, id));
        }
    }

    /// Removes a call. `outcome` is absent if the caller cancelled it.
    pub(super) fn remove(
        &mut self,
        now: Instant,
        id: CallId,
        outcome: Option<Outcome>,
        result: CallResult,
    ) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.deadlines.remove(&(call.due, id));
        let service = &mut self.services[call.service];
        service.counts.in_flight -= 1;
        self.busy_services -= u32::from(service.counts.in_flight == 0);
        if !matches!(result, CallResult::Answered { .. }) {
            self.orphans.extend(call.children);
        }
        let Some(rule) = call.rule else { return };
        // A caller that cancelled its call does not repeat it.
        let is_served = matches!(result, CallResult::Answered { is_success: true, .. });
        if outcome.is_some() && !is_served {
            let key = call.key.map(|key| key.digest);
            let content = RepeatedContent { content: call.fingerprint, key };
            self.unserved_calls.record(content, call.first_arrived_at, now);
        }
        match outcome {
            Some(outcome) => service.counts.count_ended(outcome),
            None => service.counts.cancelled += 1,
        }
        let service = service.name.clone();
        let refunded = call.charged.filter(|_| outcome == Some(Outcome::NotRun));
        self.finished.push(Finished { service, rule, result, refunded });
    }

    /// Cancels the calls made on behalf of a call that ended without a response, passes ended
    /// calls to the burn report and returns the credit of those that did not run.
    pub(super) fn process_ended(
        &mut self,
        cx: &mut Context<'_>,
        slo: &mut Slo,
        quotas: &mut Quotas,
    ) {
        while let Some(orphan) = self.orphans.pop() {
            if self.calls.contains_key(&orphan) {
                self.cancel_orphan(cx, orphan);
            }
        }
        for finished in self.finished.drain(..) {
            slo.count(&finished.service, &finished.rule.policy, finished.result);
            if let Some(organisation) = finished.refunded {
                quotas.give_back(cx.now, &organisation);
            }
        }
    }

    /// Refuses a call whose parent call ended. A response that has begun is relayed to its end:
    /// its target has done its work, and a cut would reset the connection of the caller.
    fn cancel_orphan(&mut self, cx: &mut Context<'_>, id: CallId) {
        if !self.calls[&id].stage.is_relaying() {
            self.caller_failed(cx, id, RefusalCode::ChainCancelled);
        }
    }

    /// A call at a target succeeded.
    pub(super) fn note_success(&mut self, cx: &Context<'_>, key: TargetKey) {
        let target = &mut self.targets[key];
        if target.health.is_ejected() {
            target.restart_slow_start(cx.now);
            self.services[target.service].ejected.retain(|other| *other != key);
        }
        let target = &mut self.targets[key];
        target.health.record_success(cx.now);
        let service = &mut self.services[target.service];
        service.success.observe(1_000, SERVICE_SUCCESS_SMOOTHING, cx.now);
    }

    /// A call at a target failed. Ejects the target if needed and if not too many are ejected.
    pub(super) fn note_failure(&mut self, cx: &Context<'_>, key: TargetKey) {
        self.note_common_refusal(cx, key);
        let target = &mut self.targets[key];
        if !target.health.count_failure() {
            return;
        }
        if target.health.is_ejected() {
            return target.health.eject(cx.now);
        }
        let service = &mut self.services[target.service];
        let usable: usize = service.tiers.iter().map(Vec::len).sum();
        let ejected = service.ejected.len() + 1;
        let max_percent = usize::from(service.max_ejected_percent);
        if ejected >= usable || ejected * 100 > max_percent * usable {
            return;
        }
        service.ejected.push(key);
        target.health.eject(cx.now);
    }

    /// Records a failure that does not lead to an ejection.
    pub(super) fn note_common_refusal(&mut self, cx: &Context<'_>, key: TargetKey) {
        let target = &mut self.targets[key];
        target.health.note_failure(cx.now);
        let service = &mut self.services[target.service];
        service.success.observe(0, SERVICE_SUCCESS_SMOOTHING, cx.now);
    }

    /// Whether a target that the call has not tried probably has a free slot, and the network
    /// path to it has capacity.
    pub(super) fn has_free_slot_elsewhere(&self, cx: &Context<'_>, id: CallId) -> bool {
        let call: &Call = &self.calls[&id];
        let tiers = &self.services[call.service].tiers;
        tiers.iter().flatten().any(|key| {
            let target = &self.targets[*key];
            let is_busy = target.is_full_for(call.class, cx.now)
                || (call.is_bulk && target.is_link_busy(cx.now));
            let has_capacity =
                !target.health.is_ejected() && target.has_free_slot(cx.now) && !is_busy;
            has_capacity && !call.was_tried(*key) && self.has_path_capacity(cx, call, *key)
        })
    }
}
