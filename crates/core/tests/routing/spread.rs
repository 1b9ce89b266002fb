//! Distribution of calls over targets of unequal speed and over zones of unequal demand, by many
//! proxies that each see a given target only now and then.

use std::collections::{BTreeMap, HashMap};

use fireflylug_core::Instant;
use fireflylug_core::ids::CallId;
use fireflylug_core::membership::MemberStatus;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, CallHead, CallOrigin, ForwardHead, Outcome};
use fireflylug_core::routing::{RefusalCode, TargetNotice};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, locality, name, record, refusal};

const HOSTS: usize = 60;
const ZONES: usize = 3;
const SLOTS: u32 = 6;
const WORK_MS: f64 = 150.0;
const LINK_MS: u64 = 2;
/// Calls per second that the targets of one zone finish if all are busy.
const ZONE_CAPACITY_PER_S: f64 = (HOSTS / ZONES) as f64 * SLOTS as f64 * 1_000.0 / WORK_MS;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];

/// Something that happens later at a host.
enum Event {
    Forwarded {
        from: (usize, CallId, u8),
        head: ForwardHead,
    },
    /// The target of the host ends a call, or refuses it.
    Finished {
        call: CallId,
        attempt: u8,
        is_refused: bool,
    },
    Reported(CallEvent),
}

/// A call that ended at its ingress.
struct Served {
    at: Instant,
    ingress: usize,
    target: Option<usize>,
    took_ms: u64,
}

#[derive(Debug)]
struct ResponseMs {
    mean: f64,
    p99: u64,
}

impl ResponseMs {
    fn new(mut took_ms: Vec<u64>) -> Self {
        took_ms.sort_unstable();
        let mean = took_ms.iter().sum::<u64>() as f64 / took_ms.len() as f64;
        Self { mean, p99: took_ms[took_ms.len() * 99 / 100] }
    }
}

/// All proxies, each with one target. Host `i` is in zone `i % ZONES`.
struct Fleet {
    hosts: Vec<Harness>,
    events: BTreeMap<(Instant, u64), (usize, Event)>,
    next_event: u64,
    rng: SmallRng,
    /// Share of calls that every target refuses although it has free slots, in percent.
    refused_percent: u32,
    arrived: HashMap<(usize, CallId), Instant>,
    /// Where a call that an owner serves comes from, and which target serves a call.
    origins: HashMap<(usize, CallId), (usize, CallId, u8)>,
    served_by: HashMap<(usize, CallId), usize>,
    served: Vec<Served>,
    now: Instant,
}

fn host_name(index: usize) -> String {
    format!("host-{index}")
}

fn speed_of(index: usize) -> f64 {
    SPEEDS[(index / ZONES) % SPEEDS.len()]
}

impl Fleet {
    fn new(seed: u64, is_adaptive: bool) -> Self {
        let policy = Policy::new(name("quick")).with_deadline_ms(2_000);
        let mut service = Service::new(name("seatdesk")).with_policy(name("quick"));
        (service.adaptive_limit, service.slow_start_ms) = (Some(is_adaptive), 0);
        let route = Route::new(name("seats"), "/", name("seatdesk"));
        let resources =
            vec![Resource::Policy(policy), Resource::Service(service), Resource::Route(route)];
        let zone = |index: usize| locality(&format!("z{}", index % ZONES), "r1");
        let host = |index: usize| {
            let mut host = Harness::new(&host_name(index), resources.clone());
            host.me.locality = zone(index);
            host.seed(seed * 1_000 + index as u64);
            for other in 0..HOSTS {
                host.set_member(&host_name(other), zone(other), MemberStatus::Alive);
                let mut target = record("seatdesk", &other.to_string(), &host_name(other));
                (target.slots, target.connections) = (SLOTS, 100);
                host.set_target(target);
            }
            host
        };
        let hosts: Vec<Harness> = (0..HOSTS).map(host).collect();
        let now = hosts[0].now;
        Self {
            hosts,
            events: BTreeMap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            refused_percent: 0,
            arrived: HashMap::new(),
            origins: HashMap::new(),
            served_by: HashMap::new(),
            served: Vec::new(),
            now,
        }
    }

    fn schedule(&mut self, at: Instant, host: usize, event: Event) {
        self.events.insert((at, self.next_event), (host, event));
        self.next_event += 1;
    }

