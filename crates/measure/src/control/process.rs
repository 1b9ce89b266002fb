//! A daemon as a process of its own, and what it uses.

use std::process::Stdio;
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure, eyre};
use fireflylug_core::context::Addresses;
use fireflylug_settings::Settings;
use tempfile::TempDir;
use tokio::process::{Child, Command};

/// Longest wait until a process has written its addresses.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A running process. Killed when dropped.
pub struct DaemonProcess {
    /// Where it listens.
    pub addresses: Addresses,
    pid: u32,
    _child: Child,
    _dir: TempDir,
}

impl DaemonProcess {
    /// Starts the daemon beside this tool's own binary and waits until it listens.
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
        let pid = child.id().ok_or_else(|| eyre!("the daemon ended at once"))?;
        let started_at = Instant::now();
        while !addresses_file.exists() {
            ensure!(started_at.elapsed() < START_LIMIT, "the daemon does not listen");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let addresses = serde_json::from_slice(&std::fs::read(&addresses_file)?)?;
        Ok(Self { addresses, pid, _child: child, _dir: dir })
    }

    /// Processor time used so far by every thread, in microseconds.
    pub fn cpu_us(&self) -> eyre::Result<u64> {
        let mut total_ns = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.pid))? {
            // A thread may end between the listing and the look.
            let Ok(text) = std::fs::read_to_string(task?.path().join("schedstat")) else {
                continue;
            };
            let ns = text.split_whitespace().next().and_then(|ns| ns.parse::<u64>().ok());
            total_ns += ns.ok_or_else(|| eyre!("schedstat is not as expected: {text:?}"))?;
        }
        Ok(total_ns / 1_000)
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(&self) -> eyre::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        Ok(kb.ok_or_else(|| eyre!("no VmRSS in the status of the daemon"))? * 1_024)
    }
}
