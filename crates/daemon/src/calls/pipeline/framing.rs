//! Finds where each request of a connection ends, in bytes that arrive in any division.
//!
//! The HTTP library parses the requests. Framing accepts fewer forms than it does: after anything
//! unusual the connection counts as unframed, and its bytes are passed on as they arrive.

/// Maximum size of a request head that is framed, in bytes. The HTTP library refuses longer ones.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of hexadecimal digits of a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 12;

/// Body that follows a request head.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BodyFraming {
    /// No body.
    #[default]
    Absent,
    /// A body of this many bytes.
    Length(u64),
    /// A body in chunks.
    Chunked,
}

/// What framing reads from a request head.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FramedHead {
    /// Whether the method is safe: GET, HEAD or OPTIONS.
    pub is_safe_method: bool,
    /// The body that follows.
    pub body: BodyFraming,
}

/// Where a scan stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Boundary {
    /// All bytes were scanned; the request continues.
    Incomplete,
    /// A request head ended. Without a body, the request ended as well.
    Head(FramedHead),
    /// The body of a request ended.
    Body,
    /// The requests that follow cannot be told apart.
    Unframed,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Position {
    Head,
    Body { remaining_bytes: u64 },
    ChunkSize,
    Chunk { remaining_bytes: u64 },
    ChunkEnd,
    Trailers,
    Unframed,
}

/// Incremental scanner for the requests of one connection.
#[derive(Debug)]
pub struct Framing {
    position: Position,
    /// Start of a line whose end has not arrived.
    partial_line: Vec<u8>,
    /// Size of the lines of the current head or of the trailers so far.
    head_bytes: usize,
    has_request_line: bool,
    has_length: bool,
    head: FramedHead,
}

impl Default for Framing {
    fn default() -> Self {
        Self::new()
    }
}

impl Framing {
    /// Creates a scanner for a new connection.
    pub fn new() -> Self {
        Self {
            position: Position::Head,
            partial_line: Vec::new(),
            head_bytes: 0,
            has_request_line: false,
            has_length: false,
            head: FramedHead::default(),
        }
    }

    /// Whether the requests can no longer be told apart.
    pub fn is_unframed(&self) -> bool {
        self.position == Position::Unframed
    }

    /// Stops framing for the rest of the connection.
    pub fn stop(&mut self) -> Boundary {
        self.position = Position::Unframed;
        self.partial_line = Vec::new();
        Boundary::Unframed
    }

    /// Scans up to the next boundary. Returns the number of scanned bytes.
    pub fn scan(&mut self, bytes: &[u8]) -> (usize, Boundary) {
        let mut scanned = 0;
        while scanned < bytes.len() {
            let rest = &bytes[scanned..];
            let (taken, boundary) = match self.position {
                Position::Unframed => (rest.len(), Boundary::Unframed),
                Position::Body { remaining_bytes } => self.skip_body(rest, remaining_bytes),
                Position::Chunk { remaining_bytes } => self.skip_chunk(rest, remaining_bytes),
                Position::Head | Position::ChunkSize | Position::ChunkEnd | Position::Trailers => {
                    self.scan_line(rest)
                }
            };
            scanned += taken;
            if boundary != Boundary::Incomplete {
                return (scanned, boundary);
            }
        }
        (scanned, Boundary::Incomplete)
    }

    fn skip_body(&mut self, bytes: &[u8], remaining_bytes: u64) -> (usize, Boundary) {
        let taken = remaining_bytes.min(bytes.len() as u64);
        let remaining_bytes = remaining_bytes - taken;
        if remaining_bytes == 0 {
            self.begin_head();
            return (taken as usize, Boundary::Body);
        }
        self.position = Position::Body { remaining_bytes };
        (taken as usize, Boundary::Incomplete)
    }

    fn skip_chunk(&mut self, bytes: &[u8], remaining_bytes: u64) -> (usize, Boundary) {
        let taken = remaining_bytes.min(bytes.len() as u64);
        self.position = match remaining_bytes - taken {
            0 => Position::ChunkEnd,
            remaining_bytes => Position::Chunk { remaining_bytes },
        };
        (taken as usize, Boundary::Incomplete)
    }

    fn begin_head(&mut self) {
        self.position = Position::Head;
        self.head_bytes = 0;
        self.has_request_line = false;
        self.has_length = false;
        self.head = FramedHead::default();
    }

