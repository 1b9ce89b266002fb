//! Choice of a target: near ones first, spare capacity before nearness, and
//! of two drawn at random the one with fewer calls and less latency.

use rand::Rng;

use super::state::TIERS;
use super::{Routing, ServiceKey, TargetKey};
use crate::context::Context;
use crate::ids::CallId;
use crate::membership::MemberStatus;

impl Routing {
    /// The target for the next attempt of a call, or none where no target of
    /// its service may take new work.
    pub(super) fn choose(&mut self, cx: &mut Context<'_>, call: CallId) -> Option<TargetKey> {
        let service = self.calls.get(&call)?.service;
        self.refresh_tiers(cx, service);
        if let Some(target) = self.choose_probe(cx, call, service) {
            return Some(target);
        }
        let mut fallback = None;
        for tier in 0..TIERS {
            let drawn = self.draw_two(cx, call, service, tier);
            if drawn.is_some_and(|target| self.targets[target].has_spare(cx.now)) {
                return drawn;
            }
            let spare = self.best_with_spare(cx, call, service, tier);
            if spare.is_some() {
                return spare;
            }
            fallback = fallback.or(drawn);
        }
        // Every target is full: the call waits at a near one, if it may.
        fallback.or_else(|| self.any_ejected(call, service))
    }

    /// An ejected target that is due to be tried with one call. A call that
    /// may not be repeated is never the one.
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
        let may_probe = |target: &&TargetKey| {
            let target = &self.targets[**target];
            target.health.may_probe(cx.now) && self.may_take_work(cx, target)
        };
        let target = *state.ejected.iter().find(may_probe)?;
        self.targets[target].health.begin_probe();
        Some(target)
    }

    /// Draws two different targets of a tier at random and takes the better one.
    fn draw_two(
        &self,
        cx: &mut Context<'_>,
        call: CallId,
        service: ServiceKey,
        tier: usize,
    ) -> Option<TargetKey> {
        let state = &self.services[service];
        let tier = &state.tiers[tier];
        let call = &self.calls[&call];
        if tier.is_empty() {
            return None;
        }
        let mut draw = |not: Option<TargetKey>| {
            let (head, tail) = tier.split_at(cx.rng.random_range(0..tier.len()));
            let usable = |key: &TargetKey| {
                let is_ejected = self.targets[*key].health.is_ejected();
                Some(*key) != not && !is_ejected && !call.was_tried(*key)
            };
            tail.iter().chain(head).copied().find(usable)
        };
        let first = draw(None)?;
        // The same target twice would give a bad one a share of its own.
        let Some(second) = draw(Some(first)) else { return Some(first) };
        let score = |key: TargetKey| self.targets[key].score(cx.now, state.slow_start_ms);
        Some(if score(second) < score(first) { second } else { first })
    }

    /// The best target of a tier that has a free slot, as far as is known.
    fn best_with_spare(
        &self,
        cx: &Context<'_>,
        call: CallId,
        service: ServiceKey,
        tier: usize,
    ) -> Option<TargetKey> {
        let state = &self.services[service];
        let call = &self.calls[&call];
        let spare = |key: &TargetKey| {
            let target = &self.targets[*key];
            !target.health.is_ejected() && !call.was_tried(*key) && target.has_spare(cx.now)
        };
        let usable = state.tiers[tier].iter().copied().filter(spare);
        usable.min_by_key(|key| self.targets[*key].score(cx.now, state.slow_start_ms))
    }

    /// An ejected target, where there is no other.
    fn any_ejected(&self, call: CallId, service: ServiceKey) -> Option<TargetKey> {
        let call = &self.calls[&call];
        let tiers = &self.services[service].tiers;
        tiers.iter().flatten().copied().find(|target| !call.was_tried(*target))
    }

    /// Whether a target may be given new work, its health aside.
    pub(super) fn may_take_work(&self, cx: &Context<'_>, target: &super::target::Target) -> bool {
        let owner = target.record.owner;
        let is_alive = |id| self.members.get(id).is_some_and(|m| m.status == MemberStatus::Alive);
        target.is_ready() && (owner == cx.me.id || is_alive(&owner))
    }

    /// Makes the tiers of a service again where the view has changed.
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
