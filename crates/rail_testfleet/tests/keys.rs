//! Keys: roles, refusal of wrong keys, rotation under load.

use rail_runtime::{
    Authority, KeyRole, Keys, authority::DEFAULT_VALIDITY, keys::FLEET_SERVER_NAME,
};
use rail_testfleet::{CompletionRequest, FleetPlan, TestFleet, process::binary_path};
use rustls_pki_types::ServerName;
use std::{
    path::Path,
    process::{Command, Output},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{io::AsyncReadExt, net::TcpStream};
use tokio_rustls::TlsConnector;

/// Time within which replaced key files must be in force.
const ROTATION_LIMIT: Duration = Duration::from_secs(10);

fn authority_of(fleet: &TestFleet) -> Authority {
    let read = |name: &str| std::fs::read_to_string(fleet.key_path(name)).expect("key file");
    Authority::from_pem(read("ca.pem"), read("ca.key")).expect("authority")
}

fn issue(fleet: &TestFleet, authority: &Authority, role: KeyRole, name: &str, validity: Duration) {
    let keys = authority.issue_as(role, name, validity).expect("keys");
    write(&fleet.key_path(&format!("{name}.pem")), &keys.cert_pem);
    write(&fleet.key_path(&format!("{name}.key")), &keys.key_pem);
}

fn write(path: &Path, text: &str) {
    std::fs::write(path, text).expect("key file");
}

/// Runs the command line with the keys of this name.
fn ctl_as(fleet: &TestFleet, name: &str, args: &[&str]) -> Output {
    Command::new(binary_path("tarragonctl"))
        .env("TARRAGON_ADMIN", format!("{}:7403", fleet.host_ip(1)))
        .env("TARRAGON_CA", fleet.key_path("ca.pem"))
        .env("TARRAGON_CERT", fleet.key_path(&format!("{name}.pem")))
        .env("TARRAGON_KEY", fleet.key_path(&format!("{name}.key")))
        .args(args)
        .output()
        .expect("tarragonctl starts")
}

/// Reads a counter of the admin process on the first host.
async fn counter(fleet: &TestFleet, name: &str, reason: &str) -> u64 {
    let url = format!("http://{}:7405/metrics", fleet.host_ip(1));
    let mut response = awc::Client::default().get(url).send().await.expect("metrics");
    let text = String::from_utf8(response.body().await.expect("body").to_vec()).expect("text");
    let start = format!("{name}_total{{reason=\"{reason}\"}} ");
    text.lines().find_map(|line| line.strip_prefix(&start)).map_or(0, |n| n.parse().expect("count"))
}

/// Connects with the keys of this name and gives the error that the server answers with.
async fn alert_of(fleet: &TestFleet, name: &str) -> String {
    let path = |file: &str| fleet.key_path(file).display().to_string();
    let keys =
        Keys::load(&path("ca.pem"), &path(&format!("{name}.pem")), &path(&format!("{name}.key")));
    let config = keys.expect("keys").client_config(b"h2").expect("keys fit");
    let tcp = TcpStream::connect((fleet.host_ip(1), 7403)).await.expect("accepted");
    let server = ServerName::try_from(FLEET_SERVER_NAME).expect("a name");
    // The client's own handshake ends before the server has judged its certificate.
    let connected = TlsConnector::from(Arc::new(config)).connect(server, tcp).await;
    let error = match connected {
        Ok(mut stream) => stream.read(&mut [0; 1]).await.expect_err("refused"),
        Err(error) => error,
    };
    format!("{error:?}")
}

#[actix_rt::test]
async fn each_role_may_do_only_its_own_calls() {
    let fleet = TestFleet::start(FleetPlan::default());
    let authority = authority_of(&fleet);
    issue(&fleet, &authority, KeyRole::ReadOnly, "reader", DEFAULT_VALIDITY);
    let read = ctl_as(&fleet, "reader", &["status"]);
    assert!(read.status.success(), "{}", String::from_utf8_lossy(&read.stderr));
    let refused = [
        ("reader", vec!["drain", "engine1"]),
        ("reader", vec!["quarantine", "release", "00ff"]),
        ("host1", vec!["drain", "engine1"]),
        ("host1", vec!["list"]),
    ];
    for (name, args) in refused {
        let output = ctl_as(&fleet, name, &args);
        assert_eq!(output.status.code(), Some(9), "{name} {args:?}");
    }
    assert_eq!(counter(&fleet, "admin_calls_not_allowed", "read-only").await, 2);
    assert_eq!(counter(&fleet, "admin_calls_not_allowed", "host").await, 2);
    assert!(!String::from_utf8_lossy(&fleet.ctl(1, &["list"]).stdout).contains("leaving"));
}

#[actix_rt::test]
async fn expired_and_foreign_keys_are_refused_alike_and_counted() {
    let fleet = TestFleet::start(FleetPlan::default());
    issue(&fleet, &authority_of(&fleet), KeyRole::Operator, "late", Duration::ZERO);
    // Certificates carry whole seconds.
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let foreign = Authority::generate().expect("authority");
    issue(&fleet, &foreign, KeyRole::Operator, "foreign", DEFAULT_VALIDITY);
    let outputs = ["late", "foreign"].map(|name| ctl_as(&fleet, name, &["list"]));
    for output in &outputs {
        assert!(matches!(output.status.code(), Some(3 | 6)), "{output:?}");
    }
    assert!(outputs.iter().all(|output| output.stdout.is_empty()));
    // The tool may connect twice, so one raw connection each shows the alert and the count.
    let mut alerts = Vec::new();
    for (name, reason) in [("late", "expired"), ("foreign", "foreign_authority")] {
        let before = counter(&fleet, "tls_refusals", reason).await;
        assert!(before >= 1, "{name} was counted");
        alerts.push(alert_of(&fleet, name).await);
        assert_eq!(counter(&fleet, "tls_refusals", reason).await, before + 1);
    }
    assert!(alerts[0].contains("AccessDenied"), "{alerts:?}");
    assert_eq!(alerts[0], alerts[1], "the client learns no reason");
}

#[actix_rt::test]
async fn a_rotation_of_the_authority_cuts_no_request() {
    let engine_flags = vec!["--token-ms=20".to_owned()];
    let fleet = TestFleet::start(FleetPlan { engine_flags, ..FleetPlan::default() });
    let old_ca = std::fs::read_to_string(fleet.key_path("ca.pem")).expect("authority");
    let mut authority = Authority::generate().expect("authority");
    let new_ca = authority.ca_pem().to_owned();
    let request = CompletionRequest::new("llama:a0@v1", 500);
    let urls: Vec<String> = (1..=3).map(|host| fleet.caller_url(host)).collect();
    let requests = futures_util::future::join_all(urls.iter().map(|url| request.stream(url)));
    let rotation = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        // First every process trusts both authorities, then certificates are exchanged.
        authority.add_trusted_authority(&old_ca);
        write(&fleet.key_path("ca.pem"), authority.ca_pem());
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        for host in 1..=3 {
            issue(&fleet, &authority, KeyRole::Host, &format!("host{host}"), DEFAULT_VALIDITY);
        }
        issue(&fleet, &authority, KeyRole::Operator, "fresh", DEFAULT_VALIDITY);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        write(&fleet.key_path("ca.pem"), &new_ca);
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        Instant::now()
    };
    let requests = async { (requests.await, Instant::now()) };
    let ((outcomes, answered_at), rotated_at) =
        futures_util::future::join(requests, rotation).await;
    assert!(answered_at > rotated_at, "the requests outlast the rotation");
    for outcome in outcomes {
        assert!(request.is_answered_by(&outcome), "{outcome:?}");
    }
    let started = Instant::now();
    while fleet.ctl(1, &["list"]).status.success() {
        assert!(started.elapsed() < ROTATION_LIMIT, "the old operator key is still taken");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let fresh = ctl_as(&fleet, "fresh", &["status"]);
    assert!(fresh.status.success(), "{}", String::from_utf8_lossy(&fresh.stderr));
    let request = CompletionRequest::new("llama:a1@v1", 3);
    assert!(request.is_answered_by(&request.send(&fleet.caller_url(2)).await));
}

#[actix_rt::test]
async fn key_files_that_do_not_fit_leave_the_former_keys_in_force() {
    let fleet = TestFleet::start(FleetPlan::default());
    write(&fleet.key_path("host1.key"), "-----BEGIN nothing");
    let started = Instant::now();
    while counter(&fleet, "tls_key_reloads", "not_usable").await == 0 {
        assert!(started.elapsed() < ROTATION_LIMIT, "the fault is counted");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(fleet.ctl(1, &["list"]).status.success());
}
