//! Which targets an ingress chooses, in simulated time.
//!
//! The reducer's call path runs against targets that are functions of the time.
//! One seed always gives the same figures, whatever else the machine does, so
//! that two ways to choose can be compared by running this on each.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::context::{Context, Identity};
use fireflylug_core::ids::{CallId, TargetId, Version};
use fireflylug_core::membership::{Member, MembershipChange, TargetRecord, TargetState};
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{
    CallEffect, CallEvent, CallHead, CallOrigin, Chain, Outcome, Refusal, RefusalCode, Routing,
    RoutingSettings,
};
use fireflylug_core::slo::Slo;
use fireflylug_core::{Effect, Instant};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::mesh::name;
use super::reducer_cost::identity;
use crate::{Figure, Options, Report};

/// Time from the ingress to a target and back, in microseconds.
const ROUND_TRIP_US: u64 = 400;
/// Slots of each target.
const SLOTS: u32 = 12;
const TARGETS: usize = 6;
/// Time that a healthy target takes on average, in microseconds.
const SERVICE_TIME_US: u64 = 10_000;
const RUNS: u64 = 5;
/// When the target of a scenario gets worse, in milliseconds.
const WORSE_AT_MS: u64 = 10_000;
/// When it is well again, in milliseconds.
const WELL_AT_MS: u64 = 25_000;
/// End of a scenario, in milliseconds.
const END_MS: u64 = 50_000;
/// Time over which the shares of targets are looked at, in milliseconds.
const SLICE_MS: u64 = 1_000;
/// Share of a fair share at which a target counts as back.
const BACK_SHARE: f64 = 0.8;

/// What a target does at a time.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Answers, this many times slower than a healthy one.
    Answers(u64),
    /// Loses its calls.
    Loses,
}

/// What is wrong with the first target between the two times.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    label: &'static str,
    /// Calls a second, in percent of what all targets can answer.
    load_percent: u64,
    worse: Behaviour,
    /// Whether a second service on the same host is what gets worse.
    other_service: bool,
}

const SCENARIOS: [Scenario; 3] = [
    Scenario {
        label: "one target ten times slower",
        load_percent: 40,
        worse: Behaviour::Answers(10),
        other_service: false,
    },
    Scenario {
        label: "one target loses its calls",
        load_percent: 40,
        worse: Behaviour::Loses,
        other_service: false,
    },
    Scenario {
        label: "another service on the host loses its calls",
        load_percent: 80,
        worse: Behaviour::Loses,
        other_service: true,
    },
];

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let mut report = Report::new(options);
    for scenario in SCENARIOS {
        let runs: Vec<Seen> = (0..RUNS).map(|run| simulate(scenario, options.seed + run)).collect();
        let figure = |what: &str, unit, of: &dyn Fn(&Seen) -> f64| {
            let samples: Vec<f64> = runs.iter().map(of).collect();
            Figure::new(format!("{}: {what}", scenario.label), unit, &samples)
        };
        report = report
            .with_figure(figure("p99 meanwhile", "ms", &|seen| seen.p99_ms))
            .with_figure(figure("not answered", "% of calls", &|seen| seen.bad_percent))
            .with_figure(figure("share of the target meanwhile", "of fair", &|seen| seen.share))
            .with_figure(figure("back after", "s", &|seen| seen.back_after_s));
    }
    Ok(report.with_note("Simulated time: the figures depend on the seed alone."))
}

/// What was seen of one service while its first target was not well.
struct Seen {
    p99_ms: f64,
    bad_percent: f64,
    share: f64,
    back_after_s: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Arrives,
    Ends { call: u64, attempt: u8, lost: bool },
}

struct Simulation {
    scenario: Scenario,
    routing: Routing,
    slo: Slo,
    me: Identity,
    rng: SmallRng,
    now: Instant,
    due: BinaryHeap<Reverse<(Instant, u64, Due)>>,
    next_event: u64,
    next_call: u64,
    /// When the slots of each target become free.
    slots: BTreeMap<TargetId, Vec<Instant>>,
    /// Arrivals of calls of the looked-at service.
    arrivals: BTreeMap<u64, Instant>,
    times: Histogram<u64>,
    counted: u64,
    bad: u64,
    /// Attempts by second at the first target, and at all.
    attempts: BTreeMap<u64, (u64, u64)>,
}

