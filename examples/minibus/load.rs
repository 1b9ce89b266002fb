//! Callers that send lookups, bookings and manifest requests, and check the responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fireflylug_fault::HttpClient;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::mesh::MANIFEST_BYTES;

/// Seed of the callers' random choices.
const SEED: u64 = 29;
/// Maximum pause of a caller between two calls.
const MAX_PAUSE: Duration = Duration::from_millis(10);

/// Outcome of a booking as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// The booking ran.
    Confirmed,
    /// The booking did not run.
    NotRun,
    /// The booking may or may not have run.
    Unknown,
}

/// Results of calls as the callers see them.
#[derive(Debug, Default)]
pub struct Calls {
    /// Calls with a complete response from a target.
    pub ran: u64,
    /// Calls that the mesh reported as not run.
    pub not_run: u64,
    /// Calls that the mesh reported as possibly run.
    pub unknown: u64,
    /// Connections refused by a stopped proxy. The caller then uses other proxies.
    pub refused_connections: u64,
    /// Responses that were interrupted or incomplete.
    pub truncated: u64,
    /// Request id and reported outcome of each booking.
    pub bookings: Vec<(String, ReportedOutcome)>,
    /// Number of responses that did not come from a target, by outcome, status and error code.
    pub error_codes: std::collections::BTreeMap<String, u64>,
    /// Descriptions of the truncated responses.
    pub truncated_examples: Vec<String>,
}

/// Callers that run until [`Load::stop`].
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Calls>,
}

impl Load {
    /// Starts callers that call these proxies at random.
    pub fn start(proxies: Vec<SocketAddr>, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let next_id = Arc::new(AtomicU64::new(0));
        let mut running = JoinSet::new();
        for caller in 0..callers {
            let caller = Caller {
                http: HttpClient::new(),
                proxies: proxies.clone(),
                rng: SmallRng::seed_from_u64(SEED + caller as u64),
                next_id: Arc::clone(&next_id),
                stats: Calls::default(),
            };
            running.spawn(caller.run(Arc::clone(&stop)));
        }
        Self { stop, callers: running }
    }

    /// Waits for each caller to finish its current call, and returns the sum of the results.
    pub async fn stop(mut self) -> Calls {
        self.stop.store(true, Ordering::Relaxed);
        let mut total = Calls::default();
        while let Some(calls) = self.callers.join_next().await {
            total.add(calls.unwrap_or_default());
        }
        total
    }
}

impl Calls {
    fn add(&mut self, other: Self) {
        self.ran += other.ran;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.refused_connections += other.refused_connections;
        self.truncated += other.truncated;
        self.bookings.extend(other.bookings);
        self.truncated_examples.extend(other.truncated_examples);
        for (code, count) in other.error_codes {
            *self.error_codes.entry(code).or_default() += count;
        }
    }
}

struct Caller {
    http: HttpClient,
    proxies: Vec<SocketAddr>,
    rng: SmallRng,
    next_id: Arc<AtomicU64>,
    stats: Calls,
}

/// Result of sending one call.
enum CallResult {
    /// A complete response with the outcome that the mesh reports.
    Responded { outcome: String, error_code: String, status: u16, body_bytes: usize },
    /// No connection could be made, so nothing was sent.
    NoConnection,
    /// The connection was lost. Holds the error.
    ConnectionLost(String),
}

impl Caller {
    async fn run(mut self, stop: Arc<AtomicBool>) -> Calls {
        while !stop.load(Ordering::Relaxed) {
            let id = format!("call-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
            let (line, expected_bytes) = match self.rng.random_range(0..10) {
                0..6 => ("GET /seats/today", 512),
                6..9 => ("POST /bookings", 256),
                _ => ("GET /manifests/today", MANIFEST_BYTES),
            };
            let reported = self.call(line, &id, expected_bytes).await;
            if let Some(reported) = reported.filter(|_| line.starts_with("POST")) {
                self.stats.bookings.push((id, reported));
            }
            let pause_us = self.rng.random_range(0..MAX_PAUSE.as_micros() as u64);
            tokio::time::sleep(Duration::from_micros(pause_us)).await;
        }
        self.stats
    }

    /// Makes one call. Returns the reported outcome, or `None` if nothing was sent.
    async fn call(
        &mut self,
        line: &str,
        id: &str,
        expected_bytes: usize,
    ) -> Option<ReportedOutcome> {
        let proxy = self.proxies[self.rng.random_range(0..self.proxies.len())];
        match self.send(proxy, line, id).await {
            CallResult::Responded { outcome, status: 200, body_bytes, .. } if outcome == "ran" => {
                if body_bytes == expected_bytes {
                    self.stats.ran += 1;
                } else {
                    self.record_truncated(format!(
                        "{line}: {body_bytes} of {expected_bytes} bytes"
                    ));
                }
                Some(ReportedOutcome::Confirmed)
            }
            CallResult::Responded { outcome, error_code, status, .. } => {
                let code = format!("{outcome} {status} {error_code}");
                *self.stats.error_codes.entry(code).or_default() += 1;
                if outcome == "not-run" {
                    self.stats.not_run += 1;
                    return Some(ReportedOutcome::NotRun);
                }
                self.stats.unknown += 1;
                Some(ReportedOutcome::Unknown)
            }
            CallResult::NoConnection => {
                self.stats.refused_connections += 1;
                self.proxies.retain(|other| *other != proxy);
                None
            }
            CallResult::ConnectionLost(error) => {
                self.record_truncated(format!("{line} at {proxy}: {error}"));
                Some(ReportedOutcome::Unknown)
            }
        }
    }

    async fn send(&self, proxy: SocketAddr, line: &str, id: &str) -> CallResult {
        let headers = [("x-request-id", id)];
        match self.http.send(proxy, line, &headers, "").await {
            Ok(answer) => CallResult::Responded {
                outcome: answer.header("fireflylug-outcome").to_owned(),
                error_code: answer.header("fireflylug-error").to_owned(),
                status: answer.status.as_u16(),
                body_bytes: answer.body.len(),
            },
            Err(error) => {
                let text = format!("{error:?}");
                if text.contains("Connect") {
                    CallResult::NoConnection
                } else {
                    CallResult::ConnectionLost(text)
                }
            }
        }
    }

    fn record_truncated(&mut self, example: String) {
        self.stats.truncated += 1;
        self.stats.truncated_examples.push(example);
    }
}
