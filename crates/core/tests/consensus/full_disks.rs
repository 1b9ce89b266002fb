//! Disks that are full for some seconds each, one after another.

use fireflylug_core::consensus::Origin;
use rstest::rstest;

use crate::cluster::Cluster;
use crate::fixtures::{cluster_with_leader, is_accepted, propose, put_service};

/// Time for which each disk is full, and between two full disks, in milliseconds.
const FULL_MS: u64 = 3_500;
const PAUSE_MS: u64 = 1_000;

/// Interval at which a process opens its data folder again after a failed write, in milliseconds.
const REOPEN_EVERY_MS: u64 = 500;

/// Time after the last full disk within which every change has an outcome, in milliseconds.
const OUTCOME_WITHIN_MS: u64 = 5_000;

/// Lets time pass in which one disk is full, while changes are sent to every replica.
fn fill_disk(cluster: &mut Cluster, full: usize, round: usize) -> Vec<Origin> {
    let mut changes = Vec::new();
    cluster.nodes[full].disk_fails = true;
    for step in 0..FULL_MS / REOPEN_EVERY_MS {
        for node in 0..cluster.nodes.len() {
            let service = format!("service-{round}-{full}-{step}-{node}");
            changes.push(cluster.propose(node, put_service(&service)));
        }
        cluster.run_for(REOPEN_EVERY_MS);
        cluster.reopen_folder(full);
    }
    cluster.reopen_disk(full);
    cluster.run_for(PAUSE_MS);
    changes
}

// Guards against control hosts whose disks were full in turn, which refuse changes, or leave them
// unanswered, long after the last has room again.
#[rstest]
fn changes_are_accepted_after_disks_were_full_one_after_another(
    #[values(3, 5)] count: usize,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let (mut cluster, _) = cluster_with_leader(count, seed);

    let mut changes = Vec::new();
    for round in 0..2 {
        for full in 0..count {
            changes.extend(fill_disk(&mut cluster, full, round));
        }
    }
    cluster.run_for(OUTCOME_WITHIN_MS);

    let open = changes.iter().filter(|change| !cluster.outcomes.contains_key(change)).count();
    assert_eq!(open, 0, "changes without an outcome");
    let leader = cluster.leader().expect("a leader");
    let outcome = propose(&mut cluster, leader, "afterwards");
    assert!(is_accepted(&outcome), "{outcome:?}");
    cluster.run_for(PAUSE_MS);
    let version = cluster.configuration(leader).version();
    for node in 0..count {
        assert_eq!(cluster.configuration(node).version(), version, "replica {node} is behind");
    }
}
