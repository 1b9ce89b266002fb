//! The entry point of the reducer: [`reduce`].

use crate::api::ApiParts;
use crate::config::Configuration;
use crate::consensus::ControlOutput;
use crate::context::Context;
use crate::event::{Effect, Event};
use crate::ids::{Name, NodeId};
use crate::membership::MembershipChange;
use crate::message::PeerMessage;
use crate::organisation::Decimal;
use crate::organisation::redact;
use crate::quota::QuotaLimit;
use crate::state::State;
use crate::time::Instant;

/// Most rounds in which changes are propagated between the parts after one event.
const MAX_PROPAGATION_ROUNDS: usize = 16;

/// Applies one event to the state and returns the effects that the I/O code must execute.
///
/// `now` must never decrease between calls.
pub fn reduce(state: &mut State, event: Event, now: Instant) -> Vec<Effect> {
    let mut effects = Vec::new();
    // Calls do not change the control replica, and there are many of them.
    let is_call = matches!(event, Event::Call(_));
    handle_event(state, event, now, &mut effects);
    announce_stop_if_due(state, now, &mut effects);
    if !is_call {
        report_quorum_contact(state, now, &mut effects);
    }
    propagate_changes(state, now, &mut effects);
    if !is_call {
        report_control_state(state, now, &mut effects);
    }
    if state.is_stopping && !state.has_exited && state.routing.is_idle() {
        state.has_exited = true;
        let mut cx = Context { now, rng: &mut state.rng, me: &state.me, effects: &mut effects };
        state.membership.finish_graceful_stop(&mut cx);
        effects.push(Effect::Exit);
    }
    effects
}

/// Reports to the membership whether the control replica of this process lacks contact to a quorum.
fn report_quorum_contact(state: &mut State, now: Instant, effects: &mut Vec<Effect>) {
    let Some(control) = &mut state.control else { return };
    let lacks_quorum = control.lacks_quorum(now);
    let mut cx = Context { now, rng: &mut state.rng, me: &state.me, effects };
    state.membership.set_lacks_quorum(&mut cx, lacks_quorum);
}

/// Reports to the distribution whether the control replica of this process receives the log, and
/// when it was last current.
fn report_control_state(state: &mut State, now: Instant, effects: &mut Vec<Effect>) {
    let Some(control) = &state.control else { return };
    if let Some(at) = control.published_all_at(now) {
        state.distribution.record_control_contact(at);
    }
    let is_standby = control.participation(state.me.id).is_standby();
    let mut cx = Context { now, rng: &mut state.rng, me: &state.me, effects };
    state.distribution.set_standby(&mut cx, &state.membership, is_standby);
}

macro_rules! context {
    ($state:ident, $now:ident, $effects:ident) => {
        Context { now: $now, rng: &mut $state.rng, me: &$state.me, effects: $effects }
    };
}

macro_rules! api_parts {
    ($state:ident) => {
        ApiParts {
            control: $state.control.as_mut(),
            distribution: &$state.distribution,
            membership: &mut $state.membership,
            slo: &$state.slo,
        }
    };
}

fn handle_event(state: &mut State, event: Event, now: Instant, effects: &mut Vec<Effect>) {
    let mut cx = context!(state, now, effects);
    match event {
        Event::Tick => {
            if let Some(control) = &mut state.control {
                control.tick(&mut cx);
            }
            state.membership.tick(&mut cx);
            state.distribution.tick(&mut cx, &state.membership);
            state.routing.tick(&mut cx, &mut state.slo, &mut state.quotas);
            state.routing.send_suspects(&mut cx, state.membership.linked_peers());
            state.slo.tick(&mut cx, &state.membership);
            state.quotas.tick(&mut cx, &state.membership);
            state.api.tick(&mut cx, api_parts!(state));
        }
        Event::PeerConnected { peer } => {
            state.membership.peer_connected(&mut cx, peer);
            state.distribution.peer_connected(&mut cx, &state.membership, peer);
            if let Some(control) = &mut state.control {
                control.peer_connected(&mut cx, peer);
            }
            state.routing.peer_connected(&mut cx, peer);
        }
        Event::PeerDisconnected { peer } => {
            state.membership.peer_disconnected(&mut cx, peer);
            state.distribution.peer_disconnected(&mut cx, &state.membership, peer);
            if let Some(control) = &mut state.control {
                control.peer_disconnected(&mut cx, peer);
            }
            state.api.peer_disconnected(&mut cx, peer);
        }
        Event::PeerMessage { from, message } => handle_message(state, from, message, now, effects),
        Event::Disk(event) => {
            if let Some(control) = &mut state.control {
                control.handle_disk_event(&mut cx, event);
            }
        }
        Event::ApiRequest { request, body } => {
            state.api.request(&mut cx, api_parts!(state), request, body);
        }
        Event::ApiClosed { request } => state.api.client_disconnected(&mut cx, request),
        Event::Call(event) => {
            let may_be_outdated = state.distribution.lacks_source(now, state.me.control);
            state.routing.set_may_be_outdated(may_be_outdated);
            state.routing.step(&mut cx, &mut state.slo, &mut state.quotas, event);
            for target in state.routing.take_leaving_targets() {
                state.membership.drain_own_target(&mut cx, &target);
            }
        }
        Event::SeedsChanged(seeds) => state.membership.set_seeds(&cx, seeds),
        Event::Stop => {
            state.is_stopping = true;
            if let Some(control) = &mut state.control {
                control.stop(&mut cx);
            }
            state.routing.stop(&mut cx);
        }
    }
}

