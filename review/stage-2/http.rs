//! HTTP/1.1 on plain sockets: just enough for stand-ins that write bytes of their own choice.

use std::{
    io::{Error, ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or a response: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the bytes of a head and what follows; `None` at the end of the connection before a byte.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Result<Option<Message>> {
    let mut part = [0_u8; 16 << 10];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        let count = stream.read(&mut part)?;
        if count == 0 {
            let is_clean = rest.is_empty();
            return if is_clean { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
        }
        rest.extend_from_slice(&part[..count]);
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end);
    let mut lines = head.lines();
    let first_line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Ok(Some(Message { first_line, headers, body: Vec::new() }))
}

/// Reads a whole message. A body without length and chunks is empty in a request, and ends with the
/// connection in a response.
pub fn read_message(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    is_response: bool,
) -> Result<Option<Message>> {
    let Some(mut message) = read_head(stream, rest)? else { return Ok(None) };
    let mut part = [0_u8; 16 << 10];
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            while !rest.windows(2).any(|window| window == b"\r\n") {
                read_more(stream, rest, &mut part)?;
            }
            let at = rest.windows(2).position(|window| window == b"\r\n").unwrap_or(0);
            let size = String::from_utf8_lossy(&rest[..at]).trim().to_owned();
            let size = usize::from_str_radix(&size, 16)
                .map_err(|_| Error::new(ErrorKind::InvalidData, "size of a chunk"))?;
            rest.drain(..at + 2);
            while rest.len() < size + 2 {
                read_more(stream, rest, &mut part)?;
            }
            message.body.extend(rest.drain(..size));
            rest.drain(..2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        while rest.len() < length {
            read_more(stream, rest, &mut part)?;
        }
        message.body.extend(rest.drain(..length));
    } else if is_response && message.status() != 204 {
        loop {
            let count = stream.read(&mut part)?;
            if count == 0 {
                break;
            }
            rest.extend_from_slice(&part[..count]);
        }
        message.body.append(rest);
    }
    Ok(Some(message))
}

fn read_more(stream: &mut TcpStream, rest: &mut Vec<u8>, part: &mut [u8]) -> Result<()> {
    let count = stream.read(part)?;
    if count == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    rest.extend_from_slice(&part[..count]);
    Ok(())
}

/// Writes a request, on a connection of its own, and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let host = address.to_string();
    let mut headers = headers.to_vec();
    if !headers.iter().any(|(name, _)| *name == "host") {
        headers.insert(0, ("host", &host));
    }
    stream.write_all(&request_bytes(method, path, &headers, body))?;
    let mut rest = Vec::new();
    read_message(&mut stream, &mut rest, true)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// Returns the bytes of a request with a stated length.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the bytes of a response with a stated length.
pub fn response_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
