//! Replication progress of one other replica, as tracked by the leader.

use std::collections::VecDeque;

use super::ELECTION_TIMEOUT_MAX_MS;
use super::entry::DiskId;
use crate::time::Instant;

/// Most bytes of entries in one append message.
pub(super) const MAX_APPEND_BYTES: usize = 128 * 1024;

/// Most bytes of unacknowledged entries in flight to one replica.
const MAX_IN_FLIGHT_BYTES: usize = 512 * 1024;

/// Replication state of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sending {
    /// Searches for the last matching entry, one heartbeat at a time.
    Probe,
    /// Streams entries without waiting for acknowledgements.
    Stream,
    /// Waits until a snapshot is acknowledged.
    Snapshot {
        /// Last entry that the snapshot covers.
        index: u64,
        /// When the snapshot is sent again.
        resend_at: Instant,
    },
}

impl Sending {
    pub(super) fn is_snapshot(self) -> bool {
        matches!(self, Self::Snapshot { .. })
    }
}

/// Replication progress of one other replica.
#[derive(Debug)]
pub(super) struct Peer {
    /// Its storage and the number of times that was opened; none before its first response.
    pub(super) disk: Option<(DiskId, u64)>,
    /// Last entry that is known to be synced on this replica.
    pub(super) match_index: u64,
    /// Next entry to send.
    pub(super) next_index: u64,
    pub(super) sending: Sending,
    /// Last entry and size in bytes of each unacknowledged append.
    in_flight: VecDeque<(u64, usize)>,
    in_flight_bytes: usize,
    /// When its last response arrived.
    pub(super) last_response_at: Instant,
    /// Newest heartbeat round that it echoed.
    pub(super) echoed_round: u64,
    /// Until when a response is awaited that names its present storage.
    awaited_until: Instant,
    /// First heartbeat round that such a response echoes.
    awaited_round: u64,
}

impl Peer {
    pub(super) fn new(next_index: u64, last_response_at: Instant) -> Self {
        Self {
            disk: None,
            match_index: 0,
            next_index,
            sending: Sending::Probe,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            last_response_at,
            echoed_round: 0,
            awaited_until: Instant::default(),
            awaited_round: 0,
        }
    }

    /// Awaits a response that names its present storage, because that may have changed. A response
    /// that echoes an earlier round than `round` may come from before the change.
    pub(super) fn await_response(&mut self, until: Instant, round: u64) {
        self.awaited_until = until;
        self.awaited_round = round;
    }

    /// Whether a response that names its present storage is awaited.
    pub(super) fn is_awaited(&self, now: Instant) -> bool {
        now < self.awaited_until
    }

    /// Records a response.
    pub(super) fn record_response(&mut self, now: Instant, round: u64) {
        self.last_response_at = now;
        self.echoed_round = self.echoed_round.max(round);
        if round >= self.awaited_round {
            self.awaited_until = now;
        }
    }

    /// Whether the replica responds, or has said hello and a response is awaited. False for one
    /// that has sent nothing to this leader.
    pub(super) fn is_in_touch(&self, now: Instant) -> bool {
        self.is_awaited(now) || (self.disk.is_some() && self.is_responsive(now))
    }

    /// Records the storage. Resets the progress where it was made with another storage or
    /// before a restart.
    pub(super) fn set_disk(&mut self, disk: (DiskId, u64)) {
        if self.disk.is_some_and(|known| known != disk) {
            self.match_index = 0;
            self.probe(self.next_index);
        }
        self.disk = Some(disk);
    }

    /// Whether the replica runs with this storage.
    pub(super) fn has_disk(&self, disk: DiskId) -> bool {
        self.disk.is_some_and(|known| known.0 == disk)
    }

    /// Whether a response arrived within the election timeout.
    pub(super) fn is_responsive(&self, now: Instant) -> bool {
        now.since_ms(self.last_response_at) < ELECTION_TIMEOUT_MAX_MS
    }

    /// Restarts the search for the last matching entry, from `next_index` downwards.
    pub(super) fn probe(&mut self, next_index: u64) {
        self.next_index = next_index.max(self.match_index + 1);
        self.sending = Sending::Probe;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
    }

    /// Waits for the acknowledgement of a snapshot up to `index`.
    pub(super) fn wait_for_snapshot(&mut self, index: u64, resend_at: Instant) {
        self.probe(index + 1);
        self.sending = Sending::Snapshot { index, resend_at };
    }

    /// Whether entries may be sent now.
    pub(super) fn may_send(&self) -> bool {
        self.sending == Sending::Stream && self.in_flight_bytes < MAX_IN_FLIGHT_BYTES
    }

    /// Records entries that were sent.
    pub(super) fn record_sent(&mut self, last_index: u64, bytes: usize) {
        self.next_index = last_index + 1;
        self.in_flight.push_back((last_index, bytes));
        self.in_flight_bytes += bytes;
    }

    /// Records that entries up to `index` are synced on the replica.
    pub(super) fn record_match(&mut self, index: u64) {
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
