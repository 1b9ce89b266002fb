//! Callers that come back after a refusal, or after a proxy that was down.
//!
//! Callers give the time that they still wait. Those that call for the first
//! time mostly give the same one, which is set in their program; those that
//! come back give what is left of it. So a time that is given again and again
//! is a first one, and any other tells how long its caller has waited before.
//! The answer to such a call is of full use for a shorter time.

use crate::time::Instant;

/// Times that are told apart on one route.
const MAX_TIMES: usize = 4;
/// Calls that have to give a time for it to be a first one.
const MIN_CALLS: u32 = 3;
/// Time after which a time that nobody gives is forgotten, in milliseconds.
const LIFE_MS: u64 = 60_000;

/// A time that calls gave.
#[derive(Clone, Copy, Debug)]
struct Given {
    ms: u32,
    calls: u32,
    last_at: Instant,
}

impl Given {
    fn is_first(&self) -> bool {
        self.calls >= MIN_CALLS
    }
}

/// The times that the callers of one route give.
#[derive(Debug, Default)]
pub(super) struct GivenTimes(Vec<Given>);

impl GivenTimes {
    /// Time for which the caller that gives `ms` has waited before this call,
    /// in milliseconds; 0 as far as is known.
    pub fn waited_ms(&mut self, ms: u32, now: Instant) -> u32 {
        self.0.retain(|given| now.since_ms(given.last_at) < LIFE_MS);
        if self.count(ms, now) {
            return 0;
        }
        let firsts = self.0.iter().filter(|given| given.is_first() && given.ms > ms);
        firsts.map(|given| given.ms - ms).min().unwrap_or(0)
    }

    /// Counts a call. Returns whether `ms` is a first time.
    fn count(&mut self, ms: u32, now: Instant) -> bool {
        if let Some(given) = self.0.iter_mut().find(|given| given.ms == ms) {
            given.calls = given.calls.saturating_add(1);
            given.last_at = now;
            return given.is_first();
        }
        if self.0.len() == MAX_TIMES {
            let Some(place) = self.0.iter().position(|given| !given.is_first()) else {
                return false;
            };
            self.0.remove(place);
        }
        self.0.push(Given { ms, calls: 1, last_at: now });
        false
    }
}
