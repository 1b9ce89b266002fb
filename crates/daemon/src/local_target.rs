//! Finds the target of this host again after a restart of the daemon.
//!
//! A target goes on running while the daemon beside it is restarted, and
//! announces itself only with its next heartbeat. Until then nobody could call
//! it: so the daemon asks it for its health once, and announces it itself.

use std::net::SocketAddr;
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

/// Time between looks for a configuration that names the service, and between questions.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a target that does not announce itself is looked for.
const LOOK_LIMIT: Duration = Duration::from_secs(5);
/// Time for one question.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// The target that runs on this host, as the settings tell.
#[derive(Clone, Debug)]
pub struct LocalTarget {
    /// Service of the target.
    pub service: Name,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Time for which an announcement holds, in milliseconds.
    pub lease_ms: u32,
}

/// Asks the target for its health until it is known, and announces it.
pub async fn find(
    runtime: Arc<Runtime>,
    requests: Requests,
    dialect: Arc<CallDialect>,
    target: LocalTarget,
) {
    let look = async {
        while !is_known(&runtime, &target) {
            if let Some(path) = health_path(&runtime, &target.service)
                && let Ok(announcement) = ask(&dialect, &target, &path).await
                && !is_known(&runtime, &target)
            {
                let text = format!("Found target {} by its health.", announcement.target);
                crate::log::write(LogLevel::Info, LogPart::Membership, &text);
                requests.ask(ApiRequest::Announce(announcement)).await;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    };
    // A target that is not there announces itself once it is.
    let _ = timeout(LOOK_LIMIT, look).await;
}

/// Whether a target of this host is announced already.
fn is_known(runtime: &Runtime, target: &LocalTarget) -> bool {
    runtime.inspect(|state| state.membership().has_own_target_at(target.address))
}

fn health_path(runtime: &Runtime, service: &Name) -> Option<CompactString> {
    runtime.inspect(|state| {
        let configuration = state.distribution().current();
        configuration.service(service).and_then(|service| service.health_path.clone())
    })
}

async fn ask(
    dialect: &CallDialect,
    target: &LocalTarget,
    path: &str,
) -> eyre::Result<TargetAnnouncement> {
    let answer = timeout(ASK_TIMEOUT, get(target.address, path)).await;
    let headers = answer.wrap_err("the target did not answer in time")??;
    let id = text(&headers, &dialect.target_id)?;
    let load = text(&headers, &dialect.target_load)?;
    let slots = load.rsplit(',').next().unwrap_or_default().trim();
    let slots = slots.parse().wrap_err("the load names no slots")?;
    ensure!(slots > 0, "the target has no slots");
    Ok(TargetAnnouncement {
        target: TargetId { service: target.service.clone(), id: Name::new(id)? },
        address: target.address,
        slots,
        connections: u32::MAX,
        lease_ms: target.lease_ms,
        load_percent: None,
        draining: false,
        cold_ms: 0,
        order: None,
    })
}

async fn get(address: SocketAddr, path: &str) -> eyre::Result<HeaderMap> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::builder()
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::<bytes::Bytes>::new())?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        ensure!(response.status() == StatusCode::OK, "the target is not healthy");
        Ok(response.headers().clone())
    };
    tokio::select! {
        headers = exchange => headers,
        _ = connection => Err(eyre!("the connection closed")),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> eyre::Result<&'a str> {
    let value = headers.get(name).ok_or_else(|| eyre!("the answer has no {name}"))?;
    Ok(value.to_str()?)
}
