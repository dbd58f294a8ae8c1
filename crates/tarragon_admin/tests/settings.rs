//! Guards against a daemon that starts with settings that are missing or not valid, or that reports
//! only the first of them.

use rail_testfleet::daemon_settings::{
    assert_all_setting_errors_are_listed, assert_help_needs_no_settings,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tarragon-admin");

#[test]
fn all_setting_errors_are_listed_at_once_with_exit_code_2() {
    assert_all_setting_errors_are_listed(PROGRAM);
}

#[test]
fn version_and_help_need_no_settings() {
    assert_help_needs_no_settings(PROGRAM);
}
