//! A small deployment: the store, servers, and entry hosts as separate processes.

use crate::{
    http,
    json::Json,
    store::{Gate, Store},
};
use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Host name of the callers' requests.
pub const SITE: &str = "site.example";

/// File with what was sent, answered and run; clones write to the same one.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: PathBuf) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started_at: Instant::now() })
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _written = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Writes a line there and to the output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A started entry host.
pub struct Host {
    pub number: u8,
    child: Option<Child>,
}

/// Last part of the store's address for host 0.
const STORE_ADDRESS: u8 = 100;

/// The deployment; its processes end when it is dropped.
pub struct Stage {
    pub store: Store,
    pub record: Record,
    pub hosts: Vec<Host>,
    /// Whether the store is silent towards each host, by the number of the host.
    pub gates: Vec<Gate>,
    /// Highest memory of each host's processes in KiB, by the number of the host.
    pub peaks_kib: [u64; 10],
    net: [u8; 2],
    folder: PathBuf,
    extra_settings: String,
    program: Vec<String>,
}

impl Stage {
    /// Creates the store of a deployment with free addresses.
    pub fn new(record: &Record) -> std::io::Result<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let store = Store::default();
        for attempt in 0..50_u32 {
            let seed =
                std::process::id().wrapping_mul(7).wrapping_add(since_epoch.subsec_nanos() / 1000);
            let seed = seed.wrapping_add(attempt * 31);
            let net = [80 + (seed % 40) as u8, 1 + (seed / 40 % 250) as u8];
            let address = |host: u8| SocketAddr::new(ip_in(net, STORE_ADDRESS + host), 9000);
            let gates: Vec<Gate> =
                (0..10).filter_map(|host| store.listen(address(host)).ok()).collect();
            if gates.len() < 10 {
                continue;
            }
            let folder = std::env::temp_dir().join(format!("rail-review-{}-{}", net[0], net[1]));
            fs::create_dir_all(&folder)?;
            record.line(&format!("deployment at {}.*", ip_in(net, 0)));
            return Ok(Self {
                store,
                record: record.clone(),
                hosts: Vec::new(),
                gates,
                peaks_kib: [0; 10],
                net,
                folder,
                extra_settings: String::new(),
                program: program()?,
            });
        }
        Err(std::io::Error::other("no free address"))
    }

    /// Returns a loopback address of the deployment.
    pub fn ip(&self, last: u8) -> IpAddr {
        ip_in(self.net, last)
    }

    /// Returns the address of a host for callers.
    pub fn caller_address(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(10 + host), 8149)
    }

    /// Writes a configuration.
    pub fn configure(&self, config: &str) {
        let config = Json::parse(config).expect("a configuration");
        self.store.put("config", "main", &config);
    }

    /// Starts a host and waits until it is ready.
    pub fn start_host(&mut self, number: u8, zone: &str) {
        let ip = self.ip(10 + number);
        let store = SocketAddr::new(self.ip(STORE_ADDRESS + number), 9000);
        let path = self.folder.join(format!("host{number}.toml"));
        // Names, limits and bounds as in the site file bacabesar-rail.
        let settings = format!(
            "NodeName = \"front-{zone}-{number}\"\nRole = \"node\"\nMachineClass = \"front\"\n\
             Serves = [\"front\", \"directory\"]\nIp = \"{ip}\"\nZone = \"{zone}\"\nRegion = \"java\"\n\
             PortRange = [7380, 7395]\nBootstrap = true\nHeartbeatMs = 1200\n\
             [Listen]\nFront = \"{ip}:8149\"\nReady = \"{ip}:8141\"\nDirectory = \"{ip}:8143\"\n\
             [Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 260\nMaxFds = 4200\nLinkMbps = 1000.0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\n\
             DrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n\
             RollbackSlackMs = 250\nStretchMaxMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n\
             BudgetSlack = 54\nRecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\nFencingRequired = false\n\
             LeaseMs = 3000\nThawSlackMs = 300\nCeilingWindowS = 5\nCeilingExcess = 1.1\n\
             version_ms = 5000\nttl_max_s = 5\n\
             [Platform]\nAddress = \"{store}\"\nform = \"objects\"\nWritesPerS = 400\n\
             ReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\nTtlMinMs = 1000\n{}",
            self.extra_settings
        );
        fs::write(&path, settings).expect("settings file");
        let log =
            File::create(self.folder.join(format!("host{number}-{}.log", unix_ms()))).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .env("TARRAGONRAIL_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("entry host");
        self.record.line(&format!("host {number} started as process {}", child.id()));
        self.hosts.retain(|host| host.number != number);
        self.hosts.push(Host { number, child: Some(child) });
    }

    /// Waits until a host is ready; returns whether it became ready.
    pub fn wait_ready(&self, number: u8, time: Duration) -> bool {
        let address = SocketAddr::new(self.ip(10 + number), 8141);
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            let wait = Duration::from_millis(500);
            if http::call(address, "GET", "/v1/ready", "Host: x\r\n", b"", wait).status == 200 {
                self.record.line(&format!("host {number} is ready"));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the entry hosts that a host names to clients.
    pub fn resolve(&self, number: u8) -> usize {
        let address = SocketAddr::new(self.ip(10 + number), 8143);
        let path = format!("/v1/resolve?Name={SITE}&Region=java&Zone=surabaya");
        let answer = http::call(address, "GET", &path, "Host: x\r\n", b"", Duration::from_secs(1));
        let body = Json::parse(&String::from_utf8_lossy(&answer.body));
        match body.as_ref().and_then(|body| body.get("Addresses")) {
            Some(Json::List(addresses)) => addresses.len(),
            _ => 0,
        }
    }

    /// Sends a signal to a host's process.
    pub fn signal(&self, number: u8, signal: &str) {
        let host = self.hosts.iter().find(|host| host.number == number);
        if let Some(child) = host.and_then(|host| host.child.as_ref()) {
            self.record.line(&format!("SIG{signal} to host {number}"));
            let _status =
                Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Waits for the end of a host's process.
    pub fn wait_end(&mut self, number: u8) {
        if let Some(host) = self.hosts.iter_mut().find(|host| host.number == number) {
            if let Some(mut child) = host.child.take() {
                let _status = child.wait();
                self.record.line(&format!("the process of host {number} has ended"));
            }
        }
    }

    /// Returns the hosts whose processes have ended although nobody ended them.
    pub fn ended_hosts(&mut self) -> Vec<u8> {
        let mut ended = Vec::new();
        for host in &mut self.hosts {
            if let Some(child) = &mut host.child {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    ended.push(host.number);
                }
            }
        }
        ended
    }

    /// Returns the memory of a host's process in KiB, and records its peak; 0 if it doesn't run.
    pub fn memory_kib(&mut self, number: u8) -> u64 {
        let host = self.hosts.iter().find(|host| host.number == number);
        let Some(child) = host.and_then(|host| host.child.as_ref()) else { return 0 };
        let text = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let text = line.unwrap_or_default().trim().trim_end_matches("kB").trim();
        let kib = text.parse().unwrap_or(0);
        let peak = &mut self.peaks_kib[usize::from(number)];
        *peak = kib.max(*peak);
        kib
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(mut child) = host.child.take() {
                let _killed = child.kill();
                let _status = child.wait();
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _removed = fs::remove_dir_all(&self.folder);
        }
    }
}

fn ip_in(net: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last))
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns the command of the deploy file that runs an entry host.
fn program() -> std::io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let words = line.unwrap_or_default().trim_matches('"').split(' ');
    Ok(words.map(str::to_owned).collect())
}
