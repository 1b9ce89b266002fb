//! The records that this process holds, and the rules by which a newer record
//! replaces an older one.

use std::collections::{BTreeMap, BTreeSet};

use super::hash::stable_hash;
use super::message::{MemberSummary, Records};
use super::{Member, MemberStatus, MembershipChange, TargetRecord, TargetState};
use crate::ids::{Name, NodeId, TargetId};
use crate::time::Instant;

/// Time after which a dead member is forgotten, in milliseconds.
pub const FORGET_DEAD_AFTER_MS: u64 = 300_000;

/// Time after which a member that left, or a target that is gone, is forgotten,
/// in milliseconds. Until then its record is a tombstone: older records that arrive
/// late do not replace it.
pub const FORGET_LEFT_AFTER_MS: u64 = 60_000;

/// A member's record, and the status that its own availability zone recorded.
/// The status in the record is the effective one: a member of an availability zone
/// that is cut off is suspect while its recorded status is alive or leaving.
struct StoredMember {
    member: Member,
    recorded_status: MemberStatus,
    forget_at: Instant,
}

/// A target's record, and the state that its owner recorded. The state in the
/// record is the effective one: a target whose owner is dead or left is gone.
struct StoredTarget {
    record: TargetRecord,
    recorded_state: TargetState,
    forget_at: Instant,
}

/// Identifies a record that changed.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum RecordKey {
    Member(NodeId),
    Target(TargetId),
}

/// The records of all members and targets that this process holds.
#[derive(Default)]
pub(super) struct View {
    members: BTreeMap<NodeId, StoredMember>,
    targets: BTreeMap<TargetId, StoredTarget>,
    targets_by_owner: BTreeMap<NodeId, BTreeSet<TargetId>>,
    cut_off_zones: BTreeSet<Name>,
    changes: Vec<MembershipChange>,
    /// Increases with each change of a member, and of which zones are cut off.
    generation: u64,
    /// Cached result of [`View::digest`].
    digest: Option<u64>,
}

