//! The examples of docs/API.md run successfully without changes.

use rail_testfleet::{FleetPlan, TestFleet, process::binary_path};
use std::process::Command;

const PAGE: &str = include_str!("../../../docs/API.md");
/// Minimum number of examples, so that the test fails when it finds none in the page.
const MIN_EXAMPLES: usize = 8;

#[actix_rt::test]
async fn every_example_of_the_page_runs() {
    let fleet = TestFleet::start(FleetPlan::default());
    let binary_directory =
        binary_path("tarragonctl").parent().expect("path has a parent directory").to_owned();
    let search_path = std::env::var("PATH").unwrap_or_default();
    let examples: Vec<&str> =
        PAGE.split("```sh\n").skip(1).filter_map(|rest| rest.split("```").next()).collect();
    assert!(examples.len() >= MIN_EXAMPLES, "{} examples", examples.len());
    for example in examples {
        let output = Command::new("bash")
            .args(["-euo", "pipefail", "-c", example])
            .current_dir(fleet.key_path("ca.pem").parent().expect("path has a parent directory"))
            .env("PATH", format!("{}:{search_path}", binary_directory.display()))
            .env("ENTRY", fleet.caller_url(1))
            .env("TARRAGON_ADMIN", format!("{}:7403", fleet.host_ip(1)))
            .env("TARRAGON_CA", fleet.key_path("ca.pem"))
            .env("TARRAGON_CERT", fleet.key_path("operator.pem"))
            .env("TARRAGON_KEY", fleet.key_path("operator.key"))
            .output()
            .expect("bash runs");
        let errors = String::from_utf8_lossy(&output.stderr);
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(output.status.success(), "{example}\n{text}{errors}");
    }
}
