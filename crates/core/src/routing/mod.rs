//! Calls: which target gets each, when, and what is said of the outcome.

use std::sync::Arc;

use crate::config::Configuration;
use crate::context::Context;
use crate::membership::MembershipChange;
use crate::time::Instant;

/// Something that happened to a call.
#[derive(Clone, Debug)]
pub enum CallEvent {}

/// Something to do with a call.
#[derive(Clone, Debug)]
pub enum CallEffect {}

/// Settings of the call path.
#[derive(Clone, Debug, Default)]
pub struct RoutingSettings {}

/// Every call in flight at this process, and what is known of targets.
pub struct Routing {}

impl Routing {
    /// Makes the state of a process with no call.
    pub fn new(_settings: RoutingSettings) -> Self {
        Self {}
    }

    /// A version came into force at this process.
    pub fn configure(&mut self, _cx: &mut Context<'_>, _configuration: Arc<Configuration>) {}

    /// The view of hosts and targets changed.
    pub fn membership_changed(&mut self, _cx: &mut Context<'_>, _change: &MembershipChange) {}

    /// Something happened to a call.
    pub fn step(&mut self, _cx: &mut Context<'_>, _slo: &mut crate::slo::Slo, event: CallEvent) {
        match event {}
    }

    /// When [`Routing::tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        Instant::NEVER
    }

    /// Does what is due.
    pub fn tick(&mut self, _cx: &mut Context<'_>, _slo: &mut crate::slo::Slo) {}

    /// Takes no new call from here on.
    pub fn stop(&mut self, _cx: &mut Context<'_>) {}

    /// Whether no call is in flight.
    pub fn is_idle(&self) -> bool {
        true
    }
}
