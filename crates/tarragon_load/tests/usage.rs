//! The load tool needs a target.

use std::process::Command;

#[test]
fn a_target_is_required() {
    let output = Command::new(env!("CARGO_BIN_EXE_tarragon-load")).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2));
}
