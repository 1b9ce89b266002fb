//! The simulation: several reducers, their disks and the network between them, in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use fireflylug_core::api::{ApiRequest, Freshness};
use fireflylug_core::config::Configuration;
use fireflylug_core::consensus::{ControlSettings, DiskEvent};
use fireflylug_core::context::{Addresses, Identity};
use fireflylug_core::ids::{Locality, Name, NodeId, RequestId, Version};
use fireflylug_core::membership::MembershipSettings;
use fireflylug_core::state::CoreSettings;
use fireflylug_core::{Event, Instant, State, reduce};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::calls::{CallItem, Calls};
use crate::disk::FakeDisk;
use crate::network::Network;
use crate::oracle::Oracle;

mod delivery;
mod inspect;

/// Availability zone of each host of the fuzz test. The first three hosts have a disk.
pub const ZONES: [usize; 8] = [0, 1, 2, 0, 1, 2, 0, 1];

/// Number of hosts with a disk in the fuzz test.
pub const CONTROL_HOSTS: usize = 3;

/// Number of initial voters. They are the first hosts, and the seeds of all hosts.
const INITIAL_VOTERS: usize = 3;

/// The hosts of a simulation.
pub struct Layout {
    /// Availability zone of each host.
    pub zones: Vec<usize>,
    /// Number of hosts with a disk, which are the first ones.
    pub control_hosts: usize,
    /// Number of voters that the leader maintains. With none, it changes no voters.
    pub desired_voter_count: Option<usize>,
    /// Whether the hosts without a disk have slow links, so that control hosts are the relays.
    pub has_slow_proxies: bool,
}

impl Layout {
    /// The layout of the fuzz test.
    fn fuzz() -> Self {
        Self {
            zones: ZONES.to_vec(),
            control_hosts: CONTROL_HOSTS,
            desired_voter_count: None,
            has_slow_proxies: false,
        }
    }
}

/// Unix time at which the simulation starts, in milliseconds.
const EPOCH_UNIX_MS: u64 = 1_800_000_000_000;

/// Maximum number of events in one millisecond. More count as an endless loop of the reducers.
const MAX_EVENTS_PER_MS: u32 = 20_000;

/// A host and its process, which may be down.
pub struct Host {
    pub name: Name,
    pub id: NodeId,
    zone: usize,
    pub state: Option<State>,
    disk: Option<FakeDisk>,
    /// Incremented at each start. Events for an earlier process are dropped.
    pub epoch: u64,
    pub started_us: u64,
    known_peers: BTreeSet<NodeId>,
    reported: Option<(Arc<Configuration>, bool)>,
}

/// A request to the resource API whose response is outstanding.
enum PendingRequest {
    Change(u32),
    Read(Version),
    /// An open watch, with the newest version that it reported as accepted.
    Watch(Version),
    Other,
}

/// A queued event of the simulation.
pub enum Item {
    /// An event for the process that ran at the host when the event was made.
    Event { host: usize, epoch: u64, event: Event },
    /// The disk of a host has synced a command.
    Synced { host: usize, epoch: u64, sequence: u64 },
    /// An event of a call or a target.
    Call(CallItem),
}

/// The state of the simulation.
pub struct World {
    pub now_us: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Item>,
    pub hosts: Vec<Host>,
    pub network: Network,
    pub oracle: Oracle,
    pub calls: Calls,
    pub rng: SmallRng,
    desired_voter_count: Option<usize>,
    has_slow_proxies: bool,
    pending_requests: BTreeMap<(usize, u64, RequestId), PendingRequest>,
    next_request: u64,
    is_traced: bool,
    /// Whether a data folder that is opened again is synced before its content is used.
    pub recovery_syncs_log: bool,
    /// Maximum time of a sync, in microseconds.
    pub max_sync_us: u64,
    /// Whether processes that start join an existing voter set only.
    pub joins_only: bool,
}

impl World {
    /// Makes a simulation of the fuzz test's hosts, which have all started.
    pub fn new(seed: u64) -> Self {
        Self::with_layout(seed, &Layout::fuzz())
    }

    /// Makes a simulation whose hosts have all started.
    pub fn with_layout(seed: u64, layout: &Layout) -> Self {
        let mut world = Self {
            now_us: 0,
            order: 0,
            queue: BTreeMap::new(),
            hosts: Vec::new(),
            network: Network::new(layout.zones.clone()),
            oracle: Oracle::new(),
            calls: Calls::new(),
            rng: SmallRng::seed_from_u64(seed),
            desired_voter_count: layout.desired_voter_count,
            has_slow_proxies: layout.has_slow_proxies,
            pending_requests: BTreeMap::new(),
            next_request: 0,
            is_traced: std::env::var_os("FIREFLYLUG_FUZZ_TRACE").is_some(),
            recovery_syncs_log: true,
            max_sync_us: 5_000,
            joins_only: false,
        };
        for (index, zone) in layout.zones.iter().enumerate() {
            let host = world.make_host(index, *zone, index < layout.control_hosts);
            world.hosts.push(host);
        }
        (0..layout.zones.len()).for_each(|host| world.start(host));
        world
    }

