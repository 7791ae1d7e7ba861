//! What the scripts of this review share: a platform's store, backend servers, callers, and the
//! daemons as processes. It uses the standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fmt,
    fs::{self, File},
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicI32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Seconds since the start of the script.
pub fn now() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

pub fn sleep_until(at: f64) {
    sleep(at - now());
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|err| err.into_inner())
}

// ---------------------------------------------------------------------------------------- JSON

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, it)| it),
            Json::List(items) => items.get(name.parse::<usize>().ok()?),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    fn is_present(&self) -> bool {
        !matches!(self, Json::Null | Json::Bool(false))
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = JsonParser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

struct JsonParser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl JsonParser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']') {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    match (self.take(b','), self.take(b']')) {
                        (true, false) => {}
                        (false, true) => return Some(Json::List(items)),
                        _ => return None,
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}') {
                    return Some(Json::Table(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((key, self.value()?));
                    match (self.take(b','), self.take(b'}')) {
                        (true, false) => {}
                        (false, true) => return Some(Json::Table(fields)),
                        _ => return None,
                    }
                }
            }
            _ => {
                let is_part = |byte: &&u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                let length = self.bytes[self.at..].iter().take_while(is_part).count();
                let text = std::str::from_utf8(&self.bytes[self.at..self.at + length]).ok()?;
                text.parse::<f64>().ok()?;
                self.at += length;
                Some(Json::Number(text.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            self.at += 4;
                            let letter = char::from_u32(code)?;
                            bytes.extend(letter.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    write!(out, "\"")?;
    for letter in text.chars() {
        match letter {
            '"' | '\\' => write!(out, "\\{letter}")?,
            letter if u32::from(letter) < 32 => write!(out, "\\u{:04x}", u32::from(letter))?,
            letter => write!(out, "{letter}")?,
        }
    }
    write!(out, "\"")
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => write!(out, "null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Number(text) => write!(out, "{text}"),
            Json::Text(text) => write_text(out, text),
            Json::List(items) => {
                write!(out, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(out, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                write!(out, "]")
            }
            Json::Table(fields) => {
                write!(out, "{{")?;
                for (index, (key, item)) in fields.iter().enumerate() {
                    write!(out, "{}", if index > 0 { "," } else { "" })?;
                    write_text(out, key)?;
                    write!(out, ":{item}")?;
                }
                write!(out, "}}")
            }
        }
    }
}

// ---------------------------------------------------------------------------------------- HTTP

/// Head of a request or answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub lines: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.lines.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|it| it.to_ascii_lowercase().contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|it| it.to_ascii_lowercase().contains("close"))
    }
}

/// One HTTP/1.1 connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, patience: f64) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs_f64(patience)))?;
        stream.set_write_timeout(Some(Duration::from_secs_f64(patience)))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head; `None` at the orderly end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            let is_start = self.buffer.is_empty();
            match self.fill() {
                Err(err) if err.kind() == ErrorKind::UnexpectedEof && is_start => return Ok(None),
                filled => filled?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut parts = text.split("\r\n");
        let first = parts.next().unwrap_or_default().to_owned();
        let split = |line: &str| {
            let (key, value) = line.split_once(':')?;
            Some((key.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Ok(Some(Head { first, lines: parts.filter_map(split).collect() }))
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        let end = loop {
            match self.buffer.windows(2).position(|part| part == b"\r\n") {
                Some(at) => break at,
                None => self.fill()?,
            }
        };
        let line = self.read_exact(end + 2)?;
        Ok(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    /// Reads a body by its length or chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = line.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16)
                .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exact(size)?);
            self.read_exact(2)?;
        }
    }

    pub fn write_answer(&mut self, status: &str, lines: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{lines}\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

// --------------------------------------------------------------------------------------- store

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    specification: Json,
    status: Json,
}

/// A copy of the store's objects.
#[derive(Clone)]
pub struct StoreCopy {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Number of times that the store has come back from a copy.
    era: u64,
    /// Revision from which on the history is kept.
    kept_since: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    events: Vec<(u64, String, Json)>,
}

/// The platform's metadata store.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    pub calls: AtomicU64,
    /// Whether it refuses all calls with a reset or an end of their connections.
    pub is_away: AtomicBool,
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

fn table(fields: Vec<(&str, Json)>) -> Json {
    Json::Table(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

fn object_json(name: &str, object: &Object) -> Json {
    let metadata = table(vec![
        ("name", Json::Text(name.to_owned())),
        ("revision", number(object.revision)),
        ("created", number(object.created)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    table(vec![
        ("metadata", metadata),
        ("specification", object.specification.clone()),
        ("status", object.status.clone()),
    ])
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self::default());
        lock(&store.state).revision = 100;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        (store, address)
    }

    /// Takes a copy, from which the store may come back.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.state);
        StoreCopy { revision: state.revision, kinds: state.kinds.clone() }
    }

    /// Comes back from a copy, in a new era. Watches from before get 410.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = lock(&self.state);
        state.revision = copy.revision;
        state.kinds = copy.kinds;
        state.events.clear();
        state.era += 1;
        state.kept_since = copy.revision;
        self.changed.notify_all();
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, specification: Json) -> u64 {
        let mut state = lock(&self.state);
        state.write(kind, name, |object| object.specification = specification);
        self.changed.notify_all();
        state.revision
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.read_head() {
            let Ok(body) = wire.read_body(&head) else { return };
            self.calls.fetch_add(1, Ordering::Relaxed);
            if self.is_away.load(Ordering::Relaxed) {
                return;
            }
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let era = lock(&self.state).era;
            let lines = format!("Content-Type: application/json\r\nStore-Era: {}\r\n", era + 1);
            if wire.write_answer(status, &lines, answer.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, Json) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query = |name: &str| {
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        };
        let Some(rest) = path.strip_prefix("/sapphirekeel/objects/") else {
            return ("404 Not Found", Json::Null);
        };
        let parts: Vec<String> = rest.split('/').map(decode).collect();
        let kind = parts[0].as_str();
        let body = Json::parse(body);
        let field = |name: &str| body.as_ref().and_then(|body| body.get(name)).cloned();
        let metadata = field("metadata");
        let expected = metadata.as_ref().and_then(|meta| meta.get("revision")?.number());
        let expected = expected.or_else(|| query("revision")?.parse().ok());
        let named = metadata.as_ref().and_then(|meta| meta.get("name")?.text().map(str::to_owned));
        match (head.word(0), parts.get(1).map(String::as_str), parts.get(2).map(String::as_str)) {
            ("GET", None, _) => match query("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, wait)
                }
                None => self.list(kind),
            },
            ("GET", Some(name), _) => match self.find(kind, name) {
                Some(object) => ("200 OK", object_json(name, &object)),
                None => ("404 Not Found", Json::Null),
            },
            ("POST", None, _) => {
                let Some(name) = named else { return ("400 Bad Request", Json::Null) };
                if let Some(object) = self.find(kind, &name) {
                    return ("409 Conflict", object_json(&name, &object));
                }
                self.put(kind, &name, field("specification").unwrap_or(Json::Null));
                let object = self.find(kind, &name).expect("just written");
                ("201 Created", object_json(&name, &object))
            }
            ("PUT", Some(name), part) => {
                let Some(object) = self.find(kind, name) else {
                    return ("404 Not Found", Json::Null);
                };
                if expected.is_some_and(|expected| expected != object.revision) {
                    return ("409 Conflict", object_json(name, &object));
                }
                match part {
                    Some(_) => {
                        let status = field("status").unwrap_or(Json::Null);
                        lock(&self.state).write(kind, name, |object| object.status = status);
                        self.changed.notify_all();
                    }
                    None => {
                        self.put(kind, name, field("specification").unwrap_or(Json::Null));
                    }
                }
                ("200 OK", object_json(name, &self.find(kind, name).expect("just written")))
            }
            ("DELETE", Some(name), _) => {
                let mut state = lock(&self.state);
                let found = state.kinds.get_mut(kind).and_then(|kind| kind.remove(name));
                let Some(object) = found else { return ("404 Not Found", Json::Null) };
                state.revision += 1;
                let event = table(vec![
                    ("object", object_json(name, &object)),
                    ("deleted", Json::Bool(true)),
                ]);
                let revision = state.revision;
                state.events.push((revision, kind.to_owned(), event));
                self.changed.notify_all();
                ("200 OK", Json::Table(Vec::new()))
            }
            _ => ("405 Method Not Allowed", Json::Null),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<Object> {
        lock(&self.state).kinds.get(kind)?.get(name).cloned()
    }

    fn list(&self, kind: &str) -> (&'static str, Json) {
        let state = lock(&self.state);
        let objects = state.kinds.get(kind).into_iter().flatten();
        let items = objects.map(|(name, object)| object_json(name, object)).collect();
        let fields = vec![
            ("items", Json::List(items)),
            ("more", Json::Bool(false)),
            ("current_rev", number(state.revision)),
        ];
        ("200 OK", table(fields))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, Json) {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = lock(&self.state);
        let era = state.era;
        loop {
            if state.era != era || after < state.kept_since || after > state.revision {
                return ("410 Gone", Json::Null);
            }
            let is_new = |(revision, of, _): &&(u64, String, Json)| *revision > after && of == kind;
            let events: Vec<Json> =
                state.events.iter().filter(is_new).map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let fields =
                    vec![("events", Json::List(events)), ("current_rev", number(state.revision))];
                return ("200 OK", table(fields));
            }
            state = self.changed.wait_timeout(state, left).unwrap_or_else(|err| err.into_inner()).0;
        }
    }
}

impl StoreState {
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) {
        let next = self.revision + 1;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let known = objects.get(name).cloned();
        let mut object = known.clone().unwrap_or(Object {
            revision: next,
            created: next,
            specification: Json::Null,
            status: Json::Null,
        });
        change(&mut object);
        let is_same = known.is_some_and(|known| {
            (&known.specification, &known.status) == (&object.specification, &object.status)
        });
        if is_same {
            return;
        }
        object.revision = next;
        let event =
            table(vec![("object", object_json(name, &object)), ("deleted", Json::Bool(false))]);
        objects.insert(name.to_owned(), object);
        self.revision = next;
        self.events.push((next, kind.to_owned(), event));
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| u8::from_str_radix(text.get(at + 1..at + 3)?, 16).ok())
            .flatten();
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ------------------------------------------------------------------------------------- servers

/// One request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub began: f64,
    pub ended: Option<f64>,
    pub path: String,
    pub tenant: Option<String>,
    pub bytes: usize,
    pub deadline_ms: u64,
}

/// How a server works on a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub seconds: f64,
    pub answer_bytes: usize,
    /// Whether the connection is closed in place of the answer, after the work.
    pub is_answer_lost: bool,
}

impl Work {
    pub fn new(seconds: f64) -> Self {
        Self { seconds, answer_bytes: 200, is_answer_lost: false }
    }
}

pub type WorkPlan = Arc<dyn Fn(&Head) -> Work + Send + Sync>;

/// A backend server.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    running: AtomicU64,
    leaving: AtomicBool,
    /// Whether its health answer is good although it leaves.
    pub is_lying: AtomicBool,
    is_up: AtomicBool,
    sequence: AtomicU64,
    runs: Arc<Mutex<Vec<Run>>>,
    plan: WorkPlan,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        slots: u32,
        runs: &Arc<Mutex<Vec<Run>>>,
        plan: WorkPlan,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            slots,
            running: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            is_lying: AtomicBool::new(false),
            is_up: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            runs: runs.clone(),
            plan,
        });
        let served = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = served.clone();
                thread::spawn(move || server.serve(Wire::new(stream)));
            }
        });
        server
    }

    fn load_line(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        let slots = u64::from(self.slots);
        let waiting = running.saturating_sub(slots);
        format!("X-Server-Load: {},{waiting},{slots}\r\n", running.min(slots))
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.read_head() {
            if head.word(1) == "/health" {
                let lines = format!("X-Instance-Id: {}\r\n{}", self.id, self.load_line());
                let is_lying = self.is_lying.load(Ordering::Relaxed);
                let is_leaving = self.leaving.load(Ordering::Relaxed) && !is_lying;
                let status = if is_leaving { "503 Service Unavailable" } else { "200 OK" };
                if wire.write_answer(status, &lines, b"").is_err() {
                    return;
                }
                continue;
            }
            let Ok(body) = wire.read_body(&head) else { return };
            if self.handle(&mut wire, &head, &body).is_err() {
                return;
            }
        }
    }

    fn handle(&self, wire: &mut Wire, head: &Head, body: &[u8]) -> io::Result<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default().to_owned();
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        if head.get("x-expected-instance").is_some_and(|expected| expected != self.id) {
            let lines = format!("{echo}X-Instance-Id: {}\r\nX-Not-Executed: 1\r\n", self.id);
            return wire.write_answer("421 Misdirected Request", &lines, b"");
        }
        let Work { seconds, answer_bytes, is_answer_lost } = (self.plan)(head);
        let index = {
            let mut runs = lock(&self.runs);
            runs.push(Run {
                attempt: attempt.clone(),
                server: self.id.clone(),
                began: now(),
                ended: None,
                path: head.word(1).to_owned(),
                tenant: head.get("x-tenant-name").map(str::to_owned),
                bytes: body.len(),
                deadline_ms: head
                    .get("x-deadline-ms")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0),
            });
            runs.len() - 1
        };
        self.running.fetch_add(1, Ordering::Relaxed);
        sleep(seconds);
        self.running.fetch_sub(1, Ordering::Relaxed);
        lock(&self.runs)[index].ended = Some(now());
        if is_answer_lost {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let lines = format!("{echo}X-Server-Signature: proof-{attempt}\r\n{}", self.load_line());
        wire.write_answer("200 OK", &lines, &vec![b'x'; answer_bytes])
    }

    fn report_body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"warm_up_left\":0,\"sequence\":{sequence}}}",
            self.service, self.address, self.slots
        )
    }

    /// Makes a status report that isn't sent yet.
    pub fn take_report(&self) -> String {
        self.report_body("ready")
    }

    /// Sends one status report and returns whether it was acknowledged.
    pub fn report(&self, control: SocketAddr) -> bool {
        let state = if self.leaving.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let body = self.report_body(state);
        let target = format!("/v1/servers/{}/heartbeat", self.id);
        post_json(control, &target, &body).is_some_and(|status| (200..300).contains(&status))
    }

    /// Reports from now on that it is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Sends status reports at the usual interval.
    pub fn report_regularly(self: &Arc<Self>, control: SocketAddr) {
        let server = self.clone();
        thread::spawn(move || {
            while server.is_up.load(Ordering::Relaxed) {
                let is_taken = server.report(control);
                sleep(if is_taken { 1.5 } else { 0.5 });
            }
        });
    }
}

