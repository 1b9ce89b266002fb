//! Who takes updates from this process, and what they hold.

use std::collections::BTreeMap;

use rand::Rng;

use super::Distribution;
use super::message::{DistributionMessage, Holders, Report, Status};
use crate::context::Context;
use crate::ids::{NodeId, Version};
use crate::membership::Membership;
use crate::time::Instant;

/// Most children of one process. More are told that it is busy.
const MAX_CHILDREN: usize = 128;

/// Time without a report after which a child is dropped, in milliseconds.
const CHILD_LAPSES_AFTER_MS: u64 = 3 * super::REFRESH_EVERY_MS;

/// Most large transfers served at once.
pub const MAX_TRANSFERS: usize = 8;

/// Length above which a transfer counts as large, in bytes.
const LARGE_BYTES: usize = 16 * 1024;

/// Time after which a transfer that was not acknowledged counts as lost, in milliseconds.
const TRANSFER_TIMEOUT_MS: u64 = 2_000;

/// Longest time for which the answer to a child waits for newer word of a control
/// replica, in milliseconds. A parent that does not answer for longer is replaced.
const MAX_HELD_MS: u64 = 400;

/// Bounds of the wait that a process is told which cannot be served, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<u32> = 50..250;

/// One process that takes updates from this one.
struct Child {
    /// The newest version that it is known to hold.
    version: Version,
    is_relay: bool,
    /// The version of its last report, and who held that then.
    reported: Version,
    holders: Holders,
    heard_at: Instant,
    /// The version that was sent, and when that counts as lost.
    sent: Option<(Version, Instant)>,
}

/// Every child, and the large transfers to children and others.
pub(super) struct Children {
    children: BTreeMap<NodeId, Child>,
    transfers: BTreeMap<NodeId, Instant>,
    /// Children whose question waits for newer word of a control replica, with
    /// when it arrived.
    questions: BTreeMap<NodeId, Instant>,
    pub serve_at: Instant,
}

impl Children {
    pub fn new() -> Self {
        Self {
            children: BTreeMap::new(),
            transfers: BTreeMap::new(),
            questions: BTreeMap::new(),
            serve_at: Instant::NEVER,
        }
    }

    pub fn len(&self) -> usize {
        self.children.len()
    }

    /// Adds what the children below hold of `version` or a later one.
    pub fn add_to(&self, holders: &mut Holders, version: Version) {
        let counted = self.children.values().filter(|c| !c.is_relay && c.reported >= version);
        counted.for_each(|child| holders.add(&child.holders));
    }

    /// Whether every child that is counted reported `version`.
    pub fn all_reported(&self, version: Version) -> bool {
        self.children.values().all(|child| child.is_relay || child.reported >= version)
    }

    /// Whether a child waits for newer word of a control replica.
    pub fn has_questions(&self) -> bool {
        !self.questions.is_empty()
    }

    /// When the first question must be answered with what is known by then, or
    /// now where the word that it waits for has come.
    pub fn answer_at(&self, control_heard_at: Option<Instant>) -> Instant {
        let due = self.questions.values().map(|asked_at| due_at(*asked_at, control_heard_at));
        due.min().unwrap_or(Instant::NEVER)
    }

    /// Takes the questions that are due to be answered, with when each arrived.
    fn take_due(&mut self, now: Instant, heard_at: Option<Instant>) -> Vec<(NodeId, Instant)> {
        let is_due = |asked_at: Instant| now >= due_at(asked_at, heard_at);
        let due = self.questions.iter().filter(|(_, asked_at)| is_due(**asked_at));
        let due: Vec<_> = due.map(|(id, asked_at)| (*id, *asked_at)).collect();
        self.questions.retain(|_, asked_at| !is_due(*asked_at));
        due
    }

    /// Removes a child. Returns whether there was one.
    pub fn remove(&mut self, id: NodeId) -> bool {
        self.transfers.remove(&id);
        self.questions.remove(&id);
        self.children.remove(&id).is_some()
    }

    /// Removes children that have not reported for too long. Returns whether there was one.
    pub fn lapse(&mut self, now: Instant) -> bool {
        let before = self.children.len();
        self.children.retain(|_, child| now.since_ms(child.heard_at) < CHILD_LAPSES_AFTER_MS);
        self.children.len() != before
    }

    /// Takes a slot for a large transfer. False where all are taken.
    fn admit(&mut self, now: Instant, to: NodeId) -> bool {
        self.transfers.retain(|_, deadline| *deadline > now);
        if self.transfers.len() >= MAX_TRANSFERS && !self.transfers.contains_key(&to) {
            return false;
        }
        self.transfers.insert(to, now.plus_ms(TRANSFER_TIMEOUT_MS));
        true
    }

