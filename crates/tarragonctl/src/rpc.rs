//! Client of the operator RPC and the commands that call it.

use crate::{
    convert,
    error::{Error, Result},
    flags::{
        AdapterCommand, ApplyCommand, Command, Connection, StoreBudgetCommand, UpstreamCommand,
    },
    fleet_file::{self, FleetFile},
    quarantine, status,
};
use rail_api::operator::{self as api, operator_client::OperatorClient};
use rail_runtime::{Keys, keys::FLEET_SERVER_NAME};
use std::time::Duration;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of connecting, including the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest reply in bytes; `list` returns all adapters of a fleet in one.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Client of the operator RPC of one entry host.
pub type Client = OperatorClient<Channel>;

/// Connects to the server and runs a command.
pub async fn run(connection: Connection, command: Command) -> Result<()> {
    let mut client = connect(connection).await?;
    match command {
        Command::Apply(c) => apply(&mut client, &c).await,
        Command::List(_) => list(&mut client).await,
        Command::Status(c) => status::show(&mut client, &c).await,
        Command::Quarantine(c) => quarantine::run(&mut client, c).await,
        other => {
            let reply = send_change(&mut client, other).await?.map_err(Error::from_change)?;
            println!("generation {}", reply.into_inner().generation);
            Ok(())
        }
    }
}

/// Result of the call itself; errors found before the call are not part of it.
type ChangeResult = std::result::Result<tonic::Response<api::ChangeReply>, tonic::Status>;

async fn send_change(client: &mut Client, command: Command) -> Result<ChangeResult> {
    Ok(match command {
        Command::Base(c) => {
            let urgency_default = parse_urgency(&c.urgency)?.into();
            let expected = expected(c.expect);
            let request = api::RegisterBaseRequest { base: c.base, urgency_default, expected };
            client.register_base(request).await
        }
        Command::Adapter(c) => client.apply(adapter_request(c)?).await,
        Command::Upstream(c) => client.register_upstream(upstream_request(c)?).await,
        Command::Urgency(c) => {
            let urgency = parse_urgency(&c.urgency)?.into();
            let expected = expected(c.expect);
            let request = api::SetUrgencyDefaultRequest { base: c.base, urgency, expected };
            client.set_urgency_default(request).await
        }
        Command::Drain(c) => {
            let expected = expected(c.expect);
            let request = api::DrainUpstreamRequest { name: c.name, leaving: !c.undo, expected };
            client.drain_upstream(request).await
        }
        Command::StoreBudget(c) => {
            let StoreBudgetCommand { loads_per_s, at_once, in_flight, .. } = c;
            let budget = Some(api::StoreBudget { loads_per_s, at_once, in_flight });
            let expected = expected(c.expect);
            client.set_store_budget(api::SetStoreBudgetRequest { budget, expected }).await
        }
        _ => return Err(Error::Usage),
    })
}

async fn connect(connection: Connection) -> Result<Client> {
    let required = |flag: Option<String>, name: &'static str, variable: &str| {
        flag.or_else(|| std::env::var(variable).ok()).ok_or(Error::Missing(name))
    };
    let admin = required(connection.admin, "admin", "TARRAGON_ADMIN")?;
    let keys = Keys::load(
        &required(connection.ca, "ca", "TARRAGON_CA")?,
        &required(connection.cert, "cert", "TARRAGON_CERT")?,
        &required(connection.key, "key", "TARRAGON_KEY")?,
    )?;
    let tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(&keys.ca_pem))
        .identity(Identity::from_pem(&keys.cert_pem, &keys.key_pem))
        .domain_name(FLEET_SERVER_NAME);
    let invalid_address = |_error| Error::Invalid { flag: "admin", value: admin.clone() };
    let endpoint = Endpoint::from_shared(format!("https://{admin}")).map_err(invalid_address)?;
    let endpoint = endpoint.tls_config(tls)?.timeout(CALL_TIMEOUT);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect()).await;
    let channel = connected.map_err(|_elapsed| Error::ConnectTimeout(CONNECT_TIMEOUT))??;
    Ok(OperatorClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES))
}