pub fn post_json(address: SocketAddr, target: &str, body: &str) -> Option<u16> {
    let mut wire = Wire::open(address, 1.0).ok()?;
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    wire.stream.write_all(head.as_bytes()).ok()?;
    Some(wire.read_head().ok()??.status())
}

// ------------------------------------------------------------------------------------- callers

/// A request of a caller and what became of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: String,
    pub daemon: usize,
    pub at: f64,
    pub ended: f64,
    /// Status of a complete answer; `None` if the connection ended without one.
    pub status: Option<u16>,
    pub reason: String,
    pub is_signed: bool,
    pub error: String,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

static ATTEMPTS: AtomicU64 = AtomicU64::new(1);

pub fn next_attempt() -> String {
    let mixed = ATTEMPTS.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

/// A caller with a connection that it keeps.
pub struct Caller {
    daemon: usize,
    address: SocketAddr,
    wire: Option<Wire>,
}

impl Caller {
    pub fn new(daemon: usize, address: SocketAddr) -> Self {
        Self { daemon, address, wire: None }
    }

    pub fn send(&mut self, ask: &Ask<'_>) -> Sent {
        let mut sent = Sent {
            attempt: next_attempt(),
            daemon: self.daemon,
            at: now(),
            ended: 0.0,
            status: None,
            reason: String::new(),
            is_signed: false,
            error: String::new(),
        };
        match self.exchange(ask, &mut sent) {
            Ok(()) => {}
            Err(err) => {
                self.wire = None;
                sent.status = None;
                sent.error = err.to_string();
            }
        }
        sent.ended = now();
        sent
    }

    fn exchange(&mut self, ask: &Ask<'_>, sent: &mut Sent) -> io::Result<()> {
        let patience = ask.deadline_ms as f64 / 1000.0 + 2.0;
        let mut wire = match self.wire.take() {
            Some(wire) => wire,
            None => Wire::open(self.address, patience)?,
        };
        wire.stream.set_read_timeout(Some(Duration::from_secs_f64(patience)))?;
        let key = ask.key.map(|key| format!("Authorization: Bearer {key}\r\n")).unwrap_or_default();
        let length = match ask.body.is_empty() && ask.method == "GET" {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", ask.body.len()),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n{key}{length}\r\n",
            ask.method, ask.path, ask.host, sent.attempt, ask.deadline_ms
        );
        sent.at = now();
        wire.stream.write_all(head.as_bytes())?;
        // An answer may come before the whole body is sent; it is read in any case.
        let written = wire.stream.write_all(ask.body);
        let head = match wire.read_head() {
            Ok(Some(head)) => head,
            Ok(None) => return Err(ErrorKind::UnexpectedEof.into()),
            Err(err) => return Err(written.err().unwrap_or(err)),
        };
        sent.status = Some(head.status());
        sent.reason = head.get("x-sapphirekeel-reason").unwrap_or_default().to_owned();
        sent.is_signed = head.get("x-server-signature").is_some();
        wire.read_body(&head)?;
        if !head.closes() && written.is_ok() {
            self.wire = Some(wire);
        }
        Ok(())
    }
}

// ------------------------------------------------------------------------------------- daemons

/// Fills in a template of settings, as the page on deployment describes.
pub fn fill_template(text: &str, fields: &Json) -> String {
    let mut scopes = vec![(fields.clone(), String::new(), true)];
    let mut out = String::new();
    fill(text, &mut scopes, &mut out);
    out
}

type Scopes = Vec<(Json, String, bool)>;

fn lookup(scopes: &Scopes, name: &str) -> Json {
    if name == "." {
        return scopes.last().map(|(value, ..)| value.clone()).unwrap_or(Json::Null);
    }
    for (scope, ..) in scopes.iter().rev() {
        let mut value = Some(scope);
        for part in name.split('.') {
            value = value.and_then(|value| value.get(part));
        }
        if let Some(value) = value {
            return value.clone();
        }
    }
    Json::Null
}

fn plain(value: &Json) -> String {
    match value {
        Json::Null => String::new(),
        Json::Text(text) => text.clone(),
        Json::List(items) => items.iter().map(plain).collect::<Vec<_>>().join(","),
        value => value.to_string(),
    }
}

fn fill(text: &str, scopes: &mut Scopes, out: &mut String) {
    let mut rest = text;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a closed placeholder");
        let tag = rest[start + 2..end].trim();
        rest = &rest[end + 2..];
        match tag.chars().next() {
            Some('#') | Some('^') => {
                let name = &tag[1..];
                let (inner, after) = section(rest, name);
                rest = after;
                let value = lookup(scopes, name);
                let has_value = value.is_present();
                match (tag.starts_with('#'), value) {
                    (false, _) if !has_value => fill(inner, scopes, out),
                    (true, Json::List(items)) => {
                        let count = items.len();
                        for (index, item) in items.into_iter().enumerate() {
                            scopes.push((item, index.to_string(), index + 1 == count));
                            fill(inner, scopes, out);
                            scopes.pop();
                        }
                    }
                    (true, value) if has_value => {
                        scopes.push((value, String::new(), true));
                        fill(inner, scopes, out);
                        scopes.pop();
                    }
                    _ => {}
                }
            }
            Some(',') => {
                if scopes.last().is_some_and(|(.., is_last)| !is_last) {
                    out.push(',');
                }
            }
            Some('@') => out.push_str(&scopes.last().map(|it| it.1.clone()).unwrap_or_default()),
            _ => match tag.strip_suffix("|json") {
                Some(name) => out.push_str(&lookup(scopes, name).to_string()),
                None => out.push_str(&plain(&lookup(scopes, tag))),
            },
        }
    }
    out.push_str(rest);
}

