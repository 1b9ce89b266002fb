//! Applies changes of the configuration, the hosts and the targets to the state of routing.

use std::sync::Arc;

use super::admission::AdmissionControl;
use super::state::{ServiceState, Stage};
use super::table::RouteTable;
use super::target::Target;
use super::{Routing, ServiceKey, TargetKey};
use crate::config::Configuration;
use crate::context::Context;
use crate::ids::{CallId, Name, NodeId};
use crate::membership::{Member, MemberStatus, MembershipChange, TargetRecord, TargetState};
use crate::organisation::OrganisationTable;
use crate::routing::refusal::{Outcome, Refusal, RefusalCode};

impl Routing {
    /// Applies the version that came into force at this process.
    pub fn configure(&mut self, cx: &mut Context<'_>, configuration: Arc<Configuration>) {
        self.table = Some(RouteTable::new(&configuration));
        self.organisations = OrganisationTable::new(&configuration);
        for service in configuration.services() {
            let key = self.service_key(&service.name);
            let state = &mut self.services[key];
            state.retry_budget_percent = service.retry_budget_percent;
            state.max_ejected_percent = service.max_ejected_percent;
            state.slow_start_ms = service.slow_start_ms;
            state.max_connections = service.max_connections;
            state.adaptive_limit = service.adaptive_limit;
            state.limit_failing_work = service.limit_failing_work;
        }
        self.splits.retain(|route| configuration.routes().any(|known| known.name == *route));
        self.configuration = configuration;
        self.forget_services();
        self.refuse_revoked(cx);
        let owned: Vec<TargetKey> = self
            .targets
            .iter()
            .filter(|(_, t)| t.admission.is_some())
            .map(|(key, _)| key)
            .collect();
        for key in owned {
            self.update_admission(cx, key);
        }
    }

    /// Maximum number of connections to a target, from all callers.
    pub(super) fn connections_of(&self, key: TargetKey) -> u32 {
        let target = &self.targets[key];
        let of_service = self.services[target.service].max_connections;
        of_service.map_or(target.record.connections, |most| most.min(target.record.connections))
    }

    /// Applies a change of a host or a target.
    pub fn membership_changed(&mut self, cx: &mut Context<'_>, change: &MembershipChange) {
        match change {
            MembershipChange::Member(member) => self.member_changed(cx, member),
            MembershipChange::MemberForgotten(id) => {
                self.members.remove(id);
                self.mark_stale();
                self.cancel_forwards(cx, *id);
            }
            MembershipChange::Target(record) => self.target_changed(cx, record),
        }
    }

    fn member_changed(&mut self, cx: &mut Context<'_>, member: &Member) {
        let before = self.members.insert(member.id, member.clone());
        let is_same = before.is_some_and(|before| {
            before.status == member.status && before.locality == member.locality
        });
        if is_same {
            return;
        }
        self.mark_stale();
        if member.status == MemberStatus::Dead {
            self.cancel_forwards(cx, member.id);
        }
    }

    fn mark_stale(&mut self) {
        for service in self.services.values_mut() {
            service.is_stale = true;
        }
    }

    /// Cancels the repeatable calls at an owner that is gone, so that they are retried. Other
    /// calls keep waiting for their response: it may still arrive.
    fn cancel_forwards(&mut self, cx: &mut Context<'_>, owner: NodeId) {
        let mut waiting: Vec<CallId> = Vec::new();
        for (id, call) in &self.calls {
            if let Stage::Running(attempt) = call.stage
                && call.is_repeatable
                && call.is_replayable
                && !attempt.holds_slot
                && self.targets[attempt.target].record.owner == owner
            {
                waiting.push(*id);
            }
        }
        waiting.sort_unstable();
        for id in waiting {
            self.cancel_attempt(cx, id);
        }
    }

    fn target_changed(&mut self, cx: &mut Context<'_>, record: &TargetRecord) {
        let service = self.service_key(&record.target.service);
        let key = match self.target_keys.get(&record.target) {
            Some(key) => {
                self.targets[*key].update(record.clone(), cx.now);
                *key
            }
            None if record.state == TargetState::Gone => return self.forget_services(),
            None => self.insert_target(record, service, cx),
        };
        self.services[service].is_stale = true;
        self.update_admission(cx, key);
        if record.state == TargetState::Gone {
            self.forget_target(key);
        }
    }

    fn insert_target(
        &mut self,
        record: &TargetRecord,
        service: ServiceKey,
        cx: &Context<'_>,
    ) -> TargetKey {
        let key = self.targets.insert(Target::new(record.clone(), service, cx.now));
        self.target_keys.insert(record.target.clone(), key);
        let targets = &self.targets;
        let list = &mut self.services[service].targets;
        let id = |key: &TargetKey| targets[*key].record.target.id.clone();
        let position = list.partition_point(|other| id(other) < record.target.id);
        list.insert(position, key);
        key
    }

    fn update_admission(&mut self, cx: &mut Context<'_>, key: TargetKey) {
        let connections = self.connections_of(key);
        let is_adaptive = self.is_adaptive(self.targets[key].service);
        let target = &mut self.targets[key];
        let is_owner = target.record.owner == cx.me.id;
        if is_owner {
            let slots = target.record.slots;
            let admission = target.admission.get_or_insert_with(AdmissionControl::default);
            admission.set_limit(slots, connections, self.settings.is_link_slow);
            admission.set_adaptive(is_adaptive);
            if target.record.state == TargetState::Ready {
                self.admit_queued(cx, key);
                return;
            }
        }
        let target = &mut self.targets[key];
        let queue =
            target.admission.as_mut().map(AdmissionControl::drain_queue).unwrap_or_default();
        if !is_owner {
            target.admission = None;
        }
        let refusal = Refusal { code: RefusalCode::TargetGone, outcome: Outcome::NotRun };
        for call in queue {
            self.attempt_failed(cx, call, refusal);
        }
    }

    /// Removes a target that is gone after its last attempt has ended.
    pub(super) fn forget_target(&mut self, key: TargetKey) {
        let Some(target) = self.targets.get(key) else { return };
        if target.record.state != TargetState::Gone || target.attempts > 0 {
            return;
        }
        let Some(target) = self.targets.remove(key) else { return };
        self.target_keys.remove(&target.record.target);
        let service = &mut self.services[target.service];
        service.targets.retain(|other| *other != key);
        service.ejected.retain(|other| *other != key);
        // The tiers are rebuilt before the next choice. Until then they must not refer to the
        // removed target.
        service.tiers.iter_mut().for_each(|tier| tier.retain(|other| *other != key));
        service.is_stale = true;
        self.forget_services();
    }

    fn service_key(&mut self, name: &Name) -> ServiceKey {
        if let Some(key) = self.service_keys.get(name) {
            return *key;
        }
        let key = self.services.insert(ServiceState::new(name.clone()));
        self.service_keys.insert(name.clone(), key);
        key
    }

    /// Removes services that are not declared and have neither targets nor calls.
    fn forget_services(&mut self) {
        let configuration = &self.configuration;
        let keys = &mut self.service_keys;
        self.services.retain(|_, service| {
            let keep = !service.targets.is_empty()
                || service.counts.in_flight > 0
                || configuration.service(&service.name).is_some();
            if !keep {
                keys.remove(&service.name);
            }
            keep
        });
    }
}
