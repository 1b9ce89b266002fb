//! Contents of calls that end their targets: what is counted, forgotten and passed on.

use fireflylug_core::ids::{CallId, NodeId};
use fireflylug_core::routing::{
    CallEffect, CallEvent, Fingerprint, Outcome, QUARANTINE_AFTER_ENDS, RefusalCode,
    RoutingMessage, SuspectRecord, TargetEnd, TargetNotice,
};
use fireflylug_core::{Effect, Instant};
use rstest::rstest;

use crate::harness::{Harness, name, quick_resources, record, refusal};

const CONTENT: Fingerprint = Fingerprint(7);

/// Time for which an answer acquits a content of later ends too, in milliseconds.
const ANSWER_COUNTS_FOR_MS: u64 = 3_000;

/// Ends after which the users count further runs, once `CONNECTIVITY_WINDOW_MS` are over, and how
/// many of them they tolerate.
const TOLERATED_ENDS: usize = 3;
const CONNECTIVITY_WINDOW_MS: u64 = 4_000;
const TOLERATED_LATE_RUNS: usize = 3;

/// Most retries of a call.
const MAX_RETRIES: usize = 100;

/// Time for which a content is remembered, in milliseconds.
const REMEMBERED_FOR_MS: u64 = 600_000;

/// The owner of one target.
fn owner() -> Harness {
    let mut harness = Harness::new("h1", quick_resources());
    harness.set_target(record("seatdesk", "a", "h1"));
    harness.take_effects();
    harness
}

fn call(harness: &mut Harness) -> CallId {
    harness.arrive_with("/seats", |head| head.fingerprint = CONTENT)
}

fn peer() -> NodeId {
    NodeId::of_host(&name("h2"))
}

fn suspect(ends: &[u64], acquitted: &[u64], age_ms: u32) -> SuspectRecord {
    let ids = |ids: &[u64]| ids.iter().map(|id| TargetEnd(*id)).collect();
    SuspectRecord { fingerprint: CONTENT, ends: ids(ends), acquitted: ids(acquitted), age_ms }
}

fn receive(harness: &mut Harness, record: SuspectRecord) {
    harness.receive(peer(), RoutingMessage::Suspects(vec![record]));
}

fn is_refused(harness: &mut Harness) -> bool {
    let id = call(harness);
    let effects = harness.take_effects();
    let is_refused = effects.iter().any(|effect| {
        let quarantined = refusal(RefusalCode::Quarantined, Outcome::NotRun);
        matches!(effect, CallEffect::Refuse { refusal, .. } if *refusal == quarantined)
    });
    if !is_refused {
        // The caller leaves, so the call neither acquits the content nor holds a slot.
        harness.step(CallEvent::CallerGone { call: id });
    }
    is_refused
}

/// Lets a call run at the target, which ends.
fn end_target(harness: &mut Harness, ended_ms: u64) {
    let id = call(harness);
    harness.now = Instant::from_ms(ended_ms);
    harness.step(CallEvent::Failed {
        call: id,
        attempt: 1,
        refusal: refusal(RefusalCode::ConnectionLost, Outcome::Unknown),
        is_replayable: true,
        notice: TargetNotice { has_ended: true, ..TargetNotice::default() },
    });
    harness.take_effects();
}

// Guards against a request that ends one target again and again.
#[rstest]
fn a_content_is_refused_after_it_was_in_flight_at_three_ends() {
    let mut harness = owner();

    for end in 0..QUARANTINE_AFTER_ENDS as u64 {
        assert!(!is_refused(&mut harness), "refused after {end} ends");
        end_target(&mut harness, 10_000 * (end + 1));
    }

    assert!(is_refused(&mut harness));
}

// Guards against several calls that fail at one end and count as several ends.
#[rstest]
fn calls_that_fail_together_count_as_one_end() {
    let mut harness = owner();

    for failed_ms in [10_000, 10_010, 10_020, 10_030] {
        end_target(&mut harness, failed_ms);
    }

    assert!(!is_refused(&mut harness));
}

// Guards against an innocent content that stays refused: a complete answer acquits it.
#[rstest]
fn an_answered_content_is_acquitted() {
    let mut harness = owner();
    receive(&mut harness, suspect(&[1, 2], &[], 0));
    let id = call(&mut harness);
    harness.complete(id, 1);
    harness.now = harness.now.plus_ms(ANSWER_COUNTS_FOR_MS);

    receive(&mut harness, suspect(&[1, 2, 3, 4], &[], 0));
    assert!(!is_refused(&mut harness), "two ends count, and two do not");
    receive(&mut harness, suspect(&[5], &[], 0));

    assert!(is_refused(&mut harness));
}

