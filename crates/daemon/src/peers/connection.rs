//! One established connection: reads, writes and keep-alive.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use eyre::{bail, ensure};
use fireflylug_core::Event;
use fireflylug_core::ids::NodeId;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::handshake::{End, Remote};
use super::registry::{Outgoing, Registered};
use super::stats::{RegionStats, TrafficKind};
use crate::Runtime;

/// Time without a received frame after which the peer is pinged, in milliseconds.
const PING_AFTER_MS: u64 = 1_200;

/// Time without a received frame after which the connection is closed as broken, in
/// milliseconds.
const RECEIVE_TIMEOUT_MS: u64 = 3_000;

/// Idle timeout: time without a message after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 90_000;

/// Interval between checks of these timeouts, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 600;

type Socket = WebSocketStream<TcpStream>;

/// A connection with a completed handshake.
pub(super) struct Connection {
    pub runtime: Arc<Runtime>,
    pub remote: Remote,
    pub end: End,
    pub stats: Arc<RegionStats>,
}

/// Times of the last received frame and of the last message in either direction, in
/// milliseconds since `opened`.
struct Activity {
    opened: Instant,
    frame_at_ms: AtomicU64,
    message_at_ms: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            frame_at_ms: AtomicU64::new(0),
            message_at_ms: AtomicU64::new(0),
        }
    }

    fn now_ms(&self) -> u64 {
        self.opened.elapsed().as_millis() as u64
    }

    fn record_frame(&self) {
        self.frame_at_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    fn record_message(&self) {
        self.message_at_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    fn frame_age_ms(&self) -> u64 {
        self.now_ms().saturating_sub(self.frame_at_ms.load(Ordering::Relaxed))
    }

    fn message_age_ms(&self) -> u64 {
        self.now_ms().saturating_sub(self.message_at_ms.load(Ordering::Relaxed))
    }
}

impl Connection {
    /// Runs until either end closes the connection. Reads and writes run concurrently:
    /// otherwise two ends that both block on a write would deadlock.
    pub async fn run(&self, socket: Socket, registered: Registered) -> eyre::Result<()> {
        let Registered { receiver, queued_bytes, cancel, .. } = registered;
        let (sink, stream) = socket.split();
        let activity = Activity::new();
        tokio::select! {
            result = self.read(stream, &activity) => result,
            result = self.write(sink, receiver, &queued_bytes, &activity) => result,
            () = cancel.cancelled() => Ok(()),
        }
    }

    async fn read(&self, mut stream: SplitStream<Socket>, activity: &Activity) -> eyre::Result<()> {
        while let Some(frame) = stream.next().await {
            let frame = frame?;
            activity.record_frame();
            let bytes = match frame {
                Message::Binary(bytes) => bytes,
                Message::Ping(_) | Message::Pong(_) => {
                    self.stats.received(TrafficKind::Transport, self.header_bytes(0, true));
                    continue;
                }
                Message::Close(_) => return Ok(()),
                Message::Text(_) | Message::Frame(_) => {
                    bail!("received a frame that is not binary")
                }
            };
            activity.record_message();
            let message = fireflylug_wire::decode(&bytes)?;
            let wire_bytes = bytes.len() + self.header_bytes(bytes.len(), true);
            self.stats.received(TrafficKind::from(&message), wire_bytes);
            let from: NodeId = self.remote.id;
            self.runtime.submit(Event::PeerMessage { from, message });
        }
        Ok(())
    }

    async fn write(
        &self,
        mut sink: SplitSink<Socket, Message>,
        mut receiver: mpsc::Receiver<Outgoing>,
        queued_bytes: &AtomicUsize,
        activity: &Activity,
    ) -> eyre::Result<()> {
        let mut check = tokio::time::interval(Duration::from_millis(CHECK_INTERVAL_MS));
        loop {
            tokio::select! {
                outgoing = receiver.recv() => {
                    let Some(outgoing) = outgoing else { return Ok(()) };
                    activity.record_message();
                    self.feed(&mut sink, outgoing, queued_bytes).await?;
                    // One flush sends all queued messages.
                    while let Ok(outgoing) = receiver.try_recv() {
                        self.feed(&mut sink, outgoing, queued_bytes).await?;
                    }
                    sink.flush().await?;
                }
                _ = check.tick() => self.check_timeouts(&mut sink, activity).await?,
            }
        }
    }

    async fn feed(
        &self,
        sink: &mut SplitSink<Socket, Message>,
        outgoing: Outgoing,
        queued_bytes: &AtomicUsize,
    ) -> eyre::Result<()> {
        let len = outgoing.bytes.len();
        sink.feed(Message::binary(outgoing.bytes)).await?;
        queued_bytes.fetch_sub(len, Ordering::Relaxed);
        self.stats.sent(outgoing.kind, len + self.header_bytes(len, false));
        Ok(())
    }

    async fn check_timeouts(
        &self,
        sink: &mut SplitSink<Socket, Message>,
        activity: &Activity,
    ) -> eyre::Result<()> {
        ensure!(
            activity.frame_age_ms() < RECEIVE_TIMEOUT_MS,
            "no frame was received within the timeout"
        );
        if self.end == End::Dialer && activity.message_age_ms() >= IDLE_TIMEOUT_MS {
            let _ = sink.close().await;
            return Ok(());
        }
        if activity.frame_age_ms() >= PING_AFTER_MS {
            sink.send(Message::Ping(Default::default())).await?;
            self.stats.sent(TrafficKind::Transport, self.header_bytes(0, false));
        }
        Ok(())
    }

    /// Length of a frame header, in bytes. The dialer masks its frames, as WebSocket clients do.
    fn header_bytes(&self, payload_bytes: usize, is_received: bool) -> usize {
        let is_masked = (self.end == End::Dialer) != is_received;
        let mask_bytes = if is_masked { 4 } else { 0 };
        let length_bytes = match payload_bytes {
            0..126 => 0,
            126..65_536 => 2,
            _ => 8,
        };
        2 + length_bytes + mask_bytes
    }
}
