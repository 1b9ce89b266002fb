//! What the two cases of the rule DRAIN share: a deployment with an endpoint that leaves and one
//! that stays, clients beside machines that nothing happens to, and the judgement.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::Verdict;
use crate::endpoint::{Behaviour, Endpoint};
use crate::http;
use crate::mesh::Mesh;
use crate::operator::Route;
use crate::record::Record;
use crate::setup::{self, Client};

/// Bound `drain`.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Bound `connectivity-window`.
pub const CONNECTIVITY_WINDOW: Duration = Duration::from_millis(4_000);
/// Time for which the endpoint serves on after its departure was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(9);
/// Clients beside each of two machines, and their pause between two requests.
const CLIENTS: usize = 9;
const CLIENT_PAUSE: Duration = Duration::from_millis(50);

/// A deployment with one endpoint that is about to leave.
pub struct Scene {
    pub mesh: Mesh,
    /// The endpoint that leaves, and the machine beside which it runs.
    pub leaving: Arc<Endpoint>,
    pub leaving_node: usize,
    clients: Vec<Client>,
}

impl Scene {
    /// Starts the deployment, and waits until both endpoints are in use and all machines in touch.
    pub fn start(record: &Record) -> Option<Self> {
        let routes = [
            Route { service: "seatdesk", kind: "safe", timeout_ms: 2_500 },
            Route { service: "bookbook", kind: "unsafe", timeout_ms: 3_000 },
        ];
        let services = ["seatdesk", "seatdesk", "bookbook", "bookbook"];
        let mesh = setup::start(record, &services, &routes)?;
        let work = Duration::from_millis(200);
        let behaviour = Behaviour { work, answer_bytes: 500 };
        let leaving_node = mesh.side(0);
        let leaving = Endpoint::start(record, &mesh, leaving_node, "seatdesk", behaviour);
        let staying = Endpoint::start(record, &mesh, mesh.side(1), "seatdesk", behaviour);
        leaving.beat_regularly();
        staying.beat_regularly();
        let client_at = |side: usize| {
            Client::start(record, &mesh, mesh.side(side), "seatdesk", CLIENTS, CLIENT_PAUSE)
        };
        let clients = [2, 3].map(client_at).into();
        let are_used = http::wait_until(Duration::from_secs(15), || {
            leaving.runs().len() > 20 && staying.runs().len() > 20
        });
        if !are_used {
            return None;
        }
        thread::sleep(CONNECTIVITY_WINDOW + Duration::from_millis(500));
        Some(Self { mesh, leaving, leaving_node, clients })
    }

    /// Waits until the endpoint ends, and judges what it has run. Its node is in touch from
    /// `in_touch_at` on, and the machines of the clients are all the while.
    pub fn judge(
        self,
        record: &Record,
        held_up: JoinHandle<()>,
        acknowledged_at: Duration,
        in_touch_at: Duration,
    ) -> Verdict {
        let judged_from = in_touch_at.max(acknowledged_at + DRAIN);
        thread::sleep((acknowledged_at + SERVES_ON).saturating_sub(record.elapsed()));
        held_up.join().expect("no panic");
        let served: u64 =
            self.clients.iter().map(|client| client.served.load(Ordering::SeqCst)).sum();
        let sent: HashMap<String, Duration> =
            self.clients.into_iter().flat_map(Client::stop).collect();
        let is_late = |id: &String| sent.get(id).is_some_and(|sent_at| *sent_at > judged_from);
        let runs = self.leaving.runs();
        let late_runs: Vec<_> = runs.iter().filter(|run| is_late(&run.request_id)).collect();
        for run in &late_runs {
            let after_s = (run.at - acknowledged_at).as_secs_f64();
            let id = &run.request_id;
            record.note(format!("{id} ran {after_s:.3} s after the acknowledgement"));
        }
        record.say(format!(
            "{} requests, {served} served; {} ran at the endpoint that had left, later than drain, \
             by machines in touch",
            sent.len(),
            late_runs.len()
        ));
        if late_runs.is_empty() { Verdict::Held } else { Verdict::Broken }
    }
}
