//! The head of a response: what it says about its target, and whether it is relayed or the call is
//! retried.

use super::attempt::relay_timeout_at;
use super::call::{TargetLoad, TargetNotice};
use super::decision::Step;
use super::refusal::{Outcome, Refusal, RefusalCode};
use super::state::{Attempt, ServerError, Stage};
use super::{CallEffect, Routing, TargetKey};
use crate::context::Context;
use crate::event::Effect;
use crate::ids::CallId;

/// Lowest HTTP status that counts as a failure of the target.
pub(super) const FIRST_SERVER_ERROR: u16 = 500;

impl Routing {
    /// Handles the head of a response.
    pub(super) fn answered(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        attempt: u8,
        status: u16,
        notice: TargetNotice,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Stage::Running(running) = call.stage else { return };
        if call.attempt != attempt {
            return;
        }
        let is_ingress = call.is_ingress();
        if running.holds_slot {
            self.apply_rate_limit(cx, running.target, notice.rate_limit);
            self.note_leaving(running.target, notice.is_leaving);
            self.record_pace(cx, running.target, notice.pace_percent);
        }
        if is_ingress {
            self.observe_answer(cx, id, running, status, notice.load);
            if self.retries_server_error(cx, id, running, status) {
                return;
            }
        }
        if status >= FIRST_SERVER_ERROR {
            let target = self.targets[running.target].record.target.clone();
            self.log_server_error(cx, id, ServerError { attempt, target, status });
        }
        let call = self.call_mut(id);
        call.stage = Stage::Relaying(running);
        call.status = status;
        call.answered_at = cx.now;
        let timeout_at = relay_timeout_at(call);
        self.set_due(id, timeout_at);
        let load = self.load_for_ingress(cx, id, running.target);
        cx.emit(Effect::Call(CallEffect::Relay { call: id, load }));
    }

    /// Notes that a target of this host states that it is leaving.
    pub(super) fn note_leaving(&mut self, key: TargetKey, is_leaving: bool) {
        let target = &self.targets[key];
        if is_leaving && target.is_ready() {
            self.leaving_targets.push(target.record.target.clone());
        }
    }

    /// Logs that a server error is relayed.
    pub(super) fn log_server_error(&self, cx: &mut Context<'_>, id: CallId, error: ServerError) {
        let ServerError { attempt, target, status } = error;
        let after_ms = cx.now.since_ms(self.calls[&id].arrived_at);
        cx.log_decision(id, Step::ServerError { attempt, target, status, after_ms });
    }

    /// Retries a call at another target after a server error, if its policy allows that.
    /// Returns false if the response is to be relayed.
    fn retries_server_error(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        running: Attempt,
        status: u16,
    ) -> bool {
        let call = &self.calls[&id];
        let is_allowed = status >= FIRST_SERVER_ERROR
            && call.rule.as_ref().is_some_and(|rule| rule.policy.retry_server_errors)
            && call.is_repeatable
            && call.is_replayable
            && call.may_try_again_after(call.attempts_reached + 1)
            && cx.now < call.useful_until
            && self.has_free_slot_elsewhere(cx, id);
        if !is_allowed || !self.take_retry_token(id) {
            return false;
        }
        let target = self.targets[running.target].record.target.clone();
        let call = self.call_mut(id);
        call.has_retry_token = true;
        call.earlier_error = Some(ServerError { attempt: call.attempt, target, status });
        self.record_request_end(cx, id, running.target, true);
        self.release(cx, id, running, true);
        let code = RefusalCode::TargetFailed;
        self.attempt_failed(cx, id, Refusal { code, outcome: Outcome::Unknown });
        true
    }

    fn observe_answer(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        attempt: Attempt,
        status: u16,
        load: Option<TargetLoad>,
    ) {
        let took_us = cx.now.since_us(attempt.began_at);
        let class = self.calls[&id].class;
        self.observe_round_trip(cx, attempt, load);
        if let Some(load) = load {
            self.record_owner_load(cx, attempt.target, load);
        }
        match load {
            Some(load) => {
                let round_trip_us = took_us.saturating_sub(u64::from(load.held_ms) * 1_000);
                self.targets[attempt.target].observe_round_trip(round_trip_us, cx.now);
                self.record_capacity(cx, attempt.target, class, load);
            }
            None => self.record_own_capacity(cx, attempt.target, class),
        }
        let target = &mut self.targets[attempt.target];
        target.observe(class, took_us, cx.now);
        let service = &mut self.services[target.service];
        service.latency.observe(took_us);
        service.latency_by_class.entry(class).or_default().observe(took_us);
        service.note_answer(attempt.target, cx.now);
        if status >= FIRST_SERVER_ERROR {
            self.note_failure(cx, attempt.target);
        } else {
            self.note_success(cx, attempt.target);
        }
    }
}
