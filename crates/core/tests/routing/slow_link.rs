//! Load pattern: large answers are asked of a host whose link is slow, twice as many as
//! it carries, beside small answers and those to the callers of the host.

use fireflylug_core::Instant;
use fireflylug_core::routing::LinkShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// 6.58 Mbit/s.
const LINK_BYTES_PER_S: u64 = 6_580_000 / 8;
const LARGE_BYTES: u64 = 90_000;
const SMALL_BYTES: u64 = 2_000;
/// Longest time for which a small answer may wait behind others, the mean over a run.
const MAX_MEAN_WAIT_US: u64 = 200_000;
/// Least part of what the others leave that must carry large answers, in percent.
const MIN_USED_PERCENT: u64 = 75;
const LENGTH_US: u64 = 30_000_000;
const STEP_US: u64 = 1_000;

/// What a run came to.
#[derive(Debug, Default)]
struct Tally {
    small: u64,
    small_wait_us: u64,
    small_bytes: u64,
    large_bytes: u64,
}

/// Large answers wait all the time; small ones take a share of the link, in percent.
fn run(others_percent: u64) -> Tally {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut share = LinkShare::new(LINK_BYTES_PER_S);
    let mut tally = Tally::default();
    let (mut free_at_us, mut next_large_us) = (0, 0);
    let per_step = LINK_BYTES_PER_S * others_percent / 100 * STEP_US / 1_000_000;
    for now_us in (0..LENGTH_US).step_by(STEP_US as usize) {
        let now = Instant::from_us(now_us);
        if rng.random_range(0..SMALL_BYTES) < per_step {
            tally.small += 1;
            tally.small_wait_us += u64::saturating_sub(free_at_us, now_us);
            tally.small_bytes += SMALL_BYTES;
            free_at_us = carry(free_at_us, now_us, SMALL_BYTES);
            share.note_others(SMALL_BYTES, now);
        }
        if now_us >= next_large_us {
            next_large_us = now_us + share.transfer_us(LARGE_BYTES, now);
            tally.large_bytes += LARGE_BYTES;
            free_at_us = carry(free_at_us, now_us, LARGE_BYTES);
        }
    }
    tally
}

/// When the link has carried these bytes too.
fn carry(free_at_us: u64, now_us: u64, bytes: u64) -> u64 {
    free_at_us.max(now_us) + bytes * 1_000_000 / LINK_BYTES_PER_S
}

#[rstest]
#[case::hardly_any_others(5)]
#[case::some_others(20)]
#[case::many_others(45)]
fn large_answers_take_what_others_leave_of_a_slow_link(#[case] others_percent: u64) {
    let tally = run(others_percent);

    let carried = LINK_BYTES_PER_S * LENGTH_US / 1_000_000;
    let left = carried - tally.small_bytes;
    assert!(tally.large_bytes * 100 >= left * MIN_USED_PERCENT, "{tally:?} of {left}");
    assert!(tally.small_wait_us / tally.small <= MAX_MEAN_WAIT_US, "{tally:?}");
}
