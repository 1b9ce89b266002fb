//! A data folder keeps synced data and reports truncated or damaged data.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use fireflylug_core::consensus::{
    DiskCommand, DiskId, DiskWrite, Entry, HardState, Payload, RecoveredDisk, Snapshot, VoterSet,
};
use fireflylug_core::ids::NodeId;
use fireflylug_store::{Store, StoreError};
use tempfile::TempDir;

fn folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

fn entry(index: u64, term: u64) -> Arc<Entry> {
    Arc::new(Entry { index, term, unix_ms: index, payload: Payload::Noop })
}

fn append(indexes: std::ops::RangeInclusive<u64>, term: u64) -> DiskWrite {
    DiskWrite::Append(indexes.map(|index| entry(index, term)).collect())
}

fn snapshot(index: u64, term: u64, keep_entries: bool) -> DiskWrite {
    let snapshot = Snapshot { index, term, ..Snapshot::initial(VoterSet::default()) };
    DiskWrite::Snapshot { snapshot: Arc::new(snapshot), keep_entries }
}

fn run(store: &mut Store, writes: Vec<DiskWrite>) -> Result<(), StoreError> {
    let numbered = writes.into_iter().zip(1..);
    let commands: Vec<_> =
        numbered.map(|(write, sequence)| DiskCommand { sequence, write }).collect();
    store.run(&commands)
}

/// Opens the folder, writes each batch with a separate sync, and closes the folder.
fn write(folder: &Path, batches: Vec<Vec<DiskWrite>>) {
    let (mut store, _) = Store::open(folder).expect("the folder opens");
    for batch in batches {
        run(&mut store, batch).expect("the batch is written");
    }
}

fn reopen(folder: &Path) -> RecoveredDisk {
    Store::open(folder).expect("the folder opens again").1
}

fn terms(recovered: &RecoveredDisk) -> Vec<(u64, u64)> {
    recovered.entries.iter().map(|entry| (entry.index, entry.term)).collect()
}

fn log_file(folder: &Path) -> PathBuf {
    let items = fs::read_dir(folder).expect("the folder is listed");
    let paths = items.map(|item| item.expect("an item").path());
    paths.filter(|path| path.to_string_lossy().contains("log-")).max().expect("a log")
}

fn flip_byte(path: &Path, offset: usize) {
    let mut bytes = fs::read(path).expect("the file is read");
    bytes[offset] ^= 0x40;
    fs::write(path, bytes).expect("the file is written");
}

#[test]
fn what_was_synced_is_recovered() {
    let folder = folder();
    let hard_state = HardState { term: 3, vote: Some(NodeId(7)), commit: 2 };
    let batches = vec![
        vec![DiskWrite::Owner(NodeId(7)), append(1..=5, 1)],
        vec![append(3..=4, 2), DiskWrite::HardState(hard_state)],
    ];

    write(folder.path(), batches);
    let recovered = reopen(folder.path());

    assert_eq!(terms(&recovered), [(1, 1), (2, 1), (3, 2), (4, 2)]);
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.owner, Some(NodeId(7)));
    assert_eq!(recovered.generation, 2);
    assert!(recovered.notices.is_empty());
}

#[test]
fn snapshot_replaces_what_it_covers() {
    let folder = folder();
    let hard_state = HardState { term: 9, vote: None, commit: 0 };
    let batch = vec![DiskWrite::HardState(hard_state), append(1..=5, 1), snapshot(3, 1, true)];

    write(folder.path(), vec![batch, vec![append(6..=6, 1)]]);
    let kept = reopen(folder.path());
    write(folder.path(), vec![vec![snapshot(20, 4, false)], vec![append(21..=21, 4)]]);
    let dropped = reopen(folder.path());

    assert_eq!(terms(&kept), [(4, 1), (5, 1), (6, 1)]);
    assert_eq!(kept.hard_state, hard_state);
    assert_eq!(dropped.snapshot.expect("a snapshot").index, 20);
    assert_eq!(dropped.entries.len(), 1);
    assert_eq!(dropped.hard_state, hard_state);
}

