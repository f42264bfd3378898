//! Stand-in for the platform's store: objects with revisions, lists and watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};

struct Object {
    revision: u64,
    made: u64,
    spec: String,
    status: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each change.
    history: Vec<(u64, String, String)>,
}

/// The store. Clones share the content.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Content>, Condvar)>,
}

impl Store {
    /// Starts to serve calls at `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes the configuration, as the operator does. The write is acknowledged when this returns.
    pub fn put_configuration(&self, spec: &str) {
        self.put("config", "main", Some(spec), None);
    }

    fn put(&self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> String {
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = content.objects.entry(key).or_insert_with(|| Object {
            revision,
            made: revision,
            spec: "{}".to_owned(),
            status: "null".to_owned(),
        });
        object.revision = revision;
        if let Some(spec) = spec {
            object.spec = spec.to_owned();
        }
        if let Some(status) = status {
            object.status = status.to_owned();
        }
        let text = text_of(name, object);
        content.history.push((revision, kind.to_owned(), text.clone()));
        changed.notify_all();
        text
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.respond(&head.start[0], &head.start[1], &body);
            let length = answer.len();
            let sent = write!(
                writer,
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{answer}"
            );
            if sent.is_err() {
                return;
            }
        }
    }

    fn respond(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let target = target.trim_start_matches("/api/objects/");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |wanted: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == wanted)
        };
        let number = |wanted: &str| parameter(wanted).and_then(|(_, value)| value.parse::<u64>().ok());
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        if let (Some(since), "GET") = (number("watch"), method) {
            return (200, self.watch(kind, since, number("waitMs").unwrap_or(0)));
        }
        match method {
            "GET" if name.is_empty() => {
                (200, self.list(kind, parameter("after").map_or("", |(_, value)| value)))
            }
            "GET" => self.get(kind, name).map_or((404, "{}".to_owned()), |text| (200, text)),
            "POST" => {
                let name = member(body, "metadata").and_then(|text| member(text, "name"));
                let name = name.unwrap_or("").trim_matches('"').to_owned();
                match self.get(kind, &name) {
                    Some(text) => (409, text),
                    None => (200, self.put(kind, &name, member(body, "spec"), None)),
                }
            }
            "PUT" => {
                let (name, is_status) =
                    name.strip_suffix("/status").map_or((name, false), |name| (name, true));
                let Some(text) = self.get(kind, name) else { return (404, "{}".to_owned()) };
                let sent = member(body, "metadata").and_then(|text| member(text, "rev"));
                let held = member(&text, "metadata").and_then(|text| member(text, "rev"));
                if sent.is_some() && sent != held {
                    return (409, text);
                }
                let part = if is_status { "status" } else { "spec" };
                if member(body, part) == member(&text, part) {
                    return (200, text);
                }
                let (spec, status) = (member(body, "spec"), member(body, "status"));
                (200, self.put(kind, name, spec.filter(|_| !is_status), status.filter(|_| is_status)))
            }
            "DELETE" => {
                let mut content = self.shared.0.lock().unwrap();
                content.revision += 1;
                content.objects.remove(&(kind.to_owned(), name.to_owned()));
                (200, "{}".to_owned())
            }
            _ => (405, "{}".to_owned()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Option<String> {
        let content = self.shared.0.lock().unwrap();
        content.objects.get(&(kind.to_owned(), name.to_owned())).map(|object| text_of(name, object))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let content = self.shared.0.lock().unwrap();
        let of_kind =
            content.objects.iter().filter(|((found, name), _)| found == kind && name.as_str() > after);
        let items: Vec<String> = of_kind.map(|((_, name), object)| text_of(name, object)).collect();
        format!(r#"{{"items":[{}],"more":false,"at":{}}}"#, items.join(","), content.revision)
    }

    fn watch(&self, kind: &str, since: u64, wait_millis: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_millis);
        let (content, changed) = &*self.shared;
        let mut content = content.lock().unwrap();
        loop {
            let new = content.history.iter().filter(|(revision, of, _)| *revision > since && of == kind);
            let events: Vec<String> =
                new.map(|(_, _, text)| format!(r#"{{"gone":false,"object":{text}}}"#)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), content.revision);
            }
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

fn text_of(name: &str, object: &Object) -> String {
    let Object { revision, made, spec, status } = object;
    format!(
        r#"{{"metadata":{{"name":"{name}","rev":{revision},"made":{made},"finalizers":[],"deleting":false}},"spec":{spec},"status":{status}}}"#
    )
}

/// The value of `key` in the JSON object `text`, as it is written there.
pub fn member<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut at) = (0, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b'"' => {
                let end = string_end(bytes, at);
                let is_key = depth == 1 && bytes.get(end) == Some(&b':');
                if is_key && &text[at + 1..end - 1] == key {
                    return Some(text[end + 1..value_end(bytes, end + 1)].trim());
                }
                at = end;
                continue;
            }
            _ => {}
        }
        at += 1;
    }
    None
}

/// Position after the string that starts at `at`.
fn string_end(bytes: &[u8], at: usize) -> usize {
    let mut end = at + 1;
    while end < bytes.len() && bytes[end] != b'"' {
        end += if bytes[end] == b'\\' { 2 } else { 1 };
    }
    end + 1
}

/// Position after the value that starts at `at`.
fn value_end(bytes: &[u8], at: usize) -> usize {
    let (mut depth, mut end) = (0, at);
    while end < bytes.len() {
        match bytes[end] {
            b'"' => {
                end = string_end(bytes, end);
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' | b',' if depth == 0 => return end,
            b'}' | b']' => depth -= 1,
            _ => {}
        }
        end += 1;
    }
    end
}
