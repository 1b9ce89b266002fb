//! The edges of the call path and the targets, in memory; and what must hold of calls.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use fireflylug_core::Event;
use fireflylug_core::api::ApiRequest;
use fireflylug_core::ids::{CallId, Name, NodeId, TargetId};
use fireflylug_core::membership::TargetAnnouncement;
use fireflylug_core::routing::{
    CallEffect, CallEvent, CallHead, CallOrigin, Chain, ForwardHead, Outcome, Refusal, RefusalCode,
};
use rand::Rng;

use crate::oracle::unit_name;
use crate::world::{Item, World};

/// Targets of the world, each of unit 0's service at one host.
pub const TARGETS: usize = 4;

/// Lease of an announcement, in milliseconds.
const LEASE_MS: u32 = 2_000;

/// Time after a departure in which new work may still arrive, in microseconds.
const DEPARTURE_US: u64 = 3_000_000;

/// Something of a call or a target that is due.
#[derive(Clone)]
pub enum CallItem {
    /// A target renews its lease.
    Renew { target: usize, generation: u32 },
    /// A forwarded call arrives at its owner.
    Forwarded { leg: CallId, attempt: u8, owner: NodeId, head: ForwardHead, chain: Chain },
    /// A call arrives at a target.
    Run { leg: CallId, attempt: u8, target: usize },
    /// A target has answered.
    Answer { leg: CallId, attempt: u8 },
    /// A leg must hear of an event.
    Tell { leg: CallId, event: CallEvent },
}

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    Absent,
    Ready,
    Departing { told_at_us: u64 },
}

struct Target {
    standing: Standing,
    generation: u32,
}

/// One caller's call.
struct Call {
    repeatable: bool,
    runs: u32,
    told: Option<Outcome>,
}

/// A call at one process.
struct Leg {
    call: usize,
    host: usize,
    epoch: u64,
    /// The leg that forwarded the call here, with its attempt.
    upstream: Option<(CallId, u8)>,
    attempt: u8,
    cancelled: bool,
    /// Whether the process was told that the caller hung up, and waits for nothing.
    is_given_up: bool,
    answered: Option<u8>,
    /// The leg at the owner of the present attempt.
    downstream: Option<CallId>,
}

/// Every call and target of the world.
pub struct Calls {
    targets: Vec<Target>,
    calls: Vec<Call>,
    legs: BTreeMap<CallId, Leg>,
    next_leg: u64,
}

impl Calls {
    /// Makes a state without calls and targets.
    pub fn new() -> Self {
        let absent = || Target { standing: Standing::Absent, generation: 0 };
        let targets = std::iter::repeat_with(absent).take(TARGETS).collect();
        Self { targets, calls: Vec::new(), legs: BTreeMap::new(), next_leg: 0 }
    }

    fn add_leg(
        &mut self,
        call: usize,
        host: usize,
        epoch: u64,
        up: Option<(CallId, u8)>,
    ) -> CallId {
        self.next_leg += 1;
        let id = CallId(self.next_leg);
        let leg = Leg {
            call,
            host,
            epoch,
            upstream: up,
            attempt: 0,
            cancelled: false,
            is_given_up: false,
            answered: None,
            downstream: None,
        };
        self.legs.insert(id, leg);
        id
    }

    /// The caller of a call hears how it ended.
    fn tell(&mut self, call: usize, outcome: Outcome) {
        let call = &mut self.calls[call];
        assert!(call.told.is_none(), "promise 4: a call was answered twice");
        let ran_unsaid = outcome == Outcome::NotRun && call.runs > 0;
        assert!(!ran_unsaid, "promise 5: reported as not run, but it ran");
        call.told = Some(outcome);
    }

    fn run(&mut self, call: usize, target: usize, now_us: u64) {
        let call = &mut self.calls[call];
        call.runs += 1;
        let not_run = call.told == Some(Outcome::NotRun);
        assert!(!not_run, "promise 5: ran after it was reported as not run");
        assert!(call.repeatable || call.runs == 1, "promise 6: a call ran {} times", call.runs);
        if let Standing::Departing { told_at_us } = self.targets[target].standing {
            let late = now_us > told_at_us + DEPARTURE_US;
            assert!(!late, "promise 7: target {target} got new work after it departed");
        }
    }

    /// A process has ended: its legs hear nothing more.
    pub fn host_ended(&mut self, host: usize) {
        self.legs.retain(|_, leg| leg.host != host);
    }

    /// A process stopped gracefully.
    pub fn check_stopped(&self, host: usize) {
        let cut = self.legs.values().filter(|leg| leg.host == host && !leg.is_given_up).count();
        assert_eq!(cut, 0, "promise 8: the stop of host {host} cut calls off");
    }

    /// Everything has settled: no caller still waits at a process that runs.
    pub fn check_settled(&self) {
        let waiting = self.legs.values().filter(|leg| leg.upstream.is_none()).count();
        assert_eq!(waiting, 0, "promise 4: calls were never answered");
    }
}

