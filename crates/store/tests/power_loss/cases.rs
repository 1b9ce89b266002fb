//! Single losses of power, at every operation of the command that they follow.

use std::sync::Arc;

use fireflylug_core::consensus::{DiskCommand, DiskId, DiskWrite, Entry, Payload, RecoveredDisk};
use fireflylug_core::ids::NodeId;

use crate::fixture::{open, snapshot};
use crate::simulated_disk::{Fault, SimulatedDisk, Unsynced};

/// More operations than one command or one opening takes.
const OPERATIONS: u32 = 24;

/// Number of seeds, each with other outcomes of kills and losses of power.
const SEEDS: u64 = 12;

fn reopen(disk: &SimulatedDisk, case: &str) -> RecoveredDisk {
    open(disk).unwrap_or_else(|error| panic!("{case}: the folder does not open: {error}")).1
}

/// Opens the folder with a fault after some operations, and closes it.
fn open_with(disk: &SimulatedDisk, operations: u32, fault: Fault) {
    disk.set_fault(operations, fault);
    let _ = open(disk);
    disk.clear_fault();
}

/// Opens the folder, runs a write with a fault after some operations, and closes it.
fn write_with(disk: &SimulatedDisk, write: DiskWrite, operations: u32, fault: Fault) {
    let (mut store, _) = open(disk).expect("the folder opens");
    disk.set_fault(operations, fault);
    let _ = store.run(&[DiskCommand { sequence: 1, write }]);
    disk.clear_fault();
}

/// A disk whose folder holds these writes, each with its own sync.
fn disk_with(seed: u64, writes: Vec<DiskWrite>) -> SimulatedDisk {
    let disk = SimulatedDisk::new(seed);
    let (mut store, _) = open(&disk).expect("the folder opens");
    for write in writes {
        store.run(&[DiskCommand { sequence: 1, write }]).expect("the write is synced");
    }
    disk
}

fn append(indexes: std::ops::RangeInclusive<u64>, term: u64) -> DiskWrite {
    let entry = |index| Arc::new(Entry { index, term, unix_ms: index, payload: Payload::Noop });
    DiskWrite::Append(indexes.map(entry).collect())
}

fn last_index(recovered: &RecoveredDisk) -> u64 {
    recovered.entries.last().map_or(0, |entry| entry.index)
}

/// Asserts that a loss of power takes back nothing that an opening recovered.
fn assert_what_is_recovered_is_synced(disk: &SimulatedDisk, case: &str) {
    let reported = reopen(disk, case);
    disk.lose_power(Unsynced::Gone);
    let recovered = reopen(disk, case);

    assert_eq!(last_index(&recovered), last_index(&reported), "{case}");
}

/// Every pair of a number of operations and a seed.
fn kills() -> impl Iterator<Item = (u32, u64)> {
    (0..OPERATIONS).flat_map(|operations| (0..SEEDS).map(move |seed| (operations, seed)))
}

// Guards against an acknowledged entry that only the memory of a killed process's host held.
#[test]
fn entry_that_a_killed_process_wrote_is_synced_before_it_is_recovered() {
    for (operations, seed) in kills() {
        let disk = disk_with(seed, vec![append(1..=1, 1)]);
        write_with(&disk, append(2..=2, 1), operations, Fault::Kill);

        assert_what_is_recovered_is_synced(&disk, &format!("kill at {operations}, seed {seed}"));
    }
}

// Guards against an acknowledged entry that a failed sync had dropped from memory.
#[test]
fn entry_whose_sync_failed_is_written_again_before_it_is_recovered() {
    for (operations, seed) in kills() {
        let disk = disk_with(seed, vec![append(1..=1, 1)]);
        write_with(&disk, append(2..=2, 1), operations, Fault::Refuse { operations: 1 });

        assert_what_is_recovered_is_synced(&disk, &format!("failure at {operations}, seed {seed}"));
    }
}

// Guards against a replica that never starts again, as a whole frame follows a lost one.
#[test]
fn frame_that_is_lost_before_a_whole_one_does_not_damage_the_log() {
    for (operations, seed) in kills() {
        let disk = disk_with(seed, vec![append(1..=1, 1)]);
        write_with(&disk, append(2..=2, 1), operations, Fault::Kill);
        write_with(&disk, append(2..=2, 2), operations, Fault::Kill);

        disk.lose_power(Unsynced::Mixed);
        let recovered = reopen(&disk, &format!("kills at {operations}, seed {seed}"));

        assert!(last_index(&recovered) >= 1, "kills at {operations}, seed {seed}");
    }
}

