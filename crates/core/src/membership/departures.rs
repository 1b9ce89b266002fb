//! Runs of this process's targets that have departed.
//!
//! An announcement may arrive after its target has left. It must not bring the target back, while a
//! new run of the target must come in at once. A departure is therefore kept for the run that it ends:
//! here, and in the target's record, from which a restarted process learns of it.

use std::collections::BTreeMap;

use super::AnnouncementOrder;
use crate::ids::{Name, TargetId};
use crate::time::Instant;

/// Most departures that are kept. The oldest is evicted first.
const MAX_DEPARTURES: usize = 256;

/// Time for which the departure of an unknown target is kept, in milliseconds. Exceeds the longest
/// time that an announcement is in transit.
const UNKNOWN_FOR_MS: u64 = 30_000;

/// Departure of one run of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Departure {
    /// When the run started, as Unix time in milliseconds.
    pub started_unix_ms: u64,
    /// Whether it has left. Otherwise it stated that it is leaving, and still finishes its work.
    pub has_left: bool,
}

/// Departures of targets that number their runs.
#[derive(Default)]
pub(super) struct Departures {
    by_target: BTreeMap<TargetId, (Departure, Instant)>,
    /// Departures of targets of which no announcement is known, as after a restart of this
    /// process: when each was heard, and as Unix time in milliseconds.
    unknown: BTreeMap<Name, (Instant, u64)>,
}

impl Departures {
    /// Records a departure, unless one of a later run is known.
    pub fn record(&mut self, now: Instant, target: &TargetId, departure: Departure) {
        if let Some((known, _)) = self.by_target.get(target) {
            let is_known = (known.started_unix_ms, known.has_left)
                >= (departure.started_unix_ms, departure.has_left);
            if is_known {
                return;
            }
        } else if self.by_target.len() >= MAX_DEPARTURES {
            let oldest = self.by_target.iter().min_by_key(|(_, (_, recorded_at))| *recorded_at);
            if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
                self.by_target.remove(&oldest);
            }
        }
        self.by_target.insert(target.clone(), (departure, now));
    }

    /// Records the departure of a target of which no announcement is known.
    pub fn record_unknown(&mut self, now: Instant, id: &Name, unix_ms: u64) {
        self.unknown.retain(|_, (heard_at, _)| now.since_ms(*heard_at) < UNKNOWN_FOR_MS);
        if self.unknown.len() < MAX_DEPARTURES {
            self.unknown.insert(id.clone(), (now, unix_ms));
        }
    }

    /// The departure of the run that an announcement with this order belongs to. One without an
    /// order counts as of the run that departed last.
    pub fn of_run(
        &mut self,
        now: Instant,
        target: &TargetId,
        order: Option<AnnouncementOrder>,
    ) -> Option<Departure> {
        if let Some((heard_at, unix_ms)) = self.unknown.get(&target.id).copied() {
            let started_unix_ms = order.map_or(unix_ms, |order| order.started_unix_ms);
            let is_over = now.since_ms(heard_at) >= UNKNOWN_FOR_MS;
            if is_over || started_unix_ms > unix_ms {
                self.unknown.remove(&target.id);
            } else {
                let departure = Departure { started_unix_ms, has_left: true };
                if order.is_some() {
                    self.record(now, target, departure);
                }
                return Some(departure);
            }
        }
        let (departure, _) = self.by_target.get(target)?;
        let is_same_run =
            order.is_none_or(|order| order.started_unix_ms <= departure.started_unix_ms);
        is_same_run.then_some(*departure)
    }
}