impl World {
    /// A caller calls at a host; nothing where it is down.
    pub fn call(&mut self, host: usize, repeatable: bool) {
        if !self.is_up(host) {
            return;
        }
        self.calls.calls.push(Call { repeatable, runs: 0, told: None });
        let call = self.calls.calls.len() - 1;
        let leg = self.calls.add_leg(call, host, self.hosts[host].epoch, None);
        let head = head(CallOrigin::Caller, repeatable, Chain::default());
        self.submit(host, Event::Call(CallEvent::Arrived { call: leg, head }));
    }

    /// A target comes up and announces itself.
    pub fn target_up(&mut self, target: usize) {
        self.set_target(target, Standing::Ready);
    }

    /// A target tells its owner that it takes no new work. Nothing where the owner is down.
    pub fn target_departs(&mut self, target: usize, leaves: bool) {
        let present = self.calls.targets[target].standing == Standing::Ready;
        if !present || !self.is_up(owner_of(target)) {
            return;
        }
        self.set_target(target, Standing::Departing { told_at_us: self.now_us });
        if leaves {
            self.calls.targets[target].generation += 1;
            self.ask(owner_of(target), ApiRequest::Leave(target_id(target)));
        }
    }

    /// A target dies without a word.
    pub fn target_dies(&mut self, target: usize) {
        self.calls.targets[target].standing = Standing::Absent;
        self.calls.targets[target].generation += 1;
    }

    fn set_target(&mut self, target: usize, standing: Standing) {
        let state = &mut self.calls.targets[target];
        state.standing = standing;
        state.generation += 1;
        let generation = state.generation;
        self.run_call_item(CallItem::Renew { target, generation });
    }

    /// Carries out what is due of a call or a target.
    pub fn run_call_item(&mut self, item: CallItem) {
        match item {
            CallItem::Renew { target, generation } => self.renew(target, generation),
            CallItem::Forwarded { leg, attempt, owner, head, chain } => {
                self.forwarded(leg, attempt, owner, head, chain);
            }
            CallItem::Run { leg, attempt, target } => self.run_at_target(leg, attempt, target),
            CallItem::Answer { leg, attempt } => {
                if let Some(state) = self.calls.legs.get_mut(&leg) {
                    state.answered = Some(attempt);
                }
                let answered = CallEvent::Answered { call: leg, attempt, status: 200, load: None };
                self.tell_leg(leg, answered);
            }
            CallItem::Tell { leg, event } => self.tell_leg(leg, event),
        }
    }

    fn renew(&mut self, target: usize, generation: u32) {
        let state = &self.calls.targets[target];
        if state.generation != generation || state.standing == Standing::Absent {
            return;
        }
        let announcement = TargetAnnouncement {
            target: target_id(target),
            address: target_address(target),
            slots: 2,
            connections: 10,
            lease_ms: LEASE_MS,
            load_percent: None,
            draining: state.standing != Standing::Ready,
            cold_ms: 0,
            order: None,
        };
        self.ask(owner_of(target), ApiRequest::Announce(announcement));
        let renew_us = u64::from(LEASE_MS) * 1_000 / 3;
        self.push(renew_us, Item::Call(CallItem::Renew { target, generation }));
    }

    fn tell_leg(&mut self, id: CallId, event: CallEvent) {
        let Some(leg) = self.calls.legs.get_mut(&id) else { return };
        leg.is_given_up |= matches!(event, CallEvent::CallerGone { .. });
        let host = leg.host;
        if self.hosts[host].epoch == leg.epoch {
            self.submit(host, Event::Call(event));
        }
    }

    /// Does what a process says of a call.
    pub fn call_effect(&mut self, host: usize, effect: CallEffect) {
        match effect {
            CallEffect::Forward { call, attempt, owner, head, chain, .. } => {
                self.begin_attempt(call, attempt);
                let forwarded = CallItem::Forwarded { leg: call, attempt, owner, head, chain };
                self.push_call(forwarded);
            }
            CallEffect::Dispatch { call, attempt, target, .. } => {
                self.begin_attempt(call, attempt);
                let target = (0..TARGETS).find(|index| target_id(*index) == target);
                let target = target.expect("promise 2: a call went to a target that never was");
                assert_eq!(owner_of(target), host, "promise 2: a call went past the owner");
                self.push_call(CallItem::Run { leg: call, attempt, target });
            }
            CallEffect::Relay { call, .. } => self.relay(call),
            CallEffect::Cancel { call } => self.cancel(call),
            CallEffect::Refuse { call, refusal, .. } => self.refuse(call, refusal),
            CallEffect::RelayEarlier { .. } => {
                panic!("no policy here tries server errors elsewhere")
            }
            CallEffect::Abort { call } => self.refuse(call, LOST),
            CallEffect::CloseKeepAlive | CallEffect::CloseListeners | CallEffect::CloseIdle => {}
        }
    }

