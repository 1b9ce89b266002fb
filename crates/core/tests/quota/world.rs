//! Simulated hosts that admit the calls of organisations: messages with delays and losses, cuts,
//! stopped and restarted processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fireflylug_core::context::{Addresses, Context, Identity};
use fireflylug_core::ids::{Locality, Name, NodeId};
use fireflylug_core::membership::{
    Member, MemberStatus, Membership, MembershipMessage, MembershipSettings, Records,
};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::quota::{QuotaLimit, QuotaMessage, Quotas};
use fireflylug_core::{Effect, Instant};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::organisation::Organisation;

pub const SECOND: u64 = 1_000_000;
const ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

#[derive(Clone, Debug)]
pub enum Fault {
    /// Hosts of each group reach only each other. Messages between groups are lost, or held back
    /// until the next cut.
    Cut { groups: Vec<usize>, holds: bool },
    /// A process does nothing, then continues.
    Freeze { node: usize, us: u64 },
    /// Processes end and start again without memory of the others.
    Restart { nodes: Vec<usize>, down_us: u64 },
    /// The other processes learn that one is dead.
    Dead { node: usize },
    /// A new limit of an organisation.
    Limit { organisation: usize, limit: QuotaLimit },
    /// The demand of an organisation moves.
    Move { organisation: usize, weights: Vec<f64> },
}

enum Event {
    Deliver { from: usize, to: usize, incarnation: u64, message: QuotaMessage },
    Tick(usize),
    Arrival(usize),
    Call { node: usize, organisation: usize, retries: u8 },
    Start(usize),
    Join(usize),
    Fault(Fault),
}

struct Node {
    me: Identity,
    zone: usize,
    membership: Membership,
    quotas: Quotas,
    rng: SmallRng,
    started_at: u64,
    tick_at: u64,
    frozen_until: u64,
}

pub struct World {
    pub now: u64,
    pub organisations: Vec<Organisation>,
    nodes: Vec<Node>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    groups: Vec<usize>,
    holds: bool,
    held: Vec<(usize, usize, QuotaMessage)>,
    /// Processes that the others have recorded as dead.
    dead: Vec<usize>,
    loss: f64,
    pub rng: SmallRng,
    /// Size of the messages, if it is counted.
    pub sent_bytes: Option<u64>,
    /// The faults, for reports of failures.
    pub planned: Vec<String>,
}

pub fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

fn settings() -> MembershipSettings {
    MembershipSettings { seeds: vec![SocketAddr::from(([127, 0, 0, 2], 2))] }
}

impl World {
    /// Hosts in zones of about the same size; the last zone is in another region.
    pub fn new(seed: u64, hosts: usize, zones: usize, organisations: Vec<Organisation>) -> Self {
        let address = SocketAddr::from(ADDRESS);
        let node = |index: usize| {
            let (host, zone) = (name(&format!("h{index}")), index % zones);
            let region = name(if zone + 1 == zones { "r2" } else { "r1" });
            let me = Identity {
                id: NodeId::of_host(&host),
                host,
                locality: Locality { region, availability_zone: name(&format!("z{zone}")) },
                incarnation: 1,
                started_unix_ms: 0,
                addresses: Addresses {
                    peers: address,
                    forward: address,
                    api: address,
                    calls: address,
                },
                control: false,
                is_link_slow: false,
            };
            let rng = SmallRng::seed_from_u64(seed ^ (index as u64) << 32);
            let membership = Membership::new(settings(), &me);
            let quotas = Quotas::new();
            let (started_at, tick_at, frozen_until) = (0, u64::MAX, 0);
            Node { me, zone, membership, quotas, rng, started_at, tick_at, frozen_until }
        };
        let mut world = Self {
            now: 0,
            organisations,
            nodes: (0..hosts).map(node).collect(),
            events: BTreeMap::new(),
            next_event: 0,
            groups: vec![0; hosts],
            holds: false,
            held: Vec::new(),
            dead: Vec::new(),
            loss: 0.002,
            rng: SmallRng::seed_from_u64(seed),
            sent_bytes: None,
            planned: Vec::new(),
        };
        (0..hosts).for_each(|node| world.schedule(0, Event::Join(node)));
        (0..world.organisations.len()).for_each(|o| world.schedule(SECOND, Event::Arrival(o)));
        world
    }

    pub fn zones(&self) -> Vec<usize> {
        self.nodes.iter().map(|node| node.zone).collect()
    }

