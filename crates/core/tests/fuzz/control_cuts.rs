//! Control hosts that are cut off from each other, while all other hosts reach them and each other.

use fireflylug_core::consensus::ControlRole;
use fireflylug_core::ids::{Name, Version};
use fireflylug_core::membership::CUT_OFF_AFTER_MS;
use rstest::rstest;

use crate::control_hosts::JOIN_MS;
use crate::world::{Layout, World};

/// Proxies in each availability zone.
const PROXIES_PER_ZONE: usize = 4;

/// The users' bound for a host to be in touch again after the beginning of a cut, in milliseconds.
const IN_TOUCH_WITHIN_MS: u64 = 4_000;

/// The users' bound for a configuration to be in force at hosts that are in touch, in milliseconds.
const CONFIG_WITHIN_MS: u64 = 2_500;

/// Interval at which an operator's client sends a change again, in milliseconds.
const RESEND_EVERY_MS: u64 = 500;

/// A mesh with the same number of control hosts in each availability zone.
#[derive(Clone, Copy, Debug)]
struct Shape {
    zones: usize,
    control_hosts: usize,
    voters: usize,
    has_slow_proxies: bool,
}

fn started_world(shape: Shape, seed: u64) -> World {
    let hosts = shape.control_hosts + shape.zones * PROXIES_PER_ZONE;
    let layout = Layout {
        zones: (0..hosts).map(|host| host % shape.zones).collect(),
        control_hosts: shape.control_hosts,
        desired_voter_count: Some(shape.voters),
        has_slow_proxies: shape.has_slow_proxies,
    };
    let mut world = World::with_layout(seed, &layout);
    world.run_ms(JOIN_MS);
    change(&mut world, 0);
    world.run_ms(CONFIG_WITHIN_MS);
    world
}

/// Sends changes to a host until one is accepted. Returns its version.
fn change(world: &mut World, host: usize) -> Version {
    let before = world.oracle.newest_accepted();
    while world.oracle.newest_accepted() == before {
        world.put(host, 0, None);
        world.run_ms(RESEND_EVERY_MS);
    }
    world.oracle.newest_accepted()
}

/// The availability zones, those whose first control host is a standby before the others.
fn zones_standbys_first(world: &World, shape: Shape) -> Vec<usize> {
    let mut zones: Vec<usize> = (0..shape.zones).collect();
    zones.sort_by_key(|zone| world.control_role(*zone) != Some(ControlRole::Standby));
    zones
}

/// The relay of an availability zone, by the records of its first host.
fn relay_of(world: &World, zone: usize) -> usize {
    let name = Name::new(format!("zone-{zone}")).expect("a valid name");
    let membership = world.hosts[zone].state.as_ref().expect("up").membership();
    let relay = membership.relay(&name).expect("a relay");
    world.hosts.iter().position(|host| host.id == relay).expect("a host")
}

/// The control host that is the relay of an availability zone, or the zone's first control host.
fn control_host_of(world: &World, shape: Shape, zone: usize) -> usize {
    let relay = relay_of(world, zone);
    if relay < shape.control_hosts { relay } else { zone }
}

fn proxies_behind(world: &World, shape: Shape, version: Version) -> Vec<usize> {
    let serving = world.serving().into_iter();
    let behind = serving.filter(|(host, held)| *host >= shape.control_hosts && *held < version);
    behind.map(|(host, _)| host).collect()
}

