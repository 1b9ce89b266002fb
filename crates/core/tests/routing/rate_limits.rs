//! Rate limits that targets state in their responses.

use std::collections::VecDeque;

use fireflylug_core::Instant;
use fireflylug_core::ids::CallId;
use fireflylug_core::resource::{Policy, Resource, Route, Service};
use fireflylug_core::routing::{RateLimit, TargetNotice};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::harness::{Harness, name, record};

/// Time for which the target works on each call, in milliseconds.
const WORK_MS: u64 = 200;
/// Time from the first statement of a limit from which on it must be kept, in milliseconds.
const CONNECTIVITY_WINDOW_MS: u64 = 4_000;
/// Window in which calls are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn resources() -> Vec<Resource> {
    let policy = Policy::new(name("quick")).with_deadline_ms(2_000);
    vec![
        Resource::Policy(policy),
        Resource::Service(Service::new(name("seatdesk")).with_policy(name("quick"))),
        Resource::Route(Route::new(name("seats"), "/seats", name("seatdesk"))),
    ]
}

fn states(calls_per_s: f64) -> TargetNotice {
    TargetNotice { rate_limit: RateLimit::per_second(calls_per_s), ..TargetNotice::default() }
}

/// The owner of a target, and the calls that the target works on.
struct Owner {
    harness: Harness,
    rng: SmallRng,
    running: VecDeque<(Instant, CallId)>,
    sent_at: Vec<Instant>,
}

impl Owner {
    /// The owner of one target with 12 slots.
    fn new(seed: u64) -> Self {
        let mut harness = Harness::new("host-a", resources());
        let mut target = record("seatdesk", "one", "host-a");
        (target.slots, target.connections) = (12, 120);
        harness.set_target(target);
        let rng = SmallRng::seed_from_u64(seed);
        Self { harness, rng, running: VecDeque::new(), sent_at: Vec::new() }
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
                    false => self.harness.arrive_forwarded("seatdesk", "one", 1_500),
                };
            }
            self.begin_attempts();
            self.answer_due(notice);
        }
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

    let allowed = 1.5 * calls_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
    let most = owner.most_in_a_window(stated_at.plus_ms(CONNECTIVITY_WINDOW_MS));
    assert!(most as f64 <= allowed, "{most} calls in {WINDOW_MS} ms, {allowed} allowed");
}
