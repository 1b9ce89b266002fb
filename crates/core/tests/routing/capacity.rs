//! Concurrency and speed of a target as its owner reports them.

use fireflylug_core::ids::CallId;
use fireflylug_core::organisation::Organisation;
use fireflylug_core::resource::{Resource, Route, Service};
use fireflylug_core::routing::{
    CallClass, CallEffect, CapacityReport, ForwardHead, TargetLoad, TargetNotice,
};
use fireflylug_core::{Effect, Instant};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, forward_head, name, record};

const SLOTS: u32 = 6;
const STEP_MS: u64 = 2;
const LOOKUP: (CallClass, f64) = (CallClass(1), 120.0);
const STOCK: (CallClass, f64) = (CallClass(2), 30.0);
const HISTORY: (CallClass, f64) = (CallClass(3), 300.0);

/// The machine of a target, at a time since the start of the test and with a number of calls.
#[derive(Clone, Copy)]
struct Machine {
    /// Work done per time for each running call, in relation to a typical machine.
    speed: fn(now_ms: u64, running: u32) -> f64,
    /// The fourth figure of the load header.
    pace_percent: fn(now_ms: u64) -> Option<u32>,
    /// Time for which a call waits for another service after its work, in milliseconds.
    nested_ms: fn(now_ms: u64) -> u64,
}

const TYPICAL: Machine = Machine { speed: |_, _| 1.0, pace_percent: |_| None, nested_ms: |_| 0 };

struct Running {
    call: CallId,
    class: CallClass,
    work_ms: f64,
    nested_ms: u64,
}

/// The owner of one target and the calls that run there.
struct Owner {
    harness: Harness,
    machine: Machine,
    rng: SmallRng,
    started_at: Instant,
    heads: Vec<(CallId, CallClass, f64)>,
    running: Vec<Running>,
    most_running: usize,
    finished: u32,
    report: CapacityReport,
    /// Usable slots by time, one entry for each step.
    limits: Vec<u32>,
}

