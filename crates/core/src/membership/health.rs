//! Failure detection and joining: sends heartbeats, suspects silent members,
//! declares them dead and dials the seeds.

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{Member, MemberStatus, Membership};
use crate::Effect;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;
use crate::time::Instant;

/// Mean interval between heartbeats on each link, in milliseconds.
pub const HEARTBEAT_EVERY_MS: u64 = 1_000;

/// Time that a suspect has to refute the suspicion before it is declared dead, in
/// milliseconds.
pub const SUSPECT_FOR_MS: u64 = 2_000;

/// Most members of other availability zones probed in one heartbeat round.
const MAX_PROBES: usize = 2;

/// Number of dials of the seeds after the start that follow in quick succession: if
/// all processes were restarted at once, the seeds may be the last to listen.
const QUICK_DIALS: u32 = 12;

/// Bounds of the random wait between the quick dials, in milliseconds.
const QUICK_DIAL_WAIT_MS: std::ops::RangeInclusive<u64> = 50..=150;

/// Upper bound of the first wait after the quick dials, in milliseconds.
const FIRST_DIAL_WAIT_MS: u64 = 200;

/// Upper bound of every wait between dials of the seeds, in milliseconds.
const MAX_DIAL_WAIT_MS: u64 = 5_000;

/// Longest time between dials of the seeds while links are active, in milliseconds.
/// These dials join two meshes that were started separately.
const SEED_CHECK_EVERY_MS: u64 = 60_000;

impl Membership {
    /// Schedules a dial of the seeds if no control replica is reachable: control
    /// replicas that were all restarted at once hold records only of each other.
    fn schedule_dial_without_control(&mut self, cx: &Context<'_>) {
        if self.control_replicas().next().is_none() {
            self.dial_at = self.dial_at.min(cx.now.plus_ms(MAX_DIAL_WAIT_MS));
        }
    }

    /// Runs one heartbeat round: sends heartbeats, suspects silent members and forgets
    /// members that are due.
    pub(super) fn run_heartbeat_round(&mut self, cx: &mut Context<'_>) {
        // The jitter keeps processes that start together from sending in step.
        let jitter_ms = cx.rng.random_range(0..=HEARTBEAT_EVERY_MS / 10);
        self.heartbeat_at =
            cx.now.plus_ms(HEARTBEAT_EVERY_MS - HEARTBEAT_EVERY_MS / 20 + jitter_ms);
        self.schedule_dial_without_control(cx);
        let changed = self.reachability.advance(cx.now, &self.topology, cx.me);
        if !changed.is_empty() {
            for report in &changed {
                let reachability = if report.cut_off { "is cut off" } else { "is reachable again" };
                let text =
                    format!("Availability zone {} {reachability}.", report.availability_zone);
                cx.log(LogLevel::Warn, LogPart::Membership, text);
            }
            self.handle_reachability(cx, cx.me.id, changed);
        }
        for peer in self.links.silent_peers(cx.now) {
            self.suspect(cx, peer);
        }
        self.update_links(cx);
        let mut peers: Vec<NodeId> = self.links.peers().collect();
        peers.extend(self.peers_to_probe(cx));
        peers.extend(self.dead_member_to_probe(cx));
        for peer in peers {
            self.send_heartbeat(cx, peer, false);
        }
        for id in self.view.forget_due(cx.now) {
            cx.emit(Effect::ForgetPeer { peer: id });
        }
        self.forget_cut_off_members(cx);
        if !self.links.has_active_link(cx.now) && self.dial_at != Instant::NEVER {
            self.dial_at = self.dial_at.min(cx.now.plus_ms(MAX_DIAL_WAIT_MS));
        }
    }

    /// Members of other availability zones to probe with a heartbeat while a neighbour
    /// is silent and no other peer sends messages. Their responses show whether this
    /// process itself is cut off.
    fn peers_to_probe(&self, cx: &mut Context<'_>) -> Vec<NodeId> {
        let needs_probe = self
            .links
            .silent_peers(cx.now)
            .iter()
            .any(|silent| !self.links.has_recent_message_except(cx.now, *silent));
        if !needs_probe {
            return Vec::new();
        }
        let own = &cx.me.locality.availability_zone;
        let probe_candidates =
            self.view.members_with_recorded_status().filter(|(member, recorded_status)| {
                member.locality.availability_zone != *own && *recorded_status == MemberStatus::Alive
            });
        let probe_candidates: Vec<NodeId> = probe_candidates.map(|(member, _)| member.id).collect();
        probe_candidates.choose_multiple(cx.rng, MAX_PROBES).copied().collect()
    }

