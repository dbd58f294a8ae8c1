//! A sound server of a plain service.

use crate::{
    http,
    site::{self, CannotRun, Record, Site},
};
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A running server of the service `feed`.
pub struct Feed {
    name: &'static str,
    address: SocketAddr,
    born: u64,
    work: Duration,
    answer: Vec<u8>,
    record: Record,
    /// Whether its process has ended, with what it was running.
    pub has_left: Arc<AtomicBool>,
    /// Times at which requests reached it, with their ids.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
}

impl Feed {
    /// Starts a server, without registering it. It works on each request for the same time.
    pub fn start(
        site: &Site,
        name: &'static str,
        last: u8,
        work: Duration,
        answer: Vec<u8>,
    ) -> Result<Arc<Self>, CannotRun> {
        let feed = Arc::new(Self {
            name,
            address: site.address(last, 9000),
            born: site::unix_ms(),
            work,
            answer,
            record: site.record.clone(),
            has_left: Arc::default(),
            arrivals: Mutex::default(),
        });
        let serving = Arc::clone(&feed);
        site::serve(feed.address, Arc::clone(&feed.has_left), move |stream| serving.serve(stream))?;
        Ok(feed)
    }

    /// Returns its entry in the store.
    pub fn entry(&self) -> String {
        let (address, born) = (self.address, self.born);
        format!(
            r#"{{"Service":"feed","Address":"{address}","Zone":"here-a","Version":"v1","Slots":6,
            "State":"ready","ColdLeftMs":0,"Seq":1,"born":{born}}}"#
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut rest, false) {
            let id = request.header("x-request-id");
            if request.path() == "/health" {
                let answer = http::response_bytes(200, &[("x-instance-id", self.name)], b"");
                if stream.write_all(&answer).is_err() {
                    return;
                }
                continue;
            }
            self.record.line(&format!("server {} runs {id}", self.name));
            let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
            arrivals.push((Instant::now(), id.to_owned()));
            drop(arrivals);
            thread::sleep(self.work);
            if self.has_left.load(Ordering::Relaxed) {
                self.record.line(&format!("server {} has left and never answers {id}", self.name));
                return;
            }
            let headers = [("x-request-id", id), ("x-response-seal", self.name)];
            let answer = http::response_bytes(200, &headers, &self.answer);
            if stream.write_all(&answer).is_err() {
                self.record
                    .line(&format!("server {} could not write the answer of {id}", self.name));
                return;
            }
            self.record.line(&format!("server {} has written the whole answer of {id}", self.name));
        }
    }
}
