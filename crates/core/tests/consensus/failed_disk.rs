//! Tests of a replica whose disk failed and was not opened again.

use std::net::SocketAddr;

use fireflylug_core::consensus::{
    ControlReplica, ControlSettings, DiskEvent, DiskId, RecoveredDisk,
};
use fireflylug_core::context::Context;
use fireflylug_core::{Effect, Instant};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::fixtures::identity;

// Guards against a command of a failed replica that is run on the folder once it is opened again.
#[test]
fn blank_replica_whose_disk_failed_forms_no_set() {
    let me = identity(0);
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let settings =
        ControlSettings { initial_addresses: vec![address], ..ControlSettings::default() };
    let now = Instant::from_us(1_000_000);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut effects = Vec::new();
    let mut replica = ControlReplica::new(settings, RecoveredDisk::blank(DiskId(1)), now);
    let failed = DiskEvent::Failed { error: "no space left".to_owned() };
    let mut cx = Context { now, rng: &mut rng, me: &me, effects: &mut effects };
    replica.handle_disk_event(&mut cx, failed);
    cx.effects.clear();

    replica.set_known_replicas(&mut cx, &[(me.id, address)]);

    let commands = effects.iter().filter(|effect| matches!(effect, Effect::Disk(_))).count();
    assert_eq!(commands, 0);
}
