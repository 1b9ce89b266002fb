//! The processes that can be the parent of this one, by the records of the membership.

use crate::context::Context;
use crate::ids::NodeId;
use crate::membership::Membership;
use crate::membership::hash::rank;

/// Maximum number of members of the own availability zone that are tried as substitute parents.
const MAX_CANDIDATES: usize = 8;

/// The processes from which this one can receive updates, the preferred one first.
pub(super) fn candidates(
    cx: &Context<'_>,
    membership: &Membership,
    receives_log: bool,
) -> Vec<NodeId> {
    let own = &cx.me.locality.availability_zone;
    let Some(zone) = membership.topology().zone(own) else { return Vec::new() };
    let order = &zone.order;
    match order.iter().position(|id| *id == cx.me.id) {
        // A relay that receives versions from the replicated log needs no parent.
        Some(0) if receives_log => Vec::new(),
        Some(0) => root_candidates(cx, membership),
        position => {
            let parent =
                position.and_then(|position| zone.parent_position(position)).map(|at| order[at]);
            // Of the tree only earlier members qualify, so that no two are each other's parents.
            let earlier = &order[..position.unwrap_or(order.len())];
            let others = earlier.iter().copied().filter(|id| Some(*id) != parent);
            let in_tree = parent.into_iter().chain(others.take(MAX_CANDIDATES));
            // If all earlier members are silent, this process takes what a relay takes.
            let roots = if receives_log { Vec::new() } else { root_candidates(cx, membership) };
            let roots = roots.into_iter().filter(|id| !earlier.contains(id));
            in_tree.chain(roots).collect()
        }
    }
}

/// The processes from which the root of a tree can receive updates, the nearest first. Control replicas
/// without contact to a quorum come later, and those that count as unreachable last: they are asked
/// all the same, since a whole availability zone may count as cut off after the loss of its relay.
fn root_candidates(cx: &Context<'_>, membership: &Membership) -> Vec<NodeId> {
    let own = &cx.me.locality;
    let hub = membership.hub(&own.region).filter(|hub| *hub != cx.me.id);
    let mut replicas: Vec<_> = membership
        .members()
        .filter(|member| member.control && !member.status.is_dead_or_left())
        .filter(|replica| replica.id != cx.me.id)
        .map(|replica| {
            let locality = &replica.locality;
            let distance = match (locality.region == own.region, *locality == *own) {
                (_, true) => 0,
                (true, false) => 1,
                (false, _) => 3,
            };
            let is_unreachable = !replica.status.is_reachable();
            (is_unreachable, replica.lacks_quorum, distance, rank(replica.id), replica.id)
        })
        .collect();
    replicas.extend(hub.map(|hub| (false, false, 2, rank(hub), hub)));
    replicas.sort();
    replicas.into_iter().map(|(.., id)| id).collect()
}

/// Whether another process stands before this one in the order of its availability zone, so that
/// its parents are never children of this one.
pub(super) fn is_earlier_in_zone(cx: &Context<'_>, membership: &Membership, other: NodeId) -> bool {
    let Some(zone) = membership.topology().zone(&cx.me.locality.availability_zone) else {
        return false;
    };
    let position = |id: NodeId| zone.order.iter().position(|member| *member == id);
    match (position(other), position(cx.me.id)) {
        (Some(other), Some(own)) => other < own,
        (other, _) => other.is_some(),
    }
}
