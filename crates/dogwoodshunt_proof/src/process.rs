//! Processes of the system under test, controlled by signals.

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

/// A running process; dropping the handle kills the process.
pub struct Process {
    child: Child,
    started_line: String,
}

impl Process {
    /// Starts `PROGRAM run SETTINGS` and waits until the process logs the event
    /// `started`.
    ///
    /// Appends the log to the path of the settings with the extension `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be executed, or exits before it logs
    /// the event `started`.
    pub fn start(program: &str, settings: &Path) -> io::Result<Self> {
        let mut child = Command::new(binary_path(program)?)
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
        thread::spawn(move || copy_log(BufReader::new(stdout), log, &tx));
        let started_line = rx.recv().map_err(|_| {
            let message = format!("{program} exited before it logged the event started");
            io::Error::new(io::ErrorKind::UnexpectedEof, message)
        })?;
        Ok(Self {
            child,
            started_line,
        })
    }

    /// Returns the value of `key` in the log line of the event `started`.
    pub fn started_field(&self, key: &str) -> Option<&str> {
        let start = self.started_line.find(&format!(" {key}=\""))? + key.len() + 3;
        self.started_line[start..].split('"').next()
    }

    /// Returns the operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Freezes the process with `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent, since the process has exited.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the process with `SIGCONT` after [`Process::freeze`].
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent, since the process has exited.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent, since the process has exited.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process with `SIGKILL` and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses to kill or await the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Returns whether the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the process's status.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Requests a reload of the settings with `SIGHUP`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent, since the process has exited.
    pub fn reload(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the process's status.
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

fn copy_log(lines: impl BufRead, mut log: File, started_tx: &mpsc::Sender<String>) {
    for line in lines.lines().map_while(Result::ok) {
        let _ = writeln!(log, "{line}");
        if line.contains("event=\"started\"") {
            let _ = started_tx.send(line);
        }
    }
}

/// Returns the path of a program of this workspace, in the directory of the
/// current executable or in its parent.
///
/// # Errors
///
/// Returns an error if the program is not built.
pub fn binary_path(program: &str) -> io::Result<PathBuf> {
    let executable = env::current_exe()?;
    let directories = executable.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|dir| dir.join(program));
    candidates.find(|path| path.exists()).ok_or_else(|| {
        let message = format!("{program} is not built; run cargo test --workspace");
        io::Error::new(io::ErrorKind::NotFound, message)
    })
}
