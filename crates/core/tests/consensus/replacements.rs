//! Voters that are replaced while others are away, with as many lost disks as five voters tolerate.

use fireflylug_core::consensus::Origin;
use rand::Rng;
use rstest::rstest;

use crate::cluster::Cluster;
use crate::fixtures::{is_accepted, put_service, service_key};
use crate::repairs::{RECOVERY_MS, has_leader_in_touch};

/// Control replicas, of which the first three are the initial voters.
const REPLICAS: usize = 9;
/// Time for which two voters are without power, in milliseconds: longer than it takes to replace
/// them.
const POWER_LOSS_MS: u64 = 7_000;
/// Longest time after the loss of power at which a disk is lost, in milliseconds.
const MAX_LOSS_AT_MS: u64 = 4_000;
/// Longest pause between two changes, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

fn cluster_of_five_voters(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(REPLICAS, 3, seed);
    cluster.desired_voter_count = Some(5);
    cluster.restart_all();
    cluster.introduce_all();
    let has_five = |cluster: &Cluster| {
        let status = cluster.leader().and_then(|leader| cluster.status(leader));
        status.is_some_and(|status| status.voters.voters().len() == 5)
    };
    assert!(cluster.run_until(5_000, has_five), "seed {seed}: no five voters");
    cluster.run_for(500);
    cluster
}

fn voters(cluster: &Cluster) -> Vec<usize> {
    let status = cluster.leader().and_then(|leader| cluster.status(leader)).expect("a leader");
    let is_voter = |node: &usize| status.voters.disk_of(cluster.id(*node)).is_some();
    (0..REPLICAS).filter(is_voter).collect()
}

/// Runs until a time, and proposes changes at the leader.
fn run_with_changes(cluster: &mut Cluster, until_us: u64, changes: &mut Vec<(String, Origin)>) {
    while cluster.now_us < until_us {
        let pause_ms = cluster.rng.random_range(1..=MAX_PAUSE_MS);
        cluster.run_for(pause_ms.min((until_us - cluster.now_us).div_ceil(1_000)));
        if let Some(leader) = cluster.leader() {
            let service = format!("s-{}", changes.len());
            changes.push((service.clone(), cluster.propose(leader, put_service(&service))));
        }
    }
}

fn lose_disk(cluster: &mut Cluster, node: usize) {
    cluster.crash(node);
    cluster.wipe(node);
    cluster.start(node);
    cluster.introduce_all();
}

/// Guards against a set of voters, in the middle of a replacement, in which the replicas that hold
/// every accepted change cannot elect a leader, or elect one that lacks a change.
#[rstest]
fn two_disks_may_be_lost_while_two_voters_are_replaced(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] first_seed: u64,
) {
    for seed in (first_seed * 8)..(first_seed * 8 + 8) {
        let mut cluster = cluster_of_five_voters(seed);
        let leader = cluster.leader().expect("a leader");
        let others: Vec<_> =
            voters(&cluster).into_iter().filter(|voter| *voter != leader).collect();
        let [away_1, away_2, wiped, _] = others[..] else { panic!("five voters") };
        let start_us = cluster.now_us;
        let [first_us, second_us] = {
            let mut at = || start_us + cluster.rng.random_range(0..MAX_LOSS_AT_MS) * 1_000;
            let (a, b) = (at(), at());
            [a.min(b), a.max(b)]
        };
        let mut changes = Vec::new();

        cluster.crash(away_1);
        cluster.crash(away_2);
        run_with_changes(&mut cluster, first_us, &mut changes);
        lose_disk(&mut cluster, wiped);
        run_with_changes(&mut cluster, second_us, &mut changes);
        if let Some(leader) = cluster.leader() {
            lose_disk(&mut cluster, leader);
        }
        run_with_changes(&mut cluster, start_us + POWER_LOSS_MS * 1_000, &mut changes);
        cluster.start(away_1);
        cluster.start(away_2);
        cluster.introduce_all();
        cluster.run_for(1_000);
        let is_led = cluster.run_until(RECOVERY_MS, has_leader_in_touch);

        assert!(is_led, "seed {seed}: no leader");
        let next = cluster.leader().expect("a leader");
        let configuration = cluster.configuration(next);
        let is_acknowledged =
            |origin: &Origin| cluster.outcomes.get(origin).is_some_and(is_accepted);
        for (service, _) in changes.iter().filter(|(_, origin)| is_acknowledged(origin)) {
            let is_held = configuration.get(&service_key(service)).is_some();
            assert!(is_held, "seed {seed}: {service} was accepted and is gone");
        }
    }
}
