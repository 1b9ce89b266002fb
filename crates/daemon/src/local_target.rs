//! Discovers the target of this host after a restart of the daemon.
//!
//! A target keeps running while its daemon restarts, and announces itself only with its
//! next heartbeat. It would receive no calls until then, so the daemon queries its health
//! endpoint and announces the target on its behalf.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use eyre::{WrapErr, ensure, eyre};
use fireflylug_core::api::ApiRequest;
use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_core::ids::{Name, TargetId};
use fireflylug_core::membership::TargetAnnouncement;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Runtime;
use crate::api::Requests;
use crate::calls::CallDialect;

/// Interval between attempts to find the service in the configuration and query its health.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for which a target without an announcement is searched.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one health query.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Target on this host, according to the settings.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    /// Service of the target.
    pub service: Name,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Lease of an announcement, in milliseconds.
    pub lease_ms: u32,
}

/// Queries the health of the target until it responds, and announces the target.
pub async fn find(
    runtime: Arc<Runtime>,
    requests: Requests,
    dialect: Arc<CallDialect>,
    target: LocalTarget,
) {
    let search = async {
        while !is_announced(&runtime, &target) {
            if let Some(path) = health_path(&runtime, &target.service)
                && let Ok(announcement) = query_health(&dialect, &target, &path).await
                && !is_announced(&runtime, &target)
            {
                let text =
                    format!("Announced target {} after a health response.", announcement.target);
                crate::log::write(LogLevel::Info, LogPart::Membership, &text);
                requests.send(ApiRequest::Announce(announcement)).await;
            }
            tokio::time::sleep(QUERY_INTERVAL).await;
        }
    };
    // A target that is not running announces itself when it starts.
    let _ = timeout(SEARCH_TIMEOUT, search).await;
}

/// Whether the target of this host is already announced.
fn is_announced(runtime: &Runtime, target: &LocalTarget) -> bool {
    runtime.inspect(|state| state.membership().has_own_target_at(target.address))
}

fn health_path(runtime: &Runtime, service: &Name) -> Option<CompactString> {
    runtime.inspect(|state| {
        let configuration = state.distribution().current();
        configuration.service(service).and_then(|service| service.health_path.clone())
    })
}

async fn query_health(
    dialect: &CallDialect,
    target: &LocalTarget,
    path: &str,
) -> eyre::Result<TargetAnnouncement> {
    let answer = timeout(HEALTH_TIMEOUT, get_headers(target.address, path)).await;
    let headers = answer.wrap_err("the target did not respond within the timeout")??;
    let id = header_text(&headers, &dialect.target_id)?;
    let load = header_text(&headers, &dialect.target_load)?;
    // A fourth figure, how long work takes at this moment, may follow the slots.
    let slots = load.split(',').take(3).last().unwrap_or_default().trim();
    let slots = slots.parse().wrap_err("the load header contains no valid number of slots")?;
    ensure!(slots > 0, "the target reports 0 slots");
    Ok(TargetAnnouncement {
        target: TargetId { service: target.service.clone(), id: Name::new(id)? },
        address: target.address,
        slots,
        connections: u32::MAX,
        lease_ms: target.lease_ms,
        load_percent: None,
        draining: dialect.is_leaving(&headers),
        cold_ms: 0,
        order: None,
    })
}

async fn get_headers(address: SocketAddr, path: &str) -> eyre::Result<HeaderMap> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::builder()
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::<bytes::Bytes>::new())?;
    let mut exchange = pin!(async {
        let response = sender.send_request(request).await?;
        ensure!(response.status() == StatusCode::OK, "the target is not healthy");
        Ok(response.headers().clone())
    });
    tokio::select! {
        headers = &mut exchange => headers,
        // A short response arrives together with the end of the connection.
        _ = connection => exchange.await,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> eyre::Result<&'a str> {
    let value = headers.get(name).ok_or_else(|| eyre!("the response has no header {name}"))?;
    Ok(value.to_str()?)
}
