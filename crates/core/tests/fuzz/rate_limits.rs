//! Rate limits that targets state: what each target gets from all hosts together, while hosts end
//! and start again.

use std::collections::{BTreeMap, VecDeque};

use fireflylug_core::routing::RateLimit;
use rand::Rng;
use rstest::rstest;

use crate::targets::{TARGETS, owner_of};
use crate::world::{World, ZONES};

/// Window in which calls are counted, and time from the first statement of a limit from which on
/// they are, in microseconds.
const WINDOW_US: u64 = 4_000_000;

/// Time after a host passed on a limit from which on its calls are counted, in microseconds.
const TOLD_FOR_US: u64 = 500_000;

/// What the users' rule tolerates beyond the limit: a factor, and a number of calls in a window.
const TOLERATED_FACTOR: f64 = 1.5;
const TOLERATED_CALLS: f64 = 5.0;

/// Mean time between two calls of all hosts together, in milliseconds.
const CALL_EVERY_MS: u32 = 4;

/// Mean time between two crashes of owners, in milliseconds.
const CRASH_EVERY_MS: u32 = 3_000;

/// Time after which a crashed host is started again, in milliseconds.
const DOWN_MS: u64 = 300;

/// Time for which the targets state no limits before they do, in milliseconds.
const UNLIMITED_MS: u32 = 2_000;

/// Time for which the targets state limits, in milliseconds.
const LIMITED_MS: u32 = 25_000;

/// The limit that a target states, and what it got since.
struct Limited {
    calls_per_s: f64,
    since_us: u64,
    /// When each host first passed on an answer with the limit.
    told_at_us: BTreeMap<usize, u64>,
    /// When calls that are counted reached the target, within the last window.
    runs_us: VecDeque<u64>,
}

/// Checks the limits of all targets.
#[derive(Default)]
pub struct RateLimits {
    by_target: BTreeMap<usize, Limited>,
}

impl RateLimits {
    /// Lets a target state a limit from now on.
    fn state(&mut self, target: usize, calls_per_s: f64, now_us: u64) {
        let (told_at_us, runs_us) = (BTreeMap::new(), VecDeque::new());
        let limited = Limited { calls_per_s, since_us: now_us, told_at_us, runs_us };
        self.by_target.insert(target, limited);
    }

    /// The limit that a target states.
    pub fn stated_by(&self, target: usize) -> Option<RateLimit> {
        self.by_target.get(&target).and_then(|limited| RateLimit::per_second(limited.calls_per_s))
    }

    /// Records that a host passed on an answer of a target.
    pub fn record_answer(&mut self, target: usize, host: usize, now_us: u64) {
        if let Some(limited) = self.by_target.get_mut(&target) {
            limited.told_at_us.entry(host).or_insert(now_us);
        }
    }

    /// Records that a host ended: what it was told is not counted any more.
    pub fn excuse(&mut self, host: usize) {
        self.by_target.values_mut().for_each(|limited| _ = limited.told_at_us.remove(&host));
    }

    /// Records a call that began at a host and reached a target, and checks the limit.
    pub fn record_run(&mut self, target: usize, host: usize, now_us: u64) {
        let Some(limited) = self.by_target.get_mut(&target) else { return };
        let is_told =
            limited.told_at_us.get(&host).is_some_and(|told_at| now_us >= told_at + TOLD_FOR_US);
        if !is_told || now_us < limited.since_us + WINDOW_US {
            return;
        }
        limited.runs_us.push_back(now_us);
        while limited.runs_us.front().is_some_and(|run_us| run_us + WINDOW_US < now_us) {
            limited.runs_us.pop_front();
        }
        let stated = limited.calls_per_s * WINDOW_US as f64 / 1e6;
        let allowed = TOLERATED_FACTOR * stated + TOLERATED_CALLS;
        let runs = limited.runs_us.len();
        assert!(runs as f64 <= allowed, "target {target} got {runs} calls, {allowed} allowed");
    }
}

/// A mesh in which each target has 12 slots and is called.
pub fn started_world(seed: u64) -> World {
    let mut world = World::new(seed);
    world.run_ms(5_000);
    world.put(0, 0, None);
    world.calls.set_slots(12);
    (0..TARGETS).for_each(|target| world.target_up(target));
    world.run_ms(2_000);
    world
}

/// Lets a millisecond pass, in which a call may begin at any host.
fn run_one_ms(world: &mut World) {
    if world.rng.random_ratio(1, CALL_EVERY_MS) {
        let (host, is_repeatable) = (world.rng.random_range(0..ZONES.len()), world.rng.random());
        world.call(host, is_repeatable);
    }
    world.run_ms(1);
}

/// Crashes an owner at times, and starts those again that have been down long enough.
pub fn crash_and_restart(world: &mut World, starts_at_us: &mut BTreeMap<usize, u64>) {
    if world.rng.random_ratio(1, CRASH_EVERY_MS) {
        let host = owner_of(world.rng.random_range(0..TARGETS));
        if world.is_up(host) {
            world.crash(host);
            starts_at_us.insert(host, world.now_us + DOWN_MS * 1_000);
        }
    }
    let is_due = |_: &usize, starts_at_us: &mut u64| *starts_at_us <= world.now_us;
    let due: Vec<usize> = starts_at_us.extract_if(.., is_due).map(|(host, _)| host).collect();
    due.into_iter().for_each(|host| world.start(host));
}

// Guards against an owner that forgets the limit of its target with a restart, and against calls
// that pass the owner by.
#[rstest]
fn a_target_gets_no_more_than_its_limit_while_hosts_restart(
    #[values(0.3, 2.0, 10.0)] calls_per_s: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut world = started_world(seed);
    (0..UNLIMITED_MS).for_each(|_| run_one_ms(&mut world));
    let now_us = world.now_us;
    (0..TARGETS).for_each(|target| world.calls.rate_limits.state(target, calls_per_s, now_us));

    let mut starts_at_us = BTreeMap::new();
    for _ in 0..LIMITED_MS {
        run_one_ms(&mut world);
        crash_and_restart(&mut world, &mut starts_at_us);
    }
}
