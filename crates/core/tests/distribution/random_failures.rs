//! Random failures in series and overlapping.

use std::sync::Arc;

use fireflylug_core::config::Configuration;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::mesh::fixtures::two_regions;
use crate::mesh::{Faults, Mesh};
use crate::{all_hold, all_ready, all_report_in_force, mesh_with_first, run_and_check};

/// Which hosts a cut separates from all others.
#[derive(Clone, Copy, Debug)]
enum CutHosts {
    /// An availability zone, or one host.
    ZoneOrHost,
    /// Hosts of any zones, in half of the cases with resets.
    Any,
}

/// Applies random failures to a mesh and checks at every millisecond that no guarantee is broken.
#[rstest]
fn random_failures_break_no_promise(
    #[values(CutHosts::ZoneOrHost, CutHosts::Any)] cut_hosts: CutHosts,
    #[values(1, 2, 5, 28, 48, 67)] seed: u64,
) {
    let (mut mesh, versions) = mesh_with_first(&two_regions(4), seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut newest = 1;
    let mut cut: Option<Vec<usize>> = None;

    for _ in 0..60 {
        match rng.random_range(0..7) {
            0 | 1 => {
                newest += 1;
                mesh.publish(&versions[newest as usize - 1]);
            }
            2 => {
                newest += 1;
                let lagging = *mesh.controls().choose(&mut rng).unwrap();
                for control in mesh.controls().into_iter().filter(|c| *c != lagging) {
                    publish_if_running(&mut mesh, control, &versions[newest as usize - 1]);
                }
            }
            3 => {
                let host = rng.random_range(0..mesh.len());
                mesh.crash(host);
                run_and_check(&mut mesh, rng.random_range(0..3_000));
                mesh.start(host);
                publish_if_control(&mut mesh, host, &versions[newest as usize - 1]);
            }
            4 => {
                let hosts: Vec<usize> =
                    (0..mesh.len()).filter(|_| rng.random_range(0..3) == 0).collect();
                hosts.iter().for_each(|host| mesh.crash(*host));
                run_and_check(&mut mesh, rng.random_range(0..500));
                for host in hosts {
                    mesh.start(host);
                    publish_if_control(&mut mesh, host, &versions[newest as usize - 1]);
                }
            }
            5 => {
                heal(&mut mesh, &mut cut);
                cut = Some(cut_some(&mut mesh, &mut rng, cut_hosts));
            }
            _ => {
                heal(&mut mesh, &mut cut);
                let lossy = Faults { drop_percent: 20, duplicate_percent: 20, delay_us: 100_000 };
                mesh.faults = if rng.random() { lossy } else { Faults::default() };
            }
        }
        run_and_check(&mut mesh, rng.random_range(0..2_000));
    }
    heal(&mut mesh, &mut cut);
    mesh.faults = Faults::default();
    mesh.publish(&versions[newest as usize - 1]);

    mesh.run_until("all hold the newest version", 30, |mesh| all_hold(mesh, newest));
    mesh.run_until("all are ready", 10, all_ready);
    mesh.run_until("reported in force", 60, |mesh| all_report_in_force(mesh, newest));
}

fn publish_if_running(mesh: &mut Mesh, host: usize, version: &Arc<Configuration>) {
    if mesh.running().any(|(running, _)| running == host) {
        mesh.publish_at(host, version);
    }
}

fn publish_if_control(mesh: &mut Mesh, host: usize, version: &Arc<Configuration>) {
    if mesh.identity(host).control {
        mesh.publish_at(host, version);
    }
}

/// Cuts some hosts off from all others and returns them.
fn cut_some(mesh: &mut Mesh, rng: &mut SmallRng, cut_hosts: CutHosts) -> Vec<usize> {
    let zones = ["kochi-aluva", "kochi-ernakulam", "kzd-feroke", "kzd-mavoor"];
    let some = match cut_hosts {
        CutHosts::ZoneOrHost => {
            let zone = mesh.zone_hosts(zones.choose(rng).unwrap());
            if rng.random() { zone } else { zone[..1].to_vec() }
        }
        CutHosts::Any => (0..mesh.len()).filter(|_| rng.random_ratio(2, 5)).collect(),
    };
    let others = mesh.hosts_except(&some);
    match cut_hosts {
        CutHosts::Any if rng.random() => mesh.cut_with_resets(&some, &others),
        _ => mesh.set_cut(&some, &others, true),
    }
    some
}

fn heal(mesh: &mut Mesh, cut: &mut Option<Vec<usize>>) {
    if let Some(hosts) = cut.take() {
        let others = mesh.hosts_except(&hosts);
        mesh.set_cut(&hosts, &others, false);
    }
}
