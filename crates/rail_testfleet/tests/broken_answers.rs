//! Answers of plain services and engines that break off, on the path of the daemons.

use futures_util::StreamExt;
use rail_testfleet::{FleetPlan, TestFleet};
use rail_upstream::{Completion, EngineClient, Error, StreamPart};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Body of the answers.
const BODY: &str = "abcdefgh";
/// Bytes after which a cut answer ends.
const CUT_BYTES: usize = 5;

/// Answer of an instance, named by the last part of the path.
struct Case {
    name: &'static str,
    head: &'static str,
    body: &'static str,
    is_reset: bool,
    expected: Expected,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// The whole body, with its length.
    Whole,
    /// What the instance sent, without a length.
    Unproven,
    /// Status 502, since the call may have run.
    Failed,
}

const CASES: [Case; 9] = {
    use Expected::{Failed, Unproven, Whole};
    const LENGTH: &str = "content-length: 8";
    const CHUNKED: &str = "transfer-encoding: chunked";
    const UNFRAMED: &str = "connection: close";
    const fn case(
        name: &'static str,
        head: &'static str,
        body: &'static str,
        is_reset: bool,
        expected: Expected,
    ) -> Case {
        Case { name, head, body, is_reset, expected }
    }
    [
        case("length", LENGTH, "abcdefgh", false, Whole),
        case("length-cut", LENGTH, "abcde", false, Failed),
        case("length-reset", LENGTH, "abcde", true, Failed),
        case("chunked", CHUNKED, "8\r\nabcdefgh\r\n0\r\n\r\n", false, Whole),
        case("chunked-cut", CHUNKED, "8\r\nabcde", false, Failed),
        case("chunked-no-last-chunk", CHUNKED, "8\r\nabcdefgh\r\n", false, Failed),
        case("chunked-size-cut", CHUNKED, "8\r\nabcdefgh\r\n1", false, Failed),
        case("unframed", UNFRAMED, "abcde", false, Unproven),
        case("unframed-reset", UNFRAMED, "abcde", true, Failed),
    ]
};

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

async fn end_connection(stream: TcpStream, is_reset: bool) {
    if is_reset {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        // Without the option the connection ends in order, and the test fails.
        let _unsupported = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Answers one request of a connection as its path names it.
async fn serve_instance(mut stream: TcpStream) {
    let Some(request) = read_head(&mut stream).await else { return };
    let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
    let name = path.rsplit('/').next().unwrap_or_default();
    let (text, is_reset) = match CASES.iter().find(|case| case.name == name) {
        Some(case) => {
            (format!("HTTP/1.1 200 OK\r\n{}\r\n\r\n{}", case.head, case.body), case.is_reset)
        }
        None => ("HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"running\":0}".to_owned(), false),
    };
    if stream.write_all(text.as_bytes()).await.is_ok() {
        end_connection(stream, is_reset).await;
    }
}

async fn listen<F>(serve: impl Fn(TcpStream) -> F + 'static) -> SocketAddr
where
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _peer)) = listener.accept().await {
            actix_rt::spawn(serve(stream));
        }
    });
    address
}

/// Sends a call and returns what arrives until the connection ends, and whether it was reset.
async fn call(address: &str, name: &str, version: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(address).await.expect("the gateway accepts");
    let request = format!(
        "POST /v1/services/raw/{name} {version}\r\nhost: h\r\nconnection: close\r\n\
         content-length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut bytes = Vec::new();
    let read = async {
        while stream.read_buf(&mut bytes).await? > 0 {}
        std::io::Result::Ok(())
    };
    let is_reset = timeout(Duration::from_secs(20), read).await.expect("an end").is_err();
    (String::from_utf8_lossy(&bytes).to_lowercase(), is_reset)
}

/// Guards against answers of plain services that break off and are passed on as complete.
#[actix_rt::test]
async fn a_broken_answer_of_a_plain_service_is_passed_on_with_a_length() {
    let fleet = TestFleet::start(FleetPlan { hosts: 1, ..FleetPlan::default() });
    let instance = listen(serve_instance).await.to_string();
    let flags = ["--kind", "service", "--group", "raw", "--address", &instance, "--zone", "zone1"];
    let output = fleet.ctl(1, &[&["upstream", "raw1"][..], &flags[..]].concat());
    assert!(output.status.success(), "{output:?}");
    let address = fleet.caller_url(1).replace("http://", "");
    let is_known = async || call(&address, "length", "HTTP/1.1").await.0.contains(" 200 ");
    while !is_known().await {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    for case in &CASES {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let (answer, is_reset) = call(&address, case.name, version).await;
            let what = format!("{} {version}: {answer}", case.name);
            assert!(!is_reset, "{what}");
            let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
            match case.expected {
                Expected::Whole => {
                    assert!(head.contains(" 200 ") && head.contains("content-length: 8"), "{what}");
                    assert_eq!(body, BODY, "{what}");
                }
                Expected::Unproven => {
                    assert!(head.contains(" 200 ") && !head.contains("content-length"), "{what}");
                    assert!(!head.contains("transfer-encoding"), "{what}");
                    assert_eq!(body, &BODY[..CUT_BYTES], "{what}");
                }
                Expected::Failed => assert!(head.contains(" 502 "), "{what}"),
            }
        }
    }
}

/// Returns the parts of a completion that an engine answers with these bytes, followed by a piece
/// that it repeats until the connection ends.
async fn completion_parts(
    answer: String,
    repeated: &'static str,
) -> Vec<Result<StreamPart, Error>> {
    let engine = listen(move |mut stream| {
        let answer = answer.clone();
        async move {
            if read_head(&mut stream).await.is_none() {
                return;
            }
            let mut is_open = stream.write_all(answer.as_bytes()).await.is_ok();
            while is_open && !repeated.is_empty() {
                is_open = stream.write_all(repeated.as_bytes()).await.is_ok();
            }
        }
    })
    .await;
    let completion = Completion {
        model: "m".to_owned(),
        prompt: "p".to_owned(),
        max_tokens: 4,
        stream: true,
        priority: 0,
        sampling: serde_json::Map::new(),
    };
    let client = EngineClient::open(engine);
    let parts = client.complete(&completion, 1, 1).await.expect("a stream");
    timeout(Duration::from_secs(10), parts.take(64).collect()).await.expect("the stream ends")
}

/// Guards against a completion that ends without its end marker and counts as complete, and
/// against one event without end that fills the memory.
#[actix_rt::test]
async fn a_completion_without_its_end_marker_ends_as_complete() {
    let event = |offset: u32| {
        format!("id: {offset}\ndata: {{\"model\":\"m\",\"choices\":[{{\"text\":\"t\"}}]}}\n\n")
    };
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let is_end = |part: &Result<StreamPart, Error>| *part == Ok(StreamPart::End);
    let whole = format!("{head}{}{}data: [DONE]\n\n", event(0), event(1));
    let parts = completion_parts(whole.clone(), "").await;
    assert!(parts.len() == 3 && is_end(&parts[2]), "{parts:?}");
    for cut_bytes in [1, 2, 9, 16, 30] {
        let cut = whole[..whole.len() - cut_bytes].to_owned();
        let parts = completion_parts(cut, "").await;
        assert!(!parts.iter().any(is_end), "without {cut_bytes} bytes: {parts:?}");
    }
    let parts = completion_parts(format!("{head}data: "), "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx").await;
    assert!(parts.len() == 1 && parts[0].is_err(), "{parts:?}");
}
