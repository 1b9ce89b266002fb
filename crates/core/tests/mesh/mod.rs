//! Simulated mesh: processes with membership and distribution that exchange
//! messages in memory.
//!
//! Time is simulated, and every random number comes from one seed. Messages can be
//! lost, duplicated, reordered by delays, or blocked by a partition. Versions are
//! published at control replicas directly, as the replicated log would do.

#![allow(dead_code)]

mod event;
pub mod fixtures;
mod network;
mod process;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use fireflylug_core::config::Configuration;
use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::distribution::{Distribution, DistributionSettings};
use fireflylug_core::ids::{Locality, NodeId, TargetId};
use fireflylug_core::membership::{
    Member, MemberStatus, Membership, MembershipSettings, TargetAnnouncement, TargetState,
};
use fireflylug_core::{Effect, Event, Instant};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use process::Process;
pub use traffic::Traffic;

use event::{Scheduled, SimEvent};
use fixtures::{Zone, name};

/// Unix time at the start of every test, in milliseconds.
const EPOCH_UNIX_MS: u64 = 1_700_000_000_000;

/// Time after which a connection across a partition closes, in microseconds.
const BROKEN_AFTER_US: u64 = 3_000_000;

/// Timeout of a dial across a partition, in microseconds.
const DIAL_TIMEOUT_US: u64 = 3_000_000;

/// One-way latency within an availability zone, between availability zones of a
/// region, and between regions, in microseconds.
const LATENCY_US: [u64; 3] = [100, 1_000, 30_000];

/// Faults of message delivery.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub drop_percent: u32,
    pub duplicate_percent: u32,
    /// Longest extra delay of a message, in microseconds. Reorders messages.
    pub delay_us: u64,
}

/// A host: its process, if one runs, and the state that outlives a process.
struct Host {
    me: Identity,
    seeds: Vec<SocketAddr>,
    process: Option<Process>,
    starts: u64,
    /// While the process is frozen, the events that wait for it, in their order.
    frozen_events: Option<Vec<SimEvent>>,
}

/// Outgoing network link of a host.
#[derive(Clone, Copy, Debug)]
struct Link {
    bytes_per_s: u64,
    idle_at_us: u64,
}

/// All hosts, and the messages in flight between them.
pub struct Mesh {
    pub now_us: u64,
    pub faults: Faults,
    pub traffic: Traffic,
    has_leader: bool,
    hosts: Vec<Host>,
    by_id: BTreeMap<NodeId, usize>,
    connected: BTreeSet<(usize, usize)>,
    /// Dials in progress, as (dialer, peer). A process has at most one
    /// pending dial to another.
    dialing: BTreeSet<(usize, usize)>,
    cuts: BTreeSet<(usize, usize)>,
    /// Whether a dial across a cut is refused at once instead of timing out.
    has_refusing_cuts: bool,
    last_delivery_us: BTreeMap<(usize, usize), u64>,
    /// Links of the hosts whose bandwidth is limited.
    links: BTreeMap<usize, Link>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    tick_at_us: Vec<u64>,
    order: u64,
    rng: SmallRng,
    is_traced: bool,
}

impl Mesh {
    /// Creates the hosts of the zones without starting any. The first hosts of the first
    /// two availability zones are the seeds of all.
    pub fn new(zones: &[Zone], seed: u64) -> Self {
        let mut hosts = Vec::new();
        for zone in zones {
            for index in 0..zone.hosts {
                hosts.push(Host::new(zone, index, hosts.len()));
            }
        }
        let seed_hosts = [0, zones[0].hosts.min(hosts.len() - 1)];
        let seeds: Vec<SocketAddr> = seed_hosts.map(|host| hosts[host].me.addresses.peers).to_vec();
        hosts.iter_mut().for_each(|host| host.seeds = seeds.clone());
        let by_id = hosts.iter().enumerate().map(|(index, host)| (host.me.id, index)).collect();
        Self {
            now_us: 0,
            faults: Faults::default(),
            traffic: Traffic::default(),
            has_leader: true,
            tick_at_us: vec![u64::MAX; hosts.len()],
            hosts,
            by_id,
            connected: BTreeSet::new(),
            dialing: BTreeSet::new(),
            cuts: BTreeSet::new(),
            has_refusing_cuts: false,
            last_delivery_us: BTreeMap::new(),
            links: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            is_traced: std::env::var_os("FIREFLYLUG_MESH_TRACE").is_some(),
        }
    }

