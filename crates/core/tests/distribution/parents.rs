//! The messages between a process and its parent: who takes a child, and what an answer dates.

use fireflylug_core::distribution::{
    CUT_OFF_FROM_CONTROL_AFTER_MS, DistributionMessage, Holders, MAX_CHILDREN, Report, Status,
};
use fireflylug_core::ids::{NodeId, Version};
use fireflylug_core::message::PeerMessage;
use fireflylug_core::{Effect, Instant};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::mesh::Mesh;
use super::mesh::fixtures::{name, two_regions};
use super::mesh_with_first;
use super::silence::shuffled_proxies;

/// Delivers a message to a host, and returns what it sends to the sender in response.
fn responses(
    mesh: &mut Mesh,
    host: usize,
    from: NodeId,
    message: DistributionMessage,
) -> Vec<DistributionMessage> {
    mesh.with_process(host, |process, cx| {
        process.distribution.step(cx, &process.membership, from, message);
        let sent = cx.effects.iter().filter_map(|effect| match effect {
            Effect::Send { to, message: PeerMessage::Distribution(message) } => {
                (*to == from).then(|| message.clone())
            }
            _ => None,
        });
        sent.collect()
    })
}

fn subscription() -> DistributionMessage {
    DistributionMessage::Report(Report {
        version: Version(1),
        is_root: true,
        status_request: Some(1),
        is_awaiting_control: false,
        holders: Holders::default(),
    })
}

// Guards against a host that returns again and again to the first process that answers its
// question, although that one has as many children as it takes.
#[rstest]
fn process_without_a_place_for_a_child_is_not_taken_as_parent() {
    let (mut mesh, _) = mesh_with_first(&two_regions(2), 1);
    let parent = mesh.controls()[0];
    let child_id = |child: usize| NodeId::of_host(&name(&format!("child-{child}")));
    for child in 0..MAX_CHILDREN {
        responses(&mut mesh, parent, child_id(child), subscription());
    }
    let (known, late) = (child_id(1), child_id(MAX_CHILDREN));
    let request = DistributionMessage::StatusRequest;

    let to_known = responses(&mut mesh, parent, known, request.clone());
    let to_late = responses(&mut mesh, parent, late, request);
    let to_subscription = responses(&mut mesh, parent, late, subscription());

    assert!(matches!(to_known[..], [DistributionMessage::Status(_)]), "{to_known:?}");
    assert!(matches!(to_late[..], [DistributionMessage::Busy { .. }]), "{to_late:?}");
    assert!(matches!(to_subscription[..], [DistributionMessage::Busy { .. }]));
}

// Guards against a host that waits for a parent that has refused it.
#[rstest]
fn host_searches_for_another_parent_if_this_one_has_no_place() {
    let (mut mesh, _) = mesh_with_first(&two_regions(5), 1);
    let host = shuffled_proxies(&mesh, &mut SmallRng::seed_from_u64(1))[0];
    let parent = mesh.process(host).distribution.parent().expect("a parent");

    let questions = mesh.with_process(host, |process, cx| {
        let busy = DistributionMessage::Busy { retry_after_ms: 100 };
        process.distribution.step(cx, &process.membership, parent, busy);
        let is_question = |effect: &&Effect| {
            matches!(
                effect,
                Effect::Send {
                    message: PeerMessage::Distribution(DistributionMessage::StatusRequest),
                    ..
                }
            )
        };
        cx.effects.iter().filter(is_question).count()
    });

    assert!(questions > 0, "no other candidate was asked");
}

// Guards against a contact with a control replica that looks newer than it is: a late answer to an
// earlier request, or to an earlier start, is taken for the answer to the last request.
#[rstest]
fn answer_to_another_request_dates_no_contact(#[values(None, Some(7))] request: Option<u32>) {
    let (mut mesh, _) = mesh_with_first(&two_regions(4), 1);
    let host = shuffled_proxies(&mesh, &mut SmallRng::seed_from_u64(1))[0];
    let others = mesh.hosts_except(&[host]);
    mesh.set_cut(&[host], &others, true);
    mesh.run_ms(2 * CUT_OFF_FROM_CONTROL_AFTER_MS);
    let parent = mesh.process(host).distribution.parent().expect("a parent");

    mesh.with_process(host, |process, cx| {
        let status = DistributionMessage::Status(Status {
            request,
            version: Version(1),
            newest_known: Version(1),
            control_age_ms: Some(0),
            held_ms: 0,
            is_standby: false,
            lacks_source: false,
        });
        process.distribution.step(cx, &process.membership, parent, status);
    });

    let now = Instant::from_us(mesh.now_us);
    assert!(mesh.process(host).distribution.cut_off_since(now, false).is_some());
}
