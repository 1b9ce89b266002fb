//! Steps that the cases share: a running deployment, and clients that send requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http;
use crate::mesh::Mesh;
use crate::operator::{self, HOST, Route};
use crate::record::Record;

/// Longest time that a deployment takes to serve its first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a deployment and sends its first configuration. `None` if that is not acknowledged.
pub fn start(record: &Record, services: &[&str], routes: &[Route]) -> Option<Mesh> {
    let mut mesh = Mesh::new(record, services);
    mesh.start_all();
    let first = operator::configuration(5, routes);
    let cores = [0, 1, 2, 3];
    let status = operator::replace(record, &mesh, &cores, 0, &first, START_TIMEOUT);
    if status != Some(200) {
        record.say(format!("the first configuration was not acknowledged: {status:?}"));
        return None;
    }
    let are_ready =
        http::wait_until(START_TIMEOUT, || (4..mesh.spare()).all(|side| mesh.is_ready(side)));
    are_ready.then_some(mesh)
}

/// A client that sends one GET after the other, each on a connection of its own.
pub struct Client {
    /// When each request was sent, by its id.
    pub sent: Arc<Mutex<HashMap<String, Duration>>>,
    pub served: Arc<AtomicU64>,
    is_running: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Client {
    /// Starts `count` clients beside a node, each of which pauses between its requests.
    pub fn start(
        record: &Record,
        mesh: &Mesh,
        node: usize,
        service: &str,
        count: usize,
        pause: Duration,
    ) -> Self {
        let sent: Arc<Mutex<HashMap<String, Duration>>> = Arc::default();
        let served = Arc::new(AtomicU64::new(0));
        let is_running = Arc::new(AtomicBool::new(true));
        let outbound = mesh.outbound(node);
        let threads = (0..count).map(|client| {
            let (sent, served) = (Arc::clone(&sent), Arc::clone(&served));
            let (is_running, record) = (Arc::clone(&is_running), record.clone());
            let line = format!("GET /{service}/{client}");
            thread::spawn(move || {
                let mut number = 0;
                while is_running.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{node:02}-{client:02}-{number:06}");
                    sent.lock().expect("no panic").insert(id.clone(), record.elapsed());
                    let headers =
                        [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "2000")];
                    let timeout = Duration::from_secs(3);
                    let answer = http::send(outbound, &line, &headers, &[], timeout);
                    match answer {
                        Ok(answer) => {
                            served.fetch_add(u64::from(answer.status() == 200), Ordering::SeqCst);
                            let stamp = answer.head.get("server-stamp").unwrap_or("-").to_owned();
                            let status = answer.status();
                            record.note(format!("{id} is answered {status}, stamp {stamp}"));
                        }
                        Err(error) => record.note(format!("{id} has no answer: {error}")),
                    }
                    thread::sleep(pause);
                }
            })
        });
        let threads = threads.collect();
        Self { sent, served, is_running, threads }
    }

    /// Ends the clients after their last answers.
    pub fn stop(self) -> HashMap<String, Duration> {
        self.is_running.store(false, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().expect("no panic"));
        self.sent.lock().expect("no panic").clone()
    }
}
