//! Callers: lookups, bookings and manifests, and what each caller checks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fireflylug_fault::HttpClient;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use crate::mesh::MANIFEST_BYTES;

/// Seed of the callers' choices.
const SEED: u64 = 29;
/// Longest pause of a caller between two calls.
const MAX_PAUSE: Duration = Duration::from_millis(10);

/// A booking, by what its caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// Confirmed.
    Confirmed,
    /// It did not run.
    NotRun,
    /// Nothing certain.
    Unknown,
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Calls {
    /// Calls that were answered by a target, whole.
    pub ran: u64,
    /// Calls that the mesh says did not run.
    pub not_run: u64,
    /// Calls of which the mesh says that they may have run.
    pub unknown: u64,
    /// Connections refused by a proxy that had stopped; the caller went to another.
    pub refused_connections: u64,
    /// Answers that broke off or were not whole.
    pub cut: u64,
    /// Bookings by their request id.
    pub bookings: Vec<(String, Told)>,
    /// Codes of answers that the mesh gave itself.
    pub error_codes: std::collections::BTreeMap<String, u64>,
    /// The first few answers that were cut.
    pub cut_examples: Vec<String>,
}

/// Callers that run until they are stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Calls>,
}

impl Load {
    /// Starts callers that call any of these proxies.
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
                seen: Calls::default(),
            };
            running.spawn(caller.run(Arc::clone(&stop)));
        }
        Self { stop, callers: running }
    }

    /// Lets each caller finish its call, and adds up what they saw.
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
        self.cut += other.cut;
        self.bookings.extend(other.bookings);
        self.cut_examples.extend(other.cut_examples);
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
    seen: Calls,
}

/// How one call ended, as its caller sees it.
enum Ended {
    /// An answer with the mesh's outcome, and the length of its body.
    Answered { outcome: String, error_code: String, status: u16, body_bytes: usize },
    /// No connection: nothing was sent.
    NoConnection,
    /// The connection broke.
    Broke(String),
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
            let told = self.call(line, &id, expected_bytes).await;
            if let Some(told) = told.filter(|_| line.starts_with("POST")) {
                self.seen.bookings.push((id, told));
            }
            let pause_us = self.rng.random_range(0..MAX_PAUSE.as_micros() as u64);
            tokio::time::sleep(Duration::from_micros(pause_us)).await;
        }
        self.seen
    }

    /// Makes one call. Returns what the caller was told, if it was sent at all.
    async fn call(&mut self, line: &str, id: &str, expected_bytes: usize) -> Option<Told> {
        let proxy = self.proxies[self.rng.random_range(0..self.proxies.len())];
        match self.send(proxy, line, id).await {
            Ended::Answered { outcome, status: 200, body_bytes, .. } if outcome == "ran" => {
                if body_bytes == expected_bytes {
                    self.seen.ran += 1;
                } else {
                    self.cut(format!("{line}: {body_bytes} of {expected_bytes} bytes"));
                }
                Some(Told::Confirmed)
            }
            Ended::Answered { outcome, error_code, status, .. } => {
                let code = format!("{outcome} {status} {error_code}");
                *self.seen.error_codes.entry(code).or_default() += 1;
                if outcome == "not-run" {
                    self.seen.not_run += 1;
                    return Some(Told::NotRun);
                }
                self.seen.unknown += 1;
                Some(Told::Unknown)
            }
            Ended::NoConnection => {
                self.seen.refused_connections += 1;
                self.proxies.retain(|other| *other != proxy);
                None
            }
            Ended::Broke(error) => {
                self.cut(format!("{line} at {proxy}: {error}"));
                Some(Told::Unknown)
            }
        }
    }

    async fn send(&self, proxy: SocketAddr, line: &str, id: &str) -> Ended {
        let headers = [("x-request-id", id)];
        match self.http.send(proxy, line, &headers, "").await {
            Ok(answer) => Ended::Answered {
                outcome: answer.header("fireflylug-outcome").to_owned(),
                error_code: answer.header("fireflylug-error").to_owned(),
                status: answer.status.as_u16(),
                body_bytes: answer.body.len(),
            },
            Err(error) => {
                let text = format!("{error:?}");
                if text.contains("Connect") { Ended::NoConnection } else { Ended::Broke(text) }
            }
        }
    }

    fn cut(&mut self, example: String) {
        self.seen.cut += 1;
        self.seen.cut_examples.push(example);
    }
}
