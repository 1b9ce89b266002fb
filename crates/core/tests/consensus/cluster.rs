//! A cluster of replicas over a simulated network that drops, delays, reorders and duplicates
//! messages.

use std::collections::{BTreeMap, BTreeSet};

use fireflylug_core::config::{ChangeRequest, Configuration};
use fireflylug_core::consensus::{
    ChangeOutcome, ConsensusMessage, ControlOutput, ControlReplica, ControlRole, ControlSettings,
    ControlStatus, DiskEvent, DiskWrite, Origin, Voter,
};
use fireflylug_core::context::{Context, Identity};
use fireflylug_core::ids::{ContentHash, NodeId, RequestId, Version};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::{Effect, Instant};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::disk::FakeDisk;
use crate::fixtures::identity;

/// Faults of the simulated network and disks.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub drop_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_us: u64,
    pub max_sync_us: u64,
}

impl Faults {
    pub const NONE: Self =
        Self { drop_percent: 0, duplicate_percent: 0, max_delay_us: 2_000, max_sync_us: 5_000 };
}

enum Event {
    Message { from: usize, to: usize, message: ConsensusMessage },
    Sync { node: usize, start: u64 },
}

pub struct Node {
    pub identity: Identity,
    pub disk: FakeDisk,
    pub replica: Option<ControlReplica>,
    /// Number of starts, so that a sync of an earlier run is not reported to a later one.
    start: u64,
    is_sync_pending: bool,
    pub disk_fails: bool,
    newest_version: Version,
    /// Committed version recovered from disk at the last start.
    pub recovered_version: Version,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub now_us: u64,
    pub rng: SmallRng,
    pub faults: Faults,
    /// Blocked links, as (sender, receiver).
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub outcomes: BTreeMap<Origin, ChangeOutcome>,
    pub reads: BTreeMap<Origin, bool>,
    /// Encoded bytes of the messages that each replica sent while `counts_bytes` was set.
    pub sent_bytes: Vec<usize>,
    pub counts_bytes: bool,
    /// Number of times that a replica reset its storage.
    pub resets: u32,
    pub max_heartbeat_bytes: usize,
    /// Number of voters that the leader maintains; with none, only operators change them.
    pub desired_voter_count: Option<usize>,
    initial_voters: Vec<NodeId>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_request: u64,
    next_disk: u64,
    hashes: BTreeMap<Version, ContentHash>,
    leaders: BTreeMap<u64, usize>,
    newest_commit: u64,
    /// Whether a disk was replaced: entries synced on it still count, but can no longer be
    /// inspected.
    has_lost_disk: bool,
}

impl Cluster {
    /// Creates a cluster of `count` replicas, of which the first `voters` are the initial voters.
    pub fn new(count: usize, voters: usize, seed: u64) -> Self {
        let identities: Vec<_> = (0..count).map(identity).collect();
        let initial_voters = identities.iter().take(voters).map(|identity| identity.id).collect();
        let mut cluster = Self {
            nodes: identities.into_iter().map(blank_node).collect(),
            now_us: 0,
            rng: SmallRng::seed_from_u64(seed),
            faults: Faults::NONE,
            blocked_links: BTreeSet::new(),
            outcomes: BTreeMap::new(),
            reads: BTreeMap::new(),
            sent_bytes: vec![0; count],
            counts_bytes: false,
            resets: 0,
            max_heartbeat_bytes: 0,
            desired_voter_count: None,
            initial_voters,
            queue: BTreeMap::new(),
            next_event: 0,
            next_request: 0,
            next_disk: 100,
            hashes: BTreeMap::new(),
            leaders: BTreeMap::new(),
            newest_commit: 0,
            has_lost_disk: false,
        };
        for node in 0..count {
            cluster.start(node);
        }
        cluster
    }

    /// Same as [`Cluster::new`], with a leader that maintains the number of initial voters.
    pub fn new_keeping(count: usize, voters: usize, seed: u64) -> Self {
        let mut cluster = Self::new(count, voters, seed);
        cluster.desired_voter_count = Some(voters);
        cluster.restart_all();
        cluster
    }