    /// Creates a mesh whose hosts all run and hold records of each other.
    pub fn started(zones: &[Zone], seed: u64) -> Self {
        let mut mesh = Self::new(zones, seed);
        for host in 0..mesh.len() {
            mesh.start(host);
        }
        mesh.run_until("all hosts have recorded each other as alive", 60, Mesh::is_joined);
        mesh
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &Process)> {
        let processes = self.hosts.iter().enumerate();
        processes.filter_map(|(index, host)| Some((index, host.process.as_ref()?)))
    }

    pub fn process(&self, host: usize) -> &Process {
        self.hosts[host].process.as_ref().expect("the host runs")
    }

    pub fn identity(&self, host: usize) -> &Identity {
        &self.hosts[host].me
    }

    pub fn host_of(&self, id: NodeId) -> usize {
        self.by_id[&id]
    }

    /// Indices of the hosts of an availability zone.
    pub fn zone_hosts(&self, zone: &str) -> Vec<usize> {
        let is_in_zone =
            |host: &usize| self.hosts[*host].me.locality.availability_zone.as_str() == zone;
        (0..self.len()).filter(is_in_zone).collect()
    }

    /// The relay of an availability zone, by the records of the first host.
    pub fn relay(&self, zone: &str) -> usize {
        self.host_of(self.process(0).membership.relay(&name(zone)).expect("a relay"))
    }

    pub fn controls(&self) -> Vec<usize> {
        (0..self.len()).filter(|host| self.hosts[*host].me.control).collect()
    }

    /// Whether every running process has recorded every host as alive.
    pub fn is_joined(&self) -> bool {
        self.running().all(|(_, process)| self.alive_at(process) == self.len())
    }

    pub fn alive_at(&self, process: &Process) -> usize {
        let members = process.membership.members();
        members.filter(|member| member.status == MemberStatus::Alive).count()
    }

    pub fn member_at(&self, host: usize, other: usize) -> Option<&Member> {
        self.process(host).membership.member(self.hosts[other].me.id)
    }

    pub fn target_state(&self, host: usize, target: &TargetId) -> Option<TargetState> {
        let targets = self.process(host).membership.targets();
        targets.filter(|record| record.target == *target).map(|record| record.state).next()
    }

    /// Starts a host's process with empty state.
    pub fn start(&mut self, host: usize) {
        let now_us = self.now_us;
        let seed = self.rng.random();
        let host_state = &mut self.hosts[host];
        host_state.starts += 1;
        host_state.me.incarnation = EPOCH_UNIX_MS + now_us / 1_000 + host_state.starts;
        host_state.me.started_unix_ms = EPOCH_UNIX_MS + now_us / 1_000;
        let settings = MembershipSettings { seeds: host_state.seeds.clone() };
        host_state.process = Some(Process {
            membership: Membership::new(settings, &host_state.me),
            distribution: Distribution::new(DistributionSettings::default()),
            progress: None,
            rng: SmallRng::seed_from_u64(seed),
            started_us: now_us,
            has_leader: self.has_leader,
            me: host_state.me.clone(),
        });
        self.schedule_tick(host);
    }

    /// Ends a host's process without a graceful stop.
    pub fn crash(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.dialing.retain(|(dialer, _)| *dialer != host);
        self.tick_at_us[host] = u64::MAX;
        self.hosts[host].frozen_events = None;
        for peer in self.peers_connected_to(host) {
            self.disconnect(host, peer);
        }
    }

