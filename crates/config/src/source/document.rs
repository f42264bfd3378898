//! Reads the entries of a bundle from its files.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};
use umberpond_model::{InvalidName, RegionName, RouteName, SecretName, ServiceName};

use super::entries::{
    INLINE_VALUE_KEYS, PLACEHOLDER_NAME, REGION_KEYS, ROUTE_KEYS, SECRET_KEYS, SERVICE_KEYS, read_region,
    read_route, read_secret, read_service,
};
use super::files::{Directory, SourceFile};
use super::lines::LineIndex;
use super::secret_source::SecretSource;
use super::table::{FileContext, TableReader};
use crate::encoding::SCHEMA;
use crate::{Bundle, EntryKind, EntryName, Fault, FaultKind, Origin, SealedValue, Secret, Sourced};

const FILE_KEYS: [&str; 5] = ["schema", "region", "service", "route", "secret"];

/// A key of an entry.
type EntryKey = (EntryName, String);

/// All data read from the files so far.
#[derive(Default)]
pub(super) struct Collected {
    /// The entries; secrets have empty sealed values. Entries without a valid name have a placeholder name.
    pub(super) bundle: Bundle,
    /// Sources of the secrets' values.
    pub(super) secrets: BTreeMap<SecretName, SecretSource>,
    /// Faults found while reading.
    pub(super) faults: Vec<Fault>,
    /// Line number of each key.
    pub(super) key_lines: BTreeMap<EntryKey, u32>,
    /// Faulty keys, which have a placeholder value.
    pub(super) faulty_keys: BTreeSet<EntryKey>,
    /// Placeholder names of entries and the names as written.
    pub(super) written_names: BTreeMap<String, String>,
    /// Whether a file could not be read completely, so that names may be missing.
    pub(super) is_partial: bool,
}

impl Collected {
    /// Reads one file.
    pub(super) fn read(&mut self, file: &SourceFile, directory: &Directory) {
        let lines = LineIndex::of(&file.text);
        let context = FileContext { name: &file.name, lines: &lines };
        let (document, errors) = DeTable::parse_recoverable(&file.text);
        let syntax: Vec<Fault> = errors.iter().map(|error| syntax_fault(context, error)).collect();
        let first = self.faults.len();
        self.read_document(context, document.get_ref(), directory);
        if !syntax.is_empty() {
            self.is_partial = true;
            let found = self.faults.split_off(first);
            self.faults.extend(found.into_iter().filter(|fault| !follows_from(fault, &syntax)));
            self.faults.extend(syntax);
        }
    }

    fn read_document(&mut self, context: FileContext<'_>, document: &DeTable<'_>, directory: &Directory) {
        let mut top = TableReader::new(context, document, 1, None, &FILE_KEYS);
        read_schema(&mut top);
        self.faults.append(&mut top.faults);
        for (line, table) in self.entry_tables(context, document, EntryKind::Region) {
            self.region(context, line, table);
        }
        for (line, table) in self.entry_tables(context, document, EntryKind::Service) {
            self.service(context, line, table);
        }
        for (line, table) in self.entry_tables(context, document, EntryKind::Route) {
            self.route(context, line, table);
        }
        for (line, table) in self.entry_tables(context, document, EntryKind::Secret) {
            self.secret(context, line, table, directory);
        }
    }

    fn region(&mut self, context: FileContext<'_>, line: u32, table: &DeTable<'_>) {
        let mut reader = entry_reader(context, line, table, EntryKind::Region, &REGION_KEYS);
        let name: RegionName = self.unique_name(&mut reader, |bundle| &bundle.topology);
        let value = read_region(&mut reader);
        let sourced = Sourced { origin: reader.origin(), value };
        self.take_faults(reader, EntryKind::Region, &name);
        self.bundle.topology.insert(name, sourced);
    }

    fn service(&mut self, context: FileContext<'_>, line: u32, table: &DeTable<'_>) {
        let mut reader = entry_reader(context, line, table, EntryKind::Service, &SERVICE_KEYS);
        let name: ServiceName = self.unique_name(&mut reader, |bundle| &bundle.services);
        let value = read_service(&mut reader, name.clone());
        let sourced = Sourced { origin: reader.origin(), value };
        self.take_faults(reader, EntryKind::Service, &name);
        self.bundle.services.insert(name, sourced);
    }

    fn route(&mut self, context: FileContext<'_>, line: u32, table: &DeTable<'_>) {
        let mut reader = entry_reader(context, line, table, EntryKind::Route, &ROUTE_KEYS);
        let name: RouteName = self.unique_name(&mut reader, |bundle| &bundle.routes);
        let value = read_route(&mut reader, name.clone());
        let sourced = Sourced { origin: reader.origin(), value };
        self.take_faults(reader, EntryKind::Route, &name);
        self.bundle.routes.insert(name, sourced);
    }

