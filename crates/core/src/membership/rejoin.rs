//! Rejoins the sides of an availability zone that was split.
//!
//! In a split, the members on each side declare the others dead and remove their links to them.
//! Each member therefore goes on probing the dead members next to it in the ring. A member that
//! receives a message from one that it holds as dead sends it that record, so that it refutes,
//! and compares all records.

use rand::seq::IndexedRandom;

use super::message::{MembershipMessage, Records};
use super::view::View;
use super::{MemberStatus, Membership};
use crate::context::{Context, Identity};
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;

impl Membership {
    /// One of the dead members between this process and the next live one in the ring. Each
    /// dead member of the availability zone is probed by one process.
    pub(super) fn dead_member_to_probe(&self, cx: &mut Context<'_>) -> Option<NodeId> {
        dead_successors(&self.view, cx.me).choose(cx.rng).copied()
    }

    /// Handles a message from a process that is recorded as dead: sends it that record, which it
    /// refutes, and the digests, so that the records are compared at once.
    pub(super) fn notify_if_dead(&mut self, cx: &mut Context<'_>, from: NodeId) {
        let Some(record) = self.view.outgoing_member(from) else { return };
        if record.status != MemberStatus::Dead {
            return;
        }
        let records = Records { members: vec![record], targets: Vec::new() };
        cx.send(from, MembershipMessage::Records(records));
        let digests = self.zone_digests();
        cx.send(from, MembershipMessage::Digests(digests));
    }

    /// Logs that a member of the own availability zone that was dead is alive again.
    pub(super) fn log_return(&self, cx: &mut Context<'_>, id: NodeId) {
        let Some(member) = self.view.member(id).filter(|m| !m.status.is_dead_or_left()) else {
            return;
        };
        if member.locality.availability_zone == cx.me.locality.availability_zone {
            let text = format!("Host {} is {} again.", member.host, member.status);
            cx.log(LogLevel::Info, LogPart::Membership, text);
        }
    }
}

/// The dead members that follow this process in the ring of its availability zone, up to the next
/// live one.
fn dead_successors(view: &View, me: &Identity) -> Vec<NodeId> {
    let zone = &me.locality.availability_zone;
    let ring: Vec<_> = view
        .members_with_recorded_status()
        .filter(|(member, _)| member.locality.availability_zone == *zone)
        .map(|(member, recorded_status)| (member.id, recorded_status))
        .collect();
    let (before, after) = ring.split_at(ring.partition_point(|(id, _)| *id <= me.id));
    let others = after.iter().chain(before).filter(|(id, _)| *id != me.id);
    let departed = others.take_while(|(_, recorded_status)| recorded_status.is_dead_or_left());
    departed
        .filter(|(_, recorded_status)| *recorded_status == MemberStatus::Dead)
        .map(|(id, _)| *id)
        .collect()
}