    /// The host that is the relay of a zone at the start.
    pub fn relay(&self, zone: usize) -> usize {
        let relay = self.nodes[0].membership.relay(&name(&format!("z{zone}")));
        self.nodes.iter().position(|node| Some(node.me.id) == relay).expect("the zone has a relay")
    }

    pub fn plan(&mut self, at: u64, fault: Fault) {
        let text: String = format!("{fault:?}").chars().take(60).collect();
        self.planned.push(format!("{:.1} s {text}", at as f64 / 1e6));
        self.schedule(at, Event::Fault(fault));
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at.max(self.now), self.next_event), event);
    }

    pub fn run(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 < until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Deliver { to, .. } => Some(*to),
            Event::Tick(node) | Event::Join(node) | Event::Call { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(until) = node.map(|n| self.nodes[n].frozen_until).filter(|at| *at > self.now) {
            // Callers of a stopped process time out after a second.
            if !matches!(event, Event::Call { .. }) || until - self.now < SECOND {
                self.schedule(until, event);
            }
            return;
        }
        match event {
            Event::Deliver { from, to, incarnation, message } => {
                if self.nodes[to].me.incarnation == incarnation {
                    let sender = self.nodes[from].me.id;
                    self.act(to, |quotas, cx, members| quotas.step(cx, members, sender, message));
                }
            }
            Event::Tick(node) => {
                if self.nodes[node].tick_at <= self.now {
                    self.nodes[node].tick_at = u64::MAX;
                    self.act(node, |quotas, cx, members| quotas.tick(cx, members));
                }
            }
            Event::Arrival(organisation) => self.arrival(organisation),
            Event::Call { node, organisation, retries } => self.call(node, organisation, retries),
            Event::Start(node) => self.start(node),
            Event::Join(node) => self.join(node),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    /// Whether a process gives credit to a late call of an organisation.
    pub fn admits_late(&mut self, index: usize, organisation: usize) -> bool {
        let name = self.organisations[organisation].name.clone();
        let now = Instant::from_us(self.now - self.nodes[index].started_at);
        let mut is_admitted = false;
        self.act(index, |quotas, _, _| is_admitted = quotas.try_take(now, &name, true).is_ok());
        is_admitted
    }

    fn act(&mut self, index: usize, act: impl FnOnce(&mut Quotas, &mut Context<'_>, &Membership)) {
        let node = &mut self.nodes[index];
        let now = Instant::from_us(self.now - node.started_at);
        let mut effects = Vec::new();
        let mut cx = Context { now, rng: &mut node.rng, me: &node.me, effects: &mut effects };
        act(&mut node.quotas, &mut cx, &node.membership);
        for effect in effects {
            let Effect::Send { to, message: PeerMessage::Quota(message) } = effect else {
                continue;
            };
            let to = self.nodes.iter().position(|node| node.me.id == to).expect("the host exists");
            self.send(index, to, message);
        }
        let node = &mut self.nodes[index];
        let due = node.quotas.next_deadline();
        let due = node.started_at.saturating_add(due.as_us()).max(self.now);
        if due < node.tick_at && due < u64::MAX / 2 {
            node.tick_at = due;
            self.schedule(due, Event::Tick(index));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: QuotaMessage) {
        if let Some(sent_bytes) = &mut self.sent_bytes {
            let mut encoded = Vec::new();
            let message = PeerMessage::Quota(message.clone());
            ciborium::into_writer(&message, &mut encoded).expect("the message can be encoded");
            *sent_bytes += encoded.len() as u64;
        }
        if self.groups[from] != self.groups[to] {
            if self.holds {
                self.held.push((from, to, message));
            }
            return;
        }
        if self.rng.random_bool(self.loss) {
            return;
        }
        let region = |node: usize| &self.nodes[node].me.locality.region;
        let delay_us = match self.nodes[from].zone == self.nodes[to].zone {
            true => 200,
            false if region(from) == region(to) => 2_400,
            false => 30_000,
        };
        let incarnation = self.nodes[to].me.incarnation;
        self.schedule(self.now + delay_us, Event::Deliver { from, to, incarnation, message });
    }

    fn arrival(&mut self, index: usize) {
        let organisation = &self.organisations[index];
        let wait_s = -(1.0 - self.rng.random::<f64>()).ln() / organisation.demand_per_s(self.now);
        // The demand may change meanwhile.
        let (wait_s, is_call) = if wait_s > 0.02 { (0.02, false) } else { (wait_s, true) };
        self.schedule(self.now + (wait_s * 1e6) as u64, Event::Arrival(index));
        if is_call {
            let node = self.organisations[index].choose_host(&mut self.rng);
            let retries = if self.rng.random_bool(0.3) { 3 } else { 0 };
            self.schedule(self.now, Event::Call { node, organisation: index, retries });
        }
    }

    fn call(&mut self, index: usize, organisation: usize, retries: u8) {
        let name = self.organisations[organisation].name.clone();
        let mut taken = Ok(());
        let now = Instant::from_us(self.now - self.nodes[index].started_at);
        // Some calls do not run for another reason.
        let is_returned = self.rng.random_bool(0.03);
        self.act(index, |quotas, _, _| {
            taken = quotas.try_take(now, &name, false);
            if taken.is_ok() && is_returned {
                quotas.give_back(now, &name);
            }
        });
        match taken {
            Ok(()) if is_returned => {}
            Ok(()) => self.organisations[organisation].admitted.push(self.now),
            Err(_) => {
                self.organisations[organisation].refused.push(self.now);
                if let Some(retries) = retries.checked_sub(1) {
                    let retry = Event::Call { node: index, organisation, retries };
                    self.schedule(self.now + 2_000, retry);
                }
            }
        }
    }

    /// A process starts. It receives the limits before the records of most others.
    fn start(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.membership = Membership::new(settings(), &node.me);
        node.quotas = Quotas::new();
        node.started_at = self.now;
        node.tick_at = u64::MAX;
        self.configure(index);
        self.schedule(self.now + 400_000, Event::Join(index));
    }

    /// The process receives the records of all others, and the limits.
    fn join(&mut self, index: usize) {
        let members = self.nodes.iter().map(|node| Member::of(&node.me)).collect();
        let records = Records { members, targets: Vec::new() };
        self.learn(index, MembershipMessage::Welcome { records, reachability: Vec::new() });
        self.configure(index);
        if self.dead.contains(&index) {
            self.dead.retain(|dead| *dead != index);
            let recorded = self.nodes[index].me.incarnation;
            // As if the process had refuted its death.
            self.nodes[index].me.incarnation += 1;
            self.spread(index, MemberStatus::Alive);
            self.nodes[index].me.incarnation = recorded;
        }
    }

    fn learn(&mut self, index: usize, message: MembershipMessage) {
        let from = self.nodes[(index + 1) % self.nodes.len()].me.id;
        let node = &mut self.nodes[index];
        let now = Instant::from_us(self.now - node.started_at);
        let mut effects = Vec::new();
        let mut cx = Context { now, rng: &mut node.rng, me: &node.me, effects: &mut effects };
        node.membership.step(&mut cx, from, message);
    }

    fn configure(&mut self, index: usize) {
        let limits = self.organisations.iter().map(|o| (o.name.clone(), o.limit()));
        let limits: Vec<(Name, QuotaLimit)> = limits.collect();
        self.act(index, |quotas, cx, _| quotas.configure(cx, limits));
    }

    fn spread(&mut self, of: usize, status: MemberStatus) {
        let member = Member { status, ..Member::of(&self.nodes[of].me) };
        for index in (0..self.nodes.len()).filter(|index| *index != of) {
            let records = Records { members: vec![member.clone()], targets: Vec::new() };
            self.learn(index, MembershipMessage::Records(records));
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Cut { groups, holds } => {
                (self.groups, self.holds) = (groups, holds);
                for (from, to, message) in std::mem::take(&mut self.held) {
                    self.send(from, to, message);
                }
            }
            Fault::Freeze { node, us } => self.nodes[node].frozen_until = self.now + us,
            Fault::Restart { nodes, down_us } => {
                for index in nodes {
                    self.nodes[index].me.incarnation += 1;
                    self.nodes[index].frozen_until = self.now + down_us;
                    self.schedule(self.now + down_us, Event::Start(index));
                    self.spread(index, MemberStatus::Alive);
                }
            }
            Fault::Dead { node } => {
                self.dead.push(node);
                self.spread(node, MemberStatus::Dead);
            }
            Fault::Limit { organisation, limit } => {
                self.organisations[organisation].limits.push((self.now, limit));
                (0..self.nodes.len()).for_each(|index| self.configure(index));
            }
            Fault::Move { organisation, weights } => {
                self.organisations[organisation].set_weights(&weights);
            }
        }
    }
}
