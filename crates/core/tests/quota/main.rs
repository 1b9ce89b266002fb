//! Quotas over all hosts, in a simulated network.
//!
//! Two failures are guarded against: more calls of an organisation run than its quota allows
//! within 5 s, because processes decide without knowledge of each other's calls; and calls are
//! refused although the organisation is below its quota.
//!
//! `QUOTA_SEEDS=1..1000 cargo test -p fireflylug-core --test quota` runs other seeds.

mod organisation;
mod world;

use organisation::Organisation;
use rand::Rng;
use rand::rngs::SmallRng;
use world::{Fault, SECOND, World};

const HOSTS: usize = 79;
const ZONES: usize = 4;

fn seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("QUOTA_SEEDS") else { return default };
    let (from, to) = text.split_once("..").expect("the seeds are a range");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Unequal weights of the hosts.
fn skewed() -> Vec<f64> {
    (0..HOSTS).map(|host| 1.0 / (1.0 + (host * 31 % HOSTS) as f64).sqrt()).collect()
}

fn organisations() -> Vec<Organisation> {
    vec![
        Organisation::new("small", 2.0, 2.0, &vec![1.0; HOSTS]),
        Organisation::new("middle", 30.0, 15.0, &skewed()),
        Organisation::new("strict", 150.0, 0.0, &skewed()),
        Organisation::new("large", 540.0, 540.0, &vec![1.0; HOSTS]),
    ]
}

fn only_in(zones: &[usize], zone: usize) -> Vec<f64> {
    zones.iter().map(|other| f64::from(u8::from(*other == zone))).collect()
}

/// Weights that all hosts have, one zone has, or one host has.
fn random_weights(rng: &mut SmallRng, zones: &[usize]) -> Vec<f64> {
    match rng.random_range(0..4) {
        0 => skewed(),
        1 => vec![1.0; HOSTS],
        2 => only_in(zones, rng.random_range(0..ZONES)),
        _ => {
            let host = rng.random_range(0..HOSTS);
            (0..HOSTS).map(|other| f64::from(u8::from(other == host))).collect()
        }
    }
}

fn zone_cut(zones: &[usize], zone: usize) -> Vec<usize> {
    zones.iter().map(|other| usize::from(*other == zone)).collect()
}

fn host_cut(rng: &mut SmallRng) -> Vec<usize> {
    (0..HOSTS).map(|host| if rng.random_bool(0.17) { host + 1 } else { 0 }).collect()
}

fn plan_random_fault(world: &mut World, rng: &mut SmallRng, at: u64) {
    let zones = world.zones();
    let us = rng.random_range(3_000_000..7_000_000);
    let holds = rng.random_bool(0.5);
    let zone = rng.random_range(0..ZONES);
    match rng.random_range(0..7) {
        0 | 1 => {
            let groups = if rng.random_bool(0.5) { zone_cut(&zones, zone) } else { host_cut(rng) };
            world.plan(at, Fault::Cut { groups, holds });
            world.plan(at + us, Fault::Cut { groups: vec![0; HOSTS], holds: false });
        }
        2 => {
            let node = world.relay(zone);
            world.plan(at, Fault::Freeze { node, us: us.max(4 * SECOND) });
        }
        3 => {
            for _ in 0..8 {
                let node = rng.random_range(0..HOSTS);
                world.plan(at, Fault::Freeze { node, us: us.max(4 * SECOND) });
            }
        }
        4 => {
            // The relay is killed, replaced and comes back.
            let node = world.relay(zone);
            world.plan(at, Fault::Restart { nodes: vec![node], down_us: us });
            world.plan(at + SECOND, Fault::Dead { node });
        }
        5 => {
            let down_us = rng.random_range(0..SECOND);
            world.plan(at, Fault::Restart { nodes: (0..HOSTS).collect(), down_us });
        }
        _ => {
            let organisation = rng.random_range(0..world.organisations.len());
            let mut limit = world.organisations[organisation].limit();
            for step in 0..rng.random_range(1..3) {
                limit.rate_per_s *= 0.6;
                limit.burst *= 0.6;
                world.plan(at + step * SECOND, Fault::Limit { organisation, limit });
            }
        }
    }
}

/// Bursts of demand, moving demand and faults at random times.
fn run_random(seed: u64) -> World {
    let mut world = World::new(seed, HOSTS, ZONES, organisations());
    world.run(SECOND / 2);
    let mut rng = world.rng.clone();
    let zones = world.zones();
    let fault_at = rng.random_range(6 * SECOND..14 * SECOND);
    plan_random_fault(&mut world, &mut rng, fault_at);
    if rng.random_bool(0.3) {
        let at = fault_at + rng.random_range(0..5 * SECOND);
        plan_random_fault(&mut world, &mut rng, at);
    }
    for organisation in 0..world.organisations.len() {
        // A burst begins shortly before, during or after the fault.
        let from = fault_at + rng.random_range(0..8 * SECOND) - 2 * SECOND;
        let to = from + rng.random_range(5_000_000..6_500_000);
        let factor = rng.random_range(4.0..7.5);
        world.organisations[organisation].bursts.push((from, to, factor));
        let at = rng.random_range(5 * SECOND..20 * SECOND);
        let weights = random_weights(&mut rng, &zones);
        world.plan(at, Fault::Move { organisation, weights });
    }
    world.run(26 * SECOND);
    world
}

