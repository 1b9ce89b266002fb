//! Stops, reloads and changes in series beside callers that keep their connections.
//!
//! A request that a target ran must be answered completely. A request that no target ran may have
//! crossed the close of its connection, which does not count. `FIREFLYLUG_STOP_SEEDS` holds the
//! seeds to run, separated by commas, and `FIREFLYLUG_STOP_ROUNDS` the stops in each run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use fireflylug_fault::{TargetOptions, TargetStandIn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::support::{Cluster, policy, wait_for};

/// One control host with a disk in each zone, and two proxies with a target each.
const ZONES: [usize; 5] = [0, 1, 2, 0, 1];
/// Hosts that are stopped and started again, each with a target.
const STOPPED_HOSTS: [usize; 2] = [3, 4];
/// Callers of each stopped host.
const CALLERS: u64 = 6;
/// Longest pause of a caller between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 10;
/// Pause of some callers in the middle of a request body.
const BODY_PAUSE: Duration = Duration::from_millis(40);
/// Length of a large response, in bytes.
const LARGE_BYTES: usize = 400_000;
/// Durations of the calls at the slow target, in microseconds. One is drawn for each round.
const SLOW_CALL_US: [u64; 3] = [50_000, 400_000, 1_200_000];
/// Calls of each host that end before its stop.
const CALLS_BEFORE_STOP: u64 = 20;

