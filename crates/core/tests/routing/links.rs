//! Load pattern: a region without a target for calls with large responses.
//!
//! All of its downloads cross the link to the other region, which carries fewer than are
//! requested, and small calls cross it too. Guards against small calls that time out behind
//! downloads.

use std::collections::BTreeMap;

use fireflylug_core::Instant;
use fireflylug_core::ids::CallId;
use fireflylug_core::membership::{MemberStatus, TargetState};
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{CallEffect, CallEvent, Outcome, RefusalCode, TargetLoad};
use rstest::rstest;

use crate::harness::{Harness, locality, name, record, refusal};

/// One-way latency between the regions, in microseconds.
const ONE_WAY_US: u64 = 30_000;
/// Rate of the link, in bytes a second: 35 Mbit/s.
const LINK_BYTES_PER_S: u64 = 35_000_000 / 8;
/// Size of a large response and of a small one.
const SCAN_BYTES: u64 = 90_000;
const RECORD_BYTES: u64 = 400;
/// Processing time at the target.
const WORK_MS: u32 = 30;
/// Deadline of a small call: its caller waits no longer.
const RECORD_DEADLINE_MS: u64 = 200;
/// Number of proxies of the region.
const INGRESSES: usize = 7;
/// Time within which the proxies may still adapt to the bandwidth of the link.
const ADAPTATION_MS: u64 = 4_000;
/// Time during which calls arrive.
const LENGTH_MS: u64 = 30_000;
/// Time after the last call, within which all responses arrive.
const REST_MS: u64 = 2_000;

/// The head or the end of a response on the link, from the target to its ingress.
struct Answer {
    ingress: usize,
    call: CallId,
    attempt: u8,
    is_scan: bool,
    is_head: bool,
    arrived_at: Instant,
}

/// The proxies of one region, and the link to the region that has the only targets.
struct Region {
    ingresses: Vec<Harness>,
    free_at: Instant,
    answers: BTreeMap<(Instant, u64), Answer>,
    sent: u64,
    tally: Tally,
}

#[derive(Debug, Default)]
struct Tally {
    records: u64,
    records_in_time: u64,
    scans_refused: u64,
    scan_bytes: u64,
    unexpected: u64,
}

fn ingress(index: usize) -> Harness {
    let scans = Policy { bulk: true, ..Policy::new(name("scans")) }
        .with_deadline_ms(1_000)
        .with_target_latency_ms(400);
    let records = Policy::new(name("records")).with_deadline_ms(RECORD_DEADLINE_MS as u32);
    let scan = Route::new(name("scan"), "/scan", name("vault")).with_policy(name("scans"));
    let record_call = Route::new(name("record"), "/record", name("vault"));
    let mut harness = Harness::new(
        &format!("host-{index}"),
        vec![
            Resource::Policy(scans),
            Resource::Policy(records),
            Resource::Service(Service::new(name("vault"))),
            Resource::Route(scan),
            Resource::Route(record_call.with_policy(name("records"))),
        ],
    );
    for id in ["one", "two"] {
        let host = format!("host-{id}");
        harness.set_member(&host, locality("z9", "r2"), MemberStatus::Alive);
        let mut target = record("vault", id, &host);
        (target.slots, target.connections) = (50, 130);
        harness.set_target(target);
    }
    harness
}

impl Region {
    fn new() -> Self {
        Self {
            ingresses: (0..INGRESSES).map(ingress).collect(),
            free_at: Instant::ZERO,
            answers: BTreeMap::new(),
            sent: 0,
            tally: Tally::default(),
        }
    }

    fn now(&self) -> Instant {
        self.ingresses[0].now
    }

    fn is_counted(&self, at: Instant) -> bool {
        at >= Instant::from_ms(1_000 + ADAPTATION_MS)
    }

