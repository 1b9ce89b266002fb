//! Failed attempts: what they imply for the health of the target, and whether the call is
//! retried.

use super::Routing;
use super::call::{CallClass, TargetLoad, TargetNotice};
use super::decision::Step;
use super::refusal::{Outcome, Refusal, RefusalCode};
use super::state::{Attempt, Stage};
use crate::context::Context;
use crate::ids::CallId;

/// Whether the refusal means a lack of capacity rather than a fault. Unless another target is
/// known to have capacity, a retry would only try another full queue.
fn is_capacity_refusal(refusal: Refusal) -> bool {
    refusal.outcome == Outcome::NotRun
        && matches!(refusal.code, RefusalCode::Overloaded | RefusalCode::ProxyBusy)
}

impl Routing {
    /// Handles an attempt that ended without a response from a target.
    pub(super) fn failed(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        attempt: u8,
        refusal: Refusal,
        is_replayable: bool,
        notice: TargetNotice,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let (Stage::Running(running) | Stage::Cancelling(running)) = call.stage else { return };
        if call.attempt != attempt {
            return;
        }
        call.is_replayable &= is_replayable;
        let (is_ingress, class, is_bulk) = (call.is_ingress(), call.class, call.is_bulk);
        if running.holds_slot {
            // Many failures come without a response, so a missing limit says nothing here.
            if notice.rate_limit.is_some() {
                self.apply_rate_limit(cx, running.target, notice.rate_limit);
            }
            self.note_leaving(running.target, notice.is_leaving);
            self.record_pace(cx, running.target, notice.pace_percent);
            if notice.has_ended {
                self.record_target_end(cx, id, running.target);
            }
        }
        if is_ingress {
            if let Some(load) = notice.load {
                self.record_capacity(cx, running.target, class, load);
            }
            self.observe_failure(cx, running, refusal, notice.load, class, is_bulk);
        }
        self.release(cx, id, running, false);
        self.attempt_failed(cx, id, refusal);
    }

    fn observe_failure(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        refusal: Refusal,
        load: Option<TargetLoad>,
        class: CallClass,
        is_bulk: bool,
    ) {
        self.observe_round_trip(cx, attempt, load);
        if let Some(load) = load {
            self.record_owner_load(cx, attempt.target, load);
            let target = &mut self.targets[attempt.target];
            if refusal.code == RefusalCode::Overloaded {
                if is_bulk {
                    target.record_bulk_refusal(load.wait_ms, cx.now);
                } else {
                    target.record_refusal(class, load.wait_ms, cx.now);
                }
            }
        }
        let is_target_fault = match refusal.code {
            RefusalCode::Overloaded | RefusalCode::ProxyBusy | RefusalCode::Stopping => false,
            RefusalCode::DeadlineExceeded | RefusalCode::Quarantined => false,
            // The owner has a newer version, in which the key is gone.
            RefusalCode::Unauthenticated => false,
            _ => !attempt.is_overdue,
        };
        let is_alike = refusal.code == RefusalCode::TargetRefused
            && self.does_service_refuse_alike(cx, attempt.target);
        if is_target_fault && is_alike {
            self.note_common_refusal(cx, attempt.target);
        } else if is_target_fault {
            self.note_failure(cx, attempt.target);
        }
    }

    /// Retries a call at another target after a failed attempt, or refuses it.
    pub(super) fn attempt_failed(&mut self, cx: &mut Context<'_>, id: CallId, refusal: Refusal) {
        if !self.calls.contains_key(&id) {
            return;
        }
        let attempt = self.calls[&id].attempt;
        let is_retried = self.record_attempt_failure(cx, id, refusal);
        let Refusal { code, outcome } = refusal;
        let step = Step::AttemptFailed { attempt, code, outcome, is_retried };
        cx.log_decision(id, step);
        if is_retried {
            self.try_next(cx, id);
        } else {
            self.refuse_after_failure(cx, id);
        }
    }

    /// Records a failed attempt. Returns whether the call is retried.
    pub(super) fn record_attempt_failure(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        refusal: Refusal,
    ) -> bool {
        let is_quarantined =
            refusal.code == RefusalCode::Quarantined || self.is_quarantined(cx, id);
        let call = self.call_mut(id);
        call.stage = Stage::Choosing;
        call.may_have_run |= refusal.outcome != Outcome::NotRun;
        let has_reached =
            refusal.outcome != Outcome::NotRun || refusal.code == RefusalCode::TargetRefused;
        call.attempts_reached += u8::from(has_reached);
        call.last_failure = Some(refusal);
        let had_retry_token = std::mem::take(&mut call.has_retry_token);
        let is_safe = refusal.outcome == Outcome::NotRun || call.is_repeatable;
        let is_possible = call.is_ingress()
            && is_safe
            && !is_quarantined
            && refusal.code != RefusalCode::Unauthenticated
            && call.is_replayable
            && call.may_try_again()
            && cx.now < call.deadline;
        if !is_possible {
            return false;
        }
        had_retry_token
            || self.is_retry_free(cx, id, refusal)
            || (!is_capacity_refusal(refusal) && self.take_retry_token(id))
    }

    /// Whether a retry adds no load to the targets and needs no token: the last target did not
    /// process the call, and another one has capacity.
    fn is_retry_free(&self, cx: &Context<'_>, id: CallId, refusal: Refusal) -> bool {
        if refusal.outcome != Outcome::NotRun {
            return false;
        }
        match refusal.code {
            RefusalCode::Overloaded | RefusalCode::ProxyBusy => {
                self.has_free_slot_elsewhere(cx, id)
            }
            // The target received the request, and the next one receives it too.
            RefusalCode::TargetRefused => false,
            _ => true,
        }
    }

    /// Takes a token from the service's retry budget. A call that is itself a retry, or was
    /// made on behalf of one, is not retried: otherwise retries would multiply along a chain of
    /// calls.
    pub(super) fn take_retry_token(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let service = &mut self.services[call.service];
        let is_granted = !call.chain.is_retry && service.budget.try_withdraw();
        if is_granted {
            call.chain.is_retry = true;
        } else {
            service.counts.retries_denied += 1;
        }
        is_granted
    }
}
