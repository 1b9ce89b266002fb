//! Three of five endpoints answer some requests with bodies that do not end until the caller closes.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, SEAT_HOST, SEAT_TIMEOUT};
use crate::deployment::Deployment;
use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::{CaseResult, Verdict, http};

/// Services of the endpoints, one a sidecar machine.
const SERVICES: [&str; 6] =
    ["seatdesk", "seatdesk", "seatdesk", "seatdesk", "seatdesk", "bookbook"];

/// Calm time before the disruption: `connectivity-window`, and some more.
const CALM: Duration = Duration::from_secs(5);

/// Time for which a client waits: `Deadline-Ms` of a seat lookup in the users' table.
const CLIENT_DEADLINE: Duration = Duration::from_millis(5_000);

/// Time past the timeout of its route within which a request must have its final answer.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Endpoints in trouble: three of five, a share of 0.6 as for `garble` in the site file.
const ENDPOINTS_IN_TROUBLE: usize = 3;

/// One answer in this many has no end: a share of 0.03 as for `garble` in the site file.
const ENDLESS_EVERY: u32 = 34;

/// Time for which the endpoints are in trouble: 5 s as for `garble` in the site file.
const TROUBLE: Duration = Duration::from_secs(5);

/// Requests that clients send, and the pause between two.
const REQUESTS: usize = 1_100;
const REQUEST_PAUSE: Duration = Duration::from_millis(5);

/// Late requests from which on the rule may be broken.
const MIN_LATE: usize = 8;

pub fn run(record: &Arc<Record>, is_troubled: bool) -> CaseResult {
    let deployment = Deployment::start(&SERVICES)?;
    let mut endpoints = Vec::new();
    for (machine, service) in deployment.sidecars.iter().zip(SERVICES) {
        let id = format!("i-{}", endpoints.len());
        endpoints.push(Endpoint::start(&id, service, machine, machine.control(), record)?);
    }
    config::send_first(&deployment, record)?;
    deployment.wait_ready(record)?;
    thread::sleep(CALM);

    if is_troubled {
        record.line("from now on i-0 to i-2 answer one request in 34 with a body without end");
        for endpoint in endpoints.iter().take(ENDPOINTS_IN_TROUBLE) {
            endpoint.set_endless_every(ENDLESS_EVERY);
        }
    }
    let sound_from = Instant::now() + TROUBLE;
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        if is_troubled && Instant::now() > sound_from {
            endpoints.iter().for_each(|endpoint| endpoint.set_endless_every(0));
        }
        let machine = &deployment.sidecars[number % deployment.sidecars.len()];
        let outbound = machine.outbound();
        clients.push(thread::spawn(move || look_up_seats(outbound, &format!("lookup-{number}"))));
        thread::sleep(REQUEST_PAUSE);
    }
    let mut ends = Vec::new();
    for client in clients {
        ends.push(client.join().map_err(|_| "a client panicked".to_owned())?);
    }
    for (number, end) in ends.iter().enumerate() {
        let End { after, bytes, how } = end;
        record
            .line(format!("lookup-{number}: {how} after {} ms, {bytes} bytes", after.as_millis()));
    }
    Ok(check(&ends, record))
}

/// CONFIG: of the requests that last longer than the timeout of their route, eight or more and
/// over a quarter have no final answer 0.5 s after it.
fn check(ends: &[End], record: &Record) -> Verdict {
    let lasting = ends.iter().filter(|end| end.after > SEAT_TIMEOUT).count();
    let late = ends.iter().filter(|end| end.after > SEAT_TIMEOUT + TIMEOUT_SLACK).count();
    record.line(format!(
        "of {} requests {lasting} lasted longer than the timeout of {} ms, {late} of them had no \
         final answer {} ms after it",
        ends.len(),
        SEAT_TIMEOUT.as_millis(),
        TIMEOUT_SLACK.as_millis()
    ));
    if late >= MIN_LATE && late * 4 > lasting { Verdict::Broken } else { Verdict::Held }
}

/// How a request ended for its client.
struct End {
    after: Duration,
    bytes: usize,
    how: &'static str,
}

/// Sends one request, and reads until the connection ends or the client's deadline.
fn look_up_seats(outbound: SocketAddr, request_id: &str) -> End {
    let began_at = Instant::now();
    let mut bytes = 0;
    let how = match read_answer(outbound, request_id, began_at + CLIENT_DEADLINE, &mut bytes) {
        Ok(how) => how,
        Err(_) => "the connection failed",
    };
    End { after: began_at.elapsed(), bytes, how }
}

fn read_answer(
    outbound: SocketAddr,
    request_id: &str,
    give_up_at: Instant,
    bytes: &mut usize,
) -> io::Result<&'static str> {
    let headers = [
        ("Host", SEAT_HOST),
        ("Request-Id", request_id),
        ("Deadline-Ms", "5000"),
        ("Connection", "close"),
    ];
    let mut stream = TcpStream::connect(outbound)?;
    stream.write_all(&http::request("GET /seats/7", &headers, ""))?;
    let mut buffer = [0; 16 * 1024];
    loop {
        let remaining = give_up_at.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Ok("the client gave up without the end of an answer");
        }
        stream.set_read_timeout(Some(remaining))?;
        match stream.read(&mut buffer) {
            Ok(0) => return Ok("the connection was closed after the answer"),
            Ok(length) => *bytes += length,
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
