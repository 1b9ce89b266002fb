//! Passing records on, and comparing them.

use std::collections::BTreeSet;

use super::leases::gone;
use super::message::{Heartbeat, MembershipMessage, Records, ZoneDigest, ZoneReach, ZoneSummary};
use super::view::RecordKey;
use super::{Member, MemberStatus, Membership, TargetRecord, TargetState};
use crate::Effect;
use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::time::Instant;

/// Time in which records that keep work away from a host or target are
/// gathered before they are passed on, in milliseconds.
const URGENT_FLUSH_MS: u64 = 2;

/// Time in which other records are gathered, in milliseconds.
const FLUSH_MS: u64 = 50;

/// Most records of one message.
const MAX_RECORDS: usize = 500;

impl Membership {
    pub(super) fn take_message(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        message: MembershipMessage,
    ) {
        match message {
            MembershipMessage::Hello { records, is_new } => {
                self.take_records(cx, from, records);
                let reach = self.beats.reach();
                if is_new {
                    let records = self.view.records();
                    cx.send(from, MembershipMessage::Welcome { records, reach });
                } else if reach.iter().any(|told| told.cut_off) {
                    cx.send(from, MembershipMessage::Reach(reach));
                }
            }
            MembershipMessage::Welcome { records, reach } => {
                self.take_records(cx, from, records);
                // The others know these records. Where they do not, digests tell.
                self.outbox.retain(|_, source| *source != Some(from));
                self.take_reach(cx, from, reach);
                self.synced_at.get_or_insert(cx.now);
            }
            MembershipMessage::Records(records) => self.take_records(cx, from, records),
            MembershipMessage::Heartbeat(heartbeat) => self.take_heartbeat(cx, from, heartbeat),
            MembershipMessage::Digests(digests) => self.take_digests(cx, from, &digests),
            MembershipMessage::Summary(zones) => self.take_summaries(cx, from, &zones),
            MembershipMessage::Want(ids) => self.send_records(cx, from, ids),
            MembershipMessage::Reach(reach) => self.take_reach(cx, from, reach),
        }
    }

    fn take_records(&mut self, cx: &mut Context<'_>, from: NodeId, records: Records) {
        for member in records.members {
            self.take_member(cx, member, Some(from));
        }
        for target in records.targets {
            self.take_target(cx, target, Some(from));
        }
    }

    /// Takes a member's record in and passes it on where it is news.
    pub(super) fn take_member(
        &mut self,
        cx: &mut Context<'_>,
        member: Member,
        from: Option<NodeId>,
    ) {
        if member.id == cx.me.id && from.is_some() {
            self.refute(cx, &member);
            return;
        }
        let id = member.id;
        let address = member.addresses.peers;
        let urgent = member.status != MemberStatus::Alive;
        if !self.view.merge_member(cx.now, member) {
            return;
        }
        if id != cx.me.id {
            cx.emit(Effect::LearnAddress { peer: id, address });
            // Someone hears it, even where this process does not.
            self.links.refuted(cx.now, id, urgent);
        }
        self.pass_on(cx.now, RecordKey::Member(id), from, urgent);
    }

    /// Writes this process's own record anew where others hold a wrong one.
    fn refute(&mut self, cx: &mut Context<'_>, theirs: &Member) {
        let Some(own) = self.view.outgoing_member(cx.me.id) else { return };
        if (theirs.incarnation, theirs.status) <= (own.incarnation, own.status) {
            return;
        }
        let incarnation = theirs.incarnation + 1;
        self.take_member(cx, Member { incarnation, ..own }, None);
    }

    /// Takes a target's record in and passes it on where it is news.
    pub(super) fn take_target(
        &mut self,
        cx: &mut Context<'_>,
        record: TargetRecord,
        from: Option<NodeId>,
    ) {
        let orphan = record.owner == cx.me.id
            && record.state != TargetState::Gone
            && !self.leases.holds(&record.target);
        let correction = orphan.then(|| gone(&record));
        let key = RecordKey::Target(record.target.clone());
        let urgent = record.state != TargetState::Ready;
        if !self.view.merge_target(cx.now, record) {
            return;
        }
        self.pass_on(cx.now, key, from, urgent);
        // An earlier start of this process announced it; it has to announce itself again.
        if let Some(record) = correction {
            self.take_target(cx, record, None);
        }
    }

    fn pass_on(&mut self, now: Instant, key: RecordKey, from: Option<NodeId>, urgent: bool) {
        self.outbox.insert(key, from);
        let wait_ms = if urgent { URGENT_FLUSH_MS } else { FLUSH_MS };
        self.flush_at = self.flush_at.min(now.plus_ms(wait_ms));
    }

    /// Passes gathered records on to every link but the one each came from.
    pub(super) fn flush(&mut self, cx: &mut Context<'_>) {
        self.flush_at = Instant::NEVER;
        let outbox = std::mem::take(&mut self.outbox);
        for peer in self.links.peers() {
            let mut records = Records::default();
            for (key, _) in outbox.iter().filter(|(_, from)| **from != Some(peer)) {
                match key {
                    RecordKey::Member(id) => records.members.extend(self.view.outgoing_member(*id)),
                    RecordKey::Target(id) => records.targets.extend(self.view.outgoing_target(id)),
                }
            }
            send_in_parts(cx, peer, records);
        }
    }

