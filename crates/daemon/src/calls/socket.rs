//! A socket that can be reset, which discards written bytes that have not left the host.
//!
//! On a saturated link the bytes of a call may stay in the send buffer until after its
//! caller timed out. An orderly close would follow them, and the call would still arrive.
//! To a caller, an orderly close may look like the end of its response.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::open_connections::{ConnectionStage, OpenConnection};

/// Flag that selects a reset instead of an orderly close of a socket.
#[derive(Clone, Debug, Default)]
pub(super) struct ResetFlag(Arc<AtomicBool>);

impl ResetFlag {
    /// Returns a guard that sets the flag when dropped, unless disarmed.
    pub fn arm(self) -> ResetGuard {
        ResetGuard(Some(self))
    }

    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Sets its [`ResetFlag`] when dropped.
#[derive(Debug)]
pub(super) struct ResetGuard(Option<ResetFlag>);

impl ResetGuard {
    /// Returns the flag without setting it.
    pub fn disarm(mut self) -> ResetFlag {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for ResetGuard {
    fn drop(&mut self) {
        if let Some(flag) = &self.0 {
            flag.set();
        }
    }
}

/// Connection of a caller, or of the proxy that forwarded its call.
#[derive(Debug)]
pub(super) struct CallerConnection {
    reset: ResetFlag,
    aborted: Notify,
    open: OpenConnection,
}

impl CallerConnection {
    /// Creates the state of a connection that is counted in `open`.
    pub fn new(open: OpenConnection) -> Self {
        Self { reset: ResetFlag::default(), aborted: Notify::new(), open }
    }

    /// Records what the connection is doing.
    pub fn set_stage(&self, stage: ConnectionStage) {
        self.open.set_stage(stage);
    }

    /// Whether a call has arrived.
    pub fn is_used(&self) -> bool {
        self.open.is_used()
    }

    /// Creates the socket of the connection.
    pub fn socket(&self, stream: TcpStream) -> Socket {
        Socket::new(stream, self.reset.clone())
    }

    /// Resets the connection, so that no part of a response is taken for the whole.
    pub fn abort(&self) {
        self.reset.set();
        self.aborted.notify_one();
    }

    /// Waits until the connection has to be dropped.
    pub async fn aborted(&self) {
        self.aborted.notified().await;
    }
}

/// A connected socket.
#[derive(Debug)]
pub(super) struct Socket {
    io: TokioIo<TcpStream>,
    reset: ResetFlag,
}

impl Socket {
    /// Creates a socket that is reset on close if `reset` is set.
    pub fn new(stream: TcpStream, reset: ResetFlag) -> Self {
        Self { io: TokioIo::new(stream), reset }
    }

    /// The connected stream.
    pub fn stream(&self) -> &TcpStream {
        self.io.inner()
    }

    /// The connected stream, to read from it.
    pub fn stream_mut(&mut self) -> &mut TcpStream {
        self.io.inner_mut()
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.reset.is_set() {
            // If this fails, the socket is closed in order.
            let _ = self.io.inner().set_zero_linger();
        }
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.reset.is_set() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, slices)
    }
}