/// Splits a text at the end of the section `name`.
fn section<'a>(text: &'a str, name: &str) -> (&'a str, &'a str) {
    let (open, inverse, close) =
        (format!("{{{{#{name}}}}}"), format!("{{{{^{name}}}}}"), format!("{{{{/{name}}}}}"));
    let (mut depth, mut at) = (1, 0);
    loop {
        let next_close = text[at..].find(&close).expect("a closed section") + at;
        let next_open = [&open, &inverse].iter().filter_map(|tag| text[at..].find(*tag)).min();
        match next_open.map(|found| found + at).filter(|found| *found < next_close) {
            Some(found) => {
                depth += 1;
                at = found + open.len();
            }
            None => {
                depth -= 1;
                at = next_close + close.len();
                if depth == 0 {
                    return (&text[..next_close], &text[at..]);
                }
            }
        }
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn signal(signal: i32, handler: extern "C" fn(i32)) -> usize;
    fn _exit(status: i32) -> !;
}

/// Ids of the daemons that run, so that none outlives the script; zero for a free place.
static DAEMONS: [AtomicI32; 32] = [const { AtomicI32::new(0) }; 32];
/// Longest time of a script in seconds.
const MAX_SCRIPT_TIME: f64 = 110.0;

fn kill_daemons() {
    for place in &DAEMONS {
        let id = place.swap(0, Ordering::AcqRel);
        if id > 0 {
            // SAFETY: the id is that of a process that this script has started and not yet awaited.
            unsafe { kill(id, SIGKILL) };
        }
    }
}

/// Ends the daemons when the script itself is ended. Uses nothing that a signal handler may not use.
extern "C" fn end_by_signal(_signal: i32) {
    kill_daemons();
    // SAFETY: ends this process at once.
    unsafe { _exit(2) };
}

/// Ends the daemons whatever ends the script, and the script after its longest time.
fn guard_script() {
    static GUARD: std::sync::Once = std::sync::Once::new();
    GUARD.call_once(|| {
        for number in [SIGINT, SIGTERM, SIGHUP] {
            // SAFETY: the handler only sends signals and ends the process.
            unsafe { signal(number, end_by_signal) };
        }
        thread::spawn(|| {
            sleep(MAX_SCRIPT_TIME);
            cannot_run("the script takes too long");
        });
    });
}

pub const SIGHUP: i32 = 1;
const SIGINT: i32 = 2;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Returns a loopback address for a machine of this script. With one for each machine no connection
/// that another process opens takes a port on which a daemon is about to listen.
fn machine_ip() -> std::net::Ipv4Addr {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let script = std::process::id();
    let parts = [script % 100 + 100, script / 100 % 250, number as u32].map(|it| it as u8);
    std::net::Ipv4Addr::new(127, parts[0], parts[1], parts[2])
}

/// Finds a port of an address that is free now.
fn free_port(ip: std::net::Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// One machine: a daemon as a process, and where it listens.
pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What differs between the machines of a script.
pub struct MachinePlan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub service: &'a str,
    pub application: Option<SocketAddr>,
    pub store: SocketAddr,
    /// JSON of `bounds` in the settings.
    pub bounds: &'a str,
}

impl Machine {
    pub fn new(folder: &Path, template: &str, plan: &MachinePlan<'_>) -> Self {
        let ip = machine_ip();
        let mut ports: Vec<u16> = Vec::new();
        while ports.len() < 5 {
            let port = free_port(ip);
            if !ports.contains(&port) {
                ports.push(port);
            }
        }
        let address = |index: usize| SocketAddr::from((ip, ports[index]));
        let application = plan.application.map(|it| format!("\"{it}\"")).unwrap_or("null".into());
        let fields = format!(
            "{{\"node_name\":\"{}\",\"zone\":\"{}\",\"region\":\"region\",\"service\":\"{}\",\
             \"application\":{application},\"ip_address\":\"{ip}\",\
             \"listen_addresses\":{{\"inbound\":\"{}\",\"outbound\":\"{}\",\"ready\":\"{}\",\
             \"control_address\":\"{}\"}},\"internal_port_range\":[{},{}],\"seed_nodes\":[],\
             \"platform\":{{\"address\":\"{}\",\"form\":\"objects\"}},\"bounds\":{}}}",
            plan.name,
            plan.zone,
            plan.service,
            address(0),
            address(1),
            address(2),
            address(3),
            ports[4],
            ports[4],
            plan.store,
            plan.bounds
        );
        let fields = Json::parse(&fields).expect("fields of the settings");
        let text = fill_template(template, &fields);
        let settings = folder.join(format!("{}.toml", plan.name));
        fs::write(&settings, text).expect("the settings can be written");
        Self {
            name: plan.name.to_owned(),
            outbound: address(1),
            inbound: address(0),
            ready: address(2),
            control: address(3),
            settings,
            log: folder.join(format!("{}.log", plan.name)),
            child: None,
        }
    }

    pub fn start(&mut self) {
        guard_script();
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let copy = log.try_clone().expect("a log file");
        let child = Command::new("target/release/sapphirekeeld")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn();
        match child {
            Ok(child) => {
                let id = child.id() as i32;
                let free = |place: &&AtomicI32| {
                    place.compare_exchange(0, id, Ordering::AcqRel, Ordering::Acquire).is_ok()
                };
                if DAEMONS.iter().find(free).is_none() {
                    cannot_run("too many daemons");
                }
                self.child = Some(child);
            }
            Err(err) => cannot_run(&format!("the daemon cannot be started: {err}")),
        }
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: sends a signal to a process that this script has started and not yet awaited.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }

    /// Waits for the end of the process, for `seconds` at most, and then kills it.
    pub fn await_end(&mut self, seconds: f64) {
        let end = now() + seconds;
        while !self.has_ended() && now() < end {
            sleep(0.02);
        }
        if !self.has_ended() {
            self.signal(SIGKILL);
        }
        self.forget();
    }

    /// Awaits the process, which has ended or was killed.
    fn forget(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id() as i32;
            for place in &DAEMONS {
                let _ = place.compare_exchange(id, 0, Ordering::AcqRel, Ordering::Acquire);
            }
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut wire) = Wire::open(self.ready, 1.0) else { return false };
        let ask = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        wire.stream.write_all(ask.as_bytes()).is_ok()
            && matches!(wire.read_head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn await_ready(&self, seconds: f64) -> bool {
        let end = now() + seconds;
        while now() < end {
            if self.is_ready() {
                return true;
            }
            sleep(0.05);
        }
        false
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.signal(SIGKILL);
        self.forget();
    }
}

// -------------------------------------------------------------------------------------- script

/// A temporary folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns whether the script runs with the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn template() -> String {
    match fs::read_to_string("deploy/daemon.toml") {
        Ok(text) => text,
        Err(err) => cannot_run(&format!("the template cannot be read: {err}")),
    }
}

/// Ends the script where the case cannot run.
pub fn cannot_run(reason: &str) -> ! {
    kill_daemons();
    eprintln!("cannot run: {reason}");
    std::process::exit(2);
}

/// Collects the lines of `record.txt`.
#[derive(Default)]
pub struct Record(Mutex<Vec<(f64, String)>>);

impl Record {
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(now(), line);
    }

    pub fn add_at(&self, at: f64, line: impl Into<String>) {
        lock(&self.0).push((at, line.into()));
    }

    /// Writes all lines in the order of their times to the file that the first argument names.
    pub fn write(&self, verdict: &str) {
        let mut lines = lock(&self.0).clone();
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{at:9.3} {line}\n"));
        }
        text.push_str(&format!("verdict: {verdict}\n"));
        println!("{verdict}");
        if let Some(path) = std::env::args().nth(1) {
            fs::write(path, text).expect("the record can be written");
        }
    }
}