    fn make_host(&mut self, index: usize, zone: usize, has_disk: bool) -> Host {
        let name = Name::new(format!("host-{index}")).expect("a valid name");
        let disk = has_disk.then(|| FakeDisk::blank(&mut self.rng));
        Host {
            id: NodeId::of_host(&name),
            name,
            zone,
            state: None,
            disk,
            epoch: 0,
            started_us: 0,
            known_peers: BTreeSet::new(),
            reported: None,
        }
    }

    /// Starts the process of a host that is down.
    pub fn start(&mut self, host: usize) {
        // A start takes time, so that two processes of a host never share an incarnation.
        self.run_ms(2);
        let syncs_log = self.recovery_syncs_log;
        let recovered = self.hosts[host].disk.as_mut().map(|disk| disk.open(syncs_log));
        let settings = self.settings(recovered.is_some());
        let me = self.identity(host);
        let state = State::new(me, settings, recovered.unwrap_or_default(), self.rng.random());
        let now_us = self.now_us;
        let host = &mut self.hosts[host];
        host.state = Some(state);
        host.epoch += 1;
        host.started_us = now_us;
        host.known_peers.clear();
        host.reported = None;
    }

    fn settings(&self, control: bool) -> CoreSettings {
        let voters = (0..INITIAL_VOTERS).map(|voter| self.host_id(voter)).collect();
        let seeds = (0..INITIAL_VOTERS).map(|seed| addresses(seed).peers).collect();
        CoreSettings {
            membership: MembershipSettings { seeds },
            control: control.then_some(ControlSettings {
                initial_voters: voters,
                desired_voter_count: self.desired_voter_count,
                joins_only: self.joins_only,
                ..ControlSettings::default()
            }),
            ..CoreSettings::default()
        }
    }

    fn host_id(&self, index: usize) -> NodeId {
        NodeId::of_host(&Name::new(format!("host-{index}")).expect("a valid name"))
    }

    fn identity(&self, index: usize) -> Identity {
        let host = &self.hosts[index];
        let region = if host.zone == 2 { "south" } else { "north" };
        let zone = Name::new(format!("zone-{}", host.zone)).expect("a valid name");
        let started_unix_ms = EPOCH_UNIX_MS + self.now_us / 1_000;
        Identity {
            id: host.id,
            host: host.name.clone(),
            locality: Locality {
                region: Name::new(region).expect("a valid name"),
                availability_zone: zone,
            },
            incarnation: started_unix_ms,
            started_unix_ms,
            addresses: addresses(index),
            control: host.disk.is_some(),
            is_link_slow: self.has_slow_proxies && host.disk.is_none(),
        }
    }

    /// Ends a process by a loss of power. Commands that its disk has not synced may be lost.
    pub fn crash(&mut self, host: usize) {
        self.end_process(host);
        if let Some(disk) = &mut self.hosts[host].disk {
            disk.lose_power(&mut self.rng);
        }
    }

    /// Ends a process by a loss of power. Every command that its disk has not synced is lost.
    pub fn crash_and_lose_unsynced(&mut self, host: usize) {
        self.end_process(host);
        if let Some(disk) = &mut self.hosts[host].disk {
            disk.lose_all_unsynced();
        }
    }

    /// A host that is down loses power: what its disk has not synced may be lost, or all of it is.
    pub fn lose_power_while_down(&mut self, host: usize, loses_all_unsynced: bool) {
        match &mut self.hosts[host].disk {
            Some(disk) if loses_all_unsynced => disk.lose_all_unsynced(),
            Some(disk) => disk.lose_power(&mut self.rng),
            None => {}
        }
    }

    /// Ends a process without warning. What it wrote stays in its files, synced or not.
    pub fn kill(&mut self, host: usize) {
        self.end_process(host);
        if let Some(disk) = &mut self.hosts[host].disk {
            disk.kill(&mut self.rng);
        }
    }

    /// Replaces the disk of a stopped host with a blank one.
    pub fn install_blank_disk(&mut self, host: usize) {
        self.hosts[host].disk = Some(FakeDisk::blank(&mut self.rng));
    }

    fn end_process(&mut self, host: usize) {
        self.hosts[host].state = None;
        self.calls.host_ended(host);
        for peer in self.network.disconnect_all(host) {
            let delay_us = self.rng.random_range(0..200_000);
            self.push_disconnected(peer, host, delay_us);
        }
    }

    /// Whether the process of a host runs.
    pub fn is_up(&self, host: usize) -> bool {
        self.hosts[host].state.is_some()
    }

    /// Sends a request to the resource API of a host. Does nothing if the host is down.
    pub fn send_api_request(&mut self, host: usize, body: ApiRequest) {
        let pending = match &body {
            ApiRequest::Get(_, Freshness::Linearizable)
            | ApiRequest::List(_, Freshness::Linearizable) => {
                PendingRequest::Read(self.oracle.newest_accepted())
            }
            ApiRequest::Watch { .. } => PendingRequest::Watch(Version(0)),
            _ => PendingRequest::Other,
        };
        self.send_request(host, pending, body);
    }

