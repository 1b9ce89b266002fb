//! The account of one organisation at a relay: a token bucket over the usage of all hosts, and the
//! admission fraction that follows from it.

use std::collections::BTreeMap;

use super::QuotaLimit;
use super::link::{Change, Usage};
use crate::ids::NodeId;
use crate::time::Instant;

/// Time over which tokens that are left are spent, in seconds. The fraction takes effect about
/// 0.25 s after the usage from which it is computed; a shorter time makes it oscillate.
const SPEND_S: f64 = 0.7;
/// Time over which a debt is repaid, in seconds. Well below the 5 s over which quotas are checked.
const REPAY_S: f64 = 1.5;
/// Calls by which the bucket is deeper than the burst, so that the random arrivals of a small
/// organisation below its quota are not refused. The agreed bound allows 20.
const EXTRA_CALLS: f64 = 4.0;
/// The same in seconds of the rate. The agreed bound allows 0.5 s.
const EXTRA_S: f64 = 0.06;
/// Largest debt, in seconds of the rate. Earlier usage is outside of the 5 s that are checked.
const MAX_DEBT_S: f64 = 2.0;
/// Mean age of the counters of the proxies when they reach the relay, in seconds.
const REPORT_AGE_S: f64 = 0.1;
/// Number of calls over which a rate is averaged.
const AVERAGED_CALLS: f64 = 12.0;
/// Bounds of the time over which a rate is averaged, in seconds.
const AVERAGE_S: (f64, f64) = (0.16, 2.0);
/// Time for which the usage of a source that does not report is unknown before its share is
/// reserved, in seconds.
const UNKNOWN_S: f64 = 0.7;

/// Rates of one source: the own proxies, or those of another relay.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    admitted_per_s: f64,
    demanded_per_s: f64,
    sampled_at: Instant,
}

/// What a relay knows about the processes when it computes fractions.
pub(super) struct Surroundings<'a> {
    pub now: Instant,
    /// Share of the proxies from which neither this relay nor others receive reports. Their part
    /// of the quota is reserved.
    pub reserved: f64,
    /// The same with a shorter time. These proxies may have spent their part of the burst.
    pub doubtful: f64,
    /// Share of the proxies that report to this relay, if it receives totals of no other one.
    pub alone: Option<f64>,
    /// Whether a source still reports.
    pub is_current: &'a dyn Fn(NodeId) -> bool,
}

/// The account of one organisation.
#[derive(Debug)]
pub(super) struct Account {
    limit: QuotaLimit,
    /// Calls that can be admitted above the rate. Negative if too many were admitted.
    tokens: f64,
    /// The same if the own proxies had only their share all the time. Used when no other relay
    /// can be reached, as their usage is then unknown.
    own_tokens: f64,
    filled_at: Instant,
    reserved: f64,
    rates: BTreeMap<NodeId, Rate>,
    /// Usage of the own proxies.
    pub total: Usage,
    /// `total` at the last sample of the own rate.
    sampled_total: Usage,
    /// Calls admitted by the own proxies since totals were last sent.
    pub unsent: f64,
    pub fraction: f64,
}

impl Account {
    /// Creates an account at a relay that has counted the usage for `known_s` seconds.
    pub fn new(limit: QuotaLimit, now: Instant, known_s: f64) -> Self {
        let mut account = Self {
            limit,
            tokens: 0.0,
            own_tokens: 0.0,
            filled_at: now,
            reserved: 0.0,
            rates: BTreeMap::new(),
            total: Usage::default(),
            sampled_total: Usage::default(),
            unsent: 0.0,
            fraction: 1.0,
        };
        // What was used before is unknown, so that the burst is not there at once.
        account.tokens = account.capacity().min(account.extra() + limit.rate_per_s * known_s);
        account.own_tokens = account.tokens;
        account
    }

    fn extra(&self) -> f64 {
        EXTRA_CALLS + EXTRA_S * self.limit.rate_per_s
    }

    fn capacity(&self) -> f64 {
        self.limit.burst + self.extra()
    }

    /// Replaces the limit. A debt under a higher limit is reduced to what the new one repays soon.
    pub fn set_limit(&mut self, limit: QuotaLimit) {
        if limit == self.limit {
            return;
        }
        self.limit = limit;
        let (min, max) = (-limit.rate_per_s * 0.5 - 1.0, self.capacity());
        self.tokens = self.tokens.clamp(min, max);
        self.own_tokens = self.own_tokens.clamp(min, max);
    }

    /// Calls that a relay reports to the others at once instead of at the next interval.
    pub fn early_totals_calls(&self) -> f64 {
        2.0 * self.limit.early_report_calls()
    }

