//! How every daemon answers to its command line.

use std::process::{Command, Output};

/// Runs a daemon that ends at once.
fn run(program: &str, args: &[&str]) -> Output {
    Command::new(program).args(args).output().expect("daemon runs")
}

/// Asserts that all faults of the settings are listed at once, with exit code 2.
pub fn assert_all_setting_errors_are_listed(program: &str) {
    let output = run(program, &["--ip", "nowhere", "--heartbeat-ms", "0"]);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for flag in ["--ip", "--session-ttl-ms", "--host", "--zone", "--platform", "--ca"] {
        assert!(errors.contains(flag), "{flag} is missing in: {errors}");
    }
}

/// Asserts that version and help need no settings.
pub fn assert_help_needs_no_settings(program: &str) {
    assert!(run(program, &["--version"]).status.success());
    assert!(run(program, &["--help"]).status.success());
}
