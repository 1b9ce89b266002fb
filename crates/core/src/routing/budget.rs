//! Retries allowed as a share of first attempts.

/// One retry, in the unit of the tokens.
const RETRY: u64 = 100;
/// Retries that one process may save up.
const MAX_SAVED: u64 = 10 * RETRY;
/// Retries that all processes together may save up for a service, as long as each
/// may save one.
const MAX_SAVED_BY_ALL: u64 = 50 * RETRY;
/// Retries that a process starts with, so that a quiet service has some.
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

    /// Counts a first attempt that earns `percent` of a retry, at one of so many
    /// processes that save up retries for the service.
    pub fn earn(&mut self, percent: u8, processes: usize) {
        let share = MAX_SAVED_BY_ALL / processes.max(1) as u64;
        self.tokens = (self.tokens + u64::from(percent)).min(share.clamp(RETRY, MAX_SAVED));
    }

    /// Takes one retry. Returns false where none is left.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= RETRY;
        if enough {
            self.tokens -= RETRY;
        }
        enough
    }
}
