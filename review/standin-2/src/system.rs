//! The project's own programs as separate processes, with settings of a small deployment.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Why a case could not run.
pub type Problem = Box<dyn std::error::Error>;

pub struct Entry {
    pub callers: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
    child: Child,
}

/// What the settings of an entry say of its machine and its site.
pub struct Machine {
    node: &'static str,
    zone: &'static str,
    region: &'static str,
    memory_mb: u64,
    descriptors: u64,
    config_ms: u64,
    departure_ms: u64,
    retry_slack: u64,
}

/// A machine of class `edge` of the site inyange-orders.
const EDGE: Machine = Machine {
    node: "edge-kicukiro-1",
    zone: "kicukiro",
    region: "kigali",
    memory_mb: 260,
    descriptors: 4_100,
    config_ms: 2_000,
    departure_ms: 2_000,
    retry_slack: 54,
};

/// One of the smaller machines of class `edge` of the site swl-acquiring-grown.
pub const SMALL_EDGE: Machine = Machine {
    node: "edge-lan-b-10",
    zone: "lan-b",
    region: "bayern",
    memory_mb: 112,
    descriptors: 2_870,
    config_ms: 3_000,
    departure_ms: 3_000,
    retry_slack: 149,
};

/// Returns a free address of 127.0.0.1, with a port that the system gives to nobody by itself and that
/// no other case beside this one tries first.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let offset = (std::process::id().wrapping_mul(16) + tried) % 12_000;
        let port = u16::try_from(20_000 + offset).unwrap_or(20_000);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("address");
        }
    }
}

impl Entry {
    /// Starts an entry with the figures of the site inyange-orders.
    pub fn start(root: &Path, folder: &Path, store: SocketAddr) -> Result<Self, Problem> {
        Self::start_with(root, folder, store, &EDGE)
    }

    /// Starts an entry with the command of the deploy file. The settings are those of
    /// `deploy/entry.json` with the figures of a machine and its site.
    pub fn start_with(
        root: &Path,
        folder: &Path,
        store: SocketAddr,
        machine: &Machine,
    ) -> Result<Self, Problem> {
        let Machine {
            node,
            zone,
            region,
            memory_mb,
            descriptors,
            config_ms,
            departure_ms,
            retry_slack,
        } = machine;
        let (callers, ready, metrics) = (free_address(), free_address(), free_address());
        let settings = format!(
            r#"{{
  "node": {{ "name": "{node}", "failure_domain": "{zone}", "region": "{region}" }},
  "listen_callers": "{callers}",
  "listen_ready": "{ready}",
  "listen_metrics": "{metrics}",
  "key_value_service": "{store}",
  "agent_port": 7380,
  "shared_key": "dogwoodshunt on the platform",
  "limits": {{ "memory_mb": {memory_mb}, "descriptors": {descriptors} }},
  "grace_ms": 8000,
  "change_limits": {{ "config_ms": {config_ms}, "departure_ms": {departure_ms} }},
  "placing": {{ "learned_costs": true }},
  "quota_slack": 0,
  "quota_window_s": 0,
  "retries": {{ "ratio": 0.2, "slack": {retry_slack} }}
}}
"#
        );
        std::fs::write(folder.join("entry.json"), settings)?;
        Ok(Self {
            callers,
            ready,
            folder: folder.to_owned(),
            child: spawn(root, folder)?,
        })
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self, root: &Path) -> Result<(), Problem> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = spawn(root, &self.folder)?;
        Ok(())
    }

    /// Returns whether the entry says that it is ready.
    pub fn is_ready(&self) -> bool {
        is_ready(self.ready).unwrap_or(false)
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_until_ready(&self, record: &Record) -> Result<(), Problem> {
        for _ in 0..200 {
            if self.is_ready() {
                record.add("the entry is ready");
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("the entry is not ready after 10 s".into())
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the entry whose settings are in `folder`.
fn spawn(root: &Path, folder: &Path) -> Result<Child, Problem> {
    let mut options = std::fs::File::options();
    let log = options
        .create(true)
        .append(true)
        .open(folder.join("entry.log"))?;
    let run = command_of(root, "entry")?;
    let child = Command::new(root.join(&run[0]))
        .args(&run[1..])
        .current_dir(root)
        .env("DOGWOODSHUNT_CONFIG", folder.join("entry.json"))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(child)
}

fn is_ready(address: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(
        b"GET /dogwoodshunt/ready HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n",
    )?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer)?;
    Ok(&answer == b"HTTP/1.1 200")
}

/// Returns the words of `run` of a role in the deploy file.
fn command_of(root: &Path, role: &str) -> Result<Vec<String>, Problem> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml"))?;
    let section = text.split(&format!("[roles.{role}]")).nth(1);
    let section = section.ok_or("the deploy file has no such role")?;
    let line = section
        .lines()
        .find_map(|line| line.strip_prefix("run = \""));
    let line = line.ok_or("the role has no command")?;
    let words = line.trim_end_matches('"').split(' ');
    Ok(words.map(str::to_owned).collect())
}

/// Creates a temporary folder of the case.
pub fn temporary_folder() -> Result<PathBuf, Problem> {
    let name = format!("review-standin-2-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
