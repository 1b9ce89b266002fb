//! One test for each failure that control replicas must tolerate.

use fireflylug_core::api::ErrorCode;
use fireflylug_core::consensus::{
    ChangeOutcome, ControlRole, ELECTION_TIMEOUT_MAX_MS, MAX_OUTCOMES, PROPOSAL_TIMEOUT_MS,
    READ_TIMEOUT_MS, Voter,
};
use fireflylug_core::ids::Version;
use rstest::rstest;

use crate::cluster::Cluster;
use crate::fixtures::{put_service, put_service_at, service_key};

pub fn cluster_with_leader(count: usize, seed: u64) -> (Cluster, usize) {
    let mut cluster = Cluster::new(count, count, seed);
    cluster.run_for(1_500);
    let leader = wait_for_leader(&mut cluster, None);
    (cluster, leader)
}

/// Runs until a replica other than `not` leads.
fn wait_for_leader(cluster: &mut Cluster, not: Option<usize>) -> usize {
    let leads = |cluster: &Cluster| cluster.leader().is_some_and(|leader| Some(leader) != not);
    assert!(cluster.run_until(3_000, leads), "no leader within 3 s");
    cluster.leader().expect("a leader")
}

pub fn propose(cluster: &mut Cluster, node: usize, service: &str) -> ChangeOutcome {
    let origin = cluster.propose(node, put_service(service));
    cluster.run_until(4_000, |cluster| cluster.outcomes.contains_key(&origin));
    cluster.outcomes[&origin].clone()
}

pub fn is_accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

fn followers(count: usize, leader: usize) -> Vec<usize> {
    (0..count).filter(|node| *node != leader).collect()
}

#[rstest]
#[case::one(1)]
#[case::three(3)]
#[case::seven(7)]
fn change_is_accepted_and_reaches_every_replica(#[case] count: usize) {
    let (mut cluster, leader) = cluster_with_leader(count, 1);

    let outcome = propose(&mut cluster, leader, "seatdesk");
    cluster.run_for(300);

    assert_eq!(outcome, ChangeOutcome::Accepted { version: Version(1) });
    for node in 0..count {
        assert_eq!(cluster.configuration(node).version(), Version(1));
    }
}

#[test]
fn follower_refuses_and_names_the_leader() {
    let (mut cluster, leader) = cluster_with_leader(3, 2);
    let follower = followers(3, leader)[0];

    let outcome = propose(&mut cluster, follower, "seatdesk");

    let ChangeOutcome::Refused(error) = outcome else { panic!("{outcome:?}") };
    assert_eq!(error.code, ErrorCode::Unavailable);
    assert!(error.message.contains(&cluster.id(leader).to_string()), "{error}");
}

#[test]
fn isolated_leader_stops_claiming_to_be_current_and_loses_nothing() {
    let (mut cluster, leader) = cluster_with_leader(3, 3);
    cluster.isolate(leader);

    let early_read = cluster.read(leader);
    let lost = cluster.propose(leader, put_service("lost"));
    cluster.run_for(ELECTION_TIMEOUT_MAX_MS + 200);
    let late_read = cluster.read(leader);
    let status = cluster.status(leader).expect("it runs");
    let next = wait_for_leader(&mut cluster, Some(leader));
    let outcome = propose(&mut cluster, next, "kept");
    cluster.run_for(PROPOSAL_TIMEOUT_MS);
    let lost_outcome = cluster.outcomes[&lost].clone();
    cluster.heal();
    cluster.run_for(2_000);

    assert!(!status.is_current);
    assert_ne!(status.role, ControlRole::Leader);
    assert!(status.not_current_for_ms.is_some_and(|ms| ms >= ELECTION_TIMEOUT_MAX_MS));
    assert!(is_accepted(&outcome));
    assert_eq!(lost_outcome, ChangeOutcome::Unknown);
    assert!(!cluster.reads[&early_read] && !cluster.reads[&late_read]);
    assert!(cluster.configuration(leader).get(&service_key("kept")).is_some());
    assert!(cluster.configuration(leader).get(&service_key("lost")).is_none());
}

#[test]
fn lost_leader_is_replaced_within_three_seconds() {
    let (mut cluster, leader) = cluster_with_leader(5, 4);
    cluster.crash(leader);
    let crashed_us = cluster.now_us;

    let next = wait_for_leader(&mut cluster, None);
    let outcome = propose(&mut cluster, next, "seatdesk");

    assert!(is_accepted(&outcome));
    assert!(cluster.now_us - crashed_us < 3_000_000);
}

