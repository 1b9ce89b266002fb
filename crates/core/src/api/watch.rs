//! Watches: one bounded history of events, shared by every watcher.

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

/// Most events that are kept for watches that resume.
pub const MAX_HISTORY_EVENTS: usize = 1_024;
/// Most watches at one control replica.
pub const MAX_WATCHES: usize = 512;
/// Least time between two progress events, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 100;

/// The history and its watchers.
#[derive(Default)]
pub(super) struct Watches {
    history: VecDeque<WatchEvent>,
    /// A watch may resume from this version or a later one.
    floor: Version,
    latest: Arc<Configuration>,
    progress: Option<Progress>,
    /// Newest version that was in force everywhere.
    in_force: Version,
    /// The watchers, with the version that each had seen when it began.
    watchers: BTreeMap<RequestId, Version>,
    progress_told_at: Instant,
    progress_due_at: Option<Instant>,
}

impl Watches {
    /// Begins a watch: where it stands, then every event after `from`.
    pub(super) fn open(&mut self, cx: &mut Context<'_>, request: RequestId, from: Option<Version>) {
        if let Err(error) = self.check(from) {
            cx.emit(Effect::Answer { request, response: ApiResponse::Error(error) });
            return;
        }
        let newest = self.latest.version();
        let from = from.unwrap_or(newest);
        tell(cx, request, WatchEvent::Started { version: newest, in_force: self.in_force });
        for event in &self.history {
            if event.is_after(from) {
                tell(cx, request, event.clone());
            }
        }
        if let Some(progress) = self.open_progress() {
            tell(cx, request, WatchEvent::Progress(progress.clone()));
        }
        self.watchers.insert(request, from);
    }

    /// Ends a watch.
    pub(super) fn close(&mut self, request: RequestId) {
        self.watchers.remove(&request);
    }

    /// A version is committed here.
    pub(super) fn committed(&mut self, cx: &mut Context<'_>, committed: &Arc<Configuration>) {
        let version = committed.version();
        // A replica that began anew with a blank disk hears of versions again.
        if version <= self.latest.version() {
            return;
        }
        let before = std::mem::replace(&mut self.latest, Arc::clone(committed));
        if before.version().next() != version {
            // A snapshot: what happened in between is not known.
            self.history.clear();
            self.floor = version;
        } else {
            let changed = changed(&before, committed);
            self.record(WatchEvent::Accepted { version, changed: changed.clone() });
            self.tell_all(cx, &WatchEvent::Accepted { version, changed });
        }
        self.progress = None;
        self.progress_due_at = None;
    }

    /// The newest version came further.
    pub(super) fn progress(&mut self, cx: &mut Context<'_>, progress: Progress) {
        let version = progress.version;
        let complete = progress.is_in_force() && !progress.zones.is_empty();
        let proxies = progress.zones.iter().map(|zone| zone.proxies).sum();
        self.progress = Some(progress);
        if complete && version > self.in_force {
            self.in_force = version;
            self.progress_due_at = None;
            self.record(WatchEvent::InForce { version, proxies });
            self.tell_all(cx, &WatchEvent::InForce { version, proxies });
            return;
        }
        let due_at = self.progress_told_at.plus_ms(PROGRESS_INTERVAL_MS);
        self.progress_due_at.get_or_insert(due_at.max(cx.now));
        self.tick(cx);
    }

    /// When [`Watches::tick`] is due.
    pub(super) fn next_deadline(&self) -> Instant {
        self.progress_due_at.unwrap_or(Instant::NEVER)
    }

    /// Tells progress that was held back.
    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.next_deadline() {
            return;
        }
        self.progress_due_at = None;
        self.progress_told_at = cx.now;
        if let Some(progress) = self.open_progress() {
            let event = WatchEvent::Progress(progress.clone());
            self.tell_all(cx, &event);
        }
    }

    /// The newest progress, where not every proxy holds the version.
    fn open_progress(&self) -> Option<&Progress> {
        self.progress.as_ref().filter(|progress| !progress.is_in_force())
    }

    fn check(&self, from: Option<Version>) -> Result<(), ApiError> {
        if self.watchers.len() >= MAX_WATCHES {
            let message = format!("{MAX_WATCHES} watches run here already; ask another replica");
            return Err(ApiError::new(ErrorCode::Unavailable, message));
        }
        match from {
            Some(from) if from < self.floor => Err(ApiError::new(
                ErrorCode::Compacted,
                format!(
                    "events after version {from} are no longer kept; list the resources and watch \
                     from the version of the list ({} or later)",
                    self.floor
                ),
            )),
            _ => Ok(()),
        }
    }

    fn record(&mut self, event: WatchEvent) {
        if self.history.len() >= MAX_HISTORY_EVENTS
            && let Some(WatchEvent::Accepted { version, .. }) = self.history.pop_front()
        {
            self.floor = version;
        }
        self.history.push_back(event);
    }

    fn tell_all(&self, cx: &mut Context<'_>, event: &WatchEvent) {
        for (request, from) in &self.watchers {
            if event.is_after(*from) {
                tell(cx, *request, event.clone());
            }
        }
    }
}

impl WatchEvent {
    /// Whether a watcher that has seen `from` must still hear of the event.
    fn is_after(&self, from: Version) -> bool {
        match self {
            Self::Accepted { version, .. } => *version > from,
            // The version may have come into force after the watcher saw it accepted.
            Self::InForce { version, .. } => *version >= from,
            Self::Started { .. } | Self::Progress(_) => true,
        }
    }
}

fn tell(cx: &mut Context<'_>, request: RequestId, event: WatchEvent) {
    cx.emit(Effect::Answer { request, response: ApiResponse::Watch(event) });
}

/// The resources that differ between two versions, by kind and name.
fn changed(before: &Configuration, after: &Configuration) -> Vec<ResourceKey> {
    let put = after.resources().iter().filter(|(_, stored)| stored.version == after.version());
    let deleted = before.resources().keys().filter(|key| after.get(key).is_none());
    let keys: BTreeSet<&ResourceKey> = put.map(|(key, _)| key).chain(deleted).collect();
    keys.into_iter().cloned().collect()
}
