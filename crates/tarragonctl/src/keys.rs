//! Makes the keys of a fleet.

use crate::{
    error::{Error, Result},
    flags::KeysCommand,
};
use rail_runtime::{Authority, KeyRole};
use std::{
    fs, io,
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
    time::Duration,
};

/// Certificates that every process trusts.
const CA_FILE: &str = "ca.pem";
/// Private key of the authority; it stays with the operator who issues keys.
const CA_KEY_FILE: &str = "ca.key";
const SECONDS_PER_DAY: u64 = 24 * 3600;

/// Writes `ca.pem`, `ca.key` and, for each name, `NAME.pem` and `NAME.key`.
///
/// An authority that the folder already holds is used again.
pub fn make_keys(command: &KeysCommand) -> Result<()> {
    let out = Path::new(&command.out);
    let role: KeyRole = command.role.parse()?;
    let validity = Duration::from_secs(u64::from(command.days) * SECONDS_PER_DAY);
    fs::create_dir_all(out).map_err(|source| Error::Write { path: command.out.clone(), source })?;
    let authority = open_authority(out, command.new_authority)?;
    write(&out.join(CA_FILE), authority.ca_pem())?;
    write(&out.join(CA_KEY_FILE), authority.key_pem())?;
    for name in &command.names {
        let keys = authority.issue_as(role, name, validity)?;
        write(&out.join(format!("{name}.pem")), &keys.cert_pem)?;
        write(&out.join(format!("{name}.key")), &keys.key_pem)?;
    }
    Ok(())
}

fn open_authority(out: &Path, is_replaced: bool) -> Result<Authority> {
    let known = read(&out.join(CA_FILE))?.zip(read(&out.join(CA_KEY_FILE))?);
    match known {
        Some((ca_pem, key_pem)) if !is_replaced => Ok(Authority::from_pem(ca_pem, key_pem)?),
        Some((old_pem, _key)) => {
            let mut authority = Authority::generate()?;
            authority.add_trusted_authority(&old_pem);
            Ok(authority)
        }
        None => Ok(Authority::generate()?),
    }
}

fn read(path: &Path) -> Result<Option<String>> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(Error::Read { path: path.display().to_string(), source }),
    }
}

/// Replaces a file in one step, so that a process never reads half of it.
fn write(path: &Path, text: &str) -> Result<()> {
    let partial = PathBuf::from(format!("{}.partial", path.display()));
    let written = fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(&partial)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .and_then(|()| fs::rename(&partial, path));
    written.map_err(|source| Error::Write { path: path.display().to_string(), source })
}
