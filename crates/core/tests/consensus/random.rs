//! Random faults. The results are checked against the outcomes that were returned.

use std::collections::BTreeMap;

use fireflylug_core::consensus::{ChangeOutcome, Origin};
use fireflylug_core::ids::Version;
use rand::Rng;
use rstest::rstest;

use crate::cluster::{Cluster, Faults};
use crate::fixtures::{put_service, put_service_at, service_key};

/// Time during which faults are injected, in milliseconds.
const FAULT_PERIOD_MS: u64 = 30_000;

/// Service for which conditional puts compete.
const RACED: &str = "raced";

/// The proposed changes, to be compared with their outcomes.
#[derive(Default)]
struct Oracle {
    /// Puts by service, each service under one idempotency key: the origin of every send.
    puts: BTreeMap<String, Vec<Origin>>,
    /// Conditional puts of [`RACED`], by expected version.
    races: BTreeMap<Version, Vec<Origin>>,
    race_count: u32,
}

impl Oracle {
    fn propose(&mut self, cluster: &mut Cluster) {
        let node = cluster.rng.random_range(0..cluster.nodes.len());
        let node = cluster.leader().filter(|_| cluster.rng.random_bool(0.8)).unwrap_or(node);
        if cluster.nodes[node].replica.is_none() {
            return;
        }
        match cluster.rng.random_range(0..5) {
            4 => replace_voter(cluster, node),
            0 => self.resend(cluster, node),
            1 => self.race(cluster, node),
            _ => {
                let service = format!("s-{}", self.puts.len());
                let origin = cluster.propose(node, put_service(&service));
                self.puts.insert(service, vec![origin]);
            }
        }
    }

    fn resend(&mut self, cluster: &mut Cluster, node: usize) {
        let Some((service, origins)) = self.puts.iter_mut().next_back() else { return };
        origins.push(cluster.propose(node, put_service(service)));
    }

    fn race(&mut self, cluster: &mut Cluster, node: usize) {
        let configuration = cluster.configuration(node);
        let stored = configuration.get(&service_key(RACED));
        let version = stored.map_or(Version(0), |stored| stored.version);
        let racers = self.races.entry(version).or_default();
        self.race_count += 1;
        let value = self.race_count;
        let key = format!("race-{value}");
        racers.push(cluster.propose(node, put_service_at(RACED, value, Some(version), &key)));
    }

    /// Checks that accepted changes are stored exactly once and refused ones are not.
    fn check(&self, cluster: &Cluster, node: usize) {
        let configuration = cluster.configuration(node);
        for (service, origins) in &self.puts {
            let stored = configuration.get(&service_key(service)).map(|stored| stored.version);
            let outcomes: Vec<_> =
                origins.iter().filter_map(|origin| cluster.outcomes.get(origin)).collect();
            for outcome in &outcomes {
                if let ChangeOutcome::Accepted { version } = outcome {
                    assert_eq!(stored, Some(*version), "{service} was accepted: {outcomes:?}");
                }
            }
            let all_refused = outcomes.len() == origins.len()
                && outcomes.iter().all(|outcome| matches!(outcome, ChangeOutcome::Refused(_)));
            assert!(!all_refused || stored.is_none(), "{service} was refused but is stored");
        }
        for (version, racers) in &self.races {
            let is_accepted = |origin: &&Origin| {
                matches!(cluster.outcomes.get(*origin), Some(ChangeOutcome::Accepted { .. }))
            };
            assert!(
                racers.iter().filter(is_accepted).count() <= 1,
                "two conditional puts were accepted at {version}"
            );
        }
    }
}

/// Proposes that a replica that is not a voter replaces a random one, where there is one.
fn replace_voter(cluster: &mut Cluster, node: usize) {
    let count = cluster.nodes.len();
    let spare = (0..count).find(|spare| !cluster.is_voting(*spare));
    let old = cluster.rng.random_range(0..count);
    if let Some(spare) = spare
        && spare != old
    {
        cluster.replace_voter(node, old, spare);
    }
}

fn inject_fault(cluster: &mut Cluster) {
    let node = cluster.rng.random_range(0..cluster.nodes.len());
    match cluster.rng.random_range(0..9) {
        0 | 1 => cluster.isolate(node),
        2 | 3 => cluster.heal(),
        4 => cluster.crash(node),
        6 => cluster.nodes[node].disk_fails = true,
        5 if may_wipe(cluster) => {
            cluster.crash(node);
            cluster.wipe(node);
        }
        _ => start_all(cluster),
    }
}

/// Starts replicas that are down, and restarts those whose disk failed.
fn start_all(cluster: &mut Cluster) {
    for node in 0..cluster.nodes.len() {
        if std::mem::take(&mut cluster.nodes[node].disk_fails) {
            cluster.crash(node);
        }
        if cluster.nodes[node].replica.is_none() {
            cluster.start(node);
        }
    }
}

/// Whether all replicas run and list each other as voters, so that no storage is being
/// replaced. Three replicas are not required to tolerate two blank storages at once.
fn may_wipe(cluster: &Cluster) -> bool {
    let is_active = |node: usize| cluster.nodes[node].replica.is_some() && cluster.is_voting(node);
    cluster.nodes.len() > 1 && (0..cluster.nodes.len()).all(is_active)
}

fn replicas_agree(cluster: &Cluster) -> bool {
    let versions = (0..cluster.nodes.len()).map(|node| cluster.configuration(node).version());
    let first = cluster.configuration(0).version();
    cluster.leader().is_some() && versions.into_iter().all(|version| version == first)
}

#[rstest]
fn promises_hold_under_random_faults(
    #[values((1, 1), (3, 3), (5, 5), (4, 3))] (count, voters): (usize, usize),
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 1010, 1154, 3001)] seed: u64,
) {
    let mut cluster = Cluster::new(count, voters, seed);
    let mut oracle = Oracle::default();
    cluster.run_for(1_000);
    cluster.faults = Faults {
        drop_percent: 5,
        duplicate_percent: 5,
        max_delay_us: 40_000,
        max_sync_us: 100_000,
    };

    while cluster.now_us < FAULT_PERIOD_MS * 1_000 {
        let pause_ms = cluster.rng.random_range(1..200);
        cluster.run_for(pause_ms);
        oracle.propose(&mut cluster);
        if cluster.rng.random_bool(0.3) {
            inject_fault(&mut cluster);
        }
    }
    cluster.faults = Faults::NONE;
    cluster.heal();
    start_all(&mut cluster);
    cluster.run_for(5_000);
    assert!(cluster.run_until(10_000, replicas_agree), "the replicas do not converge");
    let accepted = cluster
        .outcomes
        .values()
        .filter(|outcome| matches!(outcome, ChangeOutcome::Accepted { .. }))
        .count();
    assert!(accepted > 20, "only {accepted} changes were accepted");
    assert_eq!(cluster.resets, 0, "a disk was mistaken for an older copy of itself");
    for node in 0..count {
        oracle.check(&cluster, node);
    }
}
