//! Guards against an incomplete command line that exits with 0, and against a completion script
//! that lacks a command.

use std::process::Command;

fn exit_code(args: &[&str]) -> Option<i32> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragonctl"));
    command.env_clear().args(args).output().expect("run tarragonctl").status.code()
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
        let output = command.args(["completion", shell]).output().expect("run tarragonctl");
        let script = String::from_utf8(output.stdout).expect("UTF-8 script");
        let help = Command::new(env!("CARGO_BIN_EXE_tarragonctl")).arg("--help").output();
        let help = help.expect("run tarragonctl");
        // The command line library decides whether the help text goes to stdout or stderr.
        let help = String::from_utf8([help.stdout, help.stderr].concat()).expect("UTF-8 help text");
        let commands =
            help.split("Available commands:").nth(1).expect("the help text lists the commands");
        let command_names = commands.lines().filter_map(|line| line.split_whitespace().next());
        for name in command_names {
            assert!(script.contains(name), "the script for {shell} lacks the command {name}");
        }
    }
    assert_eq!(exit_code(&["completion", "cmd"]), Some(2));
}