// Guards against a new folder that never opens again: a log without the name of its identity.
#[test]
fn first_start_that_is_killed_twice_leaves_a_folder_that_opens() {
    for (operations, seed) in kills() {
        for second in 0..OPERATIONS {
            let disk = SimulatedDisk::new(seed);
            open_with(&disk, operations, Fault::Kill);
            open_with(&disk, second, Fault::Kill);

            disk.lose_power(Unsynced::Mixed);
            reopen(&disk, &format!("kills at {operations} and {second}, seed {seed}"));
        }
    }
}

// Guards against a folder that disappears with all it holds, as its own name was not synced.
#[test]
fn folder_of_a_first_start_that_was_killed_keeps_its_name() {
    for (operations, seed) in kills() {
        let disk = SimulatedDisk::new(seed);
        open_with(&disk, operations, Fault::Kill);
        write_with(&disk, append(1..=1, 1), OPERATIONS, Fault::Kill);

        disk.lose_power(Unsynced::Gone);
        let recovered = reopen(&disk, "after the loss of power");

        assert_eq!(last_index(&recovered), 1, "kill at {operations}, seed {seed}");
    }
}

// Guards against a folder that never opens again: an old identity whose logs were removed.
#[test]
fn reset_that_is_killed_twice_leaves_a_folder_that_opens() {
    for (operations, seed) in kills() {
        for second in 0..OPERATIONS {
            let disk = disk_with(seed, vec![append(1..=3, 1), snapshot(2, 1, true)]);
            let reset = DiskWrite::Reset { disk: DiskId(5), owner: NodeId(2) };
            write_with(&disk, reset, operations, Fault::Kill);
            open_with(&disk, second, Fault::Kill);

            disk.lose_power(Unsynced::Mixed);
            let case = format!("kills at {operations} and {second}, seed {seed}");
            let recovered = reopen(&disk, &case);

            let is_reset = recovered.disk == DiskId(5);
            assert_eq!(last_index(&recovered), if is_reset { 0 } else { 3 }, "{case}");
        }
    }
}

// Guards against entries that conflict with the snapshot before them.
#[test]
fn snapshot_whose_log_was_not_started_drops_entries_that_do_not_follow_it() {
    for (operations, seed) in kills() {
        let disk = disk_with(seed, vec![snapshot(0, 0, false), append(1..=9, 1)]);
        write_with(&disk, snapshot(5, 2, false), operations, Fault::Kill);

        let recovered = reopen(&disk, "after the kill");

        let index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let expected = if index == 5 { 0 } else { 9 };
        assert_eq!(last_index(&recovered), expected, "kill at {operations}, seed {seed}");
    }
}

// Guards against the loss of entries that do follow the snapshot before them.
#[test]
fn compaction_whose_log_was_not_started_keeps_the_entries_after_it() {
    for (operations, seed) in kills() {
        let disk = disk_with(seed, vec![snapshot(0, 0, false), append(1..=9, 1)]);
        write_with(&disk, snapshot(5, 1, true), operations, Fault::Kill);

        let recovered = reopen(&disk, "after the kill");

        assert_eq!(last_index(&recovered), 9, "kill at {operations}, seed {seed}");
    }
}

// Guards against a file that is emptied under its temporary name, which came back.
#[test]
fn temporary_name_that_comes_back_does_not_empty_the_file() {
    for (operations, seed) in kills() {
        for second in 0..OPERATIONS {
            let disk = disk_with(seed, vec![append(1..=3, 1)]);
            write_with(&disk, snapshot(2, 1, true), operations, Fault::Kill);
            disk.lose_power(Unsynced::Mixed);
            write_with(&disk, snapshot(3, 1, true), second, Fault::Kill);

            let case = format!("kills at {operations} and {second}, seed {seed}");
            reopen(&disk, &case);
            disk.lose_power(Unsynced::Mixed);
            reopen(&disk, &case);
        }
    }
}
