//! Simulates callers and the transport of calls, and checks the guarantees for calls.

use std::collections::BTreeMap;

use fireflylug_core::Event;
use fireflylug_core::ids::{CallId, NodeId};
use fireflylug_core::routing::{
    CallEffect, CallEvent, CallHead, CallOrigin, Chain, Fingerprint, ForwardHead, Outcome, Refusal,
    RefusalCode, TargetLoad, TargetNotice,
};
use rand::Rng;

use crate::crashing_calls::Crashes;
use crate::organisations::{Caller, Organisations};
use crate::rate_limits::RateLimits;
use crate::targets::{TARGETS, Target, TargetStatus, owner_of, target_id};
use crate::world::{Item, World};

mod promises;

/// A due event of a call or a target.
#[derive(Clone)]
pub enum CallItem {
    /// A target that ended starts again.
    Restart { target: usize },
    /// A target renews its lease.
    Renew { target: usize, generation: u32 },
    /// A forwarded call arrives at its owner.
    Forwarded { leg: CallId, attempt: u8, owner: NodeId, head: ForwardHead, chain: Chain },
    /// A call arrives at a target.
    Run { leg: CallId, attempt: u8, target: usize },
    /// The answer to an attempt arrives.
    Answer { leg: CallId, attempt: u8, notice: TargetNotice },
    /// An event for the process of a leg arrives.
    Deliver { leg: CallId, event: CallEvent },
}

/// A call of a caller.
struct Call {
    repeatable: bool,
    caller: Caller,
    /// Its content.
    fingerprint: Fingerprint,
    /// Host at which it began.
    host: usize,
    runs: u32,
    /// Target that ran it last.
    ran_at: Option<usize>,
    reported_outcome: Option<Outcome>,
}

/// The part of a call that one process handles.
struct Leg {
    call: usize,
    host: usize,
    epoch: u64,
    /// The leg that forwarded the call here, and its attempt.
    upstream: Option<(CallId, u8)>,
    attempt: u8,
    is_cancelled: bool,
    /// Whether the process received the event that the caller hung up, so nothing awaits the leg.
    is_abandoned: bool,
    answered_attempt: Option<u8>,
    /// The leg of the current attempt at the owner.
    downstream: Option<CallId>,
}

/// All calls and targets of the simulation.
pub struct Calls {
    pub targets: Vec<Target>,
    pub rate_limits: RateLimits,
    pub crashes: Crashes,
    pub organisations: Organisations,
    calls: Vec<Call>,
    legs: BTreeMap<CallId, Leg>,
    next_leg: u64,
}

impl Calls {
    /// Makes a state without calls, whose targets are all absent.
    pub fn new() -> Self {
        let absent = || Target { status: TargetStatus::Absent, generation: 0, slots: 2 };
        let targets = std::iter::repeat_with(absent).take(TARGETS).collect();
        Self {
            targets,
            rate_limits: RateLimits::default(),
            crashes: Crashes::default(),
            organisations: Organisations::new(),
            calls: Vec::new(),
            legs: BTreeMap::new(),
            next_leg: 0,
        }
    }

    /// Sets the number of concurrent calls that each target announces.
    pub fn set_slots(&mut self, slots: u32) {
        self.targets.iter_mut().for_each(|target| target.slots = slots);
    }

    /// The caller of the call of a leg, and the leg and attempt that forwarded it.
    pub fn caller_of(&self, leg: CallId) -> (Caller, Option<(CallId, u8)>) {
        let leg = &self.legs[&leg];
        (self.calls[leg.call].caller, leg.upstream)
    }

    fn add_leg(
        &mut self,
        call: usize,
        host: usize,
        epoch: u64,
        upstream_leg: Option<(CallId, u8)>,
    ) -> CallId {
        self.next_leg += 1;
        let id = CallId(self.next_leg);
        let leg = Leg {
            call,
            host,
            epoch,
            upstream: upstream_leg,
            attempt: 0,
            is_cancelled: false,
            is_abandoned: false,
            answered_attempt: None,
            downstream: None,
        };
        self.legs.insert(id, leg);
        id
    }

    /// Drops the legs of a process that ended.
    pub fn host_ended(&mut self, host: usize) {
        self.legs.retain(|_, leg| leg.host != host);
        self.rate_limits.excuse(host);
    }
}

impl World {
    /// Makes a call at a host. Does nothing if the host is down.
    pub fn call(&mut self, host: usize, repeatable: bool) {
        self.call_with(host, repeatable, Fingerprint::default());
    }

    /// Makes a call with a content at a host. Does nothing if the host is down.
    pub fn call_with(&mut self, host: usize, repeatable: bool, fingerprint: Fingerprint) {
        if self.is_up(host) {
            let head = head(CallOrigin::Caller, repeatable, fingerprint, Chain::default());
            self.call_with_head(host, Caller::default(), head);
        }
    }

