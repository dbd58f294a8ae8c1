//! One process of the product, with the signals that tests send.

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    ffi::OsStr,
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

/// A running process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a binary of the workspace with these arguments and variables.
    pub fn spawn<'a>(
        binary: &str,
        args: &[&str],
        env_vars: impl IntoIterator<Item = (&'a str, String)>,
        log: &Path,
    ) -> Self {
        let log = File::options().create(true).append(true).open(log).expect("log file opens");
        let child = Command::new(binary_path(binary))
            .args(args.iter().map(OsStr::new))
            .envs(env_vars)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file can be shared"))
            .stderr(log)
            .spawn()
            .expect("binary starts; build the workspace first");
        Self { child }
    }

    /// Asks the process to stop and waits until it has ended.
    pub fn stop(mut self, limit: Duration) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("child can be waited for") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("process did not stop within {limit:?}");
    }

    /// Asks the process to stop and does not wait.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process from running until [`Process::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process run again.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Reports whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("child can be waited for").is_some()
    }

    /// Gives the identifier of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // A process that has ended takes no signal.
        let _ended = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has ended and was waited for.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Finds a binary of the workspace beside the running test or program.
pub fn binary_path(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("path of the program is known");
    let mut folders = own.ancestors().skip(1).map(|folder| folder.join(name));
    folders.find(|path| path.is_file()).expect("binary exists; build the workspace first")
}
