//! Starts, controls and inspects a small fleet of real processes.

use crate::{
    network::Network,
    process::{Process, binary_path},
};
use rail_runtime::{Authority, KeyRole, authority::DEFAULT_VALIDITY};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::IpAddr,
    ops::RangeInclusive,
    path::PathBuf,
    process::{Command, Output},
    time::{Duration, Instant},
};

/// Port on which every stand-in listens, each at its own address.
const STANDIN_PORT: u16 = 9000;
/// Time within which a process of the fleet must be ready, or each engine must have an owner.
pub const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and settings of a test fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Number of entry hosts, each with a gateway, a scheduler and an admin process.
    pub hosts: u8,
    /// Number of engine stand-ins, registered for the base model `llama`.
    pub engines: u8,
    /// Number of instances of the plain service `feed`.
    pub services: u8,
    /// Number of adapters; they are named `a0`, `a1`, ..., each with versions `v1` and `v2`.
    pub adapters: u32,
    /// Whether engines refuse orders whose fencing number is older than the newest they have seen.
    pub checks_fencing: bool,
    /// Additional flags of each engine stand-in.
    pub engine_flags: Vec<String>,
    /// Additional flags of the weight store stand-in.
    pub store_flags: Vec<String>,
    /// Additional environment variables of each entry host process.
    pub env_vars: BTreeMap<String, String>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 3,
            services: 1,
            adapters: 4,
            checks_fencing: true,
            engine_flags: Vec::new(),
            store_flags: vec!["--rate-per-s=50".into(), "--load-ms=20".into()],
            env_vars: BTreeMap::from([
                ("TARRAGON_ENTRY_LIFETIME_MS".into(), "300".into()),
                ("TARRAGON_SESSION_TTL_MS".into(), "2000".into()),
                ("TARRAGON_HEARTBEAT_MS".into(), "250".into()),
                ("TARRAGON_LOG_FORMAT".into(), "text".into()),
            ]),
        }
    }
}

/// A running fleet, all of whose processes are killed when it is dropped.
///
/// Processes are named `platform`, `store`, `engine1`, `service1`,
/// `host1/gateway`, `host1/scheduler` and `host1/admin`.
#[derive(Debug)]
pub struct TestFleet {
    plan: FleetPlan,
    processes: BTreeMap<String, Process>,
    directory: tempfile::TempDir,
    network: Network,
}

impl TestFleet {
    /// Starts a fleet, registers its upstreams and adapters, and waits until every engine has an
    /// owner and every process has applied the configuration.
    pub fn start(plan: FleetPlan) -> Self {
        let directory = tempfile::tempdir().expect("temporary directory");
        let network = Network::reserve();
        let mut fleet = Self { plan, processes: BTreeMap::new(), directory, network };
        fleet.write_keys();
        fleet.start_process("platform");
        fleet.start_process("store");
        for number in 1..=fleet.plan.engines {
            fleet.start_process(&format!("engine{number}"));
        }
        for number in 1..=fleet.plan.services {
            fleet.start_process(&format!("service{number}"));
        }
        for number in 1..=fleet.plan.hosts {
            fleet.start_host(number);
        }
        fleet.register_all();
        fleet.wait_for_owners();
        fleet
    }

    /// Starts the scheduler, the admin process and the gateway of an entry host.
    pub fn start_host(&mut self, number: u8) {
        for role in ["scheduler", "admin", "gateway"] {
            self.start_process(&format!("host{number}/{role}"));
        }
    }

    /// Starts a process by its name. A running process of this name is killed afterwards.
    pub fn start_process(&mut self, name: &str) {
        let log = self.directory.path().join(format!("{}.log", name.replace('/', "-")));
        let process = if let Some((host, role)) = name.split_once('/') {
            let binary = format!("tarragon-{role}");
            let env_vars = self.host_env_vars(host);
            let env_vars = env_vars.iter().map(|(k, v)| (k.as_str(), v.clone()));
            Process::spawn(&binary, &[], env_vars, &log)
        } else {
            let args = self.standin_args(name);
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            Process::spawn("tarragon-standin", &args, [], &log)
        };
        self.processes.insert(name.to_owned(), process);
    }

