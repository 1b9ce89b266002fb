//! Watches: streams of events to clients, served by a control replica.
//!
//! All watches share one bounded event history. A client that reconnects resumes from
//! the last version that it has seen, unless the events after it were compacted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::request::{ApiResponse, WatchEvent};
use super::{ApiError, ErrorCode};
use crate::Effect;
use crate::config::Configuration;
use crate::context::Context;
use crate::distribution::Progress;
use crate::ids::{RequestId, Version};
use crate::resource::ResourceKey;
use crate::time::Instant;

/// Maximum number of events kept for watches that resume.
pub const MAX_HISTORY_EVENTS: usize = 1_024;
/// Maximum number of watches at one control replica.
pub const MAX_WATCHES: usize = 512;
/// Minimum time between two progress events, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 100;

/// The event history and the open watches.
#[derive(Default)]
pub(super) struct Watches {
    history: VecDeque<WatchEvent>,
    /// Oldest version from which a watch can resume. Older events were compacted.
    oldest_resumable: Version,
    latest: Arc<Configuration>,
    progress: Option<Progress>,
    /// Newest version that was in force on every proxy.
    in_force: Version,
    /// Open watches, with the version that the client had seen when the watch started.
    watchers: BTreeMap<RequestId, Version>,
    progress_sent_at: Instant,
    progress_due_at: Option<Instant>,
}

impl Watches {
    /// Starts a watch: sends the current state, then every event after `from`.
    pub(super) fn open(&mut self, cx: &mut Context<'_>, request: RequestId, from: Option<Version>) {
        if let Err(error) = self.check_start(from) {
            cx.emit(Effect::Answer { request, response: ApiResponse::Error(error) });
            return;
        }
        let newest = self.latest.version();
        let from = from.unwrap_or(newest);
        send_event(cx, request, WatchEvent::Started { version: newest, in_force: self.in_force });
        for event in &self.history {
            if event.is_after(from) {
                send_event(cx, request, event.clone());
            }
        }
        if let Some(progress) = self.incomplete_progress() {
            send_event(cx, request, WatchEvent::Progress(progress.clone()));
        }
        self.watchers.insert(request, from);
    }

    /// Ends a watch.
    pub(super) fn close(&mut self, request: RequestId) {
        self.watchers.remove(&request);
    }

    /// Handles a version that was committed at this replica.
    pub(super) fn committed(&mut self, cx: &mut Context<'_>, committed: &Arc<Configuration>) {
        let version = committed.version();
        // A replica that restarted with a blank disk receives old versions again.
        if version <= self.latest.version() {
            return;
        }
        let previous = std::mem::replace(&mut self.latest, Arc::clone(committed));
        if previous.version().next() != version {
            // The replica installed a snapshot: the events in between are unknown.
            self.history.clear();
            self.oldest_resumable = version;
        } else {
            let changed = changed_keys(&previous, committed);
            self.append_history(WatchEvent::Accepted { version, changed: changed.clone() });
            self.broadcast(cx, &WatchEvent::Accepted { version, changed });
        }
        self.progress = None;
        self.progress_due_at = None;
    }

    /// Handles new distribution progress of the newest version.
    pub(super) fn progress(&mut self, cx: &mut Context<'_>, progress: Progress) {
        let version = progress.version;
        let is_complete = progress.is_in_force() && !progress.zones.is_empty();
        let proxies = progress.zones.iter().map(|zone| zone.proxies).sum();
        self.progress = Some(progress);
        if is_complete && version > self.in_force {
            self.in_force = version;
            self.progress_due_at = None;
            self.append_history(WatchEvent::InForce { version, proxies });
            self.broadcast(cx, &WatchEvent::InForce { version, proxies });
            return;
        }
        let due_at = self.progress_sent_at.plus_ms(PROGRESS_INTERVAL_MS);
        self.progress_due_at.get_or_insert(due_at.max(cx.now));
        self.tick(cx);
    }

    /// Time at which [`Watches::tick`] must be called.
    pub(super) fn next_deadline(&self) -> Instant {
        self.progress_due_at.unwrap_or(Instant::NEVER)
    }

    /// Sends the progress event that the rate limit delayed.
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.next_deadline() {
            return;
        }
        self.progress_due_at = None;
        self.progress_sent_at = cx.now;
        if let Some(progress) = self.incomplete_progress() {
            let event = WatchEvent::Progress(progress.clone());
            self.broadcast(cx, &event);
        }
    }

    /// The newest progress, if the version is not in force on every proxy yet.
    fn incomplete_progress(&self) -> Option<&Progress> {
        self.progress.as_ref().filter(|progress| !progress.is_in_force())
    }

    fn check_start(&self, from: Option<Version>) -> Result<(), ApiError> {
        if self.watchers.len() >= MAX_WATCHES {
            let message = format!(
                "this control replica already serves {MAX_WATCHES} watches; use another replica"
            );
            return Err(ApiError::new(ErrorCode::Unavailable, message));
        }
        match from {
            Some(from) if from < self.oldest_resumable => Err(ApiError::new(
                ErrorCode::Compacted,
                format!(
                    "the events after version {from} were compacted; list the resources and watch \
                     from the version of the list ({} or later)",
                    self.oldest_resumable
                ),
            )),
            _ => Ok(()),
        }
    }

    fn append_history(&mut self, event: WatchEvent) {
        if self.history.len() >= MAX_HISTORY_EVENTS
            && let Some(WatchEvent::Accepted { version, .. }) = self.history.pop_front()
        {
            self.oldest_resumable = version;
        }
        self.history.push_back(event);
    }

    fn broadcast(&self, cx: &mut Context<'_>, event: &WatchEvent) {
        for (request, from) in &self.watchers {
            if event.is_after(*from) {
                send_event(cx, *request, event.clone());
            }
        }
    }
}

impl WatchEvent {
    /// Whether a watch whose client has seen version `from` must still send the event.
    fn is_after(&self, from: Version) -> bool {
        match self {
            Self::Accepted { version, .. } => *version > from,
            // The version may have come into force after the client saw that it was accepted.
            Self::InForce { version, .. } => *version >= from,
            Self::Started { .. } | Self::Progress(_) => true,
        }
    }
}

fn send_event(cx: &mut Context<'_>, request: RequestId, event: WatchEvent) {
    cx.emit(Effect::Answer { request, response: ApiResponse::Watch(event) });
}

/// Returns the keys of the resources that differ between two successive versions,
/// ordered by kind and name.
fn changed_keys(before: &Configuration, after: &Configuration) -> Vec<ResourceKey> {
    let put = after.resources().iter().filter(|(_, stored)| stored.version == after.version());
    let deleted = before.resources().keys().filter(|key| after.get(key).is_none());
    let keys: BTreeSet<&ResourceKey> = put.map(|(key, _)| key).chain(deleted).collect();
    keys.into_iter().cloned().collect()
}
