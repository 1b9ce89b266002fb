//! Carries out the effects of a process: messages, connections and responses to requests.

use std::net::SocketAddr;

use fireflylug_core::api::{ApiResponse, ErrorCode, WatchEvent};
use fireflylug_core::ids::{NodeId, RequestId};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::{Effect, Event};
use rand::Rng;

use super::{Item, PendingRequest, World, addresses};
use crate::network::Delivery;
use crate::oracle::ReportedOutcome;

impl World {
    pub(super) fn apply_effect(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(host, to, message),
            Effect::StorePeerAddress { peer, .. } => {
                self.hosts[host].known_peers.insert(peer);
            }
            Effect::ForgetPeer { peer } => {
                self.hosts[host].known_peers.remove(&peer);
            }
            Effect::Dial { address } => self.dial(host, address),
            Effect::Disk(command) => {
                let epoch = self.hosts[host].epoch;
                let sequence = command.sequence;
                if let Some(disk) = &mut self.hosts[host].disk {
                    disk.enqueue(command);
                }
                let delay_us = self.rng.random_range(500..self.max_sync_us);
                self.push(delay_us, Item::Synced { host, epoch, sequence });
            }
            Effect::Answer { request, response } => self.handle_response(host, request, response),
            Effect::Call(effect) => self.call_effect(host, effect),
            Effect::LogDecision(_) => {}
            Effect::Log { level, part, text } => {
                if self.is_traced {
                    println!("{} {host} {level:?} {part}: {text}", self.now_us);
                }
            }
            Effect::Exit => {
                self.calls.check_stopped(host);
                self.end_process(host);
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

    /// Connects two processes unless they are connected. Returns the time until the connection is
    /// ready at both, in microseconds.
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
        let is_connected = self.network.is_connected(from, peer);
        let may_dial = is_connected || self.hosts[from].known_peers.contains(&to);
        if !may_dial || !self.is_up(peer) {
            return self.drop_message(from, peer);
        }
        // A process has at most one dial to a peer in progress. Its messages wait for it.
        let is_dialing = self.network.until_ready_us(from, peer, self.now_us) > 0;
        let copies = match self.network.decide_delivery(from, peer, &mut self.rng) {
            Delivery::Lost if is_dialing && self.network.reaches(from, peer) => 1,
            Delivery::Lost => return self.drop_message(from, peer),
            Delivery::Arrives { copies } => copies,
        };
        let connect_us = self.connect(from, peer);
        let id = self.hosts[from].id;
        for _ in 0..copies {
            let delay_us = connect_us + self.network.delay_us(&mut self.rng);
            let event = Event::PeerMessage { from: id, message: message.clone() };
            self.push_event(delay_us, peer, event);
        }
    }

    /// Loses a message. Both ends receive the close of the connection after a random delay.
    fn drop_message(&mut self, from: usize, to: usize) {
        let was_connected = self.network.disconnect(from, to);
        let delay_us = self.rng.random_range(100_000..2_000_000);
        self.push_disconnected(from, to, delay_us);
        if was_connected {
            self.push_disconnected(to, from, delay_us);
        }
    }

    pub(super) fn push_disconnected(&mut self, host: usize, peer: usize, delay_us: u64) {
        let peer = self.hosts[peer].id;
        self.push_event(delay_us, host, Event::PeerDisconnected { peer });
    }

    fn handle_response(&mut self, host: usize, request: RequestId, response: ApiResponse) {
        let key = (host, self.hosts[host].epoch, request);
        match (self.pending_requests.get_mut(&key), response) {
            (Some(PendingRequest::Change(marker)), response) => {
                let marker = *marker;
                self.oracle.record_answer(marker, reported_outcome(&response));
                self.pending_requests.remove(&key);
            }
            (Some(PendingRequest::Read(newest)), ApiResponse::List { version, .. }) => {
                self.oracle.check_read(*newest, version);
                self.pending_requests.remove(&key);
            }
            (
                Some(PendingRequest::Watch(_)),
                ApiResponse::Watch(WatchEvent::InForce { version, .. }),
            ) => {
                self.oracle.check_in_force(version, &self.serving());
            }
            (
                Some(PendingRequest::Watch(reported)),
                ApiResponse::Watch(WatchEvent::Accepted { version, .. }),
            ) => *reported = version,
            (Some(PendingRequest::Watch(_)), ApiResponse::Error(_)) => {
                self.pending_requests.remove(&key);
            }
            _ => {}
        }
    }
}

fn reported_outcome(response: &ApiResponse) -> ReportedOutcome {
    match response {
        ApiResponse::Accepted { version } => ReportedOutcome::Accepted(*version),
        ApiResponse::Error(error) if error.code == ErrorCode::OutcomeUnknown => {
            ReportedOutcome::Open
        }
        _ => ReportedOutcome::Refused,
    }
}
