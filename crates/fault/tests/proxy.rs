//! Checks the proxy and the target stand-in that other tests depend on.

use std::io;
use std::net::SocketAddr;

use fireflylug_fault::{
    Direction, FaultProxy, Faults, Mode, ResetStage, TargetOptions, TargetStandIn,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CALL: &[u8] = b"GET / HTTP/1.1\r\nhost: t\r\nx-request-id: a\r\nconnection: close\r\n\r\n";

async fn target_and_proxy(options: TargetOptions) -> (TargetStandIn, FaultProxy) {
    let target = TargetStandIn::start(options).await.expect("loopback");
    let proxy = FaultProxy::start(target.address()).await.expect("loopback");
    (target, proxy)
}

async fn call(address: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(CALL).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer)
}

#[tokio::test]
async fn bytes_pass_late_and_are_counted() {
    let (target, proxy) = target_and_proxy(TargetOptions::new().with_body_bytes(40_000)).await;
    let faults = Faults::new().with_latency_us(10_000);
    proxy.link().set_faults(Direction::Forward, faults);
    proxy.link().set_faults(Direction::Backward, faults);
    let started = std::time::Instant::now();

    let answer = call(proxy.address()).await.expect("a response");

    assert!(answer.ends_with(b"xx"));
    assert!(started.elapsed().as_millis() >= 20, "each direction takes 10 ms at least");
    assert_eq!(proxy.link().bytes(Direction::Forward), CALL.len() as u64);
    assert_eq!(proxy.link().bytes(Direction::Backward), answer.len() as u64);
    assert_eq!(target.runs_of("a"), 1);
}

#[tokio::test]
async fn reset_after_bytes_truncates_and_corruption_changes_one_byte() {
    let (_target, proxy) = target_and_proxy(TargetOptions::new().with_body_bytes(40_000)).await;
    let intact = call(proxy.address()).await.expect("a response");

    let link = proxy.link();
    link.set_faults(Direction::Backward, Faults::new().with_corrupt_at_byte(1_000));
    let corrupt = call(proxy.address()).await.expect("a response");
    link.set_faults(Direction::Backward, Faults::new().with_reset_after_bytes(20_000));
    let truncated = call(proxy.address()).await.unwrap_or_default();

    let differing: Vec<_> = (0..intact.len()).filter(|at| intact[*at] != corrupt[*at]).collect();
    assert_eq!(differing, [1_000]);
    assert!(truncated.len() <= 20_000);
}

#[tokio::test]
async fn a_cut_link_closes_and_a_healed_one_passes_again() {
    let (target, proxy) = target_and_proxy(TargetOptions::new()).await;

    proxy.link().set_mode(Mode::Cut);
    let cut = call(proxy.address()).await.unwrap_or_default();
    proxy.link().set_mode(Mode::Pass);
    let healed = call(proxy.address()).await.expect("a response");

    assert!(cut.is_empty());
    assert!(healed.ends_with(b"xx"));
    assert_eq!(target.total_runs(), 1);
}

#[rstest]
#[case::accept(ResetStage::Accept, 0)]
#[case::after_head(ResetStage::AfterHead, 0)]
#[case::after_run(ResetStage::AfterRun, 1)]
#[case::mid_body(ResetStage::MidBody, 1)]
#[tokio::test]
async fn a_reset_leaves_no_whole_answer(#[case] stage: ResetStage, #[case] runs: u64) {
    let options = TargetOptions::new().with_body_bytes(40_000).with_reset_at(stage);
    let (target, _proxy) = target_and_proxy(options).await;

    let answer = call(target.address()).await.unwrap_or_default();

    assert!(answer.len() < 40_000);
    assert_eq!(target.total_runs(), runs);
}
