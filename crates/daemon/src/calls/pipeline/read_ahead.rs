//! Bytes that were read from a caller's connection before the HTTP library needs them.
//!
//! The HTTP library receives the requests one by one: the bytes behind a request are held back
//! until its response has ended. Its own read buffer thus stays empty while a call is in
//! progress, and it keeps reading, by which it also detects that the caller closed the connection.

use std::collections::VecDeque;
use std::task::Waker;

use bytes::{Buf, BytesMut};

use super::framing::{BodyFraming, Boundary, FramedHead, Framing};

/// Maximum number of bytes that are held back.
pub const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// A request head behind the request in progress, whose call may be started.
#[derive(Debug, Eq, PartialEq)]
pub struct EarlyHead {
    /// Number of the request on its connection, from 0.
    pub number: u64,
    /// The complete head.
    pub bytes: Vec<u8>,
}

/// Position of the HTTP library in the requests of a connection, and the bytes held back from it.
#[derive(Debug)]
pub struct ReadAhead {
    framing: Framing,
    /// Bytes that were received and not delivered to the HTTP library.
    buffer: BytesMut,
    /// Position of the start of `buffer` on the connection, in bytes.
    delivered: u64,
    /// Position up to which the bytes are framed.
    scanned: u64,
    /// Position at which the request that is being scanned starts.
    request_start: u64,
    /// Ends of the scanned requests that are not delivered completely.
    ends: VecDeque<u64>,
    /// Number of heads that were scanned.
    heads: u64,
    /// Number of requests that were delivered completely.
    delivered_requests: u64,
    /// Number of requests that the HTTP library passed to the service function.
    begun_turns: u64,
    /// Number of requests whose response has ended.
    ended_turns: u64,
    /// Number of the first request that prevents early calls until its response has ended.
    barrier: Option<u64>,
    /// Whether nothing is held back, because the HTTP library frames the requests differently.
    is_disabled: bool,
    /// Whether the caller sent bytes while a call was in progress.
    is_pipelined: bool,
    /// Wakes the connection while bytes are held back.
    waker: Option<Waker>,
}

impl Default for ReadAhead {
    fn default() -> Self {
        Self::new()
    }
}

impl ReadAhead {
    /// Creates the state of a new connection.
    pub fn new() -> Self {
        Self {
            framing: Framing::new(),
            buffer: BytesMut::new(),
            delivered: 0,
            scanned: 0,
            request_start: 0,
            ends: VecDeque::new(),
            heads: 0,
            delivered_requests: 0,
            begun_turns: 0,
            ended_turns: 0,
            barrier: None,
            is_disabled: false,
            is_pipelined: false,
            waker: None,
        }
    }

    /// Records that the HTTP library passed a request to the service function. Returns its number.
    pub fn begin_turn(&mut self) -> u64 {
        self.begun_turns += 1;
        self.begun_turns - 1
    }

    /// Records that the response of the oldest request in progress has ended. Returns what to wake
    /// if bytes were held back.
    pub fn end_turn(&mut self) -> Option<Waker> {
        self.ended_turns += 1;
        self.barrier = self.barrier.filter(|number| *number >= self.ended_turns);
        self.waker.take()
    }

    /// Stores what to wake when the response in progress has ended.
    pub fn set_waker(&mut self, waker: &Waker) {
        if !self.buffer.is_empty() && !self.waker.as_ref().is_some_and(|w| w.will_wake(waker)) {
            self.waker = Some(waker.clone());
        }
    }

    /// Stops framing: nothing is held back any more.
    pub fn disable(&mut self) {
        self.framing.stop();
        self.is_disabled = true;
    }

    /// Whether the HTTP library has all bytes of a request whose response has not ended.
    pub fn is_holding(&self) -> bool {
        self.delivered_requests > self.ended_turns && !self.is_disabled
    }

    /// Number of bytes that may still be held back.
    pub fn free_bytes(&self) -> usize {
        MAX_READ_AHEAD_BYTES.saturating_sub(self.buffer.len())
    }

    /// Whether the caller sends requests before it receives the responses to earlier ones.
    pub fn is_pipelined(&self) -> bool {
        self.is_pipelined
    }

    /// Whether bytes that were read ahead are not scanned.
    pub fn has_unscanned(&self) -> bool {
        self.is_holding() && self.scanned_in_buffer() < self.buffer.len()
    }