    /// Waits until the gateway of an entry host reports on `/healthz` that it accepts requests.
    pub async fn wait_for_gateway(&self, number: u8) {
        let url = format!("{}/healthz", self.caller_url(number));
        let started = Instant::now();
        loop {
            let response = awc::Client::default().get(&url).send().await;
            if response.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            assert!(
                started.elapsed() < STARTUP_TIMEOUT,
                "gateway of host{number} is not ready: {}",
                self.log(&format!("host{number}/gateway"))
            );
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the running process of this name.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("process {name} is not running"))
    }

    /// Kills a process; does nothing when no process of this name runs.
    pub fn kill(&mut self, name: &str) {
        self.processes.remove(name);
    }

    /// Removes a process from the fleet without ending it, so that the test can stop it.
    pub fn remove_process(&mut self, name: &str) -> Process {
        self.processes.remove(name).unwrap_or_else(|| panic!("process {name} is not running"))
    }

    /// Returns the IP address of an entry host.
    pub fn host_ip(&self, number: u8) -> IpAddr {
        self.network.ip(10 + number)
    }

    /// Returns the base URL of the caller API of an entry host.
    pub fn caller_url(&self, number: u8) -> String {
        format!("http://{}:8080", self.host_ip(number))
    }

    /// Returns the base URL of a stand-in.
    pub fn standin_url(&self, name: &str) -> String {
        format!("http://{}:{STANDIN_PORT}", self.standin_ip(name))
    }

    /// Replaces the injected faults of a stand-in; an empty object ends them all.
    pub async fn set_faults(&self, name: &str, faults: Value) {
        let url = format!("{}/_faults", self.standin_url(name));
        let response = awc::Client::default().post(url).send_json(&faults).await;
        assert!(response.expect("stand-in answers").status().is_success(), "faults are accepted");
    }

    /// Reads a metric of a gateway or scheduler, summed over all lines that start with the name.
    /// Returns `None` when the process does not respond.
    pub async fn metric(&self, process: &str, name: &str) -> Option<u64> {
        let (host, role) = process.split_once('/')?;
        let ip = self.host_ip(host.trim_start_matches("host").parse().ok()?);
        let port = if role == "gateway" { 8080 } else { 7404 };
        let url = format!("http://{ip}:{port}/metrics");
        let mut response = awc::Client::default().get(url).send().await.ok()?;
        let body = response.body().limit(1 << 20).await.ok()?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let is_named = |line: &&str| line.starts_with(name);
        let values = text.lines().filter(is_named).filter_map(|line| line.rsplit(' ').next());
        values.map(|value| value.parse::<f64>().ok().map(|value| value as u64)).sum()
    }

    /// Reads the generation that each gateway and scheduler of these hosts has applied. An element
    /// is `None` when the process does not respond.
    pub async fn applied_generations(&self, hosts: RangeInclusive<u8>) -> Vec<Option<u64>> {
        let names = hosts
            .flat_map(|host| ["gateway", "scheduler"].map(|role| format!("host{host}/{role}")));
        let queries =
            names.map(|name| async move { self.metric(&name, "config_generation").await });
        futures_util::future::join_all(queries).await
    }

