//! Processes of the system, started with the commands of the deploy file, and their settings,
//! filled in from the templates of the deploy file.

use crate::http;
use crate::json::quote;
use crate::record::Record;
use std::collections::BTreeMap;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Distance between the numbers of a machine and of its agent's address behind a link.
const BEHIND_LINK: u8 = 100;

/// Addresses, ports and folders of one small deployment on loopback.
pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    network: [u8; 2],
    ports: Vec<u16>,
    pub record: Arc<Record>,
    /// Bounds of the site, by name.
    pub bounds: BTreeMap<&'static str, &'static str>,
}

impl Site {
    pub fn new(root: PathBuf, folder: PathBuf, record: Arc<Record>, is_grown: bool) -> Site {
        let pid = std::process::id();
        let listeners: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("free port"))
            .collect();
        let ports = listeners.iter().map(|l| l.local_addr().unwrap().port());
        let grown = |small, grown| if is_grown { grown } else { small };
        let bounds = [
            ("bounds.grace_s", "8"),
            ("bounds.config_apply_ms", grown("2000", "3000")),
            ("bounds.drain_ms", grown("2000", "3000")),
            ("bounds.retry_budget_ratio", "0.2"),
            ("bounds.retry_budget_slack", grown("54", "96")),
        ];
        Site {
            root,
            folder,
            network: [16 + (pid / 250 % 100) as u8, 1 + (pid % 250) as u8],
            ports: ports.collect(),
            record,
            bounds: bounds.into_iter().collect(),
        }
    }

    fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], machine)
    }

    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(250).into(), self.ports[0])
    }

    /// Address at which clients reach an `edge` machine.
    pub fn front(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine).into(), self.ports[1])
    }

    fn ready_address(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine).into(), self.ports[2])
    }

    /// Address of the runner of a `side` machine, or of one without such a machine.
    pub fn app(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine).into(), self.ports[3])
    }

    /// Address at which the agent of a machine is reached over a link, and that at which it listens
    /// then.
    pub fn agent_addresses(&self, machine: u8) -> (SocketAddr, SocketAddr) {
        let address = |machine| SocketAddr::new(self.ip(machine).into(), self.ports[4]);
        (address(machine), address(machine + BEHIND_LINK))
    }

    fn fields(&self, machine: u8, app: u8, name: &str) -> BTreeMap<String, String> {
        let mut fields: BTreeMap<String, String> = BTreeMap::new();
        for (name, value) in &self.bounds {
            fields.insert((*name).to_owned(), (*value).to_owned());
        }
        let texts = [
            ("node_name", name.to_owned()),
            ("zone", "kicukiro".to_owned()),
            ("region", "kigali".to_owned()),
            ("ip", self.ip(machine).to_string()),
            ("listen.front", self.front(machine).to_string()),
            ("listen.ready_addr", self.ready_address(machine).to_string()),
            ("internal_port_range.0", self.ports[4].to_string()),
            ("app", self.app(app).to_string()),
            ("platform.address", self.store_address().to_string()),
        ];
        for (name, value) in texts {
            fields.insert(name.to_owned(), value);
        }
        fields
    }

    /// Starts the process of `role` (`entry` or `agent`) on a machine.
    pub fn start(&self, role: &str, machine: u8, name: &str) -> Process {
        self.start_beside(role, machine, machine, name)
    }

    /// Starts the agent of a machine that is reached over a link.
    pub fn start_agent(&self, machine: u8) -> Process {
        let name = format!("side-kicukiro-{machine}");
        self.start_beside("agent", machine + BEHIND_LINK, machine, &name)
    }

    fn start_beside(&self, role: &str, machine: u8, app: u8, name: &str) -> Process {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml")).expect("deploy file");
        let (run, template) = role_of(&deploy, role);
        let template = fs::read_to_string(self.root.join(&template)).expect("template");
        let settings = fill_in(&template, &self.fields(machine, app, name));
        let path = self.folder.join(format!("{name}.conf"));
        fs::write(&path, settings).expect("settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log file");
        let mut words = run.split(' ');
        let program = self.root.join(words.next().unwrap_or_default());
        let mut command = Command::new(program);
        // The child ends with this program, also if that is killed.
        // SAFETY: between fork and exec, `prctl` with these arguments only sets a field of the
        // calling process; it takes no lock and allocates nothing.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command
            .args(words)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("DOGWOODSHUNT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn()
            .expect("program of the deploy file; build it first");
        self.record
            .note(&format!("{name} starts, process {}", child.id()));
        Process {
            child,
            name: name.to_owned(),
            record: self.record.clone(),
        }
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, machine: u8, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let request = b"GET /dogwoodshunt/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            let address = self.ready_address(machine);
            if http::call(address, request, Duration::from_millis(500)).status == 200 {
                self.record.note("the entry is ready");
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Returns command and template of a role in the deploy file.
fn role_of(deploy: &str, role: &str) -> (String, String) {
    let section = format!("[roles.{role}]");
    let lines = deploy.lines().skip_while(|line| line.trim() != section);
    let lines: Vec<&str> = lines.skip(1).take_while(|l| !l.starts_with('[')).collect();
    let value = |name: &str| {
        let line = lines.iter().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split('"').nth(1));
        value.expect("field of the deploy file").to_owned()
    };
    (value("run ="), value("template ="))
}

/// Fills a template in, as far as the templates of this project need it.
fn fill_in(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    // Sections for fields that have no value: all of them have one here.
    while let Some(start) = text.find("{{^") {
        let name_end = start + text[start..].find("}}").expect("end of a section's name");
        let end_mark = format!("{{{{/{}}}}}", &text[start + 3..name_end]);
        let end = text.find(&end_mark).expect("end of a section") + end_mark.len();
        text.replace_range(start..end, "");
    }
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("end of a placeholder");
        let placeholder = text[start + 2..end].to_owned();
        let (name, is_json) = match placeholder.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (placeholder.as_str(), false),
        };
        let value = fields.get(name).expect("field of a template");
        let value = if is_json { quote(value) } else { value.clone() };
        text.replace_range(start..end + 2, &value);
    }
    text
}

/// A process that this program has started; it is killed at the latest when it is dropped.
pub struct Process {
    child: Child,
    name: String,
    record: Arc<Record>,
}

impl Process {
    pub fn signal(&self, signal: &str) {
        self.record.note(&format!("{} gets SIG{signal}", self.name));
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
    }

    /// Returns the most memory that the process has held so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
        kilobytes.and_then(|v| v.parse::<u64>().ok()).unwrap_or(0) / 1_000
    }

    /// Waits for the end of the process; returns whether it came.
    pub fn wait(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                self.record.note(&format!("{} has ended", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
