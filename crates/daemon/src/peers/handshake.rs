//! The handshake of a connection: who is there, and proof of the shared key.
//!
//! Both ends greet with a fresh nonce and prove the key by a keyed hash over
//! both greetings, so the key itself does not cross and no proof can be replayed.

use eyre::{WrapErr, bail, ensure, eyre};
use fireflylug_core::context::Identity;
use fireflylug_core::ids::{Locality, Name, NodeId};
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::SharedKey;

/// Version of the protocol between processes. Both ends must speak the same.
const PROTOCOL_VERSION: u32 = 1;

/// Context string of the derivation of the handshake key.
const KEY_CONTEXT: &str = "fireflylug peer handshake v1";

/// Longest greeting, in bytes.
const MAX_GREETING_BYTES: usize = 1024;

/// Which end of a connection a process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// It opened the connection.
    Dialer,
    /// It accepted the connection.
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

/// What one end says of itself.
#[derive(Debug, Deserialize, Serialize)]
struct Greeting {
    protocol: u32,
    host: Name,
    locality: Locality,
    incarnation: u64,
    nonce: [u8; 16],
}

/// Who is at the other end.
#[derive(Clone, Debug)]
pub(super) struct Remote {
    pub id: NodeId,
    pub locality: Locality,
    pub incarnation: u64,
}

/// Runs the handshake and returns who is at the other end.
pub(super) async fn run(
    socket: &mut WebSocketStream<TcpStream>,
    end: End,
    me: &Identity,
    key: Option<&SharedKey>,
) -> eyre::Result<Remote> {
    let mine = encode(&greeting(me));
    socket.send(Message::binary(mine.clone())).await?;
    let theirs = receive(socket).await?;
    let remote = check(&theirs, me)?;
    let (dialer, acceptor) = match end {
        End::Dialer => (&mine, &theirs),
        End::Acceptor => (&theirs, &mine),
    };
    let proof = |end: End| prove(key, end, dialer, acceptor);
    socket.send(Message::binary(proof(end).as_bytes().to_vec())).await?;
    let given: [u8; 32] = receive(socket)
        .await?
        .try_into()
        .map_err(|_| eyre!("the proof of the shared key is not in form"))?;
    // This comparison takes the same time for every wrong proof.
    ensure!(
        proof(end.other()) == given,
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
    ciborium::into_writer(greeting, &mut bytes).expect("a vector takes every byte");
    bytes
}

async fn receive(socket: &mut WebSocketStream<TcpStream>) -> eyre::Result<Vec<u8>> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) if bytes.len() <= MAX_GREETING_BYTES => Ok(bytes.into()),
        Some(Ok(_)) => bail!("the handshake is not in form"),
        Some(Err(error)) => Err(error).wrap_err("the handshake failed"),
        None => bail!("the connection closed during the handshake"),
    }
}

fn check(bytes: &[u8], me: &Identity) -> eyre::Result<Remote> {
    let greeting: Greeting =
        ciborium::from_reader(bytes).map_err(|_| eyre!("the greeting is not in form"))?;
    ensure!(
        greeting.protocol == PROTOCOL_VERSION,
        "protocol version {} is not {PROTOCOL_VERSION}: run the same release on every host",
        greeting.protocol
    );
    let id = NodeId::of_host(&greeting.host);
    ensure!(
        id != me.id || greeting.incarnation != me.incarnation,
        "the address is this process's own"
    );
    ensure!(id != me.id, "another process has this host's name {}", greeting.host);
    Ok(Remote { id, locality: greeting.locality, incarnation: greeting.incarnation })
}

fn prove(key: Option<&SharedKey>, end: End, dialer: &[u8], acceptor: &[u8]) -> blake3::Hash {
    let key = blake3::derive_key(KEY_CONTEXT, key.map_or(&[], SharedKey::as_bytes));
    let mut hasher = blake3::Hasher::new_keyed(&key);
    for part in [end.label(), dialer, acceptor] {
        // Lengths keep the parts apart.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize()
}
