//! Storages that are blank, damaged, older copies or failed.

use fireflylug_core::consensus::{ChangeOutcome, ControlRole, Voter};

use crate::cluster::Cluster;
use crate::fixtures::{
    cluster_with_leader, followers, is_accepted, propose, put_service, service_key, wait_for_leader,
};

#[test]
fn blank_voter_does_not_vote_and_a_second_loss_loses_nothing() {
    let (mut cluster, leader) = cluster_with_leader(3, 7);
    let [repaired, lost] = followers(3, leader)[..] else { panic!("three replicas") };
    // The change is on the leader and on the voter whose storage is wiped next.
    cluster.isolate(lost);
    let outcome = propose(&mut cluster, leader, "seatdesk");
    cluster.crash(repaired);
    cluster.wipe(repaired);
    cluster.crash(leader);
    cluster.heal();
    cluster.start(repaired);

    // Without the leader, only replicas that lack the change are running.
    cluster.run_for(3_000);
    let leader_without = cluster.leader();
    cluster.start(leader);
    cluster.run_for(3_000);

    assert!(is_accepted(&outcome));
    assert_eq!(leader_without, None);
    for node in 0..3 {
        assert!(cluster.configuration(node).get(&service_key("seatdesk")).is_some());
        assert!(cluster.is_voting(node), "replica {node} is not admitted as a voter again");
    }
}

#[test]
fn repaired_voter_counts_once_it_is_let_in() {
    let (mut cluster, leader) = cluster_with_leader(3, 8);
    let [repaired, lost] = followers(3, leader)[..] else { panic!("three replicas") };
    propose(&mut cluster, leader, "seatdesk");
    cluster.crash(repaired);
    cluster.wipe(repaired);
    cluster.start(repaired);
    cluster.run_until(5_000, |cluster| cluster.is_voting(repaired));

    cluster.crash(lost);
    let leader = wait_for_leader(&mut cluster, None);
    let outcome = propose(&mut cluster, leader, "bookbook");

    assert!(is_accepted(&outcome));
    assert!(cluster.configuration(repaired).get(&service_key("seatdesk")).is_some());
}

#[test]
fn older_copy_of_a_disk_does_not_count_until_it_is_let_in() {
    let (mut cluster, leader) = cluster_with_leader(3, 13);
    let [restored, lost] = followers(3, leader)[..] else { panic!("three replicas") };
    let copy = cluster.nodes[restored].disk.clone();
    let old_id = copy.id;
    cluster.isolate(lost);
    let outcome = propose(&mut cluster, leader, "seatdesk");
    cluster.run_for(1_500);
    cluster.crash(restored);
    cluster.swap_disk(restored, copy);

    cluster.start(restored);
    cluster.run_for(1_000);
    let new_id = cluster.nodes[restored].disk.id;
    let is_counted = cluster.is_voting(restored);
    let leader_without = cluster.leader();
    cluster.heal();
    cluster.run_for(2_000);

    assert!(is_accepted(&outcome));
    assert_ne!(new_id, old_id);
    assert!(!is_counted);
    assert_eq!(leader_without, None);
    assert!(cluster.is_voting(restored));
}

#[test]
fn disk_whose_uncommitted_entries_were_dropped_is_no_older_copy() {
    let (mut cluster, leader) = cluster_with_leader(5, 18);
    let [minority_follower, others @ ..] = &followers(5, leader)[..] else {
        panic!("five replicas")
    };
    // Entries of the leader are acknowledged by one follower only.
    for other in others {
        for side in [leader, *minority_follower] {
            cluster.blocked_links.extend([(side, *other), (*other, side)]);
        }
    }
    for entry in 0..10 {
        cluster.propose(leader, put_service(&format!("dropped-{entry}")));
    }
    cluster.run_for(300);
    wait_for_leader(&mut cluster, Some(leader));
    cluster.heal();
    cluster.run_for(1_000);
    // The follower only reaches replicas that have recorded its acknowledgements.
    for other in &others[1..] {
        cluster.blocked_links.extend([(*minority_follower, *other), (*other, *minority_follower)]);
    }

    cluster.crash(*minority_follower);
    cluster.start(*minority_follower);
    cluster.run_for(1_000);
    cluster.heal();
    cluster.run_for(1_000);

    assert_eq!(cluster.resets, 0);
    assert!(cluster.is_voting(*minority_follower));
}

