//! Updates that do not fit what the receiver holds, or whose content is not what they name.

use fireflylug_core::distribution::{DistributionMessage, Update};
use fireflylug_core::ids::Version;
use rstest::rstest;

use crate::mesh::Mesh;
use crate::mesh::fixtures::{configuration, two_regions};
use crate::{all_hold, mesh_with_first, version_of};

/// Host that receives the updates.
const RECEIVER: usize = 2;

/// Delivers an update to the receiver, as if another host had sent it.
fn deliver(mesh: &mut Mesh, update: Update) {
    let sender = mesh.identity(1).id;
    mesh.with_process(RECEIVER, |process, cx| {
        let message = DistributionMessage::Update(update);
        process.distribution.step(cx, &process.membership, sender, message);
    });
}

#[rstest]
fn delta_whose_base_is_missing_is_not_applied_and_a_fitting_one_is_fetched() {
    let (mut mesh, versions) = mesh_with_first(&two_regions(4), 6);
    mesh.publish(&versions[1]);
    mesh.run_until("all hold the version", 5, |mesh| all_hold(mesh, 2));
    let last = &versions[9];
    let update = Update {
        base: Some(Version(9)),
        version: last.version(),
        hash: last.hash(),
        body: vec![0],
    };

    deliver(&mut mesh, update);

    assert_eq!(version_of(&mesh, RECEIVER), 2);
    mesh.publish(last);
    mesh.run_until("all hold the last version", 5, |mesh| all_hold(mesh, 10));
}

#[rstest]
#[case::garbage(vec![1, 2, 3])]
#[case::empty_delta(vec![0x4b, 0x4c, 0x03, 0x00])]
fn update_with_another_hash_is_not_applied(#[case] body: Vec<u8>) {
    let (mut mesh, versions) = mesh_with_first(&two_regions(2), 7);
    let last = &versions[9];
    let update =
        Update { base: Some(Version(1)), version: last.version(), hash: last.hash(), body };

    deliver(&mut mesh, update);
    mesh.run_ms(500);

    assert_eq!(version_of(&mesh, RECEIVER), 1);
}

#[rstest]
fn update_in_form_whose_hash_is_of_other_content_is_not_applied() {
    let (mut mesh, versions) = mesh_with_first(&two_regions(2), 7);
    let update = Update { hash: versions[8].hash(), ..Update::snapshot(&versions[9]) };

    deliver(&mut mesh, update);
    mesh.run_ms(500);

    assert_eq!(version_of(&mesh, RECEIVER), 1);
}

#[rstest]
fn versions_with_one_number_and_two_contents_are_not_mixed() {
    let (mut mesh, _) = mesh_with_first(&two_regions(2), 14);
    let first = configuration(2, &[("one".into(), 2)]);
    let second = configuration(2, &[("two".into(), 2)]);

    mesh.publish_at(0, &first);
    mesh.run_until("all hold the first content", 5, |mesh| all_hold(mesh, 2));
    mesh.publish_at(mesh.controls()[1], &second);
    mesh.run_ms(2_000);

    assert!(mesh.running().all(|(_, p)| p.distribution.current().hash() == first.hash()));
}
