//! The baseline: every proxy polls the source for the whole configuration.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use fireflylug_fault::{FaultProxy, HttpClient, TargetOptions, TargetStandIn};
use tokio::task::JoinSet;

use super::mesh::{Layout, Links};

/// Time between two polls of one proxy.
const POLL_EVERY: Duration = Duration::from_secs(1);

/// Length of a whole configuration, in bytes: 66 services, routes and policies
/// at about 80 bytes each.
const SNAPSHOT_BYTES: usize = 66 * 3 * 80;

/// A source and the proxies that poll it.
pub struct Baseline {
    /// Links between the places.
    pub links: Links,
    source: TargetStandIn,
    shared: Arc<Shared>,
    proxies: usize,
    _doors: Vec<FaultProxy>,
    _pollers: JoinSet<()>,
}

/// How many proxies hold the newest version. Its length tells it from the one before.
struct Shared {
    newest_bytes: AtomicUsize,
    current: AtomicUsize,
}

impl Baseline {
    /// Starts the source in the first availability zone and every proxy.
    pub async fn start(layout: &Layout) -> eyre::Result<Self> {
        let options = TargetOptions::new().with_slots(1_000).with_body_bytes(SNAPSHOT_BYTES);
        let source = TargetStandIn::start(options).await?;
        let links = Links::new(layout);
        let shared = Arc::new(Shared {
            newest_bytes: AtomicUsize::new(SNAPSHOT_BYTES),
            current: AtomicUsize::new(0),
        });
        let mut doors = Vec::new();
        for zone in 0..layout.zones.len() {
            let (link, direction) = links.between(layout, zone, 0);
            let door = FaultProxy::start_over(link, direction).await?;
            door.set_upstream(Some(source.address()));
            doors.push(door);
        }
        let mut pollers = JoinSet::new();
        for proxy in 0..layout.daemons {
            let address = doors[layout.zone_of(proxy)].address();
            let phase = POLL_EVERY * proxy as u32 / layout.daemons as u32;
            pollers.spawn(poll(address, phase, Arc::clone(&shared)));
        }
        let proxies = layout.daemons;
        Ok(Self { links, source, shared, proxies, _doors: doors, _pollers: pollers })
    }

    /// Makes one change and waits until every proxy holds it. Returns the time, in milliseconds.
    pub async fn converge_ms(&self) -> eyre::Result<f64> {
        tokio::time::sleep(POLL_EVERY).await;
        let newest = self.shared.newest_bytes.load(Ordering::Relaxed) + 1;
        self.shared.current.store(0, Ordering::Relaxed);
        self.shared.newest_bytes.store(newest, Ordering::Relaxed);
        let options = TargetOptions::new().with_slots(1_000).with_body_bytes(newest);
        self.source.set_options(options);
        let started_at = Instant::now();
        while self.shared.current.load(Ordering::Relaxed) < self.proxies {
            eyre::ensure!(started_at.elapsed() < POLL_EVERY * 20, "the baseline does not converge");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        Ok(started_at.elapsed().as_secs_f64() * 1_000.0)
    }
}

async fn poll(address: std::net::SocketAddr, phase: Duration, shared: Arc<Shared>) {
    let client = HttpClient::new();
    let mut held_bytes = 0;
    tokio::time::sleep(phase).await;
    let mut timer = tokio::time::interval(POLL_EVERY);
    loop {
        timer.tick().await;
        let Ok(answer) = client.send(address, "GET /", &[], "").await else { continue };
        let newest = answer.body.len() == shared.newest_bytes.load(Ordering::Relaxed);
        if newest && held_bytes != answer.body.len() {
            shared.current.fetch_add(1, Ordering::Relaxed);
        }
        held_bytes = answer.body.len();
    }
}