    fn forget_cut_off_members(&mut self, cx: &mut Context<'_>) {
        for zone in self.reachability.zones_to_forget(cx.now) {
            let members = self.view.members();
            let ids: Vec<NodeId> = members
                .filter(|member| member.locality.availability_zone == zone)
                .map(|member| member.id)
                .collect();
            for id in ids {
                self.forget_member(cx, id);
            }
        }
    }

    /// Marks a member of this process's own availability zone as suspect, or as dead if it
    /// is leaving. Does nothing if this process receives no messages from others, because
    /// it may be cut off itself.
    pub(super) fn suspect(&mut self, cx: &mut Context<'_>, suspect_id: NodeId) {
        let Some(member) = self.view.outgoing_member(suspect_id) else { return };
        let own = &cx.me.locality.availability_zone;
        if member.locality.availability_zone != *own
            || !self.links.has_recent_message_except(cx.now, suspect_id)
        {
            return;
        }
        let status = match member.status {
            MemberStatus::Alive => MemberStatus::Suspect,
            // The member is stopping anyway, so it gets no time to refute.
            MemberStatus::Leaving => MemberStatus::Dead,
            MemberStatus::Suspect | MemberStatus::Dead | MemberStatus::Left => return,
        };
        self.write_status(cx, member, status);
    }

    /// Updates the refutation deadlines to the suspects of this availability zone.
    pub(super) fn update_suspect_deadlines(&mut self, cx: &mut Context<'_>) {
        let own = &cx.me.locality.availability_zone;
        let suspects: Vec<NodeId> = self
            .view
            .members_with_recorded_status()
            .filter(|(member, recorded_status)| {
                let is_same_zone = member.locality.availability_zone == *own;
                is_same_zone && *recorded_status == MemberStatus::Suspect && member.id != cx.me.id
            })
            .map(|(member, _)| member.id)
            .collect();
        self.suspect_deadlines.retain(|id, _| suspects.contains(id));
        for id in suspects {
            self.suspect_deadlines.entry(id).or_insert(cx.now.plus_ms(SUSPECT_FOR_MS));
        }
    }

    /// Declares suspects dead whose refutation deadline has passed. The deadline is
    /// extended while this process receives no messages from others.
    pub(super) fn declare_expired_suspects_dead(&mut self, cx: &mut Context<'_>) {
        let expired: Vec<NodeId> = self
            .suspect_deadlines
            .iter()
            .filter(|(_, at)| **at <= cx.now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if !self.links.has_recent_message_except(cx.now, id) {
                self.suspect_deadlines.insert(id, cx.now.plus_ms(SUSPECT_FOR_MS));
                continue;
            }
            self.suspect_deadlines.remove(&id);
            if let Some(member) = self.view.outgoing_member(id) {
                self.write_status(cx, member, MemberStatus::Dead);
            }
        }
    }

    fn write_status(&mut self, cx: &mut Context<'_>, member: Member, status: MemberStatus) {
        let text = format!("Host {} is {status}.", member.host);
        cx.log(LogLevel::Info, LogPart::Membership, text);
        self.merge_member(cx, Member { status, ..member }, None);
    }

    /// Dials the seeds and schedules the next dial: soon while no messages arrive or no
    /// control replica is reachable, rarely otherwise.
    pub(super) fn dial_seeds(&mut self, cx: &mut Context<'_>) {
        let silent_ms = cx.now.since_ms(self.last_received_at.unwrap_or(Instant::ZERO));
        let is_joined = self.last_received_at.is_some()
            && (self.links.has_active_link(cx.now) || silent_ms < super::SILENT_AFTER_MS);
        let wait_ms = if is_joined && self.control_replicas().next().is_none() {
            cx.rng.random_range(MAX_DIAL_WAIT_MS / 2..=MAX_DIAL_WAIT_MS)
        } else if is_joined {
            self.failed_dials = 0;
            cx.rng.random_range(SEED_CHECK_EVERY_MS / 2..=SEED_CHECK_EVERY_MS)
        } else {
            self.failed_dials += 1;
            match self.failed_dials.checked_sub(QUICK_DIALS) {
                None => cx.rng.random_range(QUICK_DIAL_WAIT_MS),
                Some(doublings) => {
                    let bound_ms = (FIRST_DIAL_WAIT_MS << doublings.min(10)).min(MAX_DIAL_WAIT_MS);
                    cx.rng.random_range(FIRST_DIAL_WAIT_MS / 2..=bound_ms)
                }
            }
        };
        self.dial_at = cx.now.plus_ms(wait_ms);
        for address in &self.settings.seeds {
            cx.emit(Effect::Dial { address: *address });
        }
    }
}
