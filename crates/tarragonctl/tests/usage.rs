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

#[test]
fn each_shell_has_a_completion_script_with_every_command() {
    for shell in ["bash", "zsh", "fish"] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonctl"));
        let output = command.args(["completion", shell]).output().expect("tool runs");
        let script = String::from_utf8(output.stdout).expect("text");
        let help = Command::new(env!("CARGO_BIN_EXE_tarragonctl")).arg("--help").output();
        let help = help.expect("tool runs");
        // The command line library chooses the stream that carries the help text.
        let help = String::from_utf8([help.stdout, help.stderr].concat()).expect("text");
        let commands = help.split("Available commands:").nth(1).expect("commands are listed");
        let names = commands.lines().filter_map(|line| line.split_whitespace().next());
        for name in names {
            assert!(script.contains(name), "{shell}: {name}");
        }
    }
    assert_eq!(exit_code(&["completion", "cmd"]), Some(2));
}
