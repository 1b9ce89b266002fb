//! Socket of a caller, which reads ahead while a call is in progress.

use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::FutureExt;
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::time::{Sleep, sleep};

use super::Pipeline;
use crate::calls::socket::Socket;

/// Maximum number of bytes of one read.
const READ_BYTES: usize = 16 * 1024;
/// Interval of the checks whether the caller closed the connection, while the socket is not read.
/// A call that its caller abandoned must have ended at its target within half a second.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time for which a closed connection with pipelined requests is drained.
const MAX_DRAIN: Duration = Duration::from_secs(2);

/// Socket of a caller.
pub(in crate::calls) struct CallerSocket {
    socket: Socket,
    /// `None` on a connection of another proxy.
    pipeline: Option<Arc<Pipeline>>,
    /// Runs while the socket is not read, and while the closed connection is drained.
    timer: Option<Pin<Box<Sleep>>>,
    is_shut_down: bool,
}

impl CallerSocket {
    /// Creates a socket that reads ahead for `pipeline`.
    pub fn new(socket: Socket, pipeline: Option<Arc<Pipeline>>) -> Self {
        Self { socket, pipeline, timer: None, is_shut_down: false }
    }

    /// Waits while the socket may not be read. Ready if the caller closed the connection.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let ready = self.socket.stream().ready(Interest::READABLE).now_or_never();
            if ready.and_then(Result::ok).is_some_and(|ready| ready.is_read_closed()) {
                return Poll::Ready(());
            }
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(CLOSE_CHECK_INTERVAL)));
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
    }

    /// Discards what the caller sends until it closes the connection. Unread bytes at the close
    /// would reset the connection, and the responses that have not left the host would be lost.
    fn poll_drain(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(MAX_DRAIN)));
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        loop {
            let mut read = ReadBuf::uninit(&mut bytes);
            match ready!(Pin::new(self.socket.stream_mut()).poll_read(cx, &mut read)) {
                Ok(()) if !read.filled().is_empty() => {}
                _ => return Poll::Ready(()),
            }
        }
    }
}

impl Read for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let Some(pipeline) = self.pipeline.clone() else {
            return Pin::new(&mut self.socket).poll_read(cx, cursor);
        };
        let mut state = pipeline.state();
        state.read_ahead.check_framing();
        loop {
            let remaining = cursor.remaining();
            if state.read_ahead.deliver_buffered(remaining, |bytes| cursor.put_slice(bytes)) {
                return Poll::Ready(Ok(()));
            }
            let may_start = pipeline.start_early_calls(&mut state);
            state.read_ahead.set_waker(cx.waker());
            let is_holding = state.read_ahead.is_holding();
            let limit = if is_holding { state.read_ahead.free_bytes() } else { cursor.remaining() };
            if !may_start || limit == 0 {
                return self.poll_closed(cx).map(Ok);
            }
            self.timer = None;
            let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
            let mut read = ReadBuf::uninit(&mut bytes[..limit.min(READ_BYTES)]);
            ready!(Pin::new(self.socket.stream_mut()).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            state.read_ahead.receive(read.filled(), |bytes| cursor.put_slice(bytes));
            if !is_holding {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl Write for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if !self.is_shut_down {
            ready!(Pin::new(&mut self.socket).poll_shutdown(cx))?;
            self.is_shut_down = true;
            self.timer = None;
        }
        let is_pipelined = |pipeline: &Arc<Pipeline>| pipeline.state().read_ahead.is_pipelined();
        if self.pipeline.as_ref().is_some_and(is_pipelined) {
            return self.poll_drain(cx).map(Ok);
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, slices)
    }
}
