//! Child processes and working directories whose lifetime is that of their test.

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    fs::{self, File},
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Number of the next working directory; together with the process id it makes a unique name.
static NEXT_WORKDIR: AtomicU64 = AtomicU64::new(0);

/// Working directory of one test, deleted when the test ends. It is kept, with its logs, if the test panics.
pub struct Workdir {
    path: PathBuf,
}

impl Workdir {
    /// Creates an empty directory below the temporary directory of the integration tests.
    pub fn new() -> Self {
        let name = format!("{}-{}", std::process::id(), NEXT_WORKDIR.fetch_add(1, Ordering::SeqCst));
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("create the working directory of the test");
        Self { path }
    }

    /// Writes `text` to the file `name` and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        fs::write(&path, text).expect("write a file in the working directory");
        path.to_string_lossy().into_owned()
    }

    /// Path of the file `name` in the directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.path);
        }
    }
}

/// Runs the `pimentoslip` command-line tool with `args`, waits until it exits and returns its output.
pub fn run_cli(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pimentoslip")).args(args).output().expect("run pimentoslip")
}

/// A child process that is killed when it is dropped.
pub struct ChildProcess {
    child: Child,
    /// First line that the process wrote to its standard output; empty after [`ChildProcess::start_logged`].
    pub first_line: String,
    /// File that receives the log of the process.
    log_path: PathBuf,
}

impl ChildProcess {
    /// Starts `program` and waits until it has written one line to its standard output. Its standard error, which
    /// carries the log, is written to the file `log_path`.
    pub fn start(program: &str, args: &[String], log_path: PathBuf) -> Self {
        Self::start_with(program, args, &[], log_path)
    }

    /// Starts `program` like [`ChildProcess::start`], with environment variables (name, value).
    pub fn start_with(program: &str, args: &[String], variables: &[(&str, String)], log_path: PathBuf) -> Self {
        let file = File::create(&log_path).expect("create the log file");
        let mut command = Command::new(program);
        command.args(args).envs(variables.iter().cloned()).stdout(Stdio::piped()).stderr(file);
        let mut child = command.spawn().expect("start the process");
        let mut first_line = String::new();
        let stdout = child.stdout.take().expect("standard output is piped");
        BufReader::new(stdout).read_line(&mut first_line).expect("read the first line of the process");
        assert!(
            !first_line.is_empty(),
            "the process printed no first line: {}",
            fs::read_to_string(&log_path).unwrap_or_default()
        );
        Self { child, first_line, log_path }
    }

    /// Starts `program` with one environment variable (name, value); its standard output and standard error are both
    /// written to the file `log_path`.
    pub fn start_logged(program: &str, args: &[&str], variable: (&str, &str), log_path: PathBuf) -> Self {
        let file = File::create(&log_path).expect("create the log file");
        let stderr_file = file.try_clone().expect("duplicate the handle of the log file");
        let mut command = Command::new(program);
        command.args(args).env(variable.0, variable.1).stdout(file).stderr(stderr_file);
        Self { child: command.spawn().expect("start the process"), first_line: String::new(), log_path }
    }

    /// Text after `label` in the last word of [`ChildProcess::first_line`] that starts with `label`; empty if no word
    /// does.
    pub fn word_after(&self, label: &str) -> String {
        let words = self.first_line.split_whitespace();
        words.filter_map(|word| word.strip_prefix(label)).next_back().unwrap_or_default().to_owned()
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Largest memory that the process has used so far.
    pub fn peak_memory_bytes(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).expect("the status of the process");
        let kib = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.split_whitespace().next()?.parse().ok());
        kib.map_or(0, |kib: usize| kib << 10)
    }

    /// Log text written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Waits until the process has logged its start or has exited. True if it exited because it could not listen on
    /// one of its addresses.
    pub fn failed_to_listen(&mut self) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(5);
        loop {
            let has_exited = self.exit_status().is_some();
            let log = self.log();
            if log.contains("event=started") {
                return false;
            }
            if has_exited {
                return log.contains("cannot listen");
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.id()).expect("a process id in the range of i32"));
        kill(pid, signal).expect("send a signal to the process");
    }

    /// Suspends the process with `SIGSTOP`. Its sockets stay open.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with `SIGCONT`.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful stop with `SIGTERM`.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process with `SIGKILL` and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Exit status, or `None` while the process is running.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
