//! One of the three seeds is lost right after the first start. The other machines must still take
//! the operator's first configuration and serve requests.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::mesh::Mesh;
use crate::operator::{self, Route};
use crate::record::Record;

/// The machine that is lost: the third seed.
const LOST: usize = 2;
/// Time after which the other machines start.
const OTHERS_START_AFTER: Duration = Duration::from_millis(200);
/// Bounds `connectivity-window` and `ack`.
const CONNECTIVITY_WINDOW: Duration = Duration::from_millis(4_000);
const ACK: Duration = Duration::from_millis(4_000);
/// Time for which the order is sent again, far beyond the bound.
const TRIED_FOR: Duration = Duration::from_secs(30);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let routes = [Route { service: "seatdesk", kind: "safe", timeout_ms: 2_500 }];
    let services = ["seatdesk", "seatdesk", "bookbook", "bookbook"];
    let mut mesh = Mesh::new(record, &services);
    // All machines start within 0.3 s of each other, in any order.
    mesh.start(LOST);
    thread::sleep(OTHERS_START_AFTER);
    if has_trouble {
        mesh.kill(LOST);
    }
    for node in (0..mesh.nodes.len()).filter(|node| *node != LOST) {
        mesh.start(node);
    }
    if std::env::var("BACK").is_ok() { thread::sleep(Duration::from_millis(1500)); mesh.start(LOST); }
    // Three of the four machines of the core run, connected and undisturbed: the core is stable.
    thread::sleep(CONNECTIVITY_WINDOW);
    let stable_at = record.elapsed();
    let first = operator::configuration(5, &routes);
    let cores = [0, 1, 3];
    let status = operator::replace(record, &mesh, &cores, 0, &first, TRIED_FOR);
    let after = record.elapsed() - stable_at;
    record.say(format!("the order was answered {status:?} after {:.1} s", after.as_secs_f64()));
    match status {
        Some(200) if after <= ACK => Verdict::Held,
        Some(200) | None => Verdict::Broken,
        Some(_) => Verdict::CouldNotRun,
    }
}
