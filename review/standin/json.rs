//! A small JSON reader and writer, so that the stand-ins need no library.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Map(map) => map.get(name).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<i64> {
        match self {
            Json::Number(number) => Some(*number as i64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }
}

/// Returns `text` as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(text) => f.write_str(&quote(text)),
            Json::List(list) => {
                let items: Vec<String> = list.iter().map(Json::to_string).collect();
                write!(f, "[{}]", items.join(","))
            }
            Json::Map(map) => {
                let items: Vec<String> = map
                    .iter()
                    .map(|(name, value)| format!("{}:{value}", quote(name)))
                    .collect();
                write!(f, "{{{}}}", items.join(","))
            }
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.at < self.bytes.len() && self.bytes[self.at].is_ascii_whitespace() {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    map.insert(name, self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b'}')?;
                        return Some(Json::Map(map));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b',').is_none() {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.at < self.bytes.len()
                    && matches!(
                        self.bytes[self.at],
                        b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E'
                    )
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b'r' => text.push(b'\r'),
                        b't' => text.push(b'\t'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            let c = char::from_u32(code.ok()?).unwrap_or('?');
                            text.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (word >> (18 - 6 * place)) & 63;
                text.push(ALPHABET[index as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn base64_decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(index) = ALPHABET.iter().position(|c| *c == byte) else {
            continue;
        };
        word = (word << 6) | index as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
