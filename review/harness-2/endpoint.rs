//! Stand-in for an application endpoint, as the pages describe one.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::mesh::{HEARTBEAT, Mesh};
use crate::record::Record;

/// Requests that the endpoint runs concurrently, as it says.
const SLOTS: u32 = 12;

/// How an endpoint answers.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time that a request takes.
    pub work: Duration,
    /// Length of a response body.
    pub answer_bytes: usize,
}

/// Where an endpoint runs.
#[derive(Clone, Debug)]
pub struct Place {
    node: usize,
    address: SocketAddr,
    /// Where the node beside it takes its heartbeats.
    control: SocketAddr,
    zone: &'static str,
}

impl Place {
    /// The place beside a node.
    pub fn beside(mesh: &Mesh, node: usize) -> Self {
        let (address, control) = (mesh.app(node), mesh.control(node));
        Self { node, address, control, zone: mesh.zone(node) }
    }

    /// Address at which the endpoint accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub at: Duration,
}

/// One incarnation of an endpoint beside a node.
pub struct Endpoint {
    pub id: String,
    service: String,
    place: Place,
    born: u64,
    next_seq: AtomicU64,
    /// Whether it has begun to leave: its health check fails, and its answers say so.
    is_leaving: AtomicBool,
    is_beating: AtomicBool,
    /// How late the next heartbeat arrives, if the network holds it up. No further one is sent.
    held_up_for: Mutex<Option<Duration>>,
    /// The delivery of the heartbeat that is held up.
    held_up: Mutex<Option<JoinHandle<()>>>,
    /// It breaks off one answer in this number, in the middle of the body; 0 for none.
    breaks_off_one_in: AtomicU64,
    running: AtomicU32,
    behaviour: Behaviour,
    runs: Mutex<Vec<Run>>,
    answered: Mutex<Vec<String>>,
    broken_off: Mutex<Vec<String>>,
    record: Record,
}

