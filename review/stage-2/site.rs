//! A small deployment on loopback addresses: the store and the hosts as processes, servers as
//! threads that a case fills in, and the record of what happened.

use crate::http::{self, Message};
use std::{
    fs::{self, File},
    io::{Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Timeout of calls to the store and of questions whether a host is ready.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// Time in which the deployment must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// What a case ends with.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Why a case could not run.
pub type CannotRun = String;

/// The record of a case, with the time since its start in each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the record of a case.
    pub fn create(path: &Path) -> Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started_at: Instant::now() })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let time_s = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _full_disk = writeln!(file, "{time_s:8.3} {text}");
    }
}

/// A process of the deployment, which is killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a process with its output in a file.
    pub fn spawn(program: &Path, args: &[&str], env: &[(&str, &str)], log: &Path) -> Result<Self> {
        let output = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.args(args).env_clear().envs(env.iter().copied());
        command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
        Ok(Self { child: command.spawn()? })
    }

    /// Sends a signal, named as for kill(1).
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _gone = Command::new("kill").args(["-s", name, &id]).status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }
}

/// A host of the system.
pub struct Host {
    pub process: Option<Process>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    program: PathBuf,
}

impl Host {
    /// Starts the host's process.
    pub fn start(&mut self) -> std::result::Result<(), CannotRun> {
        let settings = self.settings.to_string_lossy().into_owned();
        let env = [("TARRAGONRAIL_NODE_FILE", settings.as_str())];
        let process = Process::spawn(&self.program, &[], &env, &self.log);
        self.process = Some(process.map_err(|error| format!("host does not start: {error}"))?);
        Ok(())
    }

    /// Sends a signal to the host's process.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            process.signal(name);
        }
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/v1/ready", &[], b"", CALL_TIMEOUT);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns what the host has logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// The deployment of a case; its processes end when it is dropped.
pub struct Site {
    pub record: Record,
    /// First three numbers of all addresses.
    pub net: String,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub hosts: Vec<Host>,
    _store_process: Process,
    repository: PathBuf,
}

