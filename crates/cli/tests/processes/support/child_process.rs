//! Child processes that end with their test.

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

static NEXT: AtomicU64 = AtomicU64::new(0);

/// A folder of one test, removed at its end.
pub struct Workdir {
    path: PathBuf,
}

impl Workdir {
    /// Creates an empty folder.
    pub fn new() -> Self {
        let name = format!("{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&path).expect("create the test's folder");
        Self { path }
    }

    /// Writes a file and gives its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        fs::write(&path, text).expect("write a file of the test");
        path.to_string_lossy().into_owned()
    }

    /// Path of a file in the folder.
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

/// Runs the operators' command line to its end.
pub fn run_cli(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pimentoslip")).args(args).output().expect("run pimentoslip")
}

/// A running process, killed when dropped.
pub struct ChildProcess {
    child: Child,
    /// First line that it printed.
    pub first_line: String,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts `program` and waits for its first line. Its logs go to a file.
    pub fn start(program: &str, args: &[String], log: PathBuf) -> Self {
        let file = File::create(&log).expect("create a log");
        let mut child =
            Command::new(program).args(args).stdout(Stdio::piped()).stderr(file).spawn().expect("start a process");
        let mut first_line = String::new();
        let stdout = child.stdout.take().expect("a pipe");
        BufReader::new(stdout).read_line(&mut first_line).expect("read the first line");
        assert!(!first_line.is_empty(), "the process said nothing: {}", fs::read_to_string(&log).unwrap_or_default());
        Self { child, first_line, log }
    }

    /// Starts `program` with its output in a file, which holds its logs.
    pub fn start_logged(program: &str, args: &[&str], variable: (&str, &str), log: PathBuf) -> Self {
        let file = File::create(&log).expect("create a log");
        let errors = file.try_clone().expect("share the log");
        let mut command = Command::new(program);
        command.args(args).env(variable.0, variable.1).stdout(file).stderr(errors);
        Self { child: command.spawn().expect("start a process"), first_line: String::new(), log }
    }

    /// Word of the first line that begins with `label`, without it.
    pub fn word_after(&self, label: &str) -> String {
        let words = self.first_line.split_whitespace();
        words.filter_map(|word| word.strip_prefix(label)).next_back().unwrap_or_default().to_owned()
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until it has started or ended; whether it ended because an address was taken.
    pub fn failed_to_listen(&mut self) -> bool {
        const POLL: Duration = Duration::from_millis(5);
        loop {
            let ended = self.exit_status().is_some();
            let log = self.log();
            if log.contains("event=started") {
                return false;
            }
            if ended {
                return log.contains("cannot listen");
            }
            std::thread::sleep(POLL);
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(i32::try_from(self.id()).expect("a process id"));
        kill(pid, signal).expect("signal the process");
    }

    /// Stops it in its tracks.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