impl Owner {
    fn new(machine: Machine, seed: u64) -> Self {
        let mut service = Service::new(name("seatdesk"));
        service.adaptive_limit = Some(true);
        let route = Route::new(name("seats"), "/seats", name("seatdesk"));
        let resources = vec![Resource::Service(service), Resource::Route(route)];
        let mut harness = Harness::new("host-a", resources);
        let mut target = record("seatdesk", "one", "host-a");
        (target.slots, target.connections) = (SLOTS, 100);
        harness.set_target(target);
        let started_at = harness.now;
        Self {
            harness,
            machine,
            rng: SmallRng::seed_from_u64(seed),
            started_at,
            heads: Vec::new(),
            running: Vec::new(),
            most_running: 0,
            finished: 0,
            report: CapacityReport { usable_slots: SLOTS, hold_us: 0 },
            limits: Vec::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.harness.now.since_ms(self.started_at)
    }

    /// Lets calls of these classes arrive for a time, each class with this rate per second.
    fn run_ms(&mut self, ms: u64, classes: &[((CallClass, f64), f64)]) {
        let end = self.harness.now.plus_ms(ms);
        while self.harness.now < end {
            self.harness.pass_ms(STEP_MS);
            for ((class, work_ms), per_s) in classes {
                if self.rng.random_bool(per_s * STEP_MS as f64 / 1_000.0) {
                    let head = forward_head("seatdesk", "one", 1_000);
                    let head = ForwardHead { class: *class, max_queued: 8, ..head };
                    let call = self.harness.arrive_from_proxy(head, None);
                    self.heads.push((call, *class, *work_ms));
                }
            }
            self.work();
            self.handle_effects();
            self.limits.push(self.report.usable_slots);
        }
    }

    fn work(&mut self) {
        let now_ms = self.now_ms();
        let busy = self.running.iter().filter(|running| running.work_ms > 0.0).count();
        let done_ms = (self.machine.speed)(now_ms, busy as u32) * STEP_MS as f64;
        for running in &mut self.running {
            if running.work_ms > 0.0 {
                running.work_ms -= done_ms;
            } else {
                running.nested_ms = running.nested_ms.saturating_sub(STEP_MS);
            }
        }
        let pace_percent = (self.machine.pace_percent)(now_ms);
        let is_done = |running: &Running| running.work_ms <= 0.0 && running.nested_ms == 0;
        while let Some(position) = self.running.iter().position(is_done) {
            let running = self.running.swap_remove(position);
            let notice = TargetNotice { pace_percent, ..TargetNotice::default() };
            self.harness.complete_with(running.call, 1, notice);
            self.finished += 1;
            self.handle_effects_of(Some(running.class));
        }
    }

    fn handle_effects(&mut self) {
        self.handle_effects_of(None);
    }

    fn handle_effects_of(&mut self, class: Option<CallClass>) {
        for effect in self.harness.take_all_effects() {
            match effect {
                Effect::Call(CallEffect::Dispatch { call, .. }) => self.begin(call),
                Effect::Call(CallEffect::Relay {
                    load: Some(TargetLoad { capacity: Some(report), .. }),
                    ..
                }) => {
                    let hold_us = if class == Some(LOOKUP.0) { report.hold_us } else { 0 };
                    let before = self.report.hold_us;
                    self.report = CapacityReport {
                        hold_us: if hold_us > 0 { hold_us } else { before },
                        ..report
                    };
                }
                _ => {}
            }
        }
    }

    fn begin(&mut self, call: CallId) {
        let (_, class, work_ms) = self.heads.iter().copied().find(|head| head.0 == call).unwrap();
        self.heads.retain(|head| head.0 != call);
        let work_ms = work_ms * self.rng.random_range(0.6..1.4);
        let nested_ms = (self.machine.nested_ms)(self.now_ms());
        self.running.push(Running { call, class, work_ms, nested_ms });
        self.most_running = self.most_running.max(self.running.len());
    }

    /// Mean of the usable slots over the last part of the run.
    fn mean_limit(&self, last_ms: u64) -> f64 {
        let steps = (last_ms / STEP_MS) as usize;
        let part = &self.limits[self.limits.len() - steps..];
        part.iter().map(|limit| f64::from(*limit)).sum::<f64>() / part.len() as f64
    }
}

/// More calls than the target can take, and a low load.
const OVERLOAD: [((CallClass, f64), f64); 1] = [(LOOKUP, 70.0)];
const LOW_LOAD: [((CallClass, f64), f64); 1] = [(LOOKUP, 12.0)];

// Guards against a limit that is lowered because the machine is slow, and against a reported time
// that does not show it.
#[rstest]
fn a_slow_target_keeps_its_slots_and_reports_its_speed(
    #[values(0.5, 0.6, 1.0, 1.6)] speed: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let by_speed: fn(u64, u32) -> f64 = match (speed * 10.0) as u32 {
        5 => |_, _| 0.5,
        6 => |_, _| 0.6,
        16 => |_, _| 1.6,
        _ => |_, _| 1.0,
    };
    let mut owner = Owner::new(Machine { speed: by_speed, ..TYPICAL }, seed);

    owner.run_ms(2_000, &LOW_LOAD);
    owner.run_ms(5_000, &OVERLOAD);

    assert!(owner.mean_limit(5_000) > 5.7, "limit {}", owner.mean_limit(5_000));
    let expected_us = LOOKUP.1 * 1_000.0 / speed;
    let ratio = f64::from(owner.report.hold_us) / expected_us;
    assert!((0.8..1.2).contains(&ratio), "reported time differs by {ratio}");
    assert!(owner.most_running <= SLOTS as usize);
}

// Guards against a target that is filled although half of the calls would be finished as fast, and
// against a limit that stays low after the cause has ended.
#[rstest]
fn the_limit_follows_the_point_where_more_calls_finish_no_more_work(#[values(1, 2, 3)] seed: u64) {
    let speed = |now_ms, running| match now_ms {
        ..12_000 => (3.0 / f64::from(running)).min(1.0),
        _ => 1.0,
    };
    let mut owner = Owner::new(Machine { speed, ..TYPICAL }, seed);

    owner.run_ms(2_000, &LOW_LOAD);
    owner.run_ms(10_000, &OVERLOAD);
    let lowered = owner.mean_limit(6_000);
    let finished = owner.finished;
    owner.run_ms(2_000, &OVERLOAD);
    let recovered = owner.limits.iter().rev().take(100).max().copied();
    owner.run_ms(6_000, &OVERLOAD);

    assert!((2.5..5.5).contains(&lowered), "mean limit {lowered}");
    // 25 calls per second is what three slots finish.
    assert!(finished > 250, "{finished} calls in 12 s");
    assert_eq!(recovered, Some(SLOTS));
    assert!(owner.mean_limit(6_000) > 5.7, "limit {}", owner.mean_limit(6_000));
}

