//! Gossip of changed records, and anti-entropy: comparing records with a peer whose
//! digest differs.

use std::collections::BTreeSet;

use super::leases::gone_record;
use super::message::{
    Heartbeat, MembershipMessage, Records, ZoneDigest, ZoneReachability, ZoneSummary,
};
use super::view::RecordKey;
use super::{Member, MemberStatus, Membership, TargetRecord, TargetState};
use crate::Effect;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{Name, NodeId};
use crate::time::Instant;

/// Time for which records that stop new work for a host or target are batched
/// before they are sent on, in milliseconds.
const URGENT_FLUSH_DELAY_MS: u64 = 2;

/// Time for which other records are batched, in milliseconds.
const FLUSH_DELAY_MS: u64 = 50;

/// Most records in one message.
const MAX_RECORDS: usize = 500;

impl Membership {
    pub(super) fn handle_message(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        message: MembershipMessage,
    ) {
        match message {
            MembershipMessage::Hello { records, is_new } => {
                self.merge_records(cx, from, records);
                self.notify_if_dead(cx, from);
                let reachability = self.reachability.reports();
                if is_new {
                    let records = self.view.records();
                    cx.send(from, MembershipMessage::Welcome { records, reachability });
                } else if reachability.iter().any(|report| report.cut_off) {
                    cx.send(from, MembershipMessage::Reachability(reachability));
                }
            }
            MembershipMessage::Welcome { records, reachability } => {
                self.merge_records(cx, from, records);
                // The other processes hold these records already. If one does not, the
                // digests in heartbeats reveal it.
                self.outbox.retain(|_, source| *source != Some(from));
                self.handle_reachability(cx, from, reachability);
                self.synced_at.get_or_insert(cx.now);
            }
            MembershipMessage::Records(records) => self.merge_records(cx, from, records),
            MembershipMessage::Heartbeat(heartbeat) => self.handle_heartbeat(cx, from, heartbeat),
            MembershipMessage::Digests(digests) => self.handle_digests(cx, from, &digests),
            MembershipMessage::Summary(zones) => self.handle_summaries(cx, from, &zones),
            MembershipMessage::RecordsRequest(ids) => self.send_records(cx, from, ids),
            MembershipMessage::Reachability(reports) => self.handle_reachability(cx, from, reports),
        }
    }

    fn merge_records(&mut self, cx: &mut Context<'_>, from: NodeId, records: Records) {
        for member in records.members {
            self.merge_member(cx, member, Some(from));
        }
        for target in records.targets {
            self.merge_target(cx, target, Some(from));
        }
    }

    /// Merges a member's record and queues it for the links if it is new.
    pub(super) fn merge_member(
        &mut self,
        cx: &mut Context<'_>,
        member: Member,
        from: Option<NodeId>,
    ) {
        if let Some(from) = from.filter(|_| member.id == cx.me.id) {
            self.refute(cx, from, &member);
            return;
        }
        let id = member.id;
        let address = member.addresses.peers;
        let is_urgent = member.status != MemberStatus::Alive;
        let old_status = self.view.outgoing_member(id).map(|old| old.status);
        if !self.view.merge_member(cx.now, member) {
            return;
        }
        if old_status == Some(MemberStatus::Dead) {
            self.log_return(cx, id);
        }
        if id != cx.me.id {
            cx.emit(Effect::StorePeerAddress { peer: id, address });
            // A record of a live member shows that others receive its messages, even if
            // this process does not.
            self.links.record_status_change(cx.now, id, is_urgent);
        }
        self.queue_record(cx.now, RecordKey::Member(id), from, is_urgent);
    }

    /// Refutes a record of this process that would replace its own, such as a suspicion:
    /// writes its own record again with an incarnation above it. The sender need not have a link
    /// to this process, so it receives the new record directly.
    fn refute(&mut self, cx: &mut Context<'_>, from: NodeId, remote: &Member) {
        let Some(own) = self.view.outgoing_member(cx.me.id) else { return };
        if (remote.incarnation, remote.status) <= (own.incarnation, own.status) {
            return;
        }
        let incarnation = remote.incarnation + 1;
        let text = format!("Refutes that it is {}.", remote.status);
        cx.log(LogLevel::Info, LogPart::Membership, text);
        self.merge_member(cx, Member { incarnation, ..own }, None);
        self.send_records(cx, from, vec![cx.me.id]);
    }