/// The request of a follower to the leader was lost with a connection, and the read was refused
/// after a second, by when its client had left.
#[test]
fn read_whose_request_was_lost_is_answered_before_its_timeout() {
    let (mut cluster, leader) = cluster_with_leader(3, 5);
    let follower = (leader + 1) % 3;

    cluster.isolate(follower);
    let read = cluster.read(follower);
    cluster.run_for(50);
    cluster.heal();
    cluster.run_for(READ_TIMEOUT_MS - 100);

    assert_eq!(cluster.reads.get(&read), Some(&true));
}

/// Restarts the leader while the follower `away` is cut off, and joins the two again once the leader
/// has been elected anew, before `away` has lost contact with it. None where another was elected.
fn reelect_without(cluster: &mut Cluster, leader: usize, away: usize) -> Option<()> {
    let term = cluster.status(leader)?.term;
    cluster.isolate(away);
    cluster.crash(leader);
    cluster.start(leader);
    let is_over = |cluster: &Cluster| cluster.leader().is_some();
    cluster.run_until(ELECTION_TIMEOUT_MAX_MS, is_over);
    let is_unaware = cluster.status(away)?.leader == Some(cluster.id(leader));
    (cluster.leader() == Some(leader) && is_unaware).then_some(())?;
    cluster.heal();
    let follows = |cluster: &Cluster| cluster.status(away).is_some_and(|status| status.term > term);
    cluster.run_until(ELECTION_TIMEOUT_MAX_MS, follows).then_some(())
}

// Guards against a read that is confirmed by the echo of a heartbeat of the leader's earlier run:
// its rounds begin anew, and the follower had not noticed the election between.
#[test]
fn a_round_of_an_earlier_term_confirms_no_read() {
    let mut tried = 0;
    for seed in 0..300 {
        let (mut cluster, leader) = cluster_with_leader(3, seed);
        cluster.run_for(2_000);
        let others = followers(3, leader);
        let (away, other) = (others[0], others[1]);
        if reelect_without(&mut cluster, leader, away).is_none() {
            continue;
        }
        cluster.run_for(300);
        cluster.isolate(leader);
        cluster.run_for(20);

        let read = cluster.read(leader);
        cluster.run_for(20);

        assert_ne!(
            cluster.reads.get(&read),
            Some(&true),
            "seed {seed}, {away} and {other} are cut"
        );
        tried += 1;
    }
    assert!(tried > 0, "no seed led to the case");
}

#[test]
fn read_is_answered_by_every_replica_in_touch() {
    let (mut cluster, _) = cluster_with_leader(3, 5);

    let reads: Vec<_> = (0..3).map(|node| cluster.read(node)).collect();
    cluster.run_for(500);

    for read in reads {
        assert!(cluster.reads[&read]);
    }
}