impl View {
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|stored| &stored.member)
    }

    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id).map(|stored| &stored.member)
    }

    /// Members with the status that their own availability zones recorded.
    pub fn members_with_recorded_status(&self) -> impl Iterator<Item = (&Member, MemberStatus)> {
        self.members.values().map(|stored| (&stored.member, stored.recorded_status))
    }

    pub fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.values().map(|stored| &stored.record)
    }

    pub fn target(&self, id: &TargetId) -> Option<&TargetRecord> {
        self.targets.get(id).map(|stored| &stored.record)
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    pub fn is_cut_off(&self, availability_zone: &Name) -> bool {
        self.cut_off_zones.contains(availability_zone)
    }

    /// Merges a member's record. Returns false if it is not newer than the record held,
    /// or if none is held and the member is dead or left.
    pub fn merge_member(&mut self, now: Instant, member: Member) -> bool {
        let old = self.members.get(&member.id);
        let is_newer = match old {
            Some(old) => {
                (member.incarnation, member.status) > (old.member.incarnation, old.recorded_status)
            }
            // Otherwise the record of a dead member that was forgotten would spread again
            // and never be forgotten everywhere.
            None => !member.status.is_dead_or_left(),
        };
        if !is_newer {
            return false;
        }
        let recorded_status = member.status;
        let forget_at = match recorded_status {
            MemberStatus::Dead => now.plus_ms(FORGET_DEAD_AFTER_MS),
            MemberStatus::Left => now.plus_ms(FORGET_LEFT_AFTER_MS),
            _ => Instant::NEVER,
        };
        let id = member.id;
        let member =
            Member { status: self.effective_member_status(&member, recorded_status), ..member };
        self.changes.push(MembershipChange::Member(member.clone()));
        self.members.insert(id, StoredMember { member, recorded_status, forget_at });
        self.generation += 1;
        self.invalidate_digest();
        self.update_target_states(now, id);
        true
    }

    /// Merges a target's record. Returns false if it is not newer than the record held, if the
    /// target has departed since its announcement by the record held, if none is held and the
    /// target is gone, or if the owner is not a known member.
    pub fn merge_target(&mut self, now: Instant, record: TargetRecord) -> bool {
        if !self.members.contains_key(&record.owner) {
            return false;
        }
        let old = self.targets.get(&record.target).map(|stored| &stored.record);
        let is_newer = match old {
            Some(old) => record.supersedes(old) && !old.is_later_announcement_than(&record),
            None => record.state != TargetState::Gone,
        };
        if !is_newer {
            return false;
        }
        if let Some(old_owner) = old.map(|old| old.owner) {
            self.remove_from_owner(old_owner, &record.target);
        }
        let target = record.target.clone();
        self.targets_by_owner.entry(record.owner).or_default().insert(target.clone());
        let recorded_state = record.state;
        let record =
            TargetRecord { state: self.effective_state(record.owner, recorded_state), ..record };
        let forget_at = forget_target_at(now, record.state);
        self.changes.push(MembershipChange::Target(record.clone()));
        self.targets.insert(target, StoredTarget { record, recorded_state, forget_at });
        self.invalidate_digest();
        true
    }

    /// Sets whether an availability zone is cut off from this process's own.
    pub fn set_cut_off(&mut self, availability_zone: &Name, is_cut_off: bool) {
        let changed = if is_cut_off {
            self.cut_off_zones.insert(availability_zone.clone())
        } else {
            self.cut_off_zones.remove(availability_zone)
        };
        if !changed {
            return;
        }
        self.generation += 1;
        for stored in self.members.values_mut() {
            if stored.member.locality.availability_zone != *availability_zone {
                continue;
            }
            let status = effective_status(is_cut_off, stored.recorded_status);
            if stored.member.status != status {
                stored.member.status = status;
                self.changes.push(MembershipChange::Member(stored.member.clone()));
            }
        }
    }

    /// Forgets the members and targets that are due. Returns these members.
    pub fn forget_due(&mut self, now: Instant) -> Vec<NodeId> {
        let is_due = |at: Instant| at <= now;
        let members: Vec<NodeId> =
            self.members.iter().filter(|(_, s)| is_due(s.forget_at)).map(|(id, _)| *id).collect();
        for id in &members {
            self.forget_member(*id);
        }
        let targets: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, stored)| is_due(stored.forget_at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in targets {
            if let Some(stored) = self.targets.remove(&id) {
                self.remove_from_owner(stored.record.owner, &id);
            }
        }
        members
    }

    /// Forgets a member and its targets.
    pub fn forget_member(&mut self, id: NodeId) {
        if self.members.remove(&id).is_none() {
            return;
        }
        for target in self.targets_by_owner.remove(&id).unwrap_or_default() {
            self.targets.remove(&target);
        }
        self.changes.push(MembershipChange::MemberForgotten(id));
        self.generation += 1;
        self.invalidate_digest();
    }

    /// The record of a member to send to others: with its recorded status.
    pub fn outgoing_member(&self, id: NodeId) -> Option<Member> {
        let stored = self.members.get(&id)?;
        Some(Member { status: stored.recorded_status, ..stored.member.clone() })
    }

    /// The record of a target to send to others: with its recorded state.
    pub fn outgoing_target(&self, id: &TargetId) -> Option<TargetRecord> {
        let stored = self.targets.get(id)?;
        Some(TargetRecord { state: stored.recorded_state, ..stored.record.clone() })
    }

    /// The records of the given members and of their targets, to send to others.
    pub fn records_of(&self, ids: impl IntoIterator<Item = NodeId>) -> Records {
        let mut records = Records::default();
        for id in ids {
            records.members.extend(self.outgoing_member(id));
            let targets = self.targets_by_owner.get(&id).into_iter().flatten();
            records.targets.extend(targets.filter_map(|target| self.outgoing_target(target)));
        }
        records
    }

    /// All records, to send to others.
    pub fn records(&self) -> Records {
        self.records_of(self.members.keys().copied())
    }

    /// Hash of all records, except members that are dead or left and targets that
    /// are gone: each process forgets those at a different time.
    pub fn digest(&mut self) -> u64 {
        let digest = self.digest.unwrap_or_else(|| self.hash_where(|_| true));
        self.digest = Some(digest);
        digest
    }

    /// The same hash for the records of one availability zone.
    pub fn zone_digest(&self, availability_zone: &Name) -> u64 {
        self.hash_where(|member| member.locality.availability_zone == *availability_zone)
    }

    /// Versions of the records of the members of one availability zone.
    pub fn summaries(&self, availability_zone: &Name) -> Vec<MemberSummary> {
        self.members
            .values()
            .filter(|stored| stored.member.locality.availability_zone == *availability_zone)
            .map(|stored| self.summary(stored))
            .collect()
    }

    /// Version of the record of one member and hash of its targets.
    pub fn summary_of(&self, id: NodeId) -> Option<MemberSummary> {
        self.members.get(&id).map(|stored| self.summary(stored))
    }

    fn summary(&self, stored: &StoredMember) -> MemberSummary {
        let id = stored.member.id;
        let incarnation = stored.member.incarnation;
        MemberSummary {
            id,
            incarnation,
            status: stored.recorded_status,
            targets_hash: self.targets_hash(id),
        }
    }

    fn hash_where(&self, include: impl Fn(&Member) -> bool) -> u64 {
        let live_members = self
            .members
            .values()
            .filter(|s| !s.recorded_status.is_dead_or_left() && include(&s.member));
        live_members.fold(0u64, |sum, stored| {
            let member = &stored.member;
            let hash = stable_hash((member.id, member.incarnation, stored.recorded_status as u8));
            sum.wrapping_add(hash).wrapping_add(self.targets_hash(member.id))
        })
    }

    fn targets_hash(&self, owner: NodeId) -> u64 {
        let targets = self.targets_by_owner.get(&owner).into_iter().flatten();
        let stored = targets.filter_map(|target| self.targets.get(target));
        stored.filter(|stored| stored.recorded_state != TargetState::Gone).fold(
            0u64,
            |sum, stored| {
                let record = &stored.record;
                let key = (&record.target, record.owner, record.incarnation, record.sequence);
                sum.wrapping_add(stable_hash(key))
            },
        )
    }

    fn invalidate_digest(&mut self) {
        self.digest = None;
    }

    fn remove_from_owner(&mut self, owner: NodeId, target: &TargetId) {
        if let Some(owned_targets) = self.targets_by_owner.get_mut(&owner) {
            owned_targets.remove(target);
            if owned_targets.is_empty() {
                self.targets_by_owner.remove(&owner);
            }
        }
    }

    fn effective_member_status(
        &self,
        member: &Member,
        recorded_status: MemberStatus,
    ) -> MemberStatus {
        effective_status(
            self.cut_off_zones.contains(&member.locality.availability_zone),
            recorded_status,
        )
    }

    fn effective_state(&self, owner: NodeId, recorded_state: TargetState) -> TargetState {
        let is_owner_over =
            self.members.get(&owner).is_none_or(|stored| stored.recorded_status.is_dead_or_left());
        if is_owner_over { TargetState::Gone } else { recorded_state }
    }

    /// Updates the effective state of the targets of an owner whose record changed.
    fn update_target_states(&mut self, now: Instant, owner: NodeId) {
        let owned_targets = self.targets_by_owner.get(&owner).cloned().unwrap_or_default();
        for target in owned_targets {
            let recorded_state = self.targets[&target].recorded_state;
            let state = self.effective_state(owner, recorded_state);
            let Some(stored) = self.targets.get_mut(&target) else { continue };
            if stored.record.state == state {
                continue;
            }
            stored.record.state = state;
            stored.forget_at = forget_target_at(now, recorded_state);
            self.changes.push(MembershipChange::Target(stored.record.clone()));
        }
    }
}

fn effective_status(is_cut_off: bool, recorded_status: MemberStatus) -> MemberStatus {
    let is_present = matches!(recorded_status, MemberStatus::Alive | MemberStatus::Leaving);
    if is_cut_off && is_present { MemberStatus::Suspect } else { recorded_status }
}

fn forget_target_at(now: Instant, state: TargetState) -> Instant {
    match state {
        TargetState::Gone => now.plus_ms(FORGET_LEFT_AFTER_MS),
        TargetState::Ready | TargetState::Draining => Instant::NEVER,
    }
}
