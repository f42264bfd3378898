//! The platform's metadata store: objects with revisions, watches, and the drill in which it comes back from a
//! copy some seconds old.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_response};
use crate::json;

#[derive(Debug, Clone)]
struct Object {
    name: String,
    rev: u64,
    made: u64,
    spec: String,
    status: String,
}

impl Object {
    fn to_json(&self) -> String {
        format!(
            r#"{{"metadata":{{"name":"{}","rev":{},"made":{},"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
            self.name, self.rev, self.made, self.spec, self.status
        )
    }
}

#[derive(Debug, Clone)]
struct Event {
    rev: u64,
    kind: String,
    gone: bool,
    object: Object,
}

/// All that the store holds.
#[derive(Debug, Clone, Default)]
pub struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

struct Answer {
    status: u16,
    body: String,
}

impl Answer {
    fn ok(body: String) -> Self {
        Self { status: 200, body }
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let state =
            State { content: Content { revision: 1, ..Content::default() }, era: 1, ..State::default() };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = serving.locked();
                // An away store accepts nothing: the connection is closed at once.
                if state.is_away {
                    continue;
                }
                let Ok(copy) = stream.try_clone() else { continue };
                state.connections.push(copy);
                drop(state);
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator does; returns the revision that acknowledges it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.locked();
        let revision = write(&mut state.content, kind, name, |object| object.spec = spec.to_owned());
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Removes an object as the operator does; returns the revision that acknowledges it.
    pub fn delete(&self, kind: &str, name: &str) -> u64 {
        let mut state = self.locked();
        remove(&mut state.content, kind, name);
        let revision = state.content.revision;
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn revision(&self) -> u64 {
        self.locked().content.revision
    }

    /// Names of all objects of `kind`.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.locked();
        state.content.objects.keys().filter(|(held, _)| held == kind).map(|(_, name)| name.clone()).collect()
    }

    /// A copy of all that the store holds now.
    pub fn copy(&self) -> Content {
        self.locked().content.clone()
    }

    /// The store goes away: every connection ends, and no new one is served.
    pub fn go_away(&self) {
        let mut state = self.locked();
        state.is_away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// The store comes back from `copy`, in the next era.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.locked();
        state.content = copy;
        state.era += 1;
        state.is_away = false;
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut writer = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let Some(answer) = self.answer(&request) else { return };
            let era = self.locked().era.to_string();
            let fields = [("Content-Type", "application/json".to_owned()), ("Store-Era", era)];
            if write_response(&mut writer, answer.status, &fields, answer.body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; `None` if the store went away meanwhile.
    fn answer(&self, request: &Message) -> Option<Answer> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let missing = Answer { status: 404, body: "{}".to_owned() };
        let Some(path) = path.strip_prefix("/api/objects/") else { return Some(missing) };
        let parts: Vec<&str> = path.split('/').collect();
        let body = request.text();
        let watched: Option<u64> = parameter(query, "watch").and_then(|since| since.parse().ok());
        if let (Some(since), "GET") = (watched, request.method()) {
            return self.watch(
                parts[0],
                since,
                parameter(query, "waitMs").and_then(|wait| wait.parse().ok()),
            );
        }
        let mut state = self.locked();
        if state.is_away {
            return None;
        }
        let content = &mut state.content;
        let answer = match (request.method(), &parts[..]) {
            ("GET", [kind]) => list(content, kind, parameter(query, "after").unwrap_or_default()),
            ("GET", [kind, name]) => match content.objects.get(&key(kind, name)) {
                Some(object) => Answer::ok(object.to_json()),
                None => missing,
            },
            ("POST", [kind]) => create(content, kind, &body),
            ("PUT", [kind, name]) => replace(content, kind, name, &body, false),
            ("PUT", [kind, name, "status"]) => replace(content, kind, name, &body, true),
            ("DELETE", [kind, name]) => remove(content, kind, name),
            _ => missing,
        };
        drop(state);
        self.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, kind: &str, since: u64, wait_millis: Option<u64>) -> Option<Answer> {
        let until = Instant::now() + Duration::from_millis(wait_millis.unwrap_or(0).min(30_000));
        let mut state = self.locked();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return None;
            }
            let content = &state.content;
            // A revision that the store doesn't have.
            if since > content.revision {
                return Some(Answer { status: 410, body: "{}".to_owned() });
            }
            let events: Vec<String> = content
                .events
                .iter()
                .filter(|event| event.kind == kind && event.rev > since)
                .map(|event| format!(r#"{{"gone":{},"object":{}}}"#, event.gone, event.object.to_json()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return Some(Answer::ok(format!(r#"{{"events":[{events}],"at":{}}}"#, content.revision)));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn key(kind: &str, name: &str) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(held, _)| *held == name)
        .map(|(_, value)| value)
}

fn list(content: &Content, kind: &str, after: &str) -> Answer {
    let held = content.objects.iter().filter(|((held, name), _)| held == kind && name.as_str() > after);
    let items: Vec<String> = held.map(|(_, object)| object.to_json()).collect();
    let items = items.join(",");
    Answer::ok(format!(r#"{{"items":[{items}],"more":false,"at":{}}}"#, content.revision))
}

/// Changes an object, or makes it; returns its revision.
fn write(content: &mut Content, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> u64 {
    content.revision += 1;
    let rev = content.revision;
    let object = content.objects.entry(key(kind, name)).or_insert_with(|| Object {
        name: name.to_owned(),
        rev,
        made: rev,
        spec: "null".to_owned(),
        status: "null".to_owned(),
    });
    change(object);
    object.rev = rev;
    let event = Event { rev, kind: kind.to_owned(), gone: false, object: object.clone() };
    content.events.push(event);
    rev
}

fn create(content: &mut Content, kind: &str, body: &str) -> Answer {
    let metadata = json::field(body, "metadata").unwrap_or("{}");
    let Some(name) = json::text_field(metadata, "name") else {
        return Answer { status: 400, body: "{}".to_owned() };
    };
    if let Some(held) = content.objects.get(&key(kind, &name)) {
        return Answer { status: 409, body: held.to_json() };
    }
    let spec = json::field(body, "spec").unwrap_or("null").to_owned();
    write(content, kind, &name, |object| object.spec = spec);
    Answer::ok(content.objects[&key(kind, &name)].to_json())
}

fn replace(content: &mut Content, kind: &str, name: &str, body: &str, is_status: bool) -> Answer {
    let Some(held) = content.objects.get(&key(kind, name)) else {
        return Answer { status: 404, body: "{}".to_owned() };
    };
    let expected = json::field(body, "metadata").and_then(|metadata| json::number_field(metadata, "rev"));
    if expected.is_some_and(|rev| rev != held.rev) {
        return Answer { status: 409, body: held.to_json() };
    }
    let part = if is_status { "status" } else { "spec" };
    let new = json::field(body, part).unwrap_or("null").to_owned();
    let before = if is_status { &held.status } else { &held.spec };
    if *before != new {
        write(content, kind, name, |object| if is_status { object.status = new } else { object.spec = new });
    }
    Answer::ok(content.objects[&key(kind, name)].to_json())
}

fn remove(content: &mut Content, kind: &str, name: &str) -> Answer {
    let Some(held) = content.objects.remove(&key(kind, name)) else {
        return Answer { status: 404, body: "{}".to_owned() };
    };
    content.revision += 1;
    let object = Object { rev: content.revision, ..held };
    let answer = Answer::ok(object.to_json());
    content.events.push(Event { rev: content.revision, kind: kind.to_owned(), gone: true, object });
    answer
}
