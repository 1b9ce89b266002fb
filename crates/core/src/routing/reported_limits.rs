//! Rate limits of the targets of other hosts, as their owners reported them.
//!
//! An owner that has restarted does not know the limit of its target before the first response,
//! and would use all of its slots until then. So each ingress tells it the limit with every call
//! that it forwards.

use super::call::TargetLoad;
use super::rate_limit::RateLimit;
use super::{Routing, TargetKey};
use crate::collections::HashMap;
use crate::context::Context;
use crate::ids::TargetId;
use crate::time::Instant;

/// Time for which a reported limit is told to the owner, in milliseconds: longer than a restart
/// of the owner takes.
const LIFETIME_MS: u64 = 30_000;

#[derive(Debug)]
struct ReportedLimit {
    limit: RateLimit,
    expires_at: Instant,
}

/// The limit that was reported last for each target. Unlike the state of the target, it remains
/// while the owner restarts.
#[derive(Debug, Default)]
pub(super) struct ReportedLimits {
    by_target: HashMap<TargetId, ReportedLimit>,
}

impl ReportedLimits {
    /// The limit of a target, until it expires.
    pub fn get(&self, target: &TargetId, now: Instant) -> Option<RateLimit> {
        let reported = self.by_target.get(target).filter(|reported| now < reported.expires_at)?;
        Some(reported.limit)
    }

    /// Records that the owner reported a limit, or that it reported none.
    fn record(&mut self, target: &TargetId, limit: Option<RateLimit>, now: Instant) {
        let Some(limit) = limit else {
            self.by_target.remove(target);
            return;
        };
        let reported = ReportedLimit { limit, expires_at: now.plus_ms(LIFETIME_MS) };
        if let Some(known) = self.by_target.get_mut(target) {
            *known = reported;
            return;
        }
        self.by_target.retain(|_, known| now < known.expires_at);
        self.by_target.insert(target.clone(), reported);
    }
}

impl Routing {
    /// Records the load that the owner of a target reported with a response.
    pub(super) fn record_owner_load(&mut self, cx: &Context<'_>, key: TargetKey, load: TargetLoad) {
        let target = &mut self.targets[key];
        target.record_owner_load(load, cx.now);
        let limit = load.rate.map(|rate| rate.limit);
        self.reported_limits.record(&target.record.target, limit, cx.now);
    }
}