#[test]
fn disk_of_another_host_is_started_from_nothing() {
    let (mut cluster, leader) = cluster_with_leader(3, 14);
    let [swapped, other] = followers(3, leader)[..] else { panic!("three replicas") };
    propose(&mut cluster, leader, "seatdesk");
    cluster.crash(swapped);
    let foreign = cluster.nodes[other].disk.clone();
    cluster.swap_disk(swapped, foreign);

    cluster.start(swapped);
    cluster.run_for(2_000);

    assert_ne!(cluster.nodes[swapped].disk.id, cluster.nodes[other].disk.id);
    assert!(cluster.is_voting(swapped));
    assert_eq!(cluster.configuration(swapped), cluster.configuration(leader));
}

#[test]
fn failed_sync_silences_the_replica() {
    let (mut cluster, leader) = cluster_with_leader(3, 9);
    cluster.nodes[leader].disk_fails = true;
    let failed = cluster.propose(leader, put_service("seatdesk"));
    cluster.run_for(3_000);

    let role = cluster.status(leader).expect("it runs").role;
    let next = wait_for_leader(&mut cluster, Some(leader));
    let outcome = propose(&mut cluster, next, "bookbook");

    assert_eq!(role, ControlRole::Failed);
    assert_eq!(cluster.outcomes[&failed], ChangeOutcome::Unknown);
    assert!(is_accepted(&outcome));
}

#[test]
fn storage_that_was_replaced_cannot_vote_an_accepted_change_away() {
    let (mut cluster, leader) = cluster_with_leader(3, 16);
    let [repaired, behind] = followers(3, leader)[..] else { panic!("three replicas") };
    let old_disk = cluster.nodes[repaired].disk.clone();
    cluster.crash(repaired);
    cluster.wipe(repaired);
    cluster.isolate(behind);
    cluster.start(repaired);
    // The leader can only commit with the new storage if the new voter set alone counts.
    cluster.run_for(400);
    let origin = cluster.propose(leader, put_service("seatdesk"));
    cluster.run_for(200);
    cluster.crash(leader);
    cluster.crash(repaired);
    cluster.swap_disk(repaired, old_disk);
    cluster.heal();
    cluster.start(repaired);

    let next = wait_for_leader(&mut cluster, None);
    propose(&mut cluster, next, "bookbook");
    cluster.start(leader);
    cluster.run_for(3_000);

    let is_stored = cluster.configuration(next).get(&service_key("seatdesk")).is_some();
    let outcome = cluster.outcomes.get(&origin);
    assert!(is_stored || !outcome.is_some_and(is_accepted), "{outcome:?}");
    for node in 0..3 {
        assert_eq!(cluster.configuration(node), cluster.configuration(next));
    }
}

#[test]
fn replica_whose_disk_failed_takes_part_again_once_it_works() {
    let (mut cluster, leader) = cluster_with_leader(3, 41);
    let failing = followers(3, leader)[0];
    let other = followers(3, leader)[1];
    cluster.nodes[failing].disk_fails = true;
    assert!(is_accepted(&propose(&mut cluster, leader, "before")));
    cluster.run_for(500);
    let failed = cluster.status(failing).expect("it runs").role;

    cluster.reopen_disk(failing);
    cluster.run_for(1_500);
    cluster.isolate(other);
    let outcome = propose(&mut cluster, leader, "after");

    assert_eq!(failed, ControlRole::Failed);
    assert!(is_accepted(&outcome), "{outcome:?}");
    cluster.run_for(500);
    assert!(cluster.configuration(failing).get(&service_key("before")).is_some());
}

/// An operator may remove the next host once a wiped one reports that it is a voter. Its
/// vote only counts after the old voters have committed the entry that admits it.
#[test]
fn wiped_voter_says_that_it_votes_only_once_its_vote_counts() {
    let (mut cluster, leader) = cluster_with_leader(3, 44);
    let [wiped, other] = [followers(3, leader)[0], followers(3, leader)[1]];
    propose(&mut cluster, leader, "seatdesk");
    cluster.crash(wiped);
    cluster.wipe(wiped);
    cluster.isolate(other);
    let reports_vote = |cluster: &Cluster| {
        let voter = Voter { node: cluster.id(wiped), disk: cluster.nodes[wiped].disk.id };
        cluster.status(wiped).is_some_and(|status| match status.role {
            ControlRole::Follower => true,
            ControlRole::Leader => status.voters.contains(voter),
            _ => false,
        })
    };

    cluster.start(wiped);
    let reported_too_early = cluster.run_until(1_000, reports_vote);
    cluster.heal();
    let reported_eventually = cluster.run_until(5_000, reports_vote);
    cluster.isolate(other);
    let next = wait_for_leader(&mut cluster, Some(other));
    let outcome = propose(&mut cluster, next, "bookbook");

    assert!(!reported_too_early);
    assert!(reported_eventually);
    assert!(is_accepted(&outcome), "{outcome:?}");
}
