//! Hosts and targets: who is there, who is suspected, who is gone.
//!
//! Every process is a member. A target is announced to the process of its own
//! host, its owner, which alone writes the target's record.
//!
//! Members of an availability zone form a ring ordered by key and keep in
//! touch with a few others at fixed distances in it. One of them, the relay, is in touch with
//! the relays of the other availability zones of its region, and one relay of
//! each region with those of the other regions. Records that change go along
//! these links at once; heartbeats carry a digest of everything, and records
//! are compared where digests stay different. Status is decided within a
//! member's own availability zone; an availability zone as a whole is cut off
//! when its relay is not heard.

mod beats;
mod gossip;
pub(crate) mod hash;
mod health;
mod leases;
mod links;
mod message;
mod record;
mod topology;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use beats::{CUT_OFF_AFTER_MS, FORGET_CUT_OFF_AFTER_MS};
pub use health::{HEARTBEAT_EVERY_MS, SUSPECT_FOR_MS};
pub use leases::{MAX_LEASE_MS, MAX_TARGETS};
pub use links::SILENT_AFTER_MS;
pub use message::{
    Beat, Heartbeat, MembershipMessage, Records, Summary, ZoneDigest, ZoneReach, ZoneSummary,
};
pub use record::{
    AnnouncementOrder, Member, MemberStatus, TargetAnnouncement, TargetRecord, TargetState,
};
pub use view::{FORGET_DEAD_AFTER_MS, FORGET_LEFT_AFTER_MS};

use crate::Effect;
use crate::context::{Context, Identity};
use crate::ids::{Name, NodeId, TargetId};
use crate::time::Instant;
use beats::Beats;
use leases::Leases;
use links::Links;
use topology::Topology;
use view::{RecordKey, View};

/// A change of the view, for the other parts of the reducer.
#[derive(Clone, Debug)]
pub enum MembershipChange {
    /// A member is new, or its record changed.
    Member(Member),
    /// A member is gone and forgotten.
    MemberForgotten(NodeId),
    /// A target is new, or its record changed. A target that left or whose
    /// owner is gone has the state [`TargetState::Gone`].
    Target(TargetRecord),
}

/// Settings of membership.
#[derive(Clone, Debug, Default)]
pub struct MembershipSettings {
    /// Addresses of processes to join through.
    pub seeds: Vec<SocketAddr>,
}

/// The process's view of hosts and targets.
pub struct Membership {
    settings: MembershipSettings,
    view: View,
    topology: Topology,
    /// Generation of the view that `topology` follows.
    topology_generation: Option<u64>,
    links: Links,
    beats: Beats,
    leases: Leases,
    /// Records to pass on, each with the link that it came from.
    outbox: BTreeMap<RecordKey, Option<NodeId>>,
    /// When each suspect of this availability zone is given up.
    suspects: BTreeMap<NodeId, Instant>,
    flush_at: Instant,
    heartbeat_at: Instant,
    dial_at: Instant,
    failed_dials: u32,
    heard_at: Option<Instant>,
    synced_at: Option<Instant>,
    stopping: bool,
}

