//! JSON values, HTTP/1.1 messages and the template of the deploy file, as far as the stand-ins need
//! them. Standard library only.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::OnceLock,
    time::{Duration, Instant},
};

/// JSON value.
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
    pub fn map<const N: usize>(entries: [(&str, Json); N]) -> Json {
        Json::Map(entries.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
    }

    pub fn text(value: &str) -> Json {
        Json::Text(value.to_owned())
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Map(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
            Json::Number(number) if number.fract() == 0.0 => {
                out.push_str(&format!("{}", *number as i64))
            }
            Json::Number(number) => out.push_str(&format!("{number}")),
            Json::Text(text) => write_text(text, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Map(map) => {
                out.push('{');
                for (index, (key, value)) in map.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    write_text(key, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for char in text.chars() {
        match char {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            char if (char as u32) < 32 => out.push_str(&format!("\\u{:04x}", char as u32)),
            char => out.push(char),
        }
    }
    out.push('"');
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Map(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        map.insert(key, parse_value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let char = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        out.extend_from_slice(char.to_string().as_bytes());
                    }
                    byte => out.push(byte),
                }
            }
            byte => {
                out.push(byte);
                *at += 1;
            }
        }
    }
}

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message; `None` at a clean end of the connection before it.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"));
    if is_chunked {
        loop {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            chunk.truncate(size);
            message.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes an answer with a body of known length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Connection of a caller, kept for several requests.
pub struct Caller {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Caller {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, connection: None }
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Sends a request and returns its answer. A new connection may take one second to open.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        wait: Duration,
    ) -> io::Result<Message> {
        self.write(method, path, headers, body)?;
        self.read(wait)
    }

    /// Sends a request without waiting for its answer.
    pub fn write(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" || method == "PUT" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        let written = self.connection.as_mut().expect("open").get_mut().write_all(&bytes);
        if written.is_err() {
            self.connection = None;
        }
        written
    }

    /// Reads the next answer on the connection.
    pub fn read(&mut self, wait: Duration) -> io::Result<Message> {
        let Some(connection) = &mut self.connection else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        connection.get_ref().set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
        let answer = read_message(connection);
        let is_kept = match &answer {
            Ok(Some(answer)) => {
                !answer.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
            }
            _ => false,
        };
        if !is_kept {
            self.connection = None;
        }
        answer?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// Seconds since the start of this process.
pub fn now() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Sleeps until a time as [`now`] counts it.
pub fn sleep_until(time: f64) {
    let left = time - now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Renders a template as the users' page on deployment describes it, with the fields of `root`.
pub fn render(template: &str, root: &Json) -> String {
    let mut out = String::new();
    render_part(template, &[root], &mut out);
    out
}

fn find<'a>(scopes: &[&'a Json], path: &str) -> &'a Json {
    if path == "." {
        return scopes.last().copied().unwrap_or(&Json::Null);
    }
    for scope in scopes.iter().rev() {
        let mut value: &Json = scope;
        for part in path.split('.') {
            value = match (value, part.parse::<usize>()) {
                (Json::List(items), Ok(index)) => items.get(index).unwrap_or(&Json::Null),
                (value, _) => value.get(part),
            };
        }
        if *value != Json::Null {
            return value;
        }
    }
    &Json::Null
}

fn plain(value: &Json) -> String {
    match value {
        Json::Null => String::new(),
        Json::Text(text) => text.clone(),
        Json::List(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        value => value.write(),
    }
}

fn render_part(template: &str, scopes: &[&Json], out: &mut String) {
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        rest = &rest[at + 2..];
        let end = rest.find("}}").expect("a placeholder ends");
        let name = &rest[..end];
        rest = &rest[end + 2..];
        let kind = name.chars().next().unwrap_or(' ');
        if kind != '#' && kind != '^' {
            out.push_str(&plain(find(scopes, name)));
            continue;
        }
        let name = &name[1..];
        let close = format!("{{{{/{name}}}}}");
        let end = rest.find(&close).expect("a section ends");
        let (inner, value) = (&rest[..end], find(scopes, name));
        rest = &rest[end + close.len()..];
        let is_set = !matches!(value, Json::Null | Json::Bool(false));
        match (kind, value) {
            ('#', Json::List(items)) => {
                for (index, item) in items.iter().enumerate() {
                    let comma = if index + 1 < items.len() { "," } else { "" };
                    let mut inside = scopes.to_vec();
                    inside.push(item);
                    render_part(&inner.replace("{{,}}", comma), &inside, out);
                }
            }
            ('#', value) if is_set => {
                let mut inside = scopes.to_vec();
                inside.push(value);
                render_part(inner, &inside, out);
            }
            ('^', _) if !is_set => render_part(inner, scopes, out),
            _ => {}
        }
    }
    out.push_str(rest);
}
