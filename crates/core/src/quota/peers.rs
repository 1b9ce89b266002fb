//! The processes that share the quotas, derived from the membership.

use std::collections::BTreeMap;

use crate::context::Context;
use crate::ids::{Name, NodeId};
use crate::membership::{MemberStatus, Membership};

/// Number of members of an availability zone that can act as its relay at the same time. Proxies
/// try them in turn while the first does not answer.
const MAX_CANDIDATES: usize = 3;

/// Number of processes that is assumed at least until this process has the records of others. After
/// a start it would otherwise count only itself and use whole quotas.
const MIN_MEMBERS_BEFORE_SYNC: u32 = 64;

/// The members of one availability zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ZonePeers {
    /// Members that may admit calls, dead ones included: they may run, cut off from this process.
    pub members: u32,
    /// The relay, then those that replace it.
    pub candidates: Vec<NodeId>,
}

/// The processes that share the quotas.
#[derive(Debug, Default)]
pub(super) struct Peers {
    /// Generation of the membership, and whether it had the records of others.
    updated_for: Option<(u64, bool)>,
    pub members: u32,
    pub zones: BTreeMap<Name, ZonePeers>,
    /// Candidates of the own availability zone.
    pub candidates: Vec<NodeId>,
}

impl Peers {
    /// Updates the numbers, if the membership changed.
    pub fn update(&mut self, cx: &Context<'_>, membership: &Membership) {
        let is_synced = membership.synced_at().is_some();
        let version = Some((membership.generation(), is_synced));
        if self.updated_for == version {
            return;
        }
        self.updated_for = version;
        self.zones.clear();
        for member in membership.members().filter(|member| member.status != MemberStatus::Left) {
            self.zones.entry(member.locality.availability_zone.clone()).or_default().members += 1;
        }
        for (name, zone) in membership.topology().zones() {
            let candidates = zone.order.iter().copied().take(MAX_CANDIDATES).collect();
            self.zones.entry(name.clone()).or_default().candidates = candidates;
        }
        self.members = self.zones.values().map(|zone| zone.members).sum();
        if !is_synced {
            self.members = self.members.max(MIN_MEMBERS_BEFORE_SYNC);
        }
        let own = self.zones.get(&cx.me.locality.availability_zone);
        self.candidates = own.map(|zone| zone.candidates.clone()).unwrap_or_default();
    }
}
