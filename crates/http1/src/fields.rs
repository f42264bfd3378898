//! Header fields in the order and the case in which they were received.

use bytes::Bytes;

/// Hop-by-hop fields (RFC 9110, section 7.6.1); a proxy never forwards them.
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Name, in the case in which it was received.
    pub name: Bytes,
    /// Value without surrounding whitespace.
    pub value: Bytes,
}

/// The header fields of one message. Names are compared case-insensitively.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields {
    fields: Vec<Field>,
}

impl Fields {
    /// Value of the first field called `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.fields.iter().find(|field| is_named(field, name)).map(|field| &field.value)
    }

    /// Value of the first field called `name`, if it is valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Values of all fields called `name`.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.fields.iter().filter(move |field| is_named(field, name)).map(|field| &field.value)
    }

    /// Whether there is a field called `name`.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Adds a field.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.fields.push(Field { name: name.into(), value: value.into() });
    }

    /// Removes every field called `name`.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|field| !is_named(field, name));
    }

    /// Replaces all fields called `name` by a single one.
    pub fn set(&mut self, name: &'static str, value: impl Into<Bytes>) {
        self.remove(name);
        self.push(name, value);
    }

    /// The fields in order.
    pub fn iter(&self) -> std::slice::Iter<'_, Field> {
        self.fields.iter()
    }

    /// Number of fields.
    #[must_use]
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether there are no fields.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }

    /// Whether a comma-separated field called `name` lists `option`.
    #[must_use]
    pub fn lists(&self, name: &str, option: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|listed| listed.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
    }

    /// Removes the hop-by-hop fields: the well-known ones, those that `Connection` lists, and
    /// `Content-Length`, since a proxy writes the framing of each connection itself.
    pub fn remove_connection_fields(&mut self) {
        let listed: Vec<Bytes> = self.get_all("connection").cloned().collect();
        let is_listed = |field: &Field| {
            listed
                .iter()
                .flat_map(|value| value.split(|byte| *byte == b','))
                .any(|option| option.trim_ascii().eq_ignore_ascii_case(&field.name))
        };
        self.fields.retain(|field| {
            let is_known = CONNECTION_FIELDS.iter().any(|name| is_named(field, name));
            !is_known && !is_named(field, "content-length") && !is_listed(field)
        });
    }
}

impl FromIterator<Field> for Fields {
    fn from_iter<I: IntoIterator<Item = Field>>(fields: I) -> Self {
        Self { fields: fields.into_iter().collect() }
    }
}

impl<'a> IntoIterator for &'a Fields {
    type Item = &'a Field;
    type IntoIter = std::slice::Iter<'a, Field>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

fn is_named(field: &Field, name: &str) -> bool {
    field.name.eq_ignore_ascii_case(name.as_bytes())
}
