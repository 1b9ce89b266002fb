//! Metrics of one daemon, through opentelemetry, in the Prometheus text form.
//!
//! A scrape takes one snapshot of the state under one lock; the instruments
//! read the snapshot. Per-target series are left out on purpose: their number
//! would grow with the square of the mesh.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use eyre::WrapErr;
use fireflylug_core::consensus::{ControlRole, ControlStatus};
use fireflylug_core::ids::Name;
use fireflylug_core::membership::{MemberStatus, TargetState};
use fireflylug_core::routing::{Outcome, RoutingMetrics, ServiceCounts, TargetMetrics};
use fireflylug_core::{Instant, State};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use strum::IntoEnumIterator;

use crate::Runtime;
use crate::api::Answers;
use crate::peers::{PeerStats, TrafficRow};

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    snapshot: Arc<Mutex<Snapshot>>,
    peers: Arc<PeerStats>,
    /// Holds the instruments.
    _provider: SdkMeterProvider,
}

/// What the instruments read.
#[derive(Default)]
struct Snapshot {
    version: u64,
    ready: bool,
    stopping: bool,
    members: BTreeMap<(String, MemberStatus), u64>,
    targets: BTreeMap<(String, &'static str), u64>,
    routing: RoutingMetrics,
    traffic: Vec<TrafficRow>,
    control: Option<ControlStatus>,
    cut_off_ms: u64,
    zones_cut_off: u64,
    api_waiting: u64,
    watches: u64,
    resident_bytes: u64,
}

type Rows = Vec<(u64, Vec<KeyValue>)>;

impl Metrics {
    /// Makes the instruments. `peers` counts the traffic between processes.
    pub fn new(peers: Arc<PeerStats>) -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("fireflylug")
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .wrap_err("cannot make the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let snapshot = Arc::new(Mutex::new(Snapshot::default()));
        let instruments =
            Instruments { meter: provider.meter("fireflylug"), snapshot: Arc::clone(&snapshot) };
        instruments.of_process();
        instruments.of_control();
        instruments.of_mesh();
        instruments.of_calls();
        instruments.of_peers();
        Ok(Self { registry, snapshot, peers, _provider: provider })
    }

    /// The metrics as they are now, in the Prometheus text form.
    pub fn scrape(&self, runtime: &Runtime, answers: &Answers) -> eyre::Result<String> {
        let now = runtime.now();
        let mut taken = runtime.inspect(|state| Snapshot::take(state, now));
        taken.traffic = self.peers.rows();
        (taken.api_waiting, taken.watches) = answers.counts();
        taken.resident_bytes = resident_bytes();
        *lock(&self.snapshot) = taken;
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}

impl Snapshot {
    fn take(state: &State, now: Instant) -> Self {
        let me = state.identity();
        let cut_off_since = state.distribution().cut_off_since(now, me.control);
        let mut snapshot = Self {
            version: state.distribution().current().version().0,
            ready: state.distribution().is_ready(),
            stopping: state.is_stopping(),
            routing: state.routing().metrics(),
            control: state.control().map(|control| control.status(me.id, now)),
            cut_off_ms: cut_off_since.map_or(0, |since| now.since_ms(since)),
            ..Self::default()
        };
        for member in state.membership().members() {
            let zone = member.locality.availability_zone.to_string();
            *snapshot.members.entry((zone, member.status)).or_default() += 1;
        }
        let zones: BTreeSet<_> = snapshot.members.keys().map(|(zone, _)| zone).collect();
        let cut_off = zones.into_iter().filter_map(|zone| Name::new(zone).ok());
        let cut_off = cut_off.filter(|zone| state.membership().is_cut_off(zone)).count();
        snapshot.zones_cut_off = cut_off as u64;
        for target in state.membership().targets() {
            let service = target.target.service.to_string();
            *snapshot.targets.entry((service, state_name(target.state))).or_default() += 1;
        }
        snapshot
    }
}

/// Makes instruments that read the snapshot.
struct Instruments {
    meter: Meter,
    snapshot: Arc<Mutex<Snapshot>>,
}

impl Instruments {
    fn of_process(&self) {
        self.gauge("config.version", "Configuration version in force here", |s| one(s.version));
        self.gauge("ready", "1 where this process may be given calls", |s| {
            one((s.ready && !s.stopping).into())
        });
        self.gauge("api.waiting", "Requests at the resource API that wait for an answer", |s| {
            one(s.api_waiting)
        });
        self.gauge("api.watches", "Watches that run here", |s| one(s.watches));
        self.gauge("resident_bytes", "Resident memory of the program", |s| one(s.resident_bytes));
    }

    /// Nothing at a process that is no control replica.
    fn of_control(&self) {
        self.gauge("control.current", "1 while in touch with a quorum", |s| {
            of_replica(s, |status| status.is_current.into())
        });
        self.gauge("control.leading", "1 at the leader", |s| {
            of_replica(s, |status| (status.role == ControlRole::Leader).into())
        });
        self.gauge("control.failed", "1 after the disk failed", |s| {
            of_replica(s, |status| (status.role == ControlRole::Failed).into())
        });
        self.gauge("control.term", "Newest term", |s| of_replica(s, |status| status.term));
        self.gauge("control.commit_index", "Newest committed entry that is known", |s| {
            of_replica(s, |status| status.commit_index)
        });
        self.gauge("control.voters", "Voters", |s| {
            of_replica(s, |status| status.voters.voters().len() as u64)
        });
    }

