//! The command line refuses what is not complete.

use std::process::Command;

fn exit_code(args: &[&str]) -> Option<i32> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonctl"));
    command.env_clear().args(args).output().expect("tool runs").status.code()
}

#[test]
fn usage_errors_exit_with_2() {
    assert_eq!(exit_code(&[]), Some(2));
    assert_eq!(exit_code(&["list"]), Some(2));
    assert_eq!(exit_code(&["--version"]), Some(0));
}
