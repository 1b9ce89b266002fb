//! One daemon: binds its listeners, recovers its data, starts its components and shuts down.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use eyre::{WrapErr, eyre};
use fireflylug_core::consensus::{ControlSettings, RecoveredDisk};
use fireflylug_core::context::{Addresses, Identity};
use fireflylug_core::event::{LogLevel, LogPart};
use fireflylug_core::ids::NodeId;
use fireflylug_core::membership::MembershipSettings;
use fireflylug_core::routing::RoutingSettings;
use fireflylug_core::state::CoreSettings;
use fireflylug_core::{Event, State};
use fireflylug_settings::{BulkLimit, Settings};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::api::{ApiServer, PendingRequests, Requests};
use crate::calls::{CallDialect, CallHandle, CallSettings};
use crate::disk::Disk;
use crate::local_target::{self, LocalTarget};
use crate::metrics::Metrics;
use crate::peers::{PeerHandle, PeerSettings};
use crate::runtime::IoHandles;
use crate::{OpenWork, Runtime, SharedKey, Translation, calls, disk, log, peers};

/// A running daemon. Several daemons can run in one program.
///
/// Dropping it is equivalent to [`Daemon::kill`].
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

/// Listeners of a daemon.
struct Listeners {
    peers: TcpListener,
    forward: TcpListener,
    api: TcpListener,
    calls: TcpListener,
}

impl Daemon {
    /// Binds the listeners, recovers the data folder and starts all components.
    ///
    /// Must be called within a tokio runtime. Fails if an address cannot be bound, the
    /// key file or the data folder cannot be read, or the addresses file cannot be
    /// written; the error names the address or path.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        Self::start_with(settings, CallDialect::default()).await
    }

    /// Starts a daemon with a custom dialect for callers and targets. Otherwise equivalent
    /// to [`Daemon::start`].
    pub async fn start_with(settings: Settings, dialect: CallDialect) -> eyre::Result<Self> {
        let key = settings.key_file.as_deref().map(SharedKey::from_file).transpose()?;
        let listeners = Listeners::bind(&settings.listen).await?;
        let bound_addresses = listeners.addresses()?;
        let me = identity(&settings, bound_addresses)?;
        let components = Components::new(&settings, &me)?;
        let runtime = Arc::clone(&components.runtime);
        let calls = components.calls.clone();
        let requests = Requests::new(Arc::clone(&runtime), components.pending_requests.clone());
        let dialect = Arc::new(dialect);
        let caller_service = settings.caller_service.as_ref().map(|name| name.as_str().into());
        let connection_settings = ConnectionSettings {
            key,
            translation: translation(&settings),
            dialect: Arc::clone(&dialect),
            bulk_limit: settings.bulk_limit(),
            caller_service,
        };
        let mut tasks = JoinSet::new();
        let api = components.spawn(&mut tasks, listeners, me, connection_settings)?;
        if let Some(file) = &settings.addresses_file {
            write_addresses(file, bound_addresses)?;
        }
        let stop_limit = Duration::from_millis(settings.stop_limit_ms);
        Ok(Self {
            addresses: bound_addresses,
            runtime,
            tasks,
            api,
            calls,
            requests,
            dialect,
            stop_limit,
        })
    }

    /// Addresses of the listeners, with the ports that the operating system assigned.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Runtime with the reducer, to inspect its state.
    pub fn runtime(&self) -> &Arc<Runtime> {
        &self.runtime
    }

    /// Handle to the daemon's resource API for use within the program.
    pub fn requests(&self) -> Requests {
        self.requests.clone()
    }

    /// Applies the settings that can change at run time: the seeds. All other settings
    /// take effect at the next start.
    pub fn reload(&self, settings: &Settings) {
        self.runtime.submit(Event::SeedsChanged(settings.seeds.clone()));
    }

    /// Searches for the target of this host, which may have kept running during a restart
    /// of the daemon.
    pub fn find_target(&mut self, target: LocalTarget) {
        let (runtime, requests) = (Arc::clone(&self.runtime), self.requests.clone());
        let dialect = Arc::clone(&self.dialect);
        self.tasks.spawn(local_target::find(runtime, requests, dialect, target));
    }

    /// Waits until the reducer ends the process without a call to [`Daemon::stop`], for
    /// example after a disk failure.
    pub async fn exited(&self) {
        self.runtime.exited().await;
    }

    /// Returns what the process is still doing.
    pub fn open_work(&self) -> OpenWork {
        OpenWork {
            calls: self.runtime.inspect(|state| state.routing().stage_counts()),
            callers: self.calls.caller_connections(),
            proxies: self.calls.proxy_connections(),
            api_requests: self.requests.pending_count(),
        }
    }

    /// Shuts down gracefully: accepts no new work and completes requests in flight.
    ///
    /// Returns false if the configured time limit passed first; requests still in flight
    /// are then aborted.
    pub async fn stop(mut self) -> bool {
        self.api.refuse_requests();
        self.runtime.submit(Event::Stop);
        let completion = async {
            self.runtime.exited().await;
            self.calls.drained().await;
            self.api.drained().await;
        };
        let is_finished = tokio::time::timeout(self.stop_limit, completion).await.is_ok();
        if is_finished {
            // The last messages and responses may still be in send buffers.
            tokio::time::sleep(FINAL_SEND_TIME).await;
        } else {
            self.log_open_work();
        }
        self.abort();
        while self.tasks.join_next().await.is_some() {}
        is_finished
    }

    /// Stops immediately, as a crash would: closes every connection and completes nothing.
    /// Synced data stays on disk.
    pub fn kill(mut self) {
        self.abort();
    }

    fn log_open_work(&self) {
        let (limit_ms, open) = (self.stop_limit.as_millis(), self.open_work());
        let text = format!("the stop limit of {limit_ms} ms passed; open {open}");
        log::write(LogLevel::Warn, LogPart::Daemon, &text);
    }

    fn abort(&mut self) {
        self.api.stop();
        self.tasks.abort_all();
    }
}

