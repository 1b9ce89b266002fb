//! Connections between daemons: joining, restarts, wrong keys and garbage.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fireflylug_core::ids::{Locality, Name};
use fireflylug_core::membership::MemberStatus;
use fireflylug_daemon::Daemon;
use fireflylug_daemon::peers::TrafficKind;
use fireflylug_settings::Settings;
use rstest::rstest;
use tempfile::NamedTempFile;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn settings(host: &str, seeds: &[SocketAddr]) -> Settings {
    let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
    Settings::loopback(name(host), locality).with_seeds(seeds.to_vec())
}

fn key_file(bytes: &[u8]) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), bytes).unwrap();
    file
}

fn with_key(mut settings: Settings, key: &NamedTempFile) -> Settings {
    settings.key_file = Some(key.path().to_owned());
    settings
}

fn alive_members(daemon: &Daemon) -> usize {
    daemon.runtime().inspect(|state| {
        let members = state.membership().members();
        members.filter(|member| member.status == MemberStatus::Alive).count()
    })
}

async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "waited too long for {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[rstest]
#[tokio::test]
async fn daemons_join_through_one_seed_and_count_bytes() {
    let seed = Daemon::start(settings("host-0", &[])).await.unwrap();
    let seeds = [seed.addresses().peers];

    let first = Daemon::start(settings("host-1", &seeds)).await.unwrap();
    let second = Daemon::start(settings("host-2", &seeds)).await.unwrap();

    for daemon in [&seed, &first, &second] {
        wait_for("three members", || alive_members(daemon) == 3).await;
    }
    let rows = seed.runtime().peer_stats().rows();
    let row = rows.iter().find(|row| row.kind == TrafficKind::Membership).unwrap();
    assert_eq!(row.region, name("kochi"));
    assert!(row.traffic.sent_bytes > 0 && row.traffic.received_bytes > 0);
}

#[rstest]
#[tokio::test]
async fn daemon_that_was_killed_and_restarted_is_a_member_again() {
    let seed = Daemon::start(settings("host-0", &[])).await.unwrap();
    let seeds = [seed.addresses().peers];
    let mut restarted = settings("host-1", &seeds);
    let killed = Daemon::start(restarted.clone()).await.unwrap();
    wait_for("two members", || alive_members(&seed) == 2).await;
    let before = incarnation(&seed, "host-1");
    restarted.listen = killed.addresses();
    killed.kill();

    let again = start_when_free(restarted).await;

    wait_for("the new start", || incarnation(&seed, "host-1") > before).await;
    wait_for("two members", || alive_members(&seed) == 2 && alive_members(&again) == 2).await;
}

/// Starts a daemon at the addresses of a killed one, with retries until they are free.
async fn start_when_free(settings: Settings) -> Daemon {
    for _ in 0..500 {
        match Daemon::start(settings.clone()).await {
            Ok(daemon) => return daemon,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
    panic!("the addresses stay in use");
}

fn incarnation(daemon: &Daemon, host: &str) -> u64 {
    daemon.runtime().inspect(|state| {
        let members = state.membership().members();
        members.filter(|member| member.host == name(host)).map(|member| member.incarnation).sum()
    })
}

/// Forwards connections to `upstream` and counts them.
async fn counting_front(upstream: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut server = TcpStream::connect(upstream).await.unwrap();
                let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
            });
        }
    });
    (address, count)
}

/// A dial of a seed that was connected already replaced the connection, and the messages in
/// transit on it were lost.
#[rstest]
#[tokio::test]
async fn connected_seed_is_not_dialed_again() {
    let seed = Daemon::start(settings("host-0", &[])).await.unwrap();
    let other_seed = Daemon::start(settings("host-1", &[])).await.unwrap();
    let (seed_address, other_address) = (seed.addresses().peers, other_seed.addresses().peers);
    let (front, connections) = counting_front(seed_address).await;
    let mut joining = settings("host-2", &[seed_address]);
    joining.translate = vec![(seed_address, front)];
    let daemon = Daemon::start(joining.clone()).await.unwrap();
    wait_for("the seed", || alive_members(&daemon) == 2).await;
    let before = connections.load(Ordering::Relaxed);

    daemon.reload(&joining.with_seeds(vec![seed_address, other_address]));
    wait_for("the other seed", || alive_members(&daemon) == 3).await;

    assert_eq!(connections.load(Ordering::Relaxed), before);
}

#[rstest]
#[tokio::test]
async fn daemon_with_another_key_is_refused() {
    let right = key_file(b"the-right-key-of-this-mesh");
    let wrong = key_file(b"another-key-of-a-mesh-here");
    let seed = Daemon::start(with_key(settings("host-0", &[]), &right)).await.unwrap();
    let seeds = [seed.addresses().peers];

    let untrusted = Daemon::start(with_key(settings("stranger", &seeds), &wrong)).await.unwrap();
    let trusted = Daemon::start(with_key(settings("friend", &seeds), &right)).await.unwrap();

    wait_for("the trusted daemon", || alive_members(&seed) == 2 && alive_members(&trusted) == 2)
        .await;
    assert_eq!(incarnation(&seed, "stranger"), 0);
    assert_eq!(alive_members(&untrusted), 1);
}

#[rstest]
#[case::not_http(b"\x00\xff\x13garbage without meaning\r\n\r\n".as_slice())]
#[case::plain_http(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".as_slice())]
#[tokio::test]
async fn garbage_closes_its_own_connection_only(#[case] garbage: &[u8]) {
    let seed = Daemon::start(settings("host-0", &[])).await.unwrap();
    let peers = seed.addresses().peers;

    let mut stream = TcpStream::connect(peers).await.unwrap();
    stream.write_all(garbage).await.unwrap();
    let mut answer = Vec::new();
    let closed = stream.read_to_end(&mut answer).await;

    drop(closed);
    let trusted = Daemon::start(settings("friend", &[peers])).await.unwrap();
    wait_for("the trusted daemon", || alive_members(&seed) == 2 && alive_members(&trusted) == 2)
        .await;
}