    fn scan_line(&mut self, bytes: &[u8]) -> (usize, Boundary) {
        let line_feed = bytes.iter().position(|byte| *byte == b'\n');
        let taken = line_feed.map_or(bytes.len(), |index| index + 1);
        self.head_bytes += taken;
        if self.head_bytes > MAX_HEAD_BYTES {
            return (taken, self.stop());
        }
        let Some(line_feed) = line_feed else {
            self.partial_line.extend_from_slice(bytes);
            return (taken, Boundary::Incomplete);
        };
        if self.partial_line.is_empty() {
            return (taken, self.take_line(&bytes[..line_feed]));
        }
        let mut line = std::mem::take(&mut self.partial_line);
        line.extend_from_slice(&bytes[..line_feed]);
        (taken, self.take_line(&line))
    }

    /// Takes a line without its line feed.
    fn take_line(&mut self, line: &[u8]) -> Boundary {
        let content = line.strip_suffix(b"\r");
        match (self.position, content) {
            (Position::Head, _) => self.take_head_line(content.unwrap_or(line)),
            (Position::ChunkSize, Some(content)) => self.take_chunk_size(content),
            (Position::ChunkEnd, Some(b"")) => {
                self.position = Position::ChunkSize;
                self.head_bytes = 0;
                Boundary::Incomplete
            }
            (Position::Trailers, Some(b"")) => {
                self.begin_head();
                Boundary::Body
            }
            (Position::Trailers, Some(_)) => Boundary::Incomplete,
            _ => self.stop(),
        }
    }

    fn take_head_line(&mut self, line: &[u8]) -> Boundary {
        match (self.has_request_line, line.is_empty()) {
            // Empty lines before a request are allowed.
            (false, true) => Boundary::Incomplete,
            (false, false) => self.take_request_line(line),
            (true, false) => self.take_header(line),
            (true, true) => self.end_head(),
        }
    }

    fn take_request_line(&mut self, line: &[u8]) -> Boundary {
        self.has_request_line = true;
        let method = line.split(|byte| *byte == b' ').next().unwrap_or_default();
        if !line.ends_with(b" HTTP/1.1") || method == b"CONNECT" {
            return self.stop();
        }
        self.head.is_safe_method = matches!(method, b"GET" | b"HEAD" | b"OPTIONS");
        Boundary::Incomplete
    }

    fn take_header(&mut self, line: &[u8]) -> Boundary {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return self.stop() };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        let is_framed = match name.len() {
            14 if name.eq_ignore_ascii_case(b"content-length") => self.take_length(value),
            17 if name.eq_ignore_ascii_case(b"transfer-encoding") => {
                self.head.body = BodyFraming::Chunked;
                !std::mem::replace(&mut self.has_length, true)
                    && value.eq_ignore_ascii_case(b"chunked")
            }
            // A request may end the connection or change its protocol.
            10 if name.eq_ignore_ascii_case(b"connection") => {
                value.eq_ignore_ascii_case(b"keep-alive")
            }
            7 => !name.eq_ignore_ascii_case(b"upgrade"),
            _ => true,
        };
        if is_framed { Boundary::Incomplete } else { self.stop() }
    }

    /// Returns whether the length is usable.
    fn take_length(&mut self, value: &[u8]) -> bool {
        let digits = std::str::from_utf8(value).ok();
        let digits = digits.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let Some(length) = digits.and_then(|text| text.parse().ok()) else { return false };
        self.head.body = match length {
            0 => BodyFraming::Absent,
            length => BodyFraming::Length(length),
        };
        !std::mem::replace(&mut self.has_length, true)
    }

    fn end_head(&mut self) -> Boundary {
        let head = self.head;
        self.begin_head();
        self.position = match head.body {
            BodyFraming::Absent => Position::Head,
            BodyFraming::Length(remaining_bytes) => Position::Body { remaining_bytes },
            BodyFraming::Chunked => Position::ChunkSize,
        };
        Boundary::Head(head)
    }

    fn take_chunk_size(&mut self, line: &[u8]) -> Boundary {
        let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let is_valid = !size.is_empty()
            && size.len() <= MAX_CHUNK_SIZE_DIGITS
            && size.iter().all(u8::is_ascii_hexdigit);
        let size = std::str::from_utf8(size).ok().filter(|_| is_valid);
        match size.and_then(|size| u64::from_str_radix(size, 16).ok()) {
            None => return self.stop(),
            Some(0) => self.position = Position::Trailers,
            Some(remaining_bytes) => self.position = Position::Chunk { remaining_bytes },
        }
        self.head_bytes = 0;
        Boundary::Incomplete
    }
}