#[test]
fn resend_to_a_new_leader_gets_the_first_outcome() {
    let (mut cluster, leader) = cluster_with_leader(3, 6);
    let first = propose(&mut cluster, leader, "seatdesk");
    cluster.crash(leader);
    let next = wait_for_leader(&mut cluster, None);
    propose(&mut cluster, next, "bookbook");

    let again = propose(&mut cluster, next, "seatdesk");
    let other = cluster.propose(next, put_service_at("other", 0, None, "seatdesk"));
    cluster.run_for(500);

    assert_eq!(again, first);
    let ChangeOutcome::Refused(error) = &cluster.outcomes[&other] else { panic!("accepted") };
    assert_eq!(error.code, ErrorCode::Conflict);
}

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
fn stopping_leader_hands_over_at_once() {
    let (mut cluster, leader) = cluster_with_leader(3, 15);

    cluster.stop(leader);
    let has_new_leader =
        cluster.run_until(200, |cluster| cluster.leader().is_some_and(|next| next != leader));

    assert!(has_new_leader);
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
fn voter_is_replaced_by_a_declared_change() {
    let mut cluster = Cluster::new(4, 3, 10);
    cluster.run_for(1_500);
    let leader = wait_for_leader(&mut cluster, None);
    let old = followers(3, leader)[0];
    propose(&mut cluster, leader, "seatdesk");

    cluster.run_until(2_000, |cluster| cluster.configuration(3).version() == Version(1));

    let replaced = cluster.replace_voter(leader, old, 3);
    cluster.run_for(1_000);
    cluster.crash(old);
    let other = followers(3, leader)[1];
    cluster.crash(other);
    cluster.run_for(100);
    cluster.start(other);
    cluster.run_for(1_000);
    let next = wait_for_leader(&mut cluster, None);
    let outcome = propose(&mut cluster, next, "bookbook");

    assert!(is_accepted(&cluster.outcomes[&replaced]), "{:?}", cluster.outcomes[&replaced]);
    assert!(cluster.is_voting(3));
    assert!(!cluster.is_voting(old));
    assert!(is_accepted(&outcome));
}

#[test]
fn follower_far_behind_gets_a_snapshot() {
    let (mut cluster, leader) = cluster_with_leader(3, 11);
    let behind = followers(3, leader)[0];
    cluster.crash(behind);
    for round in 0..50 {
        for change in 0..100 {
            cluster.propose(
                leader,
                put_service_at(
                    "seatdesk",
                    round * 100 + change,
                    None,
                    &format!("k-{round}-{change}"),
                ),
            );
        }
        cluster.run_for(50);
    }

    cluster.start(behind);
    cluster.run_for(2_000);

    assert_eq!(cluster.configuration(behind), cluster.configuration(leader));
    assert!(cluster.configuration(behind).version() >= Version(4_999));
}

#[test]
fn oldest_outcome_is_forgotten_first() {
    let (mut cluster, leader) = cluster_with_leader(1, 17);
    propose(&mut cluster, leader, "first");
    propose(&mut cluster, leader, "second");
    for filler in 1..MAX_OUTCOMES as u32 {
        let key = format!("filler-{filler}");
        cluster.propose(leader, put_service_at("filler", filler, None, &key));
    }
    cluster.run_for(1_000);

    // Under a key whose outcome is kept, another change set is a conflict; under an evicted
    // key it is a new change.
    let forgotten = cluster.propose(leader, put_service_at("third", 0, None, "first"));
    let kept = cluster.propose(leader, put_service_at("third", 0, None, "filler-1"));
    cluster.run_for(1_000);

    assert!(is_accepted(&cluster.outcomes[&forgotten]));
    assert!(matches!(&cluster.outcomes[&kept], ChangeOutcome::Refused(_)));
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
fn idle_traffic_is_small(#[case] count: usize) {
    let (mut cluster, _) = cluster_with_leader(count, 12);
    let seconds = 10;

    cluster.counts_bytes = true;
    cluster.run_for(seconds * 1_000);

    let most = cluster.sent_bytes.iter().max().expect("replicas") / seconds as usize;
    assert!(cluster.max_heartbeat_bytes < 100, "{} bytes", cluster.max_heartbeat_bytes);
    assert!(most < 2_000, "{most} bytes in a second");
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

#[test]
fn silent_voter_gives_its_place_to_a_replica_that_has_caught_up() {
    let mut cluster = Cluster::new_keeping(4, 3, 42);
    cluster.run_for(3_000);
    let leader = wait_for_leader(&mut cluster, None);
    let isolated = followers(3, leader)[0];
    cluster.isolate(isolated);

    cluster.run_for(6_000);
    let leader = wait_for_leader(&mut cluster, Some(isolated));
    let outcome = propose(&mut cluster, leader, "seatdesk");
    let voters = cluster.status(leader).expect("it runs").voters;

    assert!(is_accepted(&outcome));
    assert_eq!(voters.voters().len(), 3);
    assert!(voters.disk_of(cluster.id(isolated)).is_none(), "{voters:?}");
    assert!(voters.disk_of(cluster.id(3)).is_some(), "{voters:?}");
}

#[test]
fn missing_voters_are_let_in_up_to_the_number_that_is_kept() {
    let mut cluster = Cluster::new_keeping(6, 3, 43);

    cluster.run_for(5_000);

    let leader = wait_for_leader(&mut cluster, None);
    let voters = cluster.status(leader).expect("it runs").voters;
    assert_eq!(voters.voters().len(), 3);
    cluster.desired_voter_count = Some(5);
    cluster.restart_all();
    cluster.run_for(6_000);
    let leader = wait_for_leader(&mut cluster, None);
    let voters = cluster.status(leader).expect("it runs").voters;
    assert_eq!(voters.voters().len(), 5, "{voters:?}");
}
