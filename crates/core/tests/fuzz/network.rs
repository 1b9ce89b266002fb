//! Which processes reach each other, and what becomes of a message.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::world::ZONES;

/// What becomes of a message.
pub enum Fate {
    /// It never arrives.
    Lost,
    /// It arrives this often.
    Arrives {
        /// 1, or more where it is doubled.
        copies: u32,
    },
}

/// How badly the network behaves.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// Messages lost, in percent.
    pub lost_percent: u8,
    /// Messages doubled, in percent.
    pub doubled_percent: u8,
    /// Longest delay, in milliseconds. Messages overtake each other within it.
    pub max_delay_ms: u16,
}

/// The state of the network.
pub struct Network {
    weather: Weather,
    cut_zones: BTreeSet<usize>,
    isolated: BTreeSet<usize>,
    connections: BTreeSet<(usize, usize)>,
    /// When the newest connection of two processes is ready, in microseconds.
    ready_us: BTreeMap<(usize, usize), u64>,
    hosts: usize,
}

impl Network {
    /// Makes a network without faults.
    pub fn new(hosts: usize) -> Self {
        Self {
            weather: CALM,
            cut_zones: BTreeSet::new(),
            isolated: BTreeSet::new(),
            connections: BTreeSet::new(),
            ready_us: BTreeMap::new(),
            hosts,
        }
    }

    /// Cuts an availability zone off from the others.
    pub fn cut_zone(&mut self, zone: usize) {
        self.cut_zones.insert(zone);
    }

    /// Cuts one host off from every other.
    pub fn isolate(&mut self, host: usize) {
        self.isolated.insert(host);
    }

    /// Sets how badly the network behaves.
    pub fn set_weather(&mut self, weather: Weather) {
        self.weather = weather;
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.weather = CALM;
        self.cut_zones.clear();
        self.isolated.clear();
    }

    /// Whether a message may get from one host to the other.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let (from_zone, to_zone) = (ZONES[from], ZONES[to]);
        let cut = from_zone != to_zone
            && (self.cut_zones.contains(&from_zone) || self.cut_zones.contains(&to_zone));
        let isolated = self.isolated.contains(&from) || self.isolated.contains(&to);
        from == to || !(cut || isolated)
    }

    /// Decides what becomes of a message.
    pub fn fate(&self, from: usize, to: usize, rng: &mut SmallRng) -> Fate {
        if !self.reaches(from, to) || rng.random_range(0..100) < self.weather.lost_percent {
            return Fate::Lost;
        }
        let doubled = rng.random_range(0..100) < self.weather.doubled_percent;
        Fate::Arrives { copies: 1 + u32::from(doubled) }
    }

    /// Time that a message takes, in microseconds.
    pub fn delay_us(&self, rng: &mut SmallRng) -> u64 {
        rng.random_range(500..=u64::from(self.weather.max_delay_ms) * 1_000)
    }

    /// Whether two processes are connected.
    pub fn is_connected(&self, a: usize, b: usize) -> bool {
        self.connections.contains(&pair(a, b))
    }

    /// Time that is left until the connection of two processes is ready, in microseconds.
    pub fn until_ready_us(&self, a: usize, b: usize, now_us: u64) -> u64 {
        let ready_us = self.ready_us.get(&pair(a, b)).copied().unwrap_or(0);
        if self.is_connected(a, b) { ready_us.saturating_sub(now_us) } else { 0 }
    }

    /// Connects two processes. Returns the time until both know, or none where
    /// they were connected.
    pub fn connect(&mut self, a: usize, b: usize, now_us: u64, rng: &mut SmallRng) -> Option<u64> {
        if !self.connections.insert(pair(a, b)) {
            return None;
        }
        let delay_us = (0..HANDSHAKE_CROSSINGS).map(|_| self.delay_us(rng)).sum();
        self.ready_us.insert(pair(a, b), now_us + delay_us);
        Some(delay_us)
    }

    /// Closes the connection of two processes. Returns false where there was none.
    pub fn disconnect(&mut self, a: usize, b: usize) -> bool {
        self.connections.remove(&pair(a, b))
    }

    /// Closes every connection of a process and returns the other ends.
    pub fn disconnect_all(&mut self, host: usize) -> Vec<usize> {
        (0..self.hosts).filter(|peer| self.connections.remove(&pair(host, *peer))).collect()
    }
}

/// Crossings of the network before a connection carries messages: TCP,
/// WebSocket and the handshake between processes take a round trip each.
const HANDSHAKE_CROSSINGS: usize = 6;

const CALM: Weather = Weather { lost_percent: 0, doubled_percent: 0, max_delay_ms: 5 };

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}
