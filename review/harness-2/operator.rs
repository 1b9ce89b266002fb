//! Stand-in for the operator: sends complete configurations until they are acknowledged.

use std::time::{Duration, Instant};

use crate::http;
use crate::mesh::Mesh;
use crate::record::Record;

/// First and longest pause between two tries.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Host of all routes.
pub const HOST: &str = "jepu9.example";

/// One route, to a service of the same name.
pub struct Route {
    pub service: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
}

/// A configuration with a route `/SERVICE/` for each entry.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|Route { service, kind, timeout_ms }| {
            format!(
                "[\"r-{service}\",\"{HOST}\",\"/{service}/\",\"{kind}\",\"{timeout_ms}ms\",\
                 \"1000ms\",1,null,2,\"{service}\"]"
            )
        })
        .collect();
    let services: Vec<String> = routes
        .iter()
        .map(|route| format!("[\"{}\",\"/health\",120,\"h1\",false]", route.service))
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\
         \"path-prefix\",\"kind\",\"timeout\",\"target-latency\",\"priority\",\"traffic-split\",\
         \"max-attempts\",\"service\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\
         \"health-path\",\"max-connections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
         \"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"}}}}",
        rows.join(","),
        services.join(",")
    )
}

/// Sends a configuration to one node once. Returns the status, or 0 without a response.
pub fn send(mesh: &Mesh, core: usize, base: u64, configuration: &str) -> u16 {
    let base = format!("{base:08x}");
    let headers =
        [("Host", "node"), ("Base-Version", base.as_str()), ("Content-Type", "application/json")];
    let line = "POST /api/rpc?call=config.replace";
    let timeout = Duration::from_secs(1);
    let answer = http::send(mesh.control(core), line, &headers, configuration.as_bytes(), timeout);
    answer.map_or(0, |answer| answer.status())
}

/// Sends a configuration to one node after the other until it is acknowledged or refused.
pub fn replace(
    record: &Record,
    mesh: &Mesh,
    cores: &[usize],
    base: u64,
    configuration: &str,
    timeout: Duration,
) -> Option<u16> {
    let deadline = Instant::now() + timeout;
    let mut backoff = FIRST_BACKOFF;
    for core in cores.iter().cycle() {
        let status = send(mesh, *core, base, configuration);
        record.note(format!("order on {base:08x} to {}: {status}", mesh.nodes[*core].name));
        if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
            return Some(status);
        }
        if Instant::now() >= deadline {
            break;
        }
        std::thread::sleep(backoff);
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    None
}
