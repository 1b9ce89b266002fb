//! Load on the call path and what became of each call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fireflylug_fault::HttpClient;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::timeout;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;
/// Attempts of the baseline, the first included.
const PLAIN_ATTEMPTS: usize = 3;

/// Who is called, and how.
#[derive(Clone, Debug)]
pub enum Callee {
    /// Any of these proxies.
    Mesh(Vec<SocketAddr>),
    /// Any of these targets, drawn at random, with plain retries at once:
    /// the baseline.
    Random(Vec<SocketAddr>),
}

/// One kind of call.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Method and path.
    pub line: &'static str,
    /// Time after which the caller gives up, in milliseconds.
    pub give_up_ms: u64,
}

/// What became of calls.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Times of calls that were answered well, in microseconds.
    pub good: Histogram<u64>,
    /// Times of calls that were refused as not run, in microseconds.
    pub refused: Histogram<u64>,
    /// Calls that failed in another way.
    pub failed: u64,
}

/// What became of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// Answered well.
    Good,
    /// Refused as not run.
    Refused,
    /// Anything else.
    Failed,
}

impl Default for Tally {
    fn default() -> Self {
        let empty = || Histogram::new(DIGITS).expect("the digits are in range");
        Self { good: empty(), refused: empty(), failed: 0 }
    }
}

impl Tally {
    /// Counts one call that took `us` microseconds.
    pub fn count(&mut self, fate: Fate, us: u64) {
        match fate {
            Fate::Good => self.good += us,
            Fate::Refused => self.refused += us,
            Fate::Failed => self.failed += 1,
        }
    }

    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.good.add(&other.good).expect("histograms of equal digits add up");
        self.refused.add(&other.refused).expect("histograms of equal digits add up");
        self.failed += other.failed;
    }

    /// Every call.
    pub fn calls(&self) -> u64 {
        self.good.len() + self.refused.len() + self.failed
    }

    /// A percentile of the well answered calls, in milliseconds.
    pub fn good_ms(&self, percentile: f64) -> f64 {
        self.good.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// A percentile of the refused calls, in milliseconds.
    pub fn refused_ms(&self, percentile: f64) -> f64 {
        self.refused.value_at_percentile(percentile) as f64 / 1_000.0
    }
}

/// Callers that share connections.
#[derive(Clone)]
pub struct Callers {
    client: HttpClient,
    callee: Arc<Callee>,
}

impl Callers {
    /// Makes callers of `callee`.
    pub fn new(callee: Callee) -> Self {
        Self { client: HttpClient::new(), callee: Arc::new(callee) }
    }

    /// Makes one call. Returns its fate and the time that it took, in microseconds.
    pub async fn call(&self, call: Call, rng: &mut SmallRng) -> (Fate, u64) {
        let sent_at = Instant::now();
        let limit = Duration::from_millis(call.give_up_ms);
        let fate = match &*self.callee {
            Callee::Mesh(proxies) => {
                let proxy = proxies[rng.random_range(0..proxies.len())];
                self.attempt(proxy, call.line, limit).await
            }
            Callee::Random(targets) => self.plain(targets, call.line, limit, rng).await,
        };
        (fate, sent_at.elapsed().as_micros() as u64)
    }

    /// A random target, and another random one at once after a failure.
    async fn plain(
        &self,
        targets: &[SocketAddr],
        line: &str,
        limit: Duration,
        rng: &mut SmallRng,
    ) -> Fate {
        let mut fate = Fate::Failed;
        for _ in 0..PLAIN_ATTEMPTS {
            let target = targets[rng.random_range(0..targets.len())];
            fate = self.attempt(target, line, limit / PLAIN_ATTEMPTS as u32).await;
            if fate == Fate::Good {
                break;
            }
        }
        fate
    }

    async fn attempt(&self, address: SocketAddr, line: &str, limit: Duration) -> Fate {
        match timeout(limit, self.client.send(address, line, &[], "")).await {
            Ok(Ok(answer)) if answer.status.is_success() => Fate::Good,
            Ok(Ok(answer)) if answer.header("fireflylug-outcome") == "not-run" => Fate::Refused,
            _ => Fate::Failed,
        }
    }

    /// Calls at a steady rate, however long each call takes.
    pub async fn steady(&self, call: Call, per_s: u64, length: Duration, seed: u64) -> Tally {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut calls = tokio::task::JoinSet::new();
        let began_at = Instant::now();
        let mut sent = 0;
        let mut tick = tokio::time::interval(Duration::from_millis(1));
        while began_at.elapsed() < length {
            tick.tick().await;
            let due = began_at.elapsed().as_micros() as u64 * per_s / 1_000_000;
            while sent < due {
                sent += 1;
                let callers = self.clone();
                let mut rng = SmallRng::seed_from_u64(rng.random());
                calls.spawn(async move { callers.call(call, &mut rng).await });
            }
        }
        let mut tally = Tally::default();
        while let Some(joined) = calls.join_next().await {
            let (fate, us) = joined.unwrap_or((Fate::Failed, 0));
            tally.count(fate, us);
        }
        tally
    }

    /// Calls by `workers` that each call again as soon as they are answered.
    pub async fn saturate(&self, call: Call, workers: usize, length: Duration, seed: u64) -> Tally {
        let until = Instant::now() + length;
        let one = |worker| {
            let callers = self.clone();
            let mut rng = SmallRng::seed_from_u64(seed + worker as u64);
            tokio::spawn(async move {
                let mut tally = Tally::default();
                while Instant::now() < until {
                    let (fate, us) = callers.call(call, &mut rng).await;
                    tally.count(fate, us);
                }
                tally
            })
        };
        let workers: Vec<_> = (0..workers).map(one).collect();
        let mut all = Tally::default();
        for worker in workers {
            if let Ok(tally) = worker.await {
                all.add(&tally);
            }
        }
        all
    }
}