impl Endpoint {
    /// Creates a new incarnation, which neither listens nor sends heartbeats yet.
    pub fn new(record: &Record, place: &Place, service: &str, behaviour: Behaviour) -> Arc<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        Arc::new(Self {
            id: format!("i-{:02}{:08x}", place.node, now.as_nanos() as u32),
            service: service.to_owned(),
            place: place.clone(),
            born: now.as_millis() as u64,
            next_seq: AtomicU64::new(1),
            is_leaving: AtomicBool::new(false),
            is_beating: AtomicBool::new(true),
            held_up_for: Mutex::default(),
            held_up: Mutex::default(),
            breaks_off_one_in: AtomicU64::new(0),
            running: AtomicU32::new(0),
            behaviour,
            runs: Mutex::default(),
            answered: Mutex::default(),
            broken_off: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Starts an endpoint that serves. It sends no heartbeat yet.
    pub fn start(
        record: &Record,
        mesh: &Mesh,
        node: usize,
        service: &str,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let place = Place::beside(mesh, node);
        let endpoint = Self::new(record, &place, service, behaviour);
        let listener = TcpListener::bind(place.address).expect("a free port");
        let server = Arc::clone(&endpoint);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                // A connection that fails is the caller's matter.
                thread::spawn(move || _ = server.serve(stream));
            }
        });
        endpoint
    }

    /// Sends a heartbeat at each interval until that is stopped.
    pub fn beat_regularly(self: &Arc<Self>) {
        let endpoint = Arc::clone(self);
        thread::spawn(move || {
            while endpoint.is_beating.load(Ordering::SeqCst) {
                if let Some(delay) = *endpoint.held_up_for.lock().expect("no panic") {
                    return endpoint.send_late(delay);
                }
                let status = endpoint.send_beat(&endpoint.beat());
                endpoint.record.note(format!("heartbeat of {}: {status}", endpoint.id));
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Lets the network hold up the next heartbeat, the last one.
    pub fn hold_up_next_beat(&self, delay: Duration) {
        *self.held_up_for.lock().expect("no panic") = Some(delay);
    }

    /// Waits until the heartbeat that is held up was sent. Returns its delivery.
    pub fn held_up_beat(&self) -> Option<JoinHandle<()>> {
        let is_sent = || self.held_up.lock().expect("no panic").is_some();
        http::wait_until(2 * HEARTBEAT, is_sent);
        self.held_up.lock().expect("no panic").take()
    }

    fn send_late(self: &Arc<Self>, delay: Duration) {
        let beat = self.beat();
        self.record.note(format!("endpoint {} sends, and the network holds up: {beat}", self.id));
        let endpoint = Arc::clone(self);
        let delivery = thread::spawn(move || {
            thread::sleep(delay);
            let status = endpoint.send_beat(&beat);
            endpoint.record.note(format!("the heartbeat that was held up arrives: {status}"));
        });
        *self.held_up.lock().expect("no panic") = Some(delivery);
    }

    /// Lets it break off one answer in this number from now on; 0 for none.
    pub fn break_off_one_in(&self, number: u64) {
        self.breaks_off_one_in.store(number, Ordering::SeqCst);
    }

    /// Ends the regular heartbeats.
    pub fn stop_beating(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
    }

    /// The next heartbeat.
    pub fn beat(&self) -> String {
        let seq = self.next_seq.fetch_add(1, Ordering::SeqCst);
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let Self { service, born, place: Place { address, zone, .. }, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"{state}\",\"cold-left\":\"0ms\",\
             \"seq\":{seq},\"born\":{born}}}"
        )
    }

    /// Sends a heartbeat to the node. Returns the status, or 0 without a response.
    pub fn send_beat(&self, beat: &str) -> u16 {
        self.call("instances.heartbeat", beat)
    }

    /// Begins to leave without a state `draining` before, and says so. Returns the status.
    pub fn deregister(&self) -> u16 {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.call("instances.deregister", "{}")
    }

    fn call(&self, call: &str, body: &str) -> u16 {
        let line = format!("POST /api/rpc?call={call}&of={}", self.id);
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        let timeout = Duration::from_secs(1);
        let answer = http::send(self.place.control, &line, &headers, body.as_bytes(), timeout);
        answer.map_or(0, |answer| answer.status())
    }

    /// What it has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    /// The requests to which it wrote a complete answer.
    pub fn answered(&self) -> Vec<String> {
        self.answered.lock().expect("no panic").clone()
    }

    /// The requests whose answer it broke off.
    pub fn broken_off(&self) -> Vec<String> {
        self.broken_off.lock().expect("no panic").clone()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head, false)?;
            let mut words = head.first_line.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let request_id = head.get("request-id").unwrap_or("-");
            let expected = head.get("expect-instance");
            if path == "/health" {
                self.answer_health(&mut writer)?;
            } else if expected.is_some_and(|expected| expected != self.id) {
                self.record.note(format!("endpoint {} answers 421 to {request_id}", self.id));
                let headers = format!("Request-Id: {request_id}\r\nNot-Executed: 1\r\n");
                write_answer(&mut writer, "421 Misdirected Request", &headers, 0)?;
            } else {
                self.record
                    .note(format!("endpoint {} runs {request_id}: {method} {path}", self.id));
                self.running.fetch_add(1, Ordering::SeqCst);
                let outcome = self.run(&mut writer, request_id);
                self.running.fetch_sub(1, Ordering::SeqCst);
                outcome?;
            }
        }
        Ok(())
    }

    fn run(&self, writer: &mut TcpStream, request_id: &str) -> std::io::Result<()> {
        let run = Run { request_id: request_id.to_owned(), at: self.record.elapsed() };
        let number = {
            let mut runs = self.runs.lock().expect("no panic");
            runs.push(run);
            runs.len() as u64
        };
        thread::sleep(self.behaviour.work);
        let mut headers =
            format!("Request-Id: {request_id}\r\nServer-Stamp: {}.{request_id}\r\n", self.id);
        headers.push_str(&self.load());
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push_str("Server-Leaving: 1\r\n");
        }
        let length = self.behaviour.answer_bytes;
        let one_in = self.breaks_off_one_in.load(Ordering::SeqCst);
        if one_in > 0 && number.is_multiple_of(one_in) {
            self.record.note(format!("endpoint {} breaks off its answer to {request_id}", self.id));
            self.broken_off.lock().expect("no panic").push(request_id.to_owned());
            let head = format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {length}\r\n\r\n");
            writer.write_all(head.as_bytes())?;
            writer.write_all(&vec![b'x'; length / 2])?;
            return writer.shutdown(Shutdown::Both);
        }
        write_answer(writer, "200 OK", &headers, length)?;
        self.answered.lock().expect("no panic").push(request_id.to_owned());
        Ok(())
    }

    fn load(&self) -> String {
        format!("Server-Load: {},0,{SLOTS}\r\n", self.running.load(Ordering::SeqCst))
    }

    fn answer_health(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        let headers = format!("Instance-Id: {}\r\n{}", self.id, self.load());
        if self.is_leaving.load(Ordering::SeqCst) {
            let headers = format!("{headers}Server-Leaving: 1\r\n");
            return write_answer(writer, "503 Service Unavailable", &headers, 0);
        }
        write_answer(writer, "200 OK", &headers, 0)
    }
}

/// Writes an answer with a body of this length.
pub fn write_answer(
    writer: &mut TcpStream,
    status: &str,
    headers: &str,
    length: usize,
) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    writer.write_all(head.as_bytes())?;
    writer.write_all(&vec![b'x'; length])
}
