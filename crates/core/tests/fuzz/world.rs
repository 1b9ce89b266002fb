//! Several reducers, their disks and the network between them, in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use fireflylug_core::api::{ApiRequest, ApiResponse, ErrorCode, Freshness, WatchEvent};
use fireflylug_core::config::Configuration;
use fireflylug_core::consensus::{ControlSettings, DiskEvent};
use fireflylug_core::context::{Addresses, Identity};
use fireflylug_core::ids::{Locality, Name, NodeId, RequestId, Version};
use fireflylug_core::membership::MembershipSettings;
use fireflylug_core::message::PeerMessage;
use fireflylug_core::state::CoreSettings;
use fireflylug_core::{Effect, Event, Instant, State, reduce};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::calls::{CallItem, Calls};
use crate::disk::FakeDisk;
use crate::network::{Fate, Network};
use crate::oracle::{Oracle, Verdict};

/// Availability zone of each host. The first three hosts have a disk.
pub const ZONES: [usize; 8] = [0, 1, 2, 0, 1, 2, 0, 1];

/// Hosts with a disk.
pub const CONTROL_HOSTS: usize = 3;

/// Unix time at which the world begins, in milliseconds.
const EPOCH_UNIX_MS: u64 = 1_800_000_000_000;

/// Most events in one millisecond before the world says that the reducers spin.
const MAX_EVENTS_PER_MS: u32 = 20_000;

/// One process, up or down.
pub struct Host {
    pub name: Name,
    pub id: NodeId,
    zone: usize,
    pub state: Option<State>,
    disk: Option<FakeDisk>,
    /// Grows with each start: what was meant for an earlier process is dropped.
    pub epoch: u64,
    pub started_us: u64,
    known: BTreeSet<NodeId>,
    shown: Option<(Arc<Configuration>, bool)>,
}

/// What an operator waits for.
enum Ask {
    Change(u32),
    Read(Version),
    Watch,
    Other,
}

/// Something that is due.
pub enum Item {
    /// An event at a host, for the process that was running when it was made.
    Event { host: usize, epoch: u64, event: Event },
    /// The disk of a host has synced.
    Synced { host: usize, epoch: u64, sequence: u64 },
    /// Something of a call or a target.
    Call(CallItem),
}

/// Everything, and the time.
pub struct World {
    pub now_us: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Item>,
    pub hosts: Vec<Host>,
    pub network: Network,
    pub oracle: Oracle,
    pub calls: Calls,
    pub rng: SmallRng,
    asked: BTreeMap<(usize, u64, RequestId), Ask>,
    next_request: u64,
    trace: bool,
}

