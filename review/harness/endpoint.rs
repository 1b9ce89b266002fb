//! Endpoint stand-in: serves requests, answers health checks and sends heartbeats, as
//! PROTOCOL.md describes a sound endpoint. It can be told to misbehave in the ways that a case needs.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::deployment::{HEARTBEAT, Machine};
use crate::http::{self, Head};
use crate::record::Record;

/// Requests that the endpoint runs concurrently.
const SLOTS: u32 = 12;

/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(30);

/// Time within which a heartbeat must be answered to count as acknowledged.
const ACK_WITHIN: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed, as in the site file.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two looks for a new connection.
const ACCEPT_EVERY: Duration = Duration::from_millis(1);

/// Pause between two pieces of a body without end.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// When the request had arrived, in milliseconds since the start of the case.
    pub arrived_ms: u64,
    /// Its `Request-Id`.
    pub request_id: String,
    /// Whether the endpoint crashed when it began to run the request.
    pub is_deadly: bool,
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
    /// Service whose requests crash the endpoint, if any.
    deadly_caller: Option<&'static str>,
    has_crashed: AtomicBool,
    /// All connections that were accepted, to close them in a crash.
    connections: Mutex<Vec<TcpStream>>,
    /// Where heartbeats are sent: the control address of its own machine, or a proxy before it.
    heartbeat_to: SocketAddr,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Endpoint {
    /// Starts the endpoint of a machine, which sends its heartbeats to `heartbeat_to`.
    pub fn start(
        id: &str,
        service: &str,
        machine: &Machine,
        heartbeat_to: SocketAddr,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>, String> {
        let (address, zone) = (machine.app(), machine.zone());
        Self::start_with(id, service, (address, zone), heartbeat_to, None, record)
    }

    /// Starts an endpoint at an address in a zone, which crashes when it begins to run a request of the service
    /// `deadly_caller`.
    pub fn start_with(
        id: &str,
        service: &str,
        (address, zone): (SocketAddr, &'static str),
        heartbeat_to: SocketAddr,
        deadly_caller: Option<&'static str>,
        record: &Arc<Record>,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let endpoint = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone,
            address,
            born_unix_ms: since_epoch.map_err(|error| error.to_string())?.as_millis(),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            is_leaving: AtomicBool::new(false),
            endless_every: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            sends_heartbeats: AtomicBool::new(true),
            deadly_caller,
            has_crashed: AtomicBool::new(false),
            connections: Mutex::default(),
            heartbeat_to,
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        listener.set_nonblocking(true).map_err(|error| error.to_string())?;
        let accepting = Arc::clone(&endpoint);
        std::thread::spawn(move || accepting.accept(listener));
        let beating = Arc::clone(&endpoint);
        std::thread::spawn(move || beating.send_heartbeats());
        Ok(endpoint)
    }

    /// Accepts connections until the endpoint crashes, which closes the listener and then all
    /// connections.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        while !self.has_crashed() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_EVERY);
                continue;
            };
            if let Ok(copy) = stream.try_clone() {
                lock(&self.connections).push(copy);
            }
            let endpoint = Arc::clone(&self);
            // An error means that the caller closed the connection.
            std::thread::spawn(move || drop(endpoint.serve(stream)));
        }
        drop(listener);
        for connection in lock(&self.connections).drain(..) {
            // The caller may have closed it already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Whether the endpoint has crashed. It does not come back; another one may take its address.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// From now on, one answer in `every` has a body without end.
    pub fn set_endless_every(&self, every: u32) {
        self.endless_every.store(every, Ordering::SeqCst);
    }

    /// Ends the endpoint, as a crash does.
    pub fn end(&self) {
        self.stop_heartbeats();
        self.has_crashed.store(true, Ordering::SeqCst);
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
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
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
        let caller = head.header("caller-service");
        let is_deadly = caller.is_some() && caller == self.deadly_caller;
        let arrived_ms = self.record.now_ms();
        let run = Run { arrived_ms, request_id: request_id.to_owned(), is_deadly };
        lock(&self.runs).push(run);
        if is_deadly {
            self.record.line(format!("{}: crashes as it begins to run {request_id}", self.id));
            self.end();
            return Ok(());
        }
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
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes an answer without a body.
fn write_refusal(writer: &mut TcpStream, status: &str, headers: &str) -> io::Result<()> {
    writer.write_all(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n").as_bytes())
}
