//! Calls the operator RPC.

use crate::{
    error::{Error, Result},
    flags::{AdapterCommand, Command, Connection, StatusCommand, UpstreamCommand},
};
use rail_api::operator::{self as api, operator_client::OperatorClient};
use rail_runtime::{Keys, keys::FLEET_SERVER_NAME};
use std::time::Duration;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

/// Time in which a call must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between looks at the generation of each process.
const WAIT_INTERVAL: Duration = Duration::from_millis(200);
/// Looks before waiting is given up.
const WAIT_ATTEMPTS: u32 = 150;
/// Age above which a process counts as gone.
const GONE_AGE_MS: u64 = 3000;

type Client = OperatorClient<Channel>;

/// Connects and carries out a command.
pub async fn call(connection: Connection, command: Command) -> Result<()> {
    let mut client = connect(connection).await?;
    let reply = match command {
        Command::Base(c) => {
            let urgency_default = parse_urgency(&c.urgency)?.into();
            let expected = expected(c.expect);
            let request = api::RegisterBaseRequest { base: c.base, urgency_default, expected };
            client.register_base(request).await?
        }
        Command::Adapter(c) => client.apply(adapter_request(c)?).await?,
        Command::Upstream(c) => client.register_upstream(upstream_request(c)?).await?,
        Command::Urgency(c) => {
            let urgency = parse_urgency(&c.urgency)?.into();
            let expected = expected(c.expect);
            let request = api::SetUrgencyDefaultRequest { base: c.base, urgency, expected };
            client.set_urgency_default(request).await?
        }
        Command::Drain(c) => {
            let expected = expected(c.expect);
            let request = api::DrainUpstreamRequest { name: c.name, leaving: !c.undo, expected };
            client.drain_upstream(request).await?
        }
        Command::List(_) => return list(&mut client).await,
        Command::Status(c) => return status(&mut client, &c).await,
        Command::Keys(_) => return Err(Error::Usage),
    };
    println!("generation {}", reply.into_inner().generation);
    Ok(())
}

async fn connect(connection: Connection) -> Result<Client> {
    let value = |flag: Option<String>, name: &'static str, variable: &str| {
        flag.or_else(|| std::env::var(variable).ok()).ok_or(Error::Missing(name))
    };
    let admin = value(connection.admin, "admin", "TARRAGON_ADMIN")?;
    let keys = Keys::open(
        &value(connection.ca, "ca", "TARRAGON_CA")?,
        &value(connection.cert, "cert", "TARRAGON_CERT")?,
        &value(connection.key, "key", "TARRAGON_KEY")?,
    )?;
    let tls = ClientTlsConfig::new()
        .ca_certificate(Certificate::from_pem(&keys.ca_pem))
        .identity(Identity::from_pem(&keys.cert_pem, &keys.key_pem))
        .domain_name(FLEET_SERVER_NAME);
    let invalid = |_error| Error::Invalid { flag: "admin", value: admin.clone() };
    let endpoint = Endpoint::from_shared(format!("https://{admin}")).map_err(invalid)?;
    let channel = endpoint.tls_config(tls)?.timeout(CALL_TIMEOUT).connect().await?;
    Ok(OperatorClient::new(channel))
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
    let reply = client.list(api::ListRequest {}).await?.into_inner();
    println!("generation {}", reply.generation);
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

async fn status(client: &mut Client, command: &StatusCommand) -> Result<()> {
    for _attempt in 0..WAIT_ATTEMPTS {
        let reply = client.status(api::StatusRequest {}).await?.into_inner();
        let live = reply.processes.iter().filter(|p| p.age_ms < GONE_AGE_MS);
        let reached = |generation| live.clone().all(|p| p.generation >= generation);
        if command.wait.is_none_or(reached) {
            print_status(&reply, command.json);
            return Ok(());
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
    Err(tonic::Status::deadline_exceeded("generation is not in force everywhere").into())
}

fn print_status(reply: &api::StatusReply, as_json: bool) {
    if as_json {
        let processes: Vec<_> = reply
            .processes
            .iter()
            .map(|p| {
                serde_json::json!({
                    "host": p.host, "role": p.role, "generation": p.generation,
                    "leaving": p.leaving, "age_ms": p.age_ms, "owned_engines": p.owned_engines,
                })
            })
            .collect();
        println!(
            "{}",
            serde_json::json!({"generation": reply.accepted_generation, "processes": processes})
        );
        return;
    }
    println!("generation {}", reply.accepted_generation);
    println!("{:<12} {:<10} {:>10} {:>8} engines", "host", "role", "generation", "age_ms");
    for p in &reply.processes {
        let engines = p.owned_engines.join(" ");
        println!("{:<12} {:<10} {:>10} {:>8} {engines}", p.host, p.role, p.generation, p.age_ms);
    }
}
