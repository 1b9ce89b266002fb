//! Checks of arriving calls before a target is chosen: route, deadline, hop limit, body size
//! and the limit of calls in flight.

use std::sync::Arc;

use super::call::{CallClass, CallHead, CallOrigin, ForwardHead};
use super::chain::Chain;
use super::decision::Step;
use super::fair_queue::OrganisationKey;
use super::finish::Finished;
use super::refusal::{Outcome, Refusal, RefusalCode};
use super::state::{Call, MAX_ATTEMPTS, Stage};
use super::table::RouteRule;
use super::unserved_calls::RepeatedContent;
use super::{CallEffect, Routing, ServiceKey, TargetKey};
use crate::context::Context;
use crate::event::Effect;
use crate::ids::CallId;
use crate::organisation::Credential;
use crate::quota::{QuotaExceeded, Quotas};
use crate::slo::CallResult;
use crate::time::Instant;

/// Maximum number of calls in a chain. The deepest real chain has 16, so that only loops reach
/// it.
const MAX_HOPS: u8 = 20;

impl Routing {
    pub(super) fn arrived(
        &mut self,
        cx: &mut Context<'_>,
        quotas: &mut Quotas,
        id: CallId,
        head: CallHead,
    ) {
        let mut wait_ms = None;
        let mut first_arrived_at = None;
        let checked = match &head.origin {
            CallOrigin::Caller => self.check_caller(cx, &head),
            CallOrigin::Proxy(forward) => self.check_forwarded(cx, &head, forward),
        };
        let charged = checked.and_then(|(mut call, target)| {
            first_arrived_at = Some(call.first_arrived_at);
            let typical_us = self.services[call.service].typical_us(call.class).unwrap_or(0);
            charge(cx, quotas, &mut call, typical_us).map_err(|exceeded| {
                wait_ms = Some(exceeded.retry_after_ms);
                RefusalCode::QuotaExceeded
            })?;
            if let Err(share_in_ms) = self.check_share(cx.now, &call) {
                if let Some(organisation) = &call.charged {
                    quotas.give_back(cx.now, organisation);
                }
                wait_ms = Some(share_in_ms);
                return Err(RefusalCode::Overloaded);
            }
            Ok((call, target))
        });
        match charged {
            Ok((call, target)) => {
                if let (CallOrigin::Proxy(forward), Some(target)) = (&head.origin, target) {
                    self.adopt_rate_limit(cx, target, forward.rate_limit);
                }
                self.begin(cx, id, call, target);
            }
            Err(code) => {
                // Callers do not repeat a call that cannot succeed.
                let may_be_repeated = matches!(code.status(), 429 | 503);
                if head.origin == CallOrigin::Caller && may_be_repeated {
                    let key = match head.credential {
                        Credential::Key(digest) => Some(digest),
                        Credential::Absent | Credential::Malformed => None,
                    };
                    let content = RepeatedContent { content: head.fingerprint, key };
                    let first_arrived_at = first_arrived_at
                        .unwrap_or_else(|| self.unserved_calls.take_first_arrival(content, cx.now));
                    self.unserved_calls.record(content, first_arrived_at, cx.now);
                }
                self.refusals.count(code);
                // A caller without a key or above its quota cannot use up the error budget of a
                // service.
                let is_own_fault = matches!(
                    code,
                    RefusalCode::Unauthenticated
                        | RefusalCode::BadCredential
                        | RefusalCode::QuotaExceeded
                );
                if !is_own_fault {
                    self.count_refused(&head);
                }
                let refusal = Refusal { code, outcome: Outcome::NotRun };
                let retry_after_ms = self.retry_after_ms(cx, refusal, wait_ms);
                let refuse = CallEffect::Refuse { call: id, refusal, load: None, retry_after_ms };
                let step = Step::Refused {
                    code,
                    outcome: Outcome::NotRun,
                    attempts: 0,
                    after_ms: 0,
                    retry_after_ms,
                };
                cx.log_decision(id, step);
                cx.emit(Effect::Call(refuse));
            }
        }
    }

    /// Counts a call that was refused on arrival against the objective of its service.
    fn count_refused(&mut self, head: &CallHead) {
        let rule = self.table.as_ref().and_then(|table| table.find(&head.host, &head.path));
        if let (CallOrigin::Caller, Some(rule)) = (&head.origin, rule) {
            let service = rule.service.clone();
            let rule = Arc::clone(rule);
            self.finished.push(Finished {
                service,
                rule,
                result: CallResult::Refused,
                refunded: None,
            });
        }
    }

