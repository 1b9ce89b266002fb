//! Hosts and targets: who is there, who is suspected, who is gone.
//!
//! Every process is a member. A target is announced to the process of its own
//! host, its owner, which alone writes the target's record.

mod record;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use record::{Member, MemberStatus, TargetAnnouncement, TargetRecord, TargetState};

use crate::context::{Context, Identity};
use crate::ids::{NodeId, TargetId};
use crate::time::Instant;

/// Messages about hosts and targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The sender's own record and those of its targets, sent on connecting.
    Hello {
        /// The sender.
        member: Member,
        /// The sender's targets.
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
        self.next_dial_at = Instant::NEVER;
        for address in &self.settings.seeds {
            cx.emit(crate::Effect::Dial { address: *address });
        }
    }

    /// A connection to another process is ready.
    pub fn peer_connected(&mut self, _cx: &mut Context<'_>, _peer: NodeId) {}

    /// The last connection to another process closed.
    pub fn peer_disconnected(&mut self, _cx: &mut Context<'_>, _peer: NodeId) {}

    /// A message from another process.
    pub fn step(&mut self, _cx: &mut Context<'_>, _from: NodeId, _message: MembershipMessage) {}

    /// A target announced itself to this process.
    pub fn announce(&mut self, _cx: &mut Context<'_>, _announcement: TargetAnnouncement) {}

    /// A target of this process leaves. Returns false where it is not known.
    pub fn leave(&mut self, _cx: &mut Context<'_>, _target: &TargetId) -> bool {
        false
    }

    /// This process leaves: tell the others and announce its targets as gone.
    pub fn stop(&mut self, _cx: &mut Context<'_>) {}
}
