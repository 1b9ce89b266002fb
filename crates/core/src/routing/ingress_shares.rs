//! Shares of organisations in the calls to one service at their ingress, while the service refuses
//! calls for lack of capacity.
//!
//! What was answered within one second is divided among the organisations whose calls arrived in
//! it, by priority and then max-min fair. In the next second, calls of an organisation above its
//! share would be refused by an owner; the ingress refuses them without an attempt. The owners
//! order the calls that are left (see `fair_queue`).

use std::collections::BTreeMap;

use super::fair_queue::OrganisationKey;
use crate::collections::HashMap;
use crate::time::Instant;

/// Time over which calls are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Calls above a share that are admitted, in percent. Without them the limit would not rise again
/// when more capacity becomes available.
const HEADROOM_PERCENT: u64 = 25;
/// Lowest limit in calls per window. Shares of fewer calls at one ingress vary by chance, and a
/// limit would refuse calls that an owner has capacity for.
const MIN_LIMIT: u64 = 8;
/// Time for which the calls of a share may arrive early, in milliseconds.
const BURST_MS: u64 = 250;
/// Maximum time after which a refused caller is asked to return, in milliseconds.
const MAX_RETURN_MS: u64 = 4_000;

/// Calls of one organisation within the current window.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Calls that arrived, without repetitions.
    demand: u64,
    admitted: u64,
    /// Calls that were refused here since one was admitted.
    refused: u64,
    answered: u64,
}

/// Calls of organisations to one service at this ingress.
#[derive(Debug, Default)]
pub(super) struct IngressShares {
    began_at: Instant,
    counts: HashMap<(u8, OrganisationKey), Counts>,
    /// Largest share of an organisation in calls per window, by priority; absent if there is
    /// capacity for all calls of the priority.
    levels: BTreeMap<u8, u64>,
}

impl IngressShares {
    /// Counts an arriving call, and admits it if its organisation has not used up its share or
    /// `is_limited` is false. Otherwise returns after how many milliseconds a call is admitted.
    pub fn admit(
        &mut self,
        priority: u8,
        organisation: OrganisationKey,
        is_repetition: bool,
        is_limited: bool,
        now: Instant,
    ) -> Result<(), u32> {
        self.begin_window(now);
        let elapsed_ms = now.since_ms(self.began_at);
        let level = self.levels.get(&priority).filter(|_| is_limited);
        let counts = self.counts.entry((priority, organisation)).or_default();
        counts.demand += u64::from(!is_repetition);
        if let Some(level) = level {
            let limit = (level * (100 + HEADROOM_PERCENT) / 100).max(MIN_LIMIT);
            let due_ms = (counts.admitted + counts.refused) * WINDOW_MS / limit;
            let first_due_ms = counts.admitted * WINDOW_MS / limit;
            if first_due_ms > elapsed_ms + BURST_MS {
                counts.refused += 1;
                let wait_ms = due_ms.saturating_sub(elapsed_ms).min(MAX_RETURN_MS);
                return Err(wait_ms as u32);
            }
        }
        counts.admitted += 1;
        counts.refused = counts.refused.saturating_sub(1);
        Ok(())
    }

    /// Counts a call that a target answered, also with an error: errors of targets are no lack of
    /// capacity.
    pub fn record_answer(&mut self, priority: u8, organisation: OrganisationKey, now: Instant) {
        self.begin_window(now);
        self.counts.entry((priority, organisation)).or_default().answered += 1;
    }

    fn begin_window(&mut self, now: Instant) {
        let elapsed_ms = now.since_ms(self.began_at);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        // Counts of a longer time say nothing about the last second.
        self.levels = if elapsed_ms < 2 * WINDOW_MS { self.levels() } else { BTreeMap::new() };
        self.counts.clear();
        self.began_at = now;
    }

    fn levels(&self) -> BTreeMap<u8, u64> {
        let mut demands: BTreeMap<u8, Vec<u64>> = BTreeMap::new();
        for ((priority, _), counts) in &self.counts {
            demands.entry(*priority).or_default().push(counts.demand);
        }
        let mut capacity: u64 = self.counts.values().map(|counts| counts.answered).sum();
        let mut levels = BTreeMap::new();
        for (priority, demands) in demands {
            let demand: u64 = demands.iter().sum();
            if demand > capacity {
                levels.insert(priority, water_level(demands, capacity));
            }
            capacity = capacity.saturating_sub(demand);
        }
        levels
    }
}

/// The largest share if `capacity` is divided max-min fair among `demands` that exceed it.
fn water_level(mut demands: Vec<u64>, mut capacity: u64) -> u64 {
    demands.sort_unstable();
    let count = demands.len();
    for (i, demand) in demands.into_iter().enumerate() {
        let share = capacity / (count - i) as u64;
        if demand > share {
            return share;
        }
        capacity -= demand;
    }
    capacity
}
