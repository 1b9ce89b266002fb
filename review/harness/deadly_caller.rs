//! A request of one service crashes each endpoint that begins to run it, and comes again. Requests
//! with the same path from another service are sound and common.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::clients::{self, Clients};
use crate::config;
use crate::deployment::Deployment;
use crate::endpoint::{Endpoint, Run};
use crate::record::Record;
use crate::{CaseResult, Verdict};

/// Service whose requests for the path are deadly.
const DEADLY_CALLER: &str = "bookbook";

/// Calm time before the disruption: `connectivity-window`, and some more.
const CALM: Duration = Duration::from_secs(5);

/// `connectivity-window` of the deployment, in milliseconds.
const CONNECTIVITY_WINDOW_MS: u64 = 4_000;

/// Time after which an endpoint that crashed is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// How often the deadly request comes again, and the pause between two times.
const TIMES: usize = 24;
const PAUSE: Duration = Duration::from_secs(1);

/// Crashes from which on the deadly request must be kept from the endpoints.
const CRASHES: usize = 3;
/// Retries that may reach endpoints later.
const MAX_RETRIES: usize = 3;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> CaseResult {
    let deployment =
        Deployment::start(&["seatdesk", "seatdesk", "seatdesk", "bookbook", "seatdesk"])?;
    let deadly_caller = is_troubled.then_some(DEADLY_CALLER);
    let mut seats = Vec::new();
    for (index, machine) in deployment.sidecars.iter().enumerate() {
        let (app, control) = (machine.app(), machine.control());
        if index == 3 {
            Endpoint::start("i-book", "bookbook", machine, control, record)?;
            continue;
        }
        let name = format!("i-seat{index}");
        seats.push(Supervisor::start(name, (app, machine.zone()), control, deadly_caller, record));
    }
    config::send_first(&deployment, record)?;
    deployment.wait_ready(record)?;
    let sound_clients = Clients::start(&deployment.sidecars[..3]);
    thread::sleep(CALM);

    let outbound = deployment.sidecars[3].outbound();
    let mut sent = Vec::new();
    for number in 0..TIMES {
        let request_id = format!("deadly-{number}");
        sent.push((request_id.clone(), record.now_ms()));
        let is_answered = clients::look_up_seats(outbound, &request_id);
        let end = if is_answered { "answered with 200" } else { "not answered with 200" };
        record.line(format!("{request_id} of service {DEADLY_CALLER}: {end}"));
        thread::sleep(PAUSE);
    }
    let (count, answered) = sound_clients.stop();
    record.line(format!("service seatdesk sent {count} requests, {answered} answered with 200"));
    if HAS_FAILED.load(Ordering::SeqCst) {
        return Err("an endpoint could not be started".to_owned());
    }
    let runs = seats.iter().flat_map(Supervisor::runs).collect();
    Ok(check(runs, &sent, record))
}

/// BUDGET: later than `connectivity-window` after the third crash, the request reaches endpoints in
/// three retries at most.
fn check(runs: Vec<Run>, sent: &[(String, u64)], record: &Record) -> Verdict {
    let mut crashes: Vec<Run> = runs.into_iter().filter(|run| run.is_deadly).collect();
    crashes.sort_by_key(|run| run.arrived_ms);
    record.line(format!("the request crashed endpoints {} times", crashes.len()));
    let Some(third) = crashes.get(CRASHES - 1) else { return Verdict::Held };
    let counted_from_ms = third.arrived_ms + CONNECTIVITY_WINDOW_MS;
    let has_reached = |request_id: &str| crashes.iter().any(|run| run.request_id == request_id);
    let late = sent.iter().filter(|(id, at_ms)| *at_ms > counted_from_ms && has_reached(id));
    let late = late.count();
    record.line(format!(
        "the third crash was at {} ms; {late} retries that were sent later than {} ms after it \
         reached endpoints",
        third.arrived_ms, CONNECTIVITY_WINDOW_MS
    ));
    if late > MAX_RETRIES { Verdict::Broken } else { Verdict::Held }
}

/// Starts an endpoint, and another one at its address some seconds after it has crashed.
struct Supervisor {
    endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>>,
}

/// Whether an endpoint could not be started, which ends its supervisor.
static HAS_FAILED: AtomicBool = AtomicBool::new(false);

impl Supervisor {
    fn start(
        name: String,
        place: (SocketAddr, &'static str),
        control: SocketAddr,
        deadly_caller: Option<&'static str>,
        record: &Arc<Record>,
    ) -> Self {
        let endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>> = Arc::default();
        let (started, record) = (Arc::clone(&endpoints), Arc::clone(record));
        thread::spawn(move || {
            for run in 0.. {
                let id = format!("{name}-{run}");
                let endpoint =
                    Endpoint::start_with(&id, "seatdesk", place, control, deadly_caller, &record);
                let Ok(endpoint) = endpoint else {
                    HAS_FAILED.store(true, Ordering::SeqCst);
                    return record.line(format!("{id} could not be started"));
                };
                lock(&started).push(Arc::clone(&endpoint));
                while !endpoint.has_crashed() {
                    thread::sleep(Duration::from_millis(5));
                }
                thread::sleep(BACK_AFTER);
            }
        });
        Self { endpoints }
    }

    fn runs(&self) -> Vec<Run> {
        lock(&self.endpoints).iter().flat_map(|endpoint| endpoint.runs()).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
