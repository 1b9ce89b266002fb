//! The records that this process holds, and how they replace each other.

use std::collections::{BTreeMap, BTreeSet};

use super::hash::stable_hash;
use super::message::{Records, Summary};
use super::{Member, MemberStatus, MembershipChange, TargetRecord, TargetState};
use crate::ids::{Name, NodeId, TargetId};
use crate::time::Instant;

/// Time after which a member that was given up is forgotten, in milliseconds.
pub const FORGET_DEAD_AFTER_MS: u64 = 300_000;

/// Time after which a member that left, or a target that is gone, is forgotten,
/// in milliseconds. Until then its record keeps older ones from coming back.
pub const FORGET_LEFT_AFTER_MS: u64 = 60_000;

/// A member's record, and the status that its own availability zone gave it.
/// The record's status is the one that holds here: a member of an availability
/// zone that is cut off is suspect, whatever was last written of it.
struct StoredMember {
    member: Member,
    written: MemberStatus,
    forget_at: Instant,
}

/// A target's record, and the state that its owner gave it. The record's state
/// is the one that holds here: a target whose owner is dead is gone.
struct StoredTarget {
    record: TargetRecord,
    written: TargetState,
    forget_at: Instant,
}

/// Which record was news.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum RecordKey {
    Member(NodeId),
    Target(TargetId),
}

/// Members and targets.
#[derive(Default)]
pub(super) struct View {
    members: BTreeMap<NodeId, StoredMember>,
    targets: BTreeMap<TargetId, StoredTarget>,
    by_owner: BTreeMap<NodeId, BTreeSet<TargetId>>,
    cut_off: BTreeSet<Name>,
    changes: Vec<MembershipChange>,
    /// Grows with each change of a member.
    generation: u64,
    digest: Option<u64>,
}