/// Guards against more calls within 5 s than the quota allows, while demand rises to several times
/// the quota and processes, zones and links fail.
#[test]
fn no_window_exceeds_the_quota() {
    let mut failures = Vec::new();
    for seed in seeds(1..5) {
        let world = run_random(seed);
        for organisation in &world.organisations {
            let (calls, bound, end) = organisation.worst_window();
            if calls as f64 > bound {
                let name = &organisation.name;
                failures.push(format!(
                    "seed {seed}: {name} {calls} > {bound:.0} until {end} us; burst {:?}; {:#?}",
                    organisation.bursts, world.planned
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}

fn run_calm(seed: u64, plan: impl FnOnce(&mut World, &mut SmallRng)) -> World {
    let mut world = World::new(seed, HOSTS, ZONES, organisations());
    world.run(SECOND / 2);
    let mut rng = world.rng.clone();
    plan(&mut world, &mut rng);
    world.run(40 * SECOND);
    world
}

/// Share of the calls of all organisations that was refused, and the highest of one.
fn refused_share(world: &World) -> f64 {
    let from = 2 * SECOND;
    let count = |times: &[u64]| times.iter().filter(|at| **at >= from).count();
    let refused: usize = world.organisations.iter().map(|o| count(&o.refused)).sum();
    let admitted: usize = world.organisations.iter().map(|o| count(&o.admitted)).sum();
    refused as f64 / (refused + admitted) as f64
}

fn assert_refused_below(max_share: f64, run: impl Fn(u64) -> World) {
    let mut failures = Vec::new();
    for seed in seeds(1..3) {
        let world = run(seed);
        let by_organisation: Vec<String> = world
            .organisations
            .iter()
            .map(|o| format!("{} {:.4}", o.name, o.refused_share(2 * SECOND)))
            .collect();
        let share = refused_share(&world);
        if share > max_share {
            failures.push(format!("seed {seed}: {share:.4} of {}", by_organisation.join(", ")));
        }
    }
    assert!(failures.is_empty(), "{} failures:\n{}", failures.len(), failures.join("\n"));
}

/// Guards against refusals below the quota while the demand is unequal and moves between hosts and
/// zones.
#[test]
fn calls_below_the_quota_are_admitted() {
    assert_refused_below(0.005, |seed| {
        run_calm(seed, |world, rng| {
            let zones = world.zones();
            for organisation in 0..world.organisations.len() {
                for at in [8, 16, 24, 32] {
                    let weights = random_weights(rng, &zones);
                    world.plan(at * SECOND, Fault::Move { organisation, weights });
                }
            }
        })
    });
}

/// Guards against refusals below the quota on both sides while a zone is cut off.
#[test]
fn calls_below_the_quota_are_admitted_while_a_zone_is_cut_off() {
    assert_refused_below(0.03, |seed| {
        run_calm(seed, |world, rng| {
            let groups = zone_cut(&world.zones(), rng.random_range(0..ZONES));
            world.plan(6 * SECOND, Fault::Cut { groups, holds: rng.random_bool(0.5) });
            let groups = vec![0; HOSTS];
            world.plan(36 * SECOND, Fault::Cut { groups, holds: false });
        })
    });
}

/// Guards against repeated calls that take the credit of calls which can still be served in time.
#[test]
fn late_calls_get_credit_only_below_the_quota() {
    let mut world = World::new(1, HOSTS, ZONES, organisations());
    let [exceeding, below] = [3, 1];
    world.organisations[exceeding].bursts.push((2 * SECOND, 8 * SECOND, 4.0));
    world.run(6 * SECOND);

    let admitted = |world: &mut World, organisation| {
        (0..HOSTS).filter(|host| world.admits_late(*host, organisation)).count()
    };

    assert_eq!(admitted(&mut world, exceeding), 0);
    assert_eq!(admitted(&mut world, below), HOSTS);
}

/// Guards against messages that fill the links of the hosts. 81 organisations make 1,500 calls per
/// second; no host sends more than 1 KB/s on average.
#[test]
fn traffic_is_small() {
    let hosts = 610;
    let sum: f64 = (1..82).map(|rank| f64::from(rank).powf(-1.2)).sum();
    let organisation = |rank: i32| {
        let usual_per_s = 1_500.0 * f64::from(rank).powf(-1.2) / sum;
        Organisation::new(&format!("o{rank}"), usual_per_s * 1.6, usual_per_s, &vec![1.0; hosts])
    };
    let mut world = World::new(1, hosts, 8, (1..82).map(organisation).collect());
    world.run(2 * SECOND);
    world.sent_bytes = Some(0);

    world.run(7 * SECOND);

    let sent_bytes = world.sent_bytes.expect("it is counted");
    let bytes_per_s = sent_bytes / 5 / hosts as u64;
    println!("{bytes_per_s} bytes/s for each host");
    assert!(bytes_per_s < 1_000, "{bytes_per_s} bytes/s");
}
