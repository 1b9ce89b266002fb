//! Retry budget of a service: retries are limited to a share of the first attempts.

/// Tokens for one retry.
const RETRY: u64 = 100;
/// Maximum tokens of one process.
const MAX_SAVED: u64 = 10 * RETRY;
/// Maximum tokens of all processes together for a service; each process may still keep the
/// tokens for one retry.
const MAX_SAVED_BY_ALL: u64 = 50 * RETRY;
/// Initial tokens of a process, so that a service with few calls has some retries.
const SAVED_AT_START: u64 = 5 * RETRY;

/// Token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: u64,
}

impl RetryBudget {
    pub fn new() -> Self {
        Self { tokens: SAVED_AT_START }
    }

    /// Counts a first attempt, which adds `percent` of a retry. The maximum is shared between
    /// `processes`, the processes that each keep a budget for the service.
    pub fn earn(&mut self, percent: u8, processes: usize) {
        let share = MAX_SAVED_BY_ALL / processes.max(1) as u64;
        self.tokens = (self.tokens + u64::from(percent)).min(share.clamp(RETRY, MAX_SAVED));
    }

    /// Takes the tokens for one retry. Returns false if there are too few.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= RETRY;
        if enough {
            self.tokens -= RETRY;
        }
        enough
    }
}
