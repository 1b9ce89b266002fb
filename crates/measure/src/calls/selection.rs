//! Which targets an ingress chooses, in simulated time.
//!
//! The call path of the reducer runs against simulated targets. A seed always gives
//! the same figures, independent of the load of the machine, so two selection
//! algorithms can be compared by running this measurement with each.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use fireflylug_core::config::{Configuration, StoredResource};
use fireflylug_core::context::{Context, Identity};
use fireflylug_core::ids::{CallId, TargetId, Version};
use fireflylug_core::membership::{Member, MembershipChange, TargetRecord, TargetState};
use fireflylug_core::quota::Quotas;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{
    CallEffect, CallEvent, CallHead, Outcome, Refusal, RefusalCode, Routing, RoutingSettings,
    TargetNotice,
};
use fireflylug_core::slo::Slo;
use fireflylug_core::{Effect, Instant};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::mesh::name;
use super::reducer_cost::identity;
use crate::{Figure, Options, Report};

/// Round-trip time between the ingress and a target, in microseconds.
const ROUND_TRIP_US: u64 = 400;
/// Number of slots of each target.
const SLOTS: u32 = 12;
const TARGETS: usize = 6;
/// Mean duration of a call at a healthy target, in microseconds.
const SERVICE_TIME_US: u64 = 10_000;
const RUNS: u64 = 5;
/// Start of the fault, in milliseconds.
const FAULT_START_MS: u64 = 10_000;
/// End of the fault, in milliseconds.
const FAULT_END_MS: u64 = 25_000;
/// End of the simulation, in milliseconds.
const END_MS: u64 = 50_000;
/// Interval over which the shares of targets are computed, in milliseconds.
const SLICE_MS: u64 = 1_000;
/// Fraction of its fair share at which a target counts as recovered.
const RECOVERED_SHARE: f64 = 0.8;

/// Behaviour of a target.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Responds, slower than a healthy target by this factor.
    Answers(u64),
    /// Loses the connections of its calls.
    Loses,
}

/// A fault of the first target.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    label: &'static str,
    /// Load, in percent of the capacity of all targets.
    load_percent: u64,
    fault: Behaviour,
    /// Whether the fault affects a second service on the same host instead.
    is_other_service: bool,
}

const SCENARIOS: [Scenario; 3] = [
    Scenario {
        label: "one target ten times slower",
        load_percent: 40,
        fault: Behaviour::Answers(10),
        is_other_service: false,
    },
    Scenario {
        label: "one target loses its calls",
        load_percent: 40,
        fault: Behaviour::Loses,
        is_other_service: false,
    },
    Scenario {
        label: "another service on the host loses its calls",
        load_percent: 80,
        fault: Behaviour::Loses,
        is_other_service: true,
    },
];

/// Runs the measurement.
pub async fn run(options: &Options) -> eyre::Result<Report> {
    let mut report = Report::new(options);
    for scenario in SCENARIOS {
        let runs: Vec<Results> =
            (0..RUNS).map(|run| simulate(scenario, options.seed + run)).collect();
        let figure = |what: &str, unit, of: &dyn Fn(&Results) -> f64| {
            let samples: Vec<f64> = runs.iter().map(of).collect();
            Figure::new(format!("{}: {what}", scenario.label), unit, &samples)
        };
        report = report
            .with_figure(figure("p99 meanwhile", "ms", &|results| results.p99_ms))
            .with_figure(figure("not answered", "% of calls", &|results| results.failed_percent))
            .with_figure(figure("share of the target meanwhile", "of fair", &|results| {
                results.share
            }))
            .with_figure(figure("back after", "s", &|results| results.recovered_after_s));
    }
    Ok(report.with_note("Simulated time: the figures depend on the seed alone."))
}

/// Results for one service around the fault of its first target.
struct Results {
    p99_ms: f64,
    failed_percent: f64,
    share: f64,
    recovered_after_s: f64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrives,
    Ends { call: u64, attempt: u8, lost: bool },
}