impl Site {
    /// Starts the store of a deployment without hosts.
    pub fn open(repository: &Path, record: Record) -> std::result::Result<Self, CannotRun> {
        let salt = u64::from(std::process::id()) ^ unix_ms();
        let net = format!("127.{}.{}", 90 + salt % 100, 1 + (salt / 100) % 250);
        let folder = std::env::temp_dir().join(format!("tarragon-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store: SocketAddr = address(&net, 1, 9000);
        let program = repository.join("target/release/tarragon-site-standin");
        let listen = store.to_string();
        let args = ["store", "--listen", &listen];
        let process = Process::spawn(&program, &args, &[], &folder.join("store.log"));
        let process = process.map_err(|error| format!("store does not start: {error}"))?;
        let repository = repository.to_owned();
        let site = Self {
            record,
            net,
            folder,
            store,
            hosts: Vec::new(),
            _store_process: process,
            repository,
        };
        wait_for("the store", || site.list("config").is_ok())?;
        Ok(site)
    }

    /// Returns an address of the deployment.
    pub fn address(&self, last: u8, port: u16) -> SocketAddr {
        address(&self.net, last, port)
    }

    /// Creates an object in the store.
    pub fn create(&self, kind: &str, name: &str, spec: &str) -> std::result::Result<(), CannotRun> {
        create(self.store, kind, name, spec)
    }

    /// Replaces an object in the store.
    pub fn replace(
        &self,
        kind: &str,
        name: &str,
        spec: &str,
    ) -> std::result::Result<(), CannotRun> {
        replace(self.store, kind, name, spec)
    }

    /// Removes an object from the store.
    pub fn remove(&self, kind: &str, name: &str) -> std::result::Result<(), CannotRun> {
        let path = format!("/v1/objects/{kind}/{name}");
        check(http::call(self.store, "DELETE", &path, &[], b"", CALL_TIMEOUT))
    }

    /// Lists the objects of a kind.
    pub fn list(&self, kind: &str) -> Result<Message> {
        http::call(self.store, "GET", &format!("/v1/objects/{kind}"), &[], b"", CALL_TIMEOUT)
    }

    /// Starts hosts, one in each zone in turn, and waits until all are ready.
    pub fn start_hosts(&mut self, count: u8) -> std::result::Result<(), CannotRun> {
        for number in 1..=count {
            let mut host = self.host(number)?;
            host.start()?;
            self.hosts.push(host);
        }
        wait_for("the hosts", || self.hosts.iter().all(Host::is_ready))
    }

    fn host(&self, number: u8) -> std::result::Result<Host, CannotRun> {
        let name = format!("host{number}");
        let ip = format!("{}.{}", self.net, 10 + number);
        let settings = self.folder.join(format!("{name}.toml"));
        let text = settings_text(&name, &ip, number, self.store);
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        Ok(Host {
            log: self.folder.join(format!("{name}.log")),
            program: self.repository.join("target/release/tarragon-node"),
            front: address(&self.net, 10 + number, 8149),
            ready: address(&self.net, 10 + number, 8141),
            process: None,
            settings,
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _gone = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the settings of a host as `DEPLOY.md` shows them, with the bounds of the small sites.
fn settings_text(name: &str, ip: &str, number: u8, store: SocketAddr) -> String {
    let zone = (b'a' + (number - 1) % 3) as char;
    format!(
        r#"NodeName = "{name}"
Role = "node"
MachineClass = "front"
Serves = ["front", "directory"]
Ip = "{ip}"
Zone = "here-{zone}"
Region = "here"
PortRange = [7380, 7395]
Bootstrap = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
[Listen]
Front = "{ip}:8149"
Ready = "{ip}:8141"
Directory = "{ip}:8143"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ReuseAfterS = 2
ContactMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 58
RecoveryS = 12
FencingRequired = false
LeaseMs = 3000
ThawSlackMs = 300
version_ms = 5000
ttl_max_s = 5
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"#
    )
}

fn address(net: &str, last: u8, port: u16) -> SocketAddr {
    format!("{net}.{last}:{port}")
        .parse()
        .unwrap_or_else(|_| SocketAddr::from(([127, 0, 0, 1], port)))
}

/// Creates an object in a store.
pub fn create(
    store: SocketAddr,
    kind: &str,
    name: &str,
    spec: &str,
) -> std::result::Result<(), CannotRun> {
    let body = format!(r#"{{"Metadata":{{"Name":"{name}"}},"Spec":{spec}}}"#);
    let path = format!("/v1/objects/{kind}");
    check(http::call(store, "POST", &path, &JSON, body.as_bytes(), CALL_TIMEOUT))
}

/// Replaces an object in a store.
pub fn replace(
    store: SocketAddr,
    kind: &str,
    name: &str,
    spec: &str,
) -> std::result::Result<(), CannotRun> {
    let body = format!(r#"{{"Metadata":{{"Name":"{name}"}},"Spec":{spec}}}"#);
    let path = format!("/v1/objects/{kind}/{name}");
    check(http::call(store, "PUT", &path, &JSON, body.as_bytes(), CALL_TIMEOUT))
}

const JSON: [(&str, &str); 1] = [("content-type", "application/json")];

fn check(answer: Result<Message>) -> std::result::Result<(), CannotRun> {
    match answer {
        Ok(answer) if answer.status() < 300 => Ok(()),
        Ok(answer) => Err(format!("the store answers {} {}", answer.first_line, answer.text())),
        Err(error) => Err(format!("the store does not answer: {error}")),
    }
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, holds: impl Fn() -> bool) -> std::result::Result<(), CannotRun> {
    let deadline = Instant::now() + START_TIMEOUT;
    while Instant::now() < deadline {
        if holds() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("gave up waiting for {what}"))
}

/// Serves connections with a function in a thread each, until the server has left.
pub fn serve(
    address: SocketAddr,
    has_left: Arc<AtomicBool>,
    handler: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::result::Result<(), CannotRun> {
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    listener.set_nonblocking(true).map_err(|error| error.to_string())?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while !has_left.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let handler = Arc::clone(&handler);
            let _blocking = stream.set_nonblocking(false);
            let _nodelay = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
    Ok(())
}

/// Returns the time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}