    fn arrive(&mut self, ingress: usize, is_scan: bool) {
        let arrived_at = self.now();
        self.ingresses[ingress].arrive(if is_scan { "/scan" } else { "/record" }, true);
        let is_counted = self.is_counted(arrived_at);
        self.tally.records += u64::from(is_counted && !is_scan);
        for effect in self.ingresses[ingress].take_effects() {
            match effect {
                CallEffect::Forward { call, attempt, head, .. } => {
                    assert_eq!(head.is_bulk, is_scan);
                    self.send(Answer {
                        ingress,
                        call,
                        attempt,
                        is_scan,
                        is_head: true,
                        arrived_at,
                    });
                }
                CallEffect::Refuse { refusal, retry_after_ms, .. } => {
                    let is_expected = refusal.code == RefusalCode::Overloaded
                        && refusal.outcome == Outcome::NotRun
                        && retry_after_ms.is_some();
                    assert!(is_scan && is_expected, "{refusal:?} {retry_after_ms:?}");
                    self.tally.scans_refused += u64::from(is_counted);
                }
                _ => self.tally.unexpected += 1,
            }
        }
    }

    /// Writes a response to the link, behind those that are queued for it.
    fn send(&mut self, answer: Answer) {
        let written_at = self.now().plus_us(ONE_WAY_US).plus_ms(u64::from(WORK_MS));
        let begun_at = self.free_at.max(written_at);
        let bytes = if answer.is_scan { SCAN_BYTES } else { RECORD_BYTES };
        self.free_at = begun_at.plus_us(bytes * 1_000_000 / LINK_BYTES_PER_S);
        let end_of_response = Answer { is_head: false, ..answer };
        self.insert(begun_at.plus_us(ONE_WAY_US), answer);
        self.insert(self.free_at.plus_us(ONE_WAY_US), end_of_response);
    }

    fn insert(&mut self, at: Instant, answer: Answer) {
        self.sent += 1;
        self.answers.insert((at, self.sent), answer);
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.answers.first_entry()
            && entry.key().0 <= now
        {
            let answer = entry.remove();
            let Answer { ingress, call, attempt, .. } = answer;
            let harness = &mut self.ingresses[ingress];
            if answer.is_head {
                let held_ms = WORK_MS;
                let load = TargetLoad {
                    in_flight: 1,
                    queued: 0,
                    wait_ms: 0,
                    rate: None,
                    held_ms,
                    capacity: None,
                };
                harness.step(CallEvent::Answered {
                    call,
                    attempt,
                    status: 200,
                    notice: load.into(),
                });
            } else {
                harness.step(CallEvent::Ended { call, attempt, is_complete: true });
                self.count(&answer);
            }
            self.ingresses[ingress].take_effects();
        }
    }

    fn count(&mut self, answer: &Answer) {
        if !self.is_counted(answer.arrived_at) {
            return;
        }
        if answer.is_scan {
            self.tally.scan_bytes += SCAN_BYTES;
        } else {
            let took_ms = self.now().since_ms(answer.arrived_at);
            self.tally.records_in_time += u64::from(took_ms <= RECORD_DEADLINE_MS);
        }
    }

    /// Sends calls at fixed intervals, distributed over the proxies in turn.
    fn run(&mut self, scans_per_s: u64, records_per_s: u64) {
        let (scan_every_ms, record_every_ms) = (1_000 / scans_per_s, 1_000 / records_per_s);
        for ms in 0..LENGTH_MS + REST_MS {
            let is_arriving = ms < LENGTH_MS;
            if is_arriving && ms % scan_every_ms == 0 {
                self.arrive((ms / scan_every_ms) as usize % INGRESSES, true);
            }
            if is_arriving && ms % record_every_ms == 0 {
                self.arrive((ms / record_every_ms) as usize % INGRESSES, false);
            }
            for harness in &mut self.ingresses {
                harness.pass_ms(1);
            }
            self.deliver();
        }
    }
}

/// Downloads of one region come from the other one. Those that the link cannot carry are
/// refused at once, and small calls are still answered.
#[rstest]
#[case::a_little_too_much(62)]
#[case::twice_too_much(100)]
fn downloads_across_a_full_link_leave_room_for_small_calls(#[case] scans_per_s: u64) {
    let mut region = Region::new();

    region.run(scans_per_s, 50);

    let Tally { records, records_in_time, scans_refused, scan_bytes, unexpected } = region.tally;
    let tally = &region.tally;
    assert_eq!(unexpected, 0, "{tally:?}");
    assert!(records_in_time * 100 >= records * 95, "{tally:?}");
    assert!(scans_refused > 0, "{tally:?}");
    let carried = LINK_BYTES_PER_S * (LENGTH_MS - ADAPTATION_MS) / 1_000;
    assert!(scan_bytes * 100 >= carried * 60, "{tally:?} of {carried} bytes");
}