fn simulate(scenario: Scenario, seed: u64) -> Seen {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.push(Instant::ZERO, Due::Arrives);
    while let Some(Reverse((at, _, due))) = simulation.due.pop()
        && at.as_ms() < END_MS
    {
        simulation.pass_to(at);
        simulation.take(due);
    }
    simulation.seen()
}

fn declared() -> Configuration {
    let version = Version(1);
    let quick = Policy::new(name("quick")).with_deadline_ms(2_000);
    let mut all = vec![Resource::Policy(quick)];
    for service in ["one", "other"] {
        let path = format!("/{service}");
        all.push(Resource::Service(Service::new(name(service)).with_policy(name("quick"))));
        all.push(Resource::Route(Route::new(name(service), &path, name(service))));
    }
    let stored = |resource: Resource| {
        (resource.key(), StoredResource { version, resource: Arc::new(resource) })
    };
    Configuration::new(version, all.into_iter().map(stored).collect())
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut simulation = Self {
            scenario,
            routing: Routing::new(RoutingSettings::default()),
            slo: Slo::new(),
            me: identity("ingress"),
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::ZERO,
            due: BinaryHeap::new(),
            next_event: 0,
            next_call: 0,
            slots: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            times: Histogram::new(3).expect("the digits are in range"),
            counted: 0,
            bad: 0,
            attempts: BTreeMap::new(),
        };
        simulation.with(|routing, _, cx| routing.configure(cx, Arc::new(declared())));
        for (host, service) in (0..TARGETS).flat_map(|host| [(host, "one"), (host, "other")]) {
            simulation.add_target(host, service);
        }
        simulation
    }

    fn add_target(&mut self, host: usize, service: &str) {
        let member = Member::of(&identity(&format!("host-{host}")));
        let record = TargetRecord {
            target: TargetId { service: name(service), id: name(&format!("t{host}")) },
            owner: member.id,
            incarnation: 1,
            sequence: 1,
            address: member.addresses.calls,
            slots: SLOTS,
            connections: 120,
            state: TargetState::Ready,
            load_percent: None,
            cold_ms: 0,
        };
        self.slots.insert(record.target.clone(), vec![Instant::ZERO; SLOTS as usize]);
        self.with(|routing, _, cx| {
            routing.membership_changed(cx, &MembershipChange::Member(member));
            routing.membership_changed(cx, &MembershipChange::Target(record));
        });
    }

    /// Lets the reducer do something, and carries its effects out.
    fn with(&mut self, run: impl FnOnce(&mut Routing, &mut Slo, &mut Context<'_>)) {
        let mut effects = Vec::new();
        let mut cx =
            Context { now: self.now, rng: &mut self.rng, me: &self.me, effects: &mut effects };
        run(&mut self.routing, &mut self.slo, &mut cx);
        for effect in effects {
            if let Effect::Call(effect) = effect {
                self.carry_out(effect);
            }
        }
    }

    fn push(&mut self, at: Instant, due: Due) {
        self.next_event += 1;
        self.due.push(Reverse((at, self.next_event, due)));
    }

    fn pass_to(&mut self, at: Instant) {
        while self.routing.next_deadline() <= at {
            self.now = self.now.max(self.routing.next_deadline());
            self.with(|routing, slo, cx| routing.tick(cx, slo));
        }
        self.now = at;
    }

    fn is_worse(&self) -> bool {
        (WORSE_AT_MS..WELL_AT_MS).contains(&self.now.as_ms())
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Arrives => self.arrive(),
            Due::Ends { call, attempt, lost: true } => {
                let refusal =
                    Refusal { code: RefusalCode::ConnectionLost, outcome: Outcome::Unknown };
                self.fail(call, attempt, refusal);
            }
            Due::Ends { call, attempt, lost: false } => {
                let call = CallId(call);
                let answered = CallEvent::Answered { call, attempt, status: 200, load: None };
                self.step(answered);
                self.step(CallEvent::Ended { call, attempt, whole: true });
            }
        }
    }

    fn step(&mut self, event: CallEvent) {
        self.with(|routing, slo, cx| routing.step(cx, slo, event));
    }

    fn fail(&mut self, call: u64, attempt: u8, refusal: Refusal) {
        let call = CallId(call);
        self.step(CallEvent::Failed { call, attempt, refusal, replayable: true, load: None });
    }

    /// A call of each service arrives; the next ones follow at random times.
    fn arrive(&mut self) {
        let capacity_per_s = TARGETS as u64 * u64::from(SLOTS) * 1_000_000 / SERVICE_TIME_US;
        let per_s = capacity_per_s * self.scenario.load_percent / 100;
        let pause_us = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / per_s as f64;
        self.push(self.now.plus_us(pause_us as u64), Due::Arrives);
        for path in ["/one", "/other"] {
            if path == "/other" && !self.scenario.other_service {
                continue;
            }
            let call = self.next_call;
            self.next_call += 1;
            if path == "/one" {
                self.arrivals.insert(call, self.now);
            }
            let head = CallHead {
                origin: CallOrigin::Caller,
                host: "".into(),
                path: path.into(),
                is_safe_method: true,
                body_bytes: Some(0),
                is_replayable: true,
                chain: Chain::default(),
                transit: None,
            };
            self.step(CallEvent::Arrived { call: CallId(call), head });
        }
    }

    fn carry_out(&mut self, effect: CallEffect) {
        match effect {
            CallEffect::Forward { call, attempt, head, .. } => {
                self.begin(call.0, attempt, &head.target);
            }
            CallEffect::Relay { call, .. } => self.count(call.0, true),
            CallEffect::Refuse { call, .. } => self.count(call.0, false),
            CallEffect::Cancel { call } => {
                // The attempt that was dropped is the one under way.
                let refusal =
                    Refusal { code: RefusalCode::DeadlineExceeded, outcome: Outcome::Unknown };
                (1..=8).for_each(|attempt| self.fail(call.0, attempt, refusal));
            }
            _ => {}
        }
    }

    fn count(&mut self, call: u64, is_good: bool) {
        let Some(arrived_at) = self.arrivals.remove(&call) else { return };
        if self.is_worse() {
            self.counted += 1;
            self.bad += u64::from(!is_good);
            self.times += self.now.since_us(arrived_at);
        }
    }

    fn begin(&mut self, call: u64, attempt: u8, target: &TargetId) {
        if target.service.as_str() == "one" {
            let second = self.now.as_ms() / SLICE_MS;
            let (first, all) = self.attempts.entry(second).or_default();
            *first += u64::from(target.id.as_str() == "t0");
            *all += 1;
        }
        let worse_service = if self.scenario.other_service { "other" } else { "one" };
        let is_worse = self.is_worse()
            && target.id.as_str() == "t0"
            && target.service.as_str() == worse_service;
        let behaviour = if is_worse { self.scenario.worse } else { Behaviour::Answers(1) };
        let (factor, lost) = match behaviour {
            Behaviour::Answers(factor) => (factor, false),
            Behaviour::Loses => (1, true),
        };
        let service_us =
            self.rng.random_range(SERVICE_TIME_US / 2..SERVICE_TIME_US * 3 / 2) * factor;
        let arrives_at = self.now.plus_us(ROUND_TRIP_US / 2);
        let slots = self.slots.get_mut(target).expect("the target is known");
        let slot = slots.iter_mut().min().expect("the target has slots");
        let begins_at = arrives_at.max(*slot);
        *slot = begins_at.plus_us(service_us);
        let ends_at = slot.plus_us(ROUND_TRIP_US / 2);
        self.push(ends_at, Due::Ends { call, attempt, lost });
    }

    fn seen(&self) -> Seen {
        let fair = 1.0 / TARGETS as f64;
        let share = |from_ms: u64, to_ms: u64| {
            let slices = self.attempts.range(from_ms / SLICE_MS..to_ms / SLICE_MS);
            let (first, all) = slices.fold((0, 0), |sum, (_, n)| (sum.0 + n.0, sum.1 + n.1));
            first as f64 / all as f64 / fair
        };
        let is_back = |at_ms: &u64| share(*at_ms, at_ms + SLICE_MS) >= BACK_SHARE;
        let back_at_ms = (WELL_AT_MS..END_MS).step_by(SLICE_MS as usize).find(is_back);
        Seen {
            p99_ms: self.times.value_at_percentile(99.0) as f64 / 1_000.0,
            bad_percent: 100.0 * self.bad as f64 / self.counted as f64,
            share: share(WORSE_AT_MS + SLICE_MS, WELL_AT_MS),
            back_after_s: (back_at_ms.unwrap_or(END_MS) - WELL_AT_MS) as f64 / 1_000.0,
        }
    }
}
