//! Choice of a target: the one with the lowest expected cost. Used once for each attempt of a
//! call at its ingress.
//!
//! The cost is the expected time until the response, plus a surcharge for targets in other
//! availability zones and regions, plus a surcharge for targets without a free slot. A random
//! factor varies the expected time: proxies with the same view must not all choose the same
//! target. Ejected targets are chosen only for a probe, or if there is no other target.

use rand::Rng;
use rand::seq::IteratorRandom;

use super::state::TIERS;
use super::target::{LatencyBaseline, UNKNOWN_LATENCY_US};
use super::{Routing, ServiceKey, TargetKey};
use crate::context::Context;
use crate::ids::CallId;
use crate::membership::MemberStatus;

/// Usual additional latency of a tier over the nearest tier, in microseconds.
const TIER_EXTRA_LATENCY_US: [u64; TIERS] = [0, 2_500, 61_500];
/// Surcharge for traffic to a tier in addition to its latency, in percent of the policy's
/// target latency. It keeps the links between zones and regions free while a near target is
/// fast enough.
const TIER_COST_PERCENT: [u64; TIERS] = [0, 5, 35];
/// The same surcharge for calls with large requests or responses.
const BULK_TIER_COST_PERCENT: [u64; TIERS] = [0, 30, 200];
/// Maximum number of targets of a tier that are compared for one call.
const MAX_CANDIDATES: usize = 12;
/// Random variation of the expected time, in percent in either direction.
const JITTER_PERCENT: u64 = 10;

/// Surcharge for a target without a free slot in addition to its expected time, in percent of
/// the policy's target latency. It is limited because the information about free slots is old:
/// a distant target is not preferred for its free slots alone.
const WAITING_COST_PERCENT: u64 = 20;

impl Routing {
    /// Chooses the target for the next attempt of a call. None if no target of its service
    /// accepts new calls.
    pub(super) fn choose(&mut self, cx: &mut Context<'_>, call: CallId) -> Option<TargetKey> {
        let service = self.calls.get(&call)?.service;
        self.refresh_tiers(cx, service);
        if let Some(target) = self.choose_probe(cx, call, service) {
            return Some(target);
        }
        let (mut best, mut least_cost) = (None, u64::MAX);
        for tier in 0..TIERS {
            let candidates = self.candidates(cx, call, service, tier);
            let baseline = self.baseline(call, service, tier, &candidates);
            for target in candidates {
                let cost = self.cost(cx, call, target, tier, baseline);
                if cost < least_cost {
                    (best, least_cost) = (Some(target), cost);
                }
            }
        }
        best.or_else(|| self.any_ejected(cx, call, service))
    }

    /// Targets of a tier that may receive the call: all of them, or a random subset of a large
    /// tier.
    fn candidates(
        &self,
        cx: &mut Context<'_>,
        call: CallId,
        service: ServiceKey,
        tier: usize,
    ) -> Vec<TargetKey> {
        let call = &self.calls[&call];
        let tier = &self.services[service].tiers[tier];
        let is_usable = |key: &TargetKey| {
            let is_ejected = self.targets[*key].health.is_ejected();
            !is_ejected && !call.was_tried(*key) && self.has_path_capacity(cx, call, *key)
        };
        let usable: Vec<TargetKey> = tier.iter().copied().filter(is_usable).collect();
        if tier.len() <= MAX_CANDIDATES {
            return usable;
        }
        usable.into_iter().choose_multiple(cx.rng, MAX_CANDIDATES)
    }

    /// Expected time until the response of a target without recent observations: the shortest
    /// observed in the tier, so that the target is tried.
    fn baseline(
        &self,
        call: CallId,
        service: ServiceKey,
        tier: usize,
        candidates: &[TargetKey],
    ) -> LatencyBaseline {
        let class = self.calls[&call].class;
        let observed = candidates.iter().filter_map(|key| self.targets[*key].recent_us(class));
        let best_us = observed.min();
        let default_us = || {
            let typical_us = self.services[service].typical_us(class);
            typical_us.unwrap_or(UNKNOWN_LATENCY_US) + TIER_EXTRA_LATENCY_US[tier]
        };
        LatencyBaseline { class, reference_us: best_us.unwrap_or_else(default_us) }
    }

