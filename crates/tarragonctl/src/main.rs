//! Operator command line.
//!
//! Calls the operator RPC of any entry host over mutual TLS. `keys`, `explain` and `completion`
//! need no server.

mod completion;
mod convert;
mod error;
mod explain;
mod flags;
mod fleet_file;
mod keys;
mod quarantine;
mod rpc;
mod status;

use error::Error;
use flags::Flags;
use gumdrop::Options;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let flags = Flags::parse_args_default_or_exit();
    if let Err(error) = run(flags).await {
        eprintln!("tarragonctl: {error}");
        std::process::exit(error.exit_code() as i32);
    }
}

async fn run(flags: Flags) -> Result<(), Error> {
    if flags.version {
        println!("{}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Flags { admin, ca, cert, key, command, .. } = flags;
    let connection = flags::Connection { admin, ca, cert, key };
    match command {
        Some(flags::Command::Explain(command)) => explain::explain(&command),
        Some(flags::Command::Keys(command)) => keys::issue_keys(&command),
        Some(flags::Command::Completion(command)) => completion::print_script(&command.shell),
        Some(command) => rpc::run(connection, command).await,
        None => Err(Error::Usage),
    }
}
