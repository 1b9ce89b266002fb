//! Endpoint stand-in: serves requests, answers health checks and sends heartbeats, as
//! PROTOCOL.md describes a sound endpoint.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::deployment::HEARTBEAT;
use crate::http::{self, Head};
use crate::record::Record;

/// Requests that the endpoint runs concurrently.
const SLOTS: u32 = 12;

/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(30);

/// Time within which a heartbeat must be answered to count as acknowledged.
const ACK_WITHIN: Duration = Duration::from_secs(1);

/// Pause between two pieces of a body without end.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// When the request had arrived, in milliseconds since the start of the case.
    pub arrived_ms: u64,
    /// Its `Request-Id`.
    pub request_id: String,
}

/// An endpoint with its own threads, which end with the process.
pub struct Endpoint {
    pub id: String,
    service: String,
    zone: &'static str,
    address: SocketAddr,
    born_unix_ms: u128,
    sequence: AtomicU64,
    running: AtomicU32,
    is_leaving: AtomicBool,
    /// One answer in this many has a body without end; 0 for none.
    endless_every: AtomicU32,
    answers: AtomicU32,
    sends_heartbeats: AtomicBool,
    /// Where heartbeats are sent: the control address of its own machine, or a proxy before it.
    heartbeat_to: SocketAddr,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Endpoint {
    /// Starts an endpoint that listens at `address`, and sends its heartbeats to `heartbeat_to`.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        heartbeat_to: SocketAddr,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let endpoint = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "kochi-ernakulam",
            address,
            born_unix_ms: since_epoch.map_err(|error| error.to_string())?.as_millis(),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            endless_every: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            sends_heartbeats: AtomicBool::new(true),
            heartbeat_to,
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let accepting = Arc::clone(&endpoint);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = Arc::clone(&accepting);
                // An error means that the caller closed the connection.
                std::thread::spawn(move || drop(endpoint.serve(stream)));
            }
        });
        let beating = Arc::clone(&endpoint);
        std::thread::spawn(move || beating.send_heartbeats());
        Ok(endpoint)
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock_runs().clone()
    }

    /// From now on, one answer in `every` has a body without end.
    pub fn set_endless_every(&self, every: u32) {
        self.endless_every.store(every, Ordering::SeqCst);
    }

    /// Stops the heartbeats.
    pub fn stop_heartbeats(&self) {
        self.sends_heartbeats.store(false, Ordering::SeqCst);
    }

    /// Says from now on in all answers that the endpoint leaves.
    pub fn begin_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Sends `instances.deregister` to the machine's own control address. Returns the status.
    pub fn deregister(&self, control: SocketAddr) -> io::Result<u16> {
        let line = format!("POST /api/rpc?call=instances.deregister&of={}", self.id);
        let request = http::request(&line, &[("Host", "control")], "");
        http::exchange(control, &request, ACK_WITHIN).map(|answer| answer.status)
    }

    /// Sends one heartbeat. Returns its number and whether it was acknowledged.
    fn send_heartbeat(&self) -> (u64, bool) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let Self { id, service, address, zone, born_unix_ms, .. } = self;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold-left\":\"0ms\",\
             \"seq\":{sequence},\"born\":{born_unix_ms}}}"
        );
        let line = format!("POST /api/rpc?call=instances.heartbeat&of={id}");
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let request = http::request(&line, &headers, &body);
        let answer = http::exchange(self.heartbeat_to, &request, ACK_WITHIN);
        (sequence, answer.is_ok_and(|answer| answer.status == 200))
    }

    fn send_heartbeats(&self) {
        while self.sends_heartbeats.load(Ordering::SeqCst) {
            let (sequence, is_acknowledged) = self.send_heartbeat();
            if !is_acknowledged {
                let id = &self.id;
                self.record.line(format!("{id}: heartbeat {sequence} got no acknowledgement"));
            }
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            head.read_body(&mut reader)?;
            self.answer(&head, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, writer: &mut TcpStream) -> io::Result<()> {
        if head.first_line.starts_with("GET /health ") {
            return self.answer_health(writer);
        }
        let Some(request_id) = head.header("request-id") else {
            return write_refusal(writer, "400 Bad Request", "Not-Executed: 1\r\n");
        };
        if head.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let header = format!("Instance-Id: {}\r\n", self.id);
            return write_refusal(writer, "421 Misdirected Request", &header);
        }
        let run = Run { arrived_ms: self.record.now_ms(), request_id: request_id.to_owned() };
        self.lock_runs().push(run);
        self.running.fetch_add(1, Ordering::SeqCst);
        let written = self.run(request_id, writer);
        self.running.fetch_sub(1, Ordering::SeqCst);
        written
    }

    fn run(&self, request_id: &str, writer: &mut TcpStream) -> io::Result<()> {
        std::thread::sleep(WORK);
        let headers = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: {}.{request_id}\r\n{}{}",
            self.id,
            self.load_header(),
            self.leaving_header()
        );
        if self.is_next_endless() {
            self.record.line(format!("{}: the answer to {request_id} has no end", self.id));
            return self.write_endlessly(&headers, writer);
        }
        let body = format!("seats of {request_id}");
        writer
            .write_all(format!("{headers}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
    }

    fn is_next_endless(&self) -> bool {
        let every = self.endless_every.load(Ordering::SeqCst);
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        every > 0 && number.is_multiple_of(every)
    }

    /// Writes pieces of a chunked body until the caller closes the connection.
    fn write_endlessly(&self, headers: &str, writer: &mut TcpStream) -> io::Result<()> {
        writer.write_all(format!("{headers}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        let piece = format!("400\r\n{}\r\n", "z".repeat(0x400));
        loop {
            writer.write_all(piece.as_bytes())?;
            std::thread::sleep(PIECE_PAUSE);
        }
    }

    /// 200 while the endpoint is healthy and not leaving.
    fn answer_health(&self, writer: &mut TcpStream) -> io::Result<()> {
        let status = match self.is_leaving.load(Ordering::SeqCst) {
            true => "503 Service Unavailable",
            false => "200 OK",
        };
        let (id, load, leaving) = (&self.id, self.load_header(), self.leaving_header());
        write_refusal(writer, status, &format!("Instance-Id: {id}\r\n{load}{leaving}"))
    }

    fn load_header(&self) -> String {
        format!("Server-Load: {},0,{SLOTS}\r\n", self.running.load(Ordering::SeqCst))
    }

    fn leaving_header(&self) -> &'static str {
        if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" }
    }

    fn lock_runs(&self) -> MutexGuard<'_, Vec<Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes an answer without a body.
fn write_refusal(writer: &mut TcpStream, status: &str, headers: &str) -> io::Result<()> {
    writer.write_all(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes())
}