    fn of_mesh(&self) {
        self.gauge("cut_off_ms", "Time without word of a control replica; 0 while heard", |s| {
            one(s.cut_off_ms)
        });
        self.gauge("zones_cut_off", "Availability zones that cannot be reached from here", |s| {
            one(s.zones_cut_off)
        });
        self.gauge("members", "Processes by availability zone and status", |s| {
            let rows = s.members.iter();
            rows.map(|((zone, status), count)| {
                let status = KeyValue::new("status", status.to_string());
                (*count, vec![KeyValue::new("availability_zone", zone.clone()), status])
            })
            .collect()
        });
        self.gauge("targets", "Targets by service and state", |s| {
            let rows = s.targets.iter();
            rows.map(|((service, state), count)| {
                (*count, vec![of_service(service), KeyValue::new("state", *state)])
            })
            .collect()
        });
    }

    fn of_calls(&self) {
        self.counter("calls", "Calls from callers that ended, by outcome", |s| {
            let mut rows = Rows::new();
            for (service, counts) in &s.routing.services {
                for outcome in Outcome::iter() {
                    let label = KeyValue::new("outcome", outcome.to_string());
                    let labels = vec![of_service(service.as_str()), label];
                    rows.push((counts.ended[outcome as usize], labels));
                }
                let label = KeyValue::new("outcome", "cancelled");
                rows.push((counts.cancelled, vec![of_service(service.as_str()), label]));
            }
            rows
        });
        self.counter("attempts", "Attempts at targets begun here", |s| {
            by_service(s, |counts| counts.attempts)
        });
        self.counter("retries", "Attempts after the first of their call", |s| {
            by_service(s, |counts| counts.retries)
        });
        self.counter("retries_denied", "Attempts that the retry budget forbade", |s| {
            by_service(s, |counts| counts.retries_denied)
        });
        self.gauge("calls_in_flight", "Calls in flight, forwarded ones included", |s| {
            by_service(s, |counts| counts.in_flight.into())
        });
        self.counter("refusals", "Answers that the mesh gave itself, by code", |s| {
            let rows = s.routing.refusals.iter();
            rows.map(|(code, count)| (*count, vec![KeyValue::new("code", code.to_string())]))
                .collect()
        });
        self.gauge("targets_ejected", "Targets ejected here, by service", |s| {
            over_targets(s, |target| target.is_ejected.into())
        });
        self.gauge("calls_queued", "Calls that wait here for a slot, by service", |s| {
            over_targets(s, |target| target.queued.into())
        });
    }

    fn of_peers(&self) {
        self.counter("peer.sent_bytes", "Bytes to other processes", |s| {
            by_traffic(s, |row| row.traffic.sent_bytes)
        });
        self.counter("peer.received_bytes", "Bytes from other processes", |s| {
            by_traffic(s, |row| row.traffic.received_bytes)
        });
        self.counter("peer.sent_messages", "Messages to other processes", |s| {
            by_traffic(s, |row| row.traffic.sent_messages)
        });
        self.counter("peer.received_messages", "Messages from other processes", |s| {
            by_traffic(s, |row| row.traffic.received_messages)
        });
    }

    fn gauge(&self, name: &'static str, help: &'static str, rows: fn(&Snapshot) -> Rows) {
        let snapshot = Arc::clone(&self.snapshot);
        let instrument = self.meter.u64_observable_gauge(name).with_description(help);
        instrument
            .with_callback(move |observer| {
                for (value, labels) in rows(&lock(&snapshot)) {
                    observer.observe(value, &labels);
                }
            })
            .build();
    }

    fn counter(&self, name: &'static str, help: &'static str, rows: fn(&Snapshot) -> Rows) {
        let snapshot = Arc::clone(&self.snapshot);
        let instrument = self.meter.u64_observable_counter(name).with_description(help);
        instrument
            .with_callback(move |observer| {
                for (value, labels) in rows(&lock(&snapshot)) {
                    observer.observe(value, &labels);
                }
            })
            .build();
    }
}

fn one(value: u64) -> Rows {
    vec![(value, Vec::new())]
}

fn of_replica(snapshot: &Snapshot, value: impl Fn(&ControlStatus) -> u64) -> Rows {
    snapshot.control.iter().flat_map(|status| one(value(status))).collect()
}

fn of_service(service: &str) -> KeyValue {
    KeyValue::new("service", service.to_owned())
}

fn by_service(snapshot: &Snapshot, value: impl Fn(&ServiceCounts) -> u64) -> Rows {
    let services = snapshot.routing.services.iter();
    services.map(|(name, counts)| (value(counts), vec![of_service(name.as_str())])).collect()
}

/// Adds up over the targets of each service.
fn over_targets(snapshot: &Snapshot, value: impl Fn(&TargetMetrics) -> u64) -> Rows {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for target in &snapshot.routing.targets {
        *sums.entry(target.target.service.as_str()).or_default() += value(target);
    }
    sums.into_iter().map(|(service, sum)| (sum, vec![of_service(service)])).collect()
}

fn by_traffic(snapshot: &Snapshot, value: impl Fn(&TrafficRow) -> u64) -> Rows {
    let rows = snapshot.traffic.iter();
    rows.map(|row| {
        let region = KeyValue::new("region", row.region.to_string());
        (value(row), vec![region, KeyValue::new("kind", row.kind.to_string())])
    })
    .collect()
}

fn state_name(state: TargetState) -> &'static str {
    match state {
        TargetState::Ready => "ready",
        TargetState::Draining => "draining",
        TargetState::Gone => "gone",
    }
}

/// Resident memory of the program, in bytes; 0 where the system does not tell.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn lock(snapshot: &Mutex<Snapshot>) -> MutexGuard<'_, Snapshot> {
    snapshot.lock().unwrap_or_else(PoisonError::into_inner)
}
