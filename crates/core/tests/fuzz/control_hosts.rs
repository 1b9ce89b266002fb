//! Control hosts of a mesh, of which there may be many more than voters.

use fireflylug_core::api::ApiRequest;
use fireflylug_core::consensus::ControlRole;
use fireflylug_core::distribution::CUT_OFF_FROM_CONTROL_AFTER_MS;
use rstest::rstest;

use crate::world::{Layout, World};

/// Number of voters that the leader maintains.
pub const VOTERS: usize = 5;

/// Time within which an operator's client expects an answer, in milliseconds. It then
/// sends the request to another host.
pub const CLIENT_TIMEOUT_MS: u64 = 1_000;

/// Time within which a restarted proxy of a mesh without faults serves, in milliseconds. Shorter than
/// the interval at which a process refreshes the status of its parent.
const SERVES_AFTER_START_MS: u64 = 3_000;

/// Time after the end of all faults within which the mesh has recovered, in milliseconds.
pub const RECOVERY_MS: u64 = 15_000;

/// Time after which the leader has forgotten a host that is down, in milliseconds.
const AWAY_MS: u64 = 15_000;

/// Time for the hosts to join and for the leader to promote the voters, in milliseconds.
pub const JOIN_MS: u64 = 10_000;

/// A mesh in eight availability zones with `control_hosts` control hosts and eight proxies, whose
/// leader maintains five voters. With slow proxies, control hosts are the relays of the zones.
fn started_world(control_hosts: usize, has_slow_proxies: bool, seed: u64) -> World {
    let zones = (0..control_hosts + 8).map(|host| host % 8).collect();
    let layout =
        Layout { zones, control_hosts, desired_voter_count: Some(VOTERS), has_slow_proxies };
    let mut world = World::with_layout(seed, &layout);
    world.run_ms(JOIN_MS);
    world.put(0, 0, None);
    world.run_ms(CLIENT_TIMEOUT_MS);
    world
}

/// Control hosts beyond those to which the leader replicates found no leader: they held changes
/// and reads until these timed out, and the last read that was answered was an old one.
#[rstest]
fn every_control_host_answers_changes_and_reads(
    #[values(3, 9, 24)] control_hosts: usize,
    #[values(false, true)] has_slow_proxies: bool,
    #[values(1, 2)] seed: u64,
) {
    let mut world = started_world(control_hosts, has_slow_proxies, seed);

    for host in 0..world.hosts.len() {
        world.put(host, 0, None);
        world.read(host);
        world.run_ms(CLIENT_TIMEOUT_MS);
    }

    let open = |host: &usize| world.open_requests(*host) > 0;
    let unanswered: Vec<usize> = (0..world.hosts.len()).filter(open).collect();
    assert!(unanswered.is_empty(), "no answer within {CLIENT_TIMEOUT_MS} ms at {unanswered:?}");
}

/// A control host to which no leader replicates was the relay of its availability zone and had no
/// parent: the zone lost contact with the control plane, and a proxy that was restarted there
/// waited for a contact that never came.
#[rstest]
fn zone_keeps_contact_with_the_control_plane_whichever_control_host_is_its_relay(
    #[values(3, 9, 24)] control_hosts: usize,
    #[values(false, true)] has_slow_proxies: bool,
    #[values(1, 2)] seed: u64,
) {
    let mut world = started_world(control_hosts, has_slow_proxies, seed);
    let proxies = control_hosts..world.hosts.len();

    for host in proxies.clone() {
        world.crash(host);
        world.start(host);
    }
    world.run_ms(CUT_OFF_FROM_CONTROL_AFTER_MS + JOIN_MS);

    let cut_off: Vec<usize> =
        (0..world.hosts.len()).filter(|host| world.is_cut_off_from_control(*host)).collect();
    let serving: Vec<usize> = world.serving().into_iter().map(|(host, _)| host).collect();
    let waiting: Vec<usize> = proxies.filter(|host| !serving.contains(host)).collect();
    assert!(cut_off.is_empty(), "cut off from the control plane: {cut_off:?}");
    assert!(waiting.is_empty(), "not serving since the restart: {waiting:?}");
}

/// A control host to which no leader replicates was reported as a learner, which an operator
/// takes for one that follows.
#[rstest]
fn status_tells_standbys_from_learners() {
    let world = started_world(24, true, 1);

    let roles = (0..world.hosts.len()).filter_map(|host| world.control_role(host));
    let standbys = roles.filter(|role| *role == ControlRole::Standby).count();

    assert!(standbys > 0);
    assert_eq!(world.voters().len(), VOTERS);
}

