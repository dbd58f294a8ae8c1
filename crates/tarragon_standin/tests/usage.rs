//! The stand-in needs a role.

use std::process::Command;

#[test]
fn a_role_is_required() {
    let output = Command::new(env!("CARGO_BIN_EXE_tarragon-standin")).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2));
}
