//! Tests of replicas that start at the same time.

use fireflylug_core::ids::Version;
use rstest::rstest;

use crate::fixtures::{cluster_with_leader, propose};

/// Delay between the first campaigns of two replicas, in milliseconds.
const CAMPAIGN_STAGGER_MS: u64 = 20;
/// Time for hello messages, votes and their syncs, in milliseconds.
const ELECTION_ROUND_MS: u64 = 30;

/// Every replica was killed. After the restart they campaign one after the other, so that
/// votes are not split and an election does not take another timeout.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn replicas_restarted_together_elect_in_turn(#[case] count: usize) {
    let limit_ms = count as u64 * CAMPAIGN_STAGGER_MS + ELECTION_ROUND_MS;
    for seed in 0..30 {
        let (mut cluster, _) = cluster_with_leader(count, seed);

        cluster.restart_all();
        let has_leader = cluster.run_until(limit_ms, |cluster| cluster.leader().is_some());

        assert!(has_leader, "seed {seed}: no leader within {limit_ms} ms");
    }
}

/// Every replica was killed. Each one distributes its recovered committed version at once, so
/// that proxies hold it by the time a leader is elected.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn replicas_restarted_together_recover_what_was_committed_before_there_is_a_leader(
    #[case] count: usize,
) {
    let (mut cluster, leader) = cluster_with_leader(count, 4);
    propose(&mut cluster, leader, "seatdesk");
    propose(&mut cluster, leader, "bookbook");
    cluster.run_for(300);

    cluster.restart_all();
    cluster.run_for(1);

    assert_eq!(cluster.leader(), None);
    assert!(cluster.nodes.iter().all(|node| node.recovered_version == Version(2)));
}