    /// Stops a host's process without ending it. Its connections stay open until their other
    /// ends time out, and what arrives meanwhile waits for it.
    pub fn freeze(&mut self, host: usize) {
        self.hosts[host].frozen_events = Some(Vec::new());
        let at_us = self.now_us + BROKEN_AFTER_US;
        for peer in self.peers_connected_to(host) {
            self.schedule(at_us, peer, SimEvent::Break { peer: host });
        }
    }

    /// Lets a frozen process run on. Its overdue timers fire before or after it reads what has
    /// arrived.
    pub fn thaw(&mut self, host: usize) {
        let waiting = self.hosts[host].frozen_events.take().expect("the host is frozen");
        self.tick_at_us[host] = u64::MAX;
        self.schedule_tick(host);
        let at_us = if self.rng.random() { self.now_us } else { self.now_us + 2 };
        for event in waiting {
            self.schedule(at_us, host, event);
        }
    }

    pub fn is_frozen(&self, host: usize) -> bool {
        self.hosts[host].frozen_events.is_some()
    }

    fn peers_connected_to(&self, host: usize) -> Vec<usize> {
        self.connected.iter().filter(|(a, _)| *a == host).map(|(_, b)| *b).collect()
    }

    /// Sets the addresses through which a host joins at its next start.
    pub fn set_seeds(&mut self, host: usize, seeds: Vec<SocketAddr>) {
        self.hosts[host].seeds = seeds;
    }

    /// Indices of the hosts outside the given set.
    pub fn hosts_except(&self, zone: &[usize]) -> Vec<usize> {
        (0..self.len()).filter(|host| !zone.contains(host)).collect()
    }

    /// Sets whether control replicas count as current, as they do under a leader.
    pub fn set_has_leader(&mut self, has_leader: bool) {
        self.has_leader = has_leader;
        for host in self.controls() {
            if self.hosts[host].process.is_some() {
                self.with_process(host, |process, _| process.has_leader = has_leader);
            }
        }
    }

    /// Runs `act` on a host's process and executes the effects.
    pub fn with_process<T>(
        &mut self,
        host: usize,
        act: impl FnOnce(&mut Process, &mut Context<'_>) -> T,
    ) -> T {
        let now_us = self.now_us;
        let process = self.hosts[host].process.as_mut().expect("the host runs");
        let mut effects = Vec::new();
        let result = process.with_context(now_us, &mut effects, act);
        process.propagate_changes(now_us, &mut effects);
        for effect in effects {
            self.execute(host, effect);
        }
        self.schedule_tick(host);
        result
    }

    /// Announces a target to the process of a host.
    pub fn announce(&mut self, host: usize, target: &TargetId, lease_ms: u32) {
        let announcement = TargetAnnouncement {
            target: target.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            slots: 12,
            connections: 120,
            lease_ms,
            load_percent: None,
            draining: false,
            cold_ms: 0,
            order: None,
        };
        self.with_process(host, |process, cx| process.membership.announce_target(cx, announcement));
    }

    /// Publishes a version at every control replica that runs and is not frozen.
    pub fn publish(&mut self, configuration: &Arc<Configuration>) {
        for host in self.controls() {
            if self.hosts[host].process.is_some() && !self.is_frozen(host) {
                self.publish_at(host, configuration);
            }
        }
    }

    /// Publishes a version at one control replica.
    pub fn publish_at(&mut self, host: usize, configuration: &Arc<Configuration>) {
        let configuration = Arc::clone(configuration);
        self.with_process(host, |process, cx| process.distribution.publish(cx, configuration));
    }

    /// Runs the simulation for `ms` milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        let until_us = self.now_us + ms * 1_000;
        while self.step(until_us) {}
        self.now_us = until_us;
    }