    /// Expected cost of a call at a target, in microseconds.
    fn cost(
        &self,
        cx: &mut Context<'_>,
        call: CallId,
        target: TargetKey,
        tier: usize,
        baseline: LatencyBaseline,
    ) -> u64 {
        let call = &self.calls[&call];
        let state = &self.services[call.service];
        let target = &self.targets[target];
        let is_large = call.is_large();
        let tier_percent =
            if is_large { BULK_TIER_COST_PERCENT[tier] } else { TIER_COST_PERCENT[tier] };
        let useful_us = call.useful_until.since_us(call.first_arrived_at);
        let jitter_percent = cx.rng.random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
        let success = self.comparable_success(cx, call.service, target);
        let answer_us =
            target.cost_us(cx.now, state.slow_start_ms, baseline, success) * jitter_percent / 100;
        // A large call should wait in this region rather than cross the link to another one.
        let is_far = tier == TIERS - 1;
        let waits = !target.has_free_slot(cx.now)
            || target.is_full_for(call.class, cx.now)
            || (is_large && is_far)
            || (call.is_bulk && target.is_link_busy(cx.now));
        let waiting_percent = if waits { WAITING_COST_PERCENT } else { 0 };
        answer_us + useful_us * (tier_percent + waiting_percent) / 100
    }

    /// An ejected target that is due for a probe. Only the first attempt of a call that may be
    /// repeated is used as a probe.
    fn choose_probe(
        &mut self,
        cx: &Context<'_>,
        call: CallId,
        service: ServiceKey,
    ) -> Option<TargetKey> {
        let state = &self.services[service];
        if state.ejected.is_empty() {
            return None;
        }
        let call = &self.calls[&call];
        if !(call.is_repeatable && call.is_replayable) || call.attempt > 0 {
            return None;
        }
        let may_probe = |key: &&TargetKey| {
            let target = &self.targets[**key];
            target.health.may_probe(cx.now)
                && self.may_take_work(cx, target)
                && self.has_path_capacity(cx, call, **key)
        };
        let target = *state.ejected.iter().find(may_probe)?;
        self.targets[target].health.begin_probe();
        Some(target)
    }

    /// An ejected target, used if there is no other.
    fn any_ejected(
        &self,
        cx: &Context<'_>,
        call: CallId,
        service: ServiceKey,
    ) -> Option<TargetKey> {
        let call = &self.calls[&call];
        let tiers = &self.services[service].tiers;
        let mut untried = tiers.iter().flatten().copied().filter(|key| !call.was_tried(*key));
        untried.find(|key| self.has_path_capacity(cx, call, *key))
    }

    /// Whether a target may receive new calls, regardless of its health.
    pub(super) fn may_take_work(&self, cx: &Context<'_>, target: &super::target::Target) -> bool {
        let owner = target.record.owner;
        let is_alive = |id| self.members.get(id).is_some_and(|m| m.status == MemberStatus::Alive);
        target.is_ready() && (owner == cx.me.id || is_alive(&owner))
    }

    /// Rebuilds the tiers of a service after its view has changed.
    fn refresh_tiers(&mut self, cx: &Context<'_>, service: ServiceKey) {
        if !self.services[service].is_stale {
            return;
        }
        let mut tiers: [Vec<TargetKey>; TIERS] = Default::default();
        for key in &self.services[service].targets {
            let target = &self.targets[*key];
            if self.may_take_work(cx, target) {
                tiers[self.tier_of(cx, target)].push(*key);
            }
        }
        let state = &mut self.services[service];
        state.tiers = tiers;
        state.is_stale = false;
    }

    fn tier_of(&self, cx: &Context<'_>, target: &super::target::Target) -> usize {
        if target.record.owner == cx.me.id {
            return 0;
        }
        let Some(owner) = self.members.get(&target.record.owner) else { return TIERS - 1 };
        if owner.locality == cx.me.locality {
            0
        } else if owner.locality.region == cx.me.locality.region {
            1
        } else {
            2
        }
    }
}
