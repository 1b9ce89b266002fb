//! A client sends several safe requests before the first answer, and reads the answers at a steady
//! rate. Now and then an endpoint breaks off an answer. The complete answers before that one on the
//! same connection must reach the client.

use std::collections::HashSet;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::endpoint::{Behaviour, Endpoint};
use crate::http;
use crate::operator::{HOST, Route};
use crate::record::Record;
use crate::setup;

/// One of three endpoints breaks off one answer in this number.
const BROKEN_OFF_ONE_IN: u64 = 50;
/// Length of an answer.
const ANSWER_BYTES: usize = 200 * 1024;
/// Requests that are sent together.
const BATCH: usize = 4;
/// How many clients send, and for how long.
const CLIENTS: usize = 8;
const SENDS_FOR: Duration = Duration::from_secs(15);
/// Bytes of one read of a client, and the pause after it: some 60 Mbit/s.
const READ_BYTES: usize = 16 * 1024;
const READ_PAUSE: Duration = Duration::from_millis(2);
/// Connections closed without an answer that the rule LOST allows.
const ALLOWED_LOSSES: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let routes = [Route { service: "seatdesk", kind: "safe", timeout_ms: 5_000 }];
    let services = ["seatdesk", "seatdesk", "seatdesk", "bookbook", "bookbook"];
    let Some(mesh) = setup::start(record, &services, &routes) else {
        return Verdict::CouldNotRun;
    };
    let behaviour = Behaviour {
        work: Duration::from_millis(20),
        answer_bytes: ANSWER_BYTES,
        breaks_off_one_in: None,
    };
    let troubled =
        Behaviour { breaks_off_one_in: has_trouble.then_some(BROKEN_OFF_ONE_IN), ..behaviour };
    let endpoints = [
        Endpoint::start(record, &mesh, mesh.side(0), "seatdesk", behaviour),
        Endpoint::start(record, &mesh, mesh.side(2), "seatdesk", behaviour),
        Endpoint::start(record, &mesh, mesh.side(1), "seatdesk", troubled),
    ];
    endpoints.iter().for_each(Endpoint::beat_regularly);
    thread::sleep(Duration::from_secs(5));
    let failed: FailedBatches = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let outbound = mesh.outbound(mesh.side(3 + client % 2));
            let (record, failed) = (record.clone(), Arc::clone(&failed));
            thread::spawn(move || send_batches(&record, outbound, client, &failed))
        })
        .collect();
    let sent: usize = clients.into_iter().map(|client| client.join().expect("no panic")).sum();
    let all_of = |ids: fn(&Endpoint) -> Vec<String>| -> HashSet<String> {
        endpoints.iter().flat_map(|endpoint| ids(endpoint)).collect()
    };
    let (broken_off, answered) = (all_of(Endpoint::broken_off), all_of(Endpoint::answered));
    let mut lost = Vec::new();
    for batch in failed.lock().expect("no panic").iter() {
        // What was sent behind an answer that was broken off is not counted.
        let before = batch.iter().take_while(|id| !broken_off.contains(*id));
        if batch.iter().any(|id| broken_off.contains(id)) {
            lost.extend(before.filter(|id| answered.contains(*id)).cloned());
        }
    }
    for id in &lost {
        record.note(format!("{id} was answered in full by its endpoint, and the answer was lost"));
    }
    record.say(format!(
        "{sent} requests; an endpoint broke off {} answers; {} complete answers of sound endpoints \
         before these were lost",
        broken_off.len(),
        lost.len()
    ));
    if lost.len() > ALLOWED_LOSSES { Verdict::Broken } else { Verdict::Held }
}

/// For each batch without all answers: the requests from the first without one on.
type FailedBatches = Arc<Mutex<Vec<Vec<String>>>>;

/// Sends one batch after the other. Returns the number of requests.
fn send_batches(
    record: &Record,
    outbound: SocketAddr,
    client: usize,
    failed: &Mutex<Vec<Vec<String>>>,
) -> usize {
    let until = Instant::now() + SENDS_FOR;
    let mut sent = 0;
    while Instant::now() < until {
        let Ok(stream) = http::connect(outbound, Duration::from_secs(6)) else { continue };
        let Ok(mut writer) = stream.try_clone() else { continue };
        let mut reader = BufReader::with_capacity(READ_BYTES, SteadyReader(stream));
        let mut is_open = true;
        while is_open && Instant::now() < until {
            let ids: Vec<String> =
                (0..BATCH).map(|i| format!("c{client:02}-{:06}", sent + i)).collect();
            sent += BATCH;
            let text: String = ids.iter().map(|id| request(client, id)).collect();
            is_open = writer.write_all(text.as_bytes()).is_ok();
            for (number, id) in ids.iter().enumerate() {
                let answer = match is_open {
                    true => http::read_answer(&mut reader),
                    false => Err(std::io::ErrorKind::NotConnected.into()),
                };
                if let Err(error) = answer {
                    is_open = false;
                    record.note(format!("{id} has no complete answer: {error}"));
                    failed.lock().expect("no panic").push(ids[number..].to_vec());
                    break;
                }
            }
        }
    }
    sent
}

fn request(client: usize, id: &str) -> String {
    format!(
        "GET /seatdesk/{client}/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 5000\r\n\r\n"
    )
}

/// Reads at a steady rate, as over a link of limited bandwidth.
struct SteadyReader(TcpStream);

impl Read for SteadyReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(READ_PAUSE);
        let length = buffer.len().min(READ_BYTES);
        self.0.read(&mut buffer[..length])
    }
}