    fn check_caller(
        &mut self,
        cx: &mut Context<'_>,
        head: &CallHead,
    ) -> Result<(Call, Option<TargetKey>), RefusalCode> {
        if self.is_refusing {
            return Err(RefusalCode::Stopping);
        }
        let table = self.table.as_ref().ok_or(RefusalCode::NoConfiguration)?;
        let rule = table.find(&head.host, &head.path).ok_or_else(|| self.missing_route())?;
        let rule = Arc::clone(rule);
        let identity = self.identify(head, &rule)?;
        if self.quarantine.contains(head.fingerprint, cx.now) {
            return Err(RefusalCode::Quarantined);
        }
        if head.chain.hops >= MAX_HOPS {
            return Err(RefusalCode::HopLimit);
        }
        if head.body_bytes.is_some_and(|bytes| bytes > rule.policy.max_body_bytes) {
            return Err(RefusalCode::BodyTooLarge);
        }
        let deadline = self.deadline(cx, head, &rule);
        if deadline <= cx.now {
            return Err(RefusalCode::DeadlineExceeded);
        }
        let name = self.splits.choose(cx.rng, &rule).clone();
        let service = *self.service_keys.get(&name).ok_or(RefusalCode::NoTarget)?;
        self.check_call_limit(service)?;
        let key = identity.key.map(|key| key.digest);
        let content = RepeatedContent { content: head.fingerprint, key };
        let first_arrived_at = self.unserved_calls.take_first_arrival(content, cx.now);
        let useful_until = match rule.policy.target_latency_ms {
            Some(useful_ms) => deadline.min(first_arrived_at.plus_ms(u64::from(useful_ms))),
            None => deadline,
        };
        let call = Call {
            is_repeatable: rule.is_repeatable(head.is_safe_method),
            max_queued: rule.policy.max_queued,
            priority: identity.priority.unwrap_or(rule.policy.priority),
            organisation: identity.organisation,
            key: identity.key,
            useful_until,
            first_arrived_at,
            class: rule.class,
            is_bulk: rule.policy.bulk,
            is_upload: rule.policy.bulk_requests,
            chain: Chain { hops: head.chain.hops + 1, ..head.chain },
            rule: Some(rule),
            ..new_call(cx.now, head, service, deadline)
        };
        Ok((call, None))
    }

    fn missing_route(&self) -> RefusalCode {
        if self.may_be_outdated { RefusalCode::OutdatedConfiguration } else { RefusalCode::NoRoute }
    }

    fn check_forwarded(
        &mut self,
        cx: &Context<'_>,
        head: &CallHead,
        forward: &ForwardHead,
    ) -> Result<(Call, Option<TargetKey>), RefusalCode> {
        let transit = head.transit;
        let delay_us = transit.map_or(0, |transit| self.transits.delay_us(transit, cx.now));
        if self.is_refusing {
            return Err(RefusalCode::Stopping);
        }
        if self.quarantine.contains(head.fingerprint, cx.now) {
            return Err(RefusalCode::Quarantined);
        }
        let key = self.target_keys.get(&forward.target).copied();
        let key = key.ok_or(RefusalCode::TargetGone)?;
        let target = &self.targets[key];
        if target.admission.is_none() || !target.is_ready() {
            return Err(RefusalCode::TargetGone);
        }
        self.check_call_limit(target.service)?;
        let identity = self.recheck_forwarded(forward)?;
        let remaining_us = (u64::from(forward.remaining_ms) * 1_000).saturating_sub(delay_us);
        if remaining_us == 0 {
            return Err(RefusalCode::DeadlineExceeded);
        }
        let useful_us = (u64::from(forward.useful_ms) * 1_000).saturating_sub(delay_us);
        let deadline = cx.now.plus_us(remaining_us);
        let call = Call {
            is_repeatable: forward.is_repeatable,
            max_queued: forward.max_queued,
            priority: identity.priority.unwrap_or(forward.priority),
            organisation: identity.organisation,
            key: identity.key,
            useful_until: deadline.min(cx.now.plus_us(useful_us)),
            class: forward.class,
            is_bulk: forward.is_bulk,
            ..new_call(cx.now, head, target.service, deadline)
        };
        Ok((call, Some(key)))
    }

