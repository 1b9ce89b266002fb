//! A heartbeat that an endpoint sent before it left arrives seconds late.
//!
//! The endpoint never reports `draining`: it sends `instances.deregister` first and continues to
//! serve, as PROTOCOL.md allows. Its last heartbeat is on its way all that time.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::Clients;
use crate::config;
use crate::deployment::Deployment;
use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::{CaseResult, Verdict};

/// `drain` of the deployment, in milliseconds.
const DRAIN_MS: u64 = 2_500;

/// Calm time before the disruption: `connectivity-window`, and some more.
const CALM: Duration = Duration::from_secs(5);

/// Time after the acknowledged departure at which the late heartbeat arrives.
const LATE_AFTER: Duration = Duration::from_millis(4_000);

/// Time after the acknowledged departure for which the endpoint continues to serve.
const SERVES_FOR: Duration = Duration::from_millis(8_000);

pub fn run(record: &Arc<Record>, is_troubled: bool) -> CaseResult {
    let deployment = Deployment::start(&["seatdesk", "seatdesk", "seatdesk", "bookbook"])?;
    let leaving_machine = &deployment.sidecars[0];
    let way = HeartbeatWay::start(leaving_machine.control(), record)?;
    let leaving = Endpoint::start("i-a", "seatdesk", leaving_machine, way.address, record)?;
    for (index, id) in [(1, "i-b"), (2, "i-c"), (3, "i-d")] {
        let service = if index == 3 { "bookbook" } else { "seatdesk" };
        let machine = &deployment.sidecars[index];
        Endpoint::start(id, service, machine, machine.control(), record)?;
    }
    config::send_first(&deployment, record)?;
    deployment.wait_ready(record)?;
    let clients = Clients::start(&deployment.sidecars);
    thread::sleep(CALM);
    if leaving.runs().is_empty() {
        return Err("i-a got no request before it left".to_owned());
    }

    if is_troubled {
        way.hold_next();
        way.wait_until_holding()?;
    }
    leaving.stop_heartbeats();
    leaving.begin_leaving();
    let status = leaving.deregister(leaving_machine.control()).map_err(|e| e.to_string())?;
    let acknowledged_ms = record.now_ms();
    record.line(format!("i-a: instances.deregister answered with {status}"));
    if status != 200 {
        return Err("the departure was not acknowledged".to_owned());
    }
    thread::sleep(LATE_AFTER);
    way.release();
    thread::sleep(SERVES_FOR - LATE_AFTER);
    let (sent, answered) = clients.stop();
    record.line(format!("clients sent {sent} requests, {answered} were answered with 200"));
    check(&leaving, acknowledged_ms, record)
}

/// DRAIN: no request reaches the endpoint later than `drain` after the acknowledgement.
fn check(leaving: &Endpoint, acknowledged_ms: u64, record: &Record) -> CaseResult {
    let after = |run: &crate::endpoint::Run| run.arrived_ms.saturating_sub(acknowledged_ms);
    let runs = leaving.runs();
    let late: Vec<_> = runs.iter().filter(|run| after(run) > DRAIN_MS).collect();
    record.line(format!(
        "i-a ran {} requests, {} of them later than drain",
        runs.len(),
        late.len()
    ));
    for run in &late {
        let (id, after_ms) = (&run.request_id, after(run));
        record.line(format!("i-a ran {id}, {after_ms} ms after its departure was acknowledged"));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// The way of the heartbeats of one endpoint, which can delay one of them.
struct HeartbeatWay {
    address: SocketAddr,
    state: Arc<WayState>,
}

#[derive(Default)]
struct WayState {
    holds_next: AtomicBool,
    is_holding: AtomicBool,
    is_released: AtomicBool,
}

impl HeartbeatWay {
    fn start(control: SocketAddr, record: &Arc<Record>) -> Result<Self, String> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = Arc::new(WayState::default());
        let (accepting, record) = (Arc::clone(&state), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, record) = (Arc::clone(&accepting), Arc::clone(&record));
                // An error means that one end closed the connection.
                thread::spawn(move || drop(state.carry(stream, control, &record)));
            }
        });
        Ok(Self { address, state })
    }

    /// Delays the next heartbeat until [`HeartbeatWay::release`].
    fn hold_next(&self) {
        self.state.holds_next.store(true, Ordering::SeqCst);
    }

    fn wait_until_holding(&self) -> Result<(), String> {
        let give_up_at = Instant::now() + Duration::from_secs(5);
        while !self.state.is_holding.load(Ordering::SeqCst) {
            if Instant::now() > give_up_at {
                return Err("no heartbeat was sent".to_owned());
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    fn release(&self) {
        self.state.is_released.store(true, Ordering::SeqCst);
    }
}

impl WayState {
    /// Carries one heartbeat to the control address, and its answer back.
    fn carry(&self, mut from: TcpStream, control: SocketAddr, record: &Record) -> io::Result<()> {
        let mut buffer = [0; 4_096];
        let length = from.read(&mut buffer)?;
        let is_held = self.holds_next.swap(false, Ordering::SeqCst);
        if is_held {
            record.line("a heartbeat of i-a is delayed");
            self.is_holding.store(true, Ordering::SeqCst);
            while !self.is_released.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
        }
        let mut to = TcpStream::connect(control)?;
        to.write_all(&buffer[..length])?;
        let answered = to.read(&mut buffer)?;
        if is_held {
            let answer = String::from_utf8_lossy(&buffer[..answered]);
            let status = answer.lines().next().unwrap_or_default();
            record.line(format!("the delayed heartbeat of i-a arrived, answered with: {status}"));
        }
        from.write_all(&buffer[..answered])
    }
}
