//! Retry budget of a service: retries are limited to a share of the first attempts.

/// Tokens for one retry.
const TOKENS_PER_RETRY: u64 = 100;
/// Maximum tokens of one process.
const MAX_TOKENS: u64 = 10 * TOKENS_PER_RETRY;
/// Maximum tokens of all processes together for a service; each process may still keep the
/// tokens for one retry.
const MAX_TOKENS_ALL_PROCESSES: u64 = 50 * TOKENS_PER_RETRY;
/// Initial tokens of a process, so that a service with few calls has some retries.
const INITIAL_TOKENS: u64 = 5 * TOKENS_PER_RETRY;

/// Token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: u64,
}

impl RetryBudget {
    pub fn new() -> Self {
        Self { tokens: INITIAL_TOKENS }
    }

    /// Counts a first attempt, which adds `percent` of a retry. The maximum is shared between
    /// `processes`, the processes that each keep a budget for the service.
    pub fn deposit(&mut self, percent: u8, processes: usize) {
        let share = MAX_TOKENS_ALL_PROCESSES / processes.max(1) as u64;
        self.tokens =
            (self.tokens + u64::from(percent)).min(share.clamp(TOKENS_PER_RETRY, MAX_TOKENS));
    }

    /// Takes the tokens for one retry. Returns false if there are too few.
    pub fn try_withdraw(&mut self) -> bool {
        let is_available = self.tokens >= TOKENS_PER_RETRY;
        if is_available {
            self.tokens -= TOKENS_PER_RETRY;
        }
        is_available
    }
}
