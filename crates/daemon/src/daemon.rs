//! One daemon: binds, recovers, wires the edges and stops gracefully.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use eyre::{WrapErr, eyre};
use fireflylug_core::consensus::{ControlSettings, RecoveredDisk};
use fireflylug_core::context::{Addresses, Identity};
use fireflylug_core::ids::NodeId;
use fireflylug_core::membership::MembershipSettings;
use fireflylug_core::routing::RoutingSettings;
use fireflylug_core::state::CoreSettings;
use fireflylug_core::{Event, State};
use fireflylug_settings::{LinkLanes, Settings};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::api::{Answers, ApiServer, Requests};
use crate::calls::{CallDialect, CallHandle, CallSettings};
use crate::disk::Disk;
use crate::local_target::{self, LocalTarget};
use crate::metrics::Metrics;
use crate::peers::{PeerHandle, PeerSettings};
use crate::runtime::Edges;
use crate::{Runtime, SharedKey, Translation, calls, disk, peers};

/// A running daemon. Several may run in one program.
///
/// Dropping it is the same as [`Daemon::kill`].
pub struct Daemon {
    addresses: Addresses,
    runtime: Arc<Runtime>,
    tasks: JoinSet<()>,
    api: ApiServer,
    calls: CallHandle,
    requests: Requests,
    dialect: Arc<CallDialect>,
    stop_limit: Duration,
}

/// The four listeners of a daemon.
struct Listeners {
    peers: TcpListener,
    forward: TcpListener,
    api: TcpListener,
    calls: TcpListener,
}

impl Daemon {
    /// Binds the listeners, reads the data folder and starts every edge.
    ///
    /// Must be called within a tokio runtime. Fails where an address cannot be
    /// bound, the key file or the data folder cannot be read, or the addresses
    /// file cannot be written; the error names it.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        Self::start_with(settings, CallDialect::default()).await
    }

    /// Starts a daemon whose callers and targets speak another dialect than
    /// its own. Otherwise the same as [`Daemon::start`].
    pub async fn start_with(settings: Settings, dialect: CallDialect) -> eyre::Result<Self> {
        let key = settings.key_file.as_deref().map(SharedKey::from_file).transpose()?;
        let listeners = Listeners::bind(&settings.listen).await?;
        let listening = listeners.addresses()?;
        let me = identity(&settings, listening)?;
        let wiring = Wiring::new(&settings, &me)?;
        let runtime = Arc::clone(&wiring.runtime);
        let calls = wiring.calls.clone();
        let requests = Requests::new(Arc::clone(&runtime), wiring.answers.clone());
        let dialect = Arc::new(dialect);
        let caller_service = settings.caller_service.as_ref().map(|name| name.as_str().into());
        let security = Security {
            key,
            translation: translation(&settings),
            dialect: Arc::clone(&dialect),
            bulk_lanes: settings.bulk_lanes(),
            caller_service,
        };
        let mut tasks = JoinSet::new();
        let api = wiring.spawn(&mut tasks, listeners, me, security)?;
        if let Some(file) = &settings.addresses_file {
            write_addresses(file, listening)?;
        }
        let stop_limit = Duration::from_millis(settings.stop_limit_ms);
        Ok(Self { addresses: listening, runtime, tasks, api, calls, requests, dialect, stop_limit })
    }

    /// Where the daemon listens, with the ports that the system chose.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// The daemon's reducer, to inspect its state.
    pub fn runtime(&self) -> &Arc<Runtime> {
        &self.runtime
    }

    /// Asks the daemon's resource API from within the program.
    pub fn requests(&self) -> Requests {
        self.requests.clone()
    }

    /// Takes over what may change while the daemon runs: the processes to join
    /// through. Everything else counts from the next start.
    pub fn reload(&self, settings: &Settings) {
        self.runtime.submit(Event::SeedsChanged(settings.seeds.clone()));
    }

    /// Looks for the target of this host, which may have gone on running while
    /// the daemon was restarted.
    pub fn find_target(&mut self, target: LocalTarget) {
        let (runtime, requests) = (Arc::clone(&self.runtime), self.requests.clone());
        let dialect = Arc::clone(&self.dialect);
        self.tasks.spawn(local_target::find(runtime, requests, dialect, target));
    }

    /// Waits until the reducer ends the process without having been asked to
    /// stop here, as after a failed disk.
    pub async fn exited(&self) {
        self.runtime.exited().await;
    }

    /// Stops gracefully: takes no new work, finishes what is in flight.
    ///
    /// Returns false where the limit of the settings passed before everything
    /// in flight was finished; what was left is then cut off.
    pub async fn stop(mut self) -> bool {
        self.api.refuse();
        self.runtime.submit(Event::Stop);
        let finish = async {
            self.runtime.exited().await;
            self.calls.drained().await;
            self.api.drained().await;
        };
        let finished = tokio::time::timeout(self.stop_limit, finish).await.is_ok();
        if finished {
            // The farewell messages and last answers are still on their way out.
            tokio::time::sleep(FAREWELL).await;
        }
        self.end();
        while self.tasks.join_next().await.is_some() {}
        finished
    }

    /// Ends at once as a crash would: closes every connection, finishes nothing.
    /// What was synced stays on disk.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.api.stop();
        self.tasks.abort_all();
    }
}

/// Time in which the last messages leave after a graceful stop.
const FAREWELL: Duration = Duration::from_millis(50);

/// What every edge needs for its connections.
struct Security {
    key: Option<SharedKey>,
    translation: Translation,
    dialect: Arc<CallDialect>,
    caller_service: Option<CompactString>,
    bulk_lanes: Option<LinkLanes>,
}

