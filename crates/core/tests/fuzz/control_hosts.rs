//! Operators' requests at a mesh with many more control hosts than voters.

use rstest::rstest;

use crate::world::{Layout, World};

/// Time within which an operator's client expects an answer, in milliseconds. It then
/// sends the request to another host.
const CLIENT_TIMEOUT_MS: u64 = 1_000;

/// Time for the hosts to join and for the leader to promote the voters, in milliseconds.
const JOIN_MS: u64 = 10_000;

/// A mesh in eight availability zones with `control_hosts` control hosts and eight proxies, whose
/// leader maintains five voters.
fn started_world(control_hosts: usize, seed: u64) -> World {
    let zones = (0..control_hosts + 8).map(|host| host % 8).collect();
    let layout = Layout { zones, control_hosts, desired_voter_count: Some(5) };
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
    #[values(1, 2)] seed: u64,
) {
    let mut world = started_world(control_hosts, seed);

    for host in 0..world.hosts.len() {
        world.put(host, 0, None);
        world.read(host);
        world.run_ms(CLIENT_TIMEOUT_MS);
    }

    let open = |host: &usize| world.open_requests(*host) > 0;
    let unanswered: Vec<usize> = (0..world.hosts.len()).filter(open).collect();
    assert!(unanswered.is_empty(), "no answer within {CLIENT_TIMEOUT_MS} ms at {unanswered:?}");
}
