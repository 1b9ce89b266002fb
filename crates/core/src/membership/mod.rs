//! Hosts and targets: who is there, who is suspected, who is gone.
//!
//! Every process is a member. A target is announced to the process of its own
//! host, its owner, which alone writes the target's record.

mod record;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use serde::{Deserialize, Serialize};

pub use record::{Member, MemberStatus, TargetAnnouncement, TargetRecord, TargetState};

use crate::context::{Context, Identity};
use crate::ids::{NodeId, TargetId};
use crate::time::Instant;

/// Messages about hosts and targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Records that the sender holds.
    Records {
        /// Members.
        members: Vec<Member>,
        /// Targets.
        targets: Vec<TargetRecord>,
    },
}

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
    members: BTreeMap<NodeId, Member>,
    targets: BTreeMap<TargetId, TargetRecord>,
    changes: Vec<MembershipChange>,
    next_dial_at: Instant,
}

impl Membership {
    /// Makes a view that knows only this process.
    pub fn new(settings: MembershipSettings, me: &Identity) -> Self {
        let member = Member::of(me);
        Self {
            settings,
            members: BTreeMap::from([(me.id, member)]),
            targets: BTreeMap::new(),
            changes: Vec::new(),
            next_dial_at: Instant::ZERO,
        }
    }

    /// Every member that is known and not forgotten, this process included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One member.
    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Every target that is known.
    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values()
    }

    /// Control replicas that are known and alive, by key.
    pub fn control_replicas(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.control && member.status.is_reachable())
    }

    /// Takes what changed since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// When [`Membership::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        self.next_dial_at
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.next_dial_at {
            return;
        }
        self.next_dial_at = if self.members.len() > 1 {
            Instant::NEVER
        } else {
            cx.now.plus_ms(cx.rng.random_range(0..SEED_DIAL_EVERY_MS))
        };
        for address in &self.settings.seeds {
            cx.emit(crate::Effect::Dial { address: *address });
        }
    }

    /// A connection to another process is ready.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        let members = self.members.values().cloned().collect();
        let targets = self.targets.values().cloned().collect();
        cx.send(peer, MembershipMessage::Records { members, targets });
    }

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, _cx: &mut Context<'_>, _peer: NodeId) {}

    /// A message from another process.
    pub fn step(&mut self, cx: &mut Context<'_>, _from: NodeId, message: MembershipMessage) {
        let MembershipMessage::Records { members, targets } = message;
        for member in members {
            self.merge_member(cx, member);
        }
        for target in targets {
            self.merge_target(cx, target);
        }
    }

    /// A target announced itself to this process.
    pub fn announce(&mut self, cx: &mut Context<'_>, announcement: TargetAnnouncement) {
        let state = if announcement.draining { TargetState::Draining } else { TargetState::Ready };
        self.write(cx, announcement, state);
    }

    /// A target of this process leaves. Returns false where it is not known.
    pub fn leave(&mut self, cx: &mut Context<'_>, target: &TargetId) -> bool {
        let Some(mut record) = self.targets.get(target).cloned() else { return false };
        record.state = TargetState::Gone;
        record.sequence += 1;
        self.merge_target(cx, record);
        true
    }

    /// This process leaves: tell the others and announce its targets as gone.
    pub fn stop(&mut self, cx: &mut Context<'_>) {
        let mut member = self.members[&cx.me.id].clone();
        member.status = MemberStatus::Left;
        self.merge_member(cx, member);
    }

    fn write(&mut self, cx: &mut Context<'_>, given: TargetAnnouncement, state: TargetState) {
        let sequence = self.targets.get(&given.target).map_or(1, |old| old.sequence + 1);
        let record = TargetRecord {
            target: given.target,
            owner: cx.me.id,
            incarnation: cx.me.incarnation,
            sequence,
            address: given.address,
            slots: given.slots,
            connections: given.connections,
            state,
            load_percent: given.load_percent,
        };
        let same = self
            .targets
            .get(&record.target)
            .is_some_and(|old| TargetRecord { sequence, ..old.clone() } == record);
        if !same {
            self.merge_target(cx, record);
        }
    }

    fn merge_member(&mut self, cx: &mut Context<'_>, member: Member) {
        let old = self.members.get(&member.id);
        if old.is_some_and(|old| !member.supersedes(old)) {
            return;
        }
        if member.id != cx.me.id {
            let address = member.addresses.peers;
            cx.emit(crate::Effect::LearnAddress { peer: member.id, address });
        }
        self.members.insert(member.id, member.clone());
        self.changes.push(MembershipChange::Member(member.clone()));
        self.tell_all(cx, MembershipMessage::Records { members: vec![member], targets: vec![] });
    }

    fn merge_target(&mut self, cx: &mut Context<'_>, target: TargetRecord) {
        let old = self.targets.get(&target.target);
        if old.is_some_and(|old| !target.supersedes(old)) {
            return;
        }
        self.targets.insert(target.target.clone(), target.clone());
        self.changes.push(MembershipChange::Target(target.clone()));
        self.tell_all(cx, MembershipMessage::Records { members: vec![], targets: vec![target] });
    }

    fn tell_all(&self, cx: &mut Context<'_>, message: MembershipMessage) {
        for id in self.members.keys().filter(|id| **id != cx.me.id) {
            cx.send(*id, message.clone());
        }
    }
}

/// Longest time between two dials of the seeds while nobody is known, in milliseconds.
const SEED_DIAL_EVERY_MS: u64 = 500;