struct Simulation {
    scenario: Scenario,
    routing: Routing,
    slo: Slo,
    quotas: Quotas,
    me: Identity,
    rng: SmallRng,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, SimEvent)>>,
    next_event: u64,
    next_call: u64,
    /// Time at which each slot of each target becomes free.
    slots: BTreeMap<TargetId, Vec<Instant>>,
    /// Arrival times of the calls of the measured service that have not ended.
    arrivals: BTreeMap<u64, Instant>,
    durations_us: Histogram<u64>,
    counted: u64,
    failed: u64,
    /// Attempts at the first target and at all targets, by time slice.
    attempts: BTreeMap<u64, (u64, u64)>,
}

fn simulate(scenario: Scenario, seed: u64) -> Results {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.push(Instant::ZERO, SimEvent::Arrives);
    while let Some(Reverse((at, _, event))) = simulation.events.pop()
        && at.as_ms() < END_MS
    {
        simulation.advance_to(at);
        simulation.handle(event);
    }
    simulation.results()
}

fn configuration() -> Configuration {
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
            quotas: Quotas::new(),
            me: identity("ingress"),
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::ZERO,
            events: BinaryHeap::new(),
            next_event: 0,
            next_call: 0,
            slots: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            durations_us: Histogram::new(3).expect("the digits are in range"),
            counted: 0,
            failed: 0,
            attempts: BTreeMap::new(),
        };
        simulation
            .run_reducer(|routing, _, _, cx| routing.configure(cx, Arc::new(configuration())));
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
            order: None,
            has_departed: false,
        };
        self.slots.insert(record.target.clone(), vec![Instant::ZERO; SLOTS as usize]);
        self.run_reducer(|routing, _, _, cx| {
            routing.membership_changed(cx, &MembershipChange::Member(member));
            routing.membership_changed(cx, &MembershipChange::Target(record));
        });
    }

    /// Runs a step of the reducer and applies its effects.
    fn run_reducer(
        &mut self,
        run: impl FnOnce(&mut Routing, &mut Slo, &mut Quotas, &mut Context<'_>),
    ) {
        let mut effects = Vec::new();
        let mut cx =
            Context { now: self.now, rng: &mut self.rng, me: &self.me, effects: &mut effects };
        run(&mut self.routing, &mut self.slo, &mut self.quotas, &mut cx);
        for effect in effects {
            if let Effect::Call(effect) = effect {
                self.apply_effect(effect);
            }
        }
    }

    fn push(&mut self, at: Instant, event: SimEvent) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn advance_to(&mut self, at: Instant) {
        while self.routing.next_deadline() <= at {
            self.now = self.now.max(self.routing.next_deadline());
            self.run_reducer(|routing, slo, quotas, cx| routing.tick(cx, slo, quotas));
        }
        self.now = at;
    }

    fn is_faulty(&self) -> bool {
        (FAULT_START_MS..FAULT_END_MS).contains(&self.now.as_ms())
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrives => self.arrive(),
            SimEvent::Ends { call, attempt, lost: true } => {
                let refusal =
                    Refusal { code: RefusalCode::ConnectionLost, outcome: Outcome::Unknown };
                self.fail(call, attempt, refusal);
            }
            SimEvent::Ends { call, attempt, lost: false } => {
                let call = CallId(call);
                let answered = CallEvent::Answered {
                    call,
                    attempt,
                    status: 200,
                    notice: TargetNotice::default(),
                };
                self.step(answered);
                self.step(CallEvent::Ended { call, attempt, is_complete: true });
            }
        }
    }

    fn step(&mut self, event: CallEvent) {
        self.run_reducer(|routing, slo, quotas, cx| routing.step(cx, slo, quotas, event));
    }

    fn fail(&mut self, call: u64, attempt: u8, refusal: Refusal) {
        let call = CallId(call);
        self.step(CallEvent::Failed {
            call,
            attempt,
            refusal,
            is_replayable: true,
            notice: TargetNotice::default(),
        });
    }

    /// Starts a call of each service and schedules the next arrival after a random pause.
    fn arrive(&mut self) {
        let capacity_per_s = TARGETS as u64 * u64::from(SLOTS) * 1_000_000 / SERVICE_TIME_US;
        let per_s = capacity_per_s * self.scenario.load_percent / 100;
        let pause_us = -self.rng.random::<f64>().max(1e-9).ln() * 1e6 / per_s as f64;
        self.push(self.now.plus_us(pause_us as u64), SimEvent::Arrives);
        for path in ["/one", "/other"] {
            if path == "/other" && !self.scenario.is_other_service {
                continue;
            }
            let call = self.next_call;
            self.next_call += 1;
            if path == "/one" {
                self.arrivals.insert(call, self.now);
            }
            let head = CallHead::new("", path);
            self.step(CallEvent::Arrived { call: CallId(call), head });
        }
    }

    fn apply_effect(&mut self, effect: CallEffect) {
        match effect {
            CallEffect::Forward { call, attempt, head, .. } => {
                self.start_attempt(call.0, attempt, &head.target);
            }
            CallEffect::Relay { call, .. } => self.count(call.0, true),
            CallEffect::Refuse { call, .. } => self.count(call.0, false),
            CallEffect::Cancel { call } => {
                // Only the attempt in flight is affected; its number is not tracked here.
                let refusal =
                    Refusal { code: RefusalCode::DeadlineExceeded, outcome: Outcome::Unknown };
                (1..=8).for_each(|attempt| self.fail(call.0, attempt, refusal));
            }
            _ => {}
        }
    }

    fn count(&mut self, call: u64, is_success: bool) {
        let Some(arrived_at) = self.arrivals.remove(&call) else { return };
        if self.is_faulty() {
            self.counted += 1;
            self.failed += u64::from(!is_success);
            self.durations_us += self.now.since_us(arrived_at);
        }
    }

    fn start_attempt(&mut self, call: u64, attempt: u8, target: &TargetId) {
        if target.service.as_str() == "one" {
            let second = self.now.as_ms() / SLICE_MS;
            let (first, all) = self.attempts.entry(second).or_default();
            *first += u64::from(target.id.as_str() == "t0");
            *all += 1;
        }
        let faulty_service = if self.scenario.is_other_service { "other" } else { "one" };
        let is_faulty = self.is_faulty()
            && target.id.as_str() == "t0"
            && target.service.as_str() == faulty_service;
        let behaviour = if is_faulty { self.scenario.fault } else { Behaviour::Answers(1) };
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
        self.push(ends_at, SimEvent::Ends { call, attempt, lost });
    }

    fn results(&self) -> Results {
        let fair = 1.0 / TARGETS as f64;
        let share = |from_ms: u64, to_ms: u64| {
            let slices = self.attempts.range(from_ms / SLICE_MS..to_ms / SLICE_MS);
            let (first, all) = slices.fold((0, 0), |sum, (_, n)| (sum.0 + n.0, sum.1 + n.1));
            first as f64 / all as f64 / fair
        };
        let is_recovered = |at_ms: &u64| share(*at_ms, at_ms + SLICE_MS) >= RECOVERED_SHARE;
        let recovered_at_ms = (FAULT_END_MS..END_MS).step_by(SLICE_MS as usize).find(is_recovered);
        Results {
            p99_ms: self.durations_us.value_at_percentile(99.0) as f64 / 1_000.0,
            failed_percent: 100.0 * self.failed as f64 / self.counted as f64,
            share: share(FAULT_START_MS + SLICE_MS, FAULT_END_MS),
            recovered_after_s: (recovered_at_ms.unwrap_or(END_MS) - FAULT_END_MS) as f64 / 1_000.0,
        }
    }
}
