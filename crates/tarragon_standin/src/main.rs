//! Stand-ins of the external systems for tests: platform, engine, weight store and service.
//!
//! `tarragon-standin ROLE --listen IP:PORT ...` runs one of them. `POST /_faults` sets the
//! faults that it simulates, and `GET /_stats` returns its counters.

mod engine;
mod platform;
mod service;
mod store;

use gumdrop::Options;
use std::net::SocketAddr;

#[derive(Debug, Options)]
struct Flags {
    /// print this help
    help: bool,
    #[options(command)]
    role: Option<RoleFlags>,
}

#[derive(Debug, Options)]
enum RoleFlags {
    /// platform object API and host list
    Platform(platform::Flags),
    /// model engine
    Engine(engine::Flags),
    /// weight store
    Store(store::Flags),
    /// plain service
    Service(service::Flags),
}

/// Returns the default listen address: a free port on the loopback interface.
fn default_listen() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    match flags.role {
        Some(RoleFlags::Platform(flags)) => platform::run(flags).await,
        Some(RoleFlags::Engine(flags)) => engine::run(flags).await,
        Some(RoleFlags::Store(flags)) => store::run(flags).await,
        Some(RoleFlags::Service(flags)) => service::run(flags).await,
        None => {
            eprintln!("{}", Flags::usage());
            std::process::exit(2);
        }
    }
}