    /// Runs until a condition holds and returns the elapsed time in milliseconds. The
    /// condition is checked every 5 milliseconds. Panics after `limit_s` seconds.
    pub fn run_until(
        &mut self,
        what: &str,
        limit_s: u64,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> u64 {
        let start_us = self.now_us;
        while !condition(self) {
            assert!(
                self.now_us - start_us < limit_s * 1_000_000,
                "not reached within {limit_s} s: {what}"
            );
            self.run_ms(5);
        }
        (self.now_us - start_us) / 1_000
    }

    fn step(&mut self, until_us: u64) -> bool {
        if self.queue.peek().is_none_or(|Reverse(next)| next.at_us > until_us) {
            return false;
        }
        let Reverse(Scheduled { at_us, host, start, event: sim_event, .. }) =
            self.queue.pop().expect("the queue is not empty");
        self.now_us = at_us;
        if let SimEvent::Break { peer } = sim_event {
            if self.is_silent(host, peer) {
                self.disconnect(host, peer);
            }
            return true;
        }
        if self.hosts[host].process.is_none() || self.hosts[host].starts != start {
            return true;
        }
        if let Some(waiting) = &mut self.hosts[host].frozen_events {
            if !matches!(sim_event, SimEvent::Tick) {
                waiting.push(sim_event);
            }
            return true;
        }
        if let SimEvent::Disconnected { peer } = sim_event {
            self.dialing.remove(&(host, peer));
        }
        let event = match sim_event {
            SimEvent::Tick if self.tick_at_us[host] != at_us => return true,
            SimEvent::Tick => Event::Tick,
            SimEvent::Connected { peer } => Event::PeerConnected { peer: self.hosts[peer].me.id },
            SimEvent::Disconnected { peer } => {
                Event::PeerDisconnected { peer: self.hosts[peer].me.id }
            }
            SimEvent::Message { from, message } => {
                Event::PeerMessage { from: self.hosts[from].me.id, message: *message }
            }
            SimEvent::Break { .. } => unreachable!("handled above"),
        };
        self.with_process(host, |process, cx| process.handle_event(cx, event));
        true
    }

    fn schedule_tick(&mut self, host: usize) {
        let Some(process) = &self.hosts[host].process else { return };
        let due = process.membership.next_deadline().min(process.distribution.next_deadline());
        if due == Instant::NEVER {
            self.tick_at_us[host] = u64::MAX;
            return;
        }
        let at_us = (process.started_us + due.as_us()).max(self.now_us + 1);
        if self.tick_at_us[host] != at_us {
            self.tick_at_us[host] = at_us;
            self.schedule(at_us, host, SimEvent::Tick);
        }
    }

    fn schedule(&mut self, at_us: u64, host: usize, event: SimEvent) {
        self.order += 1;
        let start = self.hosts[host].starts;
        let order = self.order;
        self.queue.push(Reverse(Scheduled { at_us, order, host, start, event }));
    }

    fn execute(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let Some(peer) = self.by_id.get(&to).copied() else { return };
                if self.connect(host, peer) {
                    self.send(host, peer, message);
                }
            }
            Effect::Dial { address } => {
                let peer = self.hosts.iter().position(|h| h.me.addresses.peers == address);
                if let Some(peer) = peer.filter(|peer| *peer != host) {
                    let dead = self.hosts[peer].process.is_none();
                    if !dead && !self.is_silent(host, peer) {
                        self.connect(host, peer);
                    }
                }
            }
            Effect::Log { part, text, .. } if self.is_traced => {
                println!("{} {} {part}: {text}", self.now_us / 1_000, self.hosts[host].me.host);
            }
            _ => {}
        }
    }
}

impl Host {
    fn new(zone: &Zone, index: usize, number: usize) -> Self {
        let host = name(&format!("{}-{index}", zone.name));
        let port = 1_000 + number as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let locality = Locality { region: name(zone.region), availability_zone: name(zone.name) };
        let me = Identity {
            id: NodeId::of_host(&host),
            host,
            locality,
            incarnation: 0,
            started_unix_ms: 0,
            addresses: Addresses { peers: address, forward: address, api: address, calls: address },
            control: index < zone.control,
            is_link_slow: false,
        };
        Self { me, seeds: Vec::new(), process: None, starts: 0, frozen_events: None }
    }
}