    /// Waits until every gateway and scheduler of these hosts has applied the generation or a newer
    /// one. Returns the time that this took; panics when the timeout has passed.
    pub async fn wait_for_generation(
        &self,
        hosts: RangeInclusive<u8>,
        generation: u64,
        timeout: Duration,
    ) -> Duration {
        let started = Instant::now();
        loop {
            let applied = self.applied_generations(hosts.clone()).await;
            if applied.iter().all(|value| value.is_some_and(|value| value >= generation)) {
                return started.elapsed();
            }
            let elapsed = started.elapsed();
            assert!(
                elapsed < timeout,
                "generation {generation} not applied everywhere after {elapsed:?}: {applied:?}"
            );
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Replaces the host list of the platform stand-in. Each entry is an address and whether its
    /// host is leaving.
    pub async fn set_hosts(&self, hosts: &[(IpAddr, bool)]) {
        let endpoints = hosts.iter().map(|(ip, leaving)| {
            json!({"addresses": [ip], "conditions": {"ready": !leaving, "terminating": leaving}})
        });
        let body = endpoints.collect::<Value>();
        let url = format!("{}/_hosts", self.standin_url("platform"));
        let response = awc::Client::default().post(url).send_json(&body).await;
        assert!(response.expect("stand-in answers").status().is_success(), "hosts are accepted");
    }

    /// Reads the statistics that a stand-in has recorded.
    pub async fn stats(&self, name: &str) -> Value {
        let url = format!("{}/_stats", self.standin_url(name));
        let mut response = awc::Client::default().get(url).send().await.expect("stand-in answers");
        let body = response.body().limit(64 << 20).await.expect("statistics arrive");
        serde_json::from_slice(&body).expect("statistics are JSON")
    }

    /// Returns the sum of one numeric statistic over all engines.
    pub async fn sum_engine_stat(&self, key: &str) -> u64 {
        let mut sum = 0;
        for number in 1..=self.plan.engines {
            sum += self.stats(&format!("engine{number}")).await[key].as_u64().unwrap_or(0);
        }
        sum
    }

    /// Runs `tarragonctl` with the operator's keys against the admin process of an entry host.
    pub fn ctl(&self, host: u8, args: &[&str]) -> Output {
        Command::new(binary_path("tarragonctl"))
            .env("TARRAGON_ADMIN", format!("{}:7403", self.host_ip(host)))
            .env("TARRAGON_CA", self.key_path("ca.pem"))
            .env("TARRAGON_CERT", self.key_path("operator.pem"))
            .env("TARRAGON_KEY", self.key_path("operator.key"))
            .args(args)
            .output()
            .expect("tarragonctl starts")
    }

    /// Returns the owning host of each engine, as the first responding host reports it.
    pub fn owners(&self) -> BTreeMap<String, String> {
        for host in 1..=self.plan.hosts {
            let output = self.ctl(host, &["status", "--json"]);
            let Ok(status) = serde_json::from_slice::<Value>(&output.stdout) else {
                continue;
            };
            let mut owners = BTreeMap::new();
            for process in status["processes"].as_array().into_iter().flatten() {
                for engine in process["owned_engines"].as_array().into_iter().flatten() {
                    let engine = engine.as_str().unwrap_or_default().to_owned();
                    owners.insert(engine, process["host"].as_str().unwrap_or_default().to_owned());
                }
            }
            return owners;
        }
        BTreeMap::new()
    }

    /// Returns the log of a process; empty when it has none.
    pub fn log(&self, name: &str) -> String {
        let path = self.directory.path().join(format!("{}.log", name.replace('/', "-")));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the path of a file in the fleet's temporary directory, which holds the key files.
    pub fn key_path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn write_keys(&self) {
        let authority = Authority::generate().expect("authority");
        let hosts = (1..=self.plan.hosts).map(|number| format!("host{number}"));
        let hosts = hosts.map(|name| (KeyRole::Host, name));
        let operator = (KeyRole::Operator, "operator".to_owned());
        for (role, name) in hosts.chain([operator]) {
            let keys = authority.issue_as(role, &name, DEFAULT_VALIDITY).expect("keys");
            std::fs::write(self.key_path("ca.pem"), &keys.ca_pem).expect("key file");
            std::fs::write(self.key_path(&format!("{name}.pem")), &keys.cert_pem)
                .expect("key file");
            std::fs::write(self.key_path(&format!("{name}.key")), &keys.key_pem).expect("key file");
        }
        std::fs::write(self.key_path("ca.key"), authority.key_pem()).expect("key file");
    }

    fn host_env_vars(&self, host: &str) -> BTreeMap<String, String> {
        let number: u8 = host.trim_start_matches("host").parse().expect("hosts are numbered");
        let mut env_vars = self.plan.env_vars.clone();
        let key = |name: String| self.key_path(&name).display().to_string();
        env_vars.extend([
            ("TARRAGON_HOST".to_owned(), host.to_owned()),
            ("TARRAGON_ZONE".to_owned(), format!("zone{}", (number - 1) % 3 + 1)),
            ("TARRAGON_IP".to_owned(), self.host_ip(number).to_string()),
            ("TARRAGON_PLATFORM".to_owned(), format!("{}:{STANDIN_PORT}", self.network.ip(1))),
            ("TARRAGON_PEERS".to_owned(), self.peer_addresses()),
            ("TARRAGON_CA".to_owned(), key("ca.pem".to_owned())),
            ("TARRAGON_CERT".to_owned(), key(format!("{host}.pem"))),
            ("TARRAGON_KEY".to_owned(), key(format!("{host}.key"))),
        ]);
        env_vars
    }

    fn peer_addresses(&self) -> String {
        let hosts = (1..=self.plan.hosts).map(|number| format!("{}:7402", self.host_ip(number)));
        hosts.collect::<Vec<_>>().join(",")
    }

    /// Returns the IP address of a stand-in.
    pub fn standin_ip(&self, name: &str) -> IpAddr {
        let number = |prefix: &str| name.strip_prefix(prefix).and_then(|n| n.parse::<u8>().ok());
        match (name, number("engine"), number("service")) {
            ("platform", ..) => self.network.ip(1),
            ("store", ..) => self.network.ip(2),
            (_, Some(engine), _) => self.network.ip(100 + engine),
            (_, _, Some(service)) => self.network.ip(200 + service),
            _ => panic!("{name} is not a stand-in"),
        }
    }

    fn standin_args(&self, name: &str) -> Vec<String> {
        let role = name.trim_end_matches(|c: char| c.is_ascii_digit());
        let listen = format!("--listen={}:{STANDIN_PORT}", self.standin_ip(name));
        let mut args = vec![role.to_owned(), listen];
        match role {
            "store" => args.extend(self.plan.store_flags.iter().cloned()),
            "engine" => {
                args.push(format!("--store={}:{STANDIN_PORT}", self.network.ip(2)));
                args.extend(self.plan.engine_flags.iter().cloned());
                if self.plan.checks_fencing {
                    args.push("--checks-fencing".to_owned());
                }
            }
            _ => {}
        }
        args
    }

    fn register_all(&self) {
        let started = Instant::now();
        while !self.ctl(1, &["base", "llama"]).status.success() {
            assert!(
                started.elapsed() < STARTUP_TIMEOUT,
                "operator RPC of host1 is not ready: {}",
                self.log("host1/admin")
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        for number in 1..=self.plan.engines {
            let name = format!("engine{number}");
            self.register_upstream(&name, "engine", "llama", (number - 1) % 3 + 1);
        }
        for number in 1..=self.plan.services {
            self.register_upstream(&format!("service{number}"), "service", "feed", 1);
        }
        for number in 0..self.plan.adapters {
            let adapter = format!("a{number}");
            self.ctl_expect_success(&["adapter", "--base", "llama", &adapter, "v1", "v2"]);
        }
    }

    fn register_upstream(&self, name: &str, kind: &str, group: &str, zone: u8) {
        let address = format!("{}:{STANDIN_PORT}", self.standin_ip(name));
        let zone = format!("zone{zone}");
        let mut args = vec!["upstream", name, "--kind", kind, "--group", group];
        args.extend(["--address", &address, "--zone", &zone, "--slots", "8"]);
        if self.plan.checks_fencing {
            args.push("--checks-fencing");
        }
        self.ctl_expect_success(&args);
    }

    fn ctl_expect_success(&self, args: &[&str]) {
        let output = self.ctl(1, args);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "tarragonctl {args:?}: {error}");
    }

    fn wait_for_owners(&self) {
        let started = Instant::now();
        while self.owners().len() < usize::from(self.plan.engines) {
            assert!(
                started.elapsed() < STARTUP_TIMEOUT,
                "engines without an owner: {}",
                self.log("host1/scheduler")
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        let output = self.ctl(1, &["status", "--wait", "1"]);
        assert!(output.status.success(), "generation 1 is not applied everywhere");
    }
}
