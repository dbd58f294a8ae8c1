//! Issues the TLS keys of hosts and operators.

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

/// File of the authority certificates that every process trusts.
const CA_FILE: &str = "ca.pem";
/// File of the authority's private key, which only the issuing operator stores.
const CA_KEY_FILE: &str = "ca.key";
const SECONDS_PER_DAY: u64 = 24 * 3600;

/// Writes `ca.pem`, `ca.key` and, for each name, `NAME.pem` and `NAME.key`.
///
/// Reuses the authority in the directory unless `--new-authority` is set.
pub fn issue_keys(command: &KeysCommand) -> Result<()> {
    let directory = Path::new(&command.out);
    let role: KeyRole = command.role.parse()?;
    let validity = Duration::from_secs(u64::from(command.days) * SECONDS_PER_DAY);
    fs::create_dir_all(directory)
        .map_err(|source| Error::Write { path: command.out.clone(), source })?;
    let authority = load_or_create_authority(directory, command.new_authority)?;
    write_atomically(&directory.join(CA_FILE), authority.ca_pem())?;
    write_atomically(&directory.join(CA_KEY_FILE), authority.key_pem())?;
    for name in &command.names {
        let keys = authority.issue_as(role, name, validity)?;
        write_atomically(&directory.join(format!("{name}.pem")), &keys.cert_pem)?;
        write_atomically(&directory.join(format!("{name}.key")), &keys.key_pem)?;
    }
    Ok(())
}

fn load_or_create_authority(directory: &Path, create_new: bool) -> Result<Authority> {
    let stored = read_if_exists(&directory.join(CA_FILE))?
        .zip(read_if_exists(&directory.join(CA_KEY_FILE))?);
    match stored {
        Some((ca_pem, key_pem)) if !create_new => Ok(Authority::from_pem(ca_pem, key_pem)?),
        Some((old_ca_pem, _key)) => {
            let mut authority = Authority::generate()?;
            authority.add_trusted_authority(&old_ca_pem);
            Ok(authority)
        }
        None => Ok(Authority::generate()?),
    }
}

fn read_if_exists(path: &Path) -> Result<Option<String>> {
    match fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(source) => Err(Error::Read { path: path.display().to_string(), source }),
    }
}

/// Replaces a file atomically, so that a process never reads a partial one.
fn write_atomically(path: &Path, text: &str) -> Result<()> {
    let partial_path = PathBuf::from(format!("{}.partial", path.display()));
    let written = fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(&partial_path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .and_then(|()| fs::rename(&partial_path, path));
    written.map_err(|source| Error::Write { path: path.display().to_string(), source })
}