/// How a request ended.
enum End {
    /// Answered completely.
    Answered,
    /// The connection ended, or could not be opened. The text says where.
    Cut(&'static str),
}

/// What the callers have seen.
#[derive(Default)]
struct Callers {
    is_over: AtomicBool,
    answered: [AtomicU64; ZONES.len()],
}

/// A caller that keeps its connection until the process closes it.
struct Caller {
    name: String,
    host: usize,
    random: StdRng,
    stream: Option<BufReader<TcpStream>>,
    sent: u64,
}

impl Caller {
    /// Sends requests until the end of the test. Returns the ids of those that were cut, and where.
    async fn run(
        mut self,
        address: SocketAddr,
        shared: Arc<Callers>,
    ) -> Vec<(String, &'static str)> {
        let mut cut = Vec::new();
        while !shared.is_over.load(Ordering::Relaxed) {
            self.sent += 1;
            let id = format!("{}-{}", self.name, self.sent);
            match self.request(address, &id).await {
                End::Answered => _ = shared.answered[self.host].fetch_add(1, Ordering::Relaxed),
                End::Cut(place) => {
                    self.stream = None;
                    cut.push((id, place));
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
            let pause_ms = self.random.random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        cut
    }

    async fn request(&mut self, address: SocketAddr, id: &str) -> End {
        if self.stream.is_none() {
            let Ok(stream) = TcpStream::connect(address).await else { return End::Cut("connect") };
            self.stream = Some(BufReader::new(stream));
        }
        match self.random.random_range(0..4) {
            0 => self.send(id, "POST", "0123456789", BODY_PAUSE).await,
            1 => self.send(id, "POST", "0123456789", Duration::ZERO).await,
            _ => self.send(id, "GET", "", Duration::ZERO).await,
        }
    }

    /// Sends a request, with a pause in the middle of its body, and reads its response.
    async fn send(&mut self, id: &str, method: &str, body: &str, pause: Duration) -> End {
        let stream = self.stream.as_mut().expect("a connection");
        let length = body.len();
        let (first, second) = body.split_at(length / 2);
        let head = format!(
            "{method} /seatdesk HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{first}"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return End::Cut("request");
        }
        if !second.is_empty() {
            tokio::time::sleep(pause).await;
            if stream.write_all(second.as_bytes()).await.is_err() {
                return End::Cut("request body");
            }
        }
        match read_response(stream).await {
            Ok(is_last) => {
                if is_last {
                    self.stream = None;
                }
                End::Answered
            }
            Err(place) => End::Cut(place),
        }
    }
}

/// Reads one response. Returns whether it is the last one of its connection.
async fn read_response(stream: &mut BufReader<TcpStream>) -> Result<bool, &'static str> {
    let (mut body_bytes, mut is_last, mut line) = (None, false, String::new());
    let status_bytes = stream.read_line(&mut line).await.map_err(|_| "status line")?;
    if status_bytes == 0 || !line.ends_with('\n') {
        return Err("status line");
    }
    loop {
        line.clear();
        stream.read_line(&mut line).await.map_err(|_| "head")?;
        let header = line.trim_end().to_ascii_lowercase();
        match header.split_once(": ") {
            Some(("content-length", value)) => body_bytes = value.parse().ok(),
            Some(("connection", "close")) => is_last = true,
            Some(_) => {}
            None if line == "\r\n" => break,
            None => return Err("head"),
        }
    }
    let mut body = vec![0; body_bytes.expect("each response has a length")];
    stream.read_exact(&mut body).await.map_err(|_| "body")?;
    Ok(is_last)
}

/// Starts the callers of the given hosts.
fn start_callers(
    cluster: &Cluster,
    seed: u64,
    hosts: &[usize],
    round: usize,
    shared: &Arc<Callers>,
) -> JoinSet<Vec<(String, &'static str)>> {
    let mut callers = JoinSet::new();
    for host in hosts.iter().copied() {
        for caller in 0..CALLERS {
            let caller = Caller {
                name: format!("{round}-{host}-{caller}"),
                host,
                random: StdRng::seed_from_u64(seed * 1_000 + host as u64 * 100 + caller),
                stream: None,
                sent: 0,
            };
            callers.spawn(caller.run(cluster.addresses(host).calls, Arc::clone(shared)));
        }
    }
    callers
}

async fn wait_for_answers(shared: &Callers, host: usize) {
    let before = shared.answered[host].load(Ordering::Relaxed);
    wait_for("calls to be answered", async || {
        let answered = shared.answered[host].load(Ordering::Relaxed);
        (answered >= before + CALLS_BEFORE_STOP).then_some(())
    })
    .await;
}

/// Stops the hosts at the same time beside a reload of all and a change.
async fn disturb(cluster: &mut Cluster, hosts: &[usize], random: &mut StdRng, key: &str) {
    let deadline_ms = random.random_range(6_000..9_000);
    tokio::join!(cluster.change(0, key, policy("seatdesk", deadline_ms)), cluster.reload_all());
    for host in hosts {
        let pause_ms = random.random_range(0..300);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        cluster.terminate(*host).await;
    }
    for host in hosts {
        assert!(cluster.wait_for_exit(*host).await, "host {host} exits within its time limit");
    }
}

async fn run(seed: u64, rounds: usize) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::start_with_service(&ZONES).await;
    let large = TargetOptions::new().with_slots(40).with_body_bytes(LARGE_BYTES);
    let targets = [
        TargetStandIn::start(large).await.expect("loopback"),
        TargetStandIn::start(large).await.expect("loopback"),
    ];
    let mut failed_requests = Vec::new();
    for round in 0..rounds {
        let slow_call_us = SLOW_CALL_US[random.random_range(0..SLOW_CALL_US.len())];
        targets[0].set_options(large.with_body_bytes(20_000).with_service_time_us(slow_call_us));
        let [stopped, other] = match random.random_bool(0.5) {
            true => STOPPED_HOSTS,
            false => [STOPPED_HOSTS[1], STOPPED_HOSTS[0]],
        };
        let hosts = if random.random_bool(0.3) { vec![stopped, other] } else { vec![stopped] };
        for (host, target) in STOPPED_HOSTS.iter().zip(&targets) {
            cluster.announce(*host, &format!("on-{host}"), target.address()).await;
        }
        for host in STOPPED_HOSTS {
            cluster.wait_callable(host).await;
        }
        let shared = Arc::new(Callers::default());
        let mut callers = start_callers(&cluster, seed, &STOPPED_HOSTS, round, &shared);
        for host in STOPPED_HOSTS {
            wait_for_answers(&shared, host).await;
        }
        disturb(&mut cluster, &hosts, &mut random, &format!("round-{round}")).await;
        shared.is_over.store(true, Ordering::Relaxed);
        while let Some(cut) = callers.join_next().await {
            let was_run = |id: &str| targets.iter().any(|target| target.runs_of(id) > 0);
            let cut = cut.expect("no panic").into_iter();
            let lost = cut.filter(|(id, _)| was_run(id));
            failed_requests.extend(lost.map(|(id, place)| format!("{id} ended in its {place}")));
        }
        for host in hosts {
            cluster.spawn(host).await;
        }
    }
    failed_requests
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_that_ran_ends_without_an_answer_beside_stops_reloads_and_changes() {
    let seeds = std::env::var("FIREFLYLUG_STOP_SEEDS").unwrap_or_else(|_| "1".to_owned());
    let rounds = std::env::var("FIREFLYLUG_STOP_ROUNDS").unwrap_or_else(|_| "4".to_owned());
    let rounds = rounds.parse().expect("a number of rounds");

    for seed in seeds.split(',').map(|seed| seed.parse().expect("a seed")) {
        let failed_requests = run(seed, rounds).await;

        assert!(failed_requests.is_empty(), "seed {seed}: {failed_requests:#?}");
    }
}
