//! Choice of a control replica by a process that knows no leader.

use crate::context::Context;
use crate::ids::NodeId;
use crate::membership::{Member, Membership};

/// Selects a control replica: those of the same availability zone first, then those
/// of the region, then the others, and last of all those without contact to a quorum. Each attempt
/// selects the next one.
pub(super) fn nearest_replica(
    cx: &Context<'_>,
    membership: &Membership,
    attempts: usize,
) -> Option<NodeId> {
    let others = membership.control_replicas().filter(|member| member.id != cx.me.id);
    let mut replicas: Vec<&Member> = others.collect();
    replicas.sort_by_key(|member| (member.lacks_quorum, locality_distance(cx, member), member.id));
    let index = attempts.checked_rem(replicas.len())?;
    Some(replicas[index].id)
}

fn locality_distance(cx: &Context<'_>, member: &Member) -> u8 {
    let here = &cx.me.locality;
    if member.locality.availability_zone == here.availability_zone {
        0
    } else if member.locality.region == here.region {
        1
    } else {
        2
    }
}
