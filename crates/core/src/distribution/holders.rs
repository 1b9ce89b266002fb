//! Adding up which processes hold a version.

use super::message::Holders;
use crate::ids::{Name, NodeId};
use crate::membership::hash::stable_hash;
use crate::membership::{MemberStatus, Membership};

/// What one process adds to the sum of a set.
pub(super) fn member_sum(id: NodeId, incarnation: u64) -> u64 {
    stable_hash((id, incarnation))
}

/// Sum over the members of an availability zone that a version has to reach.
pub(super) fn known_sum(membership: &Membership, availability_zone: &Name) -> u64 {
    let members = membership.members().filter(|member| {
        let same_zone = member.locality.availability_zone == *availability_zone;
        same_zone && member.status != MemberStatus::Left
    });
    members.fold(0, |sum, member| sum.wrapping_add(member_sum(member.id, member.incarnation)))
}

impl Holders {
    /// A set of one process.
    pub(super) fn one(id: NodeId, incarnation: u64, known: u64) -> Self {
        Self { count: 1, sum: member_sum(id, incarnation), known }
    }

    /// A set of processes that know each other and nobody else, by key and incarnation.
    pub fn of_all(processes: impl IntoIterator<Item = (NodeId, u64)>) -> Self {
        let mut all = Self::default();
        for (id, incarnation) in processes {
            all.count += 1;
            all.sum = all.sum.wrapping_add(member_sum(id, incarnation));
        }
        Self { known: all.sum, ..all }
    }

    /// Adds another set, which must have no process in common with this one.
    pub(super) fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.sum = self.sum.wrapping_add(other.sum);
        if self.known != other.known {
            self.known = 0;
        }
    }

    /// Whether this is every member that each of them knows.
    pub(super) fn is_complete(&self) -> bool {
        self.known != 0 && self.sum == self.known
    }
}
