//! A core machine is killed while the whole system starts for the first time, and starts again.
//!
//! The kill comes when another seed has formed the first set of voters and this one has not. At
//! some starts all seeds form it at the same moment; then the system is started anew.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, FIRST};
use crate::deployment::{Deployment, SEEDS};
use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::{CaseResult, Verdict};

/// Services of the endpoints, one a sidecar machine.
const SERVICES: [&str; 2] = ["seatdesk", "bookbook"];

/// Most first starts that are tried.
const MAX_STARTS: usize = 60;

/// Longest wait for the first seed to form the set.
const FORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Line that a seed logs once it has formed the first set of voters.
const FORMED: &str = "Formed the initial set of 3 voters";

/// Time for which the killed machine is down.
const DOWN_FOR: Duration = Duration::from_millis(300);

/// Time for which the operator sends its first configuration: `connectivity-window` and `ack`, 4 s
/// each, several times over.
const OPERATOR_PATIENCE: Duration = Duration::from_secs(30);

pub fn run(record: &Arc<Record>, is_troubled: bool) -> CaseResult {
    let mut kills = 0;
    for start in 1..=MAX_STARTS {
        record.line(format!("first start of the whole system, number {start}"));
        let mut deployment = Deployment::start(&SERVICES)?;
        let mut endpoints = Vec::new();
        for (machine, service) in deployment.sidecars.iter().zip(SERVICES) {
            let id = format!("i-{service}-{start}");
            endpoints.push(Endpoint::start(&id, service, machine, machine.control(), record)?);
        }
        let is_serving = first_start(&mut deployment, is_troubled, &mut kills, record);
        endpoints.iter().for_each(|endpoint| endpoint.end());
        if !is_serving? {
            record.line(format!("this was the system's {kills}. kill in a first start"));
            return Ok(Verdict::Broken);
        }
    }
    record.line(format!("{MAX_STARTS} first starts, a seed was killed in {kills} of them"));
    match is_troubled && kills == 0 {
        true => Err("at every start all seeds formed the set at the same moment".to_owned()),
        false => Ok(Verdict::Held),
    }
}

/// Lets the system start once. Returns whether the first configuration is acknowledged.
fn first_start(
    deployment: &mut Deployment,
    is_troubled: bool,
    kills: &mut usize,
    record: &Record,
) -> Result<bool, String> {
    if is_troubled {
        let Some(victim) = wait_for_a_seed_that_lags(deployment)? else {
            record.line("all seeds formed the set of voters at the same moment");
            return Ok(true);
        };
        deployment.kill_core(victim);
        *kills += 1;
        let name = deployment.cores[victim].name.clone();
        record.line(format!("{name} is killed"));
        thread::sleep(DOWN_FOR);
        deployment.start_core(victim, true)?;
        record.line(format!("{name} starts again, with bootstrap still true"));
    }
    let outcome = config::send_until_clear(deployment, &FIRST, record, OPERATOR_PATIENCE);
    if outcome != Ok(200) {
        let seconds = OPERATOR_PATIENCE.as_secs();
        record.line(format!("the first configuration got no acknowledgement in {seconds} s"));
    }
    Ok(outcome == Ok(200))
}

/// Waits until a seed has formed the set of voters. Returns a seed that has not; none if all have.
fn wait_for_a_seed_that_lags(deployment: &Deployment) -> Result<Option<usize>, String> {
    let give_up_at = Instant::now() + FORM_TIMEOUT;
    loop {
        let has_formed = |index: &usize| deployment.has_core_logged(*index, FORMED);
        let (formed, lagging): (Vec<usize>, Vec<usize>) = (0..SEEDS).partition(has_formed);
        if !formed.is_empty() {
            return Ok(lagging.first().copied());
        }
        if Instant::now() > give_up_at {
            return Err("no seed formed the set of voters".to_owned());
        }
        thread::sleep(Duration::from_millis(1));
    }
}
