//! Membership under failures: joining, leases, graceful stops, suspicion and
//! partitions.

mod mesh;

use fireflylug_core::ids::TargetId;
use fireflylug_core::membership::{
    AnnouncementOrder, MemberStatus, TargetAnnouncement, TargetState,
};
use mesh::fixtures::{name, two_regions};
use mesh::{Faults, Mesh};
use rstest::rstest;

fn target(id: &str) -> TargetId {
    TargetId { service: name("seatdesk"), id: name(id) }
}

fn has_state_everywhere(mesh: &Mesh, target: &TargetId, state: TargetState) -> bool {
    mesh.running().all(|(host, _)| mesh.target_state(host, target) == Some(state))
}

fn has_status_everywhere(mesh: &Mesh, other: usize, status: MemberStatus) -> bool {
    let others = mesh.running().filter(|(host, _)| *host != other);
    let mut statuses = others.map(|(host, _)| mesh.member_at(host, other).map(|m| m.status));
    statuses.all(|recorded| recorded == Some(status))
}

#[rstest]
#[case::few(1, 1)]
#[case::users_size(4, 2)]
#[case::several_ring_distances(20, 3)]
fn all_hosts_discover_each_other(#[case] hosts: usize, #[case] seed: u64) {
    let mesh = Mesh::started(&two_regions(hosts), seed);

    assert!(mesh.running().all(|(_, process)| mesh.alive_at(process) == 4 * hosts));
}

#[rstest]
#[case::quiet(Faults::default(), 1)]
#[case::lossy(Faults { drop_percent: 5, duplicate_percent: 5, delay_us: 20_000 }, 2)]
fn leaving_target_is_gone_everywhere_within_3_s(#[case] faults: Faults, #[case] seed: u64) {
    let mut mesh = Mesh::started(&two_regions(6), seed);
    let target = target("one");
    mesh.announce(7, &target, 60_000);
    mesh.run_until("the target is known", 10, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
    mesh.faults = faults;

    mesh.with_process(7, |process, cx| process.membership.remove_own_target(cx, &target));

    mesh.run_until("the target is gone", 3, |m| {
        has_state_everywhere(m, &target, TargetState::Gone)
    });
}

#[rstest]
fn lapsed_lease_is_gone_everywhere_within_3_s() {
    let mut mesh = Mesh::started(&two_regions(6), 3);
    let target = target("one");
    mesh.announce(7, &target, 2_000);
    mesh.run_until("the target is known", 2, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });

    mesh.run_ms(2_000);

    mesh.run_until("the target is gone", 1, |m| {
        has_state_everywhere(m, &target, TargetState::Gone)
    });
}

#[rstest]
fn targets_of_a_crashed_host_are_gone_everywhere() {
    let mut mesh = Mesh::started(&two_regions(6), 4);
    let target = target("one");
    mesh.announce(7, &target, 60_000);
    mesh.run_until("the target is known", 10, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });

    mesh.crash(7);

    mesh.run_until("the target is gone", 3, |m| {
        has_state_everywhere(m, &target, TargetState::Gone)
    });
    assert!(has_status_everywhere(&mesh, 7, MemberStatus::Dead));
}

#[rstest]
fn restarted_host_is_alive_again_and_its_old_target_is_gone() {
    let mut mesh = Mesh::started(&two_regions(6), 5);
    let target = target("one");
    mesh.announce(7, &target, 60_000);
    mesh.run_until("the target is known", 10, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });

    mesh.crash(7);
    mesh.run_ms(50);
    mesh.start(7);

    mesh.run_until("the old target is gone", 3, |m| {
        m.running().all(|(host, _)| m.target_state(host, &target) != Some(TargetState::Ready))
    });
    mesh.run_until("the host is alive", 5, |m| has_status_everywhere(m, 7, MemberStatus::Alive));
    mesh.announce(7, &target, 60_000);
    mesh.run_until("the target is ready again", 3, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
}

#[rstest]
fn stopping_host_leaves_everywhere_and_is_no_suspect() {
    let mut mesh = Mesh::started(&two_regions(6), 6);

    mesh.with_process(7, |process, cx| process.membership.begin_graceful_stop(cx));
    mesh.run_until("the host is leaving", 1, |m| {
        has_status_everywhere(m, 7, MemberStatus::Leaving)
    });
    mesh.with_process(7, |process, cx| process.membership.finish_graceful_stop(cx));
    mesh.run_ms(200);
    mesh.crash(7);

    mesh.run_until("the host has left", 1, |m| has_status_everywhere(m, 7, MemberStatus::Left));
    mesh.run_ms(70_000);
    assert!(mesh.running().all(|(host, _)| mesh.member_at(host, 7).is_none()));
}

