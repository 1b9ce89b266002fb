//! Simulates targets: their announcements, their departure and their end.

use std::net::{Ipv4Addr, SocketAddr};

use fireflylug_core::api::ApiRequest;
use fireflylug_core::ids::{Name, TargetId};
use fireflylug_core::membership::TargetAnnouncement;

use crate::calls::CallItem;
use crate::oracle::unit_name;
use crate::world::{Item, World};

/// Number of targets, each an instance of unit 0's service at one host.
pub const TARGETS: usize = 4;

/// Lease of an announcement, in milliseconds.
const LEASE_MS: u32 = 2_000;

/// State of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetStatus {
    Absent,
    Ready,
    Departing { departed_at_us: u64 },
}

/// A target that may announce itself.
pub struct Target {
    pub status: TargetStatus,
    pub generation: u32,
    /// Concurrent calls that it announces.
    pub slots: u32,
}

impl World {
    /// Starts a target, which announces itself.
    pub fn target_up(&mut self, target: usize) {
        self.set_target(target, TargetStatus::Ready);
    }

    /// A target announces to its owner that it takes no new work. Does nothing if the owner is
    /// down.
    pub fn target_departs(&mut self, target: usize, is_leaving: bool) {
        let is_present = self.calls.targets[target].status == TargetStatus::Ready;
        if !is_present || !self.is_up(owner_of(target)) {
            return;
        }
        self.set_target(target, TargetStatus::Departing { departed_at_us: self.now_us });
        if is_leaving {
            self.calls.targets[target].generation += 1;
            self.send_api_request(owner_of(target), ApiRequest::Leave(target_id(target)));
        }
    }

    /// Ends a target without an announcement.
    pub fn target_dies(&mut self, target: usize) {
        self.calls.targets[target].status = TargetStatus::Absent;
        self.calls.targets[target].generation += 1;
    }

    fn set_target(&mut self, target: usize, status: TargetStatus) {
        let state = &mut self.calls.targets[target];
        state.status = status;
        state.generation += 1;
        let generation = state.generation;
        self.run_call_item(CallItem::Renew { target, generation });
    }

    /// Renews the lease of a target and schedules the next time.
    pub fn renew(&mut self, target: usize, generation: u32) {
        let state = &self.calls.targets[target];
        if state.generation != generation || state.status == TargetStatus::Absent {
            return;
        }
        let announcement = TargetAnnouncement {
            target: target_id(target),
            address: target_address(target),
            slots: state.slots,
            connections: state.slots * 5,
            lease_ms: LEASE_MS,
            load_percent: None,
            draining: state.status != TargetStatus::Ready,
            cold_ms: 0,
            order: None,
        };
        self.send_api_request(owner_of(target), ApiRequest::Announce(announcement));
        let renew_us = u64::from(LEASE_MS) * 1_000 / 3;
        self.push(renew_us, Item::Call(CallItem::Renew { target, generation }));
    }
}

/// The host whose process owns a target.
pub fn owner_of(target: usize) -> usize {
    // The owners are three proxies without a disk and one control replica.
    [3, 4, 6, 0][target % 4]
}

/// Name of a target.
pub fn target_id(target: usize) -> TargetId {
    let id = Name::new(format!("target-{target}")).expect("a valid name");
    TargetId { service: unit_name(0), id }
}

fn target_address(target: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 1, 0, target as u8), 80))
}
