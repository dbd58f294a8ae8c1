//! HTTP/1.1 over blocking sockets: the server's side and the client's side.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request or an answer without its body.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }
}

/// A connection with the bytes that were read too early.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ignored = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Result<usize> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before one.
    pub fn read_head(&mut self) -> Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { line, headers }))
    }

    /// Reads a body that has a length or comes in chunks, or ends with the connection if
    /// `until_close`.
    pub fn read_body(&mut self, head: &Head, until_close: bool) -> Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.read_line()?;
                let size = size.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
                body.extend(self.read_exactly(size)?);
                self.read_line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        if let Some(length) = head.get("content-length") {
            return self.read_exactly(length.parse().unwrap_or(0));
        }
        if until_close {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    /// Reads what is there, at most `most` bytes; empty at the end of the connection.
    pub fn read_some(&mut self, most: usize) -> Result<Vec<u8>> {
        if self.buffer.is_empty() {
            let mut bytes = vec![0; most];
            let count = self.stream.read(&mut bytes)?;
            bytes.truncate(count);
            return Ok(bytes);
        }
        let count = self.buffer.len().min(most);
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, size: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a stated length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// What came back for a request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status; 0 if the connection failed or ended without an answer.
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    wait: Duration,
) -> Answer {
    exchange(address, method, path, headers, body, wait).unwrap_or_default()
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    wait: Duration,
) -> Result<Answer> {
    let started_at = Instant::now();
    let stream = TcpStream::connect_timeout(&address, wait.min(Duration::from_secs(1)))?;
    let left = wait.saturating_sub(started_at.elapsed()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut connection = Connection::new(stream);
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n{headers}{length}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    connection.write(&bytes)?;
    let Some(head) = connection.read_head()? else { return Ok(Answer::default()) };
    let status = head.word(1).parse().unwrap_or(0);
    let body = connection.read_body(&head, true)?;
    Ok(Answer { status, body })
}
