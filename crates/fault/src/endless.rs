//! A target stand-in that responds with bytes without end.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Number of pieces that are written at a time.
const PIECES_PER_WRITE: usize = 1_024;

/// A target that responds with a beginning, followed by a piece that is repeated until the
/// connection is closed. Stops to accept when dropped.
pub struct EndlessTarget {
    address: SocketAddr,
    written_bytes: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
    accept_task: JoinHandle<()>,
}

impl EndlessTarget {
    /// Starts a target on a loopback port assigned by the operating system.
    pub async fn start(begin: &'static str, piece: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (written_bytes, closed) =
            (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (written, ended) = (Arc::clone(&written_bytes), Arc::clone(&closed));
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (written, ended) = (Arc::clone(&written), Arc::clone(&ended));
                tokio::spawn(async move {
                    write_endlessly(stream, begin, piece, &written).await;
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Self { address, written_bytes, closed, accept_task })
    }

    /// Returns the address at which the target accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of bytes of repeated pieces that were written, over all connections.
    pub fn written_bytes(&self) -> usize {
        self.written_bytes.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that were closed by the other end.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn write_endlessly(mut stream: TcpStream, begin: &str, piece: &str, written: &AtomicUsize) {
    let mut head = [0; 4_096];
    if stream.read(&mut head).await.is_err() || stream.write_all(begin.as_bytes()).await.is_err() {
        return;
    }
    let pieces = piece.repeat(PIECES_PER_WRITE);
    while stream.write_all(pieces.as_bytes()).await.is_ok() {
        written.fetch_add(pieces.len(), Ordering::SeqCst);
    }
}
