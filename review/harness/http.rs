//! A minimal HTTP/1.1 client, and the reading of requests for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time allowed to open a connection, as the users' clients allow it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Head of a request or a response: its first line and its headers, with names in lower case.
#[derive(Debug)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head. `None` at the end of the stream.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(first_line) = read_line(reader)? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(Self { first_line, headers }));
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// The first header with this name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Reads the body that follows the head: with a length or in chunks.
    pub fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        if self.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            return read_chunks(reader);
        }
        let length = self.header("content-length").and_then(|length| length.parse().ok());
        read_exactly(reader, length.unwrap_or(0))
    }

    /// Status of a response.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_exactly(reader: &mut impl BufRead, length: usize) -> io::Result<Vec<u8>> {
    if length > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
        body.extend(read_exactly(reader, length)?);
        read_line(reader)?;
        if length == 0 {
            return Ok(body);
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the complete response, within `patience`.
pub fn exchange(address: SocketAddr, request: &[u8], patience: Duration) -> io::Result<Response> {
    let give_up_at = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(patience))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(PatientReader { stream, give_up_at });
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.status().ok_or(io::ErrorKind::InvalidData)?;
    let body = head.read_body(&mut reader)?;
    Ok(Response { status, head, body })
}

/// Reads from a socket until a point in time.
struct PatientReader {
    stream: TcpStream,
    give_up_at: Instant,
}

impl Read for PatientReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let remaining = self.give_up_at.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(remaining))?;
        self.stream.read(buffer)
    }
}

/// Formats a request with a body of known length.
pub fn request(line: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || line.starts_with("POST") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
