//! Restarted daemons: their target, which kept running.

use fireflylug_core::resource::{Resource, Service};
use fireflylug_daemon::local_target::LocalTarget;
use fireflylug_measure::calls::mesh::{Mesh, name};
use rstest::rstest;

use crate::fixture::raw_target;

// Guards against a health response that is lost because the connection ends with it: the target
// gets no calls before its next announcement.
#[rstest]
#[case::empty(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\
     connection: close\r\ncontent-length: 0\r\n\r\n"
)]
#[case::with_a_body(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\
     connection: close\r\ncontent-length: 2\r\n\r\nok"
)]
#[case::until_the_end_of_the_connection(
    "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\nfireflylug-target-load: 3,0,8\r\n\r\nok"
)]
#[tokio::test]
async fn a_target_that_kept_running_is_found_by_its_health(#[case] response: &'static str) {
    let address = raw_target(response).await;
    let mut mesh = Mesh::start(1).await.expect("the daemon starts");
    let mut service = Service::new(name("seatdesk"));
    service.health_path = Some("/health".into());
    mesh.configure([Resource::Service(service)]);
    let target = LocalTarget { service: name("seatdesk"), address, lease_ms: 60_000 };

    mesh.daemons[0].as_mut().expect("the daemon runs").find_target(target);

    mesh.wait_for_targets(1).await.expect("the target is known");
}
