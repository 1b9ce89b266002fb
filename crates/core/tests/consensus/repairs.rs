//! Losses of storages right after an accepted change, while voters are admitted or promoted.

use fireflylug_core::consensus::{AppendResponse, ConsensusMessage, MAX_WITHHOLD_MS, Origin};

use crate::cluster::Cluster;
use crate::fixtures::{cluster_with_leader, is_accepted, propose, put_service, service_key};

/// Time for an election and the catch-up of restarted replicas, in milliseconds.
pub const RECOVERY_MS: u64 = 4_000;
/// Time for which a replica that started sends nothing, in milliseconds: longer than an election
/// timeout.
const SLOW_START_MS: u64 = 800;
/// Time for a commit, in milliseconds.
const COMMIT_MS: u64 = 100;

fn wait_for_outcome(cluster: &mut Cluster, origin: Origin) -> bool {
    cluster.run_until(4_000, |cluster| cluster.outcomes.contains_key(&origin));
    cluster.outcomes.get(&origin).is_some_and(is_accepted)
}

pub fn has_leader_in_touch(cluster: &Cluster) -> bool {
    cluster
        .leader()
        .and_then(|leader| cluster.status(leader))
        .is_some_and(|status| status.is_current && status.last_index == status.commit_index)
}

/// A leader with two followers, all connected to each other.
fn connected_cluster(seed: u64) -> (Cluster, usize) {
    let (mut cluster, leader) = cluster_with_leader(3, seed);
    cluster.introduce_all();
    cluster.run_for(500);
    (cluster, leader)
}

/// A leader with two followers, of which the first restarts with a wiped storage.
fn cluster_with_wiped_voter(seed: u64) -> (Cluster, usize, usize) {
    let (mut cluster, leader) = cluster_with_leader(3, seed);
    cluster.run_for(500);
    let wiped = (leader + 1) % 3;
    cluster.crash(wiped);
    cluster.wipe(wiped);
    cluster.run_for(1_000);
    cluster.start(wiped);
    cluster.reconnect(wiped);
    (cluster, leader, wiped)
}

/// Restarts a voter with a wiped storage. It connects, but sends nothing until the cluster heals.
fn restart_wiped_and_silent(cluster: &mut Cluster, wiped: usize) {
    cluster.crash(wiped);
    cluster.wipe(wiped);
    cluster.disconnect(wiped);
    cluster.start(wiped);
    cluster.isolate(wiped);
    cluster.reconnect(wiped);
}

/// Asserts that a change is accepted, and that the others elect a leader if the present one is lost
/// right after it.
fn assert_leader_may_be_lost_after(
    cluster: &mut Cluster,
    leader: usize,
    origin: Origin,
    seed: u64,
) {
    let is_reported = wait_for_outcome(cluster, origin);
    cluster.crash(leader);
    let is_led = cluster.run_until(RECOVERY_MS, has_leader_in_touch);

    assert!(is_reported && is_led, "seed {seed}: accepted {is_reported}, led {is_led}");
}

/// The leader was killed with the entry that admits a wiped voter on its own disk only, right after
/// it had accepted a change: the other two elected no leader until it was back.
#[test]
fn leader_may_be_lost_once_it_accepts_a_change_beside_a_repair() {
    for seed in 0..30 {
        let (mut cluster, leader, wiped) = cluster_with_wiped_voter(seed);
        let origin = cluster.propose(leader, put_service("seatdesk"));
        let is_reported = wait_for_outcome(&mut cluster, origin);

        cluster.crash(leader);
        let is_led = cluster.run_until(RECOVERY_MS, has_leader_in_touch);

        assert!(is_reported, "seed {seed}: the change is not accepted");
        assert!(is_led, "seed {seed}: no leader without the lost one");
        let is_held = cluster.configuration(wiped).get(&service_key("seatdesk")).is_some();
        assert!(is_held, "seed {seed}");
    }
}

/// The hello of a wiped voter was lost, and the leader took its last response, from before the
/// wipe, for that of a voter in touch.
#[test]
fn voter_that_connects_again_is_not_taken_for_its_old_storage() {
    for seed in 0..30 {
        let (mut cluster, leader) = cluster_with_leader(3, seed);
        cluster.run_for(500);
        let wiped = (leader + 1) % 3;
        cluster.crash(wiped);
        cluster.wipe(wiped);
        cluster.start(wiped);
        cluster.reconnect(wiped);

        let origin = cluster.propose(leader, put_service("seatdesk"));

        assert_leader_may_be_lost_after(&mut cluster, leader, origin, seed);
    }
}