/// Announces a stop to the other processes shortly before calls are refused. Until
/// then they can use the targets of this host.
fn announce_stop_if_due(state: &mut State, now: Instant, effects: &mut Vec<Effect>) {
    if state.is_stop_announced || !state.routing.should_announce_stop(now) {
        return;
    }
    state.is_stop_announced = true;
    let mut cx = context!(state, now, effects);
    state.membership.begin_graceful_stop(&mut cx);
}

fn handle_message(
    state: &mut State,
    from: NodeId,
    message: PeerMessage,
    now: Instant,
    effects: &mut Vec<Effect>,
) {
    state.membership.record_contact(now, from);
    let mut cx = context!(state, now, effects);
    match message {
        PeerMessage::Consensus(message) => {
            if let Some(control) = &mut state.control {
                control.step(&mut cx, from, message);
            }
        }
        PeerMessage::Distribution(message) => {
            state.distribution.step(&mut cx, &state.membership, from, message);
        }
        PeerMessage::Membership(message) => state.membership.step(&mut cx, from, message),
        PeerMessage::Api(message) => state.api.step(&mut cx, api_parts!(state), from, message),
        PeerMessage::Slo(message) => state.slo.step(&mut cx, from, message),
        PeerMessage::Quota(message) => {
            state.quotas.step(&mut cx, &state.membership, from, message);
        }
        PeerMessage::Routing(message) => state.routing.handle_message(&mut cx, from, message),
    }
}

/// Propagates changes between the parts until there are no more, for at most
/// [`MAX_PROPAGATION_ROUNDS`] rounds.
fn propagate_changes(state: &mut State, now: Instant, effects: &mut Vec<Effect>) {
    for _ in 0..MAX_PROPAGATION_ROUNDS {
        let mut has_changed = propagate_control_outputs(state, now, effects);
        has_changed |= propagate_membership_changes(state, now, effects);
        has_changed |= propagate_versions(state, now, effects);
        if !has_changed {
            return;
        }
    }
}

fn propagate_control_outputs(state: &mut State, now: Instant, effects: &mut Vec<Effect>) -> bool {
    let outputs = state.control.as_mut().map(|control| control.take_outputs()).unwrap_or_default();
    let has_changed = !outputs.is_empty();
    let mut cx = context!(state, now, effects);
    for output in outputs {
        match output {
            ControlOutput::Committed(configuration) => {
                state.api.committed(&mut cx, &configuration);
                let redacted = redact(&configuration, state.distribution.current());
                state.distribution.publish(&mut cx, redacted);
            }
            ControlOutput::Recovered(configuration) => {
                let redacted = redact(&configuration, state.distribution.current());
                state.distribution.publish(&mut cx, redacted);
            }
            ControlOutput::Outcome(origin, outcome) => {
                state.api.outcome(&mut cx, origin, outcome);
            }
            ControlOutput::Read(origin, read) => state.api.read_ready(&mut cx, origin, read),
        }
    }
    has_changed
}

fn propagate_membership_changes(
    state: &mut State,
    now: Instant,
    effects: &mut Vec<Effect>,
) -> bool {
    let changes = state.membership.take_changes();
    let has_changed = !changes.is_empty();
    let mut cx = context!(state, now, effects);
    for change in &changes {
        state.distribution.membership_changed(&mut cx, &state.membership, change);
        state.routing.membership_changed(&mut cx, change);
    }
    let is_member_change =
        |change: &MembershipChange| !matches!(change, MembershipChange::Target(_));
    if let Some(control) = state.control.as_mut().filter(|_| changes.iter().any(is_member_change)) {
        let members = state.membership.members();
        let replicas = members.filter(|member| member.control && !member.status.is_dead_or_left());
        let replicas: Vec<_> = replicas.map(|m| (m.id, m.addresses.peers)).collect();
        control.set_known_replicas(&mut cx, &replicas);
    }
    has_changed
}

fn propagate_versions(state: &mut State, now: Instant, effects: &mut Vec<Effect>) -> bool {
    let mut cx = context!(state, now, effects);
    let applied = state.distribution.take_new_configuration();
    let has_changed = applied.is_some();
    if let Some(configuration) = applied {
        state.routing.configure(&mut cx, configuration.clone());
        state.quotas.configure(&mut cx, quota_limits(&configuration));
        state.slo.configure(&mut cx, configuration);
    }
    let progress = state.distribution.take_progress();
    let has_changed = has_changed || progress.is_some();
    if let Some(progress) = progress {
        state.api.progress(&mut cx, progress);
    }
    has_changed
}

fn quota_limits(configuration: &Configuration) -> impl Iterator<Item = (Name, QuotaLimit)> {
    configuration.organisations().filter_map(|organisation| {
        let rate_per_s = organisation.rate_per_s?.value();
        let burst = organisation.burst.map_or(0.0, Decimal::value);
        Some((organisation.name.clone(), QuotaLimit { rate_per_s, burst }))
    })
}