impl Membership {
    /// Makes a view that knows only this process.
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
            beats: Beats::default(),
            leases: Leases::default(),
            outbox: BTreeMap::new(),
            suspects: BTreeMap::new(),
            flush_at: Instant::NEVER,
            heartbeat_at: Instant::ZERO,
            dial_at,
            failed_dials: 0,
            heard_at: None,
            synced_at: None,
            stopping: false,
        }
    }

    /// Every member that is known and not forgotten, this process included.
    /// Those of an availability zone that is cut off are suspect.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.view.members()
    }

    /// One member.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.view.member(id)
    }

    /// Every target that is known.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.view.targets()
    }

    /// Control replicas that are known and alive, by key.
    pub fn control_replicas(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.control && member.status.is_reachable())
    }

    /// Whether an availability zone as a whole cannot be reached from this one.
    pub fn is_cut_off(&self, availability_zone: &Name) -> bool {
        self.view.is_cut_off(availability_zone)
    }

    /// Grows with each change of a member or of the reach of an availability zone.
    pub fn generation(&self) -> u64 {
        self.view.generation()
    }

    /// When this process first learned what another one knows. None before
    /// that, unless it has nobody to ask.
    pub fn synced_at(&self) -> Option<Instant> {
        if self.settings.seeds.is_empty() { Some(Instant::ZERO) } else { self.synced_at }
    }

    /// The relay of an availability zone.
    pub fn relay(&self, availability_zone: &Name) -> Option<NodeId> {
        self.topology.relay(availability_zone)
    }

    /// The relay that speaks for a region with the other regions.
    pub fn hub(&self, region: &Name) -> Option<NodeId> {
        self.topology.hub(region)
    }

    /// Members of the own availability zone with which this process keeps in touch.
    pub fn neighbours(&self) -> &[NodeId] {
        self.topology.neighbours()
    }

    pub(crate) fn topology(&self) -> &Topology {
        &self.topology
    }

    /// Takes what changed since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        self.view.take_changes()
    }

    /// The processes to join through changed: they are dialed soon, also where
    /// others are in touch.
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
        let first_suspect = self.suspects.values().copied().min().unwrap_or(Instant::NEVER);
        self.flush_at
            .min(self.heartbeat_at)
            .min(self.dial_at)
            .min(self.leases.next_deadline())
            .min(first_suspect)
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        for target in self.leases.expired(cx.now) {
            self.leave(cx, &target);
        }
        if cx.now >= self.dial_at {
            self.dial_seeds(cx);
        }
        if cx.now >= self.heartbeat_at {
            self.heartbeat(cx);
        }
        self.give_up_due(cx);
        self.settle(cx);
    }

    /// A connection to another process is ready.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        let records = self.view.records_of([cx.me.id]);
        let is_new = self.view.members().nth(1).is_none();
        cx.send(peer, MembershipMessage::Hello { records, is_new });
    }

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        if !self.links.contains(peer) {
            return;
        }
        if self.links.disconnected(peer) {
            self.suspect(cx, peer);
        } else {
            // This dials again; a process that is gone refuses.
            self.send_heartbeat(cx, peer, false);
        }
        self.settle(cx);
    }

    /// A message from another process.
    pub fn step(&mut self, cx: &mut Context<'_>, from: NodeId, message: MembershipMessage) {
        self.heard_at = Some(cx.now);
        self.links.heard(cx.now, from);
        self.take_message(cx, from, message);
        self.settle(cx);
    }

    /// A target announced itself to this process.
    pub fn announce(&mut self, cx: &mut Context<'_>, announcement: TargetAnnouncement) {
        let stopping = self.stopping;
        let written = self.leases.announce(cx.now, cx.me, &self.view, &announcement, stopping);
        for record in written {
            self.take_target(cx, record, None);
        }
        self.settle(cx);
    }

    /// A target of this process leaves, or its lease lapsed. Returns false
    /// where it is not known.
    pub fn leave(&mut self, cx: &mut Context<'_>, target: &TargetId) -> bool {
        let is_known = self.leases.holds(target);
        if let Some(record) = self.leases.end(cx.me, &self.view, target) {
            self.take_target(cx, record, None);
        }
        self.settle(cx);
        is_known
    }

    /// The target of this process with an id, whatever its service.
    pub fn own_target(&self, id: &Name) -> Option<TargetId> {
        self.leases.targets().into_iter().find(|target| target.id == *id)
    }

    /// Whether a target at an address is announced to this process.
    pub fn has_own_target_at(&self, address: SocketAddr) -> bool {
        self.leases.holds_at(address)
    }

    /// This process stops: its targets take no new work from here on.
    pub fn stop(&mut self, cx: &mut Context<'_>) {
        self.stopping = true;
        self.write_own_status(cx, MemberStatus::Leaving);
        for target in self.leases.targets() {
            let old = self.view.target(&target).filter(|old| old.owner == cx.me.id);
            if let Some(record) = old.map(leases::draining) {
                self.take_target(cx, record, None);
            }
        }
        self.settle(cx);
        self.flush(cx);
    }

    /// This process has stopped: nobody needs to wait for it.
    pub fn left(&mut self, cx: &mut Context<'_>) {
        self.write_own_status(cx, MemberStatus::Left);
        self.settle(cx);
        self.flush(cx);
    }

    fn write_own_status(&mut self, cx: &mut Context<'_>, status: MemberStatus) {
        let Some(own) = self.view.outgoing_member(cx.me.id) else { return };
        if status > own.status {
            self.take_member(cx, Member { status, ..own }, None);
        }
    }

    /// Brings what follows from the view up to date, and sends what is due.
    fn settle(&mut self, cx: &mut Context<'_>) {
        if self.topology_generation != Some(self.view.generation()) {
            self.topology_generation = Some(self.view.generation());
            self.topology = Topology::new(&self.view, cx.me);
            self.follow_suspects(cx);
            self.follow_links(cx);
        }
        if cx.now >= self.flush_at {
            self.flush(cx);
        }
    }

    /// Tells new links at once that this process is there: records that went
    /// out before they were links may have passed them by.
    fn follow_links(&mut self, cx: &mut Context<'_>) {
        for peer in self.links.follow(cx.now, &self.topology, cx.me) {
            self.send_heartbeat(cx, peer, false);
        }
    }

    fn forget(&mut self, cx: &mut Context<'_>, id: NodeId) {
        self.view.forget_member(id);
        cx.emit(Effect::ForgetPeer { peer: id });
    }
}
