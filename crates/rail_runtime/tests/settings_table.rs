//! Checks that the settings table of docs/OPERATIONS.md matches the flags.
//!
//! The table goes stale when a flag or its help text changes. `TARRAGON_WRITE_DOCS=1 cargo test -p
//! rail_runtime --test settings_table` regenerates it.

use gumdrop::Options;
use rail_runtime::settings::FleetFlags;
use std::{env, fs, path::PathBuf};

const TABLE_START: &str =
    "<!-- settings: generated, see crates/rail_runtime/tests/settings_table.rs -->\n";
const TABLE_END: &str = "<!-- end of settings -->";
/// Flags that are not settings and have no variable.
const NON_SETTING_FLAGS: [&str; 3] = ["help", "version", "check"];

fn settings_table() -> String {
    let mut table = String::from("| flag | variable | meaning (default) |\n|---|---|---|\n");
    let usage = FleetFlags::usage();
    let mut lines = usage.lines();
    while let Some(line) = lines.next() {
        let Some((_, rest)) = line.rsplit_once("--") else {
            continue;
        };
        // The usage text wraps the help text of a long flag to the next line.
        let (flag, help) = match rest.split_once("  ") {
            Some((flag, help)) => (flag, help),
            None => (rest, lines.next().unwrap_or_default()),
        };
        let flag = flag.split_whitespace().next().unwrap_or_default();
        if !NON_SETTING_FLAGS.contains(&flag) {
            let variable = format!("TARRAGON_{}", flag.replace('-', "_").to_uppercase());
            let row = ["| `--", flag, "` | `", &variable, "` | ", help.trim(), " |\n"];
            table.push_str(&row.concat());
        }
    }
    table
}

#[test]
fn settings_table_matches_the_flags() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let text = fs::read_to_string(&page).expect("read docs/OPERATIONS.md");
    let (before, rest) = text.split_once(TABLE_START).expect("start marker in docs/OPERATIONS.md");
    let (written, after) = rest.split_once(TABLE_END).expect("end marker in docs/OPERATIONS.md");
    let table = settings_table();
    assert!(table.lines().count() > 10, "the usage text must list more than 8 settings: {table}");
    if env::var("TARRAGON_WRITE_DOCS").is_ok() {
        fs::write(&page, format!("{before}{TABLE_START}{table}{TABLE_END}{after}"))
            .expect("write docs/OPERATIONS.md");
        return;
    }
    assert_eq!(written, table, "the table is stale: run this test with TARRAGON_WRITE_DOCS=1");
}
