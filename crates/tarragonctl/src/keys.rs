//! Makes the keys of a fleet.

use crate::{
    error::{Error, Result},
    flags::KeysCommand,
};
use rail_runtime::keys::Authority;
use std::{fs, os::unix::fs::OpenOptionsExt, path::Path};

/// Writes `ca.pem` and, for each name, `NAME.pem` and `NAME.key`.
pub fn make_keys(command: &KeysCommand) -> Result<()> {
    let out = Path::new(&command.out);
    fs::create_dir_all(out).map_err(|source| Error::Write { path: command.out.clone(), source })?;
    let authority = Authority::generate()?;
    for name in &command.names {
        let keys = authority.issue(name)?;
        write(&out.join("ca.pem"), &keys.ca_pem)?;
        write(&out.join(format!("{name}.pem")), &keys.cert_pem)?;
        write(&out.join(format!("{name}.key")), &keys.key_pem)?;
    }
    Ok(())
}

fn write(path: &Path, text: &str) -> Result<()> {
    let open =
        fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(path);
    open.and_then(|mut file| std::io::Write::write_all(&mut file, text.as_bytes()))
        .map_err(|source| Error::Write { path: path.display().to_string(), source })
}