    /// Sends a change to a host.
    pub fn send_change_request(&mut self, host: usize, marker: u32, body: ApiRequest) {
        self.send_request(host, PendingRequest::Change(marker), body);
    }

    fn send_request(&mut self, host: usize, pending: PendingRequest, body: ApiRequest) {
        if !self.is_up(host) {
            return;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.pending_requests.insert((host, self.hosts[host].epoch, request), pending);
        self.submit(host, Event::ApiRequest { request, body });
    }

    /// Advances the simulated time and processes all events due by then.
    pub fn run_ms(&mut self, ms: u64) {
        let until_us = self.now_us + ms * 1_000;
        let mut events_in_ms = 0;
        while let Some(due_us) = self.next_due_us().filter(|due_us| *due_us <= until_us) {
            events_in_ms = if due_us / 1_000 == self.now_us / 1_000 { events_in_ms + 1 } else { 0 };
            let is_endless = events_in_ms >= MAX_EVENTS_PER_MS;
            assert!(
                !is_endless,
                "the reducers are in an endless loop at {due_us} us: {}",
                self.describe_due(due_us)
            );
            self.now_us = self.now_us.max(due_us);
            self.run_due();
        }
        self.now_us = until_us;
    }

    fn next_due_us(&self) -> Option<u64> {
        let queued = self.queue.keys().next().map(|(due_us, _)| *due_us);
        let ticks = self.hosts.iter().filter_map(Host::tick_due_us);
        ticks.chain(queued).min()
    }

    /// Describes the due events for the report of an endless loop.
    fn describe_due(&self, due_us: u64) -> String {
        let is_due = |host: &&Host| host.tick_due_us().is_some_and(|at| at <= due_us);
        let ticks: Vec<_> = self.hosts.iter().filter(is_due).map(|host| &host.name).collect();
        let queued = self.queue.range(..=(due_us, u64::MAX)).count();
        format!("ticks of {ticks:?}, {queued} items in the queue")
    }

    fn run_due(&mut self) {
        let now_us = self.now_us;
        let is_due = |host: &Host| host.tick_due_us().is_some_and(|due_us| due_us <= now_us);
        if let Some(host) = self.hosts.iter().position(is_due) {
            // If both fall in one microsecond, the tick goes first: its deadline is not yet past.
            self.submit(host, Event::Tick);
            return;
        }
        let Some((_, item)) = self.queue.pop_first() else { return };
        match item {
            Item::Event { host, epoch, event } => {
                if self.hosts[host].epoch == epoch {
                    self.submit(host, event);
                }
            }
            Item::Synced { host, epoch, sequence } => self.synced(host, epoch, sequence),
            Item::Call(item) => self.run_call_item(item),
        }
    }

    fn synced(&mut self, host: usize, epoch: u64, sequence: u64) {
        if self.hosts[host].epoch != epoch || !self.is_up(host) {
            return;
        }
        if let Some(disk) = &mut self.hosts[host].disk {
            disk.sync(sequence);
        }
        self.submit(host, Event::Disk(DiskEvent::Synced { sequence }));
    }

    /// Queues an event.
    pub fn push(&mut self, delay_us: u64, item: Item) {
        self.order += 1;
        self.queue.insert((self.now_us + delay_us, self.order), item);
    }

    /// Queues an event for the current process of a host.
    pub fn push_event(&mut self, delay_us: u64, host: usize, event: Event) {
        let epoch = self.hosts[host].epoch;
        self.push(delay_us, Item::Event { host, epoch, event });
    }

    /// Passes an event to a running process and applies its effects.
    pub fn submit(&mut self, index: usize, event: Event) {
        let now_us = self.now_us;
        let host = &mut self.hosts[index];
        let now = Instant::from_us(now_us - host.started_us);
        let Some(state) = &mut host.state else { return };
        let effects = reduce(state, event, now);
        self.report_to_oracle(index);
        for effect in effects {
            self.apply_effect(index, effect);
        }
    }

    /// Reports the configuration of a host to the oracle if it changed.
    fn report_to_oracle(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let Some(state) = &host.state else { return };
        let held = (Arc::clone(state.distribution().current()), state.distribution().is_ready());
        let is_unchanged = host.reported.as_ref().is_some_and(|(configuration, ready)| {
            Arc::ptr_eq(configuration, &held.0) && *ready == held.1
        });
        if is_unchanged {
            return;
        }
        if self.is_traced {
            println!("{} {index} holds {} ready {}", self.now_us, held.0.version(), held.1);
        }
        self.calls.organisations.record_version(&held.0);
        if held.1 {
            self.oracle.record_serving(index, &held.0);
        }
        host.reported = Some(held);
    }
}

impl Host {
    fn tick_due_us(&self) -> Option<u64> {
        let due = self.state.as_ref()?.next_deadline();
        (due != Instant::NEVER).then(|| self.started_us.saturating_add(due.as_us()))
    }
}

/// Addresses of a host, shared by all its processes.
pub fn addresses(host: usize) -> Addresses {
    let at = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 0, host as u8), port));
    Addresses { peers: at(1), forward: at(2), api: at(3), calls: at(4) }
}
