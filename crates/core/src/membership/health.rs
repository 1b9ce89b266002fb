//! Heartbeats, suspicion and rejoining.

use rand::Rng;
use rand::seq::IndexedRandom;

use super::{Member, MemberStatus, Membership};
use crate::Effect;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::NodeId;
use crate::time::Instant;

/// Time between two heartbeats to each link, in milliseconds.
pub const HEARTBEAT_EVERY_MS: u64 = 1_000;

/// Time that a suspect has to refute before it is given up, in milliseconds.
pub const SUSPECT_FOR_MS: u64 = 2_000;

/// Most members of other availability zones asked at once.
const MAX_STRANGERS: usize = 2;

/// Dials of the seeds after the start that follow each other quickly: where everything
/// was restarted, the seeds may be the last to listen.
const QUICK_DIALS: u32 = 12;

/// Bounds of the wait between those dials, in milliseconds.
const QUICK_DIAL_WAIT_MS: std::ops::RangeInclusive<u64> = 50..=150;

/// Upper bound of the first wait after those, in milliseconds.
const FIRST_DIAL_WAIT_MS: u64 = 200;

/// Upper bound of every wait between dials of the seeds, in milliseconds.
const MAX_DIAL_WAIT_MS: u64 = 5_000;

/// Time between dials of the seeds while others are heard, in milliseconds. It
/// joins two meshes that were started apart.
const SEED_CHECK_EVERY_MS: u64 = 60_000;

impl Membership {
    /// Dials the seeds soon where no control replica is reachable: those that
    /// were all restarted at once know only each other.
    fn look_for_control(&mut self, cx: &Context<'_>) {
        if self.control_replicas().next().is_none() {
            self.dial_at = self.dial_at.min(cx.now.plus_ms(MAX_DIAL_WAIT_MS));
        }
    }

    /// Sends heartbeats and looks for members that are silent or forgotten.
    pub(super) fn heartbeat(&mut self, cx: &mut Context<'_>) {
        // Processes that start together must not beat in step.
        let jitter_ms = cx.rng.random_range(0..=HEARTBEAT_EVERY_MS / 10);
        self.heartbeat_at =
            cx.now.plus_ms(HEARTBEAT_EVERY_MS - HEARTBEAT_EVERY_MS / 20 + jitter_ms);
        self.look_for_control(cx);
        let changed = self.beats.beat(cx.now, &self.topology, cx.me);
        if !changed.is_empty() {
            for told in &changed {
                let what = if told.cut_off { "is cut off" } else { "is reached again" };
                let text = format!("Availability zone {} {what}.", told.availability_zone);
                cx.log(LogLevel::Warn, LogPart::Membership, text);
            }
            self.take_reach(cx, cx.me.id, changed);
        }
        for peer in self.links.silent(cx.now) {
            self.suspect(cx, peer);
        }
        self.follow_links(cx);
        let mut peers: Vec<NodeId> = self.links.peers().collect();
        peers.extend(self.strangers(cx));
        for peer in peers {
            self.send_heartbeat(cx, peer, false);
        }
        for id in self.view.forget_due(cx.now) {
            cx.emit(Effect::ForgetPeer { peer: id });
        }
        self.forget_cut_off(cx);
        if !self.links.hears_anyone(cx.now) && self.dial_at != Instant::NEVER {
            self.dial_at = self.dial_at.min(cx.now.plus_ms(MAX_DIAL_WAIT_MS));
        }
    }

    /// Members of other availability zones to ask for a sign of life while a
    /// neighbour is silent and nobody else is heard. Their answers tell whether it is this
    /// process that is cut off.
    fn strangers(&self, cx: &mut Context<'_>) -> Vec<NodeId> {
        let alone = self
            .links
            .silent(cx.now)
            .iter()
            .any(|silent| !self.links.hears_others(cx.now, *silent));
        if !alone {
            return Vec::new();
        }
        let own = &cx.me.locality.availability_zone;
        let strangers = self.view.written().filter(|(member, written)| {
            member.locality.availability_zone != *own && *written == MemberStatus::Alive
        });
        let strangers: Vec<NodeId> = strangers.map(|(member, _)| member.id).collect();
        strangers.choose_multiple(cx.rng, MAX_STRANGERS).copied().collect()
    }

    fn forget_cut_off(&mut self, cx: &mut Context<'_>) {
        for zone in self.beats.forgotten(cx.now) {
            let members = self.view.members();
            let ids: Vec<NodeId> = members
                .filter(|member| member.locality.availability_zone == zone)
                .map(|member| member.id)
                .collect();
            for id in ids {
                self.forget(cx, id);
            }
        }
    }

    /// Suspects a member of this process's own availability zone.
    pub(super) fn suspect(&mut self, cx: &mut Context<'_>, accused: NodeId) {
        let Some(member) = self.view.outgoing_member(accused) else { return };
        let own = &cx.me.locality.availability_zone;
        if member.locality.availability_zone != *own || !self.links.hears_others(cx.now, accused) {
            return;
        }
        let status = match member.status {
            MemberStatus::Alive => MemberStatus::Suspect,
            // It stops anyway, so there is nothing to wait for.
            MemberStatus::Leaving => MemberStatus::Dead,
            MemberStatus::Suspect | MemberStatus::Dead | MemberStatus::Left => return,
        };
        self.write_status(cx, member, status);
    }

    /// Keeps one deadline for each suspect of this availability zone.
    pub(super) fn follow_suspects(&mut self, cx: &mut Context<'_>) {
        let own = &cx.me.locality.availability_zone;
        let suspects: Vec<NodeId> = self
            .view
            .written()
            .filter(|(member, written)| {
                let same_zone = member.locality.availability_zone == *own;
                same_zone && *written == MemberStatus::Suspect && member.id != cx.me.id
            })
            .map(|(member, _)| member.id)
            .collect();
        self.suspects.retain(|id, _| suspects.contains(id));
        for id in suspects {
            self.suspects.entry(id).or_insert(cx.now.plus_ms(SUSPECT_FOR_MS));
        }
    }

    /// Gives suspects up whose time to refute has passed.
    pub(super) fn give_up_due(&mut self, cx: &mut Context<'_>) {
        let due: Vec<NodeId> =
            self.suspects.iter().filter(|(_, at)| **at <= cx.now).map(|(id, _)| *id).collect();
        for id in due {
            if !self.links.hears_others(cx.now, id) {
                self.suspects.insert(id, cx.now.plus_ms(SUSPECT_FOR_MS));
                continue;
            }
            self.suspects.remove(&id);
            if let Some(member) = self.view.outgoing_member(id) {
                self.write_status(cx, member, MemberStatus::Dead);
            }
        }
    }

    fn write_status(&mut self, cx: &mut Context<'_>, member: Member, status: MemberStatus) {
        let text = format!("Host {} is {status}.", member.host);
        cx.log(LogLevel::Info, LogPart::Membership, text);
        self.take_member(cx, Member { status, ..member }, None);
    }

    /// Dials the seeds: often while nobody is heard, seldom otherwise.
    pub(super) fn dial_seeds(&mut self, cx: &mut Context<'_>) {
        let alone_since = cx.now.since_ms(self.heard_at.unwrap_or(Instant::ZERO));
        let joined = self.heard_at.is_some()
            && (self.links.hears_anyone(cx.now) || alone_since < super::SILENT_AFTER_MS);
        let wait_ms = if joined && self.control_replicas().next().is_none() {
            cx.rng.random_range(MAX_DIAL_WAIT_MS / 2..=MAX_DIAL_WAIT_MS)
        } else if joined {
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
