//! An endpoint leaves, its node acknowledges that and is killed at once. After the restart of the
//! node a heartbeat arrives that the endpoint had sent before. The endpoint must get no request.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::endpoint::{Behaviour, Endpoint};
use crate::http;
use crate::operator::Route;
use crate::record::Record;
use crate::setup::{self, Client};

/// Bound `drain`.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Bound `connectivity-window`.
const CONNECTIVITY_WINDOW: Duration = Duration::from_millis(4_000);
/// How late the heartbeat arrives.
const BEAT_DELAY: Duration = Duration::from_millis(5_500);
/// Time from the last heartbeat to the departure.
const BEAT_BEFORE: Duration = Duration::from_millis(300);
/// Time until the killed process is started again.
const DOWN: Duration = Duration::from_millis(500);
/// Time for which the endpoint serves on after its departure was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(9);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let routes = [
        Route { service: "seatdesk", kind: "safe", timeout_ms: 2_500 },
        Route { service: "bookbook", kind: "unsafe", timeout_ms: 3_000 },
    ];
    let services = ["seatdesk", "seatdesk", "bookbook", "bookbook"];
    let Some(mut mesh) = setup::start(record, &services, &routes) else {
        return Verdict::CouldNotRun;
    };
    let behaviour =
        Behaviour { work: Duration::from_millis(200), answer_bytes: 500, answers_early: false };
    let leaving_node = mesh.side(0);
    let leaving = Endpoint::start(record, &mesh, leaving_node, "seatdesk", behaviour);
    let staying = Endpoint::start(record, &mesh, mesh.side(1), "seatdesk", behaviour);
    leaving.beat_regularly();
    staying.beat_regularly();
    let clients: Vec<Client> = [2, 3]
        .map(|side| {
            let pause = Duration::from_millis(50);
            Client::start(record, &mesh, mesh.side(side), "seatdesk", 7, pause)
        })
        .into();
    let are_used = http::wait_until(Duration::from_secs(15), || {
        leaving.runs().len() > 20 && staying.runs().len() > 20
    });
    if !are_used {
        return Verdict::CouldNotRun;
    }
    // All machines are in touch from here on.
    thread::sleep(CONNECTIVITY_WINDOW + Duration::from_millis(500));

    leaving.stop_beating();
    thread::sleep(crate::mesh::HEARTBEAT);
    let late_beat = leaving.beat();
    record.note(format!("endpoint {} sends, and the network holds up: {late_beat}", leaving.id));
    let late = {
        let (leaving, record) = (leaving.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(BEAT_DELAY);
            let status = leaving.send_beat(&late_beat);
            record.note(format!("the heartbeat that was held up arrives; answered {status}"));
        })
    };
    thread::sleep(BEAT_BEFORE);
    let status = leaving.deregister();
    if has_trouble {
        mesh.kill(leaving_node);
    }
    let acknowledged_at = record.elapsed();
    record.note(format!("the departure of endpoint {} was answered {status}", leaving.id));
    if status != 200 {
        return Verdict::CouldNotRun;
    }
    if has_trouble {
        thread::sleep(DOWN);
        mesh.start(leaving_node);
    }
    // The node of the endpoint is in touch again after this.
    let judged_from = (record.elapsed() + CONNECTIVITY_WINDOW).max(acknowledged_at + DRAIN);
    thread::sleep((acknowledged_at + SERVES_ON).saturating_sub(record.elapsed()));
    late.join().expect("no panic");
    let served: u64 = clients.iter().map(|client| client.served.load(Ordering::SeqCst)).sum();
    let sent: HashMap<String, Duration> = clients.into_iter().flat_map(Client::stop).collect();
    let is_late = |id: &String| sent.get(id).is_some_and(|sent_at| *sent_at > judged_from);
    let runs = leaving.runs();
    let late_runs: Vec<_> = runs.iter().filter(|run| is_late(&run.request_id)).collect();
    let after_s = |at: Duration| (at - acknowledged_at).as_secs_f64();
    for run in &late_runs {
        let text = "after its departure was acknowledged";
        record.note(format!("{} ran {:.3} s {text}", run.request_id, after_s(run.at)));
    }
    record.say(format!(
        "{} requests, {served} served; {} ran at the endpoint that had left, later than drain, by \
         machines in touch",
        sent.len(),
        late_runs.len()
    ));
    if late_runs.is_empty() { Verdict::Held } else { Verdict::Broken }
}
