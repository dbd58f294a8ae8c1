//! The settings table of docs/OPERATIONS.md is generated from the flags.
//!
//! `TARRAGON_WRITE_DOCS=1 cargo test -p rail_runtime --test settings_table` writes it anew.

use gumdrop::Options;
use rail_runtime::settings::FleetFlags;
use std::{env, fs, path::PathBuf};

const START: &str =
    "<!-- settings: generated, see crates/rail_runtime/tests/settings_table.rs -->\n";
const END: &str = "<!-- end of settings -->";
/// Flags that are no settings.
const COMMANDS: [&str; 3] = ["help", "version", "check"];

fn table() -> String {
    let mut table = String::from("| flag | variable | meaning (default) |\n|---|---|---|\n");
    let usage = FleetFlags::usage();
    let mut lines = usage.lines();
    while let Some(line) = lines.next() {
        let Some((_, rest)) = line.rsplit_once("--") else {
            continue;
        };
        // The meaning of a long flag stands on the next line.
        let (flag, meaning) = match rest.split_once("  ") {
            Some((flag, meaning)) => (flag, meaning),
            None => (rest, lines.next().unwrap_or_default()),
        };
        let flag = flag.split_whitespace().next().unwrap_or_default();
        if !COMMANDS.contains(&flag) {
            let variable = format!("TARRAGON_{}", flag.replace('-', "_").to_uppercase());
            let row = ["| `--", flag, "` | `", &variable, "` | ", meaning.trim(), " |\n"];
            table.push_str(&row.concat());
        }
    }
    table
}

#[test]
fn the_settings_table_is_current() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let text = fs::read_to_string(&page).expect("page");
    let (before, rest) = text.split_once(START).expect("start mark");
    let (written, after) = rest.split_once(END).expect("end mark");
    let table = table();
    assert!(table.lines().count() > 10, "flags are found: {table}");
    if env::var("TARRAGON_WRITE_DOCS").is_ok() {
        fs::write(&page, format!("{before}{START}{table}{END}{after}")).expect("page is written");
        return;
    }
    assert_eq!(written, table, "run with TARRAGON_WRITE_DOCS=1");
}
