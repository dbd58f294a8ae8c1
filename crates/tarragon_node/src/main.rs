//! The serving process: one runs on each host of the platform.
//!
//! It accepts requests of callers, forwards them to upstreams, and owns some of the engines: it
//! decides which adapters these load. All state is kept on a single thread. The logic is in the
//! `rail_` crates; this program connects it to sockets and to the platform.

mod access;
mod attempt;
mod attribution;
mod bad_records;
mod brittle_services;
mod caller_connection;
mod caller_requests;
mod connection_flow;
mod detour;
mod dispatch;
mod dispatch_calls;
mod drained_upstreams;
mod engine_grants;
mod engine_orders;
mod engine_requests;
mod engines;
mod entry;
mod error;
mod events;
mod feed;
mod flags;
mod hedges;
mod keys;
mod lease;
mod listen;
mod lost_runs;
mod metrics;
mod node;
mod old_versions;
mod peer_calls;
mod peers;
mod quarantine;
mod quarantine_news;
mod quota_calls;
mod quotas;
mod record_sources;
mod refresh;
mod registry;
mod relay;
mod reply;
mod request;
mod request_body;
mod run;
mod send_permits;
mod service_metrics;
mod service_requests;
mod service_runs;
mod shortage;
mod store_health;
mod store_return;
mod stored_origins;
mod stream_origins;
mod stream_times;
mod upstream_ends;

use gumdrop::Options;

fn main() -> std::process::ExitCode {
    let flags = flags::NodeFlags::parse_args_default_or_exit();
    if flags.version {
        println!("tarragon-node {}", env!("CARGO_PKG_VERSION"));
        return std::process::ExitCode::SUCCESS;
    }
    match actix_rt::System::new().block_on(run::run(flags)) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragon-node: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
