//! A request crashes each endpoint that runs it, after the endpoint has sent the start of its
//! answer. It comes again and again. After three crashes it must be kept from the endpoints.

use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::endpoint::{Behaviour, Endpoint, Place, write_answer};
use crate::http;
use crate::operator::{HOST, Route};
use crate::record::Record;
use crate::setup::{self, Client};

/// Bound `connectivity-window`.
const CONNECTIVITY_WINDOW: Duration = Duration::from_millis(4_000);
/// Crashes after which the request must be kept from the endpoints.
const CRASHES: usize = 3;
/// Retries that the rule BUDGET allows later.
const ALLOWED_RETRIES: usize = 3;
/// Time until a crashed endpoint is back.
const BACK_AFTER: Duration = Duration::from_secs(3);
/// Interval at which the request comes again.
const COMES_AGAIN_AFTER: Duration = Duration::from_millis(1_000);
/// How often it comes.
const TIMES: usize = 30;
/// Length of an answer, and how much of it is sent before the crash.
const ANSWER_BYTES: usize = 90_000;
const SENT_BYTES: usize = 20_000;
/// Path of the request that crashes endpoints.
const DEADLY_PATH: &str = "/sheetyard/deadly";

/// What the endpoints saw of the deadly request: its id, and when it crashed one.
type Crashes = Arc<Mutex<Vec<(String, Duration)>>>;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let routes = [Route { service: "sheetyard", kind: "download", timeout_ms: 2_500 }];
    let services = ["sheetyard", "sheetyard", "sheetyard", "seatdesk", "seatdesk", "seatdesk"];
    let Some(mesh) = setup::start(record, &services, &routes) else {
        return Verdict::CouldNotRun;
    };
    let crashes = Crashes::default();
    for number in 0..3 {
        let place = Place::beside(&mesh, mesh.side(number));
        run_endpoint(record, place, &crashes, has_trouble);
    }
    thread::sleep(CONNECTIVITY_WINDOW + Duration::from_secs(1));
    let pause = Duration::from_millis(100);
    let others = Client::start(record, &mesh, mesh.side(3), "sheetyard", 3, pause);
    for number in 0..TIMES {
        let node = mesh.side(3 + number % 3);
        let id = format!("deadly-{number:03}");
        let headers = [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "2500")];
        let timeout = Duration::from_secs(4);
        let line = format!("GET {DEADLY_PATH}");
        let text = match http::send(mesh.outbound(node), &line, &headers, &[], timeout) {
            Ok(answer) => format!("is answered {}", answer.status()),
            Err(error) => format!("has no complete answer: {error}"),
        };
        record.note(format!("{id} {text}"));
        thread::sleep(COMES_AGAIN_AFTER);
    }
    let served = others.served.load(Ordering::SeqCst);
    let sent = others.stop().len();
    let crashes = crashes.lock().expect("no panic");
    let judged_from = crashes.get(CRASHES - 1).map(|(_, at)| *at + CONNECTIVITY_WINDOW);
    let late = crashes.iter().filter(|(_, at)| judged_from.is_some_and(|from| *at > from));
    let mut retries: Vec<&String> = late.map(|(id, _)| id).collect();
    retries.dedup();
    record.say(format!("{sent} other requests to the same endpoints, {served} served"));
    record.say(format!(
        "the request came {TIMES} times and crashed an endpoint {} times; {} retries reached an \
         endpoint later than the window after the third crash",
        crashes.len(),
        retries.len()
    ));
    if retries.len() > ALLOWED_RETRIES { Verdict::Broken } else { Verdict::Held }
}

/// Runs an endpoint that is back, as a new incarnation, some time after each crash.
fn run_endpoint(record: &Record, place: Place, crashes: &Crashes, is_deadly: bool) {
    let (record, crashes) = (record.clone(), Arc::clone(crashes));
    thread::spawn(move || {
        loop {
            let behaviour = Behaviour { work: Duration::ZERO, answer_bytes: 0 };
            let endpoint = Endpoint::new(&record, &place, "sheetyard", behaviour);
            let incarnation = Arc::new(Incarnation {
                id: endpoint.id.clone(),
                is_deadly,
                has_crashed: AtomicBool::new(false),
                record: record.clone(),
                crashes: Arc::clone(&crashes),
            });
            let listener = TcpListener::bind(place.address()).expect("a free port");
            endpoint.beat_regularly();
            incarnation.serve_until_crash(listener);
            endpoint.stop_beating();
            thread::sleep(BACK_AFTER);
        }
    });
}

/// One incarnation of an endpoint.
struct Incarnation {
    id: String,
    is_deadly: bool,
    has_crashed: AtomicBool,
    record: Record,
    crashes: Crashes,
}

impl Incarnation {
    /// Serves until a request crashes it, which closes its listener and all its connections.
    fn serve_until_crash(self: &Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        let mut connections = Vec::new();
        while !self.has_crashed.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("a stream");
            connections.push(stream.try_clone().expect("a stream"));
            let server = Arc::clone(self);
            // A connection that fails is the caller's matter.
            thread::spawn(move || _ = server.serve(stream));
        }
        drop(listener);
        for stream in connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head, false)?;
            let path = head.first_line.split(' ').nth(1).unwrap_or("");
            let id = head.get("request-id").unwrap_or("-").to_owned();
            if path == "/health" {
                let headers = format!("Instance-Id: {}\r\nServer-Load: 0,0,12\r\n", self.id);
                write_answer(&mut writer, "200 OK", &headers, 0)?;
            } else if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
                let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
                write_answer(&mut writer, "421 Misdirected Request", &headers, 0)?;
            } else {
                self.record.note(format!("endpoint {} runs {id}: {path}", self.id));
                let headers = format!(
                    "Request-Id: {id}\r\nServer-Stamp: {}.{id}\r\nServer-Load: 1,0,12\r\n",
                    self.id
                );
                if self.is_deadly && path == DEADLY_PATH {
                    return self.crash(&mut writer, &headers, id);
                }
                write_answer(&mut writer, "200 OK", &headers, ANSWER_BYTES)?;
            }
        }
        Ok(())
    }

    /// Sends the start of an answer and crashes.
    fn crash(
        &self,
        writer: &mut TcpStream,
        headers: &str,
        request_id: String,
    ) -> std::io::Result<()> {
        let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {ANSWER_BYTES}\r\n\r\n");
        if std::env::var_os("CRASH_BEFORE_HEAD").is_none() {
            writer.write_all(head.as_bytes())?;
            writer.write_all(&[b'x'; SENT_BYTES])?;
        }
        self.record.note(format!("endpoint {} crashes in its run of {request_id}", self.id));
        self.crashes.lock().expect("no panic").push((request_id, self.record.elapsed()));
        self.has_crashed.store(true, Ordering::SeqCst);
        Ok(())
    }
}
