//! Metrics of one daemon through opentelemetry, in the Prometheus text format.
//!
//! A scrape takes one snapshot of the state under one lock; the instruments
//! read the snapshot. There are no per-target series, since their number would grow
//! quadratically with the size of the mesh.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use eyre::WrapErr;
use fireflylug_core::consensus::{ControlRole, ControlStatus};
use fireflylug_core::ids::{Name, TargetId};
use fireflylug_core::membership::{MemberStatus, TargetState};
use fireflylug_core::quota::QuotaMetrics;
use fireflylug_core::routing::{Outcome, RoutingMetrics, ServiceCounts, TargetMetrics};
use fireflylug_core::{Instant, State};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use strum::IntoEnumIterator;

use crate::Runtime;
use crate::api::PendingRequests;
use crate::peers::{PeerStats, TrafficRow};

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    snapshot: Arc<Mutex<Snapshot>>,
    peers: Arc<PeerStats>,
    /// Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

/// Values that the instruments read.
#[derive(Default)]
struct Snapshot {
    version: u64,
    ready: bool,
    stopping: bool,
    members: BTreeMap<(String, MemberStatus), u64>,
    targets: BTreeMap<(String, &'static str), u64>,
    routing: RoutingMetrics,
    quotas: Vec<QuotaMetrics>,
    traffic: Vec<TrafficRow>,
    control: Option<ControlStatus>,
    cut_off_ms: u64,
    zones_cut_off: u64,
    api_waiting: u64,
    watches: u64,
    resident_bytes: u64,
    early_calls: u64,
}

type Rows = Vec<(u64, Vec<KeyValue>)>;

impl Metrics {
    /// Creates the instruments. `peers` holds the traffic counters between processes.
    pub fn new(peers: Arc<PeerStats>) -> eyre::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("fireflylug")
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .wrap_err("cannot create the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let snapshot = Arc::new(Mutex::new(Snapshot::default()));
        let instruments =
            Instruments { meter: provider.meter("fireflylug"), snapshot: Arc::clone(&snapshot) };
        instruments.add_process();
        instruments.add_control();
        instruments.add_mesh();
        instruments.add_calls();
        instruments.add_quotas();
        instruments.add_peers();
        Ok(Self { registry, snapshot, peers, _provider: provider })
    }