// Guards against a content that ends its targets being acquitted by a target that failed without
// running it.
#[rstest]
fn a_server_error_acquits_no_content() {
    let mut harness = owner();
    receive(&mut harness, suspect(&[1, 2], &[], 0));
    let id = call(&mut harness);
    harness.answer(id, 1, 500);
    harness.step(CallEvent::Ended { call: id, attempt: 1, is_complete: true });
    harness.take_effects();

    receive(&mut harness, suspect(&[3], &[], 0));

    assert!(is_refused(&mut harness));
}

// Guards against a content that was answered before it began to end its targets: the last answer
// acquitted it of ends for so long that more late retries reached targets than the users allow.
#[rstest]
fn a_content_that_turns_deadly_is_refused_in_time(
    #[values(300, 700, 1_000, 1_400, 2_000, 5_000)] retry_every_ms: u64,
) {
    let mut harness = owner();
    let id = call(&mut harness);
    harness.complete(id, 1);
    harness.take_effects();

    let mut ends_ms = Vec::new();
    while ends_ms.len() < MAX_RETRIES && !is_refused(&mut harness) {
        let end_ms = retry_every_ms * (ends_ms.len() as u64 + 1);
        end_target(&mut harness, end_ms);
        ends_ms.push(end_ms);
    }

    let counted_from_ms = ends_ms[TOLERATED_ENDS - 1] + CONNECTIVITY_WINDOW_MS;
    let late = ends_ms.iter().filter(|end_ms| **end_ms > counted_from_ms).count();
    assert!(late <= TOLERATED_LATE_RUNS, "{late} late runs: {ends_ms:?}");
}

// Guards against a content of many calls that is refused because several targets end at once.
#[rstest]
fn a_content_that_was_just_answered_is_no_suspect() {
    let mut harness = owner();
    let id = call(&mut harness);
    harness.complete(id, 1);

    harness.now = harness.now.plus_ms(ANSWER_COUNTS_FOR_MS - 1);
    receive(&mut harness, suspect(&[1, 2, 3], &[], 0));

    assert!(!is_refused(&mut harness));
}

// Guards against records whose order of arrival decides.
#[rstest]
#[case(&[0, 1, 2, 3])]
#[case(&[3, 2, 1, 0])]
#[case(&[2, 0, 3, 1, 0, 2])]
fn records_have_the_same_effect_in_any_order(#[case] order: &[usize]) {
    let records = [
        suspect(&[1], &[], 0),
        suspect(&[2, 3], &[], 0),
        suspect(&[], &[2], 0),
        suspect(&[4], &[1], 0),
    ];
    let mut harness = owner();

    order.iter().for_each(|index| receive(&mut harness, records[*index].clone()));
    assert!(!is_refused(&mut harness), "3 and 4 count, 1 and 2 are acquitted");
    receive(&mut harness, suspect(&[5], &[], 0));

    assert!(is_refused(&mut harness));
}

// Guards against a content that is refused for ever, kept alive by proxies that pass it on.
#[rstest]
fn a_content_is_forgotten_some_time_after_its_last_end() {
    let mut harness = owner();
    receive(&mut harness, suspect(&[1, 2, 3], &[], 60_000));
    assert!(is_refused(&mut harness));

    harness.now = harness.now.plus_ms(REMEMBERED_FOR_MS - 60_000);
    assert!(!is_refused(&mut harness));
    receive(&mut harness, suspect(&[1, 2, 3], &[], REMEMBERED_FOR_MS as u32));

    assert!(!is_refused(&mut harness));
}

// Guards against a restarted proxy that does not know what the others refuse.
#[rstest]
fn a_new_peer_receives_what_is_known() {
    let mut harness = owner();
    receive(&mut harness, suspect(&[1, 2, 3], &[4], 0));
    harness.now = harness.now.plus_ms(2_500);

    harness.connect(peer());

    let sent = harness.take_all_effects().into_iter().find_map(|effect| match effect {
        Effect::Send { to, message } if to == peer() => Some(message),
        _ => None,
    });
    let expected = RoutingMessage::Suspects(vec![suspect(&[1, 2, 3], &[4], 2_500)]);
    assert_eq!(format!("{sent:?}"), format!("Some(Routing({expected:?}))"));
}