    fn begin_attempt(&mut self, leg: CallId, attempt: u8) {
        let leg = self.calls.legs.get_mut(&leg).expect("a call in flight");
        leg.attempt = attempt;
        leg.cancelled = false;
        leg.downstream = None;
    }

    fn push_call(&mut self, item: CallItem) {
        let delay_us = self.network.delay_us(&mut self.rng);
        self.push(delay_us, Item::Call(item));
    }

    fn forwarded(
        &mut self,
        up: CallId,
        attempt: u8,
        owner: NodeId,
        head: ForwardHead,
        chain: Chain,
    ) {
        let Some(leg) = self.calls.legs.get(&up) else { return };
        let owner = self.hosts.iter().position(|host| host.id == owner).expect("a host");
        if leg.cancelled || leg.attempt != attempt {
            return;
        }
        if !self.is_up(owner) || !self.network.reaches(leg.host, owner) {
            return self.push_failed(up, attempt, UNREACHABLE);
        }
        let (call, repeatable) = (leg.call, head.repeatable);
        let down = self.calls.add_leg(call, owner, self.hosts[owner].epoch, Some((up, attempt)));
        self.calls.legs.get_mut(&up).expect("found above").downstream = Some(down);
        let head = self::head(CallOrigin::Proxy(head), repeatable, chain);
        self.submit(owner, Event::Call(CallEvent::Arrived { call: down, head }));
    }

    fn run_at_target(&mut self, leg: CallId, attempt: u8, target: usize) {
        let Some(state) = self.calls.legs.get(&leg) else { return };
        // A cancelled call may have left before it was cancelled.
        let superseded = state.attempt != attempt || state.cancelled;
        if superseded && self.rng.random_bool(0.5) {
            return;
        }
        let call = state.call;
        if self.calls.targets[target].standing == Standing::Absent {
            return self.push_failed(leg, attempt, UNREACHABLE);
        }
        self.calls.run(call, target, self.now_us);
        if self.rng.random_ratio(1, 20) {
            return self.push_failed(leg, attempt, LOST);
        }
        let slow = self.rng.random_ratio(1, 4);
        let service_us = if slow { 100_000..2_500_000 } else { 1_000..100_000 };
        let service_us = self.rng.random_range(service_us);
        self.push(service_us, Item::Call(CallItem::Answer { leg, attempt }));
    }

    fn push_failed(&mut self, leg: CallId, attempt: u8, refusal: Refusal) {
        let event = CallEvent::Failed { call: leg, attempt, refusal, replayable: true, load: None };
        self.push_call(CallItem::Tell { leg, event });
    }

    /// The answer passes: the leg ends, and the one before it hears of the answer.
    fn relay(&mut self, id: CallId) {
        let Some(leg) = self.calls.legs.get(&id) else { return };
        let own = leg.answered == Some(leg.attempt) && !leg.cancelled;
        assert!(own, "promise 4: the answer of another attempt was passed on");
        let ended = CallEvent::Ended { call: id, attempt: leg.attempt, whole: true };
        match leg.upstream {
            Some((leg, attempt)) => self.push_call(CallItem::Answer { leg, attempt }),
            None => self.calls.tell(leg.call, Outcome::Ran),
        }
        // The leg is done once its process has heard of the end.
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
        leg.cancelled = true;
        let attempt = leg.attempt;
        if let Some(down) = leg.downstream.take() {
            self.push_call(CallItem::Tell {
                leg: down,
                event: CallEvent::CallerGone { call: down },
            });
        }
        self.push_failed(id, attempt, LOST);
    }

    fn refuse(&mut self, id: CallId, refusal: Refusal) {
        let Some(leg) = self.calls.legs.remove(&id) else { return };
        match leg.upstream {
            Some((up, attempt)) => self.push_failed(up, attempt, refusal),
            None => self.calls.tell(leg.call, refusal.outcome),
        }
    }
}

const UNREACHABLE: Refusal = Refusal { code: RefusalCode::Unreachable, outcome: Outcome::NotRun };

const LOST: Refusal = Refusal { code: RefusalCode::ConnectionLost, outcome: Outcome::Unknown };

fn head(origin: CallOrigin, repeatable: bool, chain: Chain) -> CallHead {
    CallHead {
        origin,
        host: "caller".into(),
        path: "/unit-0/seat".into(),
        is_safe_method: repeatable,
        body_bytes: Some(0),
        is_replayable: true,
        chain,
        transit: None,
    }
}

/// The host whose process owns a target.
pub fn owner_of(target: usize) -> usize {
    // The owners are proxies without a disk and one control replica.
    [3, 4, 6, 0][target % 4]
}

fn target_id(target: usize) -> TargetId {
    let id = Name::new(format!("target-{target}")).expect("in form");
    TargetId { service: unit_name(0), id }
}

fn target_address(target: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, target as u8), 80))
}