    /// Crashes and restarts every replica.
    pub fn restart_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.crash(node);
            self.start(node);
        }
    }

    /// Repairs the disk of a replica, and passes its recovered content to the replica.
    pub fn reopen_disk(&mut self, node: usize) {
        self.nodes[node].disk_fails = false;
        self.reopen_folder(node);
    }

    /// Passes the recovered content of a disk to its replica. The disk may still fail each write.
    pub fn reopen_folder(&mut self, node: usize) {
        self.nodes[node].disk.crash(0);
        let recovered = self.nodes[node].disk.recover();
        self.nodes[node].is_sync_pending = false;
        // As after a restart, versions that were published before may be published again.
        let node_state = &mut self.nodes[node];
        (node_state.newest_version, node_state.recovered_version) = (Version(0), Version(0));
        self.drive(node, |replica, cx| {
            replica.handle_disk_event(cx, DiskEvent::Reopened(recovered))
        });
    }

    pub fn id(&self, node: usize) -> NodeId {
        self.nodes[node].identity.id
    }

    pub fn start(&mut self, node: usize) {
        let settings = ControlSettings {
            initial_voters: self.initial_voters.clone(),
            desired_voter_count: self.desired_voter_count,
            ..ControlSettings::default()
        };
        let now = Instant::from_us(self.now_us);
        let node = &mut self.nodes[node];
        node.start += 1;
        (node.newest_version, node.recovered_version) = (Version(0), Version(0));
        node.is_sync_pending = false;
        node.replica = Some(ControlReplica::new(settings, node.disk.recover(), now));
    }

    /// Stops a replica; a random part of its unsynced writes is lost.
    pub fn crash(&mut self, node: usize) {
        let kept = self.rng.random_range(0..=self.nodes[node].disk.unsynced.len());
        self.nodes[node].replica = None;
        self.nodes[node].disk.crash(kept);
    }

    pub fn wipe(&mut self, node: usize) {
        self.next_disk += 1;
        self.swap_disk(node, FakeDisk::blank(self.next_disk));
    }

    pub fn swap_disk(&mut self, node: usize, disk: FakeDisk) {
        self.has_lost_disk = true;
        self.nodes[node].disk = disk;
    }

    /// Ends the connections of a replica to all others.
    pub fn disconnect(&mut self, node: usize) {
        let peer = self.id(node);
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.drive(other, |replica, cx| replica.peer_disconnected(cx, peer));
        }
    }

    /// Ends the connections of a replica to the others that run, and opens them again.
    pub fn reconnect(&mut self, node: usize) {
        self.disconnect(node);
        let peer = self.id(node);
        let is_running = |other: &usize| self.nodes[*other].replica.is_some();
        let running: Vec<_> = (0..self.nodes.len()).filter(is_running).collect();
        for other in running.into_iter().filter(|other| *other != node) {
            let other_peer = self.id(other);
            self.drive(other, |replica, cx| replica.peer_connected(cx, peer));
            self.drive(node, |replica, cx| replica.peer_connected(cx, other_peer));
        }
    }

    /// Makes all replicas known and connected to each other.
    pub fn introduce_all(&mut self) {
        let all: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.identity.id, node.identity.addresses.peers))
            .collect();
        for node in 0..self.nodes.len() {
            self.drive(node, |replica, cx| replica.set_known_replicas(cx, &all));
            self.reconnect(node);
        }
    }

    /// Delivers a message that was sent by an earlier process of `from`.
    pub fn deliver_late(&mut self, from: usize, to: usize, message: ConsensusMessage) {
        self.schedule(0, Event::Message { from, to, message });
    }

    pub fn isolate(&mut self, node: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            self.blocked_links.insert((node, other));
            self.blocked_links.insert((other, node));
        }
    }

    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub fn status(&self, node: usize) -> Option<ControlStatus> {
        let now = Instant::from_us(self.now_us);
        let node = &self.nodes[node];
        node.replica.as_ref().map(|replica| replica.status(node.identity.id, now))
    }

    /// The replica that leads the highest term.
    pub fn leader(&self) -> Option<usize> {
        let statuses = (0..self.nodes.len()).filter_map(|node| Some((node, self.status(node)?)));
        let leaders = statuses.filter(|(_, status)| status.role == ControlRole::Leader);
        leaders.max_by_key(|(_, status)| status.term).map(|(node, _)| node)
    }

    pub fn configuration(&self, node: usize) -> Configuration {
        let replica = self.nodes[node].replica.as_ref().expect("the replica runs");
        (**replica.configuration()).clone()
    }

    /// Whether every running replica lists this one as a voter with its current disk.
    pub fn is_voting(&self, node: usize) -> bool {
        let voter = Voter { node: self.id(node), disk: self.nodes[node].disk.id };
        let lists_voter = |status: ControlStatus| status.voters.contains(voter);
        (0..self.nodes.len()).filter_map(|other| self.status(other)).all(lists_voter)
    }

    pub fn propose(&mut self, node: usize, change: ChangeRequest) -> Origin {
        let origin = self.next_origin(node);
        self.drive(node, |replica, cx| replica.propose(cx, origin, change));
        origin
    }

    pub fn read(&mut self, node: usize) -> Origin {
        let origin = self.next_origin(node);
        self.drive(node, |replica, cx| replica.read(cx, origin));
        origin
    }

    pub fn stop(&mut self, node: usize) {
        self.drive(node, |replica, cx| replica.stop(cx));
    }

    pub fn replace_voter(&mut self, node: usize, old: usize, new: usize) -> Origin {
        let origin = self.next_origin(node);
        let (old, new) = (self.id(old), self.id(new));
        self.drive(node, |replica, cx| replica.propose_voter_replacement(cx, origin, old, new));
        origin
    }

    fn next_origin(&mut self, node: usize) -> Origin {
        self.next_request += 1;
        Origin { node: self.id(node), request: RequestId(self.next_request) }
    }

    /// Runs until the condition holds or the limit is reached. Returns whether it holds.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end_us = self.now_us + limit_ms * 1_000;
        while !condition(self) {
            if !self.step(end_us) {
                return condition(self);
            }
        }
        true
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(ms, |_| false);
    }

    /// Processes the next event or timer. Returns false where none is due before the end.
    fn step(&mut self, end_us: u64) -> bool {
        let event_at_us = self.queue.first_key_value().map_or(u64::MAX, |((at_us, _), _)| *at_us);
        let due = |node: &Node| node.replica.as_ref().map(|replica| replica.next_deadline());
        let ticks = self.nodes.iter().enumerate().filter_map(|(at, node)| Some((due(node)?, at)));
        let (tick_at, ticking) = ticks.min().unwrap_or((Instant::NEVER, 0));
        let at_us = event_at_us.min(tick_at.as_us());
        if at_us > end_us {
            self.now_us = end_us;
            return false;
        }
        self.now_us = self.now_us.max(at_us);
        if tick_at.as_us() <= event_at_us {
            self.drive(ticking, |replica, cx| replica.tick(cx));
        } else if let Some((_, event)) = self.queue.pop_first() {
            self.process_event(event);
        }
        true
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Message { from, to, message } => {
                let from = self.id(from);
                self.drive(to, |replica, cx| replica.step(cx, from, message));
            }
            Event::Sync { node, start } => self.finish_sync(node, start),
        }
    }

    fn finish_sync(&mut self, at: usize, start: u64) {
        let node = &mut self.nodes[at];
        if node.start != start || node.replica.is_none() {
            return;
        }
        if node.disk.is_stuck {
            self.schedule(self.faults.max_sync_us, Event::Sync { node: at, start });
            return;
        }
        node.is_sync_pending = false;
        if node.disk_fails {
            let event = DiskEvent::Failed { error: "no space left".to_owned() };
            self.drive(at, |replica, cx| replica.handle_disk_event(cx, event));
        } else if let Some(sequence) = node.disk.sync() {
            self.drive(at, |replica, cx| {
                replica.handle_disk_event(cx, DiskEvent::Synced { sequence })
            });
        }
    }

    /// Calls a replica, executes its effects and checks its outputs.
    fn drive(&mut self, at: usize, act: impl FnOnce(&mut ControlReplica, &mut Context<'_>)) {
        let mut effects = Vec::new();
        let now = Instant::from_us(self.now_us);
        let node = &mut self.nodes[at];
        let Some(replica) = &mut node.replica else { return };
        let mut cx = Context { now, rng: &mut self.rng, me: &node.identity, effects: &mut effects };
        act(replica, &mut cx);
        let outputs = replica.take_outputs();
        for output in outputs {
            self.check_output(at, output);
        }
        self.check_leader(at);
        for effect in effects {
            self.execute_effect(at, effect);
        }
    }

    fn execute_effect(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message: PeerMessage::Consensus(message) } => {
                self.send(at, to, message);
            }
            Effect::Disk(command) => {
                self.resets += u32::from(matches!(command.write, DiskWrite::Reset { .. }));
                self.nodes[at].disk.write(command);
                if !self.nodes[at].is_sync_pending {
                    self.nodes[at].is_sync_pending = true;
                    let delay_us = self.rng.random_range(200..=self.faults.max_sync_us);
                    let start = self.nodes[at].start;
                    self.schedule(delay_us, Event::Sync { node: at, start });
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: ConsensusMessage) {
        if self.counts_bytes {
            self.measure(from, &message);
        }
        let Some(to) = self.nodes.iter().position(|node| node.identity.id == to) else { return };
        if self.blocked_links.contains(&(from, to)) || self.chance(self.faults.drop_percent) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplicate_percent));
        for _ in 0..copies {
            let delay_us = self.rng.random_range(200..=self.faults.max_delay_us);
            let message = message.clone();
            self.schedule(delay_us, Event::Message { from, to, message });
        }
    }

    fn measure(&mut self, from: usize, message: &ConsensusMessage) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&PeerMessage::Consensus(message.clone()), &mut bytes)
            .expect("writing to a vector cannot fail");
        self.sent_bytes[from] += bytes.len();
        if matches!(message, ConsensusMessage::Append(append) if append.entries.is_empty()) {
            self.max_heartbeat_bytes = self.max_heartbeat_bytes.max(bytes.len());
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now_us + delay_us, self.next_event), event);
    }

    fn check_output(&mut self, at: usize, output: ControlOutput) {
        match output {
            ControlOutput::Committed(configuration) => {
                let (version, hash) = (configuration.version(), configuration.hash());
                assert!(
                    version > self.nodes[at].newest_version,
                    "replica {at} published {version} out of order"
                );
                self.nodes[at].newest_version = version;
                let first = *self.hashes.entry(version).or_insert(hash);
                assert_eq!(first, hash, "replicas differ in version {version}");
            }
            ControlOutput::Recovered(configuration) => {
                let (version, hash) = (configuration.version(), configuration.hash());
                let first = *self.hashes.entry(version).or_insert(hash);
                assert_eq!(first, hash, "replica {at} recovered another version {version}");
                self.nodes[at].recovered_version = version;
            }
            ControlOutput::Outcome(origin, outcome) => {
                let again = self.outcomes.insert(origin, outcome);
                assert_eq!(again, None, "a proposal has two outcomes");
            }
            ControlOutput::Read(origin, read) => {
                self.reads.insert(origin, read.is_ok());
            }
        }
    }

    fn check_leader(&mut self, at: usize) {
        let Some(status) = self.status(at) else { return };
        if status.role == ControlRole::Leader {
            let first = *self.leaders.entry(status.term).or_insert(at);
            assert_eq!(first, at, "two leaders in term {}", status.term);
            self.check_synced(status.commit_index);
        }
    }
}

impl Cluster {
    /// Checks that a newly committed entry is synced on a majority.
    fn check_synced(&mut self, commit: u64) {
        if commit <= self.newest_commit {
            return;
        }
        self.newest_commit = commit;
        let holders = self.nodes.iter().filter(|node| node.disk.holds(commit)).count();
        let is_safe = holders > self.initial_voters.len() / 2;
        assert!(is_safe || self.has_lost_disk, "entry {commit} is synced on {holders} replicas");
    }
}

fn blank_node(identity: Identity) -> Node {
    Node {
        disk: FakeDisk::blank(identity.id.0),
        identity,
        replica: None,
        start: 0,
        is_sync_pending: false,
        disk_fails: false,
        newest_version: Version(0),
        recovered_version: Version(0),
    }
}
