//! Stand-in of the platform's metadata store: items with revisions, pages, watches,
//! transactions. What the pages leave open is as sound as possible: every answer is of the
//! present state when the call arrives.

use crate::http;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::base64_decode;
use crate::json::base64_encode;
use crate::json::quote;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Items of a page; the pages say about 500.
const PAGE_ITEMS: usize = 500;
/// Bytes of a page; the pages say 1 MB.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, (Vec<u8>, i64)>,
    /// Revision, key and new value of each change; no value for a deletion.
    events: Vec<(i64, String, Option<Vec<u8>>)>,
    /// Time that each answer takes, besides the wait of a watch.
    answer_time: Duration,
    /// Prefix and `after` of each call for a page, with its arrival.
    pages: Vec<(String, String, Instant)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Store> {
        let state = State {
            revision: 1,
            answer_time: Duration::from_millis(4),
            ..State::default()
        };
        let store = Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let handling = store.clone();
        let handler = move |req: &Request, stream: &mut TcpStream| handling.handle(req, stream);
        // The server runs until the process ends.
        let _ = Server::start(address, Arc::new(handler)).expect("address of the store");
        store
    }

    /// Writes an item as the operator or a runner does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> i64 {
        let mut state = self.state.lock().unwrap();
        state.put(key, value.as_bytes().to_vec());
        self.changed.notify_all();
        state.revision
    }

    pub fn set_answer_time(&self, time: Duration) {
        self.state.lock().unwrap().answer_time = time;
    }

    /// Waits for a call for the first page of `prefix` that arrives after `since`.
    pub fn wait_for_first_page(&self, prefix: &str, since: Instant, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.state.lock().unwrap();
        loop {
            let is_first = |(known, after, at): &(String, String, Instant)| {
                known == prefix && after.is_empty() && *at > since
            };
            if state.pages.iter().any(is_first) {
                return true;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Returns the number of calls for pages of `prefix` after `since`.
    pub fn page_count(&self, prefix: &str, since: Instant) -> usize {
        let state = self.state.lock().unwrap();
        let pages = state.pages.iter();
        pages
            .filter(|(known, _, at)| known == prefix && *at > since)
            .count()
    }

    fn handle(&self, req: &Request, stream: &mut TcpStream) -> bool {
        let param = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let answer = match req.path.as_str() {
            "/dogwoodshunt/kv-key" => self.state.lock().unwrap().key(&param("key")),
            "/dogwoodshunt/kv-range" => {
                let mut state = self.state.lock().unwrap();
                state
                    .pages
                    .push((param("prefix"), param("after"), Instant::now()));
                self.changed.notify_all();
                state.page(&param("prefix"), &param("after"))
            }
            "/dogwoodshunt/kv-watch" => {
                let after = param("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
                match self.watch(&param("prefix"), after, wait, stream) {
                    Some(answer) => answer,
                    None => return false,
                }
            }
            "/dogwoodshunt/kv-txn" => {
                let body = String::from_utf8_lossy(&req.body).into_owned();
                let answer = match Json::parse(&body) {
                    Some(txn) => self.state.lock().unwrap().txn(&txn),
                    None => (400, "{}".to_owned()),
                };
                self.changed.notify_all();
                answer
            }
            "/dogwoodshunt/kv-lease" => (200, "{\"lease\":1,\"ttl_ms\":3000}".to_owned()),
            _ => (404, "{}".to_owned()),
        };
        let answer_time = self.state.lock().unwrap().answer_time;
        std::thread::sleep(answer_time);
        let headers = [("Content-Type", "application/json")];
        http::respond(stream, answer.0, &headers, answer.1.as_bytes()).is_ok()
    }

    /// Returns the changes after a revision as soon as there are any; `None` if the caller is gone.
    fn watch(
        &self,
        prefix: &str,
        after: i64,
        wait: Duration,
        stream: &TcpStream,
    ) -> Option<(u16, String)> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.events_after(prefix, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return Some((200, body));
            }
            if http::is_closed(stream) {
                return None;
            }
            let nap = left.min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, nap).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        self.events
            .push((self.revision, key.to_owned(), Some(value.clone())));
        self.items.insert(key.to_owned(), (value, self.revision));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn item(key: &str, value: &[u8], revision: i64) -> String {
        format!(
            "\"key\":{},\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0",
            quote(key),
            base64_encode(value)
        )
    }

    fn key(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some((value, revision)) => {
                let item = Self::item(key, value, *revision);
                let current = self.revision;
                (200, format!("{{{item},\"current_rev\":{current}}}"))
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn page(&self, prefix: &str, after: &str) -> (u16, String) {
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, revision)) in &self.items {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || bytes > PAGE_BYTES {
                has_more = true;
                break;
            }
            let item = format!("{{{}}}", Self::item(key, value, *revision));
            bytes += item.len();
            items.push(item);
        }
        let (items, current) = (items.join(","), self.revision);
        let body =
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{current}}}");
        (200, body)
    }

    fn events_after(&self, prefix: &str, after: i64) -> Vec<String> {
        let events = self.events.iter();
        let events =
            events.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events = events.map(|(revision, key, value)| match value {
            Some(value) => format!("{{{}}}", Self::item(key, value, *revision)),
            None => format!(
                "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                quote(key)
            ),
        });
        events.collect()
    }

    fn txn(&mut self, txn: &Json) -> (u16, String) {
        for row in txn.get("expected").list() {
            let key = row.get("key").text().unwrap_or_default();
            let current = self.items.get(key).map_or(0, |(_, revision)| *revision);
            if row.get("revision").number() != Some(current) {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in txn.get("puts").list() {
            let key = put.get("key").text().unwrap_or_default().to_owned();
            let value = base64_decode(put.get("value").text().unwrap_or_default());
            self.put(&key, value);
        }
        for key in txn.get("remove").list() {
            self.remove(key.text().unwrap_or_default());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}
