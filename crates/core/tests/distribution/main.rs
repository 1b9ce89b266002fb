//! Distribution of versions under failures: spread, progress, relay crashes, cuts and restarts.

#[path = "../mesh/mod.rs"]
mod mesh;
mod parents;
mod random_failures;
mod restarts;
mod silence;
mod splits;
mod updates;

use std::sync::Arc;

use fireflylug_core::config::Configuration;
use fireflylug_core::distribution::{
    DistributionMessage, HeldVersion, Holders, Update, ZoneReport,
};
use fireflylug_core::ids::Version;
use mesh::fixtures::{Zone, name, two_regions, versions, zone};
use mesh::{Faults, Mesh};
use rstest::rstest;

fn all_hold(mesh: &Mesh, version: u64) -> bool {
    mesh.running().all(|(_, process)| process.version() >= version)
}

fn all_ready(mesh: &Mesh) -> bool {
    mesh.running().all(|(_, process)| process.distribution.is_ready())
}

/// Control replicas whose progress shows `version` in force everywhere.
fn replicas_reporting_in_force(mesh: &Mesh, version: u64) -> Vec<usize> {
    let running = mesh.running().filter(|(_, process)| {
        process
            .progress
            .as_ref()
            .is_some_and(|progress| progress.version.0 >= version && progress.is_in_force())
    });
    running.map(|(host, _)| host).collect()
}

fn all_report_in_force(mesh: &Mesh, version: u64) -> bool {
    replicas_reporting_in_force(mesh, version).len() == mesh.controls().len()
}

/// A mesh whose hosts all hold the first of a series of versions.
fn mesh_with_first(zones: &[Zone], seed: u64) -> (Mesh, Vec<Arc<Configuration>>) {
    let mut mesh = Mesh::started(zones, seed);
    let versions = first_in_force(&mut mesh);
    (mesh, versions)
}

/// Brings the first of a series of versions into force, and returns the series.
fn first_in_force(mesh: &mut Mesh) -> Vec<Arc<Configuration>> {
    let versions = versions(600);
    mesh.publish(&versions[0]);
    mesh.run_until("the first version is in force", 30, |mesh| {
        all_hold(mesh, 1) && all_ready(mesh) && all_report_in_force(mesh, 1)
    });
    versions
}

#[rstest]
#[case::one_host(vec![zone("kochi", "kochi-aluva", 1, 1)], 1)]
#[case::users_size(two_regions(4), 2)]
#[case::deep_tree(two_regions(30), 3)]
fn version_reaches_everybody_and_all_replicas_say_so(#[case] zones: Vec<Zone>, #[case] seed: u64) {
    let (mut mesh, versions) = mesh_with_first(&zones, seed);

    mesh.publish(&versions[1]);

    let held_ms = mesh.run_until("held by all", 5, |mesh| all_hold(mesh, 2));
    let reported_ms = mesh.run_until("reported in force", 5, |mesh| all_report_in_force(mesh, 2));
    println!(
        "{} hosts: held after {held_ms} ms, reported in force {reported_ms} ms later",
        mesh.len()
    );
}

/// Checks at every millisecond that no replica reports a version as in force while a running
/// process serves an older one, and that no host returns to an older version.
fn run_and_check(mesh: &mut Mesh, ms: u64) {
    let mut previous: Vec<u64> = Vec::new();
    for _ in 0..ms {
        mesh.run_ms(1);
        let min_served = mesh.running().map(|(_, p)| ready_version(p)).min().unwrap_or(0);
        for version in 1..=600 {
            if version > min_served && !replicas_reporting_in_force(mesh, version).is_empty() {
                panic!("version {version} is reported in force, but a process serves {min_served}");
            }
            if version > min_served {
                break;
            }
        }
        let current: Vec<u64> = (0..mesh.len()).map(|host| version_of(mesh, host)).collect();
        for (host, version) in current.iter().enumerate() {
            let previous_version = previous.get(host).copied().unwrap_or(0);
            assert!(
                *version >= previous_version || *version == 0,
                "host {host} returned to an older version"
            );
        }
        previous = current;
    }
}

/// The version by which a process serves. The maximum if it is not ready and serves none.
fn ready_version(process: &mesh::Process) -> u64 {
    if process.distribution.is_ready() { process.version() } else { u64::MAX }
}

fn version_of(mesh: &Mesh, host: usize) -> u64 {
    mesh.running().find(|(running, _)| *running == host).map_or(0, |(_, p)| p.version())
}

