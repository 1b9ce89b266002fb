//! Restarts and losses around the formation of the first voter set.

use fireflylug_core::consensus::ControlRole;

use crate::cluster::Cluster;
use crate::fixtures::{cluster_with_leader, is_accepted, propose};
use crate::repairs::{RECOVERY_MS, has_leader_in_touch};

/// Longest time for which a message is on its way, in milliseconds.
const IN_FLIGHT_MS: u64 = 10;

/// A voter was killed at the first start after another one had formed the voter set, and before it
/// had: it waited for ever for the others to be blank, and no leader was elected.
#[test]
fn voter_restarted_before_it_forms_the_first_set_takes_part() {
    let is_blank = |cluster: &Cluster, node: usize| {
        cluster.status(node).is_some_and(|status| status.role == ControlRole::Blank)
    };
    for seed in 0..100 {
        let mut cluster = Cluster::new(3, 3, seed);
        let one_formed = |cluster: &Cluster| (0..3).any(|node| !is_blank(cluster, node));
        assert!(cluster.run_until(3_000, one_formed), "seed {seed}: no set is formed");
        let blank: Vec<_> = (0..3).filter(|node| is_blank(&cluster, *node)).collect();

        for node in &blank {
            cluster.crash(*node);
        }
        // What was on its way is lost with the connections.
        cluster.run_for(IN_FLIGHT_MS);
        for node in blank {
            cluster.start(node);
        }
        let is_led = cluster.run_until(RECOVERY_MS, has_leader_in_touch);
        cluster.run_for(1_000);

        assert!(is_led, "seed {seed}: no leader");
        assert!((0..3).all(|node| cluster.is_voting(node)), "seed {seed}");
        assert_eq!(cluster.resets, 0, "seed {seed}");
    }
}

/// Guards against a second voter set of replicas whose storages were wiped after the first.
#[test]
fn wiped_majority_forms_no_second_set() {
    for seed in 0..20 {
        let (mut cluster, leader) = cluster_with_leader(3, seed);
        assert!(is_accepted(&propose(&mut cluster, leader, "seatdesk")));
        cluster.crash(leader);
        let wiped = [(leader + 1) % 3, (leader + 2) % 3];
        for node in wiped {
            cluster.crash(node);
            cluster.wipe(node);
            cluster.start(node);
        }

        cluster.run_for(RECOVERY_MS);
        let is_led_by_blank = cluster.leader().is_some();
        cluster.start(leader);
        cluster.run_for(RECOVERY_MS);

        assert!(!is_led_by_blank, "seed {seed}: blank replicas elected a leader");
        for node in wiped {
            let role = cluster.status(node).map(|status| status.role);
            assert_eq!(role, Some(ControlRole::Blank), "seed {seed}");
        }
    }
}
