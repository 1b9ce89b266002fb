//! Closed model of services whose requests make calls to each other, without a network: one
//! proxy owns all targets, targets work for a while, and callers return after a refusal or error.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

use fireflylug_core::Instant;
use fireflylug_core::ids::CallId;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, Outcome, RoutingSettings, TargetNotice};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::harness::{Harness, name, record};

/// End of the model, in seconds.
pub const SECONDS: usize = 16;
/// When the overload lasts, in seconds.
pub const OVERLOAD: Range<usize> = 4..8;
/// Deadline of requests, which is the patience of their callers, in milliseconds.
const PATIENCE_MS: u64 = 2_000;
/// Time after which a caller repeats a request that ended with an error, in milliseconds.
const REPEAT_AFTER_MS: u64 = 200;

/// A service of the model. Its targets have 9 slots.
pub struct Kind {
    pub name: &'static str,
    pub targets: usize,
    /// New requests per second outside of the overload, and during it.
    pub rates: [u64; 2],
    pub work_ms: u64,
    /// Work of a call that a request of another service makes, in milliseconds.
    pub nested_ms: u64,
    /// Service that each request calls, and how often, one call after the other.
    pub calls: Option<(usize, u64)>,
}

/// Ends of requests within one second, by service.
#[derive(Clone, Debug, Default)]
pub struct Second {
    pub succeeded: [u32; 2],
    pub failed: [u32; 2],
    pub refused: [u32; 2],
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Return {
        kind: usize,
        until_ms: u64,
    },
    /// A target has done the part of its work before its next nested call or its answer.
    PartDone(CallId),
}

struct Open {
    kind: usize,
    parent: Option<CallId>,
    child: Option<CallId>,
    /// Number of the attempt that runs, or 0.
    attempt: u8,
    calls_left: u64,
    part_ms: u64,
    /// When the caller gives up.
    until_ms: u64,
}

pub struct Model {
    harness: Harness,
    kinds: Vec<Kind>,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    next_event: u64,
    open: BTreeMap<CallId, Open>,
    pub seconds: Vec<Second>,
    /// Seconds in which requests to the first service fail for no reason, and their share in
    /// percent.
    pub faults: (Range<usize>, u32),
}

impl Model {
    pub fn new(kinds: Vec<Kind>, limit_failing_work: bool, seed: u64) -> Self {
        let mut harness = Harness::without_configuration("host-a", RoutingSettings::default());
        let policy = |policy: &str, deadline_ms, target_latency_ms| {
            let policy = Policy::new(name(policy)).with_deadline_ms(deadline_ms);
            Resource::Policy(policy.with_target_latency_ms(target_latency_ms).with_priority(1))
        };
        let mut all = vec![policy("request", PATIENCE_MS as u32, 800), policy("nested", 450, 130)];
        for kind in &kinds {
            let service = name(kind.name);
            let mut of_kind = Service::new(service.clone()).with_policy(name("request"));
            of_kind.limit_failing_work = limit_failing_work;
            all.push(Resource::Service(of_kind));
            for (prefix, policy) in [("request", "request"), ("nested", "nested")] {
                let route = name(&format!("{prefix}-{service}"));
                let path = format!("/{prefix}-{service}");
                let route = Route::new(route, &path, service.clone()).with_policy(name(policy));
                all.push(Resource::Route(route));
            }
        }
        harness.configure(all);
        for kind in &kinds {
            for i in 0..kind.targets {
                let mut target = record(kind.name, &format!("t{i}"), "host-a");
                (target.slots, target.connections) = (9, 9);
                harness.set_target(target);
            }
        }
        let mut model = Self {
            harness,
            kinds,
            rng: SmallRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            next_event: 0,
            open: BTreeMap::new(),
            seconds: vec![Second::default(); SECONDS],
            faults: (0..0, 0),
        };
        (0..model.kinds.len()).for_each(|kind| model.schedule(1, Event::Arrive(kind)));
        model
    }

    pub fn run(mut self) -> Vec<Second> {
        while let Some(Reverse((at, order, event))) = self.events.pop()
            && at.as_ms() < SECONDS as u64 * 1_000
        {
            let timer = self.harness.routing.next_deadline();
            let next = at.min(timer.max(self.harness.now.plus_ms(1)));
            self.harness.pass_ms(next.since_us(self.harness.now).div_ceil(1_000));
            if next < at {
                self.events.push(Reverse((at, order, event)));
            } else {
                self.handle(event);
            }
            self.handle_effects();
        }
        self.seconds
    }

