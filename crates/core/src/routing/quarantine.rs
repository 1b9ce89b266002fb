//! Quarantine of calls that end the targets which run them.
//!
//! The owner of a target notices that the target ended, and which calls were in flight there. One
//! of them may be the cause. It comes again under another id and at any proxy, so calls are
//! recognised by their content, which includes the service of the caller. Every proxy collects, for
//! each content, the ends of targets at which a call with it was in flight. A complete response to
//! such a call, other than a server error, after them or shortly before, acquits it of them. At
//! [`QUARANTINE_AFTER_ENDS`] ends the proxies refuse calls with that content.
//!
//! Both sets of ends only grow until the content is forgotten, and two records are merged by union,
//! so they may arrive in any order and any number of times.

use std::collections::BTreeMap;

use super::answered_contents::AnsweredContents;
use super::{Routing, TargetKey};
use crate::collections::HashMap;
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{CallId, NodeId};
use crate::routing::message::{Fingerprint, RoutingMessage, SuspectRecord, TargetEnd};
use crate::time::Instant;

/// Number of targets that ended while they ran calls with the same content, from which on such
/// calls are refused.
pub const QUARANTINE_AFTER_ENDS: usize = 3;

/// Time after the last such end for which a content is remembered, in milliseconds.
pub(super) const REMEMBERED_FOR_MS: u64 = 600_000;

/// Time within which failures at one target belong to the same end, in milliseconds. A target
/// takes longer to start again.
const SAME_END_MS: u64 = 200;

/// Time for which changed records are gathered before they are sent, in milliseconds.
const FLUSH_DELAY_MS: u64 = 20;

/// Most contents that are remembered.
const MAX_SUSPECTS: usize = 1_024;

/// Most ends that are remembered of one content.
const MAX_ENDS: usize = 16;

/// What is known of calls with one content.
#[derive(Debug, Default)]
struct Suspect {
    /// Ends at which such a call was in flight, and whether it was acquitted of each.
    ends: BTreeMap<TargetEnd, bool>,
    forget_at: Instant,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        let counted = self.ends.values().filter(|is_acquitted| !**is_acquitted);
        counted.count() >= QUARANTINE_AFTER_ENDS
    }

    /// Adds an end, or that the content was acquitted of it. Returns whether that was new.
    fn merge(&mut self, end: TargetEnd, is_acquitted: bool) -> bool {
        if let Some(known) = self.ends.get_mut(&end) {
            let is_new = is_acquitted && !*known;
            *known |= is_acquitted;
            return is_new;
        }
        let has_room = self.ends.len() < MAX_ENDS;
        if has_room {
            self.ends.insert(end, is_acquitted);
        }
        has_room
    }

    fn record(&self, fingerprint: Fingerprint, now: Instant) -> SuspectRecord {
        let remaining_ms = self.forget_at.since_ms(now);
        let of = |acquitted| self.ends.iter().filter(move |(_, is)| **is == acquitted);
        SuspectRecord {
            fingerprint,
            ends: of(false).map(|(end, _)| *end).collect(),
            acquitted: of(true).map(|(end, _)| *end).collect(),
            age_ms: REMEMBERED_FOR_MS.saturating_sub(remaining_ms) as u32,
        }
    }
}

/// The contents of calls that were in flight when targets ended.
#[derive(Debug)]
pub(super) struct Quarantine {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Contents that are answered, so that they don't become suspects.
    answered: AnsweredContents,
    /// Contents whose records changed, each with the proxy that sent the change.
    outbox: BTreeMap<Fingerprint, Option<NodeId>>,
    /// When the changed records are sent.
    pub flush_at: Instant,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            suspects: HashMap::default(),
            answered: AnsweredContents::default(),
            outbox: BTreeMap::new(),
            flush_at: Instant::NEVER,
        }
    }
}