    /// Returns the current metrics in the Prometheus text format.
    pub fn scrape(
        &self,
        runtime: &Runtime,
        pending_requests: &PendingRequests,
    ) -> eyre::Result<String> {
        let now = runtime.now();
        let mut snapshot = runtime.inspect(|state| Snapshot::take(state, now));
        snapshot.traffic = self.peers.rows();
        snapshot.early_calls = runtime.early_calls();
        (snapshot.api_waiting, snapshot.watches) = pending_requests.counts();
        snapshot.resident_bytes = resident_bytes();
        *lock(&self.snapshot) = snapshot;
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
            quotas: state.quotas().metrics(),
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

/// Creates instruments that read the snapshot.
struct Instruments {
    meter: Meter,
    snapshot: Arc<Mutex<Snapshot>>,
}

impl Instruments {
    fn add_process(&self) {
        self.gauge("config.version", "Configuration version in force at this process", |s| {
            single_row(s.version)
        });
        self.gauge("ready", "1 if this process is ready for calls", |s| {
            single_row((s.ready && !s.stopping).into())
        });
        self.gauge(
            "api.waiting",
            "Requests at the resource API that are waiting for a response",
            |s| single_row(s.api_waiting),
        );
        self.gauge("api.watches", "Running watches at this process", |s| single_row(s.watches));
        self.gauge("resident_bytes", "Resident memory of the program in bytes", |s| {
            single_row(s.resident_bytes)
        });
    }

    /// These have no values at a process that is not a control replica.
    fn add_control(&self) {
        self.gauge("control.current", "1 while the replica is in contact with a quorum", |s| {
            replica_row(s, |status| status.is_current.into())
        });
        self.gauge("control.leading", "1 if this replica is the leader", |s| {
            replica_row(s, |status| (status.role == ControlRole::Leader).into())
        });
        self.gauge("control.failed", "1 after a disk failure", |s| {
            replica_row(s, |status| (status.role == ControlRole::Failed).into())
        });
        self.gauge("control.term", "Latest term", |s| replica_row(s, |status| status.term));
        self.gauge("control.commit_index", "Index of the latest known committed entry", |s| {
            replica_row(s, |status| status.commit_index)
        });
        self.gauge("control.voters", "Number of voters", |s| {
            replica_row(s, |status| status.voters.voters().len() as u64)
        });
    }

    fn add_mesh(&self) {
        self.gauge(
            "cut_off_ms",
            "Milliseconds without contact to a control replica; 0 while in contact",
            |s| single_row(s.cut_off_ms),
        );
        self.gauge(
            "zones_cut_off",
            "Availability zones that are unreachable from this process",
            |s| single_row(s.zones_cut_off),
        );
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
                (*count, vec![service_label(service), KeyValue::new("state", *state)])
            })
            .collect()
        });
    }

    fn add_calls(&self) {
        self.counter("calls", "Calls from callers that ended, by outcome", |s| {
            let mut rows = Rows::new();
            for (service, counts) in &s.routing.services {
                for outcome in Outcome::iter() {
                    let label = KeyValue::new("outcome", outcome.to_string());
                    let labels = vec![service_label(service.as_str()), label];
                    rows.push((counts.ended[outcome as usize], labels));
                }
                let label = KeyValue::new("outcome", "cancelled");
                rows.push((counts.cancelled, vec![service_label(service.as_str()), label]));
            }
            rows
        });
        self.counter(
            "calls_early",
            "Calls started before the responses to earlier requests of their connections ended",
            |s| single_row(s.early_calls),
        );
        self.counter("attempts", "Attempts at targets started by this process", |s| {
            by_service(s, |counts| counts.attempts)
        });
        self.counter("retries", "Attempts after the first one of a call", |s| {
            by_service(s, |counts| counts.retries)
        });
        self.counter("retries_denied", "Attempts denied by the retry budget", |s| {
            by_service(s, |counts| counts.retries_denied)
        });
        self.gauge("calls_in_flight", "Calls in flight, including forwarded calls", |s| {
            by_service(s, |counts| counts.in_flight.into())
        });
        self.counter("refusals", "Responses generated by the mesh, by code", |s| {
            let rows = s.routing.refusals.iter();
            rows.map(|(code, count)| (*count, vec![KeyValue::new("code", code.to_string())]))
                .collect()
        });
        self.gauge("targets_ejected", "Targets ejected by this process, by service", |s| {
            sum_by_service(s, |target| target.is_ejected.into())
        });
        self.gauge(
            "target_usable_slots",
            "Concurrent calls that a target of this host handles well",
            |s| by_own_target(s, |target| target.usable_slots),
        );
        self.gauge(
            "target_speed_percent",
            "Speed of a target of this host in percent of the typical target of its service",
            |s| by_own_target(s, |target| target.speed_percent),
        );
        self.gauge("calls_queued", "Calls queued at this process for a slot, by service", |s| {
            sum_by_service(s, |target| target.queued.into())
        });
    }

    /// These have values for organisations that are or were above their quota.
    fn add_quotas(&self) {
        self.counter(
            "quota.admitted",
            "Calls admitted here by the quota of an organisation",
            |s| by_organisation(s, |row| row.admitted),
        );
        self.counter("quota.refused", "Calls refused here by the quota of an organisation", |s| {
            by_organisation(s, |row| row.refused)
        });
        self.gauge(
            "quota.fraction_permille",
            "Share of the calls of an organisation that its quota admits here, in thousandths",
            |s| by_organisation(s, |row| (row.fraction * 1_000.0).round() as u64),
        );
    }

    fn add_peers(&self) {
        self.counter("peer.sent_bytes", "Bytes sent to other processes", |s| {
            by_traffic(s, |row| row.traffic.sent_bytes)
        });
        self.counter("peer.received_bytes", "Bytes received from other processes", |s| {
            by_traffic(s, |row| row.traffic.received_bytes)
        });
        self.counter("peer.sent_messages", "Messages sent to other processes", |s| {
            by_traffic(s, |row| row.traffic.sent_messages)
        });
        self.counter("peer.received_messages", "Messages received from other processes", |s| {
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

fn single_row(value: u64) -> Rows {
    vec![(value, Vec::new())]
}

fn replica_row(snapshot: &Snapshot, value: impl Fn(&ControlStatus) -> u64) -> Rows {
    snapshot.control.iter().flat_map(|status| single_row(value(status))).collect()
}

fn service_label(service: &str) -> KeyValue {
    KeyValue::new("service", service.to_owned())
}

/// A value of the targets of this host whose capacity is observed.
fn by_own_target(snapshot: &Snapshot, value: impl Fn(&TargetMetrics) -> Option<u32>) -> Rows {
    let own = snapshot.routing.targets.iter().filter(|target| target.usable_slots.is_some());
    let row = |target: &TargetMetrics| {
        let TargetId { service, id } = &target.target;
        let labels = vec![service_label(service.as_str()), KeyValue::new("target", id.to_string())];
        value(target).map(|value| (value.into(), labels))
    };
    own.filter_map(row).collect()
}

fn by_service(snapshot: &Snapshot, value: impl Fn(&ServiceCounts) -> u64) -> Rows {
    let services = snapshot.routing.services.iter();
    services.map(|(name, counts)| (value(counts), vec![service_label(name.as_str())])).collect()
}

/// Sums a value over the targets of each service.
fn sum_by_service(snapshot: &Snapshot, value: impl Fn(&TargetMetrics) -> u64) -> Rows {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for target in &snapshot.routing.targets {
        *sums.entry(target.target.service.as_str()).or_default() += value(target);
    }
    sums.into_iter().map(|(service, sum)| (sum, vec![service_label(service)])).collect()
}

fn by_organisation(snapshot: &Snapshot, value: impl Fn(&QuotaMetrics) -> u64) -> Rows {
    let label = |row: &QuotaMetrics| KeyValue::new("organisation", row.organisation.to_string());
    snapshot.quotas.iter().map(|row| (value(row), vec![label(row)])).collect()
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

/// Resident memory of the program, in bytes; 0 if the operating system does not report it.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn lock(snapshot: &Mutex<Snapshot>) -> MutexGuard<'_, Snapshot> {
    snapshot.lock().unwrap_or_else(PoisonError::into_inner)
}