/// A change that was just accepted is lost with the tolerated number of disks while every other
/// process loses its power.
#[rstest]
#[case::one_of_three_voters(3, 1)]
#[case::two_of_five_voters(24, 2)]
fn accepted_change_survives_lost_disks_while_all_others_lose_power(
    #[case] control_hosts: usize,
    #[case] lost_disks: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut world = started_world(control_hosts, true, seed);
    let mut losing = world.voters();
    losing.truncate(lost_disks);
    let before = world.oracle.newest_accepted();
    world.put(0, 1, None);
    while world.oracle.newest_accepted() == before {
        world.run_ms(1);
    }
    let accepted = world.oracle.newest_accepted();

    let hosts = 0..world.hosts.len();
    hosts.clone().for_each(|host| world.crash(host));
    losing.iter().for_each(|host| world.install_blank_disk(*host));
    hosts.clone().for_each(|host| world.start(host));
    world.run_ms(RECOVERY_MS);
    hosts.clone().for_each(|host| world.read(host));
    world.put(0, 2, None);
    world.run_ms(CLIENT_TIMEOUT_MS);

    let unanswered: Vec<usize> = hosts.filter(|host| world.open_requests(*host) > 0).collect();
    assert!(unanswered.is_empty(), "no answer after the recovery at {unanswered:?}");
    assert!(world.oracle.newest_accepted() > accepted, "no change is accepted any more");
    assert!(world.serving().iter().all(|(_, version)| *version >= accepted));
    assert_eq!(world.serving().len(), world.hosts.len());
}

/// A voter that was replaced while it was down, and to which no leader replicated when it was back,
/// took itself for a voter for ever: it answered no read and no change.
#[rstest]
fn voter_replaced_while_it_was_down_answers_once_it_is_back(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = started_world(24, true, seed);
    let replaced = world.voters()[1];

    world.crash(replaced);
    world.run_ms(AWAY_MS);
    world.start(replaced);
    world.run_ms(RECOVERY_MS);
    world.put(replaced, 1, None);
    world.read(replaced);
    world.run_ms(CLIENT_TIMEOUT_MS);

    let voters = world.voters_of_leader().expect("a leader");
    assert!(!voters.contains(&replaced), "voters: {voters:?}");
    assert_eq!(world.open_requests(replaced), 0, "open requests at host {replaced}");
    assert_eq!(world.control_role(replaced), Some(ControlRole::Standby));
}

/// A proxy restarted below a relay without the log could ask it for a contact with the control
/// plane once only, and then wait for the next refresh.
#[rstest]
fn proxy_restarted_below_a_standby_relay_serves_soon(#[values(1, 2, 3, 4)] seed: u64) {
    let mut world = started_world(24, true, seed);
    let proxies = 24..world.hosts.len();

    for host in proxies.clone() {
        world.crash(host);
        world.start(host);
    }
    world.run_ms(SERVES_AFTER_START_MS);

    let serving: Vec<usize> = world.serving().into_iter().map(|(host, _)| host).collect();
    let waiting: Vec<usize> = proxies.filter(|host| !serving.contains(host)).collect();
    assert!(waiting.is_empty(), "not serving {SERVES_AFTER_START_MS} ms after: {waiting:?}");
}

/// A watch at a control host to which no leader replicates stayed open and never reported a
/// version.
#[rstest]
fn every_open_watch_reports_the_next_version(
    #[values(3, 9, 24)] control_hosts: usize,
    #[values(1, 2)] seed: u64,
) {
    let mut world = started_world(control_hosts, true, seed);
    for host in 0..world.hosts.len() {
        world.send_api_request(host, ApiRequest::Watch { from: None });
    }

    world.put(0, 1, None);
    world.run_ms(CLIENT_TIMEOUT_MS);

    let newest = world.oracle.newest_accepted();
    let watched = world.watched_versions();
    let silent: Vec<usize> =
        watched.iter().filter(|(_, version)| *version < newest).map(|(host, _)| *host).collect();
    assert!(watched.len() >= 3, "open watches: {watched:?}");
    assert!(silent.is_empty(), "version {newest} is not reported at {silent:?}");
}
