//! Clients of the system: each sends one request after another on a connection that it keeps.

use crate::http;
use crate::record::Record;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent_at: u64,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
}

impl Clients {
    /// Starts `count` clients, each of which sends a request every `period`.
    pub fn start(
        count: u64,
        period: Duration,
        front: SocketAddr,
        request: &'static str,
        record: &Record,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..count).map(|client| {
            let (stop, attempts, record) = (stop.clone(), attempts.clone(), record.clone());
            std::thread::spawn(move || {
                // The clients don't send in step.
                std::thread::sleep(period.mul_f64(client as f64 / count as f64));
                let mut connection = None;
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{client:04x}{number:08x}");
                    let sent_at = record.now();
                    record.add_at(sent_at, format!("client sends {id}"));
                    let status = send(&mut connection, front, request, &id).unwrap_or(0);
                    if status == 0 {
                        connection = None;
                    }
                    record.add(format!("client gets {status} for {id}"));
                    attempts.lock().unwrap().push(Attempt {
                        id,
                        sent_at,
                        status,
                    });
                    let next = sent_at + u64::try_from(period.as_millis()).unwrap_or(0);
                    record.sleep_until(next);
                }
            })
        });
        Self {
            threads: threads.collect(),
            stop,
            attempts,
        }
    }

    pub fn stop(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let attempts = self.attempts.lock().unwrap();
        attempts.clone()
    }
}

/// Sends a request; returns the status of its answer, 0 if there is none.
fn send(
    connection: &mut Option<BufReader<TcpStream>>,
    front: SocketAddr,
    request: &str,
    id: &str,
) -> std::io::Result<u16> {
    if connection.is_none() {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        // Longer than the deadline that the requests name.
        stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
        *connection = Some(BufReader::new(stream));
    }
    let Some(reader) = connection.as_mut() else {
        return Ok(0);
    };
    let mut stream = reader.get_ref().try_clone()?;
    let (start, fields) = request.split_once("\r\n").unwrap_or((request, ""));
    let fields = format!("{fields}Request-Id: {id}\r\n");
    http::write(&mut stream, start, &fields, b"{\"lorry\":7}")?;
    let answer = http::read(reader)?;
    let status = answer.as_ref().map_or(0, http::Message::status);
    let closes = answer.is_some_and(|a| a.header("connection") == Some("close"));
    if closes {
        *connection = None;
    }
    Ok(status)
}
