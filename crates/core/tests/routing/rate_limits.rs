//! Rate limits that targets state in their responses.

use std::collections::VecDeque;

use fireflylug_core::Instant;
use fireflylug_core::ids::CallId;
use fireflylug_core::membership::{MemberStatus, TargetRecord, TargetState};
use fireflylug_core::routing::{
    CallEffect, ForwardHead, Outcome, RateLimit, RateReport, RefusalCode, TargetLoad, TargetNotice,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, forward_head, locality, quick_resources, record, refusal};

/// Time for which the target works on each call, in milliseconds.
const WORK_MS: u64 = 200;
/// Time from the first statement of a limit from which on it must be kept, in milliseconds.
const CONNECTIVITY_WINDOW_MS: u64 = 4_000;
/// Window in which calls are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn states(calls_per_s: f64) -> TargetNotice {
    TargetNotice { rate_limit: RateLimit::per_second(calls_per_s), ..TargetNotice::default() }
}

/// Calls that the users' rule allows in one window at a stated limit.
fn allowed_in_a_window(calls_per_s: f64) -> f64 {
    1.5 * calls_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

/// The owner of a target, and the calls that the target works on.
struct Owner {
    harness: Harness,
    rng: SmallRng,
    /// Limit that the other proxies report with the calls that they forward.
    reported: Option<RateLimit>,
    running: VecDeque<(Instant, CallId)>,
    sent_at: Vec<Instant>,
}

impl Owner {
    /// The owner of one target with 12 slots.
    fn new(seed: u64) -> Self {
        let mut harness = Harness::new("host-a", quick_resources());
        let mut target = record("seatdesk", "one", "host-a");
        (target.slots, target.connections) = (12, 120);
        harness.set_target(target);
        let rng = SmallRng::seed_from_u64(seed);
        let (running, sent_at) = (VecDeque::new(), Vec::new());
        Self { harness, rng, reported: None, running, sent_at }
    }

    /// Lets calls arrive for a time, half of them from other proxies. The target states a limit
    /// in each response, or none.
    fn run_ms(&mut self, ms: u64, calls_per_s: f64, notice: TargetNotice) {
        let end = self.harness.now.plus_ms(ms);
        while self.harness.now < end {
            self.harness.pass_ms(1);
            if self.rng.random_bool(calls_per_s / 1_000.0) {
                match self.rng.random() {
                    true => self.harness.arrive("/seats", false),
                    false => self.arrive_forwarded(),
                };
            }
            self.begin_attempts();
            self.answer_due(notice);
        }
    }

    fn arrive_forwarded(&mut self) -> CallId {
        let head = forward_head("seatdesk", "one", 1_500);
        let head = ForwardHead { rate_limit: self.reported, ..head };
        self.harness.arrive_from_proxy(head, None)
    }

    fn begin_attempts(&mut self) {
        let now = self.harness.now;
        for attempt in self.harness.take_attempts() {
            self.running.push_back((now, attempt.call));
            self.sent_at.push(now);
        }
    }

    fn answer_due(&mut self, notice: TargetNotice) {
        while let Some((began_at, call)) = self.running.front().copied()
            && self.harness.now.since_ms(began_at) >= WORK_MS
        {
            self.running.pop_front();
            self.harness.complete_with(call, 1, notice);
            self.begin_attempts();
        }
    }

    /// Most calls in one window after an instant.
    fn most_in_a_window(&self, after: Instant) -> usize {
        let counted: Vec<Instant> =
            self.sent_at.iter().copied().filter(|at| *at >= after).collect();
        let in_window = |(i, first): (usize, &Instant)| {
            counted[i..].partition_point(|at| at.since_ms(*first) < WINDOW_MS)
        };
        counted.iter().enumerate().map(in_window).max().unwrap_or(0)
    }
}

// Guards against a target in need that gets calls as if it had stated no limit.
#[rstest]
fn a_target_gets_no_more_calls_than_the_limit_that_it_states(
    #[values(0.0, 0.5, 3.0, 15.3, 30.0)] calls_per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut owner = Owner::new(seed);
    owner.run_ms(2_000, 55.0, TargetNotice::default());
    let stated_at = owner.harness.now;

    owner.run_ms(20_000, 55.0, states(calls_per_s));

    let allowed = allowed_in_a_window(calls_per_s);
    let most = owner.most_in_a_window(stated_at.plus_ms(CONNECTIVITY_WINDOW_MS));
    assert!(most as f64 <= allowed, "{most} calls in {WINDOW_MS} ms, {allowed} allowed");
}

// Guards against a restarted owner that sends as many calls as its target has slots before it
// learns the limit from a response.
#[rstest]
fn a_restarted_owner_keeps_the_limit_that_the_other_proxies_report(
    #[values(0.0, 0.5, 3.0, 15.3)] calls_per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut owner = Owner::new(seed);
    owner.reported = RateLimit::per_second(calls_per_s);
    let restarted_at = owner.harness.now;
    owner.arrive_forwarded();

    owner.run_ms(WINDOW_MS, 55.0, states(calls_per_s));

    let allowed = allowed_in_a_window(calls_per_s);
    let most = owner.most_in_a_window(restarted_at);
    assert!(most as f64 <= allowed, "{most} calls in {WINDOW_MS} ms, {allowed} allowed");
}

// Guards against a limit that is over, but that other proxies still report.
#[test]
fn a_response_without_a_limit_ends_the_one_that_other_proxies_report() {
    let mut owner = Owner::new(1);
    owner.reported = RateLimit::per_second(0.0);
    owner.arrive_forwarded();
    owner.run_ms(WORK_MS + 1, 0.0, TargetNotice::default());
    owner.sent_at.clear();

    owner.run_ms(4_000, 40.0, TargetNotice::default());

    let sent = owner.sent_at.len();
    assert!(sent > 120, "{sent} calls in 4 s");
}

/// Lets a call arrive at an ingress and returns the limit that it reports to the owner.
fn limit_reported_by(ingress: &mut Harness) -> (CallId, Option<RateLimit>) {
    ingress.take_effects();
    let call = ingress.arrive("/seats", true);
    let reported = ingress.take_effects().into_iter().find_map(|effect| match effect {
        CallEffect::Forward { head, .. } => Some(head.rate_limit),
        _ => None,
    });
    (call, reported.expect("the call is forwarded"))
}

// Guards against a limit that is lost with the restart of the owner, since all others forget it.
#[test]
fn an_ingress_reports_the_limit_to_the_restarted_owner() {
    let limit = RateLimit::per_second(2.0);
    let load = TargetLoad {
        rate: limit.map(|limit| RateReport { limit, usable_slots: 1 }),
        ..TargetLoad::default()
    };
    let mut ingress = Harness::new("host-a", quick_resources());
    ingress.set_member("host-b", locality("z1", "r1"), MemberStatus::Alive);
    ingress.set_target(record("seatdesk", "one", "host-b"));
    let (first, before) = limit_reported_by(&mut ingress);
    ingress.complete_with(first, 1, load.into());

    let mut gone = record("seatdesk", "one", "host-b");
    (gone.sequence, gone.state) = (2, TargetState::Gone);
    ingress.set_target(gone);
    ingress.pass_ms(3_000);
    ingress.set_target(TargetRecord { sequence: 3, ..record("seatdesk", "one", "host-b") });
    let (second, after) = limit_reported_by(&mut ingress);
    ingress.complete_with(second, 1, TargetLoad::default().into());
    let (_, after_its_end) = limit_reported_by(&mut ingress);

    assert_eq!((before, after, after_its_end), (None, limit, None));
}

// Guards against a limit that costs more than the target asked for.
#[rstest]
fn a_target_gets_the_calls_that_its_limit_allows(
    #[values(3.0, 15.3, 30.0)] calls_per_s: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut owner = Owner::new(seed);
    owner.run_ms(2_000, 55.0, TargetNotice::default());
    owner.run_ms(1_000, 55.0, states(calls_per_s));
    owner.sent_at.clear();

    owner.run_ms(20_000, 55.0, states(calls_per_s));

    let sent = owner.sent_at.len();
    assert!(sent as f64 >= 0.9 * calls_per_s * 20.0, "{sent} calls in 20 s");
}

// Guards against a target that gets no calls after its need is over.
#[test]
fn a_limit_ends_with_the_first_response_without_it() {
    let mut owner = Owner::new(1);
    owner.run_ms(2_000, 40.0, states(0.0));

    owner.run_ms(2_500, 40.0, TargetNotice::default());
    owner.sent_at.clear();
    owner.run_ms(4_000, 40.0, TargetNotice::default());

    let sent = owner.sent_at.len();
    assert!(sent > 120, "{sent} calls in 4 s");
}

// Guards against calls that wait for a limit until their deadline, only to be refused then.
#[test]
fn a_call_that_the_limit_makes_late_is_refused_at_once() {
    let mut owner = Owner::new(1);
    owner.run_ms(4_000, 20.0, states(1.0));

    let call = owner.harness.arrive_forwarded("seatdesk", "one", 500);

    let expected = refusal(RefusalCode::Overloaded, Outcome::NotRun);
    assert_eq!(owner.harness.take_refusals(), [(call, expected)]);
}

// Guards against a limit of an earlier start of the target that outlives it.
#[test]
fn a_target_that_announces_itself_again_has_no_limit() {
    let mut owner = Owner::new(1);
    owner.run_ms(4_000, 20.0, states(0.0));
    let mut draining = record("seatdesk", "one", "host-a");
    (draining.sequence, draining.state) = (2, TargetState::Draining);
    owner.harness.set_target(draining);
    owner.harness.set_target(TargetRecord { sequence: 3, ..record("seatdesk", "one", "host-a") });
    owner.harness.take_effects();

    (0..4).for_each(|_| _ = owner.harness.arrive_forwarded("seatdesk", "one", 500));

    assert_eq!(owner.harness.take_attempts().len(), 4);
}

// Guards against calls that are sent to a target at its limit while another one has room.
#[test]
fn calls_go_to_a_target_with_room_while_another_one_is_at_its_limit() {
    let mut ingress = Harness::new("host-a", quick_resources());
    for (id, host) in [("one", "host-b"), ("two", "host-c")] {
        ingress.set_member(host, locality("z1", "r1"), MemberStatus::Alive);
        ingress.set_target(TargetRecord {
            slots: 12,
            connections: 120,
            ..record("seatdesk", id, host)
        });
    }
    let at_limit = TargetLoad {
        in_flight: 2,
        queued: 0,
        wait_ms: 0,
        rate: RateLimit::per_second(1.0).map(|limit| RateReport { limit, usable_slots: 1 }),
        held_ms: WORK_MS as u32,
        capacity: None,
    };
    let with_room = TargetLoad { in_flight: 6, rate: None, ..at_limit };
    (0..20).for_each(|_| _ = ingress.arrive("/seats", true));
    ingress.pass_ms(WORK_MS);
    for attempt in ingress.take_attempts() {
        let load = if attempt.target == "one" { at_limit } else { with_room };
        ingress.complete_with(attempt.call, 1, load.into());
    }

    let calls: Vec<CallId> = (0..6).map(|_| ingress.arrive("/seats", true)).collect();

    let attempts = ingress.take_attempts();
    assert_eq!(attempts.len(), calls.len());
    assert!(attempts.iter().all(|attempt| attempt.target == "two"), "{attempts:?}");
}

// Guards against a malformed limit that stops all calls, or that lifts a limit of 0.
#[rstest]
#[case(f64::NAN, None)]
#[case(f64::INFINITY, None)]
#[case(-1.0, None)]
#[case(-0.0, RateLimit::per_second(0.0))]
#[case(1e-300, RateLimit::per_second(0.0))]
fn a_limit_that_is_no_rate_is_ignored(
    #[case] calls_per_s: f64,
    #[case] expected: Option<RateLimit>,
) {
    assert_eq!(RateLimit::per_second(calls_per_s), expected);
}