#[test]
fn torn_tail_is_truncated_and_reported() {
    let folder = folder();
    write(folder.path(), vec![vec![append(1..=1, 1)], vec![append(2..=2, 1)]]);
    let path = log_file(folder.path());
    let len = fs::metadata(&path).expect("the log is there").len();
    let file = OpenOptions::new().write(true).open(&path).expect("the log opens");
    file.set_len(len - 3).expect("the log is cut");

    let recovered = reopen(folder.path());
    write(folder.path(), vec![vec![append(2..=2, 5)]]);
    let written_again = reopen(folder.path());

    assert_eq!(terms(&recovered), [(1, 1)]);
    assert!(recovered.notices[0].contains("log-"), "{:?}", recovered.notices);
    assert_eq!(terms(&written_again), [(1, 1), (2, 5)]);
    assert!(written_again.notices.is_empty());
}

#[test]
fn zeroes_after_the_last_frame_are_truncated() {
    let folder = folder();
    write(folder.path(), vec![vec![append(1..=2, 1)]]);
    let mut file =
        OpenOptions::new().append(true).open(log_file(folder.path())).expect("the log opens");
    file.write_all(&[0; 512]).expect("the log is written");

    let recovered = reopen(folder.path());

    assert_eq!(terms(&recovered), [(1, 1), (2, 1)]);
    assert_eq!(recovered.notices.len(), 1);
}

#[test]
fn damage_before_the_tail_is_refused_with_its_place() {
    let folder = folder();
    write(folder.path(), vec![vec![append(1..=1, 1)]]);
    let path = log_file(folder.path());
    let damaged_frame = fs::metadata(&path).expect("the log is there").len();
    write(folder.path(), vec![vec![append(2..=2, 1)], vec![append(3..=3, 1)]]);
    flip_byte(&path, damaged_frame as usize + 30);

    let error = Store::open(folder.path()).expect_err("the damage is noticed").to_string();

    assert!(
        error.contains("log-") && error.contains(&format!("offset {damaged_frame}")),
        "{error}"
    );
}

#[test]
fn damaged_snapshot_is_refused_with_its_place() {
    let folder = folder();
    write(folder.path(), vec![vec![append(1..=1, 1), snapshot(1, 1, true)]]);
    flip_byte(&folder.path().join("snapshot"), 40);

    let error = Store::open(folder.path()).expect_err("the damage is noticed").to_string();

    assert!(error.contains("snapshot") && error.contains("offset 0"), "{error}");
}

#[test]
fn missing_identity_is_refused() {
    let folder = folder();
    write(folder.path(), vec![vec![append(1..=1, 1)]]);
    fs::remove_file(folder.path().join("identity")).expect("the file is removed");

    let error = Store::open(folder.path()).expect_err("the loss is noticed");

    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
}

#[test]
fn second_process_is_kept_out() {
    let folder = folder();
    let (_store, _) = Store::open(folder.path()).expect("the folder opens");

    let error = Store::open(folder.path()).expect_err("the folder is locked");

    assert!(matches!(error, StoreError::Locked { .. }), "{error}");
}

#[test]
fn full_disk_ends_every_later_write() {
    let folder = folder();
    let (mut store, _) = Store::open(folder.path()).expect("the folder opens");
    // Every write to this device fails with "no space left".
    std::os::unix::fs::symlink("/dev/full", folder.path().join("snapshot.tmp"))
        .expect("a link is made");

    let first = run(&mut store, vec![append(1..=1, 1), snapshot(1, 1, true)]);
    let second = run(&mut store, vec![append(2..=2, 1)]);

    assert!(matches!(first, Err(StoreError::Io { .. })), "{first:?}");
    assert!(matches!(second, Err(StoreError::Failed { .. })), "{second:?}");
}

#[test]
fn reset_folder_is_blank_under_a_new_identity() {
    let folder = folder();
    let reset = DiskWrite::Reset { disk: DiskId(5), owner: NodeId(2) };
    let batches = vec![
        vec![append(1..=3, 1), snapshot(2, 1, true)],
        vec![append(4..=4, 1), reset, append(1..=1, 8)],
    ];

    write(folder.path(), batches);
    let recovered = reopen(folder.path());

    assert_eq!(recovered.disk, DiskId(5));
    assert_eq!(recovered.owner, Some(NodeId(2)));
    assert!(recovered.snapshot.is_none());
    assert_eq!(terms(&recovered), [(1, 8)]);
}