    fn now_s(&self) -> usize {
        ((self.harness.now.as_ms() / 1_000) as usize).min(SECONDS - 1)
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.next_event += 1;
        let at = Instant::from_ms(self.harness.now.as_ms() + after_ms);
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn handle(&mut self, event: Event) {
        let now_ms = self.harness.now.as_ms();
        match event {
            Event::Arrive(kind) => {
                let rate = self.kinds[kind].rates[usize::from(OVERLOAD.contains(&self.now_s()))];
                if let Some(max_gap_ms) = 2_000_u64.checked_div(rate) {
                    let gap_ms = self.rng.random_range(0..=max_gap_ms);
                    self.schedule(gap_ms, Event::Arrive(kind));
                    self.request(kind, now_ms + PATIENCE_MS);
                }
            }
            Event::Return { kind, until_ms } => self.request(kind, until_ms),
            Event::PartDone(call) => self.part_done(call),
        }
    }

    fn request(&mut self, kind: usize, until_ms: u64) {
        let path = format!("/request-{}", self.kinds[kind].name);
        self.arrive(&path, kind, None, until_ms);
    }

    fn arrive(&mut self, path: &str, kind: usize, parent: Option<CallId>, until_ms: u64) -> CallId {
        let call = self.harness.arrive(path, false);
        let is_request = parent.is_none();
        let of_kind = &self.kinds[kind];
        let work_ms = if is_request { of_kind.work_ms } else { of_kind.nested_ms };
        let work_ms = self.rng.random_range(work_ms * 3 / 4..=work_ms * 5 / 4);
        let calls_left = of_kind.calls.filter(|_| is_request).map_or(0, |(_, calls)| calls);
        let part_ms = work_ms / (calls_left + 1);
        let (child, attempt) = (None, 0);
        let open = Open { kind, parent, child, attempt, calls_left, part_ms, until_ms };
        self.open.insert(call, open);
        call
    }

    fn part_done(&mut self, id: CallId) {
        let is_faulty =
            self.faults.0.contains(&self.now_s()) && self.rng.random_range(0..100) < self.faults.1;
        let Some(call) = self.open.get_mut(&id) else { return };
        if call.parent.is_none() && call.kind == 0 && is_faulty {
            return self.answer(id, false);
        }
        if call.calls_left == 0 {
            return self.answer(id, true);
        }
        call.calls_left -= 1;
        let (callee, _) = self.kinds[call.kind].calls.expect("the service makes calls");
        let path = format!("/nested-{}", self.kinds[callee].name);
        let child = self.arrive(&path, callee, Some(id), 0);
        self.open.get_mut(&id).expect("the call is open").child = Some(child);
    }

    /// A target answers a call.
    fn answer(&mut self, call: CallId, is_success: bool) {
        let Some(attempt) = self.open.get(&call).map(|open| open.attempt) else { return };
        let status = if is_success { 200 } else { 500 };
        let notice = TargetNotice::default();
        self.harness.step(CallEvent::Answered { call, attempt, status, notice });
        self.harness.step(CallEvent::Ended { call, attempt, is_complete: true });
        self.ended(call, is_success, None);
    }

    fn ended(&mut self, id: CallId, is_success: bool, refused_ms: Option<u32>) {
        let Some(call) = self.open.remove(&id) else { return };
        if let Some(child) = call.child
            && self.open.remove(&child).is_some()
        {
            self.harness.step(CallEvent::CallerGone { call: child });
        }
        if let Some(parent) = call.parent {
            let Some(request) = self.open.get_mut(&parent) else { return };
            request.child = None;
            let part_ms = request.part_ms;
            return if is_success {
                self.schedule(part_ms, Event::PartDone(parent));
            } else {
                self.answer(parent, false);
            };
        }
        let (kind, now_ms, now_s) = (call.kind, self.harness.now.as_ms(), self.now_s());
        let left_ms = call.until_ms.saturating_sub(now_ms);
        let second = &mut self.seconds[now_s];
        match refused_ms {
            _ if is_success => second.succeeded[kind] += 1,
            Some(wait_ms) => {
                second.refused[kind] += 1;
                let wait_ms = u64::from(wait_ms).min(left_ms / 3);
                if left_ms > 100 {
                    self.schedule(wait_ms, Event::Return { kind, until_ms: call.until_ms });
                }
            }
            None => {
                second.failed[kind] += 1;
                let until_ms = now_ms + REPEAT_AFTER_MS + PATIENCE_MS;
                self.schedule(REPEAT_AFTER_MS, Event::Return { kind, until_ms });
            }
        }
    }

    fn handle_effects(&mut self) {
        for effect in self.harness.take_effects() {
            match effect {
                CallEffect::Dispatch { call, attempt, .. } => {
                    let Some(open) = self.open.get_mut(&call) else { continue };
                    open.attempt = attempt;
                    let part_ms = open.part_ms;
                    self.schedule(part_ms, Event::PartDone(call));
                }
                CallEffect::Refuse { call, refusal, retry_after_ms, .. } => {
                    let is_not_run = refusal.outcome == Outcome::NotRun;
                    self.ended(call, false, is_not_run.then(|| retry_after_ms.unwrap_or(100)));
                    self.handle_effects();
                }
                _ => {}
            }
        }
    }
}