#[rstest]
fn suspicion_of_a_live_host_is_refuted() {
    let mut mesh = Mesh::started(&two_regions(6), 7);
    let zone = mesh.zone_hosts("kochi-ernakulam");
    let (suspect, neighbour) = (zone[2], zone[3]);
    let incarnation_before = mesh.member_at(neighbour, suspect).unwrap().incarnation;

    mesh.set_cut(&[suspect], &[neighbour], true);
    mesh.run_ms(4_000);
    mesh.set_cut(&[suspect], &[neighbour], false);

    mesh.run_until("the suspicion is refuted", 5, |m| {
        has_status_everywhere(m, suspect, MemberStatus::Alive)
    });
    assert!(
        mesh.running().all(|(host, _)| {
            mesh.member_at(host, suspect).unwrap().status != MemberStatus::Dead
        })
    );
    assert!(mesh.member_at(neighbour, suspect).unwrap().incarnation >= incarnation_before);
}

#[rstest]
fn isolated_host_suspects_no_host_when_it_returns(#[values(8, 21, 22, 23, 24, 25)] seed: u64) {
    let mut mesh = Mesh::started(&two_regions(6), seed);
    let isolated = 9;
    let others = mesh.hosts_except(&[isolated]);
    let incarnations_before: Vec<u64> =
        others.iter().map(|h| mesh.member_at(0, *h).unwrap().incarnation).collect();

    mesh.set_cut(&[isolated], &others, true);
    mesh.run_ms(30_000);
    let is_declared_dead = has_status_everywhere(&mesh, isolated, MemberStatus::Dead);
    mesh.set_cut(&[isolated], &others, false);

    assert!(is_declared_dead);
    mesh.run_until("all hosts are alive again", 15, Mesh::is_joined);
    let incarnations_after: Vec<u64> =
        others.iter().map(|h| mesh.member_at(0, *h).unwrap().incarnation).collect();
    assert_eq!(incarnations_before, incarnations_after);
}

