//! Test driver of the review: `harness CASE RECORD_FILE`.
//!
//! Starts the project's programs as separate processes with the commands of the deploy file, plays
//! clients, endpoints and operators as the users' pages describe them, and checks one rule.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With the
//! environment variable `TROUBLE=0` the disruption is left out.

mod clients;
mod config;
mod deadly_caller;
mod deployment;
mod endless_body;
mod endpoint;
mod first_start;
mod foreign_outcome;
mod http;
mod late_heartbeat;
mod record;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Maximum duration of a case. The users allow 120 s.
const MAX_DURATION: Duration = Duration::from_secs(100);

/// Result of a case that could run.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// A case that could not run, with the reason.
pub type CaseResult = Result<Verdict, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record_file] = args.as_slice() else {
        eprintln!("usage: harness CASE RECORD_FILE");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(record_file) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write {record_file}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, disruption: {}", if is_troubled { "yes" } else { "no" }));
    deployment::end_all_after(MAX_DURATION);
    let result = match case.as_str() {
        "late-heartbeat" => late_heartbeat::run(&record, is_troubled),
        "deadly-caller" => deadly_caller::run(&record, is_troubled),
        "endless-body" => endless_body::run(&record, is_troubled),
        "first-start" => first_start::run(&record, is_troubled),
        "foreign-outcome" => foreign_outcome::run(&record, is_troubled),
        _ => Err(format!("unknown case {case}")),
    };
    let (status, text) = match result {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "THE RULE WAS BROKEN".to_owned()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.line(format!("verdict: {text}"));
    println!("{case}: {text}");
    ExitCode::from(status)
}
