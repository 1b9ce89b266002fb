//! Load generator for the call path, with the result of each call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fireflylug_fault::HttpClient;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::timeout;

/// Significant decimal digits of recorded times.
const DIGITS: u8 = 3;
/// Attempts of the baseline, the first included.
const BASELINE_ATTEMPTS: usize = 3;

/// The addresses that are called, and how.
#[derive(Clone, Debug)]
pub enum Callee {
    /// Proxies, one of which is chosen at random for each call.
    Mesh(Vec<SocketAddr>),
    /// Targets, one of which is chosen at random for each attempt, with immediate
    /// retries: the baseline.
    Random(Vec<SocketAddr>),
}

/// One kind of call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Method and path.
    pub line: &'static str,
    /// Timeout of the caller, in milliseconds.
    pub timeout_ms: u64,
}

/// Results of calls.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Durations of calls that succeeded, in microseconds.
    pub succeeded: Histogram<u64>,
    /// Durations of calls that were refused as not run, in microseconds.
    pub refused: Histogram<u64>,
    /// Number of calls that failed otherwise.
    pub failed: u64,
}

/// Result of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// Received a success status.
    Succeeded,
    /// Refused as not run.
    Refused,
    /// Any other result, including a timeout.
    Failed,
}

impl Default for Tally {
    fn default() -> Self {
        let empty = || Histogram::new(DIGITS).expect("the digits are in range");
        Self { succeeded: empty(), refused: empty(), failed: 0 }
    }
}

impl Tally {
    /// Counts one call that took `duration_us` microseconds.
    pub fn count(&mut self, result: CallResult, duration_us: u64) {
        match result {
            CallResult::Succeeded => self.succeeded += duration_us,
            CallResult::Refused => self.refused += duration_us,
            CallResult::Failed => self.failed += 1,
        }
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.succeeded.add(&other.succeeded).expect("histograms of equal digits add up");
        self.refused.add(&other.refused).expect("histograms of equal digits add up");
        self.failed += other.failed;
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u64 {
        self.succeeded.len() + self.refused.len() + self.failed
    }

    /// Returns a percentile of the durations of successful calls, in milliseconds.
    pub fn succeeded_ms(&self, percentile: f64) -> f64 {
        self.succeeded.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// Returns a percentile of the durations of refused calls, in milliseconds.
    pub fn refused_ms(&self, percentile: f64) -> f64 {
        self.refused.value_at_percentile(percentile) as f64 / 1_000.0
    }
}

/// Callers that share a connection pool.
#[derive(Clone)]
pub struct Callers {
    client: HttpClient,
    callee: Arc<Callee>,
}

impl Callers {
    /// Creates callers of `callee`.
    pub fn new(callee: Callee) -> Self {
        Self { client: HttpClient::new(), callee: Arc::new(callee) }
    }

    /// Makes one call. Returns its result and its duration, in microseconds.
    pub async fn call(&self, call: Call, rng: &mut SmallRng) -> (CallResult, u64) {
        let sent_at = Instant::now();
        let limit = Duration::from_millis(call.timeout_ms);
        let result = match &*self.callee {
            Callee::Mesh(proxies) => {
                let proxy = proxies[rng.random_range(0..proxies.len())];
                self.attempt(proxy, call.line, limit).await
            }
            Callee::Random(targets) => self.call_with_retries(targets, call.line, limit, rng).await,
        };
        (result, sent_at.elapsed().as_micros() as u64)
    }

    /// Calls a random target, and immediately another random one after a failure.
    async fn call_with_retries(
        &self,
        targets: &[SocketAddr],
        line: &str,
        limit: Duration,
        rng: &mut SmallRng,
    ) -> CallResult {
        let mut result = CallResult::Failed;
        for _ in 0..BASELINE_ATTEMPTS {
            let target = targets[rng.random_range(0..targets.len())];
            result = self.attempt(target, line, limit / BASELINE_ATTEMPTS as u32).await;
            if result == CallResult::Succeeded {
                break;
            }
        }
        result
    }

    async fn attempt(&self, address: SocketAddr, line: &str, limit: Duration) -> CallResult {
        match timeout(limit, self.client.send(address, line, &[], "")).await {
            Ok(Ok(answer)) if answer.status.is_success() => CallResult::Succeeded,
            Ok(Ok(answer)) if answer.header("fireflylug-outcome") == "not-run" => {
                CallResult::Refused
            }
            _ => CallResult::Failed,
        }
    }

    /// Calls at a constant rate, independent of the duration of each call (open loop).
    pub async fn call_at_rate(&self, call: Call, per_s: u64, length: Duration, seed: u64) -> Tally {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut calls = tokio::task::JoinSet::new();
        let started_at = Instant::now();
        let mut sent = 0;
        let mut tick = tokio::time::interval(Duration::from_millis(1));
        while started_at.elapsed() < length {
            tick.tick().await;
            let due = started_at.elapsed().as_micros() as u64 * per_s / 1_000_000;
            while sent < due {
                sent += 1;
                let callers = self.clone();
                let mut rng = SmallRng::seed_from_u64(rng.random());
                calls.spawn(async move { callers.call(call, &mut rng).await });
            }
        }
        let mut tally = Tally::default();
        while let Some(joined) = calls.join_next().await {
            let (result, duration_us) = joined.unwrap_or((CallResult::Failed, 0));
            tally.count(result, duration_us);
        }
        tally
    }

    /// Runs `workers` that each start the next call when the previous one ends (closed loop).
    pub async fn saturate(&self, call: Call, workers: usize, length: Duration, seed: u64) -> Tally {
        let until = Instant::now() + length;
        let run_worker = |worker| {
            let callers = self.clone();
            let mut rng = SmallRng::seed_from_u64(seed + worker as u64);
            tokio::spawn(async move {
                let mut tally = Tally::default();
                while Instant::now() < until {
                    let (result, duration_us) = callers.call(call, &mut rng).await;
                    tally.count(result, duration_us);
                }
                tally
            })
        };
        let workers: Vec<_> = (0..workers).map(run_worker).collect();
        let mut total = Tally::default();
        for worker in workers {
            if let Ok(tally) = worker.await {
                total.add(&tally);
            }
        }
        total
    }
}