impl Quarantine {
    /// Whether calls with this content are refused.
    pub fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.forget_at > now && suspect.is_quarantined())
    }

    /// Merges a record, of another proxy if `from` is present. Its change is sent to the others.
    fn merge(&mut self, cx: &mut Context<'_>, from: Option<NodeId>, record: &SuspectRecord) {
        let remaining_ms = REMEMBERED_FOR_MS.saturating_sub(u64::from(record.age_ms));
        if remaining_ms == 0 || !self.make_room(cx.now, record.fingerprint) {
            return;
        }
        let is_answered = self.answered.contains(record.fingerprint, cx.now);
        let suspect = self.suspects.entry(record.fingerprint).or_default();
        let was_quarantined = suspect.is_quarantined();
        let mut is_changed = false;
        for end in &record.ends {
            is_changed |= suspect.merge(*end, is_answered);
        }
        for end in &record.acquitted {
            is_changed |= suspect.merge(*end, true);
        }
        if !is_changed {
            return;
        }
        suspect.forget_at = suspect.forget_at.max(cx.now.plus_ms(remaining_ms));
        log_change(cx, record.fingerprint, was_quarantined, suspect.is_quarantined());
        self.outbox
            .entry(record.fingerprint)
            .and_modify(|source| *source = source.filter(|source| Some(*source) == from))
            .or_insert(from);
        self.flush_at = self.flush_at.min(cx.now.plus_ms(FLUSH_DELAY_MS));
    }

    /// Records that a call was answered completely, which acquits its content of all ends that are
    /// known here.
    fn record_answer(&mut self, cx: &mut Context<'_>, fingerprint: Fingerprint) {
        self.answered.record(fingerprint, cx.now);
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let record = suspect.record(fingerprint, cx.now);
        let ends = Vec::new();
        self.merge(cx, None, &SuspectRecord { acquitted: record.ends, ends, ..record });
    }

    /// Forgets contents whose time is over, and if none is, the one that is due first. Returns
    /// false if the new content cannot be remembered.
    fn make_room(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        if fingerprint == Fingerprint::default() {
            return false;
        }
        self.suspects.retain(|_, suspect| suspect.forget_at > now);
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return true;
        }
        let due_first = self.suspects.iter().min_by_key(|(id, suspect)| (suspect.forget_at, **id));
        if let Some((id, _)) = due_first.map(|(id, suspect)| (*id, suspect.forget_at)) {
            self.suspects.remove(&id);
        }
        true
    }

    fn records_except_from(&self, peer: NodeId, now: Instant) -> Vec<SuspectRecord> {
        let changed = self.outbox.iter().filter(|(_, from)| **from != Some(peer));
        changed.filter_map(|(id, _)| Some(self.suspects.get(id)?.record(*id, now))).collect()
    }
}

fn log_change(cx: &mut Context<'_>, id: Fingerprint, was_quarantined: bool, is_quarantined: bool) {
    let text = match (was_quarantined, is_quarantined) {
        (false, true) => format!(
            "Calls with content {id} are refused: {QUARANTINE_AFTER_ENDS} targets ended while they \
             ran one."
        ),
        (true, false) => format!("Calls with content {id} are served again: one was answered."),
        _ => return,
    };
    cx.log(LogLevel::Warn, LogPart::Calls, text);
}

impl Routing {
    /// Records that a target of this host ended while it ran a call.
    pub(super) fn record_target_end(&mut self, cx: &mut Context<'_>, id: CallId, key: TargetKey) {
        let Some(call) = self.calls.get(&id) else { return };
        let fingerprint = call.fingerprint;
        let target = &mut self.targets[key];
        let text =
            format!("Target {} ended while it ran content {fingerprint}.", target.record.target);
        cx.log(LogLevel::Info, LogPart::Calls, text);
        let (end, _) = target
            .last_end
            .filter(|(_, at)| cx.now.since_ms(*at) < SAME_END_MS)
            .unwrap_or_else(|| (TargetEnd::random(cx.rng), cx.now));
        target.last_end = Some((end, cx.now));
        let (ends, acquitted) = (vec![end], Vec::new());
        let record = SuspectRecord { fingerprint, ends, acquitted, age_ms: 0 };
        self.quarantine.merge(cx, None, &record);
    }

    /// Records that a call was answered completely, so that its content does not end targets.
    pub(super) fn record_answered_content(&mut self, cx: &mut Context<'_>, id: CallId) {
        if let Some(call) = self.calls.get(&id) {
            self.quarantine.record_answer(cx, call.fingerprint);
        }
    }

    /// Whether calls with the content of this one are refused.
    pub(super) fn is_quarantined(&self, cx: &Context<'_>, id: CallId) -> bool {
        let call = self.calls.get(&id);
        call.is_some_and(|call| self.quarantine.contains(call.fingerprint, cx.now))
    }

    /// Handles a message of another proxy.
    pub fn handle_message(&mut self, cx: &mut Context<'_>, from: NodeId, message: RoutingMessage) {
        let RoutingMessage::Suspects(records) = message;
        for record in &records {
            self.quarantine.merge(cx, Some(from), record);
        }
    }

    /// Sends the records to a process that was just connected. It may have restarted.
    pub fn peer_connected(&mut self, cx: &mut Context<'_>, peer: NodeId) {
        let suspects = self.quarantine.suspects.iter();
        let live = suspects.filter(|(_, suspect)| suspect.forget_at > cx.now);
        let mut records: Vec<_> = live.map(|(id, suspect)| suspect.record(*id, cx.now)).collect();
        records.sort_unstable_by_key(|record| record.fingerprint);
        if !records.is_empty() {
            cx.send(peer, RoutingMessage::Suspects(records));
        }
    }

    /// Sends changed records to these processes if that is due.
    pub fn send_suspects(&mut self, cx: &mut Context<'_>, peers: impl Iterator<Item = NodeId>) {
        if cx.now < self.quarantine.flush_at {
            return;
        }
        self.quarantine.flush_at = Instant::NEVER;
        for peer in peers {
            let records = self.quarantine.records_except_from(peer, cx.now);
            if !records.is_empty() {
                cx.send(peer, RoutingMessage::Suspects(records));
            }
        }
        self.quarantine.outbox.clear();
    }
}
