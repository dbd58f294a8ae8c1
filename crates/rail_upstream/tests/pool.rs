//! Tests of the choice of connections.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rail_upstream::{Attribution, ConnectionPool, ConnectionTimeouts};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const TIMEOUT: Duration = Duration::from_secs(2);

/// Refusal that names no request.
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Answers each request with the same bytes.
async fn answer_all(mut stream: TcpStream, answer: String) -> std::io::Result<()> {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).await? > 0 {
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

async fn start_server(answer: &str) -> SocketAddr {
    let answer = answer.to_owned();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(answer_all(stream, answer.clone()));
        }
    });
    address
}

/// Sends a request that is refused, and returns the number of connections opened so far.
async fn send_refused(pool: &ConnectionPool, address: SocketAddr, id: &str) -> u64 {
    let request = Request::get("/").header("host", "h").body(Full::new(Bytes::new()));
    let request = request.expect("a request");
    let sent = pool.send_identified(address, request, id, TIMEOUT).await;
    let mut response = sent.expect("a response");
    assert_eq!(response.attribute(Some(id), true), Attribution::Own);
    response.read(16).await.expect("a body");
    response.return_connection();
    pool.opened_count()
}

fn pool() -> ConnectionPool {
    ConnectionPool::new(ConnectionTimeouts { connect: TIMEOUT, unacknowledged: TIMEOUT })
}

/// Guards against an id that is sent on a connection on which it was refused, where a copy of the
/// refusal would bear it too, and against needless new connections.
#[actix_rt::test]
async fn an_id_is_sent_on_a_connection_on_which_it_was_refused() {
    let (pool, address) = (pool(), start_server(REFUSAL).await);
    for (id, opened) in [("a", 1), ("b", 1), ("a", 2), ("b", 2), ("a", 3), ("c", 3)] {
        assert_eq!(send_refused(&pool, address, id).await, opened, "connections after {id}");
    }
}

/// Guards against the memory of a connection that refuses without end.
#[actix_rt::test]
async fn a_connection_remembers_refusals_without_end() {
    let (pool, address) = (pool(), start_server(REFUSAL).await);
    let mut opened = 0;
    for number in 0..1100 {
        opened = send_refused(&pool, address, &number.to_string()).await;
    }
    assert_eq!(opened, 3);
}

/// Guards against a stated keep-alive time that ends the task of the request, and against one that keeps
/// a connection in use or out of use for good.
#[actix_rt::test]
async fn a_keep_alive_time_beyond_all_bounds_ends_the_request() {
    for time in ["1e30", "18446744073709551616", "inf", "NaN", "-1", "x", ""] {
        let answer =
            format!("HTTP/1.1 200 OK\r\nkeep-alive: timeout={time}\r\ncontent-length: 2\r\n\r\nok");
        let (pool, address) = (pool(), start_server(&answer).await);
        for _ in 0..2 {
            let request = Request::get("/").header("host", "h").body(Full::new(Bytes::new()));
            let sent = pool.send(address, request.expect("a request"), TIMEOUT).await;
            let mut response = sent.expect("a response");
            assert_eq!(response.read(16).await.expect("a body"), "ok", "{time}");
            response.return_connection();
        }
    }
}
