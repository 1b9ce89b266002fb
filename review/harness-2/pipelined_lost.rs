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
const BATCH: usize = 8;
/// When the trouble begins, and how long it lasts: `for_s` of `garble` in the site file.
const TROUBLE_AFTER: Duration = Duration::from_secs(5);
const TROUBLE_FOR: Duration = Duration::from_millis(5_500);
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
    // The first and the last of these machines are in one zone.
    let services = ["seatdesk", "seatdesk", "bookbook", "bookbook", "seatdesk"];
    let Some(mesh) = setup::start(record, &services, &routes) else {
        return Verdict::CouldNotRun;
    };
    let work = Duration::from_millis(20);
    let behaviour = Behaviour { work, answer_bytes: ANSWER_BYTES };
    let endpoint_at =
        |side: usize| Endpoint::start(record, &mesh, mesh.side(side), "seatdesk", behaviour);
    let sound = [endpoint_at(0), endpoint_at(1)];
    let troubled = endpoint_at(4);
    sound.iter().chain([&troubled]).for_each(Endpoint::beat_regularly);
    thread::sleep(Duration::from_secs(5));
    let failed: FailedBatches = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let outbound = mesh.outbound(mesh.side(client % 2 * 4));
            let (record, failed) = (record.clone(), Arc::clone(&failed));
            thread::spawn(move || send_batches(&record, outbound, client, &failed))
        })
        .collect();
    thread::sleep(TROUBLE_AFTER);
    if has_trouble {
        troubled.break_off_one_in(BROKEN_OFF_ONE_IN);
        thread::sleep(TROUBLE_FOR);
        troubled.break_off_one_in(0);
    }
    let sent: usize = clients.into_iter().map(|client| client.join().expect("no panic")).sum();
    let broken_off: HashSet<String> = troubled.broken_off().into_iter().collect();
    // Only what the other two endpoints answered counts.
    let answered: HashSet<String> = sound.iter().flat_map(|endpoint| endpoint.answered()).collect();
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