fn expected(generation: Option<u64>) -> Option<api::Expected> {
    generation.map(|generation| api::Expected { generation })
}

fn parse_urgency(value: &str) -> Result<api::Urgency> {
    match value {
        "urgent" => Ok(api::Urgency::Urgent),
        "deferrable" => Ok(api::Urgency::Deferrable),
        _ => Err(Error::Invalid { flag: "urgency", value: value.to_owned() }),
    }
}

fn adapter_request(command: AdapterCommand) -> Result<api::ApplyRequest> {
    let mut names = command.names.into_iter();
    let adapter = names.next().ok_or(Error::Missing("adapter name"))?;
    let base = command.base;
    let register = api::RegisterAdapterRequest {
        base: base.clone(),
        adapter: adapter.clone(),
        expected: None,
    };
    let mut changes = vec![api::change::Change::Adapter(register)];
    for version in names {
        changes.push(api::change::Change::Version(api::RegisterVersionRequest {
            base: base.clone(),
            adapter: adapter.clone(),
            version,
            expected: None,
        }));
    }
    let changes = changes.into_iter().map(|c| api::Change { change: Some(c) }).collect();
    Ok(api::ApplyRequest { changes, expected: expected(command.expect) })
}

fn upstream_request(command: UpstreamCommand) -> Result<api::RegisterUpstreamRequest> {
    let kind = match command.kind.as_str() {
        "engine" => api::UpstreamKind::Engine,
        "service" => api::UpstreamKind::Service,
        _ => {
            return Err(Error::Invalid { flag: "kind", value: command.kind });
        }
    };
    let upstream = api::Upstream {
        name: command.name,
        kind: kind.into(),
        group: command.group,
        address: command.address,
        zone: command.zone,
        slots: command.slots,
        batch: command.batch,
        checks_fencing: command.checks_fencing,
        leaving: false,
    };
    let expected = expected(command.expect);
    Ok(api::RegisterUpstreamRequest { upstream: Some(upstream), expected })
}

async fn list(client: &mut Client) -> Result<()> {
    let reply = read_list(client).await?;
    println!("generation {}", reply.generation);
    if let Some(budget) = &reply.store_budget {
        println!(
            "store_budget loads_per_s={} at_once={} in_flight={}",
            budget.loads_per_s, budget.at_once, budget.in_flight
        );
    }
    for base in &reply.bases {
        println!("base {} {}", base.base, base.urgency_default().as_str_name());
    }
    for adapter in &reply.adapters {
        let versions: Vec<&str> = adapter.versions.iter().map(|v| v.version.as_str()).collect();
        println!("adapter {}:{} {}", adapter.base, adapter.adapter, versions.join(" "));
    }
    for upstream in &reply.upstreams {
        let state = if upstream.leaving { "leaving" } else { "live" };
        println!("upstream {} {} {} {state}", upstream.name, upstream.group, upstream.address);
    }
    Ok(())
}

async fn read_list(client: &mut Client) -> Result<api::ListReply> {
    let reply = client.list(api::ListRequest {}).await.map_err(Error::from_read)?;
    Ok(reply.into_inner())
}

/// Prints the difference to a fleet file and, with `--yes`, applies it.
///
/// The server accepts the changes only if the generation that they were computed from is still the
/// accepted one.
async fn apply(client: &mut Client, command: &ApplyCommand) -> Result<()> {
    let file = FleetFile::open(&command.file)?;
    let current = convert::fleet_from(read_list(client).await?)?;
    let changes = file.changes_from(&current)?;
    for change in &changes {
        println!("{}", fleet_file::describe(change, &current));
    }
    if changes.is_empty() {
        println!("no difference; generation {}", current.generation);
        return Ok(());
    }
    if !command.yes {
        return Err(Error::Differences);
    }
    let request = api::ApplyRequest {
        changes: changes.into_iter().map(convert::change_message).collect(),
        expected: expected(Some(current.generation)),
    };
    let reply = client.apply(request).await.map_err(Error::from_change)?;
    println!("generation {}", reply.into_inner().generation);
    Ok(())
}