impl View {
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|stored| &stored.member)
    }

    pub fn member(&self, id: NodeId) -> Option<&Member> {
        self.members.get(&id).map(|stored| &stored.member)
    }

    /// Members with the status that their own availability zones gave them.
    pub fn written(&self) -> impl Iterator<Item = (&Member, MemberStatus)> {
        self.members.values().map(|stored| (&stored.member, stored.written))
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
        self.cut_off.contains(availability_zone)
    }

    /// Takes a member's record in. False where it is no news.
    pub fn merge_member(&mut self, now: Instant, member: Member) -> bool {
        let old = self.members.get(&member.id);
        let newer = match old {
            Some(old) => {
                (member.incarnation, member.status) > (old.member.incarnation, old.written)
            }
            // One that was forgotten must not come back as dead for ever.
            None => !member.status.is_over(),
        };
        if !newer {
            return false;
        }
        let written = member.status;
        let forget_at = match written {
            MemberStatus::Dead => now.plus_ms(FORGET_DEAD_AFTER_MS),
            MemberStatus::Left => now.plus_ms(FORGET_LEFT_AFTER_MS),
            _ => Instant::NEVER,
        };
        let id = member.id;
        let member = Member { status: self.effective(&member, written), ..member };
        self.changes.push(MembershipChange::Member(member.clone()));
        self.members.insert(id, StoredMember { member, written, forget_at });
        self.generation += 1;
        self.touched();
        self.reassess_targets(now, id);
        true
    }

    /// Takes a target's record in. False where it is no news.
    pub fn merge_target(&mut self, now: Instant, record: TargetRecord) -> bool {
        if !self.members.contains_key(&record.owner) {
            return false;
        }
        let old = self.targets.get(&record.target).map(|stored| &stored.record);
        let newer = match old {
            Some(old) => record.supersedes(old),
            None => record.state != TargetState::Gone,
        };
        if !newer {
            return false;
        }
        if let Some(old_owner) = old.map(|old| old.owner) {
            self.disown(old_owner, &record.target);
        }
        let target = record.target.clone();
        self.by_owner.entry(record.owner).or_default().insert(target.clone());
        let written = record.state;
        let record = TargetRecord { state: self.effective_state(record.owner, written), ..record };
        let forget_at = forget_target_at(now, record.state);
        self.changes.push(MembershipChange::Target(record.clone()));
        self.targets.insert(target, StoredTarget { record, written, forget_at });
        self.touched();
        true
    }

    /// Sets whether an availability zone is cut off from this process's.
    pub fn set_cut_off(&mut self, availability_zone: &Name, cut_off: bool) {
        let changed = if cut_off {
            self.cut_off.insert(availability_zone.clone())
        } else {
            self.cut_off.remove(availability_zone)
        };
        if !changed {
            return;
        }
        self.generation += 1;
        for stored in self.members.values_mut() {
            if stored.member.locality.availability_zone != *availability_zone {
                continue;
            }
            let status = suspect_if(cut_off, stored.written);
            if stored.member.status != status {
                stored.member.status = status;
                self.changes.push(MembershipChange::Member(stored.member.clone()));
            }
        }
    }

    /// Forgets what is due and returns the members forgotten.
    pub fn forget_due(&mut self, now: Instant) -> Vec<NodeId> {
        let due = |at: Instant| at <= now;
        let members: Vec<NodeId> =
            self.members.iter().filter(|(_, s)| due(s.forget_at)).map(|(id, _)| *id).collect();
        for id in &members {
            self.forget_member(*id);
        }
        let targets: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, stored)| due(stored.forget_at))
            .map(|(id, _)| id.clone())
            .collect();
        for id in targets {
            if let Some(stored) = self.targets.remove(&id) {
                self.disown(stored.record.owner, &id);
            }
        }
        members
    }

    /// Forgets a member and its targets.
    pub fn forget_member(&mut self, id: NodeId) {
        if self.members.remove(&id).is_none() {
            return;
        }
        for target in self.by_owner.remove(&id).unwrap_or_default() {
            self.targets.remove(&target);
        }
        self.changes.push(MembershipChange::MemberForgotten(id));
        self.generation += 1;
        self.touched();
    }

    /// The record of a member as others should hold it.
    pub fn outgoing_member(&self, id: NodeId) -> Option<Member> {
        let stored = self.members.get(&id)?;
        Some(Member { status: stored.written, ..stored.member.clone() })
    }

    /// The record of a target as others should hold it.
    pub fn outgoing_target(&self, id: &TargetId) -> Option<TargetRecord> {
        let stored = self.targets.get(id)?;
        Some(TargetRecord { state: stored.written, ..stored.record.clone() })
    }

    /// The records of some members and of their targets.
    pub fn records_of(&self, ids: impl IntoIterator<Item = NodeId>) -> Records {
        let mut records = Records::default();
        for id in ids {
            records.members.extend(self.outgoing_member(id));
            let targets = self.by_owner.get(&id).into_iter().flatten();
            records.targets.extend(targets.filter_map(|target| self.outgoing_target(target)));
        }
        records
    }

    /// Every record.
    pub fn records(&self) -> Records {
        self.records_of(self.members.keys().copied())
    }

    /// Hash of every record but those of the dead and gone, which each process
    /// forgets at its own time.
    pub fn digest(&mut self) -> u64 {
        let digest = self.digest.unwrap_or_else(|| self.sum(|_| true));
        self.digest = Some(digest);
        digest
    }

    /// The same for one availability zone.
    pub fn zone_digest(&self, availability_zone: &Name) -> u64 {
        self.sum(|member| member.locality.availability_zone == *availability_zone)
    }

    /// Versions of the records of one availability zone.
    pub fn summaries(&self, availability_zone: &Name) -> Vec<Summary> {
        self.members
            .values()
            .filter(|stored| stored.member.locality.availability_zone == *availability_zone)
            .map(|stored| self.summary(stored))
            .collect()
    }

    /// Version of the record of one member.
    pub fn summary_of(&self, id: NodeId) -> Option<Summary> {
        self.members.get(&id).map(|stored| self.summary(stored))
    }

    fn summary(&self, stored: &StoredMember) -> Summary {
        let id = stored.member.id;
        let incarnation = stored.member.incarnation;
        Summary { id, incarnation, status: stored.written, targets: self.targets_hash(id) }
    }

    fn sum(&self, include: impl Fn(&Member) -> bool) -> u64 {
        let live = self.members.values().filter(|s| !s.written.is_over() && include(&s.member));
        live.fold(0u64, |sum, stored| {
            let member = &stored.member;
            let hash = stable_hash((member.id, member.incarnation, stored.written as u8));
            sum.wrapping_add(hash).wrapping_add(self.targets_hash(member.id))
        })
    }

    fn targets_hash(&self, owner: NodeId) -> u64 {
        let targets = self.by_owner.get(&owner).into_iter().flatten();
        let stored = targets.filter_map(|target| self.targets.get(target));
        stored.filter(|stored| stored.written != TargetState::Gone).fold(0u64, |sum, stored| {
            let record = &stored.record;
            let key = (&record.target, record.owner, record.incarnation, record.sequence);
            sum.wrapping_add(stable_hash(key))
        })
    }

    fn touched(&mut self) {
        self.digest = None;
    }

    fn disown(&mut self, owner: NodeId, target: &TargetId) {
        if let Some(owned) = self.by_owner.get_mut(&owner) {
            owned.remove(target);
            if owned.is_empty() {
                self.by_owner.remove(&owner);
            }
        }
    }

    fn effective(&self, member: &Member, written: MemberStatus) -> MemberStatus {
        suspect_if(self.cut_off.contains(&member.locality.availability_zone), written)
    }

    fn effective_state(&self, owner: NodeId, written: TargetState) -> TargetState {
        let over = self.members.get(&owner).is_none_or(|stored| stored.written.is_over());
        if over { TargetState::Gone } else { written }
    }

    /// Gives the targets of an owner the state that follows from its status.
    fn reassess_targets(&mut self, now: Instant, owner: NodeId) {
        let owned = self.by_owner.get(&owner).cloned().unwrap_or_default();
        for target in owned {
            let written = self.targets[&target].written;
            let state = self.effective_state(owner, written);
            let Some(stored) = self.targets.get_mut(&target) else { continue };
            if stored.record.state == state {
                continue;
            }
            stored.record.state = state;
            stored.forget_at = forget_target_at(now, written);
            self.changes.push(MembershipChange::Target(stored.record.clone()));
        }
    }
}

fn suspect_if(cut_off: bool, written: MemberStatus) -> MemberStatus {
    let present = matches!(written, MemberStatus::Alive | MemberStatus::Leaving);
    if cut_off && present { MemberStatus::Suspect } else { written }
}

fn forget_target_at(now: Instant, state: TargetState) -> Instant {
    match state {
        TargetState::Gone => now.plus_ms(FORGET_LEFT_AFTER_MS),
        TargetState::Ready | TargetState::Draining => Instant::NEVER,
    }
}
