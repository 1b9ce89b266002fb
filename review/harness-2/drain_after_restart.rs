//! A node is stopped and started again, and finds its endpoint by a health check. The endpoint
//! leaves before its next heartbeat has arrived, and the node acknowledges that. Then the heartbeat
//! arrives that the endpoint had sent before it left. The endpoint must get no request.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::drain::{CONNECTIVITY_WINDOW, Scene};
use crate::record::Record;

/// Time until the stopped process is started again.
const DOWN: Duration = Duration::from_millis(500);
/// How late the first heartbeat after the start arrives.
const BEAT_DELAY: Duration = Duration::from_millis(5_000);
/// Time from that heartbeat to the departure.
const LEAVES_AFTER: Duration = Duration::from_millis(300);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut scene) = Scene::start(record) else { return Verdict::CouldNotRun };
    if has_trouble {
        scene.mesh.stop(scene.leaving_node);
    }
    thread::sleep(DOWN);
    // The first heartbeat after the start is the one that is held up.
    scene.leaving.hold_up_next_beat(BEAT_DELAY);
    if has_trouble {
        scene.mesh.start(scene.leaving_node);
    }
    let in_touch_at = record.elapsed() + CONNECTIVITY_WINDOW;
    let Some(held_up) = scene.leaving.held_up_beat() else { return Verdict::CouldNotRun };
    thread::sleep(LEAVES_AFTER);
    let status = scene.leaving.deregister();
    let acknowledged_at = record.elapsed();
    record.note(format!("the departure of {} was answered {status}", scene.leaving.id));
    if status != 200 {
        return Verdict::CouldNotRun;
    }
    scene.judge(record, held_up, acknowledged_at, in_touch_at)
}