    /// A process holds a version: what was sent to it has arrived.
    pub fn holds(&mut self, now: Instant, id: NodeId, version: Version) {
        if let Some(child) = self.children.get_mut(&id) {
            child.version = child.version.max(version);
            if child.sent.is_some_and(|(sent, _)| sent <= version) {
                child.sent = None;
            }
        }
        if self.transfers.remove(&id).is_some() && self.serve_at != Instant::NEVER {
            self.serve_at = now;
        }
    }
}

/// When a question is answered: at once where newer word of a control replica is known.
fn due_at(asked_at: Instant, control_heard_at: Option<Instant>) -> Instant {
    match control_heard_at {
        Some(heard_at) if heard_at >= asked_at => asked_at,
        _ => asked_at.plus_ms(MAX_HELD_MS),
    }
}

impl Distribution {
    /// A child reported.
    pub(super) fn take_report(
        &mut self,
        cx: &mut Context<'_>,
        membership: &Membership,
        from: NodeId,
        report: Report,
    ) {
        self.remember(cx, membership, from, report.version);
        let known = self.children.children.contains_key(&from);
        if !known && self.children.len() >= MAX_CHILDREN {
            self.send_busy(cx, from);
            return;
        }
        let sent = self.children.children.get(&from).and_then(|child| child.sent);
        let child = Child {
            version: report.version,
            is_relay: report.is_relay,
            reported: report.version,
            holders: report.holders,
            heard_at: cx.now,
            sent,
        };
        self.children.children.insert(from, child);
        self.children.holds(cx.now, from, report.version);
        if report.asks && report.waits {
            self.children.questions.insert(from, cx.now);
            self.seek_word(cx, membership);
        } else if report.asks {
            self.children.questions.remove(&from);
            self.send_status(cx, from, cx.now);
        }
        self.note_newer(cx, membership, from, report.version);
        self.serve(cx);
        self.holders_changed(cx, membership);
    }

    /// Answers the children that waited for newer word of a control replica.
    pub(super) fn answer_children(&mut self, cx: &mut Context<'_>) {
        for (child, asked_at) in self.children.take_due(cx.now, self.control_heard_at) {
            self.send_status(cx, child, asked_at);
        }
    }

    fn send_status(&self, cx: &mut Context<'_>, to: NodeId, asked_at: Instant) {
        let version = self.current.version();
        let newest = self.newest.max(version);
        let control_age_ms = self.control_age_ms(cx);
        let held_ms = cx.now.since_ms(asked_at);
        let status = Status { version, newest, control_age_ms, held_ms };
        cx.send(to, DistributionMessage::Status(status));
    }

    /// Sends the present version to every child that lacks it.
    pub(super) fn serve(&mut self, cx: &mut Context<'_>) {
        let version = self.current.version();
        self.children.serve_at = Instant::NEVER;
        // Relays go first: whole availability zones wait for them.
        let mut lacking: Vec<(bool, NodeId)> = self
            .children
            .children
            .iter()
            .filter(|(_, child)| child.version < version)
            .map(|(id, child)| (!child.is_relay, *id))
            .collect();
        lacking.sort();
        for (_, id) in lacking {
            self.serve_child(cx, id);
        }
    }

    fn serve_child(&mut self, cx: &mut Context<'_>, id: NodeId) {
        let version = self.current.version();
        let Some(child) = self.children.children.get(&id) else { return };
        if let Some((sent, lost_at)) = child.sent
            && sent == version
            && lost_at > cx.now
        {
            self.children.serve_at = self.children.serve_at.min(lost_at);
            return;
        }
        let update = self.history.update(&self.current, Some(child.version));
        let lost_at = cx.now.plus_ms(TRANSFER_TIMEOUT_MS);
        self.children.serve_at = self.children.serve_at.min(lost_at);
        if update.body.len() > LARGE_BYTES && !self.children.admit(cx.now, id) {
            return;
        }
        if let Some(child) = self.children.children.get_mut(&id) {
            child.sent = Some((version, lost_at));
        }
        cx.send(id, DistributionMessage::Update((*update).clone()));
    }

    /// A process asks for a newer version than it holds.
    pub(super) fn take_fetch(
        &mut self,
        cx: &mut Context<'_>,
        from: NodeId,
        held: Version,
        whole: bool,
    ) {
        if self.current.version() <= held {
            self.send_holds(cx, from);
            return;
        }
        let update = self.history.update(&self.current, (!whole).then_some(held));
        if update.body.len() > LARGE_BYTES && !self.children.admit(cx.now, from) {
            self.send_busy(cx, from);
            return;
        }
        cx.send(from, DistributionMessage::Update((*update).clone()));
    }

    fn send_busy(&mut self, cx: &mut Context<'_>, to: NodeId) {
        let retry_after_ms = cx.rng.random_range(RETRY_AFTER_MS);
        cx.send(to, DistributionMessage::Busy { retry_after_ms });
    }
}