    /// Makes a call at a host that is up.
    pub fn call_with_head(&mut self, host: usize, caller: Caller, head: CallHead) {
        let (repeatable, fingerprint) = (head.is_safe_method, head.fingerprint);
        let (ran_at, reported_outcome) = (None, None);
        let call =
            Call { repeatable, caller, fingerprint, host, runs: 0, ran_at, reported_outcome };
        self.calls.calls.push(call);
        let call = self.calls.calls.len() - 1;
        let leg = self.calls.add_leg(call, host, self.hosts[host].epoch, None);
        self.submit(host, Event::Call(CallEvent::Arrived { call: leg, head }));
    }

    /// Processes a due event of a call or a target.
    pub fn run_call_item(&mut self, item: CallItem) {
        match item {
            CallItem::Renew { target, generation } => self.renew(target, generation),
            CallItem::Restart { target } => self.restart_target(target),
            CallItem::Forwarded { leg, attempt, owner, head, chain } => {
                self.deliver_forwarded(leg, attempt, owner, head, chain);
            }
            CallItem::Run { leg, attempt, target } => self.run_at_target(leg, attempt, target),
            CallItem::Answer { leg, attempt, notice } => {
                self.calls.crashes.record_answer(leg, attempt);
                if let Some(state) = self.calls.legs.get_mut(&leg) {
                    state.answered_attempt = Some(attempt);
                }
                let answered = CallEvent::Answered { call: leg, attempt, status: 200, notice };
                self.deliver_to_leg(leg, answered);
            }
            CallItem::Deliver { leg, event } => self.deliver_to_leg(leg, event),
        }
    }

    fn deliver_to_leg(&mut self, id: CallId, event: CallEvent) {
        let Some(leg) = self.calls.legs.get_mut(&id) else { return };
        leg.is_abandoned |= matches!(event, CallEvent::CallerGone { .. });
        let host = leg.host;
        if self.hosts[host].epoch == leg.epoch {
            self.submit(host, Event::Call(event));
        }
    }

    /// Applies an effect that a process produced for a call.
    pub fn call_effect(&mut self, host: usize, effect: CallEffect) {
        match effect {
            CallEffect::Forward { call, attempt, owner, head, chain, .. } => {
                self.begin_attempt(call, attempt);
                let name = head.organisation.as_ref();
                self.check_forwarded_identity(host, call, attempt, name, head.key);
                let forwarded = CallItem::Forwarded { leg: call, attempt, owner, head, chain };
                self.push_call(forwarded);
            }
            CallEffect::Dispatch { call, attempt, target, identity, .. } => {
                self.begin_attempt(call, attempt);
                self.check_dispatched_identity(host, call, &identity);
                let target = (0..TARGETS).find(|index| target_id(*index) == target);
                let target = target.expect("promise 2: a call went to an unknown target");
                assert_eq!(owner_of(target), host, "promise 2: a call bypassed its owner");
                self.push_call(CallItem::Run { leg: call, attempt, target });
            }
            CallEffect::Relay { call, load } => self.relay(call, notice_of(load)),
            CallEffect::Cancel { call } => self.cancel(call),
            CallEffect::Refuse { call, refusal, load, .. } => {
                self.refuse(call, refusal, notice_of(load));
            }
            CallEffect::RelayEarlier { .. } => {
                panic!("no policy in this test retries server errors")
            }
            CallEffect::Abort { call } => self.refuse(call, LOST, TargetNotice::default()),
            CallEffect::CloseKeepAlive | CallEffect::CloseListeners | CallEffect::CloseIdle => {}
        }
    }

    fn begin_attempt(&mut self, leg: CallId, attempt: u8) {
        let leg = self.calls.legs.get_mut(&leg).expect("a call in flight");
        leg.attempt = attempt;
        leg.is_cancelled = false;
        leg.downstream = None;
    }

    fn push_call(&mut self, item: CallItem) {
        let delay_us = self.network.delay_us(&mut self.rng);
        self.push(delay_us, Item::Call(item));
    }

    fn deliver_forwarded(
        &mut self,
        upstream_leg: CallId,
        attempt: u8,
        owner: NodeId,
        head: ForwardHead,
        chain: Chain,
    ) {
        let Some(leg) = self.calls.legs.get(&upstream_leg) else { return };
        let owner = self.hosts.iter().position(|host| host.id == owner).expect("a host");
        if leg.is_cancelled || leg.attempt != attempt {
            return;
        }
        if !self.is_up(owner) || !self.network.reaches(leg.host, owner) {
            return self.push_failed(upstream_leg, attempt, UNREACHABLE);
        }
        let (call, repeatable) = (leg.call, head.is_repeatable);
        let downstream_leg =
            self.calls.add_leg(call, owner, self.hosts[owner].epoch, Some((upstream_leg, attempt)));
        self.calls.legs.get_mut(&upstream_leg).expect("found above").downstream =
            Some(downstream_leg);
        let fingerprint = self.calls.calls[call].fingerprint;
        let head = self::head(CallOrigin::Proxy(head), repeatable, fingerprint, chain);
        self.submit(owner, Event::Call(CallEvent::Arrived { call: downstream_leg, head }));
    }

