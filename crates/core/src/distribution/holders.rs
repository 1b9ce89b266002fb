//! Aggregates the set of processes that hold a version.

use super::message::Holders;
use crate::ids::{Name, NodeId};
use crate::membership::hash::stable_hash;
use crate::membership::{MemberStatus, Membership};

/// Hash by which one process contributes to the sum of a set.
pub(super) fn member_hash(id: NodeId, incarnation: u64) -> u64 {
    stable_hash((id, incarnation))
}

/// Sum over the members of an availability zone that a version has to reach.
pub(super) fn zone_membership_sum(membership: &Membership, availability_zone: &Name) -> u64 {
    let members = membership.members().filter(|member| {
        let is_same_zone = member.locality.availability_zone == *availability_zone;
        is_same_zone && member.status != MemberStatus::Left
    });
    members.fold(0, |sum, member| sum.wrapping_add(member_hash(member.id, member.incarnation)))
}

impl Holders {
    /// A set of one process.
    pub(super) fn single(id: NodeId, incarnation: u64, membership_sum: u64) -> Self {
        Self { count: 1, sum: member_hash(id, incarnation), membership_sum }
    }

    /// A set of processes, by key and incarnation, each of which has recorded exactly this set.
    pub fn of_members(processes: impl IntoIterator<Item = (NodeId, u64)>) -> Self {
        let mut all = Self::default();
        for (id, incarnation) in processes {
            all.count += 1;
            all.sum = all.sum.wrapping_add(member_hash(id, incarnation));
        }
        Self { membership_sum: all.sum, ..all }
    }

    /// Adds another set, which must be disjoint from this one.
    pub(super) fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.sum = self.sum.wrapping_add(other.sum);
        if self.membership_sum != other.membership_sum {
            self.membership_sum = 0;
        }
    }

    /// Whether the set contains all members that each of its processes has recorded.
    pub(super) fn is_complete(&self) -> bool {
        self.membership_sum != 0 && self.sum == self.membership_sum
    }
}
