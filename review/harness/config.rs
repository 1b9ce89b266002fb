//! The operator: configurations, and the calls that send and read them.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::http::{self, Response};
use crate::record::Record;

/// Timeout of the route to `seatdesk`, as in the users' table.
pub const SEAT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Host of the route to `seatdesk`.
pub const SEAT_HOST: &str = "seats.example";

/// Time after which an operator without a response moves on to another machine.
pub const PATIENCE: Duration = Duration::from_secs(1);

/// First pause before an operator without a clear answer tries the next machine, and the longest
/// one: it doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Time allowed until the first configuration is accepted.
const FIRST_TIMEOUT: Duration = Duration::from_secs(25);

/// A configuration as an operator sends it.
pub struct Document {
    /// Version on which it builds, as eight hexadecimal digits.
    pub base: &'static str,
    /// Its own version.
    pub version: &'static str,
    /// A time that tells configurations apart: the target latency of the booking route.
    pub booking_latency_ms: u32,
}

impl Document {
    fn body(&self) -> String {
        let Self { version, booking_latency_ms, .. } = self;
        let timeout_ms = SEAT_TIMEOUT.as_millis();
        format!(
            "{{\"version\":\"{version}\",\"routes\":{{\"columns\":[\"name\",\"host\",\
             \"path-prefix\",\"kind\",\"timeout\",\"target-latency\",\"priority\",\
             \"traffic-split\",\"max-attempts\",\"service\"],\"rows\":[\
             [\"seat-lookup\",\"{SEAT_HOST}\",\"/seats/\",\"safe\",\"{timeout_ms}ms\",\"800ms\",2,\
             null,2,\"seatdesk\"],\
             [\"booking-confirm\",\"bookings.example\",\"/book/\",\"unsafe\",\"3000ms\",\
             \"{booking_latency_ms}ms\",1,null,2,\"bookbook\"]]}},\
             \"services\":{{\"columns\":[\"name\",\"health-path\",\"max-connections\",\
             \"protocol\",\"tls\"],\"rows\":[[\"seatdesk\",\"/health\",120,\"h1\",false],\
             [\"bookbook\",\"/health\",120,\"h1\",false]]}},\
             \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
             \"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}}}"
        )
    }

    /// Sends the configuration to one machine. An error means that no clear response came.
    pub fn send(&self, to: SocketAddr) -> io::Result<Response> {
        let headers = [
            ("Host", "control"),
            ("Base-Version", self.base),
            ("Content-Type", "application/json"),
        ];
        let line = "POST /api/rpc?call=config.replace";
        http::exchange(to, &http::request(line, &headers, &self.body()), PATIENCE)
    }
}

/// Reads the configuration from one machine.
pub fn read(from: SocketAddr) -> io::Result<Response> {
    let request = http::request("POST /api/rpc?call=config.read", &[("Host", "control")], "");
    http::exchange(from, &request, PATIENCE)
}

/// Sends a configuration to one core machine after the other until it is acknowledged or refused.
/// Returns that status.
pub fn send_until_clear(
    deployment: &Deployment,
    document: &Document,
    record: &Record,
    timeout: Duration,
) -> Result<u16, String> {
    let give_up_at = Instant::now() + timeout;
    let mut backoff = FIRST_BACKOFF;
    for machine in deployment.cores.iter().cycle() {
        if Instant::now() > give_up_at {
            break;
        }
        let answer = document.send(machine.control()).map(|answer| answer.status);
        if let Ok(status @ (200 | 400 | 409 | 412 | 413 | 422)) = answer {
            let Document { base, version, .. } = document;
            record.line(format!("order {version} on {base}, sent to {}: {status}", machine.name));
            return Ok(status);
        }
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    Err(format!("version {} got no clear answer", document.version))
}

/// The first configuration, on which the cases build.
pub const FIRST: Document =
    Document { base: "00000000", version: "00000001", booking_latency_ms: 1_000 };

/// Sends the first configuration until it is acknowledged.
pub fn send_first(deployment: &Deployment, record: &Record) -> Result<(), String> {
    match send_until_clear(deployment, &FIRST, record, FIRST_TIMEOUT)? {
        200 => Ok(()),
        status => Err(format!("the first configuration was answered with {status}")),
    }
}
