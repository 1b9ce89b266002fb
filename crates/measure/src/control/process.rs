//! A daemon that runs as a separate process, and its resource usage.

use std::process::Stdio;
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure, eyre};
use fireflylug_core::context::Addresses;
use fireflylug_settings::Settings;
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// Maximum wait until a process has written its addresses.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A running daemon process. Killed when dropped.
pub struct DaemonProcess {
    /// Addresses that it listens on.
    pub addresses: Addresses,
    pid: u32,
    _child: Child,
    _dir: TempDir,
}

impl DaemonProcess {
    /// Starts the daemon binary in the directory of this tool's binary, and waits until it listens.
    pub async fn start(settings: &Settings) -> eyre::Result<Self> {
        let dir = TempDir::new()?;
        let addresses_file = dir.path().join("addresses.json");
        let file = dir.path().join("fireflylugd.ini");
        let mut settings = settings.clone();
        settings.addresses_file = Some(addresses_file.clone());
        std::fs::write(&file, settings.to_ini())?;
        let binary = std::env::current_exe()?.with_file_name("fireflylugd");
        let child = Command::new(&binary)
            .arg("--config")
            .arg(&file)
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}; build it first", binary.display()))?;
        let pid = child.id().ok_or_else(|| eyre!("the daemon exited right after its start"))?;
        let started_at = Instant::now();
        while !addresses_file.exists() {
            ensure!(
                started_at.elapsed() < START_LIMIT,
                "the daemon did not write its addresses in time"
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let addresses = serde_json::from_slice(&std::fs::read(&addresses_file)?)?;
        Ok(Self { addresses, pid, _child: child, _dir: dir })
    }

    /// Returns the processor time used so far by all threads, in microseconds.
    pub fn cpu_us(&self) -> eyre::Result<u64> {
        let mut total_ns = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.pid))? {
            // A thread may exit between the listing and the read.
            let Ok(text) = std::fs::read_to_string(task?.path().join("schedstat")) else {
                continue;
            };
            let ns = text.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok());
            total_ns += ns.ok_or_else(|| eyre!("unexpected format of schedstat: {text:?}"))?;
        }
        Ok(total_ns / 1_000)
    }

    /// Returns the resident memory, in bytes.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        Ok(kb.ok_or_else(|| eyre!("no VmRSS in /proc/PID/status of the daemon"))? * 1_024)
    }
}
