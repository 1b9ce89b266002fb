//! A daemon starts, answers over HTTP and stops.

use std::time::Duration;

use fireflylug_core::ids::{Locality, Name};
use fireflylug_daemon::Daemon;
use fireflylug_settings::Settings;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn settings(host: &str) -> Settings {
    let name = |text| Name::new(text).unwrap();
    let locality = Locality { region: name("kochi"), availability_zone: name("kochi-aluva") };
    Settings::loopback(name(host), locality)
}

async fn ask(daemon: &Daemon, request: &str) -> String {
    let mut stream = TcpStream::connect(daemon.addresses().api).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[rstest]
#[tokio::test]
async fn several_daemons_answer_in_one_program_and_stop() {
    let mut daemons = Vec::new();
    for index in 0..3 {
        daemons.push(Daemon::start(settings(&format!("host-{index}"))).await.unwrap());
    }

    for daemon in daemons {
        let health = ask(&daemon, "GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n").await;
        let ready = ask(&daemon, "GET /readyz HTTP/1.1\r\nconnection: close\r\n\r\n").await;
        let stopped = tokio::time::timeout(Duration::from_secs(5), daemon.stop()).await;

        assert!(health.starts_with("HTTP/1.1 200"), "{health}");
        assert!(ready.starts_with("HTTP/1.1 503"), "{ready}");
        assert_eq!(stopped, Ok(true));
    }
}
