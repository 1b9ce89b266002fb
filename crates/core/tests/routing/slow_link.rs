//! Load pattern: the responses of a host exceed the bandwidth of its slow link. Large responses
//! are requested at twice the rate that the link carries, together with small responses and
//! responses to callers on the host. Guards against small responses that queue behind large
//! ones.

use fireflylug_core::Instant;
use fireflylug_core::routing::LinkShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// 6.58 Mbit/s.
const LINK_BYTES_PER_S: u64 = 6_580_000 / 8;
const LARGE_BYTES: u64 = 90_000;
const SMALL_BYTES: u64 = 2_000;
/// Maximum time that a small response may wait for others, as the mean over a run.
const MAX_MEAN_WAIT_US: u64 = 200_000;
/// Minimum share of the bandwidth left by other traffic that must carry large responses, in
/// percent.
const MIN_USED_PERCENT: u64 = 75;
const LENGTH_US: u64 = 30_000_000;
const STEP_US: u64 = 1_000;

/// Results of a run.
#[derive(Debug, Default)]
struct Tally {
    small: u64,
    small_wait_us: u64,
    small_bytes: u64,
    large_bytes: u64,
}

/// Runs with a constant backlog of large responses; small ones use `other_traffic_percent` of the
/// link.
fn run(other_traffic_percent: u64) -> Tally {
    let mut rng = SmallRng::seed_from_u64(11);
    let mut share = LinkShare::new(LINK_BYTES_PER_S);
    let mut tally = Tally::default();
    let (mut free_at_us, mut next_large_us) = (0, 0);
    let per_step = LINK_BYTES_PER_S * other_traffic_percent / 100 * STEP_US / 1_000_000;
    for now_us in (0..LENGTH_US).step_by(STEP_US as usize) {
        let now = Instant::from_us(now_us);
        if rng.random_range(0..SMALL_BYTES) < per_step {
            tally.small += 1;
            tally.small_wait_us += u64::saturating_sub(free_at_us, now_us);
            tally.small_bytes += SMALL_BYTES;
            free_at_us = carry(free_at_us, now_us, SMALL_BYTES);
            share.record_other_bytes(SMALL_BYTES, now);
        }
        if now_us >= next_large_us {
            next_large_us = now_us + share.transfer_us(LARGE_BYTES, now);
            tally.large_bytes += LARGE_BYTES;
            free_at_us = carry(free_at_us, now_us, LARGE_BYTES);
        }
    }
    tally
}

/// When the link has transferred these bytes as well.
fn carry(free_at_us: u64, now_us: u64, bytes: u64) -> u64 {
    free_at_us.max(now_us) + bytes * 1_000_000 / LINK_BYTES_PER_S
}

#[rstest]
#[case::hardly_any_others(5)]
#[case::some_others(20)]
#[case::many_others(45)]
fn large_responses_use_the_bandwidth_that_other_traffic_leaves(#[case] other_traffic_percent: u64) {
    let tally = run(other_traffic_percent);

    let carried = LINK_BYTES_PER_S * LENGTH_US / 1_000_000;
    let left = carried - tally.small_bytes;
    assert!(tally.large_bytes * 100 >= left * MIN_USED_PERCENT, "{tally:?} of {left}");
    assert!(tally.small_wait_us / tally.small <= MAX_MEAN_WAIT_US, "{tally:?}");
}
