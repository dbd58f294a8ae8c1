//! A child process and the signals that tests send to it.

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

/// A child process, killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a binary of the workspace with these arguments and environment variables, and appends
    /// its standard output and standard error to the log file.
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

    /// Sends `SIGTERM` and waits until the process has exited; panics when the timeout has passed.
    pub fn stop(mut self, timeout: Duration) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Some(status) = self.child.try_wait().expect("child can be waited for") {
                return status;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("process did not exit within {timeout:?} after SIGTERM");
    }

    /// Sends `SIGTERM` without waiting for the process to exit.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends the process with `SIGSTOP` until [`Process::thaw`].
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a frozen process with `SIGCONT`.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("child can be waited for").is_some()
    }

    /// Returns the process id, for reading `/proc`.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // Sending a signal fails only when the process has exited.
        let _result = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process has exited and was waited for.
        let _kill_result = self.child.kill();
        let _wait_result = self.child.wait();
    }
}

/// Returns the path of a binary of the workspace, searched for in the directories above the
/// running program.
pub fn binary_path(name: &str) -> PathBuf {
    let program = std::env::current_exe().expect("path of the running program is known");
    let mut candidates = program.ancestors().skip(1).map(|directory| directory.join(name));
    candidates.find(|path| path.is_file()).expect("binary exists; build the workspace first")
}