// Guards against an availability zone that stays on an old version while its control host is cut
// off from the other control hosts, although its proxies reach them.
#[rstest]
#[case::one_control_host_a_zone(Shape { zones: 4, control_hosts: 4, voters: 3, has_slow_proxies: true })]
#[case::control_hosts_are_no_relays(Shape { zones: 4, control_hosts: 4, voters: 3, has_slow_proxies: false })]
#[case::standbys(Shape { zones: 16, control_hosts: 16, voters: 5, has_slow_proxies: true })]
#[case::three_control_hosts_a_zone(Shape { zones: 8, control_hosts: 24, voters: 5, has_slow_proxies: true })]
fn zone_gets_new_versions_while_its_control_host_is_cut_off_from_the_others(
    #[case] shape: Shape,
    #[values(0, 1, 2, 3)] zone_index: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = started_world(shape, seed);
    let zone = zones_standbys_first(&world, shape)[zone_index];
    let cut_host = control_host_of(&world, shape, zone);
    let others: Vec<usize> = (0..shape.control_hosts).filter(|host| *host != cut_host).collect();
    let operator = others[0];
    let began_us = world.now_us;
    world.network.cut_between(&[cut_host], &others);

    let version = change(&mut world, operator);
    world.run_ms(IN_TOUCH_WITHIN_MS.saturating_sub((world.now_us - began_us) / 1_000));
    let behind_the_first = proxies_behind(&world, shape, version);
    let version = change(&mut world, operator);
    world.run_ms(CONFIG_WITHIN_MS);
    let behind_the_second = proxies_behind(&world, shape, version);

    assert!(behind_the_first.is_empty(), "behind once in touch: {behind_the_first:?}");
    assert!(behind_the_second.is_empty(), "behind the next version: {behind_the_second:?}");
}

// Guards against an availability zone that stays on an old version while the proxy that is its relay
// is cut off from all control hosts.
#[rstest]
fn zone_gets_new_versions_while_its_relay_is_cut_off_from_the_control_hosts(
    #[values(0, 1, 2, 3)] zone: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let shape = Shape { zones: 4, control_hosts: 4, voters: 3, has_slow_proxies: false };
    let mut world = started_world(shape, seed);
    let relay = relay_of(&world, zone);
    let control_hosts: Vec<usize> = (0..shape.control_hosts).collect();
    let began_us = world.now_us;
    world.network.cut_between(&[relay], &control_hosts);

    let version = change(&mut world, 0);
    world.run_ms(IN_TOUCH_WITHIN_MS.saturating_sub((world.now_us - began_us) / 1_000));
    let behind_the_first = proxies_behind(&world, shape, version);
    let version = change(&mut world, 0);
    world.run_ms(CONFIG_WITHIN_MS);
    let behind_the_second = proxies_behind(&world, shape, version);

    let in_touch = |behind: Vec<usize>| behind.into_iter().filter(|host| *host != relay).count();
    assert!(relay >= shape.control_hosts, "the relay is a proxy");
    assert_eq!((in_touch(behind_the_first), in_touch(behind_the_second)), (0, 0));
}

/// Which control hosts a cut separates from the other ones.
#[derive(Clone, Copy, Debug)]
enum CutControlHosts {
    One,
    /// Every second one, so that neither side has more than half.
    Half,
}

// Guards against zones that count as cut off from each other because their relays, control hosts,
// are, although all their other hosts reach each other.
#[rstest]
fn zones_stay_reachable_while_their_control_hosts_are_cut_off_from_each_other(
    #[values(CutControlHosts::One, CutControlHosts::Half)] cut: CutControlHosts,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let shape = Shape { zones: 4, control_hosts: 4, voters: 3, has_slow_proxies: true };
    let mut world = started_world(shape, seed);
    let is_cut = |host: &usize| match cut {
        CutControlHosts::One => *host == seed as usize % shape.control_hosts,
        CutControlHosts::Half => host.is_multiple_of(2),
    };
    let (one, other): (Vec<usize>, Vec<usize>) = (0..shape.control_hosts).partition(is_cut);
    world.network.cut_between(&one, &other);

    world.run_ms(2 * CUT_OFF_AFTER_MS);

    let zones = (0..shape.zones).map(|zone| Name::new(format!("zone-{zone}")).expect("valid"));
    let zones: Vec<Name> = zones.collect();
    let proxies = shape.control_hosts..world.hosts.len();
    let is_any_zone_cut_off = |host: &usize| {
        let membership = world.hosts[*host].state.as_ref().expect("up").membership();
        zones.iter().any(|zone| membership.is_cut_off(zone))
    };
    let affected: Vec<usize> = proxies.filter(is_any_zone_cut_off).collect();
    assert!(affected.is_empty(), "a zone counts as cut off at {affected:?}");
}
