//! Linearizable reads while messages are lost and leaders change.

use fireflylug_core::consensus::{ELECTION_TIMEOUT_MAX_MS, READ_TIMEOUT_MS};

use crate::cluster::Cluster;
use crate::fixtures::{cluster_with_leader, followers};

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
