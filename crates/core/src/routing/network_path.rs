//! Network paths to targets in other regions: their round-trip time, and the rate limit of
//! large calls over each link.

use super::call::TargetLoad;
use super::region_link::{BulkRateCut, RegionLink};
use super::state::{Attempt, Call};
use super::{Routing, TargetKey};
use crate::context::Context;
use crate::event::{LogLevel, LogPart};
use crate::ids::{CallId, Name};

impl Routing {
    /// Region of a target's owner, if it differs from this proxy's.
    fn other_region(&self, cx: &Context<'_>, target: TargetKey) -> Option<&Name> {
        let owner = self.members.get(&self.targets[target].record.owner)?;
        let region = &owner.locality.region;
        (*region != cx.me.locality.region).then_some(region)
    }

    /// The link to a target in another region.
    pub(super) fn link_to(
        &mut self,
        cx: &Context<'_>,
        target: TargetKey,
    ) -> Option<&mut RegionLink> {
        let region = self.other_region(cx, target)?.clone();
        let new = || RegionLink::new(cx.now);
        Some(self.region_links.entry(region).or_insert_with(new))
    }

    /// Minimum round-trip time to a target in another region, in microseconds; 0 if unknown.
    pub(super) fn round_trip_us(&self, cx: &Context<'_>, target: TargetKey) -> u64 {
        let link = self.other_region(cx, target).and_then(|region| self.region_links.get(region));
        link.map_or(0, RegionLink::min_round_trip_us)
    }

    /// Whether the network path to a target has capacity for the request and the response of a
    /// call.
    pub(super) fn has_path_capacity(
        &self,
        cx: &Context<'_>,
        call: &Call,
        target: TargetKey,
    ) -> bool {
        !call.is_large() || self.bulk_wait_ms(cx, target) == 0
    }

    fn bulk_wait_ms(&self, cx: &Context<'_>, target: TargetKey) -> u32 {
        let link = self.other_region(cx, target).and_then(|region| self.region_links.get(region));
        link.map_or(0, |link| link.bulk_wait_ms(cx.now))
    }

    /// Time after which the network path to a target that the call has not tried has capacity,
    /// in milliseconds. None if the paths are not what prevents the call.
    pub(super) fn path_wait_ms(&self, cx: &Context<'_>, id: CallId) -> Option<u32> {
        let call = &self.calls[&id];
        if !call.is_large() {
            return None;
        }
        let tiers = &self.services[call.service].tiers;
        let untried = tiers.iter().flatten().filter(|key| !call.was_tried(**key));
        untried.map(|key| self.bulk_wait_ms(cx, *key)).filter(|wait_ms| *wait_ms > 0).min()
    }

    /// Updates the estimates of the link to the target's region from the load report of a
    /// response.
    pub(super) fn observe_round_trip(
        &mut self,
        cx: &mut Context<'_>,
        attempt: Attempt,
        load: Option<TargetLoad>,
    ) {
        let Some(load) = load else { return };
        let took_us = cx.now.since_us(attempt.began_at);
        let round_trip_us = took_us.saturating_sub(u64::from(load.held_ms) * 1_000);
        let Some(link) = self.link_to(cx, attempt.target) else { return };
        let Some(cut) = link.observe(round_trip_us, cx.now) else { return };
        let BulkRateCut { millicalls_per_s, queueing_delay_us } = cut;
        let text = format!(
            "The link to another region is full: queueing delay {} ms; large calls over it are \
             limited to {}.{:03} per second.",
            queueing_delay_us / 1_000,
            millicalls_per_s / 1_000,
            millicalls_per_s % 1_000
        );
        cx.log(LogLevel::Info, LogPart::Calls, text);
    }

    /// Load that the owner of a target reports to the ingress of a call. None if this proxy is
    /// the ingress.
    pub(super) fn load_for_ingress(
        &self,
        cx: &Context<'_>,
        id: CallId,
        target: TargetKey,
    ) -> Option<TargetLoad> {
        let call = self.calls.get(&id).filter(|call| !call.is_ingress())?;
        let admission = self.targets.get(target)?.admission.as_ref()?;
        let load = admission.load(cx.now);
        let capacity = admission.capacity_report(call.class);
        let held_ms = u32::try_from(cx.now.since_ms(call.arrived_at)).unwrap_or(u32::MAX);
        Some(TargetLoad { held_ms, capacity, ..load })
    }
}
