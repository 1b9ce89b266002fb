//! Connection handshake: identifies both ends and proves the shared key.
//!
//! Each end sends a greeting with a fresh nonce, then a keyed hash over both greetings.
//! The key itself is not sent, and no proof can be replayed.

use eyre::{WrapErr, bail, ensure, eyre};
use fireflylug_core::context::Identity;
use fireflylug_core::ids::{Locality, Name, NodeId};
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::SharedKey;

/// Version of the protocol between processes. Must be equal at both ends.
const PROTOCOL_VERSION: u32 = 2;

/// Context string for the derivation of the handshake key.
const KEY_CONTEXT: &str = "fireflylug peer handshake v1";

/// Maximum size of a greeting, in bytes.
const MAX_GREETING_BYTES: usize = 1024;

/// Role of a process in a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// Opened the connection.
    Dialer,
    /// Accepted the connection.
    Acceptor,
}

impl End {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Dialer => b"dialer",
            Self::Acceptor => b"acceptor",
        }
    }

    fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }
}

/// Identity of one end, as sent in the handshake.
#[derive(Debug, Deserialize, Serialize)]
struct Greeting {
    protocol: u32,
    host: Name,
    locality: Locality,
    incarnation: u64,
    nonce: [u8; 16],
}

/// Identity of the peer.
#[derive(Clone, Debug)]
pub(super) struct Remote {
    pub id: NodeId,
    pub locality: Locality,
    pub incarnation: u64,
}

/// Runs the handshake and returns the identity of the peer.
pub(super) async fn run(
    socket: &mut WebSocketStream<TcpStream>,
    end: End,
    me: &Identity,
    key: Option<&SharedKey>,
) -> eyre::Result<Remote> {
    let local_greeting = encode(&greeting(me));
    socket.send(Message::binary(local_greeting.clone())).await?;
    let remote_greeting = receive(socket).await?;
    let remote = check_greeting(&remote_greeting, me)?;
    let (dialer, acceptor) = match end {
        End::Dialer => (&local_greeting, &remote_greeting),
        End::Acceptor => (&remote_greeting, &local_greeting),
    };
    let proof = |end: End| prove(key, end, dialer, acceptor);
    socket.send(Message::binary(proof(end).as_bytes().to_vec())).await?;
    let remote_proof: [u8; 32] = receive(socket)
        .await?
        .try_into()
        .map_err(|_| eyre!("the proof of the shared key is malformed"))?;
    // The comparison takes constant time.
    ensure!(
        proof(end.other()) == remote_proof,
        "the shared keys differ: use the same key file on every host"
    );
    Ok(remote)
}

fn greeting(me: &Identity) -> Greeting {
    Greeting {
        protocol: PROTOCOL_VERSION,
        host: me.host.clone(),
        locality: me.locality.clone(),
        incarnation: me.incarnation,
        nonce: rand::random(),
    }
}

fn encode(greeting: &Greeting) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(greeting, &mut bytes).expect("writing to a vector cannot fail");
    bytes
}

async fn receive(socket: &mut WebSocketStream<TcpStream>) -> eyre::Result<Vec<u8>> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) if bytes.len() <= MAX_GREETING_BYTES => Ok(bytes.into()),
        Some(Ok(_)) => bail!("a handshake message is malformed"),
        Some(Err(error)) => Err(error).wrap_err("the handshake failed"),
        None => bail!("the connection closed during the handshake"),
    }
}

fn check_greeting(bytes: &[u8], me: &Identity) -> eyre::Result<Remote> {
    let greeting: Greeting =
        ciborium::from_reader(bytes).map_err(|_| eyre!("the greeting is malformed"))?;
    ensure!(
        greeting.protocol == PROTOCOL_VERSION,
        "protocol version {} differs from {PROTOCOL_VERSION}: run the same release on every host",
        greeting.protocol
    );
    let id = NodeId::of_host(&greeting.host);
    ensure!(
        id != me.id || greeting.incarnation != me.incarnation,
        "the address belongs to this process itself"
    );
    ensure!(id != me.id, "another process uses the name of this host, {}", greeting.host);
    Ok(Remote { id, locality: greeting.locality, incarnation: greeting.incarnation })
}

fn prove(key: Option<&SharedKey>, end: End, dialer: &[u8], acceptor: &[u8]) -> blake3::Hash {
    let key = blake3::derive_key(KEY_CONTEXT, key.map_or(&[], SharedKey::as_bytes));
    let mut hasher = blake3::Hasher::new_keyed(&key);
    for part in [end.label(), dialer, acceptor] {
        // Length prefixes make the concatenation unambiguous.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}
