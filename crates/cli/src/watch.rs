//! Command `watch`, and the wait until a version is in force.

use std::time::Duration;

use bytes::BytesMut;
use fireflylug_core::api::{ApiError, WatchEvent};
use fireflylug_core::distribution::{Progress, ZoneProgress};
use fireflylug_core::ids::Version;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::client::Client;
use crate::{CliError, output};

/// Time without any line, including empty ones, after which a watch counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay before a broken watch is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(500);
/// Largest accepted line, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of hosts that a progress line lists per availability zone.
const MAX_NAMED_HOSTS: usize = 5;

/// Prints events as JSON lines until interrupted. Reopens a broken watch after the
/// last printed version.
pub async fn print_events(client: &mut Client, from: Option<Version>) -> Result<(), CliError> {
    let mut from = from;
    loop {
        let mut lines = open_lines(client, from).await?;
        while let Some(line) = lines.next().await {
            let event = parse_event(&line)?;
            if let WatchEvent::Accepted { version, .. } | WatchEvent::Started { version, .. } =
                &event
            {
                from = from.max(Some(*version));
            }
            output::line(&line)?;
        }
        eprintln!("fireflylug: the watch was interrupted; reopening it");
        client.next_address();
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Waits until `version` is in force on every proxy and prints the progress.
pub async fn wait_in_force(
    client: &mut Client,
    version: Version,
    limit_s: u64,
) -> Result<(), CliError> {
    let timeout = Duration::from_secs(limit_s);
    tokio::time::timeout(timeout, follow_until_in_force(client, version))
        .await
        .unwrap_or(Err(CliError::NotInForce { version: version.0, limit_s }))
}

async fn follow_until_in_force(client: &mut Client, version: Version) -> Result<(), CliError> {
    let mut last_printed = String::new();
    loop {
        let mut lines = open_lines(client, Some(version)).await?;
        while let Some(line) = lines.next().await {
            match parse_event(&line)? {
                WatchEvent::InForce { version: event_version, proxies }
                    if event_version >= version =>
                {
                    eprintln!("version {version} is in force on all {proxies} proxies");
                    return Ok(());
                }
                WatchEvent::Started { in_force, .. } if in_force >= version => {
                    eprintln!("version {version} is in force");
                    return Ok(());
                }
                WatchEvent::Progress(progress) => {
                    let text = progress_line(&progress);
                    if text != last_printed {
                        eprintln!("{text}");
                        last_printed = text;
                    }
                }
                _ => {}
            }
        }
        client.next_address();
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Describes the progress of a version and the availability zones that it is pending in.
pub fn progress_line(progress: &Progress) -> String {
    let in_force: u32 = progress.zones.iter().map(|zone| zone.in_force).sum();
    let proxies: u32 = progress.zones.iter().map(|zone| zone.proxies).sum();
    let pending = progress.zones.iter().filter(|z| z.in_force < z.proxies || z.cut_off);
    let pending: Vec<String> = pending.map(pending_zone).collect();
    format!(
        "version {}: in force on {in_force} of {proxies} proxies; waiting for {}",
        progress.version,
        pending.join(", ")
    )
}

fn pending_zone(zone: &ZoneProgress) -> String {
    let missing = zone.proxies.saturating_sub(zone.in_force);
    let mut text = format!("{} ({missing} of {}", zone.availability_zone, zone.proxies);
    if zone.cut_off {
        text.push_str(", cut off");
    } else if !zone.unreachable.is_empty() {
        let hosts: Vec<&str> =
            zone.unreachable.iter().take(MAX_NAMED_HOSTS).map(|host| host.as_str()).collect();
        text.push_str(&format!(", unreachable: {}", hosts.join(" ")));
    }
    text.push(')');
    text
}

async fn open_lines(client: &mut Client, from: Option<Version>) -> Result<Lines, CliError> {
    let path = match from {
        Some(version) => format!("/v1/watch?from={version}"),
        None => "/v1/watch".to_owned(),
    };
    Ok(Lines { body: client.open_watch(&path).await?, buffer: BytesMut::new() })
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Event(WatchEvent),
    Error { error: ApiError },
}

fn parse_event(line: &str) -> Result<WatchEvent, CliError> {
    match serde_json::from_str(line) {
        Ok(Line::Event(event)) => Ok(event),
        Ok(Line::Error { error }) => Err(CliError::Refused(error)),
        Err(error) => Err(CliError::Failed(format!("malformed event: {error}: {line}"))),
    }
}

/// Splits the response body of a watch into lines.
struct Lines {
    body: Incoming,
    buffer: BytesMut,
}

impl Lines {
    /// Returns the next non-empty line. None if the watch ended, timed out or sent
    /// an oversized line.
    async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let line = String::from_utf8_lossy(line.trim_ascii()).into_owned();
                if line.is_empty() {
                    continue;
                }
                return Some(line);
            }
            let frame = tokio::time::timeout(IDLE_TIMEOUT, self.body.frame()).await.ok()??.ok()?;
            self.buffer.extend_from_slice(frame.data_ref()?);
            if self.buffer.len() > MAX_LINE_BYTES {
                return None;
            }
        }
    }
}
