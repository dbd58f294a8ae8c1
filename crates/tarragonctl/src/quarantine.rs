//! Lists and releases quarantined requests.

use crate::{
    error::{Error, Result},
    flags::{QuarantineAction, QuarantineCommand},
    rpc::Client,
};
use rail_api::operator as api;

/// Runs a quarantine command.
pub async fn run(client: &mut Client, command: QuarantineCommand) -> Result<()> {
    match command.action {
        Some(QuarantineAction::List(_)) => list(client).await,
        Some(QuarantineAction::Release(release)) => {
            self::release(client, release.fingerprint).await
        }
        None => Err(Error::Usage),
    }
}

async fn list(client: &mut Client) -> Result<()> {
    let reply = client.list_quarantine(api::ListQuarantineRequest {}).await;
    for entry in reply.map_err(Error::from_read)?.into_inner().entries {
        println!("{} {}", entry.fingerprint, entry.record_json);
    }
    Ok(())
}

async fn release(client: &mut Client, fingerprint: String) -> Result<()> {
    let request = api::ReleaseQuarantineRequest { fingerprint };
    let reply = client.release_quarantine(request).await.map_err(Error::from_change)?;
    println!("{}", if reply.into_inner().released { "released" } else { "was not in quarantine" });
    Ok(())
}
