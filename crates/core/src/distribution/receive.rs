//! Receives versions: what other processes hold, updates from the parent, and what this process
//! acknowledges in turn.

use std::sync::Arc;

use super::codec::{self, ApplyError};
use super::message::{DistributionMessage, HeldVersion, Status, Update};
use super::{Distribution, host_label};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::time::Instant;

impl Distribution {
    pub(super) fn handle_held_version(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        held: HeldVersion,
    ) {
        if held.version == self.current.version() && held.hash != self.current.hash() {
            let text = format!("Version {} of host {from} has other content.", held.version);
            cx.log(LogLevel::Error, LogPart::Distribution, text);
        }
        self.record_acknowledgement(cx, membership, from, held.version);
        let own = &cx.me.locality.availability_zone;
        let is_same_zone =
            membership.member(from).is_some_and(|member| member.locality.availability_zone == *own);
        // A neighbour that does not serve yet may have been restarted together with this one.
        if held.is_ready && (is_same_zone || held.acknowledged_version.is_some()) {
            self.readiness.record_serving_neighbour();
        }
        self.readiness
            .record_version(from, held.version.max(held.acknowledged_version.unwrap_or_default()));
        self.children.record_held_version(cx.now, from, held.version);
        self.record_newer_holder(cx, membership, from, held.version);
    }

    pub(super) fn handle_status(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        status: Status,
    ) {
        self.record_newer_holder(cx, membership, from, status.version);
        self.readiness.record_version(from, status.newest_known);
        self.newest_known = self.newest_known.max(status.newest_known);
        let is_parent = self.upstream.parent == Some(from);
        let request = status.request.filter(|_| is_parent);
        let requested_at = request.and_then(|number| self.upstream.take_request(number));
        // The parent wrote the answer after it had received the request and held it for
        // `held_ms`, so the contact was no earlier than this, however long the answer was
        // under way. A contact from before the start of this process is dropped: forwarded from here
        // it would look newer than it is.
        let contact_ms =
            requested_at.zip(status.control_age_ms).and_then(|(requested_at, age_ms)| {
                requested_at.plus_ms(status.held_ms).as_ms().checked_sub(age_ms)
            });
        if let Some(contact_ms) = contact_ms {
            let contact_at = Instant::from_ms(contact_ms);
            self.last_control_contact_at = self.last_control_contact_at.max(Some(contact_at));
            self.readiness.record_control_contact(contact_at);
        }
        if is_parent {
            self.handle_parent_status(cx, membership, from, &status);
        } else {
            self.handle_candidate_status(cx, membership, from, &status);
        }
    }

    pub(super) fn handle_update(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        update: &Update,
    ) {
        if update.version <= self.current.version() {
            // A duplicate, or overtaken by a newer version. Reports the held version back.
            self.send_holds(cx, from);
            return;
        }
        match codec::apply(&self.current, update) {
            Ok(applied) => {
                if self.current.version() == Version(0) {
                    let (version, bytes) = (update.version, update.body.len());
                    let text =
                        format!("Holds its first version, {version}: {bytes} bytes from {from}.");
                    cx.log(LogLevel::Info, LogPart::Distribution, text);
                } else {
                    let sender = host_label(membership, from);
                    let text = format!("Version {} came from {sender}.", update.version);
                    cx.log(LogLevel::Info, LogPart::Distribution, text);
                }
                self.history.record_change(&self.current, &applied.next, applied.deletes);
                self.current = Arc::new(applied.next);
                self.is_newly_applied = true;
                self.forward_and_acknowledge(cx, membership);
                if self.upstream.parent != Some(from) {
                    self.send_holds(cx, from);
                }
            }
            Err(error) => {
                let text = format!("Version {} from {from} is dropped: {error}.", update.version);
                cx.log(LogLevel::Warn, LogPart::Distribution, text);
                let needs_snapshot = error != ApplyError::BaseMissing;
                self.fetch_from(cx, from, needs_snapshot);
            }
        }
    }

    /// Forwards a version that came into force here, and acknowledges it.
    pub(super) fn forward_and_acknowledge(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
    ) {
        self.stop_fetching(cx.now);
        self.send_updates(cx);
        self.holders_changed(cx, membership);
        self.schedule_behind_notice(cx.now);
        for neighbour in membership.neighbours() {
            self.send_holds(cx, *neighbour);
        }
        self.schedule_progress(cx.now);
    }

    pub(super) fn send_holds(&self, cx: &mut Context<'_>, to: NodeId) {
        let held = HeldVersion {
            version: self.current.version(),
            hash: self.current.hash(),
            acknowledged_version: self.acknowledged.get(&to).copied(),
            is_ready: self.is_ready(),
        };
        cx.send(to, DistributionMessage::HeldVersion(held));
    }

    /// Records the version that a member of the own availability zone acknowledged. The member
    /// receives it back if it restarts.
    pub(super) fn record_acknowledgement(
        &mut self,
        cx: &Context<'_>,
        membership: &Membership,
        peer: NodeId,
        version: Version,
    ) {
        let own = &cx.me.locality.availability_zone;
        let is_neighbour =
            membership.member(peer).is_some_and(|member| member.locality.availability_zone == *own);
        if is_neighbour {
            let version_of_peer = self.acknowledged.entry(peer).or_default();
            *version_of_peer = version.max(*version_of_peer);
        }
    }
}
