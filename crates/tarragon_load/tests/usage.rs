//! Without a command the tool has nothing to run, so it exits with the code of wrong usage.

use std::process::Command;

#[test]
fn missing_command_exits_with_usage_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_tarragon-load")).output().expect("binary runs");
    assert_eq!(output.status.code(), Some(2));
}