#[rstest]
fn zone_cut_off_is_suspect_elsewhere_and_returns_without_a_refutation() {
    let mut mesh = Mesh::started(&two_regions(5), 9);
    let zone = mesh.zone_hosts("kzd-mavoor");
    let others = mesh.hosts_except(&zone);
    let target = target("one");
    mesh.announce(zone[1], &target, 60_000);
    mesh.run_until("the target is known", 10, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
    let incarnation = mesh.member_at(0, zone[1]).unwrap().incarnation;

    mesh.set_cut(&zone, &others, true);
    mesh.run_until("the zone is cut off", 15, |m| {
        others.iter().all(|host| {
            zone.iter().all(|cut| m.member_at(*host, *cut).unwrap().status == MemberStatus::Suspect)
        })
    });
    mesh.announce(zone[1], &target, 60_000);
    mesh.run_ms(40_000);
    mesh.announce(zone[1], &target, 60_000);
    let is_held_in_zone = zone.iter().all(|host| mesh.target_state(*host, &target).is_some());
    mesh.set_cut(&zone, &others, false);

    assert!(is_held_in_zone);
    mesh.run_until("the partition is healed", 15, Mesh::is_joined);
    assert_eq!(mesh.member_at(0, zone[1]).unwrap().incarnation, incarnation);
    assert!(has_state_everywhere(&mesh, &target, TargetState::Ready));
}

#[rstest]
fn records_that_were_missed_are_found_by_digests() {
    let mut mesh = Mesh::started(&two_regions(6), 10);
    let target = target("one");
    mesh.faults = Faults { drop_percent: 60, ..Faults::default() };
    mesh.announce(7, &target, 60_000);
    mesh.run_ms(2_000);
    mesh.faults = Faults::default();

    mesh.run_until("all records have arrived", 30, |m| {
        let all = m.is_joined();
        all && has_state_everywhere(m, &target, TargetState::Ready)
    });
}

#[rstest]
fn half_of_the_hosts_restarted_at_once_are_all_back() {
    let mut mesh = Mesh::started(&two_regions(10), 11);
    let half: Vec<usize> = (0..mesh.len()).filter(|host| host % 2 == 1).collect();

    half.iter().for_each(|host| mesh.crash(*host));
    mesh.run_ms(100);
    half.iter().for_each(|host| mesh.start(*host));

    let elapsed_ms = mesh.run_until("all hosts are alive again", 5, Mesh::is_joined);
    println!("all hosts alive again after {elapsed_ms} ms");
}

#[rstest]
#[case::one_survivor(1)]
#[case::two_survivors(2)]
fn survivors_of_a_zone_declare_the_others_dead(#[case] survivors: usize) {
    let mut mesh = Mesh::started(&two_regions(5), 12);
    let zone = mesh.zone_hosts("kzd-feroke");

    zone[survivors..].iter().for_each(|host| mesh.crash(*host));

    mesh.run_until("the crashed hosts are dead", 15, |m| {
        zone[survivors..].iter().all(|host| has_status_everywhere(m, *host, MemberStatus::Dead))
    });
}

#[rstest]
fn host_that_missed_the_end_of_a_partition_detects_it_later(#[values(13, 14, 15)] seed: u64) {
    let mut mesh = Mesh::started(&two_regions(5), seed);
    let zone = mesh.zone_hosts("kzd-mavoor");
    let others = mesh.hosts_except(&zone);
    mesh.set_cut(&zone, &others, true);
    mesh.run_ms(20_000);

    mesh.set_cut(&zone, &others, false);
    mesh.faults = Faults { drop_percent: 60, ..Faults::default() };
    mesh.run_ms(4_000);
    mesh.faults = Faults::default();

    mesh.run_until("the partition is healed", 20, Mesh::is_joined);
}

/// A running host dials changed seeds at once, not only at its next periodic dial.
/// Guards against a host that stays isolated because all its old seeds are dead.
#[rstest]
fn new_seeds_are_dialed_by_a_host_that_runs() {
    let mut mesh = Mesh::started(&two_regions(4), 12);
    let seeds = vec![mesh.identity(1).addresses.peers];

    let is_dial_due = mesh.with_process(5, |process, cx| {
        process.membership.set_seeds(cx, seeds.clone());
        process.membership.next_deadline() <= cx.now
    });

    assert!(is_dial_due, "the new seeds are due at once");
}

/// Host whose target departs.
const OWNER: usize = 7;

/// Start of the run that departs.
const RUN: u64 = 1_000;

fn announcement(
    mesh: &Mesh,
    id: &str,
    started_unix_ms: u64,
    sequence: u64,
    draining: bool,
) -> TargetAnnouncement {
    TargetAnnouncement {
        target: target(id),
        address: mesh.identity(OWNER).addresses.calls,
        slots: 4,
        connections: 4,
        lease_ms: 4_000,
        load_percent: None,
        draining,
        cold_ms: 0,
        order: Some(AnnouncementOrder { started_unix_ms, sequence }),
    }
}

fn announce(mesh: &mut Mesh, announcement: TargetAnnouncement) {
    mesh.with_process(OWNER, |process, cx| process.membership.announce_target(cx, announcement));
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Departure {
    Left,
    Leaving,
    LeavingAndLeaseOver,
    Draining,
    Replaced,
}

fn depart(mesh: &mut Mesh, departure: Departure) {
    let target = target("one");
    match departure {
        Departure::Left => {
            mesh.with_process(OWNER, |p, cx| p.membership.remove_own_target(cx, &target));
        }
        Departure::Leaving | Departure::LeavingAndLeaseOver => {
            mesh.with_process(OWNER, |p, cx| p.membership.drain_own_target(cx, &target));
        }
        Departure::Draining => {
            let draining = announcement(mesh, "one", RUN, 9, true);
            announce(mesh, draining);
        }
        Departure::Replaced => {
            let other = announcement(mesh, "two", RUN + 500, 1, false);
            announce(mesh, other);
        }
    }
    mesh.run_until("the target gets no calls", 3, |mesh| {
        mesh.running().all(|(host, _)| mesh.target_state(host, &target) != Some(TargetState::Ready))
    });
    if departure == Departure::LeavingAndLeaseOver {
        mesh.run_ms(5_000);
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Restart {
    None,
    HeardAfterJoining,
    HeardAtOnce,
}

// Guards against an announcement that arrives after its target departed and brings it back: for the
// owner that heard the departure, and for its next run, before and after it has joined the others.
#[rstest]
fn a_late_announcement_does_not_bring_a_departed_target_back(
    #[values(
        Departure::Left,
        Departure::Leaving,
        Departure::LeavingAndLeaseOver,
        Departure::Draining,
        Departure::Replaced
    )]
    departure: Departure,
    #[values(Restart::None, Restart::HeardAfterJoining, Restart::HeardAtOnce)] restart: Restart,
) {
    let mut mesh = Mesh::started(&two_regions(6), 31);
    let target = target("one");
    let first = announcement(&mesh, "one", RUN, 1, false);
    announce(&mut mesh, first);
    mesh.run_until("the target is known", 10, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
    depart(&mut mesh, departure);
    if restart != Restart::None {
        mesh.crash(OWNER);
        mesh.run_ms(50);
        mesh.start(OWNER);
    }
    if restart == Restart::HeardAfterJoining {
        mesh.run_until("the host is alive", 5, |m| {
            has_status_everywhere(m, OWNER, MemberStatus::Alive)
        });
    }

    // All announcements before the one that says `draining` have lower numbers.
    let late = announcement(&mesh, "one", RUN, 8, false);
    announce(&mut mesh, late);
    let settle_ms = if restart == Restart::HeardAtOnce { 1_500 } else { 0 };
    mesh.run_ms(settle_ms);
    for _ in 0..40 {
        let is_used = mesh
            .running()
            .any(|(host, _)| mesh.target_state(host, &target) == Some(TargetState::Ready));
        assert!(!is_used, "the departed target is back");
        mesh.run_ms(100);
    }

    let new_run = announcement(&mesh, "one", RUN + 1_000, 1, false);
    announce(&mut mesh, new_run);
    mesh.run_until("the new run of the target is known", 3, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
}

// Guards against a record that names an earlier run, whose departure then doesn't count for this one.
#[rstest]
fn a_departure_counts_for_the_run_that_replaced_an_earlier_one_unnoticed() {
    let mut mesh = Mesh::started(&two_regions(6), 34);
    let target = target("one");
    for started_unix_ms in [RUN, RUN + 10] {
        let first = announcement(&mesh, "one", started_unix_ms, 1, false);
        announce(&mut mesh, first);
        mesh.run_ms(500);
    }
    depart(&mut mesh, Departure::Left);
    mesh.crash(OWNER);
    mesh.run_ms(50);
    mesh.start(OWNER);
    mesh.run_until("the host is alive", 5, |m| {
        has_status_everywhere(m, OWNER, MemberStatus::Alive)
    });

    let late = announcement(&mesh, "one", RUN + 10, 8, false);
    announce(&mut mesh, late);
    mesh.run_ms(3_000);

    assert!(
        mesh.running()
            .all(|(host, _)| { mesh.target_state(host, &target) != Some(TargetState::Ready) })
    );
}

// Guards against a departure that the owner acknowledges after a restart, of a target of which it has
// heard nothing since, and then forgets.
#[rstest]
fn a_departure_after_a_restart_of_the_owner_holds() {
    let mut mesh = Mesh::started(&two_regions(6), 32);
    let target = target("one");
    let first = announcement(&mesh, "one", RUN, 1, false);
    announce(&mut mesh, first);
    mesh.run_until("the target is known", 10, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
    mesh.crash(OWNER);
    mesh.run_ms(50);
    mesh.start(OWNER);

    mesh.with_process(OWNER, |p, cx| p.membership.record_unknown_departure(cx, &name("one")));
    let late = announcement(&mesh, "one", RUN, 8, false);
    announce(&mut mesh, late);
    mesh.run_until("the host is alive", 5, |m| {
        has_status_everywhere(m, OWNER, MemberStatus::Alive)
    });
    mesh.run_ms(3_000);

    assert!(
        mesh.running()
            .all(|(host, _)| { mesh.target_state(host, &target) != Some(TargetState::Ready) })
    );
    let started_unix_ms = mesh.identity(OWNER).started_unix_ms + 60_000;
    let new_run = announcement(&mesh, "one", started_unix_ms, 1, false);
    announce(&mut mesh, new_run);
    mesh.run_until("the new run of the target is known", 3, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
}

// Guards against an announcement of an earlier run, at the address that the target had then, which
// takes the lease from the run that holds it.
#[rstest]
fn an_announcement_of_an_earlier_run_at_another_address_is_ignored() {
    let mut mesh = Mesh::started(&two_regions(6), 33);
    let target = target("one");
    let later = announcement(&mesh, "one", RUN + 1_000, 1, false);
    let mut earlier = announcement(&mesh, "one", RUN, 8, true);
    earlier.address.set_port(1);
    announce(&mut mesh, later);

    announce(&mut mesh, earlier);

    mesh.run_until("the target is known", 3, |m| {
        has_state_everywhere(m, &target, TargetState::Ready)
    });
}
