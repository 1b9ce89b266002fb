//! One of the three seeds is gone for good right after the first start, and an empty machine takes
//! its place at another address. The system must take the operator's first configuration.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::mesh::Mesh;
use crate::operator::{self, HOST, Route};
use crate::record::Record;

/// The machine that is lost: the third seed.
const LOST: usize = 2;
/// Time after which the other machines start.
const OTHERS_START_AFTER: Duration = Duration::from_millis(200);
/// Time from the loss to the start of the machine that takes its place.
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// Bounds `connectivity-window` and `ack`, with 3 ms for the one route.
const CONNECTIVITY_WINDOW: Duration = Duration::from_millis(4_000);
const ACK: Duration = Duration::from_millis(4_003);
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
    for node in (0..mesh.spare()).filter(|node| *node != LOST) {
        mesh.start(node);
    }
    if has_trouble {
        thread::sleep(REPLACED_AFTER);
        let spare = mesh.spare();
        mesh.start(spare);
    }
    // Three or four machines of the core run, connected and undisturbed: the core is stable.
    thread::sleep(CONNECTIVITY_WINDOW);
    let stable_at = record.elapsed();
    let first = operator::configuration(5, &routes);
    let third = if has_trouble { mesh.spare() } else { LOST };
    let cores = [0, 1, third, 3];
    let status = operator::replace(record, &mesh, &cores, 0, &first, TRIED_FOR);
    let after = record.elapsed() - stable_at;
    let answers: Vec<String> = (0..4)
        .map(|number| {
            let headers = [("Host", HOST), ("Request-Id", "after-0001"), ("Deadline-Ms", "2500")];
            let outbound = mesh.outbound(mesh.side(number));
            let answer =
                http::send(outbound, "GET /seatdesk/x", &headers, &[], Duration::from_secs(4));
            answer.map_or("no answer".to_owned(), |answer| answer.status().to_string())
        })
        .collect();
    record.note(format!("requests at the four sidecars are answered {}", answers.join(", ")));
    record.say(format!("the order was answered {status:?} after {:.1} s", after.as_secs_f64()));
    match status {
        Some(200) if after <= ACK => Verdict::Held,
        Some(200) | None => Verdict::Broken,
        Some(_) => Verdict::CouldNotRun,
    }
}
