//! What a leader knows of one other replica.

use std::collections::VecDeque;

use super::ELECTION_TIMEOUT_MAX_MS;
use super::entry::DiskId;
use crate::time::Instant;

/// Most bytes of entries in one append.
pub(super) const MAX_APPEND_BYTES: usize = 128 * 1024;

/// Most bytes of entries that one replica has not answered.
const MAX_IN_FLIGHT_BYTES: usize = 512 * 1024;

/// How entries are sent to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sending {
    /// Looks for the entry at which the logs agree, one heartbeat at a time.
    Probe,
    /// Streams entries without waiting for answers.
    Stream,
    /// Waits until a snapshot is answered.
    Snapshot {
        /// Last entry of the snapshot.
        index: u64,
        /// When it is sent again.
        resend_at: Instant,
    },
}

impl Sending {
    pub(super) fn is_snapshot(self) -> bool {
        matches!(self, Self::Snapshot { .. })
    }
}

/// What a leader knows of one other replica.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its storage and how often that was opened, once it answered.
    pub(super) disk: Option<(DiskId, u64)>,
    /// Last entry that is known to be synced there.
    pub(super) match_index: u64,
    /// Next entry to send.
    pub(super) next_index: u64,
    pub(super) sending: Sending,
    /// Last entry and size of each append without answer.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
    /// When it last answered.
    pub(super) heard_at: Instant,
    /// Newest round of heartbeats that it echoed.
    pub(super) acked_round: u64,
}

impl Peer {
    pub(super) fn new(next_index: u64, heard_at: Instant) -> Self {
        Self {
            disk: None,
            match_index: 0,
            next_index,
            sending: Sending::Probe,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            heard_at,
            acked_round: 0,
        }
    }

    /// Takes note of the storage. What was known of another one, or of an earlier start, is
    /// forgotten.
    pub(super) fn set_disk(&mut self, disk: (DiskId, u64)) {
        if self.disk.is_some_and(|known| known != disk) {
            self.match_index = 0;
            self.probe(self.next_index);
        }
        self.disk = Some(disk);
    }

    /// Whether the replica answers from this storage.
    pub(super) fn is_with(&self, disk: DiskId) -> bool {
        self.disk.is_some_and(|known| known.0 == disk)
    }

    /// Whether the replica answered within the election timeout.
    pub(super) fn is_heard(&self, now: Instant) -> bool {
        now.since_ms(self.heard_at) < ELECTION_TIMEOUT_MAX_MS
    }

    /// Looks for agreement from an entry downwards.
    pub(super) fn probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.sending = Sending::Probe;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Waits for a snapshot up to an entry.
    pub(super) fn wait_for_snapshot(&mut self, index: u64, resend_at: Instant) {
        self.probe(index + 1);
        self.sending = Sending::Snapshot { index, resend_at };
    }

    /// Whether entries may be sent now.
    pub(super) fn may_send(&self) -> bool {
        self.sending == Sending::Stream && self.in_flight_bytes < MAX_IN_FLIGHT_BYTES
    }

    /// Takes note of entries that were sent.
    pub(super) fn sent(&mut self, last_index: u64, bytes: usize) {
        self.next_index = last_index + 1;
        self.in_flight.push_back((last_index, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Takes note of entries that are synced.
    pub(super) fn matched(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while let Some((last, bytes)) = self.in_flight.front().copied()
            && last <= self.match_index
        {
            self.in_flight.pop_front();
            self.in_flight_bytes -= bytes;
        }
    }
}
