//! Whether availability zones count as cut off while some of their hosts are silent.

mod mesh;

use mesh::Mesh;
use mesh::fixtures::{Zone, name, two_regions, zone};
use rstest::rstest;

/// Time for which hosts are frozen, in milliseconds.
const FROZEN_FOR_MS: u64 = 8_000;

/// Interval at which the hosts are checked, in milliseconds.
const CHECK_EVERY_MS: u64 = 20;

// Guards against a relay that takes its own standstill for that of the other zones.
#[rstest]
fn relay_that_was_frozen_reports_no_zone_as_cut_off(#[values(1, 2, 3, 4)] seed: u64) {
    let mut mesh = Mesh::started(&two_regions(5), seed);
    let relay = mesh.relay("kochi-ernakulam");
    mesh.freeze(relay);
    mesh.run_ms(FROZEN_FOR_MS);

    mesh.thaw(relay);

    let zones = two_regions(5);
    for _ in 0..FROZEN_FOR_MS / CHECK_EVERY_MS {
        mesh.run_ms(CHECK_EVERY_MS);
        for (host, process) in mesh.running() {
            let cut_off = zones.iter().find(|z| process.membership.is_cut_off(&name(z.name)));
            let cut_off = cut_off.map(|zone| zone.name);
            assert_eq!(cut_off, None, "at {}", mesh.identity(host).host);
        }
    }
}

// Guards against a zone that counts as cut off because its relay is silent, although another of its
// hosts is heard.
#[rstest]
fn zone_with_a_silent_relay_is_not_cut_off(#[values(1, 2, 3, 4)] seed: u64) {
    let zones = [zone("kochi", "kochi-aluva", 6, 1), zone("kozhikode", "kzd-feroke", 6, 0)];
    let mut mesh = Mesh::started(&zones, seed);
    let silent: Vec<usize> =
        mesh.zone_hosts("kochi-aluva").into_iter().filter(|h| !mesh.identity(*h).control).collect();
    silent.iter().for_each(|host| mesh.freeze(*host));

    for _ in 0..2 * FROZEN_FOR_MS / CHECK_EVERY_MS {
        mesh.run_ms(CHECK_EVERY_MS);

        let others = mesh.zone_hosts("kzd-feroke");
        let mut others = others.iter().map(|host| mesh.process(*host));
        assert!(others.all(|process| !process.membership.is_cut_off(&name("kochi-aluva"))));
    }
}

/// The first hosts of an availability zone in the order in which they become its relay.
fn first_relays(zones: &[Zone], zone: &str, count: usize) -> Vec<usize> {
    let mut mesh = Mesh::started(zones, 1);
    let mut relays = Vec::new();
    while relays.len() < count {
        let (_, last) = mesh.running().last().expect("a host");
        let relay = last.membership.relay(&name(zone)).expect("a relay");
        let relay = mesh.host_of(relay);
        relays.push(relay);
        mesh.crash(relay);
        mesh.run_ms(FROZEN_FOR_MS);
    }
    relays
}

// Guards against zones that count as cut off because their relays ask one silent host after another.
#[rstest]
fn zones_whose_first_hosts_are_silent_are_not_cut_off(
    #[values(2, 3, 4)] silent_count: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let zones = ["kochi-aluva", "kochi-ernakulam", "kzd-feroke"].map(|z| zone("kochi", z, 9, 0));
    let mut mesh = Mesh::started(&zones, seed);
    let mut silent = Vec::new();
    for zone in &zones {
        silent.extend(first_relays(&zones, zone.name, silent_count));
    }
    silent.iter().for_each(|host| mesh.freeze(*host));

    for _ in 0..3 * FROZEN_FOR_MS / CHECK_EVERY_MS {
        mesh.run_ms(CHECK_EVERY_MS);

        for host in mesh.hosts_except(&silent) {
            let membership = &mesh.process(host).membership;
            let cut_off = zones.iter().find(|zone| membership.is_cut_off(&name(zone.name)));
            let cut_off = cut_off.map(|zone| zone.name);
            assert_eq!(cut_off, None, "at {}", mesh.identity(host).host);
        }
    }
}