    fn run_at_target(&mut self, leg: CallId, attempt: u8, target: usize) {
        let Some(state) = self.calls.legs.get(&leg) else { return };
        // A cancelled call may have been sent before the cancellation.
        let is_superseded = state.attempt != attempt || state.is_cancelled;
        if is_superseded && self.rng.random_bool(0.5) {
            return;
        }
        let call = state.call;
        if self.calls.targets[target].status == TargetStatus::Absent {
            return self.push_failed(leg, attempt, UNREACHABLE);
        }
        self.calls.record_run(call, target, self.now_us);
        self.calls.crashes.record_run(target, leg, attempt);
        if self.crash_target_if_due(target, self.calls.calls[call].fingerprint) {
            return;
        }
        if self.rng.random_ratio(1, 20) {
            return self.push_failed(leg, attempt, LOST);
        }
        let is_slow = self.rng.random_ratio(1, 4);
        let service_us = if is_slow { 100_000..2_500_000 } else { 1_000..100_000 };
        let service_us = self.rng.random_range(service_us);
        let rate_limit = self.calls.rate_limits.stated_by(target);
        let notice = TargetNotice { rate_limit, ..TargetNotice::default() };
        self.push(service_us, Item::Call(CallItem::Answer { leg, attempt, notice }));
    }

    fn push_failed(&mut self, leg: CallId, attempt: u8, refusal: Refusal) {
        self.push_failed_with(leg, attempt, refusal, TargetNotice::default());
    }

    pub fn push_failed_with(
        &mut self,
        leg: CallId,
        attempt: u8,
        refusal: Refusal,
        notice: TargetNotice,
    ) {
        let event = CallEvent::Failed { call: leg, attempt, refusal, is_replayable: true, notice };
        self.push_call(CallItem::Deliver { leg, event });
    }

    /// Passes the answer on: the leg ends, and the answer goes to its upstream leg.
    fn relay(&mut self, id: CallId, notice: TargetNotice) {
        let Some(leg) = self.calls.legs.get(&id) else { return };
        let is_current_attempt = leg.answered_attempt == Some(leg.attempt) && !leg.is_cancelled;
        assert!(is_current_attempt, "promise 4: the answer of another attempt was passed on");
        let ended = CallEvent::Ended { call: id, attempt: leg.attempt, is_complete: true };
        match leg.upstream {
            Some((leg, attempt)) => self.push_call(CallItem::Answer { leg, attempt, notice }),
            None => {
                let call = &self.calls.calls[leg.call];
                if let Some(target) = call.ran_at {
                    self.calls.rate_limits.record_answer(target, call.host, self.now_us);
                }
                self.calls.report_outcome(leg.call, Outcome::Ran);
            }
        }
        // The leg is removed once its process has received the end.
        self.submit_last(id, ended);
    }

    fn submit_last(&mut self, id: CallId, event: CallEvent) {
        let Some(leg) = self.calls.legs.remove(&id) else { return };
        if self.hosts[leg.host].epoch == leg.epoch {
            self.submit(leg.host, Event::Call(event));
        }
    }

    fn cancel(&mut self, id: CallId) {
        let Some(leg) = self.calls.legs.get_mut(&id) else { return };
        leg.is_cancelled = true;
        let attempt = leg.attempt;
        if let Some(downstream_leg) = leg.downstream.take() {
            self.push_call(CallItem::Deliver {
                leg: downstream_leg,
                event: CallEvent::CallerGone { call: downstream_leg },
            });
        }
        self.push_failed(id, attempt, LOST);
    }

    fn refuse(&mut self, id: CallId, refusal: Refusal, notice: TargetNotice) {
        let Some(leg) = self.calls.legs.remove(&id) else { return };
        if refusal.code == RefusalCode::Quarantined {
            let fingerprint = self.calls.calls[leg.call].fingerprint;
            self.calls.crashes.record_quarantined(fingerprint);
        }
        if refusal.code == RefusalCode::Unauthenticated && leg.upstream.is_some() {
            self.calls.organisations.record_refused_by_owner();
        }
        match leg.upstream {
            Some((upstream_leg, attempt)) => {
                self.push_failed_with(upstream_leg, attempt, refusal, notice);
            }
            None => self.calls.report_outcome(leg.call, refusal.outcome),
        }
    }
}

const UNREACHABLE: Refusal = Refusal { code: RefusalCode::Unreachable, outcome: Outcome::NotRun };

pub const LOST: Refusal = Refusal { code: RefusalCode::ConnectionLost, outcome: Outcome::Unknown };

/// What an owner's response says about its target.
fn notice_of(load: Option<TargetLoad>) -> TargetNotice {
    load.map_or_else(TargetNotice::default, TargetNotice::from)
}

fn head(origin: CallOrigin, repeatable: bool, fingerprint: Fingerprint, chain: Chain) -> CallHead {
    let head = CallHead::new("caller", "/unit-0/seat");
    CallHead { origin, is_safe_method: repeatable, fingerprint, chain, ..head }
}
