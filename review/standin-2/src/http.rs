//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or response.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Returns word `index` of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns a value of the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or("")
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        match first {
            b'+' => bytes.push(b' '),
            b'%' if rest.len() >= 2 => {
                let hex = std::str::from_utf8(&rest[..2]).unwrap_or("20");
                bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                rest = &rest[2..];
            }
            other => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads the start line and the header fields; `None` if the peer closes before.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let headers = lines[1..].iter().filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
    Ok(Some(Message {
        headers: headers.collect(),
        start: lines.swap_remove(0),
        body: Vec::new(),
    }))
}

/// Reads a message with its body.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().map_err(io::Error::other)?];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Writes a message in one piece.
pub fn write(stream: &mut TcpStream, start: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("{start}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