/// Three initial voters had accepted a change before they were five, and two of them lost their
/// disks, as many as five voters tolerate: the change was gone, or no leader was elected.
#[test]
fn two_of_the_first_three_voters_may_be_lost_once_a_change_is_accepted() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(6, 3, seed);
        cluster.desired_voter_count = Some(5);
        cluster.restart_all();
        cluster.introduce_all();
        assert!(cluster.run_until(3_000, |cluster| cluster.leader().is_some()));
        let leader = cluster.leader().expect("a leader");
        let origin = cluster.propose(leader, put_service("seatdesk"));
        let is_reported = wait_for_outcome(&mut cluster, origin);

        for lost in [leader, (leader + 1) % 3] {
            cluster.crash(lost);
            cluster.wipe(lost);
            cluster.start(lost);
        }
        let is_led = cluster.run_until(RECOVERY_MS, has_leader_in_touch);

        assert!(is_reported, "seed {seed}: the change is not accepted");
        assert!(is_led, "seed {seed}: no leader without the lost disks");
        let next = cluster.leader().expect("a leader");
        let is_held = cluster.configuration(next).get(&service_key("seatdesk")).is_some();
        assert!(is_held, "seed {seed}: the accepted change is gone");
    }
}

/// Guards against acceptances that wait for a voter that is gone.
#[test]
fn voter_that_is_gone_does_not_delay_an_acceptance() {
    let (mut cluster, leader) = connected_cluster(61);
    let gone = (leader + 1) % 3;
    cluster.crash(gone);
    cluster.disconnect(gone);

    let origin = cluster.propose(leader, put_service("seatdesk"));
    cluster.run_for(COMMIT_MS);

    assert!(cluster.outcomes.get(&origin).is_some_and(is_accepted));
}

/// Guards against acceptances of a new leader that wait for the one that was lost.
#[test]
fn leader_that_is_gone_does_not_delay_an_acceptance_of_the_next() {
    let (mut cluster, leader) = connected_cluster(64);
    cluster.crash(leader);
    cluster.disconnect(leader);
    assert!(cluster.run_until(RECOVERY_MS, has_leader_in_touch));
    let next = cluster.leader().expect("a leader");

    let origin = cluster.propose(next, put_service("seatdesk"));
    cluster.run_for(COMMIT_MS);

    assert!(cluster.outcomes.get(&origin).is_some_and(is_accepted));
}

/// The machine was slow, and a voter that had connected again with a wiped storage responded later
/// than an election timeout: the leader no longer waited for it.
#[test]
fn slow_voter_that_connects_again_is_waited_for() {
    for seed in 0..30 {
        let (mut cluster, leader) = connected_cluster(seed);
        let wiped = (leader + 1) % 3;
        restart_wiped_and_silent(&mut cluster, wiped);
        cluster.run_for(SLOW_START_MS);
        let origin = cluster.propose(leader, put_service("seatdesk"));
        cluster.run_for(COMMIT_MS);
        cluster.heal();

        assert_leader_may_be_lost_after(&mut cluster, leader, origin, seed);
    }
}

/// A response of the process that ran before, which came after the connection of a voter with a
/// wiped storage, ended the wait for that voter.
#[test]
fn late_response_of_the_last_process_is_not_taken_for_one_of_the_next() {
    for seed in 0..30 {
        let (mut cluster, leader) = connected_cluster(seed);
        let wiped = (leader + 1) % 3;
        let late = AppendResponse {
            term: cluster.status(leader).expect("the leader runs").term,
            round: 1,
            match_index: 0,
            rejected: None,
            disk: cluster.nodes[wiped].disk.id,
            generation: 1,
        };
        restart_wiped_and_silent(&mut cluster, wiped);
        cluster.deliver_late(wiped, leader, ConsensusMessage::AppendResponse(late));
        let origin = cluster.propose(leader, put_service("seatdesk"));
        cluster.run_for(COMMIT_MS);
        cluster.heal();

        assert_leader_may_be_lost_after(&mut cluster, leader, origin, seed);
    }
}

/// Guards against acceptances that wait without a bound for a storage that cannot be admitted.
#[test]
fn voter_that_cannot_be_admitted_delays_an_acceptance_within_the_bound() {
    let (mut cluster, leader, wiped) = cluster_with_wiped_voter(62);
    cluster.nodes[wiped].disk.is_stuck = true;

    let origin = cluster.propose(leader, put_service("seatdesk"));
    cluster.run_for(MAX_WITHHOLD_MS / 2);
    let is_early = cluster.outcomes.contains_key(&origin);
    cluster.run_for(MAX_WITHHOLD_MS / 2 + COMMIT_MS);

    assert!(!is_early, "accepted before the bound");
    assert!(cluster.outcomes.get(&origin).is_some_and(is_accepted));
}

/// Guards against a replica that says accepted without knowing the storages of the voters.
#[test]
fn leader_that_loses_its_followers_reports_a_withheld_acceptance_as_unknown() {
    let (mut cluster, leader, wiped) = cluster_with_wiped_voter(63);
    cluster.nodes[wiped].disk.is_stuck = true;
    let origin = cluster.propose(leader, put_service("seatdesk"));
    cluster.run_for(COMMIT_MS);

    cluster.isolate(leader);
    cluster.run_for(MAX_WITHHOLD_MS);
    let outcome = cluster.outcomes[&origin].clone();
    cluster.nodes[wiped].disk.is_stuck = false;
    cluster.heal();
    cluster.run_for(RECOVERY_MS);
    let next = cluster.leader().expect("a leader");

    assert!(!is_accepted(&outcome), "{outcome:?}");
    assert!(is_accepted(&propose(&mut cluster, next, "seatdesk")));
}
