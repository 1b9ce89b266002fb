//! The baseline: every proxy polls a central source for the complete configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fireflylug_fault::{FaultProxy, HttpClient, TargetOptions, TargetStandIn};
use tokio::task::JoinSet;

use super::mesh::{Layout, Links};

/// Interval between two polls of one proxy.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Length of a complete configuration, in bytes: 66 services, 66 routes and 66
/// policies of about 80 bytes each.
const SNAPSHOT_BYTES: usize = 66 * 3 * 80;

/// A source and the proxies that poll it.
pub struct Baseline {
    /// Links between the availability zones.
    pub links: Links,
    source: TargetStandIn,
    shared: Arc<Shared>,
    proxy_count: usize,
    _fault_proxies: Vec<FaultProxy>,
    _pollers: JoinSet<()>,
}

/// Progress of the proxies. The body length identifies a version.
struct Shared {
    /// Body length of the newest version.
    newest_bytes: AtomicUsize,
    /// Number of proxies that hold the newest version.
    current_proxies: AtomicUsize,
}

impl Baseline {
    /// Starts the source in the first availability zone and every proxy.
    pub async fn start(layout: &Layout) -> eyre::Result<Self> {
        let options = TargetOptions::new().with_slots(1_000).with_body_bytes(SNAPSHOT_BYTES);
        let source = TargetStandIn::start(options).await?;
        let links = Links::new(layout);
        let shared = Arc::new(Shared {
            newest_bytes: AtomicUsize::new(SNAPSHOT_BYTES),
            current_proxies: AtomicUsize::new(0),
        });
        let mut zone_proxies = Vec::new();
        for zone in 0..layout.zones.len() {
            let (link, direction) = links.between(layout, zone, 0);
            let proxy = FaultProxy::start_over(link, direction).await?;
            proxy.set_upstream(Some(source.address()));
            zone_proxies.push(proxy);
        }
        let mut pollers = JoinSet::new();
        for proxy in 0..layout.daemons {
            let address = zone_proxies[layout.zone_of(proxy)].address();
            let start_delay = POLL_INTERVAL * proxy as u32 / layout.daemons as u32;
            pollers.spawn(poll(address, start_delay, Arc::clone(&shared)));
        }
        let proxy_count = layout.daemons;
        Ok(Self {
            links,
            source,
            shared,
            proxy_count,
            _fault_proxies: zone_proxies,
            _pollers: pollers,
        })
    }

    /// Makes one change and waits until every proxy holds it. Returns the elapsed time, in
    /// milliseconds.
    pub async fn converge_ms(&self) -> eyre::Result<f64> {
        tokio::time::sleep(POLL_INTERVAL).await;
        let newest_bytes = self.shared.newest_bytes.load(Ordering::Relaxed) + 1;
        self.shared.current_proxies.store(0, Ordering::Relaxed);
        self.shared.newest_bytes.store(newest_bytes, Ordering::Relaxed);
        let options = TargetOptions::new().with_slots(1_000).with_body_bytes(newest_bytes);
        self.source.set_options(options);
        let started_at = Instant::now();
        while self.shared.current_proxies.load(Ordering::Relaxed) < self.proxy_count {
            eyre::ensure!(
                started_at.elapsed() < POLL_INTERVAL * 20,
                "the baseline did not converge within 20 poll intervals"
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(started_at.elapsed().as_secs_f64() * 1_000.0)
    }
}

async fn poll(address: std::net::SocketAddr, start_delay: Duration, shared: Arc<Shared>) {
    let client = HttpClient::new();
    let mut held_bytes = 0;
    tokio::time::sleep(start_delay).await;
    let mut timer = tokio::time::interval(POLL_INTERVAL);
    loop {
        timer.tick().await;
        let Ok(answer) = client.send(address, "GET /", &[], "").await else { continue };
        let is_newest = answer.body.len() == shared.newest_bytes.load(Ordering::Relaxed);
        if is_newest && held_bytes != answer.body.len() {
            shared.current_proxies.fetch_add(1, Ordering::Relaxed);
        }
        held_bytes = answer.body.len();
    }
}
