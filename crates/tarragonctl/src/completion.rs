//! Shell completion scripts.

use crate::error::{Error, Result};

/// Prints the completion script for a shell: `bash`, `zsh` or `fish`.
pub fn print_script(shell: &str) -> Result<()> {
    let script = match shell {
        "bash" => include_str!("../completions/tarragonctl.bash"),
        "zsh" => include_str!("../completions/tarragonctl.zsh"),
        "fish" => include_str!("../completions/tarragonctl.fish"),
        _ => return Err(Error::Invalid { flag: "shell", value: shell.to_owned() }),
    };
    print!("{script}");
    Ok(())
}
