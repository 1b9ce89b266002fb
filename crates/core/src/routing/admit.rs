//! Admission of calls to the targets of this host: at once, from the queue, or when the rate limit
//! of the target allows it.

use super::admission::{AdmissionRequest, AdmissionResult};
use super::decision::Step;
use super::fair_queue::OrganisationKey;
use super::goodput::GoodputChange;
use super::rate_limit::RateLimit;
use super::refusal::{Outcome, Refusal, RefusalCode};
use super::state::Stage;
use super::{Routing, ServiceKey, TargetKey};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::CallId;
use crate::time::Instant;

impl Routing {
    /// Returns false if admission control sheds the call.
    pub(super) fn request_admission(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        target: TargetKey,
    ) -> bool {
        let call = &self.calls[&id];
        let deadline = call.deadline;
        let request = AdmissionRequest {
            call: id,
            priority: call.priority,
            useful_until: call.useful_until,
            deadline,
            max_queued: call.max_queued,
            class: call.class,
            organisation: OrganisationKey::new(call.organisation.as_ref()),
            is_bulk: call.is_bulk,
        };
        let Some(admission) = &mut self.targets[target].admission else { return false };
        match admission.admit(request, cx.now) {
            AdmissionResult::Admitted => self.dispatch(cx, id, target),
            AdmissionResult::Queued => {
                self.call_mut(id).stage = Stage::Queued(target);
                self.set_due(id, deadline);
                let target_state = &self.targets[target];
                let step = Step::Queued {
                    target: target_state.record.target.clone(),
                    queued: target_state
                        .admission
                        .as_ref()
                        .map_or(0, |admission| admission.queued()),
                    remaining_ms: deadline.since_ms(cx.now),
                };
                cx.log_decision(id, step);
                self.refuse_unservable(cx, target);
                self.admit_queued(cx, target);
            }
            AdmissionResult::Shed => return false,
        }
        true
    }

    /// Gives free slots of a target to queued calls. A call that can no longer be completed by
    /// its deadline is refused instead.
    pub(super) fn admit_queued(&mut self, cx: &mut Context<'_>, target: TargetKey) {
        while let Some(admission) = &mut self.targets[target].admission
            && let Some(request) = admission.pop_next(cx.now)
        {
            let id = request.call;
            let is_verified = self.recheck_key(id);
            let call = &self.calls[&id];
            let admission = self.targets[target].admission.as_mut();
            let Some(admission) = admission else { return };
            if let Err(code) = is_verified {
                self.attempt_failed(cx, id, Refusal { code, outcome: Outcome::NotRun });
            } else if self.quarantine.contains(call.fingerprint, cx.now) {
                let code = RefusalCode::Quarantined;
                self.attempt_failed(cx, id, Refusal { code, outcome: Outcome::NotRun });
            } else if admission.admit_queued(cx.now, &request) {
                self.dispatch(cx, id, target);
            } else {
                let code = RefusalCode::DeadlineExceeded;
                self.attempt_failed(cx, id, Refusal { code, outcome: Outcome::NotRun });
            }
        }
        self.schedule_admission(cx, target);
    }

    /// Refuses queued calls as soon as they are not expected to be served in time.
    fn refuse_unservable(&mut self, cx: &mut Context<'_>, target: TargetKey) {
        let admission = self.targets[target].admission.as_mut();
        let unservable =
            admission.map(|admission| admission.remove_unservable(cx.now)).unwrap_or_default();
        for call in unservable {
            let code = RefusalCode::Overloaded;
            self.attempt_failed(cx, call, Refusal { code, outcome: Outcome::NotRun });
        }
    }

    /// Schedules the next check of the queue of a target, if queued calls may be admitted without
    /// an event.
    pub(super) fn schedule_admission(&mut self, cx: &Context<'_>, key: TargetKey) {
        let admission = self.targets[key].admission.as_ref();
        if let Some(at) = admission.and_then(|admission| admission.recheck_at(cx.now)) {
            self.admissions_due.insert((at, key));
        }
    }

    /// Admits queued calls of the targets whose queues are due for a check.
    pub(super) fn admit_due(&mut self, cx: &mut Context<'_>) {
        while let Some((due_at, key)) = self.admissions_due.first().copied()
            && due_at <= cx.now
        {
            self.admissions_due.pop_first();
            if self.targets.contains_key(key) {
                self.admit_queued(cx, key);
            }
        }
    }

    /// Counts how a request ended at a target of this host: it succeeded, or ended with a server
    /// error or a timeout.
    pub(super) fn record_request_end(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        key: TargetKey,
        is_failure: bool,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let class = call.class;
        let Some(target) = self.targets.get(key) else { return };
        if !self.services[target.service].limit_failing_work {
            return;
        }
        let others_lack_capacity = self.others_lack_capacity(target.service, cx.now);
        let target = &mut self.targets[key];
        let Some(admission) = &mut target.admission else { return };
        let id = &target.record.target;
        let text = match admission.record_end(class, is_failure, others_lack_capacity, cx.now) {
            None => return,
            Some(GoodputChange::Limited { failed_percent }) => format!(
                "Target {id} receives fewer requests, since {failed_percent}% of them fail."
            ),
            Some(GoodputChange::Unlimited) => {
                format!("Target {id} receives as many requests as it has slots for again.")
            }
        };
        cx.log(LogLevel::Info, LogPart::Calls, text);
    }

    /// Whether this proxy refused calls to another service for lack of capacity within the last
    /// second. Targets make their calls through the proxy of their host.
    fn others_lack_capacity(&self, service: ServiceKey, now: Instant) -> bool {
        let others = self.services.iter().filter(|(key, _)| *key != service);
        others.map(|(_, state)| state.lacks_capacity_until).any(|until| now < until)
    }

    /// Applies the rate limit of a target of this host that another proxy reports with a call,
    /// if this process has not learnt it from a response.
    pub(super) fn adopt_rate_limit(
        &mut self,
        cx: &mut Context<'_>,
        key: TargetKey,
        reported: Option<RateLimit>,
    ) {
        let target = &mut self.targets[key];
        let (Some(admission), Some(limit)) = (&mut target.admission, reported) else { return };
        if admission.adopt_rate_limit(limit, cx.now) {
            let id = &target.record.target;
            let text = format!("Another proxy reports that target {id} accepts at most {limit}.");
            cx.log(LogLevel::Info, LogPart::Calls, text);
        }
    }

    /// Applies the rate limit that a response of a target of this host states, or that it
    /// states none.
    pub(super) fn apply_rate_limit(
        &mut self,
        cx: &mut Context<'_>,
        key: TargetKey,
        stated: Option<RateLimit>,
    ) {
        let target = &mut self.targets[key];
        let Some(admission) = &mut target.admission else { return };
        let previous = admission.rate_gate();
        admission.set_rate_limit(stated, cx.now);
        let id = &target.record.target;
        match (previous, stated) {
            (None, None) => return,
            (None, Some(limit)) => {
                let in_flight = admission.in_flight();
                let text = format!("Target {id} accepts at most {limit}; {in_flight} in flight.");
                cx.log(LogLevel::Info, LogPart::Calls, text);
            }
            (Some(_), Some(_)) => {}
            (Some(gate), None) => {
                let summary = gate.summary(cx.now);
                let text = format!("Target {id} accepts any rate again, after {summary}.");
                cx.log(LogLevel::Info, LogPart::Calls, text);
            }
        }
        self.admit_queued(cx, key);
    }
}
