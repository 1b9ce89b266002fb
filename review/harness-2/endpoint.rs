//! Stand-in for an application endpoint, as the pages describe a sound one.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::mesh::{HEARTBEAT, Mesh};
use crate::record::Record;

/// Requests that the endpoint runs concurrently, as it says.
const SLOTS: u32 = 12;

/// Time after an early answer after which the rest of the request body is read.
const READS_ON_AFTER: Duration = Duration::from_millis(1500);

/// How an endpoint answers.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Time that a request takes.
    pub work: Duration,
    /// Length of a response body.
    pub answer_bytes: usize,
    /// Whether it answers before it has read a request body, and reads on later.
    pub answers_early: bool,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub at: Duration,
    pub body_bytes: usize,
}

/// An endpoint beside one node.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    address: SocketAddr,
    control: SocketAddr,
    zone: String,
    born: u64,
    next_seq: AtomicU64,
    /// Whether it has begun to leave: its health check fails, and its answers say so.
    is_leaving: AtomicBool,
    is_beating: AtomicBool,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint beside a node. It sends no heartbeat yet.
    pub fn start(
        record: &Record,
        mesh: &Mesh,
        node: usize,
        service: &str,
        behaviour: Behaviour,
    ) -> Arc<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let address = mesh.app(node);
        let endpoint = Arc::new(Self {
            id: format!("i-{node:02}{:08x}", now.as_nanos() as u32),
            service: service.to_owned(),
            address,
            control: mesh.control(node),
            zone: mesh.zone(node).to_owned(),
            born: now.as_millis() as u64,
            next_seq: AtomicU64::new(1),
            is_leaving: AtomicBool::new(false),
            is_beating: AtomicBool::new(true),
            behaviour: Mutex::new(behaviour),
            runs: Mutex::default(),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address).expect("a free port");
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

    /// Sends a heartbeat at each interval until the endpoint leaves.
    pub fn beat_regularly(self: &Arc<Self>) {
        let endpoint = Arc::clone(self);
        thread::spawn(move || {
            while endpoint.is_beating.load(Ordering::SeqCst) {
                endpoint.send_beat(&endpoint.beat());
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the regular heartbeats.
    pub fn stop_beating(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
    }

    /// The next heartbeat.
    pub fn beat(&self) -> String {
        let seq = self.next_seq.fetch_add(1, Ordering::SeqCst);
        let state = if self.is_leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let Self { service, address, zone, born, .. } = self;
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

    /// Begins to leave and says so without a state `draining` before. Returns the status.
    pub fn deregister(&self) -> u16 {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.call("instances.deregister", "{}")
    }

    fn call(&self, call: &str, body: &str) -> u16 {
        let line = format!("POST /api/rpc?call={call}&of={}", self.id);
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        let timeout = Duration::from_secs(1);
        let answer = http::send(self.control, &line, &headers, body.as_bytes(), timeout);
        answer.map_or(0, |answer| answer.status())
    }

    /// What it has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let mut words = head.first_line.split(' ');
            let (method, path) = (words.next().unwrap_or(""), words.nth(0).unwrap_or(""));
            if path == "/health" {
                self.answer_health(&mut writer)?;
                continue;
            }
            let line = format!("{method} {path}");
            let id = head.get("request-id").unwrap_or("-").to_owned();
            let expected = head.get("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                http::read_body(&mut reader, &head, false)?;
                self.record.note(format!("endpoint {} answers 421 to {id}", self.id));
                let headers = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
                self.write(&mut writer, "421 Misdirected Request", &headers, &[])?;
                continue;
            }
            self.run(&mut reader, &mut writer, &head, &line, &id)?;
        }
        Ok(())
    }

    fn run(
        &self,
        reader: &mut BufReader<TcpStream>,
        writer: &mut TcpStream,
        head: &Head,
        line: &str,
        id: &str,
    ) -> std::io::Result<()> {
        let behaviour = *self.behaviour.lock().expect("no panic");
        let mut body_bytes = 0;
        if !behaviour.answers_early {
            body_bytes = http::read_body(reader, head, false)?.len();
        }
        self.record.note(format!("endpoint {} runs {id}: {line}", self.id));
        let run = Run { request_id: id.to_owned(), at: self.record.elapsed(), body_bytes };
        self.runs.lock().expect("no panic").push(run);
        thread::sleep(behaviour.work);
        let mut headers = format!("Request-Id: {id}\r\nServer-Stamp: {}.{id}\r\n", self.id);
        headers.push_str(&format!("Server-Load: 1,0,{SLOTS}\r\n"));
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push_str("Server-Leaving: 1\r\n");
        }
        self.write(writer, "200 OK", &headers, &vec![b'x'; behaviour.answer_bytes])?;
        if behaviour.answers_early {
            thread::sleep(READS_ON_AFTER);
            let rest = http::read_body(reader, head, false);
            let text = match &rest {
                Ok(rest) => format!("reads the rest of the body of {id}: {} bytes", rest.len()),
                Err(error) => format!("cannot read the rest of the body of {id}: {error}"),
            };
            self.record.note(format!("endpoint {} {text}", self.id));
            rest?;
        }
        Ok(())
    }

    fn answer_health(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        let headers = format!("Instance-Id: {}\r\nServer-Load: 0,0,{SLOTS}\r\n", self.id);
        if self.is_leaving.load(Ordering::SeqCst) {
            let headers = format!("{headers}Server-Leaving: 1\r\n");
            return self.write(writer, "503 Service Unavailable", &headers, &[]);
        }
        self.write(writer, "200 OK", &headers, &[])
    }

    fn write(
        &self,
        writer: &mut TcpStream,
        status: &str,
        headers: &str,
        body: &[u8],
    ) -> std::io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
        writer.write_all(head.as_bytes())?;
        writer.write_all(body)
    }
}