    /// Runs for a time, with a demand in each zone as a share of its capacity.
    fn run_ms(&mut self, ms: u64, demand: [f64; ZONES]) {
        for _ in 0..ms {
            self.now = self.now.plus_ms(1);
            while let Some(((at, _), _)) = self.events.first_key_value()
                && *at <= self.now
            {
                let (_, (host, event)) = self.events.pop_first().expect("one is due");
                self.handle(host, event);
            }
            for (zone, demand) in demand.iter().enumerate() {
                // Less than one call per millisecond on average; two at most.
                let expected = demand * ZONE_CAPACITY_PER_S / 2_000.0;
                for _ in 0..2 {
                    if self.rng.random_bool(expected) {
                        let host = self.rng.random_range(0..HOSTS / ZONES) * ZONES + zone;
                        self.hosts[host].now = self.now;
                        let call = self.hosts[host].arrive("/", true);
                        self.arrived.insert((host, call), self.now);
                        self.handle_effects(host);
                    }
                }
            }
        }
        for host in 0..HOSTS {
            let passed_ms = self.now.since_ms(self.hosts[host].now);
            self.hosts[host].pass_ms(passed_ms);
            self.handle_effects(host);
        }
    }

    fn handle(&mut self, host: usize, event: Event) {
        let passed_ms = self.now.since_ms(self.hosts[host].now);
        self.hosts[host].pass_ms(passed_ms);
        match event {
            Event::Forwarded { from, head } => {
                let mut call = CallHead::new("", "/");
                call.origin = CallOrigin::Proxy(head.clone());
                let call = self.hosts[host].arrive_from_proxy(head, None);
                self.origins.insert((host, call), from);
            }
            Event::Finished { call, attempt, is_refused: false } => {
                self.hosts[host].complete(call, attempt);
            }
            Event::Finished { call, attempt, is_refused: true } => {
                let code = RefusalCode::TargetRefused;
                self.hosts[host].fail(call, attempt, code, Outcome::NotRun);
            }
            Event::Reported(event) => {
                let (call, attempt) = match event {
                    CallEvent::Answered { call, attempt, .. } => (call, Some(attempt)),
                    CallEvent::Failed { call, .. } => (call, None),
                    _ => unreachable!("only these are reported"),
                };
                self.hosts[host].step(event);
                if let Some(attempt) = attempt {
                    self.hosts[host].step(CallEvent::Ended { call, attempt, is_complete: true });
                }
            }
        }
        self.handle_effects(host);
    }

