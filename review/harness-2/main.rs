//! The scripts of the second review. Usage: `cases NAME FOLDER`, in the repository's root.
//!
//! Exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
//! could not run. With `TROUBLE=0` the disruption is left out.

mod deadly_answer;
mod drain;
mod drain_after_kill;
mod drain_after_restart;
mod endpoint;
mod http;
mod mesh;
mod operator;
mod pipelined_lost;
mod record;
mod seed_lost;
mod setup;

use std::process::exit;
use std::time::Duration;

use record::Record;

/// Time after which the test gives up and ends its processes.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = mesh::case_folder(args.next());
    let record = Record::create(&folder).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        mesh::kill_all();
        eprintln!("the time limit passed");
        exit(2);
    });
    let run = std::panic::catch_unwind(|| match case.as_str() {
        "drain-after-kill" => drain_after_kill::run(&record, has_trouble),
        "drain-after-restart" => drain_after_restart::run(&record, has_trouble),
        "pipelined-lost" => pipelined_lost::run(&record, has_trouble),
        "seed-lost" => seed_lost::run(&record, has_trouble),
        "deadly-answer" => deadly_answer::run(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    });
    // The deployment of the case has ended with it; this is for what a panic left.
    mesh::kill_all();
    let (code, text) = match run {
        Ok(Verdict::Held) => (0, "the rule held"),
        Ok(Verdict::Broken) => (1, "the rule was broken"),
        Ok(Verdict::CouldNotRun) | Err(_) => (2, "the case could not run"),
    };
    record.say(format!("{case}, TROUBLE={}: {text}", u8::from(has_trouble)));
    exit(code);
}