/// A link with enough bandwidth for all calls carries all of them.
#[test]
fn downloads_that_the_link_carries_are_not_refused() {
    let mut region = Region::new();

    region.run(25, 50);

    let tally = &region.tally;
    assert_eq!((tally.scans_refused, tally.unexpected), (0, 0), "{tally:?}");
    assert_eq!(tally.records, tally.records_in_time, "{tally:?}");
}

/// Calls over the link are so rare that a sample of the link outlasts the observations of the
/// recent minimum, while the round-trip time increases.
#[test]
fn rare_calls_with_an_increasing_round_trip_are_not_refused() {
    let mut harness = ingress(0);

    for round in 0..8 {
        let call = harness.arrive("/scan", true);
        assert_eq!(harness.take_attempts().len(), 1, "round {round}");
        harness.pass_ms(100 + round * 5);
        let load = TargetLoad {
            in_flight: 1,
            queued: 0,
            wait_ms: 0,
            rate: None,
            held_ms: WORK_MS,
            capacity: None,
        };
        harness.step(CallEvent::Answered { call, attempt: 1, status: 200, notice: load.into() });
        harness.step(CallEvent::Ended { call, attempt: 1, is_complete: true });
        harness.take_effects();
        harness.pass_ms(31_000);
    }
}

/// A download at a slow target in the same region continues if the only other targets are
/// behind a saturated link: it must not be cancelled for an attempt that cannot be made.
#[test]
fn a_download_is_not_cancelled_for_a_retry_that_the_link_has_no_capacity_for() {
    let mut harness = ingress(0);
    harness.set_member("host-near", locality("z1", "r1"), MemberStatus::Alive);
    for id in ["near", "other"] {
        let mut target = record("vault", id, "host-near");
        (target.slots, target.connections) = (100, 100);
        harness.set_target(target);
    }
    for _ in 0..40 {
        let call = harness.arrive("/record", true);
        harness.pass_ms(5);
        harness.complete(call, 1);
    }
    harness.take_effects();
    let slow = harness.arrive("/scan", true);
    let slow_target = harness.take_attempts().remove(0).target;
    let other = if slow_target == "near" { "other" } else { "near" };
    let mut gone = record("vault", other, "host-near");
    (gone.sequence, gone.state) = (2, TargetState::Gone);
    harness.set_target(gone);
    // Downloads without a response use up the rate limit of the link.
    let mut near = record("vault", &slow_target, "host-near");
    (near.sequence, near.state) = (2, TargetState::Draining);
    harness.set_target(near);
    (0..3).for_each(|_| _ = harness.arrive("/scan", true));
    harness.take_effects();

    for _ in 0..20 {
        let record_call = harness.arrive("/record", true);
        harness.pass_ms(10);
        harness.complete(record_call, 1);
    }

    let of_slow = |effect: &CallEffect| effect.call() == Some(slow);
    let effects: Vec<CallEffect> = harness.take_effects().into_iter().filter(of_slow).collect();
    assert!(effects.is_empty(), "{effects:?}");
}

/// The links of all hosts of a service are busy with large responses. An ingress that received
/// a refusal from a host for this reason does not try the host with the next download.
#[test]
fn a_download_is_refused_at_once_if_the_other_links_are_known_to_be_busy() {
    let mut harness = ingress(0);
    for id in ["one", "two"] {
        harness.set_member(&format!("host-{id}"), locality("z1", "r1"), MemberStatus::Alive);
    }
    let refuse_overloaded = |harness: &mut Harness, call: CallId, attempt: u8| {
        harness.step(CallEvent::Failed {
            call,
            attempt,
            refusal: refusal(RefusalCode::Overloaded, Outcome::NotRun),
            is_replayable: true,
            notice: TargetLoad {
                in_flight: 4,
                queued: 2,
                wait_ms: 300,
                rate: None,
                held_ms: 0,
                capacity: None,
            }
            .into(),
        });
    };
    let first = harness.arrive("/scan", true);
    (1..=2).for_each(|attempt| refuse_overloaded(&mut harness, first, attempt));
    harness.take_effects();

    let second = harness.arrive("/scan", true);
    refuse_overloaded(&mut harness, second, 1);

    let expected = refusal(RefusalCode::Overloaded, Outcome::NotRun);
    assert_eq!(harness.take_refusals(), [(second, expected)]);
}
