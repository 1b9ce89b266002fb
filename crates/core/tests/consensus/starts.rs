//! Replicas that are started together.

use rstest::rstest;

use crate::cases::led_cluster;

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