/// The reducer with the ends of the edges that are not served yet.
struct Wiring {
    runtime: Arc<Runtime>,
    peers: peers::PeerCommands,
    calls: CallHandle,
    answers: Answers,
    metrics: Metrics,
}

impl Wiring {
    /// Reads the data folder, makes the reducer and starts the disk's thread.
    fn new(settings: &Settings, me: &Identity) -> eyre::Result<Self> {
        let (disk_handle, opened, recovered) = open_disk(settings)?;
        let seed = rand::random();
        let state = State::new(me.clone(), core_settings(settings), recovered, seed);
        let (peer_handle, peers) = PeerHandle::new();
        let metrics = Metrics::new(Arc::clone(peer_handle.stats()))?;
        let calls = CallHandle::new();
        let answers = Answers::new();
        let edges = Edges {
            peers: peer_handle,
            disk: disk_handle,
            answers: answers.clone(),
            calls: calls.clone(),
        };
        let runtime = Runtime::new(state, edges);
        if let Some(disk) = opened {
            disk.start(Arc::clone(&runtime));
        }
        Ok(Self { runtime, peers, calls, answers, metrics })
    }

    /// Serves every edge.
    fn spawn(
        self,
        tasks: &mut JoinSet<()>,
        listeners: Listeners,
        me: Identity,
        security: Security,
    ) -> eyre::Result<ApiServer> {
        let runtime = self.runtime;
        let Security { key, translation, dialect, caller_service, bulk_lanes } = security;
        let settings = PeerSettings { me, key: key.clone(), translation: translation.clone() };
        tasks.spawn(peers::run(Arc::clone(&runtime), self.peers, listeners.peers, settings));
        let settings =
            CallSettings { key: key.clone(), translation, dialect, caller_service, bulk_lanes };
        tasks.spawn(calls::run(
            Arc::clone(&runtime),
            self.calls,
            listeners.calls,
            listeners.forward,
            settings,
        ));
        let api =
            ApiServer::start(Arc::clone(&runtime), self.answers, listeners.api, self.metrics, key)?;
        tasks.spawn(async move { runtime.run_timer().await });
        Ok(api)
    }
}

impl Listeners {
    async fn bind(listen: &Addresses) -> eyre::Result<Self> {
        Ok(Self {
            peers: bind("peers", listen.peers).await?,
            forward: bind("forward", listen.forward).await?,
            api: bind("api", listen.api).await?,
            calls: bind("calls", listen.calls).await?,
        })
    }

    fn addresses(&self) -> eyre::Result<Addresses> {
        Ok(Addresses {
            peers: self.peers.local_addr()?,
            forward: self.forward.local_addr()?,
            api: self.api.local_addr()?,
            calls: self.calls.local_addr()?,
        })
    }
}

async fn bind(name: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        eyre!(
            "cannot listen at {address} for {name}: {error}; \
             set [listen] {name} to a free address of this host"
        )
    })
}

fn identity(settings: &Settings, listening: Addresses) -> eyre::Result<Identity> {
    let since_epoch =
        SystemTime::now().duration_since(UNIX_EPOCH).wrap_err("the clock is before 1970")?;
    let started_unix_ms = since_epoch.as_millis() as u64;
    Ok(Identity {
        id: NodeId::of_host(&settings.host),
        host: settings.host.clone(),
        locality: settings.locality.clone(),
        incarnation: started_unix_ms,
        started_unix_ms,
        addresses: settings.advertised(listening),
        control: settings.control.is_some(),
        is_link_slow: settings.is_link_slow(),
    })
}

type OpenedDisk = (Option<disk::DiskHandle>, Option<Disk>, RecoveredDisk);

fn open_disk(settings: &Settings) -> eyre::Result<OpenedDisk> {
    let Some(control) = &settings.control else {
        return Ok((None, None, RecoveredDisk::default()));
    };
    let (handle, disk, recovered) = disk::open(&control.data_dir)
        .wrap_err_with(|| format!("data folder {}", control.data_dir.display()))?;
    Ok((Some(handle), Some(disk), recovered))
}

// The other fields of these settings are for tests; a daemon keeps the defaults.
#[allow(clippy::needless_update)]
fn core_settings(settings: &Settings) -> CoreSettings {
    let control = settings.control.as_ref().map(|control| ControlSettings {
        initial_voters: control.initial_voters.iter().map(NodeId::of_host).collect(),
        initial_addresses: match settings.voters.from_seeds {
            true => settings.seeds.clone(),
            false => Vec::new(),
        },
        joins_only: settings.voters.joins_only,
        kept_voters: settings.voters.tolerated_losses.map(|losses| 2 * losses + 1),
    });
    CoreSettings {
        membership: MembershipSettings {
            seeds: settings.seeds.clone(),
            ..MembershipSettings::default()
        },
        control,
        routing: RoutingSettings {
            stop_notice_ms: settings.stop_notice_ms,
            is_link_slow: settings.is_link_slow(),
            ..RoutingSettings::default()
        },
        ..CoreSettings::default()
    }
}

fn translation(settings: &Settings) -> Translation {
    settings.translate.iter().fold(Translation::new(), |translation, (announced, replacement)| {
        translation.with(*announced, *replacement)
    })
}

/// Writes the addresses as one JSON object, complete or not at all.
fn write_addresses(file: &Path, addresses: Addresses) -> eyre::Result<()> {
    let json = serde_json::to_vec_pretty(&addresses)?;
    let partial = file.with_extension("partial");
    std::fs::write(&partial, json)
        .and_then(|()| std::fs::rename(&partial, file))
        .wrap_err_with(|| format!("cannot write the addresses file {}", file.display()))
}
