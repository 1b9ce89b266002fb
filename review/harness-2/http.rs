//! A small HTTP/1.1 client and the message parsing that it shares with the endpoint stand-in.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response head: the first line and the headers, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A response that was read completely.
#[derive(Debug)]
pub struct Answer {
    pub head: Head,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }
}

/// Reads a head. `None` at the end of the connection before the first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let is_clean = head.first_line.is_empty();
            return if is_clean { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end();
        if head.first_line.is_empty() {
            head.first_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks. A response without either ends with its connection.
pub fn read_body(reader: &mut impl BufRead, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked")) {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16);
            let size = size.map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            body.append(&mut chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    match head.get("content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
        }
        None if is_response => _ = reader.read_to_end(&mut body)?,
        None => {}
    }
    Ok(body)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line),
    }
}

/// Connects within a second, as the clients of the pages do.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Writes a request head and its body.
pub fn write_request(
    stream: &mut impl Write,
    request_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{request_line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)
}

/// Reads one response. An error means that it was not complete.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(reader, &head, true)?;
    Ok(Answer { head })
}

/// Sends a request on a connection of its own and reads the response.
pub fn send(
    address: SocketAddr,
    request_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = connect(address, timeout)?;
    write_request(&mut stream, request_line, headers, body)?;
    read_answer(&mut BufReader::new(stream))
}

/// Polls until a condition holds. Returns false after the timeout.
pub fn wait_until(timeout: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