#[rstest]
#[case(Faults::default(), 1)]
#[case(Faults { drop_percent: 10, duplicate_percent: 10, delay_us: 80_000 }, 2)]
#[case(Faults { drop_percent: 30, duplicate_percent: 30, delay_us: 300_000 }, 3)]
fn in_force_is_never_said_early(#[case] faults: Faults, #[case] seed: u64) {
    let (mut mesh, versions) = mesh_with_first(&two_regions(6), seed);
    mesh.faults = faults;

    for round in 1..6u64 {
        mesh.publish(&versions[round as usize]);
        run_and_check(&mut mesh, 150);
        let host = (round * 7) as usize % mesh.len();
        mesh.crash(host);
        run_and_check(&mut mesh, 60);
        mesh.start(host);
        run_and_check(&mut mesh, 400);
    }
    mesh.faults = Faults::default();

    mesh.run_until("reported in force after the faults", 40, |mesh| {
        all_hold(mesh, 6) && all_report_in_force(mesh, 6)
    });
}

#[rstest]
fn relay_that_dies_while_it_passes_a_version_on_is_replaced() {
    let (mut mesh, versions) = mesh_with_first(&two_regions(12), 4);
    let zone = mesh.zone_hosts("kzd-mavoor");
    let relay = mesh.process(0).membership.relay(&name("kzd-mavoor")).unwrap();
    let relay = mesh.host_of(relay);

    mesh.faults.delay_us = 200_000;
    mesh.publish(&versions[1]);
    mesh.run_until("the relay holds the version", 2, |mesh| version_of(mesh, relay) == 2);
    let holder_count = zone.iter().filter(|host| version_of(&mesh, **host) == 2).count();
    mesh.crash(relay);
    mesh.faults = Faults::default();

    assert!(holder_count < zone.len() / 2, "{holder_count} hosts hold the version already");
    let elapsed_ms = mesh.run_until("all hold the version", 3, |mesh| all_hold(mesh, 2));
    println!("{} hosts hold the version {elapsed_ms} ms after their relay crashed", zone.len());
    assert!(replicas_reporting_in_force(&mesh, 2).is_empty());
    mesh.start(relay);
    mesh.run_until("reported in force", 20, |mesh| all_report_in_force(mesh, 2));
}

#[rstest]
fn versions_that_cross_and_double_never_go_back() {
    let (mut mesh, versions) = mesh_with_first(&two_regions(6), 5);
    mesh.faults = Faults { drop_percent: 0, duplicate_percent: 50, delay_us: 200_000 };

    for version in &versions[1..40] {
        mesh.publish(version);
        run_and_check(&mut mesh, 20);
    }

    mesh.run_until("all hold the last version", 10, |mesh| all_hold(mesh, 40));
}

/// The set of processes that a forged report names as holders of a version.
#[derive(Clone, Copy, Debug)]
enum Forged {
    AllMembers,
    OneInEarlierIncarnation,
    OneDuplicatedInPlaceOfAnother,
    AllMembersWithDifferentMemberships,
}

#[rstest]
#[case(Forged::AllMembers, true)]
#[case(Forged::OneInEarlierIncarnation, false)]
#[case(Forged::OneDuplicatedInPlaceOfAnother, false)]
#[case(Forged::AllMembersWithDifferentMemberships, false)]
fn zone_is_complete_only_with_exactly_its_members(
    #[case] forged: Forged,
    #[case] is_complete: bool,
) {
    let (mut mesh, versions) = mesh_with_first(&two_regions(4), 18);
    let replica = mesh.controls()[0];
    let others = mesh.hosts_except(&[replica]);
    mesh.set_cut(&[replica], &others, true);
    mesh.publish_at(replica, &versions[1]);
    let zones = ["kochi-aluva", "kochi-ernakulam", "kzd-feroke", "kzd-mavoor"];
    let report = |zone: &&str| {
        let members = mesh.zone_hosts(zone).into_iter().map(|host| {
            let member = mesh.member_at(replica, host).unwrap();
            (member.id, member.incarnation)
        });
        let mut members: Vec<_> = members.collect();
        let all = Holders::of_members(members.iter().copied());
        match forged {
            Forged::AllMembers | Forged::AllMembersWithDifferentMemberships => {}
            Forged::OneInEarlierIncarnation => members[0].1 -= 1,
            Forged::OneDuplicatedInPlaceOfAnother => members[0] = members[1],
        }
        let holders = Holders::of_members(members.iter().copied());
        let membership_sum = match forged {
            Forged::AllMembersWithDifferentMemberships => 0,
            _ => all.membership_sum,
        };
        ZoneReport {
            availability_zone: name(zone),
            relay: members[2].0,
            version: Version(2),
            holders: Holders { membership_sum, ..holders },
        }
    };
    let reports: Vec<ZoneReport> = zones.iter().map(report).collect();
    let from = mesh.identity(1).id;

    mesh.with_process(replica, |process, cx| {
        let message = DistributionMessage::Zones(reports);
        process.distribution.step(cx, &process.membership, from, message);
    });
    mesh.run_ms(100);

    assert_eq!(replicas_reporting_in_force(&mesh, 2) == vec![replica], is_complete);
}