    /// Adds usage of an own proxy.
    pub fn add_own(&mut self, change: Change) {
        self.total.admitted = self.total.admitted.wrapping_add_signed(change.admitted as i32);
        self.total.demanded = self.total.demanded.wrapping_add_signed(change.demanded as i32);
        self.tokens -= change.admitted;
        self.own_tokens -= change.admitted;
        self.unsent += change.admitted;
    }

    /// Takes a sample of the rate of the own proxies.
    pub fn sample_own(&mut self, me: NodeId, now: Instant) {
        let change = self.total.since(self.sampled_total);
        self.sampled_total = self.total;
        let last = self.rates.get(&me).map_or(self.filled_at, |rate| rate.sampled_at);
        self.sample(me, now, change, now.since_ms(last));
    }

    /// Adds usage that another relay reports.
    pub fn add_other(&mut self, from: NodeId, now: Instant, change: Change, elapsed_ms: u64) {
        self.tokens -= change.admitted;
        self.sample(from, now, change, elapsed_ms);
    }

    fn sample(&mut self, source: NodeId, now: Instant, change: Change, elapsed_ms: u64) {
        let average_s = AVERAGED_CALLS / self.limit.rate_per_s;
        let average_s = average_s.clamp(AVERAGE_S.0, AVERAGE_S.1);
        let elapsed_s = elapsed_ms.max(1) as f64 / 1_000.0;
        let weight = 1.0 - (-elapsed_s / average_s).exp();
        let rate = self.rates.entry(source).or_default();
        let average = |mean: f64, calls: f64| (mean + weight * (calls / elapsed_s - mean)).max(0.0);
        rate.admitted_per_s = average(rate.admitted_per_s, change.admitted);
        rate.demanded_per_s = average(rate.demanded_per_s, change.demanded);
        rate.sampled_at = now;
    }

    /// Calls that were admitted above the quota and are not repaid.
    pub fn debt_calls(&self) -> u32 {
        // The cast saturates at 0.
        (-self.tokens) as u32
    }

    /// Takes over a debt that another relay has computed.
    pub fn adopt_debt(&mut self, calls: u32) {
        self.tokens = self.tokens.min(-f64::from(calls));
    }

    /// Discards what depends on other processes, after this one was stopped for a while.
    pub fn discard(&mut self, now: Instant) {
        self.rates.clear();
        self.filled_at = now;
    }

    /// Fills the bucket and computes the fraction.
    pub fn update(&mut self, around: &Surroundings<'_>) {
        let now = around.now;
        let rate = self.limit.rate_per_s;
        let elapsed_s = now.since_us(self.filled_at) as f64 / 1e6;
        self.filled_at = now;
        let mut lost_per_s = 0.0;
        self.rates.retain(|source, rate| {
            let is_current = (around.is_current)(*source);
            lost_per_s += if is_current { 0.0 } else { rate.admitted_per_s };
            is_current
        });
        let mut demanded_per_s = 0.0;
        let mut unreported = 0.0;
        for source in self.rates.values() {
            let age_s = now.since_us(source.sampled_at) as f64 / 1e6 + REPORT_AGE_S;
            demanded_per_s += source.demanded_per_s;
            unreported += source.admitted_per_s * age_s;
        }
        let newly_reserved = (around.reserved - self.reserved).max(0.0);
        self.reserved = around.reserved;
        let free_rate = rate * (1.0 - around.reserved);
        let min = -MAX_DEBT_S * rate - 1.0;
        // What the proxies have used that fell silent is unknown until their share is reserved, and
        // they may still use their share of the burst.
        let unknown_per_s = lost_per_s.max(newly_reserved * rate);
        let unknown = unknown_per_s * UNKNOWN_S + newly_reserved * self.limit.burst;
        self.tokens += free_rate * elapsed_s - unknown;
        let capacity = self.capacity() * (1.0 - around.doubtful.max(around.reserved));
        // The bucket is filled until now, but the usage is older.
        self.tokens = self.tokens.clamp(min, capacity + unreported);
        let own = around.alone.unwrap_or(1.0 - around.reserved);
        self.own_tokens += rate * own * elapsed_s;
        self.own_tokens = self.own_tokens.clamp(-0.4 * rate * own - 1.0, self.capacity() * own);
        if around.alone.is_some() {
            self.tokens = self.tokens.min(self.own_tokens);
        }
        let left = self.tokens - unreported;
        let allowed_per_s = free_rate + left / if left > 0.0 { SPEND_S } else { REPAY_S };
        self.fraction = (allowed_per_s.max(0.0) / demanded_per_s.max(1e-9)).min(1.0);
    }
}