impl World {
    /// Makes a world whose hosts have all started.
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now_us: 0,
            order: 0,
            queue: BTreeMap::new(),
            hosts: Vec::new(),
            network: Network::new(ZONES.len()),
            oracle: Oracle::new(),
            calls: Calls::new(),
            rng: SmallRng::seed_from_u64(seed),
            asked: BTreeMap::new(),
            next_request: 0,
            trace: std::env::var_os("FIREFLYLUG_FUZZ_TRACE").is_some(),
        };
        for (index, zone) in ZONES.into_iter().enumerate() {
            let host = world.make_host(index, zone);
            world.hosts.push(host);
        }
        (0..ZONES.len()).for_each(|host| world.start(host));
        world
    }

    fn make_host(&mut self, index: usize, zone: usize) -> Host {
        let name = Name::new(format!("host-{index}")).expect("in form");
        let disk = (index < CONTROL_HOSTS).then(|| FakeDisk::blank(&mut self.rng));
        Host {
            id: NodeId::of_host(&name),
            name,
            zone,
            state: None,
            disk,
            epoch: 0,
            started_us: 0,
            known: BTreeSet::new(),
            shown: None,
        }
    }

    /// Starts the process of a host that is down.
    pub fn start(&mut self, host: usize) {
        // A start takes time: two processes of a host never share an incarnation.
        self.run_ms(2);
        let recovered = self.hosts[host].disk.as_mut().map(FakeDisk::open);
        let settings = self.settings(recovered.is_some());
        let me = self.identity(host);
        let state = State::new(me, settings, recovered.unwrap_or_default(), self.rng.random());
        let now_us = self.now_us;
        let host = &mut self.hosts[host];
        host.state = Some(state);
        host.epoch += 1;
        host.started_us = now_us;
        host.known.clear();
        host.shown = None;
    }

    fn settings(&self, control: bool) -> CoreSettings {
        let voters = (0..CONTROL_HOSTS).map(|voter| self.hosts_id(voter)).collect();
        let seeds = (0..CONTROL_HOSTS).map(|seed| addresses(seed).peers).collect();
        CoreSettings {
            membership: MembershipSettings { seeds },
            control: control.then_some(ControlSettings {
                initial_voters: voters,
                ..ControlSettings::default()
            }),
            ..CoreSettings::default()
        }
    }

    fn hosts_id(&self, index: usize) -> NodeId {
        NodeId::of_host(&Name::new(format!("host-{index}")).expect("in form"))
    }

    fn identity(&self, index: usize) -> Identity {
        let host = &self.hosts[index];
        let region = if host.zone == 2 { "south" } else { "north" };
        let zone = Name::new(format!("zone-{}", host.zone)).expect("in form");
        let started_unix_ms = EPOCH_UNIX_MS + self.now_us / 1_000;
        Identity {
            id: host.id,
            host: host.name.clone(),
            locality: Locality {
                region: Name::new(region).expect("in form"),
                availability_zone: zone,
            },
            incarnation: started_unix_ms,
            started_unix_ms,
            addresses: addresses(index),
            control: host.disk.is_some(),
            is_link_slow: false,
        }
    }

    /// Ends a process without warning. What its disk had not synced may be lost.
    pub fn crash(&mut self, host: usize) {
        self.end(host);
        if let Some(disk) = &mut self.hosts[host].disk {
            disk.crash(&mut self.rng);
        }
    }

    /// Replaces the disk of a host that is down by a blank one.
    pub fn blank(&mut self, host: usize) {
        self.hosts[host].disk = Some(FakeDisk::blank(&mut self.rng));
    }

    fn end(&mut self, host: usize) {
        self.hosts[host].state = None;
        self.calls.host_ended(host);
        for peer in self.network.disconnect_all(host) {
            let delay_us = self.rng.random_range(0..200_000);
            self.tell_disconnected(peer, host, delay_us);
        }
    }

    /// Whether the process of a host runs.
    pub fn is_up(&self, host: usize) -> bool {
        self.hosts[host].state.is_some()
    }

    /// Sends a request to the resource API of a host; nothing where it is down.
    pub fn ask(&mut self, host: usize, body: ApiRequest) {
        let ask = match &body {
            ApiRequest::Get(_, Freshness::Current) | ApiRequest::List(_, Freshness::Current) => {
                Ask::Read(self.oracle.newest_accepted())
            }
            ApiRequest::Watch { .. } => Ask::Watch,
            _ => Ask::Other,
        };
        self.send_request(host, ask, body);
    }

    /// Sends a change to a host.
    pub fn ask_change(&mut self, host: usize, marker: u32, body: ApiRequest) {
        self.send_request(host, Ask::Change(marker), body);
    }

    fn send_request(&mut self, host: usize, ask: Ask, body: ApiRequest) {
        if !self.is_up(host) {
            return;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.asked.insert((host, self.hosts[host].epoch, request), ask);
        self.submit(host, Event::ApiRequest { request, body });
    }

    /// Lets time pass.
    pub fn run_ms(&mut self, ms: u64) {
        let until_us = self.now_us + ms * 1_000;
        let mut in_this_ms = 0;
        while let Some(due_us) = self.next_due_us().filter(|due_us| *due_us <= until_us) {
            in_this_ms = if due_us / 1_000 == self.now_us / 1_000 { in_this_ms + 1 } else { 0 };
            let spins = in_this_ms >= MAX_EVENTS_PER_MS;
            assert!(!spins, "the reducers spin at {due_us} us: {}", self.due_now(due_us));
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

    /// What is due, for the report of a spin.
    fn due_now(&self, due_us: u64) -> String {
        let is_due = |host: &&Host| host.tick_due_us().is_some_and(|at| at <= due_us);
        let ticks: Vec<_> = self.hosts.iter().filter(is_due).map(|host| &host.name).collect();
        let queued = self.queue.range(..=(due_us, u64::MAX)).count();
        format!("ticks of {ticks:?}, {queued} items in the queue")
    }

    fn run_due(&mut self) {
        let now_us = self.now_us;
        let is_due = |host: &Host| host.tick_due_us().is_some_and(|due_us| due_us <= now_us);
        if let Some(host) = self.hosts.iter().position(is_due) {
            // The deadline itself is not yet past where both fall in one microsecond.
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

    /// Puts something into the queue.
    pub fn push(&mut self, delay_us: u64, item: Item) {
        self.order += 1;
        self.queue.insert((self.now_us + delay_us, self.order), item);
    }

    /// Puts an event for the present process of a host into the queue.
    pub fn push_event(&mut self, delay_us: u64, host: usize, event: Event) {
        let epoch = self.hosts[host].epoch;
        self.push(delay_us, Item::Event { host, epoch, event });
    }

    /// Passes an event to a process that is up, and carries its effects out.
    pub fn submit(&mut self, index: usize, event: Event) {
        let now_us = self.now_us;
        let host = &mut self.hosts[index];
        let now = Instant::from_us(now_us - host.started_us);
        let Some(state) = &mut host.state else { return };
        let effects = reduce(state, event, now);
        self.show(index);
        for effect in effects {
            self.carry_out(index, effect);
        }
    }

    /// Tells the oracle what a host holds, where that changed.
    fn show(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let Some(state) = &host.state else { return };
        let held = (Arc::clone(state.distribution().current()), state.distribution().is_ready());
        let same = host.shown.as_ref().is_some_and(|(configuration, ready)| {
            Arc::ptr_eq(configuration, &held.0) && *ready == held.1
        });
        if same {
            return;
        }
        if self.trace {
            println!("{} {index} holds {} ready {}", self.now_us, held.0.version(), held.1);
        }
        if held.1 {
            self.oracle.shows(index, &held.0);
        }
        host.shown = Some(held);
    }

    fn carry_out(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(host, to, message),
            Effect::LearnAddress { peer, .. } => {
                self.hosts[host].known.insert(peer);
            }
            Effect::ForgetPeer { peer } => {
                self.hosts[host].known.remove(&peer);
            }
            Effect::Dial { address } => self.dial(host, address),
            Effect::Disk(command) => {
                let epoch = self.hosts[host].epoch;
                let sequence = command.sequence;
                if let Some(disk) = &mut self.hosts[host].disk {
                    disk.take(command);
                }
                let delay_us = self.rng.random_range(500..5_000);
                self.push(delay_us, Item::Synced { host, epoch, sequence });
            }
            Effect::Answer { request, response } => self.answered(host, request, response),
            Effect::Call(effect) => self.call_effect(host, effect),
            Effect::Decided(_) => {}
            Effect::Log { level, part, text } => {
                if self.trace {
                    println!("{} {host} {level:?} {part}: {text}", self.now_us);
                }
            }
            Effect::Exit => {
                self.calls.check_stopped(host);
                self.end(host);
            }
        }
    }

    fn dial(&mut self, host: usize, address: SocketAddr) {
        let peer = (0..self.hosts.len()).find(|peer| addresses(*peer).peers == address);
        let Some(peer) = peer.filter(|peer| *peer != host) else { return };
        if self.is_up(peer) && self.network.reaches(host, peer) {
            self.connect(host, peer);
        }
    }

    /// Connects two processes unless they are. Returns the time until both know.
    fn connect(&mut self, host: usize, peer: usize) -> u64 {
        let Some(delay_us) = self.network.connect(host, peer, self.now_us, &mut self.rng) else {
            return self.network.until_ready_us(host, peer, self.now_us);
        };
        let (host_id, peer_id) = (self.hosts[host].id, self.hosts[peer].id);
        self.push_event(delay_us, host, Event::PeerConnected { peer: peer_id });
        self.push_event(delay_us, peer, Event::PeerConnected { peer: host_id });
        delay_us + 1
    }

    fn send(&mut self, from: usize, to: NodeId, message: PeerMessage) {
        let Some(peer) = self.hosts.iter().position(|host| host.id == to) else { return };
        let connected = self.network.is_connected(from, peer);
        let may_dial = connected || self.hosts[from].known.contains(&to);
        if !may_dial || !self.is_up(peer) {
            return self.lose(from, peer);
        }
        // A process dials another once at a time, and its messages wait meanwhile.
        let waits = self.network.until_ready_us(from, peer, self.now_us) > 0;
        let copies = match self.network.fate(from, peer, &mut self.rng) {
            Fate::Lost if waits && self.network.reaches(from, peer) => 1,
            Fate::Lost => return self.lose(from, peer),
            Fate::Arrives { copies } => copies,
        };
        let connect_us = self.connect(from, peer);
        let id = self.hosts[from].id;
        for _ in 0..copies {
            let delay_us = connect_us + self.network.delay_us(&mut self.rng);
            let event = Event::PeerMessage { from: id, message: message.clone() };
            self.push_event(delay_us, peer, event);
        }
    }

    /// A message is lost: both ends hear of the lost connection, sooner or later.
    fn lose(&mut self, from: usize, to: usize) {
        let was_connected = self.network.disconnect(from, to);
        let delay_us = self.rng.random_range(100_000..2_000_000);
        self.tell_disconnected(from, to, delay_us);
        if was_connected {
            self.tell_disconnected(to, from, delay_us);
        }
    }

    fn tell_disconnected(&mut self, host: usize, peer: usize, delay_us: u64) {
        let peer = self.hosts[peer].id;
        self.push_event(delay_us, host, Event::PeerDisconnected { peer });
    }

    fn answered(&mut self, host: usize, request: RequestId, response: ApiResponse) {
        let key = (host, self.hosts[host].epoch, request);
        match (self.asked.get(&key), response) {
            (Some(Ask::Change(marker)), response) => {
                let marker = *marker;
                self.oracle.told(marker, verdict(&response));
                self.asked.remove(&key);
            }
            (Some(Ask::Read(newest)), ApiResponse::List { version, .. }) => {
                self.oracle.read(*newest, version);
            }
            (Some(Ask::Watch), ApiResponse::Watch(WatchEvent::InForce { version, .. })) => {
                self.oracle.in_force(version, &self.serving());
            }
            _ => {}
        }
    }

    /// Hosts that may serve calls, with the version by which they do.
    pub fn serving(&self) -> Vec<(usize, Version)> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter_map(|(index, host)| {
                let held = host.state.as_ref()?.distribution();
                held.is_ready().then(|| (index, held.current().version()))
            })
            .collect()
    }
}

impl Host {
    fn tick_due_us(&self) -> Option<u64> {
        let due = self.state.as_ref()?.next_deadline();
        (due != Instant::NEVER).then(|| self.started_us.saturating_add(due.as_us()))
    }
}

fn verdict(response: &ApiResponse) -> Verdict {
    match response {
        ApiResponse::Accepted { version } => Verdict::Accepted(*version),
        ApiResponse::Error(error) if error.code == ErrorCode::OutcomeUnknown => Verdict::Open,
        _ => Verdict::Refused,
    }
}

/// Addresses of a host; every process of it listens at the same.
pub fn addresses(host: usize) -> Addresses {
    let at = |port| SocketAddr::from((Ipv4Addr::new(10, 0, 0, host as u8), port));
    Addresses { peers: at(1), forward: at(2), api: at(3), calls: at(4) }
}