    fn secret(&mut self, context: FileContext<'_>, line: u32, table: &DeTable<'_>, directory: &Directory) {
        let mut reader = entry_reader(context, line, table, EntryKind::Secret, &SECRET_KEYS);
        reader.faults.retain(|fault| !names_inline_value(fault));
        let name: SecretName = self.unique_name(&mut reader, |bundle| &bundle.secrets);
        let (readers, source) = read_secret(&mut reader, directory);
        let readers = readers.into_iter().map(|reader| (reader, SealedValue(Vec::new()))).collect();
        let value = Secret { name: name.clone(), readers };
        let sourced = Sourced { origin: reader.origin(), value };
        self.take_faults(reader, EntryKind::Secret, &name);
        if let Some(source) = source {
            self.secrets.insert(name.clone(), source);
        }
        self.bundle.secrets.insert(name, sourced);
    }

    /// Returns the entry's name, or a unique placeholder if the name is invalid or already used.
    fn unique_name<T: FromStr<Err = InvalidName> + Ord, V>(
        &mut self,
        reader: &mut TableReader<'_, '_>,
        entries: impl Fn(&Bundle) -> &BTreeMap<T, Sourced<V>>,
    ) -> T {
        let name: Option<T> = reader.name("name");
        let taken = name.as_ref().and_then(|name| entries(&self.bundle).get(name));
        let first = taken.map(|taken| taken.origin.clone());
        match (name, first) {
            (Some(name), None) => return name,
            (Some(_), Some(first)) => reader.key_fault("name", FaultKind::DuplicateName { first }),
            (None, _) => {}
        }
        let placeholder = format!("{PLACEHOLDER_NAME}-{}", self.written_names.len());
        self.written_names.insert(placeholder.clone(), reader.entry_name().to_owned());
        placeholder.parse().unwrap_or_else(|_| unreachable!("the placeholder follows the naming rule"))
    }

    fn take_faults(&mut self, mut reader: TableReader<'_, '_>, kind: EntryKind, name: &impl Display) {
        let entry = EntryName { kind, name: name.to_string() };
        let keys = reader.faults.iter().filter_map(|fault| fault.key.clone());
        self.faulty_keys.extend(keys.map(|key| (entry.clone(), key)));
        let lines = std::mem::take(&mut reader.key_lines).into_iter();
        self.key_lines.extend(lines.map(|(key, line)| ((entry.clone(), key), line)));
        self.faults.append(&mut reader.faults);
    }

    /// Returns the `[[kind]]` tables of a file, each with its line number.
    fn entry_tables<'a, 'i>(
        &mut self,
        context: FileContext<'_>,
        document: &'a DeTable<'i>,
        kind: EntryKind,
    ) -> Vec<(u32, &'a DeTable<'i>)> {
        let Some(value) = document.get(kind.as_str()) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.faults.push(not_a_list_of_tables(context, kind, value));
            return Vec::new();
        };
        let mut tables = Vec::new();
        for item in items {
            match item.get_ref().as_table() {
                Some(table) => tables.push((context.lines.line(&item.span()), table)),
                None => self.faults.push(not_a_list_of_tables(context, kind, item)),
            }
        }
        tables
    }
}

fn entry_reader<'a, 'i>(
    context: FileContext<'a>,
    line: u32,
    table: &'a DeTable<'i>,
    kind: EntryKind,
    keys: &[&str],
) -> TableReader<'a, 'i> {
    let written = table.get("name").and_then(|name| name.get_ref().as_str()).unwrap_or("?");
    let entry = EntryName { kind, name: written.to_owned() };
    TableReader::new(context, table, line, Some(entry), keys)
}

fn read_schema(top: &mut TableReader<'_, '_>) {
    if !top.has("schema") {
        top.key_fault("schema", FaultKind::MissingSchema);
        return;
    }
    match top.number::<i64>("schema") {
        Some(found) if found != i64::from(SCHEMA) => {
            top.key_fault("schema", FaultKind::UnknownSchema { found });
        }
        _ => {}
    }
}

fn not_a_list_of_tables(context: FileContext<'_>, kind: EntryKind, value: &Spanned<DeValue<'_>>) -> Fault {
    let line = context.lines.line(&value.span());
    let found = value.get_ref().type_str().to_owned();
    let wrong_type = FaultKind::WrongType { expected: format!("tables under `[[{kind}]]`"), found };
    let origin = Origin { file: context.name.to_owned(), line };
    Fault { key: Some(kind.to_string()), ..Fault::of_file(origin, wrong_type) }
}

fn syntax_fault(context: FileContext<'_>, error: &toml::de::Error) -> Fault {
    let line = error.span().map_or(0, |span| context.lines.line(&span));
    let origin = Origin { file: context.name.to_owned(), line };
    Fault::of_file(origin, FaultKind::Syntax { message: error.message().to_owned() })
}

/// Whether `fault` may only result from content that the parser skipped after a syntax error.
fn follows_from(fault: &Fault, syntax: &[Fault]) -> bool {
    let is_left_out =
        matches!(fault.kind, FaultKind::MissingKey | FaultKind::MissingSchema | FaultKind::NoValueSource);
    is_left_out || syntax.iter().any(|found| found.origin == fault.origin)
}

fn names_inline_value(fault: &Fault) -> bool {
    let is_unknown = matches!(fault.kind, FaultKind::UnknownKey { .. });
    is_unknown && fault.key.as_deref().is_some_and(|key| INLINE_VALUE_KEYS.contains(&key))
}
