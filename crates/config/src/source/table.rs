//! Reads one TOML table key by key, collecting all faults instead of stopping at the first one.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};
use umberpond_model::InvalidName;

use super::lines::LineIndex;
use crate::{EntryName, Fault, FaultKind, Origin};

/// The file being read.
#[derive(Clone, Copy)]
pub(super) struct FileContext<'a> {
    pub(super) name: &'a str,
    pub(super) lines: &'a LineIndex,
}

/// A value with its line number.
type LocatedValue<'a, 'i> = (u32, &'a DeValue<'i>);

/// Reader of one table, with its location and the faults found in it.
pub(super) struct TableReader<'a, 'i> {
    file: FileContext<'a>,
    table: &'a DeTable<'i>,
    line: u32,
    entry: Option<EntryName>,
    /// Line number of each key of the entry, for faults that later checks find.
    pub(super) key_lines: BTreeMap<String, u32>,
    /// Faults found so far.
    pub(super) faults: Vec<Fault>,
}

impl<'a, 'i> TableReader<'a, 'i> {
    /// Creates a reader of `table`, whose header is on `line`. Every key that is not in `known` is a fault.
    pub(super) fn new(
        file: FileContext<'a>,
        table: &'a DeTable<'i>,
        line: u32,
        entry: Option<EntryName>,
        known: &[&str],
    ) -> Self {
        let mut reader = Self { file, table, line, entry, key_lines: BTreeMap::new(), faults: Vec::new() };
        for (key, _) in table {
            let line = file.lines.line(&key.span());
            let text: &str = key.get_ref();
            reader.key_lines.insert(text.to_owned(), line);
            if !known.contains(&text) {
                let known = known.iter().map(|key| format!("`{key}`")).collect();
                reader.fault(line, text, FaultKind::UnknownKey { known });
            }
        }
        reader
    }

    /// Location of the table.
    pub(super) fn origin(&self) -> Origin {
        Origin { file: self.file.name.to_owned(), line: self.line }
    }

    /// Name of the entry as written in the file.
    pub(super) fn entry_name(&self) -> &str {
        self.entry.as_ref().map_or("", |entry| &entry.name)
    }

    /// Whether the table contains `key`, regardless of its type.
    pub(super) fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Adds a fault of `key` at the key's line.
    pub(super) fn key_fault(&mut self, key: &str, kind: FaultKind) {
        let line = self.key_lines.get(key).copied().unwrap_or(self.line);
        self.fault(line, key, kind);
    }

    pub(super) fn optional_text(&mut self, key: &str) -> Option<&'a str> {
        let (line, value) = self.optional(key)?;
        let text = value.as_str();
        if text.is_none() {
            self.wrong_type(line, key, "a string", value);
        }
        text
    }

    pub(super) fn text(&mut self, key: &str) -> Option<&'a str> {
        self.require(key);
        self.optional_text(key)
    }

    /// Reads and validates a name.
    pub(super) fn name<T: FromStr<Err = InvalidName>>(&mut self, key: &str) -> Option<T> {
        let text = self.text(key)?;
        self.checked(key, text)
    }

    pub(super) fn optional_name<T: FromStr<Err = InvalidName>>(&mut self, key: &str) -> Option<T> {
        let text = self.optional_text(key)?;
        self.checked(key, text)
    }

    /// Reads and validates a list of names; a duplicate is a fault.
    pub(super) fn names<T>(&mut self, key: &str) -> BTreeSet<T>
    where
        T: FromStr<Err = InvalidName> + Ord + Clone,
    {
        self.require(key);
        let texts = self.optional_texts(key);
        texts.into_iter().filter_map(|text| self.checked(key, &text)).collect()
    }

    /// Reads an optional list of strings; a duplicate is a fault.
    pub(super) fn optional_texts(&mut self, key: &str) -> BTreeSet<String> {
        let mut texts = BTreeSet::new();
        for (line, value) in self.optional_list(key) {
            match value.as_str() {
                None => self.wrong_type(line, key, "a list of strings", value),
                Some(text) if !texts.insert(text.to_owned()) => {
                    self.fault(line, key, FaultKind::DuplicateValue { value: text.to_owned() });
                }
                Some(_) => {}
            }
        }
        texts
    }

    /// Reads an optional list of tables and passes each to `read`.
    pub(super) fn tables<T>(
        &mut self,
        key: &str,
        known: &[&str],
        read: impl Fn(&mut TableReader<'a, 'i>) -> Option<T>,
    ) -> Vec<T> {
        let mut values = Vec::new();
        for (line, value) in self.optional_list(key) {
            let Some(table) = value.as_table() else {
                self.wrong_type(line, key, "a list of tables", value);
                continue;
            };
            let mut reader = TableReader::new(self.file, table, line, self.entry.clone(), known);
            values.extend(read(&mut reader));
            self.faults.append(&mut reader.faults);
        }
        values
    }

    pub(super) fn require(&mut self, key: &str) {
        if !self.has(key) {
            self.fault(self.line, key, FaultKind::MissingKey);
        }
    }

    /// Reads an integer. One that does not fit `T` becomes zero, which is out of range for every key.
    pub(super) fn number<T: TryFrom<i64> + Default>(&mut self, key: &str) -> Option<T> {
        self.require(key);
        let (line, value) = self.optional(key)?;
        let Some(number) = integer(value) else {
            self.wrong_type(line, key, "a whole number", value);
            return None;
        };
        Some(T::try_from(number).unwrap_or_default())
    }

    pub(super) fn optional_flag(&mut self, key: &str) -> Option<bool> {
        let (line, value) = self.optional(key)?;
        let flag = value.as_bool();
        if flag.is_none() {
            self.wrong_type(line, key, "`true` or `false`", value);
        }
        flag
    }

    fn optional(&self, key: &str) -> Option<LocatedValue<'a, 'i>> {
        let table: &'a DeTable<'i> = self.table;
        table.get(key).map(|value| self.locate(value))
    }

    fn optional_list(&mut self, key: &str) -> Vec<LocatedValue<'a, 'i>> {
        let Some((line, value)) = self.optional(key) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.wrong_type(line, key, "a list", value);
            return Vec::new();
        };
        items.iter().map(|item| self.locate(item)).collect()
    }

    fn locate(&self, value: &'a Spanned<DeValue<'i>>) -> LocatedValue<'a, 'i> {
        (self.file.lines.line(&value.span()), value.get_ref())
    }

    fn checked<T: FromStr<Err = InvalidName>>(&mut self, key: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                self.key_fault(key, FaultKind::BadName { reason: error.to_string() });
                None
            }
        }
    }

    fn wrong_type(&mut self, line: u32, key: &str, expected: &str, found: &DeValue<'_>) {
        let found = found.type_str().to_owned();
        self.fault(line, key, FaultKind::WrongType { expected: expected.to_owned(), found });
    }

    fn fault(&mut self, line: u32, key: &str, kind: FaultKind) {
        self.faults.push(Fault {
            bundle: None,
            origin: Origin { file: self.file.name.to_owned(), line },
            entry: self.entry.clone(),
            key: Some(key.to_owned()),
            kind,
        });
    }
}

fn integer(value: &DeValue<'_>) -> Option<i64> {
    let integer = value.as_integer()?;
    // Integers beyond 64 bits have the right type but are out of range for every key.
    Some(i64::from_str_radix(integer.as_str(), integer.radix()).unwrap_or(i64::MIN))
}
