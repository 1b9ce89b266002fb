//! Membership: which hosts and targets exist, and whether they are alive.
//!
//! Every process is a member. A target is announced to the process of its own
//! host, its owner. Only the owner writes the target's record.
//!
//! The members of an availability zone form a ring ordered by key. Each has links
//! to the members at a few fixed distances in the ring. One member, the relay of
//! the zone, also has links to the relays of the other availability zones of its
//! region. One relay of each region, its hub, also has links to those of the other
//! regions.
//!
//! Changed records are gossiped along these links at once. Heartbeats along the
//! links carry a digest of all records, and two processes whose digests stay
//! different compare their records (anti-entropy). The status of a member is
//! decided within its own availability zone: a silent member is suspected, and
//! declared dead if it does not refute the suspicion in time. An availability zone
//! as a whole is cut off when no heartbeats of its relay arrive.

mod departures;
mod gossip;
pub(crate) mod hash;
mod health;
mod leases;
mod links;
mod message;
mod reachability;
mod record;
mod rejoin;
mod topology;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use health::{HEARTBEAT_EVERY_MS, SUSPECT_FOR_MS};
pub use leases::{MAX_LEASE_MS, MAX_TARGETS};
pub use links::SILENT_AFTER_MS;
pub use message::{
    Heartbeat, MemberSummary, MembershipMessage, Records, ZoneDigest, ZoneHeartbeat,
    ZoneReachability, ZoneSummary,
};
pub use reachability::{CUT_OFF_AFTER_MS, FORGET_CUT_OFF_AFTER_MS};
pub use record::{
    AnnouncementError, AnnouncementOrder, Member, MemberStatus, TargetAnnouncement, TargetRecord,
    TargetState,
};
pub use view::{FORGET_DEAD_AFTER_MS, FORGET_LEFT_AFTER_MS};

use crate::Effect;
use crate::context::{Context, Identity};
use crate::event::{LogLevel, LogPart};
use crate::ids::{Name, NodeId, TargetId};
use crate::time::Instant;
use leases::{LeaseEnd, Leases};
use links::Links;
use reachability::ReachabilityTracker;
use topology::Topology;
use view::{RecordKey, View};

/// A change of the view, reported to the other parts of the reducer.
#[derive(Clone, Debug)]
pub enum MembershipChange {
    /// A member is new, or its record changed.
    Member(Member),
    /// A member was forgotten.
    MemberForgotten(NodeId),
    /// A target is new, or its record changed. A target that left, or whose owner is
    /// dead or left, has the state [`TargetState::Gone`].
    Target(TargetRecord),
}

/// Settings of membership.
#[derive(Clone, Debug, Default)]
pub struct MembershipSettings {
    /// Peer addresses of processes through which this process joins.
    pub seeds: Vec<SocketAddr>,
}

/// Membership state of a process: its view of members and targets, its links, and
/// the leases of its own targets.
pub struct Membership {
    settings: MembershipSettings,
    view: View,
    topology: Topology,
    /// Generation of the view from which `topology` was derived.
    topology_generation: Option<u64>,
    links: Links,
    reachability: ReachabilityTracker,
    leases: Leases,
    /// Changed records to send on, each with the peer that sent it.
    outbox: BTreeMap<RecordKey, Option<NodeId>>,
    /// When each suspect of this availability zone is declared dead.
    suspect_deadlines: BTreeMap<NodeId, Instant>,
    flush_at: Instant,
    heartbeat_at: Instant,
    dial_at: Instant,
    failed_dials: u32,
    last_received_at: Option<Instant>,
    synced_at: Option<Instant>,
    is_stopping: bool,
}

impl Membership {
    /// Creates a view that holds only the record of this process.
    pub fn new(mut settings: MembershipSettings, me: &Identity) -> Self {
        settings.seeds.retain(|seed| *seed != me.addresses.peers);
        let mut view = View::default();
        view.merge_member(Instant::ZERO, Member::of(me));
        view.take_changes();
        let dial_at = if settings.seeds.is_empty() { Instant::NEVER } else { Instant::ZERO };
        let topology = Topology::new(&view, me);
        let topology_generation = Some(view.generation());
        Self {
            settings,
            view,
            topology,
            topology_generation,
            links: Links::default(),
            reachability: ReachabilityTracker::default(),
            leases: Leases::default(),
            outbox: BTreeMap::new(),
            suspect_deadlines: BTreeMap::new(),
            flush_at: Instant::NEVER,
            heartbeat_at: Instant::ZERO,
            dial_at,
            failed_dials: 0,
            last_received_at: None,
            synced_at: None,
            is_stopping: false,
        }
    }

