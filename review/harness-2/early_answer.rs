//! An endpoint answers before it has read a long request body, keeps the connection and reads on
//! later. The client, whose connection is kept, must get the whole answer.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::endpoint::{Behaviour, Endpoint};
use crate::http;
use crate::operator::{HOST, Route};
use crate::record::Record;
use crate::setup;

/// Length of a request body.
const BODY_BYTES: usize = 32 * 1024 * 1024;
/// Length of an answer.
const ANSWER_BYTES: usize = 400 * 1024;
/// Requests that are sent.
const REQUESTS: usize = 20;
/// Closed connections without an answer that the rule LOST allows.
const ALLOWED_LOSSES: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let routes = [Route { service: "bookbook", kind: "unsafe", timeout_ms: 3_000 }];
    let services = ["seatdesk", "bookbook", "sheetyard", "bookbook"];
    let Some(mesh) = setup::start(record, &services, &routes) else {
        return Verdict::CouldNotRun;
    };
    let behaviour = Behaviour {
        work: Duration::from_millis(50),
        answer_bytes: ANSWER_BYTES,
        answers_early: has_trouble,
    };
    let endpoint = Endpoint::start(record, &mesh, mesh.side(1), "bookbook", behaviour);
    endpoint.beat_regularly();
    thread::sleep(Duration::from_millis(5_000));
    let outbound = mesh.outbound(mesh.side(0));
    let mut losses = 0;
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("long-{number:04}");
        match post(outbound, &id) {
            Ok(answer) => {
                served += usize::from(answer.status() == 200);
                let (status, bytes) = (answer.status(), answer.body.len());
                record.note(format!("{id} is answered {status} with {bytes} bytes"));
            }
            Err(error) => {
                let was_passed_on = endpoint.runs().iter().any(|run| run.request_id == id);
                losses += usize::from(was_passed_on);
                record.note(format!("{id} has no complete answer: {error}; ran: {was_passed_on}"));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.say(format!(
        "{REQUESTS} long requests, {served} served; {losses} were passed on and lost their answer"
    ));
    if served == 0 && losses == 0 {
        return Verdict::CouldNotRun;
    }
    if losses > ALLOWED_LOSSES { Verdict::Broken } else { Verdict::Held }
}

/// Sends a long request, and reads the answer meanwhile.
fn post(outbound: SocketAddr, id: &str) -> std::io::Result<http::Answer> {
    let stream = http::connect(outbound, Duration::from_secs(6))?;
    let mut writer = stream.try_clone()?;
    let length = BODY_BYTES.to_string();
    let head = format!(
        "POST /bookbook/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    let sending = thread::spawn(move || {
        let body = vec![b'b'; BODY_BYTES];
        // The answer is read even if the rest of the body cannot be sent.
        let _ = writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body));
    });
    let answer = http::read_answer(&mut BufReader::new(stream));
    sending.join().expect("no panic");
    answer
}
