//! Memory, message size and processing time of quarantine records.

use crate::{Result, memory::resident_bytes, print_metric};
use rail_request::{EndProof, Fingerprint, QuarantineTable, RecordNews, UpstreamEnd};
use std::time::Instant;

/// Records in one message between hosts.
const RECORDS_PER_MESSAGE: usize = 16;

/// Measures a table of requests that each crashed one upstream.
pub fn measure(requests: usize) -> Result<()> {
    let before = resident_bytes()?;
    let mut table = QuarantineTable::default();
    let started = Instant::now();
    for n in 0..requests {
        table.record_end(fingerprint(n), end(n), None, n as u64);
    }
    let time_per_crash = started.elapsed() / requests.max(1) as u32;
    let memory = resident_bytes()?.saturating_sub(before);
    let kept = table.fingerprints();
    print_metric("requests", requests);
    print_metric("records kept", kept.len());
    print_metric("bytes of memory", memory);
    print_metric("nanoseconds a crash", time_per_crash.as_nanos());
    let news = table.news(kept.into_iter().take(RECORDS_PER_MESSAGE), requests as u64);
    let bytes = postcard::to_allocvec(&news)?;
    print_metric("bytes of a message of 16 records", bytes.len());
    let mut receiver = QuarantineTable::default();
    let started = Instant::now();
    for record in postcard::from_bytes::<Vec<RecordNews>>(&bytes)? {
        receiver.merge(record, 0);
    }
    print_metric("microseconds to decode and merge it", started.elapsed().as_micros());
    let started = Instant::now();
    print_metric("digest", table.digest());
    print_metric("microseconds to compute the digest", started.elapsed().as_micros());
    Ok(())
}

fn fingerprint(n: usize) -> Fingerprint {
    Fingerprint::of([n.to_le_bytes().as_slice()])
}

fn end(n: usize) -> UpstreamEnd {
    UpstreamEnd {
        upstream: format!("i-{n:010x}"),
        started_unix_ms: 1_796_375_917_893,
        host: format!("front-pnw-west-a-{}", n % 380),
        proof: EndProof::Proven,
        is_trial: false,
        noticed_at_ms: 0,
    }
}
