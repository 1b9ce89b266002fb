//! One test for each failure that control replicas must tolerate, but for reads and storages.

use fireflylug_core::api::ErrorCode;
use fireflylug_core::consensus::{
    ChangeOutcome, ControlRole, ELECTION_TIMEOUT_MAX_MS, MAX_OUTCOMES, PROPOSAL_TIMEOUT_MS,
};
use fireflylug_core::ids::Version;
use rstest::rstest;

use crate::cluster::Cluster;
use crate::fixtures::{
    cluster_with_leader, followers, is_accepted, propose, put_service, put_service_at, service_key,
    wait_for_leader,
};

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
fn stopping_leader_hands_over_at_once() {
    let (mut cluster, leader) = cluster_with_leader(3, 15);

    cluster.stop(leader);
    let has_new_leader =
        cluster.run_until(200, |cluster| cluster.leader().is_some_and(|next| next != leader));

    assert!(has_new_leader);
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