    /// Every member that is not forgotten, this process included. The members of an
    /// availability zone that is cut off are suspect.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.view.members()
    }

    /// The record of one member.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.view.member(id)
    }

    /// Every target that is not forgotten.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.view.targets()
    }

    /// Control replicas that can receive messages, in the order of their keys.
    pub fn control_replicas(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.control && member.status.is_reachable())
    }

    /// Whether an availability zone as a whole is cut off from this one.
    pub fn is_cut_off(&self, availability_zone: &Name) -> bool {
        self.view.is_cut_off(availability_zone)
    }

    /// Increases with each change of a member, and of which zones are cut off.
    pub fn generation(&self) -> u64 {
        self.view.generation()
    }

    /// When this process first held the same records as another one, or received all
    /// records of one. `None` before that; [`Instant::ZERO`] without seeds.
    pub fn synced_at(&self) -> Option<Instant> {
        if self.settings.seeds.is_empty() { Some(Instant::ZERO) } else { self.synced_at }
    }

    /// The relay of an availability zone.
    pub fn relay(&self, availability_zone: &Name) -> Option<NodeId> {
        self.topology.relay(availability_zone)
    }

    /// The hub of a region: the relay that communicates with the other regions.
    pub fn hub(&self, region: &Name) -> Option<NodeId> {
        self.topology.hub(region)
    }

    /// Members of the own availability zone to which this process has links.
    pub fn neighbours(&self) -> &[NodeId] {
        self.topology.neighbours()
    }

    /// Processes with which this one exchanges heartbeats and changed records: those of the own
    /// availability zone and, at a relay, relays of others.
    pub fn linked_peers(&self) -> impl Iterator<Item = NodeId> {
        self.links.peers()
    }

    pub(crate) fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        self.view.take_changes()
    }

    /// Replaces the addresses of the processes to join through. Changed ones are dialed
    /// at the next tick, even if links are active.
    pub fn set_seeds(&mut self, cx: &Context<'_>, mut seeds: Vec<SocketAddr>) {
        seeds.retain(|seed| *seed != cx.me.addresses.peers);
        if seeds == self.settings.seeds {
            return;
        }
        self.dial_at = if seeds.is_empty() { Instant::NEVER } else { cx.now };
        self.settings.seeds = seeds;
    }

    /// When [`Membership::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let first_suspect_deadline =
            self.suspect_deadlines.values().copied().min().unwrap_or(Instant::NEVER);
        self.flush_at
            .min(self.heartbeat_at)
            .min(self.dial_at)
            .min(self.leases.next_deadline())
            .min(first_suspect_deadline)
    }

    /// Runs all work that is due.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        for target in self.leases.expired(cx.now) {
            self.end_lease(cx, &target, LeaseEnd::Expired);
        }
        if cx.now >= self.dial_at {
            self.dial_seeds(cx);
        }
        if cx.now >= self.heartbeat_at {
            self.run_heartbeat_round(cx);
        }
        self.declare_expired_suspects_dead(cx);
        self.apply_view_changes(cx);
    }

    /// Handles a new connection to another process: sends a hello.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        let records = self.view.records_of([cx.me.id]);
        let is_new = self.view.members().nth(1).is_none();
        cx.send(peer, MembershipMessage::Hello { records, is_new });
    }

    /// Handles the close of the last connection to another process, or a failed dial.
    pub fn peer_disconnected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        if !self.links.contains(peer) {
            return;
        }
        if self.links.record_disconnect(peer) {
            self.suspect(cx, peer);
        } else {
            // Sending dials again. A process that has ended refuses, which is the second
            // disconnect in a row.
            self.send_heartbeat(cx, peer, false);
        }
        self.apply_view_changes(cx);
    }

    /// Records that a message of any part arrived from another process.
    pub fn record_contact(&mut self, now: Instant, from: NodeId) {
        if let Some(member) = self.view.member(from) {
            self.reachability.record_contact(now, &member.locality.availability_zone);
        }
    }

    /// Handles a message from another process.
    pub fn step(&mut self, cx: &mut Context<'_>, from: NodeId, message: MembershipMessage) {
        self.last_received_at = Some(cx.now);
        self.links.record_message(cx.now, from);
        self.handle_message(cx, from, message);
        self.apply_view_changes(cx);
    }

    /// Handles the announcement of a target to this process.
    pub fn announce_target(&mut self, cx: &mut Context<'_>, announcement: TargetAnnouncement) {
        let is_stopping = self.is_stopping;
        let records = self.leases.renew(cx.now, cx.me, &self.view, &announcement, is_stopping);
        for record in records {
            self.merge_target(cx, record, None);
        }
        self.apply_view_changes(cx);
    }

    /// Ends the lease of a target of this process, because the target leaves. Later
    /// announcements of the same run are ignored. Returns false if this process holds no lease of it.
    pub fn remove_own_target(&mut self, cx: &mut Context<'_>, target: &TargetId) -> bool {
        self.end_lease(cx, target, LeaseEnd::Left)
    }

    /// Records that a target leaves of which this process has no announcement: it may have
    /// restarted since. Announcements that the target sent before are ignored.
    pub fn record_unknown_departure(&mut self, cx: &Context<'_>, id: &Name) {
        self.leases.record_unknown_departure(cx.now, id, cx.me.unix_ms(cx.now));
    }

    fn end_lease(&mut self, cx: &mut Context<'_>, target: &TargetId, end: LeaseEnd) -> bool {
        let is_known = self.leases.contains(target);
        if let Some(record) = self.leases.remove(cx.now, cx.me, &self.view, target, end) {
            self.merge_target(cx, record, None);
        }
        self.apply_view_changes(cx);
        is_known
    }

    /// Marks a target of this process as draining, because it states in a response that it is
    /// leaving. Does nothing if it is draining already, or if this process holds no lease of it.
    pub fn drain_own_target(&mut self, cx: &mut Context<'_>, target: &TargetId) {
        if !self.leases.mark_leaving(cx.now, target) {
            return;
        }
        cx.log(LogLevel::Info, LogPart::Membership, format!("Target {target} is leaving."));
        let old = self.view.target(target).filter(|old| old.owner == cx.me.id);
        if let Some(record) = old.map(leases::draining_record) {
            self.merge_target(cx, TargetRecord { has_departed: true, ..record }, None);
        }
        self.apply_view_changes(cx);
    }

    /// The target of this process with this id, in any service.
    pub fn own_target(&self, id: &Name) -> Option<TargetId> {
        self.leases.targets().into_iter().find(|target| target.id == *id)
    }

    /// Whether a target at this address is announced to this process.
    pub fn has_own_target_at(&self, address: SocketAddr) -> bool {
        self.leases.contains_address(address)
    }

    /// Starts the graceful stop of this process: marks it as leaving and its targets as
    /// draining, so that they get no new work.
    pub fn begin_graceful_stop(&mut self, cx: &mut Context<'_>) {
        self.is_stopping = true;
        self.write_own_status(cx, MemberStatus::Leaving);
        for target in self.leases.targets() {
            let old = self.view.target(&target).filter(|old| old.owner == cx.me.id);
            if let Some(record) = old.map(leases::draining_record) {
                self.merge_target(cx, record, None);
            }
        }
        self.apply_view_changes(cx);
        self.flush(cx);
    }

    /// Ends the graceful stop of this process: marks it as left, so that no process
    /// waits for it.
    pub fn finish_graceful_stop(&mut self, cx: &mut Context<'_>) {
        self.write_own_status(cx, MemberStatus::Left);
        self.apply_view_changes(cx);
        self.flush(cx);
    }

    /// Sets whether the control replica of this process lacks contact to a quorum.
    pub fn set_lacks_quorum(&mut self, cx: &mut Context<'_>, lacks_quorum: bool) {
        let Some(own) = self.view.outgoing_member(cx.me.id) else { return };
        if own.lacks_quorum == lacks_quorum {
            return;
        }
        let incarnation = own.incarnation + 1;
        self.merge_member(cx, Member { incarnation, lacks_quorum, ..own }, None);
        self.apply_view_changes(cx);
    }

    fn write_own_status(&mut self, cx: &mut Context<'_>, status: MemberStatus) {
        let Some(own) = self.view.outgoing_member(cx.me.id) else { return };
        if status > own.status {
            self.merge_member(cx, Member { status, ..own }, None);
        }
    }

    /// Updates the topology, the suspect deadlines and the links if the view changed, and
    /// sends queued records that are due.
    fn apply_view_changes(&mut self, cx: &mut Context<'_>) {
        if self.topology_generation != Some(self.view.generation()) {
            self.topology_generation = Some(self.view.generation());
            self.topology = Topology::new(&self.view, cx.me);
            self.update_suspect_deadlines(cx);
            self.update_links(cx);
        }
        if cx.now >= self.flush_at {
            self.flush(cx);
        }
    }

    /// Updates the links to the topology and sends a heartbeat on each new link at once:
    /// its peer may lack records that were sent before the link existed.
    fn update_links(&mut self, cx: &mut Context<'_>) {
        for peer in self.links.update(cx.now, &self.topology, cx.me) {
            self.send_heartbeat(cx, peer, false);
        }
    }

    fn forget_member(&mut self, cx: &mut Context<'_>, id: NodeId) {
        self.view.forget_member(id);
        cx.emit(Effect::ForgetPeer { peer: id });
    }
}
