//! A call that ends each target which runs it, and comes again at any host.

use std::collections::BTreeMap;

use fireflylug_core::ids::CallId;
use fireflylug_core::routing::{Fingerprint, TargetNotice};
use rand::Rng;
use rstest::rstest;

use crate::calls::{CallItem, LOST};
use crate::rate_limits::{crash_and_restart, started_world};
use crate::targets::{TARGETS, TargetStatus};
use crate::world::{Item, World, ZONES};

/// Number of targets that such a call may end before the mesh has to recognise it.
const TOLERATED_ENDS: usize = 3;

/// Time after the last tolerated end from which on the users count further runs, in microseconds.
const RECOGNISED_WITHIN_US: u64 = 4_000_000;

/// Number of runs after that time that the users tolerate.
const TOLERATED_LATE_RUNS: usize = 3;

/// Time for which a target that ended is down, in microseconds.
const DOWN_US: u64 = 3_000_000;

/// Mean time between two innocent calls, and between two that end targets, in milliseconds.
const INNOCENT_EVERY_MS: u32 = 10;
const CRASHING_EVERY_MS: u32 = 200;

/// Time for which calls are made, in milliseconds.
const CALLS_FOR_MS: u32 = 20_000;

/// Content of the call that ends targets.
const CRASHING: Fingerprint = Fingerprint(1);

/// Content of innocent calls that come again and again.
const POPULAR: Fingerprint = Fingerprint(2);

/// What runs at each target, and when the crashing call ended one.
#[derive(Default)]
pub struct Crashes {
    running: BTreeMap<usize, Vec<(CallId, u8)>>,
    ends_us: Vec<u64>,
    /// Calls of each content that were refused for it.
    quarantined: BTreeMap<Fingerprint, usize>,
}

impl Crashes {
    /// Records that an attempt runs at a target.
    pub fn record_run(&mut self, target: usize, leg: CallId, attempt: u8) {
        self.running.entry(target).or_default().push((leg, attempt));
    }

    /// Records that the target answered an attempt.
    pub fn record_answer(&mut self, leg: CallId, attempt: u8) {
        self.running.values_mut().for_each(|running| running.retain(|run| *run != (leg, attempt)));
    }

    /// Records that a call was refused for its content.
    pub fn record_quarantined(&mut self, fingerprint: Fingerprint) {
        *self.quarantined.entry(fingerprint).or_default() += 1;
    }

    /// Runs of the crashing call that the users count.
    fn late_runs(&self) -> usize {
        let Some(third_us) = self.ends_us.get(TOLERATED_ENDS - 1) else { return 0 };
        self.ends_us.iter().filter(|end_us| **end_us > third_us + RECOGNISED_WITHIN_US).count()
    }
}

impl World {
    /// Ends a target if a call with this content does. Returns whether it ended.
    pub fn crash_target_if_due(&mut self, target: usize, fingerprint: Fingerprint) -> bool {
        if fingerprint != CRASHING {
            return false;
        }
        self.target_dies(target);
        self.calls.crashes.ends_us.push(self.now_us);
        let running = self.calls.crashes.running.remove(&target).unwrap_or_default();
        let notice = TargetNotice { has_ended: true, ..TargetNotice::default() };
        for (leg, attempt) in running {
            self.push_failed_with(leg, attempt, LOST, notice);
        }
        self.push(DOWN_US, Item::Call(CallItem::Restart { target }));
        true
    }

    /// A target that ended runs again.
    pub fn restart_target(&mut self, target: usize) {
        if self.calls.targets[target].status == TargetStatus::Absent {
            self.target_up(target);
        }
    }
}

/// Lets a millisecond pass, in which calls may begin at any host.
fn run_one_ms(world: &mut World) {
    let host = world.rng.random_range(0..ZONES.len());
    if world.rng.random_ratio(1, CRASHING_EVERY_MS) {
        world.call_with(host, true, CRASHING);
    }
    if world.rng.random_ratio(1, INNOCENT_EVERY_MS) {
        let other = Fingerprint(world.rng.random());
        let content = if world.rng.random() { POPULAR } else { other };
        world.call_with(host, true, content);
    }
    world.run_ms(1);
}

// Guards against one request that ends target after target.
#[rstest]
fn a_call_that_ends_its_targets_is_soon_refused_everywhere(
    #[values(false, true)] do_hosts_restart: bool,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut world = started_world(seed);

    let mut starts_at_us = BTreeMap::new();
    for _ in 0..CALLS_FOR_MS {
        run_one_ms(&mut world);
        if do_hosts_restart {
            crash_and_restart(&mut world, &mut starts_at_us);
        }
    }

    let (ends, late_runs) = (world.calls.crashes.ends_us.len(), world.calls.crashes.late_runs());
    assert!(ends >= TOLERATED_ENDS, "only {ends} of {TARGETS} targets ended");
    assert!(late_runs <= TOLERATED_LATE_RUNS, "{late_runs} late runs, {ends} targets ended");
}

// Guards against an innocent content that stays refused because calls with it were in flight at
// targets that ended.
#[rstest]
fn an_innocent_content_is_served_while_targets_end(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let mut world = started_world(seed);
    (0..CALLS_FOR_MS).for_each(|_| run_one_ms(&mut world));
    world.run_ms(DOWN_US / 1_000);
    world.calls.crashes.quarantined.clear();

    (0..ZONES.len()).for_each(|host| world.call_with(host, true, POPULAR));
    (0..ZONES.len()).for_each(|host| world.call_with(host, true, CRASHING));
    world.run_ms(DOWN_US / 1_000);

    let quarantined = &world.calls.crashes.quarantined;
    assert_eq!(quarantined.get(&POPULAR), None, "calls with a popular content are refused");
    assert_eq!(quarantined.get(&CRASHING), Some(&ZONES.len()));
}
