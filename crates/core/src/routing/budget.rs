//! Retries allowed as a share of first attempts.

/// One retry, in the unit of the tokens.
const RETRY: u64 = 100;
/// Retries that may be saved up.
const MAX_SAVED: u64 = 10 * RETRY;

/// Token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub(super) struct RetryBudget {
    tokens: u64,
}

impl RetryBudget {
    /// Starts with a few retries, so that a quiet service has some.
    pub fn new() -> Self {
        Self { tokens: 5 * RETRY }
    }

    /// Counts a first attempt that earns `percent` of a retry.
    pub fn earn(&mut self, percent: u8) {
        self.tokens = (self.tokens + u64::from(percent)).min(MAX_SAVED);
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