/// Time to send the last messages after a graceful shutdown.
const FINAL_SEND_TIME: Duration = Duration::from_millis(50);

/// Settings for the connections of all components.
struct ConnectionSettings {
    key: Option<SharedKey>,
    translation: Translation,
    dialect: Arc<CallDialect>,
    caller_service: Option<CompactString>,
    bulk_limit: Option<BulkLimit>,
}

/// The runtime and the components that are not started yet.
struct Components {
    runtime: Arc<Runtime>,
    peers: peers::PeerCommands,
    calls: CallHandle,
    pending_requests: PendingRequests,
    metrics: Metrics,
}

impl Components {
    /// Recovers the data folder, creates the runtime and starts the disk thread.
    fn new(settings: &Settings, me: &Identity) -> eyre::Result<Self> {
        let (disk_handle, opened_disk, recovered) = open_disk(settings)?;
        let seed = rand::random();
        let state = State::new(me.clone(), core_settings(settings), recovered, seed);
        let (peer_handle, peers) = PeerHandle::new();
        let metrics = Metrics::new(Arc::clone(peer_handle.stats()))?;
        let calls = CallHandle::new();
        let pending_requests = PendingRequests::new();
        let io_handles = IoHandles {
            peers: peer_handle,
            disk: disk_handle,
            pending_requests: pending_requests.clone(),
            calls: calls.clone(),
        };
        let runtime = Runtime::new(state, io_handles);
        if let Some(disk) = opened_disk {
            disk.start(Arc::clone(&runtime));
        }
        Ok(Self { runtime, peers, calls, pending_requests, metrics })
    }

    /// Starts all components.
    fn spawn(
        self,
        tasks: &mut JoinSet<()>,
        listeners: Listeners,
        me: Identity,
        connection_settings: ConnectionSettings,
    ) -> eyre::Result<ApiServer> {
        let runtime = self.runtime;
        let ConnectionSettings { key, translation, dialect, caller_service, bulk_limit } =
            connection_settings;
        let settings = PeerSettings { me, key: key.clone(), translation: translation.clone() };
        tasks.spawn(peers::run(Arc::clone(&runtime), self.peers, listeners.peers, settings));
        let settings =
            CallSettings { key: key.clone(), translation, dialect, caller_service, bulk_limit };
        tasks.spawn(calls::run(
            Arc::clone(&runtime),
            self.calls,
            listeners.calls,
            listeners.forward,
            settings,
        ));
        let api = ApiServer::start(
            Arc::clone(&runtime),
            self.pending_requests,
            listeners.api,
            self.metrics,
            key,
        )?;
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

fn identity(settings: &Settings, bound_addresses: Addresses) -> eyre::Result<Identity> {
    let since_epoch =
        SystemTime::now().duration_since(UNIX_EPOCH).wrap_err("the system clock is before 1970")?;
    let started_unix_ms = since_epoch.as_millis() as u64;
    Ok(Identity {
        id: NodeId::of_host(&settings.host),
        host: settings.host.clone(),
        locality: settings.locality.clone(),
        incarnation: started_unix_ms,
        started_unix_ms,
        addresses: settings.advertised(bound_addresses),
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

// The remaining fields of these settings are for tests; a daemon uses the defaults.
#[allow(clippy::needless_update)]
fn core_settings(settings: &Settings) -> CoreSettings {
    let control = settings.control.as_ref().map(|control| ControlSettings {
        initial_voters: control.initial_voters.iter().map(NodeId::of_host).collect(),
        initial_addresses: match settings.voters.from_seeds {
            true => settings.seeds.clone(),
            false => Vec::new(),
        },
        joins_only: settings.voters.joins_only,
        desired_voter_count: settings.voters.tolerated_losses.map(|losses| 2 * losses + 1),
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

/// Writes the addresses as one JSON object, atomically by a rename.
fn write_addresses(file: &Path, addresses: Addresses) -> eyre::Result<()> {
    let json = serde_json::to_vec_pretty(&addresses)?;
    let partial = file.with_extension("partial");
    std::fs::write(&partial, json)
        .and_then(|()| std::fs::rename(&partial, file))
        .wrap_err_with(|| format!("cannot write the addresses file {}", file.display()))
}
