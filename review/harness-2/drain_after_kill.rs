//! An endpoint leaves, its node acknowledges that and is killed at once. After the restart of the
//! node a heartbeat arrives that the endpoint had sent before. The endpoint must get no request.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::drain::{CONNECTIVITY_WINDOW, Scene};
use crate::record::Record;

/// How late the heartbeat arrives.
const BEAT_DELAY: Duration = Duration::from_millis(5_500);
/// Time from the last heartbeat to the departure.
const BEAT_BEFORE: Duration = Duration::from_millis(300);
/// Time until the killed process is started again.
const DOWN: Duration = Duration::from_millis(500);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let Some(mut scene) = Scene::start(record) else { return Verdict::CouldNotRun };
    scene.leaving.hold_up_next_beat(BEAT_DELAY);
    let Some(held_up) = scene.leaving.held_up_beat() else { return Verdict::CouldNotRun };
    thread::sleep(BEAT_BEFORE);
    let status = scene.leaving.deregister();
    if has_trouble {
        scene.mesh.kill(scene.leaving_node);
    }
    let acknowledged_at = record.elapsed();
    record.note(format!("the departure of {} was answered {status}", scene.leaving.id));
    if status != 200 {
        return Verdict::CouldNotRun;
    }
    thread::sleep(DOWN);
    if has_trouble {
        scene.mesh.start(scene.leaving_node);
    }
    let in_touch_at = record.elapsed() + CONNECTIVITY_WINDOW;
    scene.judge(record, held_up, acknowledged_at, in_touch_at)
}
