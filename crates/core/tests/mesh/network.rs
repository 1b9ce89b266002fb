//! The simulated network: connections, messages, cuts and slow links.

use fireflylug_core::message::PeerMessage;
use rand::Rng;

use super::event::SimEvent;
use super::{BROKEN_AFTER_US, DIAL_TIMEOUT_US, LATENCY_US, Link, Mesh, traffic};

impl Mesh {
    /// Partitions two sets of hosts from each other, or heals the partition.
    pub fn set_cut(&mut self, one: &[usize], other: &[usize], cut: bool) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(|b| (*a, *b))) {
            if cut {
                self.cuts.insert((a, b));
                self.cuts.insert((b, a));
                let at_us = self.now_us + BROKEN_AFTER_US;
                self.schedule(at_us, a, SimEvent::Break { peer: b });
            } else {
                self.cuts.remove(&(a, b));
                self.cuts.remove(&(b, a));
            }
        }
    }

    /// Partitions two sets of hosts from each other. All connections between them are reset, and
    /// dials are refused until the partition heals.
    pub fn cut_with_resets(&mut self, one: &[usize], other: &[usize]) {
        self.has_refusing_cuts = true;
        self.set_cut(one, other, true);
        for (a, b) in one.iter().flat_map(|a| other.iter().map(|b| (*a, *b))) {
            self.disconnect(a, b);
        }
    }

    /// Whether a message from `host` to `peer` gets no response while their connection stays open.
    pub(super) fn is_silent(&self, host: usize, peer: usize) -> bool {
        self.cuts.contains(&(host, peer)) || self.is_frozen(host) || self.is_frozen(peer)
    }

    /// Connects two hosts unless they are connected. Returns whether they are then; if
    /// not, a failed dial is scheduled.
    pub(super) fn connect(&mut self, host: usize, peer: usize) -> bool {
        if self.connected.contains(&(host, peer)) {
            return true;
        }
        let is_cut = self.cuts.contains(&(host, peer));
        let is_frozen = self.is_frozen(peer);
        if is_cut || is_frozen || self.hosts[peer].process.is_none() {
            let is_silent = is_frozen || is_cut && !self.has_refusing_cuts;
            let wait_us = if is_silent { DIAL_TIMEOUT_US } else { self.latency_us(host, peer) * 2 };
            if self.dialing.insert((host, peer)) {
                self.schedule(self.now_us + wait_us, host, SimEvent::Disconnected { peer });
            }
            return false;
        }
        self.connected.insert((host, peer));
        self.connected.insert((peer, host));
        let at_us = self.now_us + 2 * self.latency_us(host, peer);
        self.last_delivery_us.insert((host, peer), at_us);
        self.last_delivery_us.insert((peer, host), at_us);
        self.schedule(at_us, host, SimEvent::Connected { peer });
        self.schedule(at_us, peer, SimEvent::Connected { peer: host });
        true
    }

    pub(super) fn disconnect(&mut self, host: usize, peer: usize) {
        if self.connected.remove(&(host, peer)) {
            self.connected.remove(&(peer, host));
            let at_us = self.now_us + self.latency_us(host, peer);
            self.schedule(at_us, peer, SimEvent::Disconnected { peer: host });
            self.schedule(at_us, host, SimEvent::Disconnected { peer });
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        let (sender, receiver) = (&self.hosts[from].me, &self.hosts[to].me);
        self.traffic.count(sender, receiver, &message);
        if self.cuts.contains(&(from, to)) {
            return;
        }
        if self.chance(self.faults.drop_percent) {
            return;
        }
        if self.chance(self.faults.duplicate_percent) {
            self.deliver(from, to, message.clone());
        }
        self.deliver(from, to, message);
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: PeerMessage) {
        let mut at_us = self.sent_at_us(from, &message) + self.latency_us(from, to);
        if self.faults.delay_us > 0 {
            at_us += self.rng.random_range(0..=self.faults.delay_us);
        } else {
            at_us = at_us.max(self.last_delivery_us.get(&(from, to)).copied().unwrap_or(0));
            self.last_delivery_us.insert((from, to), at_us);
        }
        let message = Box::new(message);
        self.schedule(at_us, to, SimEvent::Message { from, message });
    }

    /// Time at which the link of the sender has transmitted a message.
    pub(super) fn sent_at_us(&mut self, from: usize, message: &PeerMessage) -> u64 {
        let Some(link) = self.links.get_mut(&from) else { return self.now_us };
        let transmit_us = traffic::encoded_bytes(message) * 1_000_000 / link.bytes_per_s;
        link.idle_at_us = link.idle_at_us.max(self.now_us) + transmit_us;
        link.idle_at_us
    }

    /// Limits the bandwidth of the link of a host. Call it while the host does not run.
    pub fn set_link(&mut self, host: usize, bytes_per_s: u64, is_slow: bool) {
        self.links.insert(host, Link { bytes_per_s, idle_at_us: 0 });
        self.hosts[host].me.is_link_slow = is_slow;
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    pub(super) fn latency_us(&self, a: usize, b: usize) -> u64 {
        let (a, b) = (&self.hosts[a].me.locality, &self.hosts[b].me.locality);
        match (a.region == b.region, a.availability_zone == b.availability_zone) {
            (true, true) => LATENCY_US[0],
            (true, false) => LATENCY_US[1],
            (false, _) => LATENCY_US[2],
        }
    }
}