    /// Merges a target's record and queues it for the links if it is new.
    pub(super) fn merge_target(
        &mut self,
        cx: &mut Context<'_>,
        record: TargetRecord,
        from: Option<NodeId>,
    ) {
        if from.is_some() && record.owner == cx.me.id {
            self.apply_departure(cx, &record);
        }
        let is_unannounced = record.owner == cx.me.id
            && record.state != TargetState::Gone
            && !self.leases.contains(&record.target);
        let correction = is_unannounced.then(|| gone_record(&record));
        let key = RecordKey::Target(record.target.clone());
        let is_urgent = record.state != TargetState::Ready;
        if !self.view.merge_target(cx.now, record) {
            return;
        }
        self.queue_record(cx.now, key, from, is_urgent);
        // The target announced itself to an earlier start of this process. It is gone
        // until it announces itself again.
        if let Some(record) = correction {
            self.merge_target(cx, record, None);
        }
    }

    /// Applies what a record of an earlier run of this process says of a target that this run may
    /// know by an announcement that was sent before.
    fn apply_departure(&mut self, cx: &mut Context<'_>, record: &TargetRecord) {
        match self.leases.learn(cx.now, record) {
            Some(departure) if departure.has_left => _ = self.remove_own_target(cx, &record.target),
            Some(_) => self.drain_own_target(cx, &record.target),
            None => {}
        }
    }

    fn queue_record(
        &mut self,
        now: Instant,
        key: RecordKey,
        from: Option<NodeId>,
        is_urgent: bool,
    ) {
        self.outbox.insert(key, from);
        let delay_ms = if is_urgent { URGENT_FLUSH_DELAY_MS } else { FLUSH_DELAY_MS };
        self.flush_at = self.flush_at.min(now.plus_ms(delay_ms));
    }

