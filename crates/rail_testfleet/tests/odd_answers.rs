//! Instances of plain services that answer what is no answer, or answer before they have read an
//! upload and break off, on the path of the daemons.

use rail_testfleet::{FleetPlan, TestFleet};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::timeout,
};

/// Size of an upload; more than the buffers of an instance take.
const UPLOAD_BYTES: usize = 1_000_000;
/// Size of an instance's receive buffer, far below that of an upload.
const RECEIVE_BUFFER_BYTES: u32 = 4096;
/// Body of a whole answer, and what an answer that breaks off has sent of it.
const BODY: &str = "abcdefgh";
const PART: &str = "abcde";
const SEAL: &str = "x-response-seal: raw";
/// Names of cases whose answer is whole, as the beginning of a path.
const WHOLE: &str = "whole";

/// Heads that are none, by the name of their case.
const ODD_HEADS: [(&str, &str); 9] = [
    ("status-000", "HTTP/1.1 000 OK\r\ncontent-length: 8"),
    ("status-099", "HTTP/1.1 099 OK\r\ncontent-length: 8"),
    ("status-101", "HTTP/1.1 101 OK\r\ncontent-length: 8"),
    ("status-600", "HTTP/1.1 600 OK\r\ncontent-length: 8"),
    ("status-999", "HTTP/1.1 999 OK\r\ncontent-length: 8"),
    ("status-20", "HTTP/1.1 20 OK\r\ncontent-length: 8"),
    ("name-blank", "HTTP/1.1 200 OK\r\ncontent-length: 8\r\nodd name: 1"),
    ("name-control", "HTTP/1.1 200 OK\r\ncontent-length: 8\r\nodd\x01name: 1"),
    ("lengths", "HTTP/1.1 200 OK\r\ncontent-length: 8\r\ncontent-length: 5"),
];

/// How the connection of an early answer ends, by the name of the case.
const EARLY_ENDS: [(&str, EarlyEnd); 3] = [
    ("early-reset", EarlyEnd::Reset),
    ("early-closed", EarlyEnd::Closed),
    ("early-shut-down", EarlyEnd::ShutDownAndReset),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlyEnd {
    Reset,
    /// The upload stays unread, so that the system resets the connection.
    Closed,
    /// The end of the answer is marked by that of the sending direction, then comes the reset.
    ShutDownAndReset,
}

/// Reads the head of a request and returns its path; what came behind the head is dropped.
async fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    head.split(' ').nth(1).map(str::to_owned)
}

/// Answers one request of a connection as its path names it.
async fn serve_instance(mut stream: TcpStream) -> std::io::Result<()> {
    let Some(path) = read_path(&mut stream).await else { return Ok(()) };
    let name = path.rsplit('/').next().unwrap_or_default();
    if let Some((_, end)) = EARLY_ENDS.iter().find(|(case, _)| *case == name) {
        return write_early(stream, *end).await;
    }
    let odd = ODD_HEADS.iter().find(|(case, _)| *case == name);
    let text = match odd {
        Some((_, head)) => format!("{head}\r\n{SEAL}\r\n\r\n{BODY}"),
        None if name == WHOLE => {
            format!("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n{SEAL}\r\n\r\n{BODY}")
        }
        None => "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"running\":0}".to_owned(),
    };
    stream.write_all(text.as_bytes()).await
}

async fn write_early(mut stream: TcpStream, end: EarlyEnd) -> std::io::Result<()> {
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{SEAL}\r\n\r\n{PART}").as_bytes()).await?;
    if end == EarlyEnd::ShutDownAndReset {
        stream.shutdown().await?;
    }
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    if end != EarlyEnd::Closed {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

fn start_instance() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("an option");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            actix_rt::spawn(serve_instance(stream));
        }
    });
    address
}

/// How a caller sends a body.
#[derive(Debug, Clone, Copy)]
enum Upload {
    Short,
    Long,
    LongInChunks,
}

impl Upload {
    fn text(self) -> String {
        match self {
            Self::Short => "content-length: 2\r\n\r\nhi".to_owned(),
            Self::Long => {
                format!("content-length: {UPLOAD_BYTES}\r\n\r\n{}", "u".repeat(UPLOAD_BYTES))
            }
            Self::LongInChunks => {
                let chunk =
                    format!("{:x}\r\n{}\r\n", UPLOAD_BYTES / 4, "u".repeat(UPLOAD_BYTES / 4));
                format!("transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n", chunk.repeat(4))
            }
        }
    }
}

/// Sends a call and returns what arrives until the connection ends.
async fn call(address: &str, name: &str, upload: Upload) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the gateway accepts");
    let head = format!("POST /v1/services/raw/{name} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n");
    stream.write_all(format!("{head}{}", upload.text()).as_bytes()).await.expect("written");
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    timeout(Duration::from_secs(20), read).await.expect("an end").expect("an orderly end");
    String::from_utf8_lossy(&bytes).to_lowercase()
}

async fn start_gateway() -> (TestFleet, String) {
    let fleet = TestFleet::start(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let instance = start_instance().to_string();
    let flags = ["--kind", "service", "--group", "raw", "--address", &instance, "--zone", "zone1"];
    let output = fleet.ctl(1, &[&["upstream", "raw1"][..], &flags[..]].concat());
    assert!(output.status.success(), "{output:?}");
    let address = fleet.caller_url(1).replace("http://", "");
    let is_known = async || call(&address, WHOLE, Upload::Short).await.contains(" 200 ");
    while !is_known().await {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    (fleet, address)
}

/// Guards against heads that are none and are passed on to callers (issue 72, MIXED).
#[actix_rt::test]
async fn odd_heads_reach_callers_of_the_gateway() {
    let (_fleet, address) = start_gateway().await;
    for (name, _) in ODD_HEADS {
        let answer = call(&address, name, Upload::Short).await;
        assert!(answer.starts_with("http/1.1 502 "), "{name}: {answer}");
        assert!(!answer.contains(BODY), "{name}: {answer}");
    }
}

/// Guards against the beginning of an answer that is told as complete although its instance broke
/// off while the upload was being written (issue 72, MIXED).
#[actix_rt::test]
async fn early_answers_look_complete_to_callers_of_the_gateway() {
    let (_fleet, address) = start_gateway().await;
    for (name, _) in EARLY_ENDS {
        for upload in [Upload::Long, Upload::LongInChunks] {
            for attempt in 0..5 {
                let answer = call(&address, name, upload).await;
                let what = format!("{name} {upload:?} {attempt}: {answer}");
                assert!(answer.starts_with("http/1.1 502 "), "{what}");
                assert!(!answer.contains(PART), "{what}");
            }
        }
    }
}
