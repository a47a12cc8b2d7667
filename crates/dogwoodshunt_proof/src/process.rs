//! Processes that tests start, freeze and kill.

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use std::env;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;

/// A process that a test has started; it is killed when this is dropped.
pub struct Process {
    child: Child,
    started: String,
}

impl Process {
    /// Starts `program run SETTINGS` and waits until it logs that it has started.
    ///
    /// Its log goes to a file beside the settings.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be started or ends before it has started.
    pub fn start(program: &str, settings: &Path) -> io::Result<Self> {
        let mut child = Command::new(binary(program)?)
            .arg("run")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let log = File::options()
            .append(true)
            .create(true)
            .open(settings.with_extension("log"))?;
        let (tx, rx) = mpsc::channel();
        thread::spawn(move || copy_lines(BufReader::new(stdout), log, &tx));
        let started = rx.recv().map_err(|_| {
            let message = format!("{program} ended before it had started");
            io::Error::new(io::ErrorKind::UnexpectedEof, message)
        })?;
        Ok(Self { child, started })
    }

    /// Returns a field of the line that the process logged when it started.
    pub fn started_field(&self, key: &str) -> Option<&str> {
        let start = self.started.find(&format!(" {key}=\""))? + key.len() + 3;
        self.started[start..].split('"').next()
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Freezes the process.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Wakes the process.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn wake(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Returns whether the process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the system does not know it.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Asks the process to read its settings again.
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn reload(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the system does not know it.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).ok();
        let pid = id.and_then(Pid::from_raw).ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn copy_lines(lines: impl BufRead, mut log: File, started: &mpsc::Sender<String>) {
    for line in lines.lines().map_while(Result::ok) {
        let _ = writeln!(log, "{line}");
        if line.contains("event=\"started\"") {
            let _ = started.send(line);
        }
    }
}

/// Returns the path of a program of this workspace, built beside the test.
///
/// # Errors
///
/// Fails if it is not built.
pub fn binary(program: &str) -> io::Result<PathBuf> {
    let test = env::current_exe()?;
    let beside = test.ancestors().skip(1).take(2);
    let mut candidates = beside.map(|dir| dir.join(program));
    candidates.find(|path| path.exists()).ok_or_else(|| {
        let message = format!("{program} is not built; run cargo test --workspace");
        io::Error::new(io::ErrorKind::NotFound, message)
    })
}
