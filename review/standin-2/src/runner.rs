//! Stand-in of a runner of a service without models: runs each request for some time.

use crate::http;
use crate::record::Record;
use crate::store::Store;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A request that a runner has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: u64,
    /// Whether the answer was written whole.
    pub is_answered: bool,
}

pub struct Runner {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    work: Duration,
    beats: AtomicU64,
    is_listed: AtomicBool,
    is_draining: AtomicBool,
    is_gone: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    pub runs: Mutex<Vec<Run>>,
    record: Record,
}

impl Runner {
    pub fn start(id: &str, service: &str, zone: &str, work_ms: u64, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("time");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("address"),
            born: u64::try_from(born.as_millis()).unwrap_or(0),
            work: Duration::from_millis(work_ms),
            beats: AtomicU64::new(0),
            is_listed: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
            record: record.clone(),
        });
        record.add(format!(
            "runner {id} of {service} listens at {}",
            runner.address
        ));
        let serving = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(kept);
                }
                let runner = serving.clone();
                std::thread::spawn(move || {
                    let _ = runner.serve(stream);
                });
            }
        });
        runner
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the runner's entry into the store.
    pub fn beat(&self, store: &Store) {
        if !self.is_listed.load(Ordering::SeqCst) {
            return;
        }
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let seq = self.beats.fetch_add(1, Ordering::Relaxed);
        store.put(
            &self.key(),
            &format!(
                r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"{state}","cold_remaining_ms":0,"seq":{seq},"born":{}}}"#,
                self.service, self.address, self.zone, self.born
            ),
        );
    }

    /// Writes the entry again and again, as runners do.
    pub fn beat_every(self: &Arc<Self>, period: Duration, store: &Arc<Store>) {
        let (runner, store) = (self.clone(), store.clone());
        std::thread::spawn(move || loop {
            runner.beat(&store);
            std::thread::sleep(period);
        });
    }

    /// Reports `draining`; returns when the store has accepted that.
    pub fn report_draining(&self, store: &Store) -> u64 {
        self.is_draining.store(true, Ordering::SeqCst);
        self.beat(store);
        let at = self.record.now();
        self.record.add_at(
            at,
            format!("the store has accepted that {} is draining", self.id),
        );
        at
    }

    /// Has the entry removed without a report of draining; returns when that was done.
    pub fn remove_entry(&self, store: &Store) -> u64 {
        self.is_listed.store(false, Ordering::SeqCst);
        store.delete(&self.key());
        let at = self.record.now();
        self.record.add_at(
            at,
            format!("the entry of {} is removed from the store", self.id),
        );
        at
    }

    /// Ends the runner with all its connections.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.add(format!("{} exits", self.id));
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let is_other = |name| name != self.id;
            if request.header("expect-instance").is_some_and(is_other) {
                self.record
                    .add(format!("{} answers {id} with 421", self.id));
                let fields = format!("Request-Id: {id}\r\nNot-Executed: 1\r\n");
                http::write(
                    &mut writer,
                    "HTTP/1.1 421 Misdirected Request",
                    &fields,
                    b"",
                )?;
                continue;
            }
            let at = self.record.now();
            let number = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    id: id.clone(),
                    at,
                    is_answered: false,
                });
                runs.len() - 1
            };
            self.record.add_at(at, format!("{} runs {id}", self.id));
            std::thread::sleep(self.work);
            if self.is_gone.load(Ordering::SeqCst) {
                return Ok(());
            }
            let fields = format!(
                "Request-Id: {id}\r\nResponse-Seal: seal.{}.{id}\r\nKeep-Alive: timeout=10\r\n",
                self.id
            );
            let body = format!("{} has run {id}\n", self.id);
            http::write(&mut writer, "HTTP/1.1 200 OK", &fields, body.as_bytes())?;
            self.runs.lock().unwrap()[number].is_answered = true;
        }
        Ok(())
    }
}
