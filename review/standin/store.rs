//! The platform's store: objects by kind and name, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::util::{Json, Message, read_message, write_answer};

#[derive(Clone)]
struct Item {
    revision: u64,
    created: u64,
    specification: Json,
    status: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<(String, String), Item>,
    /// Revision, kind, object and whether it was deleted.
    history: Vec<(u64, String, Json, bool)>,
}

/// A store that runs until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State { revision: 100, ..State::default() };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, specification: Json) {
        self.shared.0.lock().unwrap().write(kind, name, specification);
        self.shared.1.notify_all();
    }

    /// Returns the status of an object, as the platform reads it.
    pub fn status(&self, kind: &str, name: &str) -> Json {
        let state = self.shared.0.lock().unwrap();
        let item = state.items.get(&(kind.to_owned(), name.to_owned()));
        item.map_or(Json::Null, |item| item.status.clone())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            // Time that an answer of the platform's store takes.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &headers, body.write().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/sapphirekeel/objects/") else {
            return (404, Json::Null);
        };
        let mut parts = rest.split('/').map(decode);
        let kind = parts.next().unwrap_or_default();
        let (name, part) = (parts.next(), parts.next());
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), decode(value)))
            .collect();
        if request.method() == "GET" {
            return self.read(&kind, name, &query);
        }
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let metadata = body.get("metadata");
        let name = name.or_else(|| metadata.get("name").as_text().map(str::to_owned));
        let Some(name) = name else { return (400, Json::Null) };
        let expected = metadata.get("revision").as_u64().filter(|revision| *revision > 0);
        let expected = expected.or_else(|| query.get("revision")?.parse().ok());
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.clone(), name.clone());
        let held = state.items.get(&key).cloned();
        let answer = match (request.method(), held) {
            ("POST", Some(item)) => (409, object(&name, &item)),
            ("PUT" | "DELETE", None) => (404, Json::Null),
            ("PUT" | "DELETE", Some(item)) if expected.is_some_and(|it| it != item.revision) => {
                (409, object(&name, &item))
            }
            ("DELETE", Some(item)) => {
                state.items.remove(&key);
                state.revision += 1;
                let revision = state.revision;
                state.history.push((revision, kind, object(&name, &item), true));
                (200, Json::Null)
            }
            ("PUT", Some(mut item)) if part.as_deref() == Some("status") => {
                state.revision += 1;
                (item.revision, item.status) = (state.revision, body.get("status").clone());
                state.items.insert(key, item.clone());
                let revision = state.revision;
                state.history.push((revision, kind, object(&name, &item), false));
                (200, object(&name, &item))
            }
            _ => {
                let item = state.write(&kind, &name, body.get("specification").clone());
                (200, object(&name, &item))
            }
        };
        drop(state);
        self.shared.1.notify_all();
        answer
    }

    fn read(
        &self,
        kind: &str,
        name: Option<String>,
        query: &BTreeMap<String, String>,
    ) -> (u16, Json) {
        let mut state = self.shared.0.lock().unwrap();
        if let Some(name) = name {
            return match state.items.get(&(kind.to_owned(), name.clone())) {
                Some(item) => (200, object(&name, item)),
                None => (404, Json::Null),
            };
        }
        let Some(after) = query.get("watch").and_then(|after| after.parse::<u64>().ok()) else {
            let after = query.get("after").cloned().unwrap_or_default();
            let listed = state.items.iter().filter(|((held, _), _)| held == kind);
            let listed = listed.filter(|((_, name), _)| *name > after);
            let items = listed.map(|((_, name), item)| object(name, item)).collect();
            let body = Json::map([
                ("items", Json::List(items)),
                ("more", Json::Bool(false)),
                ("current_rev", Json::Number(state.revision as f64)),
            ]);
            return (200, body);
        };
        let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(u64::min(wait, 30_000));
        loop {
            let newer = state.history.iter().filter(|it| it.0 > after && it.1 == kind);
            let events: Vec<Json> = newer
                .map(|(_, _, object, deleted)| {
                    Json::map([("object", object.clone()), ("deleted", Json::Bool(*deleted))])
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = Json::map([
                    ("events", Json::List(events)),
                    ("current_rev", Json::Number(state.revision as f64)),
                ]);
                return (200, body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, specification: Json) -> Item {
        let key = (kind.to_owned(), name.to_owned());
        let held = self.items.get(&key).cloned();
        if let Some(item) = held.clone().filter(|item| item.specification == specification) {
            return item;
        }
        self.revision += 1;
        let item = Item {
            revision: self.revision,
            created: held.as_ref().map_or(self.revision, |item| item.created),
            specification,
            status: held.map_or(Json::Null, |item| item.status),
        };
        self.history.push((self.revision, kind.to_owned(), object(name, &item), false));
        self.items.insert(key, item.clone());
        item
    }
}

fn object(name: &str, item: &Item) -> Json {
    Json::map([
        (
            "metadata",
            Json::map([
                ("name", Json::text(name)),
                ("revision", Json::Number(item.revision as f64)),
                ("created", Json::Number(item.created as f64)),
                ("finalizers", Json::List(Vec::new())),
                ("deleting", Json::Bool(false)),
            ]),
        ),
        ("specification", item.specification.clone()),
        ("status", item.status.clone()),
    ])
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
