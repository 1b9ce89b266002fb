//! Tests of a voter whose storage the others still have to confirm.

use std::sync::Arc;

use fireflylug_core::consensus::{
    Append, ConsensusMessage, ControlReplica, ControlSettings, DiskId, DiskWrite,
    ELECTION_TIMEOUT_MAX_MS, Entry, Floor, HardState, Hello, InstallSnapshot, Participation,
    Payload, RecoveredDisk, Snapshot, Voter, VoterSet,
};
use fireflylug_core::context::{Context, Identity};
use fireflylug_core::{Effect, Instant};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::identity;

/// Term of the leader, of the recovered entries and of the floor.
const TERM: u64 = 1;

/// Last entry that the voter acknowledged before its restart.
const ACKNOWLEDGED: u64 = 5;

fn voter(at: usize) -> Voter {
    let node = identity(at).id;
    Voter { node, disk: DiskId(node.0) }
}

fn voters() -> VoterSet {
    VoterSet::new((0..5).map(voter).collect())
}

/// Disk of the first voter, with the entries up to `last`.
fn recovered_disk(last: u64) -> RecoveredDisk {
    let entry =
        |index| Arc::new(Entry { index, term: TERM, unix_ms: index, payload: Payload::Noop });
    RecoveredDisk {
        owner: Some(voter(0).node),
        generation: 2,
        hard_state: HardState { term: TERM, vote: None, commit: 0 },
        snapshot: Some(Arc::new(Snapshot::initial(voters()))),
        entries: (1..=last).map(entry).collect(),
        ..RecoveredDisk::blank(voter(0).disk)
    }
}

/// Snapshot of entries that the voter lacks.
fn snapshot_message() -> ConsensusMessage {
    let snapshot = Snapshot { index: 50, term: TERM, ..Snapshot::initial(voters()) };
    ConsensusMessage::Snapshot(InstallSnapshot {
        term: TERM,
        round: 1,
        snapshot: Arc::new(snapshot),
    })
}

/// Response of another voter to a hello, with what the first voter acknowledged.
fn floor_message(at: usize) -> ConsensusMessage {
    floor_message_of(at, TERM)
}

fn floor_message_of(at: usize, term: u64) -> ConsensusMessage {
    ConsensusMessage::Hello(Hello {
        disk: voter(at).disk,
        generation: 1,
        blank: false,
        needs_response: false,
        floor: Some(Floor { generation: 1, term, match_index: ACKNOWLEDGED }),
        leader: Some(voter(1).node),
        discovered_voters: Vec::new(),
    })
}

/// Passes messages to the first voter. Returns whether it reset its storage.
fn is_reset_by(recovered: RecoveredDisk, messages: Vec<(usize, ConsensusMessage)>) -> bool {
    let me: Identity = identity(0);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut effects = Vec::new();
    let now = Instant::from_us(1_000_000);
    let mut replica = ControlReplica::new(ControlSettings::default(), recovered, now);
    for (from, message) in messages {
        let mut cx = Context { now, rng: &mut rng, me: &me, effects: &mut effects };
        replica.step(&mut cx, voter(from).node, message);
    }
    effects.iter().any(|effect| match effect {
        Effect::Disk(command) => matches!(command.write, DiskWrite::Reset { .. }),
        _ => false,
    })
}

// Guards against a voter that drops its storage as an older copy while a snapshot of the leader
// is not synced yet.
#[test]
fn voter_that_is_writing_a_snapshot_is_not_taken_for_an_older_copy() {
    let messages = vec![(1, snapshot_message()), (2, floor_message(2))];

    let is_reset = is_reset_by(recovered_disk(ACKNOWLEDGED), messages);

    assert!(!is_reset);
}

// Guards against an older copy that counts as complete while the leader's snapshot that fills it
// is not synced yet.
#[test]
fn older_copy_that_is_writing_a_snapshot_is_reset() {
    let messages = vec![(1, snapshot_message()), (2, floor_message(2))];

    let is_reset = is_reset_by(recovered_disk(ACKNOWLEDGED - 1), messages);

    assert!(is_reset);
}

// Guards against entries that were overwritten and count as held: they hid that an older copy lacks
// entries that it acknowledged in the new term.
#[test]
fn older_copy_whose_entries_are_overwritten_is_reset() {
    let overwritten_from = ACKNOWLEDGED - 1;
    let entry =
        Entry { index: overwritten_from, term: TERM + 1, unix_ms: 1, payload: Payload::Noop };
    let append = ConsensusMessage::Append(Append {
        term: TERM + 1,
        prev_index: overwritten_from - 1,
        prev_term: TERM,
        commit_index: 0,
        round: 1,
        quorum_age_ms: 0,
        entries: vec![Arc::new(entry)],
        acknowledged: Vec::new(),
    });
    let messages = vec![(1, append), (2, floor_message_of(2, TERM + 1))];

    let is_reset = is_reset_by(recovered_disk(ACKNOWLEDGED + 3), messages);

    assert!(is_reset);
}

/// How a voter takes part that has heard of no leader for some time, and is then told of one.
fn participation_when_told_of_a_leader_after(ms: u64) -> Participation {
    let me: Identity = identity(0);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut effects = Vec::new();
    let started_at = Instant::from_us(1_000_000);
    let recovered = recovered_disk(ACKNOWLEDGED);
    let mut replica = ControlReplica::new(ControlSettings::default(), recovered, started_at);
    let now = started_at.plus_ms(ms);
    let mut cx = Context { now, rng: &mut rng, me: &me, effects: &mut effects };
    replica.step(&mut cx, voter(2).node, floor_message(2));
    replica.participation(me.id)
}

// Guards against a voter that forwards to the leader that it has just lost, because another voter
// has not noticed the loss.
#[test]
fn voter_is_no_standby_while_others_may_name_a_lost_leader() {
    let participation = participation_when_told_of_a_leader_after(2 * ELECTION_TIMEOUT_MAX_MS - 1);

    assert!(!participation.is_standby(), "{participation:?}");
}

// Guards against a replaced voter that refuses reads for ever.
#[test]
fn voter_that_a_live_leader_has_passed_over_is_a_standby() {
    let participation = participation_when_told_of_a_leader_after(2 * ELECTION_TIMEOUT_MAX_MS);

    assert!(participation.is_standby(), "{participation:?}");
}
