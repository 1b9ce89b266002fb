//! Benchmark of one control replica with real files: accepted changes per second, and the
//! time spent in the replica itself per change.
//!
//! `cargo run --release -p fireflylug-store --example accepts -- FOLDER [RESOURCES]`

use std::path::Path;
use std::time::{Duration, Instant as Clock};

use fireflylug_core::config::{ChangeRequest, ChangeSet, Operation};
use fireflylug_core::consensus::{ControlReplica, ControlSettings, DiskCommand, DiskEvent, Origin};
use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::ids::{IdempotencyKey, Locality, Name, NodeId, RequestId};
use fireflylug_core::resource::{Resource, Service};
use fireflylug_core::{Effect, Instant};
use fireflylug_store::Store;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Duration of one measurement.
const RUN_TIME: Duration = Duration::from_secs(3);

/// Default number of resources in the configuration.
const DEFAULT_RESOURCES: u64 = 200;

struct Bench {
    identity: Identity,
    replica: ControlReplica,
    store: Store,
    rng: SmallRng,
    started: Clock,
    replica_time: Duration,
    requests: u64,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let folder = args.next().expect("usage: accepts FOLDER [RESOURCES]");
    let resources = args.next().map_or(DEFAULT_RESOURCES, |text| text.parse().expect("a number"));
    let mut bench = Bench::new(Path::new(&folder));
    bench.prepare(resources);
    println!("changes at once | accepted in a second | microseconds in the replica for each");
    for concurrency in [1, 8, 64] {
        bench.measure(concurrency, resources);
    }
}

impl Bench {
    fn new(folder: &Path) -> Self {
        let identity = identity();
        let settings =
            ControlSettings { initial_voters: vec![identity.id], ..ControlSettings::default() };
        let (store, recovered) = Store::open(folder).expect("the folder opens");
        let replica = ControlReplica::new(settings, recovered, Instant::ZERO);
        Self {
            identity,
            replica,
            store,
            rng: SmallRng::seed_from_u64(1),
            started: Clock::now(),
            replica_time: Duration::ZERO,
            requests: 0,
        }
    }

    /// Waits until the replica is the leader, then creates the resources.
    fn prepare(&mut self, resources: u64) {
        while self.replica.leader().is_none() {
            self.drive(|replica, cx| replica.tick(cx));
        }
        for resource in 0..resources {
            self.propose(resource);
        }
    }

    fn measure(&mut self, concurrency: u64, resources: u64) {
        let started = Clock::now();
        self.replica_time = Duration::ZERO;
        let first = self.requests;
        while started.elapsed() < RUN_TIME {
            self.propose_batch(concurrency, resources);
        }
        let accepted = self.requests - first;
        let rate = accepted as f64 / started.elapsed().as_secs_f64();
        let per_change_us = self.replica_time.as_secs_f64() * 1e6 / accepted as f64;
        println!("{concurrency:15} | {rate:20.0} | {per_change_us:10.1}");
    }

    fn propose(&mut self, resource: u64) {
        let commands = self.command(resource);
        self.sync(commands);
    }

    /// Proposes several changes that share one sync.
    fn propose_batch(&mut self, count: u64, resources: u64) {
        let mut commands = Vec::new();
        for _ in 0..count {
            let resource = self.requests % resources;
            commands.extend(self.command(resource));
        }
        self.sync(commands);
    }

    fn command(&mut self, resource: u64) -> Vec<DiskCommand> {
        self.requests += 1;
        let request = RequestId(self.requests);
        let change = change(resource, self.requests);
        let origin = Origin { node: self.identity.id, request };
        self.drive_for_commands(|replica, cx| replica.propose(cx, origin, change))
    }

    fn drive(&mut self, act: impl FnOnce(&mut ControlReplica, &mut Context<'_>)) {
        let commands = self.drive_for_commands(act);
        self.sync(commands);
    }

    fn sync(&mut self, mut commands: Vec<DiskCommand>) {
        while let Some(last) = commands.last() {
            let sequence = last.sequence;
            self.store.run(&commands).expect("the disk works");
            commands = self.drive_for_commands(|replica, cx| {
                replica.handle_disk_event(cx, DiskEvent::Synced { sequence });
            });
        }
    }

    fn drive_for_commands(
        &mut self,
        act: impl FnOnce(&mut ControlReplica, &mut Context<'_>),
    ) -> Vec<DiskCommand> {
        let started_at = Clock::now();
        let now = Instant::from_us(self.started.elapsed().as_micros() as u64);
        let mut effects = Vec::new();
        let (rng, me) = (&mut self.rng, &self.identity);
        act(&mut self.replica, &mut Context { now, rng, me, effects: &mut effects });
        self.replica.take_outputs();
        self.replica_time += started_at.elapsed();
        let command = |effect| match effect {
            Effect::Disk(command) => Some(command),
            _ => None,
        };
        effects.into_iter().filter_map(command).collect()
    }
}

fn change(resource: u64, request: u64) -> ChangeRequest {
    let mut service = Service::new(name(&format!("service-{resource}")));
    service.slow_start_ms = (request % 3_000_000) as u32;
    let resource = Resource::Service(service);
    let key = IdempotencyKey::new(format!("change-{request}")).expect("a valid key");
    let operations = vec![Operation::Put { resource, if_version: None }];
    ChangeRequest { key: Some(key), changes: ChangeSet { operations } }
}

fn identity() -> Identity {
    let host = name("control-0");
    let any = "127.0.0.1:1".parse().expect("an address");
    Identity {
        id: NodeId::of_host(&host),
        host,
        locality: Locality { region: name("kochi"), availability_zone: name("kochi-aluva") },
        incarnation: 1,
        started_unix_ms: 0,
        addresses: Addresses { peers: any, forward: any, api: any, calls: any },
        control: true,
        is_link_slow: false,
    }
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}
