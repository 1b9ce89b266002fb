//! The load that a target states, and the capacity that its owner reports to other proxies.

use fireflylug_core::resource::{Resource, Service};
use fireflylug_core::routing::TargetMetrics;
use fireflylug_daemon::local_target::LocalTarget;
use fireflylug_fault::{HttpClient, TargetOptions};
use fireflylug_measure::calls::mesh::{Mesh, name};

use crate::fixture::{mesh, raw_target, target, until};

// Guards against the fourth figure of the load header being read as the number of slots.
#[tokio::test]
async fn the_fourth_figure_is_not_the_number_of_slots() {
    let response = "HTTP/1.1 200 OK\r\nfireflylug-target-id: one\r\n\
                    fireflylug-target-load: 3,0,8,250\r\ncontent-length: 0\r\n\r\n";
    let address = raw_target(response).await;
    let mut mesh = Mesh::start(1).await.expect("the daemon starts");
    let mut service = Service::new(name("seatdesk"));
    service.health_path = Some("/health".into());
    mesh.configure([Resource::Service(service)]);
    let target = LocalTarget { service: name("seatdesk"), address, lease_ms: 60_000 };
    let daemon = mesh.daemons[0].as_mut().expect("the daemon runs");

    daemon.find_target(target);

    let slots =
        || daemon.runtime().inspect(|state| state.membership().targets().map(|t| t.slots).next());
    until("the target is known", || slots().is_some()).await;
    assert_eq!(slots(), Some(8));
}

// Guards against an owner that does not observe the capacity of a target that states the fourth
// figure, and against an ingress that does not receive it.
#[tokio::test]
async fn an_ingress_receives_the_speed_of_a_target_that_states_the_fourth_figure() {
    let header = ("fireflylug-target-load", "1,0,12,100");
    let options = TargetOptions::new().with_response_header(header.0, header.1);
    let target = target(options.with_service_time_us(5_000)).await;
    let mesh = mesh(&[target.address()]).await;
    let client = HttpClient::new();

    for _ in 0..2 {
        let answer = client.send(mesh.calls(0), "GET /look", &[], "").await.unwrap();
        assert_eq!(answer.status, 200);
    }

    let of = |host: usize| -> TargetMetrics {
        let daemon = mesh.daemons[host].as_ref().expect("the daemon runs");
        daemon.runtime().inspect(|state| state.routing().metrics().targets[0].clone())
    };
    assert_eq!(of(1).usable_slots, Some(12));
    assert_eq!(of(0).usable_slots, None);
    assert!(of(0).speed_percent.is_some());
}