    fn take_heartbeat(&mut self, cx: &mut Context<'_>, from: NodeId, heartbeat: Heartbeat) {
        self.beats.take(cx.now, heartbeat.beats);
        if heartbeat.reach.is_some_and(|reach| reach != self.beats.reach_digest()) {
            cx.send(from, MembershipMessage::Reach(self.beats.reach()));
        }
        let same = heartbeat.digest == self.view.digest();
        if same {
            self.synced_at.get_or_insert(cx.now);
        }
        // A link gets heartbeats at its own time.
        if !heartbeat.is_reply && !self.links.contains(from) {
            self.send_heartbeat(cx, from, true);
        }
        if self.links.compared(from, same) {
            let digests = self.zone_digests();
            cx.send(from, MembershipMessage::Digests(digests));
        }
    }

    fn zone_digests(&self) -> Vec<ZoneDigest> {
        let zones = self.topology.zones();
        let digest = |(name, _): (&Name, _)| ZoneDigest {
            availability_zone: name.clone(),
            digest: self.view.zone_digest(name),
        };
        zones.map(digest).collect()
    }

    fn take_digests(&mut self, cx: &mut Context<'_>, from: NodeId, theirs: &[ZoneDigest]) {
        let mine = self.zone_digests();
        let names: BTreeSet<_> =
            mine.iter().chain(theirs).map(|zone| &zone.availability_zone).collect();
        let digest_in = |zones: &[ZoneDigest], name: &Name| {
            zones.iter().find(|zone| zone.availability_zone == *name).map(|zone| zone.digest)
        };
        let differing =
            names.into_iter().filter(|name| digest_in(&mine, name) != digest_in(theirs, name));
        let summary = |name: &Name| ZoneSummary {
            availability_zone: name.clone(),
            members: self.view.summaries(name),
        };
        let summaries: Vec<ZoneSummary> = differing.map(summary).collect();
        if !summaries.is_empty() {
            cx.send(from, MembershipMessage::Summary(summaries));
        }
    }

    fn take_summaries(&mut self, cx: &mut Context<'_>, from: NodeId, zones: &[ZoneSummary]) {
        let mut give = BTreeSet::new();
        let mut want = BTreeSet::new();
        for zone in zones {
            for theirs in &zone.members {
                match self.view.summary_of(theirs.id) {
                    Some(mine)
                        if mine == *theirs
                            || (mine.status.is_over() && theirs.status.is_over()) => {}
                    Some(_) => {
                        give.insert(theirs.id);
                        want.insert(theirs.id);
                    }
                    None if theirs.status.is_over() => {}
                    None => {
                        want.insert(theirs.id);
                    }
                }
            }
            let held = self.view.summaries(&zone.availability_zone);
            let lacking = held.iter().filter(|mine| {
                !mine.status.is_over() && zone.members.iter().all(|theirs| theirs.id != mine.id)
            });
            give.extend(lacking.map(|mine| mine.id));
        }
        self.send_records(cx, from, give.into_iter().collect());
        if !want.is_empty() {
            cx.send(from, MembershipMessage::Want(want.into_iter().collect()));
        }
    }

    fn send_records(&mut self, cx: &mut Context<'_>, to: NodeId, ids: Vec<NodeId>) {
        let records = self.view.records_of(ids);
        send_in_parts(cx, to, records);
    }

    /// Takes in what a relay of this availability zone told, and passes it on.
    pub(super) fn take_reach(&mut self, cx: &mut Context<'_>, from: NodeId, reach: Vec<ZoneReach>) {
        let own = &cx.me.locality.availability_zone;
        let is_neighbour = |id| {
            let member = self.view.member(id);
            member.is_some_and(|member| member.locality.availability_zone == *own)
        };
        if !is_neighbour(from) {
            return;
        }
        let mut news = Vec::new();
        for told in reach {
            if told.availability_zone != *own && self.beats.told(cx.now, &mut self.view, &told) {
                news.push(told);
            }
        }
        if news.is_empty() {
            return;
        }
        for peer in self.topology.neighbours().iter().filter(|peer| **peer != from) {
            cx.send(*peer, MembershipMessage::Reach(news.clone()));
        }
    }

    pub(super) fn send_heartbeat(&mut self, cx: &mut Context<'_>, to: NodeId, is_reply: bool) {
        let own = &cx.me.locality.availability_zone;
        let member = self.view.member(to);
        let same_zone = member.is_some_and(|member| member.locality.availability_zone == *own);
        let beats = if same_zone { Vec::new() } else { self.beats.outgoing() };
        let reach = same_zone.then(|| self.beats.reach_digest());
        let digest = self.view.digest();
        let heartbeat = Heartbeat { digest, reach, is_reply, beats };
        cx.send(to, MembershipMessage::Heartbeat(heartbeat));
    }
}

/// Sends records in messages of bounded length. Members go first: a target
/// whose owner is not known is not taken in.
fn send_in_parts(cx: &mut Context<'_>, to: NodeId, records: Records) {
    let Records { members, targets } = records;
    for part in members.chunks(MAX_RECORDS) {
        let records = Records { members: part.to_vec(), targets: Vec::new() };
        if targets.len() + part.len() <= MAX_RECORDS {
            let records = Records { targets, ..records };
            cx.send(to, MembershipMessage::Records(records));
            return;
        }
        cx.send(to, MembershipMessage::Records(records));
    }
    for part in targets.chunks(MAX_RECORDS) {
        let records = Records { members: Vec::new(), targets: part.to_vec() };
        cx.send(to, MembershipMessage::Records(records));
    }
}