// Guards against a limit that is lowered for long because other workloads, a cold start, calls to
// other services or another mix of classes make calls slower.
#[rstest]
#[case::cold_start(Machine { speed: |now_ms, _| if now_ms < 3_000 { 0.5 } else { 1.0 }, ..TYPICAL })]
#[case::neighbour(Machine {
    speed: |now_ms, _| if now_ms % 3_000 > 2_400 { 0.4 } else { 1.0 },
    ..TYPICAL
})]
#[case::neighbour_stated(Machine {
    speed: |now_ms, _| if now_ms % 3_000 > 2_400 { 0.4 } else { 1.0 },
    pace_percent: |now_ms| Some(if now_ms % 3_000 > 2_400 { 250 } else { 100 }),
    ..TYPICAL
})]
#[case::nested_calls(Machine {
    nested_ms: |now_ms| if now_ms % 4_000 > 2_000 { 100 } else { 40 },
    ..TYPICAL
})]
fn the_limit_stays_when_calls_are_slow_for_another_reason(
    #[case] machine: Machine,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut owner = Owner::new(machine, seed);

    owner.run_ms(3_000, &[(STOCK, 10.0), (HISTORY, 4.0), (LOOKUP, 10.0)]);
    owner.run_ms(6_000, &OVERLOAD);
    owner.run_ms(6_000, &[(STOCK, 40.0), (HISTORY, 20.0), (LOOKUP, 20.0)]);

    let limit = owner.mean_limit(12_000);
    assert!(limit > 5.0, "mean limit {limit}");
    let lowered = owner.limits.chunk_by(|a, b| (*a < SLOTS) == (*b < SLOTS));
    let longest = lowered.filter(|part| part[0] < SLOTS).map(<[u32]>::len).max().unwrap_or(0);
    assert!(longest as u64 * STEP_MS < 2_000, "lowered for {longest} steps");
}

// Guards against a report that does not follow a change of the machine within 2 s.
#[test]
fn the_reported_time_follows_a_change_in_both_directions() {
    let speed = |now_ms, _| if (4_000..8_000).contains(&now_ms) { 0.5 } else { 1.0 };
    let mut owner = Owner::new(Machine { speed, ..TYPICAL }, 1);

    let mut reported_ms = Vec::new();
    for until_ms in [4_000, 6_000, 8_000, 10_000] {
        owner.run_ms(until_ms - owner.now_ms(), &[(LOOKUP, 20.0)]);
        reported_ms.push(owner.report.hold_us / 1_000);
    }

    assert!((100..140).contains(&reported_ms[0]), "{reported_ms:?}");
    assert!((190..260).contains(&reported_ms[1]), "{reported_ms:?}");
    assert!((100..155).contains(&reported_ms[3]), "{reported_ms:?}");
}

// Guards against a changed choice in a deployment that declares no organisation and whose targets
// state no pace, and against an owner that reports no capacity in one that does.
#[rstest]
#[case::neither(false, None, None, false)]
#[case::organisation(true, None, None, true)]
#[case::fourth_figure(false, None, Some(100), true)]
#[case::switched_off(true, Some(false), Some(100), false)]
fn the_capacity_is_reported_where_it_applies(
    #[case] has_organisation: bool,
    #[case] adaptive_limit: Option<bool>,
    #[case] pace_percent: Option<u32>,
    #[case] is_reported: bool,
) {
    let service = Service { adaptive_limit, ..Service::new(name("seatdesk")) };
    let mut resources = vec![Resource::Service(service)];
    if has_organisation {
        resources.push(Resource::Organisation(Organisation::new(name("acme"), Vec::new())));
    }
    let mut harness = Harness::new("host-a", resources);
    harness.set_target(record("seatdesk", "one", "host-a"));

    let notice = TargetNotice { pace_percent, ..TargetNotice::default() };
    let call = harness.arrive_forwarded("seatdesk", "one", 1_000);
    harness.complete_with(call, 1, notice);

    let is_report = |effect: &CallEffect| {
        matches!(effect, CallEffect::Relay { load: Some(TargetLoad { capacity: Some(_), .. }), .. })
    };
    assert_eq!(harness.take_effects().iter().any(is_report), is_reported);
}