    /// Detects that the HTTP library reads on although it has all bytes of a request: it frames
    /// the request differently.
    pub fn check_framing(&mut self) {
        if self.is_holding() && self.begun_turns < self.delivered_requests {
            self.disable();
        }
    }

    /// Takes bytes from the socket. Passes those that the HTTP library needs now to `deliver` and
    /// holds back the others.
    pub fn receive(&mut self, bytes: &[u8], deliver: impl FnOnce(&[u8])) {
        if self.is_holding() || !self.buffer.is_empty() {
            self.is_pipelined = true;
            self.buffer.extend_from_slice(bytes);
            return;
        }
        self.scan_current(bytes);
        let count = self.deliverable_bytes(bytes.len());
        deliver(&bytes[..count]);
        self.is_pipelined |= count < bytes.len();
        self.buffer.extend_from_slice(&bytes[count..]);
        self.advance(count);
    }

    /// Passes buffered bytes to `deliver`, at most `max_bytes`. Returns whether there were any.
    pub fn deliver_buffered(&mut self, max_bytes: usize, deliver: impl FnOnce(&[u8])) -> bool {
        if self.is_holding() || self.buffer.is_empty() {
            return false;
        }
        let buffer = std::mem::take(&mut self.buffer);
        self.scan_current(&buffer[self.scanned_in_buffer()..]);
        self.buffer = buffer;
        let count = self.deliverable_bytes(self.buffer.len()).min(max_bytes);
        deliver(&self.buffer[..count]);
        self.buffer.advance(count);
        if self.buffer.is_empty() {
            // An idle connection holds no buffer.
            self.buffer = BytesMut::new();
        }
        self.advance(count);
        count > 0
    }

    /// Returns the next request behind the one in progress whose call may be started: its method
    /// is safe, it has no body, and no request before it has an unsafe method.
    pub fn next_early_head(&mut self) -> Option<EarlyHead> {
        while self.is_holding() && self.barrier.is_none() && !self.framing.is_unframed() {
            let scanned = self.scanned_in_buffer();
            let (count, boundary) = self.framing.scan(&self.buffer[scanned..]);
            if count == 0 {
                return None;
            }
            let (number, start) = (self.heads, self.request_start);
            self.note_boundary(count, boundary);
            if let Boundary::Head(FramedHead { is_safe_method: true, body: BodyFraming::Absent }) =
                boundary
                && number >= self.begun_turns
            {
                let head = (start - self.delivered) as usize..self.scanned_in_buffer();
                return Some(EarlyHead { number, bytes: self.buffer[head].to_vec() });
            }
        }
        None
    }

    fn scanned_in_buffer(&self) -> usize {
        (self.scanned - self.delivered) as usize
    }

    /// Scans up to the end of the request that the HTTP library receives next.
    fn scan_current(&mut self, mut unscanned: &[u8]) {
        while self.ends.is_empty() && !unscanned.is_empty() && !self.framing.is_unframed() {
            let (count, boundary) = self.framing.scan(unscanned);
            unscanned = &unscanned[count..];
            self.note_boundary(count, boundary);
        }
    }

    fn note_boundary(&mut self, scanned: usize, boundary: Boundary) {
        self.scanned += scanned as u64;
        let is_end = match boundary {
            Boundary::Head(head) => {
                if !head.is_safe_method {
                    self.barrier = self.barrier.or(Some(self.heads));
                }
                self.heads += 1;
                head.body == BodyFraming::Absent
            }
            Boundary::Body => true,
            Boundary::Incomplete | Boundary::Unframed => false,
        };
        if is_end {
            self.ends.push_back(self.scanned);
            self.request_start = self.scanned;
        }
    }

    /// Number of bytes that belong to the request that the HTTP library receives next, out of
    /// `received` ones that are not delivered.
    fn deliverable_bytes(&self, received: usize) -> usize {
        match self.ends.front() {
            Some(end) if !self.is_disabled => (end - self.delivered) as usize,
            _ => received,
        }
    }

    fn advance(&mut self, delivered: usize) {
        self.delivered += delivered as u64;
        // Unframed bytes are not scanned.
        self.scanned = self.scanned.max(self.delivered);
        if self.ends.front().is_some_and(|end| *end <= self.delivered) {
            self.ends.pop_front();
            self.delivered_requests += 1;
        }
    }
}
