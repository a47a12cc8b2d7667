//! HTTP/1.1 on threads: a server that can be stopped as by a crash, and a client.

use std::collections::HashMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let code = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (percent_decode(name), percent_decode(value)));
    let mut req = Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: Vec::new(),
    };
    if req.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut req.body)?;
    } else if let Some(length) = req.header("content-length").and_then(|v| v.parse().ok()) {
        req.body = vec![0; length];
        reader.read_exact(&mut req.body)?;
    }
    Ok(Some(req))
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Returns whether the other side has closed a connection on which nothing more is due.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Answers a request; returns whether the connection stays open.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync;

/// A listener with its connections.
pub struct Server {
    alive: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Arc<Handler>) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Server {
            alive: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
        };
        let (alive, connections) = (server.alive.clone(), server.connections.clone());
        thread::spawn(move || {
            while alive.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let (Ok(kept), Ok(writer)) = (stream.try_clone(), stream.try_clone()) else {
                    continue;
                };
                connections.lock().unwrap().push(kept);
                let (handler, alive) = (handler.clone(), alive.clone());
                thread::spawn(move || serve_connection(stream, writer, &*handler, &alive));
            }
        });
        Ok(server)
    }

    /// Ends the listener and all connections, as the crash of a process does.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(
    stream: TcpStream,
    mut writer: TcpStream,
    handler: &Handler,
    alive: &AtomicBool,
) {
    let mut reader = BufReader::new(stream);
    while let Ok(Some(req)) = read_request(&mut reader) {
        if !alive.load(Ordering::SeqCst) || !handler(&req, &mut writer) {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

/// What a client has got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the answer has come to its end.
    pub is_whole: bool,
    pub took_ms: u128,
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let _ = exchange(address, request, timeout, &mut answer);
    answer.took_ms = started.elapsed().as_millis();
    answer
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    timeout: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Ok(());
    };
    answer.headers = headers.into_iter().collect();
    let status = first.split(' ').nth(1).and_then(|v| v.parse().ok());
    answer.status = status.unwrap_or(0);
    if answer.headers.contains_key("transfer-encoding") {
        read_chunks(&mut reader, &mut answer.body)?;
    } else if let Some(length) = answer.headers.get("content-length") {
        let length = length.parse().unwrap_or(0);
        answer.body = vec![0; length];
        reader.read_exact(&mut answer.body)?;
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.is_whole = true;
    Ok(())
}