    /// Sends the queued records to all links, each record except to the link from which
    /// it was received.
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
            send_in_batches(cx, peer, records);
        }
    }

    fn handle_heartbeat(&mut self, cx: &mut Context<'_>, from: NodeId, heartbeat: Heartbeat) {
        self.notify_if_dead(cx, from);
        self.reachability.record_heartbeats(cx.now, heartbeat.zone_heartbeats);
        if heartbeat
            .reachability_digest
            .is_some_and(|digest| digest != self.reachability.reports_digest())
        {
            cx.send(from, MembershipMessage::Reachability(self.reachability.reports()));
        }
        let is_digest_equal = heartbeat.digest == self.view.digest();
        if is_digest_equal {
            self.synced_at.get_or_insert(cx.now);
        }
        // Links receive heartbeats periodically and need no reply.
        if !heartbeat.is_reply && !self.links.contains(from) {
            self.send_heartbeat(cx, from, true);
        }
        if self.links.record_comparison(from, is_digest_equal) {
            let digests = self.zone_digests();
            cx.send(from, MembershipMessage::Digests(digests));
        }
    }

    pub(super) fn zone_digests(&self) -> Vec<ZoneDigest> {
        let zones = self.topology.zones();
        let digest = |(name, _): (&Name, _)| ZoneDigest {
            availability_zone: name.clone(),
            digest: self.view.zone_digest(name),
        };
        zones.map(digest).collect()
    }

    fn handle_digests(&mut self, cx: &mut Context<'_>, from: NodeId, remote: &[ZoneDigest]) {
        let local = self.zone_digests();
        let names: BTreeSet<_> =
            local.iter().chain(remote).map(|zone| &zone.availability_zone).collect();
        let find_digest = |zones: &[ZoneDigest], name: &Name| {
            zones.iter().find(|zone| zone.availability_zone == *name).map(|zone| zone.digest)
        };
        let differing =
            names.into_iter().filter(|name| find_digest(&local, name) != find_digest(remote, name));
        let summary = |name: &Name| ZoneSummary {
            availability_zone: name.clone(),
            members: self.view.summaries(name),
        };
        let summaries: Vec<ZoneSummary> = differing.map(summary).collect();
        if !summaries.is_empty() {
            cx.send(from, MembershipMessage::Summary(summaries));
        }
    }

    fn handle_summaries(&mut self, cx: &mut Context<'_>, from: NodeId, zones: &[ZoneSummary]) {
        let mut to_send = BTreeSet::new();
        let mut to_request = BTreeSet::new();
        for zone in zones {
            for remote in &zone.members {
                match self.view.summary_of(remote.id) {
                    Some(local)
                        if local == *remote
                            || (local.status.is_dead_or_left()
                                && remote.status.is_dead_or_left()) => {}
                    Some(_) => {
                        to_send.insert(remote.id);
                        to_request.insert(remote.id);
                    }
                    None if remote.status.is_dead_or_left() => {}
                    None => {
                        to_request.insert(remote.id);
                    }
                }
            }
            let local_members = self.view.summaries(&zone.availability_zone);
            let missing = local_members.iter().filter(|local| {
                !local.status.is_dead_or_left()
                    && zone.members.iter().all(|remote| remote.id != local.id)
            });
            to_send.extend(missing.map(|local| local.id));
        }
        self.send_records(cx, from, to_send.into_iter().collect());
        if !to_request.is_empty() {
            cx.send(from, MembershipMessage::RecordsRequest(to_request.into_iter().collect()));
        }
    }

    fn send_records(&mut self, cx: &mut Context<'_>, to: NodeId, ids: Vec<NodeId>) {
        let records = self.view.records_of(ids);
        send_in_batches(cx, to, records);
    }

    /// Applies reports that a member of this availability zone sent, and forwards those
    /// that are new to the neighbours.
    pub(super) fn handle_reachability(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        reports: Vec<ZoneReachability>,
    ) {
        let own = &cx.me.locality.availability_zone;
        let is_in_own_zone = |id| {
            let member = self.view.member(id);
            member.is_some_and(|member| member.locality.availability_zone == *own)
        };
        if !is_in_own_zone(from) {
            return;
        }
        let mut new_reports = Vec::new();
        for report in reports {
            if report.availability_zone != *own
                && self.reachability.apply_report(cx.now, &mut self.view, &report)
            {
                new_reports.push(report);
            }
        }
        if new_reports.is_empty() {
            return;
        }
        for peer in self.topology.neighbours().iter().filter(|peer| **peer != from) {
            cx.send(*peer, MembershipMessage::Reachability(new_reports.clone()));
        }
    }

    pub(super) fn send_heartbeat(&mut self, cx: &mut Context<'_>, to: NodeId, is_reply: bool) {
        let own = &cx.me.locality.availability_zone;
        let member = self.view.member(to);
        let is_same_zone = member.is_some_and(|member| member.locality.availability_zone == *own);
        let zone_heartbeats =
            if is_same_zone { Vec::new() } else { self.reachability.outgoing_heartbeats() };
        let reachability_digest = is_same_zone.then(|| self.reachability.reports_digest());
        let digest = self.view.digest();
        let heartbeat = Heartbeat { digest, reachability_digest, is_reply, zone_heartbeats };
        cx.send(to, MembershipMessage::Heartbeat(heartbeat));
    }
}

/// Sends records in messages of at most [`MAX_RECORDS`] each. Members go first: the
/// receiver ignores a target whose owner is not a known member.
fn send_in_batches(cx: &mut Context<'_>, to: NodeId, records: Records) {
    let Records { members, targets } = records;
    for batch in members.chunks(MAX_RECORDS) {
        let records = Records { members: batch.to_vec(), targets: Vec::new() };
        if targets.len() + batch.len() <= MAX_RECORDS {
            let records = Records { targets, ..records };
            cx.send(to, MembershipMessage::Records(records));
            return;
        }
        cx.send(to, MembershipMessage::Records(records));
    }
    for batch in targets.chunks(MAX_RECORDS) {
        let records = Records { members: Vec::new(), targets: batch.to_vec() };
        cx.send(to, MembershipMessage::Records(records));
    }
}