    fn handle_effects(&mut self, host: usize) {
        let (now, arrives_at) = (self.now, self.now.plus_ms(LINK_MS));
        for effect in self.hosts[host].take_effects() {
            match effect {
                CallEffect::Forward { call, attempt, head, .. } => {
                    let owner: usize = head.target.id.as_str().parse().expect("an index");
                    self.served_by.insert((host, call), owner);
                    let from = (host, call, attempt);
                    self.schedule(arrives_at, owner, Event::Forwarded { from, head });
                }
                CallEffect::Dispatch { call, attempt, .. } => {
                    self.served_by.insert((host, call), host);
                    let is_refused = self.rng.random_range(0..100) < self.refused_percent;
                    let work_ms = WORK_MS * self.rng.random_range(0.6..1.4) / speed_of(host);
                    let took_ms = if is_refused { 1 } else { work_ms as u64 };
                    let event = Event::Finished { call, attempt, is_refused };
                    self.schedule(now.plus_ms(took_ms), host, event);
                }
                CallEffect::Relay { call, load } => match self.origins.remove(&(host, call)) {
                    Some((ingress, call, attempt)) => {
                        let notice = load.map_or_else(TargetNotice::default, TargetNotice::from);
                        let event = CallEvent::Answered { call, attempt, status: 200, notice };
                        self.schedule(arrives_at, ingress, Event::Reported(event));
                    }
                    None => self.end(host, call, true),
                },
                CallEffect::Refuse { call, refusal: why, load, .. } => {
                    match self.origins.remove(&(host, call)) {
                        Some((ingress, call, attempt)) => {
                            let notice =
                                load.map_or_else(TargetNotice::default, TargetNotice::from);
                            let refusal = refusal(why.code, why.outcome);
                            let is_replayable = true;
                            let event =
                                CallEvent::Failed { call, attempt, refusal, is_replayable, notice };
                            self.schedule(arrives_at, ingress, Event::Reported(event));
                        }
                        None => self.end(host, call, false),
                    }
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, ingress: usize, call: CallId, is_served: bool) {
        let Some(arrived_at) = self.arrived.remove(&(ingress, call)) else { return };
        let took_ms = self.now.since_ms(arrived_at);
        let target = self.served_by.remove(&(ingress, call)).filter(|_| is_served);
        self.served.push(Served { at: self.now, ingress, target, took_ms });
    }

    /// Calls that ended within the last part of the run.
    fn last(&self, ms: u64) -> impl Iterator<Item = &Served> {
        let since = Instant::from_ms(self.now.as_ms() - ms);
        self.served.iter().filter(move |served| served.at > since)
    }

    /// Calls that targets with a property served in the last part of the run.
    fn served_by(&self, last_ms: u64, is_counted: impl Fn(usize) -> bool) -> f64 {
        self.last(last_ms).filter_map(|served| served.target).filter(|t| is_counted(*t)).count()
            as f64
    }

    /// Response times of the calls that were served in the last part of the run.
    fn response_ms(&self, last_ms: u64) -> Vec<u64> {
        let served = self.last(last_ms).filter(|served| served.target.is_some());
        served.map(|served| served.took_ms).collect()
    }

    fn refused(&self, last_ms: u64) -> f64 {
        let calls = self.last(last_ms).count().max(1) as f64;
        self.last(last_ms).filter(|served| served.target.is_none()).count() as f64 / calls
    }

    /// Work that a zone does in relation to its capacity in the last part of the run.
    fn utilisation(&self, last_ms: u64, zone: usize) -> f64 {
        self.served_by(last_ms, |target| target % ZONES == zone)
            / (ZONE_CAPACITY_PER_S * last_ms as f64 / 1_000.0)
    }
}

// Guards against reported hold times that make callers wait longer than the observations of each
// ingress do, by sending the calls of all ingresses to the same fast targets.
#[rstest]
fn reported_hold_times_make_responses_no_slower(#[values(0.3, 0.75, 0.9)] demand: f64) {
    let [reported, observed] = [true, false].map(|is_adaptive| {
        let of_seed = |seed| {
            let mut fleet = Fleet::new(seed, is_adaptive);
            fleet.run_ms(5_000, [demand; ZONES]);
            fleet.response_ms(3_000)
        };
        ResponseMs::new((1..=6).flat_map(of_seed).collect())
    });

    println!("load {demand}: {reported:?}, without reports {observed:?}");
    assert!(reported.mean <= observed.mean, "{reported:?}, without reports {observed:?}");
    assert!(reported.p99 <= observed.p99, "{reported:?}, without reports {observed:?}");
}

// Guards against a full zone that keeps its calls until they queue or are refused, against proxies
// that all send them to the same other zone, and against calls that do not return.
#[rstest]
fn calls_of_a_full_zone_are_spread_and_return(#[values(1, 2)] seed: u64) {
    let mut fleet = Fleet::new(seed, true);

    fleet.run_ms(1_500, [0.4; ZONES]);
    fleet.run_ms(3_000, [1.4, 0.4, 0.4]);
    let full = [0, 1, 2].map(|zone| fleet.utilisation(2_000, zone));
    let (refused, calls) = (fleet.refused(2_500), fleet.last(2_000).count() as f64);
    let slow = fleet.last(2_000).filter(|served| served.took_ms > 500).count() as f64 / calls;
    fleet.run_ms(1_500, [0.4; ZONES]);

    println!("full {full:?}, refused {refused}, slow {slow}");
    assert!(full[0] > 0.75 && full[0] < 1.0, "{full:?}");
    assert!((full[1] - full[2]).abs() < 0.12, "{full:?}");
    assert!(full[1] < 0.9 && full[2] < 0.9, "{full:?}");
    assert!(refused < 0.01, "{refused} refused");
    assert!(slow < 0.05, "{slow} of the calls are slow");
    let of_zone = |served: &&Served| served.ingress.is_multiple_of(ZONES);
    let stayed = |served: &&Served| served.target.is_some_and(|target| target % ZONES == 0);
    let calls = fleet.last(500).filter(of_zone).count() as f64;
    let near = fleet.last(500).filter(of_zone).filter(stayed).count() as f64;
    assert!(near / calls > 0.9, "{near} of {calls} calls returned");
}

// Guards against ejections and unequal shares where all targets refuse calls although they have free
// slots: a refusal is answered fast and leaves few calls in flight.
#[test]
fn targets_that_all_refuse_alike_are_chosen_alike() {
    let mut fleet = Fleet::new(1, true);

    fleet.run_ms(1_500, [0.5; ZONES]);
    fleet.refused_percent = 55;
    fleet.run_ms(2_500, [0.5; ZONES]);

    let ejected = fleet.hosts.iter().flat_map(|host| host.routing.metrics().targets);
    assert_eq!(ejected.filter(|target| target.is_ejected).count(), 0);
}
