//! Hosts that fall silent: their process is frozen or their power is lost, and their connections
//! stay open. All others get each new version in time.

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use super::mesh::Mesh;
use super::mesh::fixtures::{Zone, two_regions, zone};
use super::mesh_with_first;

/// The users' bound for a configuration to be in force at hosts that are in touch, in milliseconds.
const CONFIG_WITHIN_MS: u64 = 2_500;

/// Interval between two versions, in milliseconds.
const PUBLISH_EVERY_MS: u64 = 600;

/// Interval at which the hosts are checked, in milliseconds.
const CHECK_EVERY_MS: u64 = 20;

/// Time for which hosts are frozen, in milliseconds.
const FROZEN_FOR_MS: u64 = 8_000;

/// The proxies of a mesh in a random order.
fn shuffled_proxies(mesh: &Mesh, rng: &mut SmallRng) -> Vec<usize> {
    let mut proxies: Vec<usize> =
        (0..mesh.len()).filter(|host| !mesh.identity(*host).control).collect();
    proxies.shuffle(rng);
    proxies
}

/// Publishes a version at fixed intervals for a time. Panics if a host of `watched` lacks a
/// version later than [`CONFIG_WITHIN_MS`] after it was published.
fn publish_and_check(
    mesh: &mut Mesh,
    versions: &mut impl Iterator<Item = std::sync::Arc<fireflylug_core::config::Configuration>>,
    watched: &[usize],
    for_ms: u64,
) {
    let mut published: Vec<(u64, u64)> = Vec::new();
    let start_us = mesh.now_us;
    let elapsed_ms = |mesh: &Mesh| (mesh.now_us - start_us) / 1_000;
    while elapsed_ms(mesh) < for_ms {
        if elapsed_ms(mesh) >= published.len() as u64 * PUBLISH_EVERY_MS {
            let next = versions.next().expect("a version");
            mesh.publish(&next);
            published.push((next.version().0, elapsed_ms(mesh)));
        }
        mesh.run_ms(CHECK_EVERY_MS);
        let now_ms = elapsed_ms(mesh);
        let is_due = |at_ms: &u64| now_ms > at_ms + CONFIG_WITHIN_MS;
        let due = published.iter().rfind(|(_, at_ms)| is_due(at_ms)).map_or(1, |(due, _)| *due);
        for host in watched {
            let held = mesh.process(*host).version();
            let name = &mesh.identity(*host).host;
            assert!(held >= due, "{name} holds {held} and not {due}, {now_ms} ms after the freeze");
        }
    }
}

// Guards against hosts that wait for a silent parent: whichever proxies are frozen, the others get
// each version in time.
#[rstest]
#[case::users_size(two_regions(5), 0.5)]
#[case::most_proxies(two_regions(5), 0.7)]
#[case::deep_tree(two_regions(40), 0.5)]
#[case::few_control_hosts(vec![
    zone("kochi", "kochi-aluva", 8, 1),
    zone("kochi", "kochi-ernakulam", 8, 0),
    zone("kozhikode", "kzd-feroke", 8, 0),
], 0.6)]
fn hosts_get_versions_in_time_while_others_are_frozen(
    #[case] zones: Vec<Zone>,
    #[case] share: f64,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let (mut mesh, versions) = mesh_with_first(&zones, seed);
    let mut versions = versions.into_iter().skip(1);
    let mut rng = SmallRng::seed_from_u64(seed);
    mesh.run_ms(rng.random_range(0..5_000));
    let proxies = shuffled_proxies(&mesh, &mut rng);
    let frozen_count = (proxies.len() as f64 * share).ceil() as usize;
    let (frozen, others) = proxies.split_at(frozen_count);

    frozen.iter().for_each(|host| mesh.freeze(*host));
    publish_and_check(&mut mesh, &mut versions, others, FROZEN_FOR_MS);
    frozen.iter().for_each(|host| mesh.thaw(*host));
    publish_and_check(&mut mesh, &mut versions, others, FROZEN_FOR_MS);
}
