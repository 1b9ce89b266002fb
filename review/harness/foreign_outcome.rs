//! A core machine is killed while an order that it passed on to the leader is undecided. After its
//! restart another operator sends it another order on the same version.
//!
//! The order is undecided because two more core machines stand still for a while, so that the
//! leader has no majority.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::config::{self, Document};
use crate::deployment::{CORES, Deployment};
use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::{CaseResult, Verdict};

/// Calm time before the disruption: `connectivity-window`, and some more.
const CALM: Duration = Duration::from_secs(5);

/// Time after the start of the freeze at which the first operator sends its order.
const FIRST_ORDER_AFTER: Duration = Duration::from_millis(100);

/// Time from the first order until its machine is killed.
const KILL_AFTER: Duration = Duration::from_millis(200);

/// Time for which the killed machine is down.
const DOWN_FOR: Duration = Duration::from_millis(200);

/// Time from the restart until the two machines wake again.
const WAKE_AFTER: Duration = Duration::from_millis(700);

/// `recovery` of the deployment.
const RECOVERY: Duration = Duration::from_secs(15);

/// Core machine to which both operators send their orders: not a seed, so it has no vote.
const ENTRY: usize = CORES - 1;

const ORDER_A: Document =
    Document { base: "00000001", version: "00000002", booking_latency_ms: 1_100 };
const ORDER_B: Document =
    Document { base: "00000001", version: "00000003", booking_latency_ms: 1_200 };

pub fn run(record: &Arc<Record>, is_troubled: bool) -> CaseResult {
    let mut deployment = Deployment::start(&["seatdesk", "seatdesk", "bookbook"])?;
    for (index, id) in ["i-a", "i-b", "i-c"].into_iter().enumerate() {
        let service = if index == 2 { "bookbook" } else { "seatdesk" };
        let machine = &deployment.sidecars[index];
        Endpoint::start(id, service, machine, machine.control(), record)?;
    }
    config::send_first(&deployment, record)?;
    deployment.wait_ready(record)?;
    thread::sleep(CALM);

    let (first_a, first_b) = match is_troubled {
        true => send_with_disruption(&mut deployment, record)?,
        false => {
            let entry = deployment.cores[ENTRY].control();
            (send("A", &ORDER_A, entry, record), send("B", &ORDER_B, entry, record))
        }
    };
    // An operator without a clear response sends the same order again, to any machine.
    let final_a = resolve(&deployment, &ORDER_A, first_a, record)?;
    let final_b = resolve(&deployment, &ORDER_B, first_b, record)?;
    thread::sleep(Duration::from_secs(4));
    let in_force = read_back(&deployment, record)?;
    Ok(check(final_a, final_b, &in_force, record))
}

/// Plays the disruption. Returns the status of each operator's first try, if it got one.
fn send_with_disruption(
    deployment: &mut Deployment,
    record: &Arc<Record>,
) -> Result<(Option<u16>, Option<u16>), String> {
    let leader = deployment.leader().ok_or("no leader is known")?;
    if leader == ENTRY {
        return Err("the machine without a vote leads".to_owned());
    }
    let frozen: Vec<usize> = (0..ENTRY).filter(|index| *index != leader).collect();
    let entry = deployment.cores[ENTRY].control();
    let name = |index: usize| deployment.cores[index].name.clone();
    let (leader_name, entry_name) = (name(leader), name(ENTRY));
    let frozen_names: Vec<String> = frozen.iter().map(|index| name(*index)).collect();
    record.line(format!("{leader_name} leads; {} stand still", frozen_names.join(" and ")));
    for index in &frozen {
        deployment.signal_core(*index, "STOP");
    }
    thread::sleep(FIRST_ORDER_AFTER);
    let operator_a = operator("A", &ORDER_A, entry, record);
    thread::sleep(KILL_AFTER);
    deployment.kill_core(ENTRY);
    record.line(format!("{entry_name} is killed"));
    thread::sleep(DOWN_FOR);
    deployment.start_core(ENTRY, false)?;
    record.line(format!("{entry_name} starts again"));
    thread::sleep(WAKE_AFTER);
    let operator_b = operator("B", &ORDER_B, entry, record);
    for index in &frozen {
        deployment.signal_core(*index, "CONT");
    }
    record.line(format!("{} wake again", frozen_names.join(" and ")));
    let panicked = |_| "an operator panicked".to_owned();
    Ok((operator_a.join().map_err(panicked)?, operator_b.join().map_err(panicked)?))
}

/// Sends an order once, in a thread of its own.
fn operator(
    name: &'static str,
    order: &'static Document,
    to: SocketAddr,
    record: &Arc<Record>,
) -> thread::JoinHandle<Option<u16>> {
    let record = Arc::clone(record);
    thread::spawn(move || send(name, order, to, &record))
}

/// Sends an order once. Returns the status of its answer; `None` without a clear one.
fn send(name: &str, order: &Document, to: SocketAddr, record: &Record) -> Option<u16> {
    let Document { version, base, .. } = order;
    record.line(format!("operator {name} sends version {version} on {base} to {to}"));
    let status = order.send(to).ok().map(|answer| answer.status);
    let text = status.map_or("no clear answer".to_owned(), |status| status.to_string());
    record.line(format!("operator {name}, version {version}: {text}"));
    status.filter(|status| *status < 500)
}

fn resolve(
    deployment: &Deployment,
    order: &Document,
    first: Option<u16>,
    record: &Record,
) -> Result<u16, String> {
    match first {
        Some(status) => Ok(status),
        None => config::send_until_clear(deployment, order, record, RECOVERY),
    }
}

/// Reads the configuration back from every core machine.
fn read_back(deployment: &Deployment, record: &Record) -> Result<Vec<String>, String> {
    let mut versions = Vec::new();
    for machine in &deployment.cores {
        let answer = config::read(machine.control());
        let Some(answer) = answer.ok().filter(|answer| answer.status == 200) else { continue };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let version = body.split("\"version\":\"").nth(1).and_then(|rest| rest.split('"').next());
        let version = version.unwrap_or("none").to_owned();
        record.line(format!("{} reads back version {version}", machine.name));
        versions.push(version);
    }
    if versions.is_empty() { Err("no machine could read back".to_owned()) } else { Ok(versions) }
}

/// CONFIG: two changes on top of the same version are not both acknowledged, and what is read back
/// is not older than what was acknowledged.
fn check(status_a: u16, status_b: u16, in_force: &[String], record: &Record) -> Verdict {
    record.line(format!("order A ended with {status_a}, order B with {status_b}"));
    let are_both_acknowledged = status_a == 200 && status_b == 200;
    // Version 3 of operator B is the newer number.
    let lacks_b = status_b == 200 && in_force.iter().any(|version| version != ORDER_B.version);
    let lacks_a =
        status_a == 200 && in_force.iter().any(|version| version.as_str() < ORDER_A.version);
    if are_both_acknowledged || lacks_a || lacks_b { Verdict::Broken } else { Verdict::Held }
}
