//! Prints the traffic of an idle mesh and of one change, for several numbers of proxies.
//!
//! ```text
//! cargo test -p fireflylug-core --test scale -- --ignored --nocapture
//! ```

mod mesh;

use std::collections::BTreeMap;

use fireflylug_core::ids::{NodeId, Version};
use mesh::Mesh;
use mesh::fixtures::{Zone, configuration, zone};
use rstest::rstest;

/// Number of resources of the configuration that is changed.
const RESOURCES: u64 = 200;

/// Time over which the traffic of the idle mesh is counted, in seconds.
const IDLE_S: u64 = 20;

/// Number of changes over which the traffic of one is averaged.
const CHANGES: u64 = 10;

fn four_zones(hosts: [usize; 4]) -> Vec<Zone> {
    vec![
        zone("kochi", "kochi-aluva", hosts[0], 1),
        zone("kochi", "kochi-ernakulam", hosts[1], 1),
        zone("kozhikode", "kzd-feroke", hosts[2], 1),
        zone("kozhikode", "kzd-mavoor", hosts[3], 0),
    ]
}

/// Three regions with eight availability zones. One region has no control replica.
fn eight_zones(hosts: usize) -> Vec<Zone> {
    let zones = [
        ("r-1", "r-1-a", 1),
        ("r-1", "r-1-b", 1),
        ("r-1", "r-1-c", 1),
        ("r-2", "r-2-a", 1),
        ("r-2", "r-2-b", 1),
        ("r-2", "r-2-c", 0),
        ("r-3", "r-3-a", 0),
        ("r-3", "r-3-b", 0),
    ];
    let count = zones.len();
    let hosts_of = |index: usize| hosts / count + usize::from(index < hosts % count);
    zones
        .into_iter()
        .enumerate()
        .map(|(index, (region, name, control))| zone(region, name, hosts_of(index), control))
        .collect()
}

fn services(version: u64) -> Vec<(String, u64)> {
    let changed = |index: u64| if index == 0 { version } else { 1 };
    (0..RESOURCES).map(|index| (format!("service-{index}"), changed(index))).collect()
}

fn is_held_everywhere(mesh: &Mesh, version: u64) -> bool {
    mesh.running().all(|(_, process)| process.version() >= version)
}

fn is_reported_in_force(mesh: &Mesh, version: u64) -> bool {
    mesh.running().filter(|(_, process)| process.me.control).all(|(_, process)| {
        let progress = process.progress.as_ref();
        progress.is_some_and(|p| p.version >= Version(version) && p.is_in_force())
    })
}

fn print_idle(mesh: &Mesh) {
    for kind in ["membership", "distribution"] {
        let mut bytes: BTreeMap<NodeId, u64> = BTreeMap::new();
        for ((sender, of), count) in &mesh.traffic.sent {
            if *of == kind {
                *bytes.entry(*sender).or_default() += count.bytes;
            }
        }
        let mean = mesh.traffic.total(kind).bytes / mesh.len() as u64 / IDLE_S;
        let most = bytes.values().max().copied().unwrap_or(0) / IDLE_S;
        let messages =
            mesh.traffic.total(kind).messages as f64 / (mesh.len() as u64 * IDLE_S) as f64;
        println!(
            "  idle {kind}: mean {mean} B/s sent a proxy, most {most}, {messages:.1} messages/s"
        );
    }
    print_between(mesh, IDLE_S, "idle bytes/s");
}

fn print_between(mesh: &Mesh, divisor: u64, what: &str) {
    for ((from, to, kind), count) in &mesh.traffic.between_regions {
        let bytes = count.bytes / divisor;
        let messages = count.messages as f64 / divisor as f64;
        println!("  {what} {from} to {to}, {kind}: {bytes} in {messages:.1} messages");
    }
}

#[rstest]
#[case::users_size(four_zones([4, 4, 3, 3]))]
#[case::sixty(four_zones([15; 4]))]
#[case::two_hundred_forty(four_zones([60; 4]))]
#[case::sixty_in_eight_zones(eight_zones(60))]
#[case::large(eight_zones(610))]
#[ignore = "prints figures; slow"]
fn cost_of_idling_and_of_a_change(#[case] zones: Vec<Zone>) {
    let mut mesh = Mesh::started(&zones, 1);
    println!("{} proxies, {} availability zones", mesh.len(), zones.len());
    let first = configuration(1, &services(1));
    mesh.publish(&first);
    mesh.run_until("version 1 in force", 60, |mesh| {
        is_held_everywhere(mesh, 1) && is_reported_in_force(mesh, 1)
    });
    mesh.run_ms(10_000);

    mesh.traffic.reset();
    mesh.run_ms(IDLE_S * 1_000);
    print_idle(&mesh);

    mesh.traffic.reset();
    let mut held_ms = 0;
    let mut reported_ms = 0;
    for version in 2..2 + CHANGES {
        let next = configuration(version, &services(version));
        mesh.publish(&next);
        held_ms = held_ms
            .max(mesh.run_until("version held", 10, |mesh| is_held_everywhere(mesh, version)));
        reported_ms = reported_ms.max(
            mesh.run_until("version in force", 10, |mesh| is_reported_in_force(mesh, version)),
        );
    }
    println!("  slowest change: held after {held_ms} ms, reported in force {reported_ms} ms later");
    let total = mesh.traffic.total("distribution");
    println!(
        "  a change: {} messages, {} bytes over all proxies",
        total.messages / CHANGES,
        total.bytes / CHANGES
    );
    for host in mesh.controls() {
        let sent = mesh.traffic.sent_by(mesh.identity(host).id, "distribution");
        println!(
            "  a change, sent by {}: {} messages, {} bytes",
            mesh.identity(host).host,
            sent.messages / CHANGES,
            sent.bytes / CHANGES
        );
    }
    print_between(&mesh, CHANGES, "a change,");
}
