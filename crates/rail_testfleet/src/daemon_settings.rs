//! Checks of the command line that every daemon must pass.

use std::process::{Command, Output};

/// Runs a daemon with arguments that make it exit at once, and returns its output.
fn run_to_exit(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().expect("daemon runs")
}

/// Asserts that a daemon lists all invalid and missing settings at once and exits with code 2.
pub fn assert_all_setting_errors_are_listed(program: &str) {
    let output = run_to_exit(program, &["--ip", "nowhere", "--heartbeat-ms", "0"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for flag in ["--ip", "--session-ttl-ms", "--host", "--zone", "--platform", "--ca"] {
        assert!(errors.contains(flag), "{flag} is not listed in: {errors}");
    }
}

/// Asserts that `--version` and `--help` succeed although required settings are missing.
pub fn assert_help_needs_no_settings(program: &str) {
    assert!(run_to_exit(program, &["--version"]).status.success());
    assert!(run_to_exit(program, &["--help"]).status.success());
}
