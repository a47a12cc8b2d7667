//! Connections to the store through a proxy. Open ones can fall silent for good, without a reset, while
//! new ones work. The proxy can also make the store appear down: no call is answered then.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the requests for the operators' records contain.
const OPERATOR_WATCH: &[u8] = b"kv-watch?prefix=op";

pub struct Proxy {
    pub address: SocketAddr,
    is_down: AtomicBool,
    /// Number of watches of the operators' records so far, and when the last one came.
    watches: Mutex<(u64, u64)>,
    /// One flag for each connection so far.
    silent: Mutex<Vec<Arc<AtomicBool>>>,
    opened: AtomicU64,
}

impl Proxy {
    pub fn start(target: SocketAddr, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let proxy = Arc::new(Self {
            address: listener.local_addr().expect("address"),
            is_down: AtomicBool::new(false),
            watches: Mutex::default(),
            silent: Mutex::default(),
            opened: AtomicU64::new(0),
        });
        let (serving, record) = (proxy.clone(), record.clone());
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let number = serving.opened.fetch_add(1, Ordering::Relaxed) + 1;
                record.add(format!("connection {number} to the store opened"));
                let is_silent = Arc::new(AtomicBool::new(false));
                serving.silent.lock().unwrap().push(is_silent.clone());
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let _ = from.set_nodelay(true);
                    if let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) {
                        let (proxy, is_silent) = (serving.clone(), is_silent.clone());
                        let record = record.clone();
                        std::thread::spawn(move || proxy.forward(from, to, &is_silent, &record));
                    }
                }
            }
        });
        proxy
    }

    /// Lets all open connections fall silent for good. New ones work.
    pub fn silence_open_connections(&self) -> usize {
        let silent = self.silent.lock().unwrap();
        silent
            .iter()
            .for_each(|flag| flag.store(true, Ordering::SeqCst));
        silent.len()
    }

    /// Makes the store appear down, or ends that. A connection on which an answer was lost returns
    /// nothing further.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Returns the number of watches of the operators' records so far, and when the last one came.
    pub fn operator_watches(&self) -> (u64, u64) {
        *self.watches.lock().unwrap()
    }

    fn forward(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        is_silent: &AtomicBool,
        record: &Record,
    ) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let read = from.read(&mut bytes);
            if let Ok(count @ 1..) = read {
                if bytes[..count]
                    .windows(OPERATOR_WATCH.len())
                    .any(|part| part == OPERATOR_WATCH)
                {
                    let mut watches = self.watches.lock().unwrap();
                    *watches = (watches.0 + 1, record.now());
                }
                if self.is_down.load(Ordering::SeqCst) {
                    is_silent.store(true, Ordering::SeqCst);
                }
            }
            while is_silent.load(Ordering::SeqCst) {
                // The sockets stay open, and nothing passes any more.
                std::thread::sleep(Duration::from_secs(1));
            }
            match read {
                Ok(count @ 1..) if to.write_all(&bytes[..count]).is_ok() => {}
                _ => {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        }
    }
}