#[rstest]
#[case::acknowledged_by_the_restarted_process(HeldVersion { version: Version(1), hash: Default::default(), acknowledged_version: Some(Version(2)), is_ready: true })]
#[case::held_by_a_neighbour(HeldVersion { version: Version(2), hash: Default::default(), acknowledged_version: None, is_ready: true })]
fn process_is_ready_at_the_reported_version_and_not_below(#[case] received: HeldVersion) {
    let mut mesh = Mesh::started(&two_regions(2), 19);
    let versions = versions(2);
    let (restarted, neighbour) = (1, mesh.identity(0).id);
    let deliver = |mesh: &mut Mesh, message| {
        mesh.with_process(restarted, |process, cx| {
            process.distribution.step(cx, &process.membership, neighbour, message);
        });
        mesh.run_ms(5_000);
    };

    deliver(&mut mesh, DistributionMessage::HeldVersion(received));
    deliver(&mut mesh, DistributionMessage::Update(Update::snapshot(&versions[0])));
    let is_ready_below = mesh.process(restarted).distribution.is_ready();
    deliver(&mut mesh, DistributionMessage::Update(Update::snapshot(&versions[1])));

    assert!(!is_ready_below);
    assert!(mesh.process(restarted).distribution.is_ready());
}

#[rstest]
fn cut_off_zone_is_reported_and_never_returns_to_an_older_version() {
    let (mut mesh, versions) = mesh_with_first(&two_regions(5), 8);
    let zone = mesh.zone_hosts("kzd-mavoor");
    let others = mesh.hosts_except(&zone);

    mesh.set_cut(&zone, &others, true);
    mesh.publish(&versions[1]);
    run_and_check(&mut mesh, 25_000);
    let progress = mesh.process(mesh.controls()[0]).progress.clone().unwrap();
    let kzd_mavoor =
        progress.zones.iter().find(|z| z.availability_zone == name("kzd-mavoor")).unwrap();
    let cut_off_since = zone.iter().map(|host| {
        let now = fireflylug_core::Instant::from_us(mesh.now_us);
        mesh.process(*host).distribution.cut_off_since(now, false)
    });

    assert!(
        kzd_mavoor.cut_off
            && kzd_mavoor.in_force == 0
            && kzd_mavoor.unreachable.len() == zone.len(),
        "{kzd_mavoor:?}"
    );
    assert!(cut_off_since.into_iter().all(|since| since.is_some()));
    assert!(zone.iter().all(|host| version_of(&mesh, *host) == 1));
    mesh.set_cut(&zone, &others, false);
    run_and_check(&mut mesh, 5_000);
    mesh.run_until("all hold the version", 15, |mesh| all_hold(mesh, 2));
    mesh.run_until("reported in force", 15, |mesh| all_report_in_force(mesh, 2));
}

#[rstest]
fn host_that_joins_while_a_version_spreads_is_waited_for() {
    let zones = two_regions(6);
    let mut mesh = Mesh::new(&zones, 12);
    let joining = *mesh.zone_hosts("kzd-mavoor").last().unwrap();
    mesh.hosts_except(&[joining]).into_iter().for_each(|host| mesh.start(host));
    let versions = versions(3);
    mesh.run_ms(5_000);
    mesh.publish(&versions[0]);
    mesh.run_until("in force", 20, |mesh| all_hold(mesh, 1) && all_report_in_force(mesh, 1));

    for step_ms in [0, 5, 20, 60, 200] {
        mesh.start(joining);
        mesh.run_ms(step_ms);
        mesh.publish(&versions[1]);
        run_and_check(&mut mesh, 1_500);
        mesh.run_until("reported in force", 20, |mesh| {
            all_hold(mesh, 2) && all_report_in_force(mesh, 2)
        });
        mesh.crash(joining);
        mesh.run_ms(20);
    }
}

#[rstest]
fn replica_that_was_restarted_says_nothing_before_it_knows_the_others() {
    let (mut mesh, versions) = mesh_with_first(&two_regions(6), 13);
    let cut = mesh.zone_hosts("kzd-mavoor");
    let others = mesh.hosts_except(&cut);
    mesh.set_cut(&cut, &others, true);
    mesh.publish(&versions[1]);
    mesh.run_ms(10_000);
    let replica = mesh.controls()[1];
    mesh.crash(replica);

    mesh.start(replica);
    mesh.publish_at(replica, &versions[1]);

    run_and_check(&mut mesh, 10_000);
    assert!(replicas_reporting_in_force(&mesh, 2).is_empty());
}

#[rstest]
#[case::users_size(4, 16)]
#[case::larger(12, 17)]
fn zones_whose_replica_lags_get_the_version_from_others(#[case] hosts: usize, #[case] seed: u64) {
    let (mut mesh, versions) = mesh_with_first(&two_regions(hosts), seed);

    mesh.publish_at(0, &versions[1]);

    let elapsed_ms = mesh.run_until("all hold the version", 5, |mesh| all_hold(mesh, 2));
    println!("all hold the version {elapsed_ms} ms after one replica did");
}
