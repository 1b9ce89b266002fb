//! The simulated network: which processes reach each other, and which messages arrive when.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::rngs::SmallRng;

/// What happens to a message.
pub enum Delivery {
    /// The message is lost.
    Lost,
    /// The message arrives, possibly more than once.
    Arrives {
        /// Number of copies: 1, or 2 if the message is duplicated.
        copies: u32,
    },
}

/// Rates of random network faults.
#[derive(Clone, Copy, Debug)]
pub struct FaultRates {
    /// Lost messages, in percent.
    pub lost_percent: u8,
    /// Duplicated messages, in percent.
    pub duplicated_percent: u8,
    /// Maximum delay, in milliseconds. Messages within it can overtake each other.
    pub max_delay_ms: u16,
}

/// State of the network.
pub struct Network {
    fault_rates: FaultRates,
    cut_zones: BTreeSet<usize>,
    isolated: BTreeSet<usize>,
    /// Hosts on one side of a split; all others are on the other side.
    split_side: BTreeSet<usize>,
    /// Pairs of hosts that are cut off from each other alone.
    cut_pairs: BTreeSet<(usize, usize)>,
    connections: BTreeSet<(usize, usize)>,
    /// When the latest connection of two processes becomes ready, in microseconds.
    ready_us: BTreeMap<(usize, usize), u64>,
    /// Availability zone of each host.
    zones: Vec<usize>,
}

impl Network {
    /// Makes a network without faults between hosts in these availability zones.
    pub fn new(zones: Vec<usize>) -> Self {
        Self {
            fault_rates: NO_FAULTS,
            cut_zones: BTreeSet::new(),
            isolated: BTreeSet::new(),
            split_side: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            connections: BTreeSet::new(),
            ready_us: BTreeMap::new(),
            zones,
        }
    }

    /// Cuts an availability zone off from the others.
    pub fn cut_zone(&mut self, zone: usize) {
        self.cut_zones.insert(zone);
    }

    /// Cuts one host off from all others.
    pub fn isolate(&mut self, host: usize) {
        self.isolated.insert(host);
    }

    /// Cuts hosts off from all others. They still reach each other.
    pub fn split(&mut self, hosts: &[usize]) {
        self.split_side = hosts.iter().copied().collect();
    }

    /// Cuts two groups of hosts off from each other. Both still reach all other hosts.
    pub fn cut_between(&mut self, one: &[usize], other: &[usize]) {
        let pairs = one.iter().flat_map(|a| other.iter().map(|b| pair(*a, *b)));
        self.cut_pairs.extend(pairs);
    }

    /// Sets the rates of random faults.
    pub fn set_fault_rates(&mut self, fault_rates: FaultRates) {
        self.fault_rates = fault_rates;
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.fault_rates = NO_FAULTS;
        self.cut_zones.clear();
        self.isolated.clear();
        self.split_side.clear();
        self.cut_pairs.clear();
    }

    /// Whether messages can pass from one host to the other.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let (from_zone, to_zone) = (self.zones[from], self.zones[to]);
        let is_cut = from_zone != to_zone
            && (self.cut_zones.contains(&from_zone) || self.cut_zones.contains(&to_zone));
        let is_isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        let is_split = self.split_side.contains(&from) != self.split_side.contains(&to);
        let is_pair_cut = self.cut_pairs.contains(&pair(from, to));
        from == to || !(is_cut || is_isolated || is_split || is_pair_cut)
    }

    /// Decides what happens to a message.
    pub fn decide_delivery(&self, from: usize, to: usize, rng: &mut SmallRng) -> Delivery {
        if !self.reaches(from, to) || rng.random_range(0..100) < self.fault_rates.lost_percent {
            return Delivery::Lost;
        }
        let is_duplicated = rng.random_range(0..100) < self.fault_rates.duplicated_percent;
        Delivery::Arrives { copies: 1 + u32::from(is_duplicated) }
    }

    /// A random delay of one message, in microseconds.
    pub fn delay_us(&self, rng: &mut SmallRng) -> u64 {
        rng.random_range(500..=u64::from(self.fault_rates.max_delay_ms) * 1_000)
    }

    /// Whether two processes are connected.
    pub fn is_connected(&self, a: usize, b: usize) -> bool {
        self.connections.contains(&pair(a, b))
    }

    /// Time until the connection of two processes is ready, in microseconds.
    pub fn until_ready_us(&self, a: usize, b: usize, now_us: u64) -> u64 {
        let ready_us = self.ready_us.get(&pair(a, b)).copied().unwrap_or(0);
        if self.is_connected(a, b) { ready_us.saturating_sub(now_us) } else { 0 }
    }

    /// Connects two processes. Returns the time until the connection is ready at both, in
    /// microseconds. None if they were connected.
    pub fn connect(&mut self, a: usize, b: usize, now_us: u64, rng: &mut SmallRng) -> Option<u64> {
        if !self.connections.insert(pair(a, b)) {
            return None;
        }
        let delay_us = (0..HANDSHAKE_CROSSINGS).map(|_| self.delay_us(rng)).sum();
        self.ready_us.insert(pair(a, b), now_us + delay_us);
        Some(delay_us)
    }

    /// Closes the connection of two processes. Returns false if there was none.
    pub fn disconnect(&mut self, a: usize, b: usize) -> bool {
        self.connections.remove(&pair(a, b))
    }

    /// Closes all connections of a process. Returns the other ends.
    pub fn disconnect_all(&mut self, host: usize) -> Vec<usize> {
        (0..self.zones.len()).filter(|peer| self.connections.remove(&pair(host, *peer))).collect()
    }
}

/// Network crossings before a connection carries messages: TCP, WebSocket and the handshake
/// between processes take one round trip each.
const HANDSHAKE_CROSSINGS: usize = 6;

const NO_FAULTS: FaultRates =
    FaultRates { lost_percent: 0, duplicated_percent: 0, max_delay_ms: 5 };

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
