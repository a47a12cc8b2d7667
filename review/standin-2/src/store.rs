//! Stand-in of the platform's metadata store: keys, one revision counter, watches.

use crate::http;
use crate::record::Record;
use std::collections::{BTreeMap, VecDeque};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and, unless it was deleted, the value of each change.
    log: VecDeque<(u64, String, Option<String>)>,
    /// When each change of the log was made.
    times: VecDeque<Instant>,
    /// Revision up to which the changes are no longer available.
    dropped: u64,
}

impl State {
    fn record(&mut self, key: &str, value: Option<String>) {
        self.log.push_back((self.revision, key.to_owned(), value));
        self.times.push_back(Instant::now());
    }

    /// Drops the changes that are older than the history.
    fn drop_old(&mut self, history: Option<Duration>) {
        let Some(history) = history else {
            return;
        };
        while self.times.front().is_some_and(|at| at.elapsed() > history) {
            self.times.pop_front();
            if let Some((revision, _, _)) = self.log.pop_front() {
                self.dropped = revision;
            }
        }
    }
}

pub struct Store {
    pub address: SocketAddr,
    /// How long changes stay available; for ever if absent.
    history: Option<Duration>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(record: &Record) -> Arc<Self> {
        Self::start_with(record, None)
    }

    pub fn start_with(record: &Record, history: Option<Duration>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let address = listener.local_addr().expect("address");
        let store = Arc::new(Self {
            address,
            history,
            state: Mutex::new(State {
                revision: 10,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        record.add(format!("store listens at {address}"));
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    /// Writes a key and returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let value = base64(value.as_bytes());
        let item = Item {
            value: value.clone(),
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item);
        state.record(key, Some(value));
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.remove(key);
        state.record(key, None);
        drop(state);
        self.changed.notify_all();
        revision
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader)? {
            let (status, body) = self.answer(&request);
            // An answer takes some time, as the sites state it.
            std::thread::sleep(Duration::from_millis(4));
            let start = format!("HTTP/1.1 {status}");
            let fields = "Content-Type: application/json\r\n";
            http::write(&mut writer, &start, fields, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &http::Message) -> (&'static str, String) {
        match request.path() {
            "/dogwoodshunt/kv-range" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let state = self.state.lock().unwrap();
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let body = format!(
                    r#"{{"items":[{}],"has_more":false,"current_rev":{}}}"#,
                    items.join(","),
                    state.revision
                );
                ("200 OK", body)
            }
            "/dogwoodshunt/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                let state = self.state.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => ("200 OK", item_json(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            "/dogwoodshunt/kv-watch" => self.watch(request),
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    /// Waits for changes under a prefix as long as the caller asks for.
    fn watch(&self, request: &http::Message) -> (&'static str, String) {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let prefix = request.query("prefix").unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let wait: u64 = number("wait_ms").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            state.drop_old(self.history);
            if after < state.dropped {
                return ("410 Gone", "{}".to_owned());
            }
            let log = state.log.iter();
            let log = log.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = log.map(event_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"current_rev":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
    )
}

fn event_json((revision, key, value): &(u64, String, Option<String>)) -> String {
    match value {
        Some(value) => {
            format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"lease":0}}"#)
        }
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let digit = (word >> (18 - 6 * place)) & 63;
            let is_padding = place > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                DIGITS[digit as usize] as char
            });
        }
    }
    text
}
