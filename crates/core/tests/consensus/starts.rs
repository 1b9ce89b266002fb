//! Replicas that are started together.

use fireflylug_core::ids::Version;
use rstest::rstest;

use crate::cases::{led_cluster, propose};

/// Time between the first campaigns of two replicas, in milliseconds.
const STEP_MS: u64 = 20;
/// Time for greetings, votes and their syncs, in milliseconds.
const ROUND_MS: u64 = 30;

/// Every replica was killed. They ask for votes one after the other, so that their
/// votes are not split and nobody waits for long.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn replicas_restarted_together_elect_in_turn(#[case] count: usize) {
    let limit_ms = count as u64 * STEP_MS + ROUND_MS;
    for seed in 0..30 {
        let (mut cluster, _) = led_cluster(count, seed);

        cluster.restart_all();
        let is_led = cluster.run_until(limit_ms, |cluster| cluster.leader().is_some());

        assert!(is_led, "seed {seed}: no leader within {limit_ms} ms");
    }
}

/// Every replica was killed. Each passes on at once what it knows as committed, so that
/// proxies hold it by the time a leader is elected.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn replicas_restarted_together_recover_what_was_committed_before_there_is_a_leader(
    #[case] count: usize,
) {
    let (mut cluster, leader) = led_cluster(count, 4);
    propose(&mut cluster, leader, "seatdesk");
    propose(&mut cluster, leader, "bookbook");
    cluster.run_for(300);

    cluster.restart_all();
    cluster.run_for(1);

    assert_eq!(cluster.leader(), None);
    assert!(cluster.nodes.iter().all(|node| node.recovered == Version(2)));
}