    /// The earliest of the policy's deadline, the remaining time in the chain header and the
    /// deadline of the parent call.
    fn deadline(&self, cx: &Context<'_>, head: &CallHead, rule: &RouteRule) -> Instant {
        let mut deadline = cx.now.plus_ms(u64::from(rule.policy.deadline_ms));
        if let Some(remaining_ms) = head.chain.remaining_ms {
            deadline = deadline.min(cx.now.plus_ms(u64::from(remaining_ms)));
        }
        match self.parent(cx, &head.chain) {
            Some(parent) => deadline.min(parent.deadline),
            None => deadline,
        }
    }

    /// The parent call, if this proxy dispatched it and it is still in flight.
    fn parent(&self, cx: &Context<'_>, chain: &Chain) -> Option<&Call> {
        let (owner, call) = chain.parent?;
        (owner == cx.me.id).then(|| self.calls.get(&call))?
    }

    /// Prevents one service from using up the limit of calls in flight of this proxy: from half
    /// of the limit on, each service with calls in flight may use an equal share.
    fn check_call_limit(&self, service: ServiceKey) -> Result<(), RefusalCode> {
        let all = self.calls.len() as u32;
        if all >= self.settings.max_calls {
            return Err(RefusalCode::ProxyBusy);
        }
        let share = self.settings.max_calls / self.busy_services.max(1);
        let is_half_full = all >= self.settings.max_calls / 2;
        if is_half_full && self.services[service].counts.in_flight >= share {
            return Err(RefusalCode::ProxyBusy);
        }
        Ok(())
    }

    /// Checks the share of the organisation of a caller's call, if it has one. Returns after how
    /// many milliseconds the share has place for the call.
    fn check_share(&mut self, now: Instant, call: &Call) -> Result<(), u32> {
        if !call.is_ingress() || call.organisation.is_none() {
            return Ok(());
        }
        let organisation = OrganisationKey::new(call.organisation.as_ref());
        let service = &mut self.services[call.service];
        let is_limited = now < service.lacks_capacity_until;
        let is_repetition = call.first_arrived_at < call.arrived_at;
        service.shares.admit(call.priority, organisation, is_repetition, is_limited, now)
    }

    fn begin(&mut self, cx: &mut Context<'_>, id: CallId, call: Call, target: Option<TargetKey>) {
        if let Some((owner, parent)) = call.chain.parent
            && owner == cx.me.id
            && let Some(parent) = self.calls.get_mut(&parent)
        {
            parent.children.push(id);
        }
        let processes = self.members.len();
        let service = &mut self.services[call.service];
        service.counts.in_flight += 1;
        self.busy_services += u32::from(service.counts.in_flight == 1);
        if call.is_ingress() {
            service.budget.deposit(service.retry_budget_percent, processes);
        }
        self.deadlines.insert((call.due, id));
        self.calls.insert(id, call);
        match target {
            Some(target) => self.begin_forwarded(cx, id, target),
            None => self.try_next(cx, id),
        }
    }
}

/// Takes credit from the quota of the organisation of a call, at its ingress.
///
/// A repeated call that can no longer be answered within its target latency must not take the
/// credit of one that can.
fn charge(
    cx: &Context<'_>,
    quotas: &mut Quotas,
    call: &mut Call,
    typical_us: u64,
) -> Result<(), QuotaExceeded> {
    let Some(organisation) = call.organisation.as_ref().filter(|_| call.is_ingress()) else {
        return Ok(());
    };
    let is_repeated = call.first_arrived_at < call.arrived_at;
    let is_late = is_repeated && cx.now.plus_us(typical_us) > call.useful_until;
    quotas.try_take(cx.now, organisation, is_late)?;
    call.charged = call.organisation.clone();
    Ok(())
}

fn new_call(now: Instant, head: &CallHead, service: ServiceKey, deadline: Instant) -> Call {
    Call {
        service,
        rule: None,
        arrived_at: now,
        first_arrived_at: now,
        deadline,
        due: deadline,
        is_repeatable: false,
        is_replayable: head.is_replayable,
        max_queued: 0,
        priority: 0,
        useful_until: deadline,
        class: CallClass::default(),
        organisation: None,
        charged: None,
        key: None,
        is_bulk: false,
        is_upload: false,
        fingerprint: head.fingerprint,
        chain: head.chain,
        attempt: 0,
        attempts_reached: 0,
        stage: Stage::Choosing,
        tried: [TargetKey::default(); MAX_ATTEMPTS],
        may_have_run: false,
        last_failure: None,
        children: Vec::new(),
        status: 0,
        answered_at: Instant::ZERO,
        earlier_error: None,
        has_retry_token: false,
    }
}
