//! Refusals of calls, and the time after which their callers should come back.

use rand::Rng;

use super::attempt::relay_timeout_at;
use super::decision::Step;
use super::quarantine::REMEMBERED_FOR_MS;
use super::refusal::{Outcome, Refusal, RefusalCode};
use super::state::{ServerError, Stage};
use super::{CallEffect, Routing};
use crate::context::Context;
use crate::event::Effect;
use crate::ids::CallId;
use crate::slo::CallResult;

/// Time since its start within which a process that started together with all others should
/// have a configuration, in milliseconds.
const EXPECTED_STARTUP_MS: u64 = 500;

/// Time for which a service counts as lacking capacity after a refusal, in milliseconds.
const LACK_OF_CAPACITY_MS: u64 = 1_000;

/// Minimum time after which a refused caller may retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u32 = 100;

impl Routing {
    /// Refuses a call with the code of its last failed attempt, or with `NoTarget` if there was
    /// none.
    pub(super) fn refuse_after_failure(&mut self, cx: &mut Context<'_>, id: CallId) {
        let call = &self.calls[&id];
        let code = call.last_failure.map_or(RefusalCode::NoTarget, |failure| failure.code);
        self.refuse(cx, id, code);
    }

    /// Refuses a call for which no target was found, or only targets behind a saturated link to
    /// another region.
    pub(super) fn refuse_without_target(&mut self, cx: &mut Context<'_>, id: CallId) {
        match self.path_wait_ms(cx, id) {
            Some(wait_ms) if !self.calls[&id].may_have_run => {
                self.refuse_with_wait(cx, id, RefusalCode::Overloaded, Some(wait_ms));
            }
            _ => self.refuse_after_failure(cx, id),
        }
    }

    pub(super) fn refuse(&mut self, cx: &mut Context<'_>, id: CallId, code: RefusalCode) {
        self.refuse_with_wait(cx, id, code, None);
    }

    /// Refuses a call. `wait_ms` is the time after which a retry may be admitted, if that is
    /// not the wait at the last target.
    fn refuse_with_wait(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        code: RefusalCode,
        wait_ms: Option<u32>,
    ) {
        if let Some(earlier_error) = self.call_mut(id).earlier_error.take() {
            return self.relay_earlier(cx, id, earlier_error);
        }
        let call = &self.calls[&id];
        let outcome = if call.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        let refusal = Refusal { code, outcome };
        let tried = usize::from(call.attempt).checked_sub(1).and_then(|i| call.tried.get(i));
        let target = tried.and_then(|key| self.targets.get(*key));
        let load = tried.and_then(|key| self.load_for_ingress(cx, id, *key));
        let wait_ms = wait_ms.or_else(|| target.map(|target| target.wait_ms(cx.now)));
        let wait_ms = self.return_after_ms(cx, id, refusal, wait_ms);
        let retry_after_ms = self.retry_after_ms(cx, refusal, wait_ms);
        let refuse = CallEffect::Refuse { call: id, refusal, load, retry_after_ms };
        let call = &self.calls[&id];
        let step = Step::Refused {
            code,
            outcome,
            attempts: call.attempt,
            after_ms: cx.now.since_ms(call.arrived_at),
            retry_after_ms,
        };
        cx.log_decision(id, step);
        cx.emit(Effect::Call(refuse));
        self.refusals.count(code);
        self.remove(cx.now, id, Some(outcome), CallResult::Refused);
    }

    /// Time after which capacity is expected for a call that is refused for lack of it, given the
    /// calls that were refused before it, in milliseconds. Other refusals keep `wait_ms`.
    fn return_after_ms(
        &mut self,
        cx: &Context<'_>,
        id: CallId,
        refusal: Refusal,
        wait_ms: Option<u32>,
    ) -> Option<u32> {
        let call = &self.calls[&id];
        let lacks_capacity = matches!(
            refusal.code,
            RefusalCode::Overloaded | RefusalCode::DeadlineExceeded | RefusalCode::ProxyBusy
        );
        if !call.is_ingress() || !lacks_capacity {
            return wait_ms;
        }
        let service = &mut self.services[call.service];
        service.lacks_capacity_until = cx.now.plus_ms(LACK_OF_CAPACITY_MS);
        if refusal.code != RefusalCode::Overloaded {
            return wait_ms;
        }
        Some(service.return_times.reserve_ms(call.priority, wait_ms.unwrap_or(0), cx.now))
    }

    /// Relays the server error of an earlier attempt, because no later attempt succeeded.
    fn relay_earlier(&mut self, cx: &mut Context<'_>, id: CallId, earlier_error: ServerError) {
        let call = self.call_mut(id);
        call.stage = Stage::RelayingEarlier;
        call.status = earlier_error.status;
        let timeout_at = relay_timeout_at(call);
        self.set_due(id, timeout_at);
        self.log_server_error(cx, id, earlier_error);
        cx.emit(Effect::Call(CallEffect::RelayEarlier { call: id }));
    }

    /// Time after which a retry of a refused call may be admitted, in milliseconds.
    ///
    /// `wait_ms` is the wait at the target that refused, if known. The result is randomised, so
    /// that callers that were refused together do not retry together.
    pub(super) fn retry_after_ms(
        &self,
        cx: &mut Context<'_>,
        refusal: Refusal,
        wait_ms: Option<u32>,
    ) -> Option<u32> {
        let default_ms = refusal.default_retry_after_ms();
        if refusal.outcome != Outcome::NotRun {
            return default_ms;
        }
        let min_ms = match (refusal.code, wait_ms) {
            (RefusalCode::Overloaded, Some(wait_ms)) => wait_ms.max(MIN_RETRY_AFTER_MS),
            (RefusalCode::QuotaExceeded, Some(credit_in_ms)) => credit_in_ms,
            (RefusalCode::Stopping | RefusalCode::TargetGone, _) => MIN_RETRY_AFTER_MS,
            (RefusalCode::NoConfiguration, _) => {
                let remaining_ms = EXPECTED_STARTUP_MS.saturating_sub(cx.now.as_ms()) as u32;
                remaining_ms.max(MIN_RETRY_AFTER_MS)
            }
            (RefusalCode::Quarantined, _) => REMEMBERED_FOR_MS as u32,
            _ => default_ms.map(|default_ms| default_ms * 2 / 3)?,
        };
        Some(min_ms + cx.rng.random_range(0..=min_ms / 2))
    }
}
