//! Settings of the daemon are checked before it starts.

use std::process::Command;

fn run(args: &[&str]) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_tarragon-gateway")).args(args).output().expect("daemon runs")
}

#[test]
fn all_faults_are_listed_at_once_with_exit_code_2() {
    let output = run(&["--ip", "nowhere", "--heartbeat-ms", "0"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for flag in ["--ip", "--session-ttl-ms", "--host", "--zone", "--platform", "--ca"] {
        assert!(errors.contains(flag), "{flag} is missing in: {errors}");
    }
}

#[test]
fn version_and_help_need_no_settings() {
    assert!(run(&["--version"]).status.success());
    assert!(run(&["--help"]).status.success());
}
