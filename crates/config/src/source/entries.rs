//! Reads the entries of a bundle's files. A faulty key gets a placeholder value, so that the other keys are
//! still checked.

use std::collections::BTreeSet;

use umberpond_model::{LocalityRule, Millis, RegionName, SecretName, ServiceName, ZoneName};

use super::files::Directory;
use super::secret_source::{SecretSource, ValueSource};
use super::table::TableReader;
use crate::{FaultKind, HeaderCredential, RequestClass, Route, RouteAccess, RoutePolicy, SealKey, Service};

pub(super) const REGION_KEYS: [&str; 2] = ["name", "zones"];
pub(super) const SERVICE_KEYS: [&str; 5] = ["name", "allowed", "slots", "connections", "seal_key"];
pub(super) const ROUTE_KEYS: [&str; 9] = [
    "name",
    "service",
    "callers",
    "path_prefix",
    "methods",
    "idempotent",
    "class",
    "timeout_millis",
    "credentials",
];
pub(super) const SECRET_KEYS: [&str; 4] = ["name", "readers", "file", "environment"];
/// Keys under which operators may write a value inline. They are recognised so that the fault does not repeat
/// the value.
pub(super) const INLINE_VALUE_KEYS: [&str; 5] = ["value", "secret", "text", "inline", "data"];

const LOCALITY_KEYS: [&str; 2] = ["region", "zone"];
const CREDENTIAL_KEYS: [&str; 2] = ["header", "secret"];
const CLASSES: [(&str, RequestClass); 4] = [
    ("reporting", RequestClass::Reporting),
    ("status", RequestClass::Status),
    ("transaction", RequestClass::Transaction),
    ("internal", RequestClass::Internal),
];

/// Placeholder for a missing or invalid name; the checker's faults about it are not reported.
pub(super) const PLACEHOLDER_NAME: &str = "stand-in-for-a-faulty-name";

fn placeholder<T: std::str::FromStr>() -> T {
    PLACEHOLDER_NAME.parse().unwrap_or_else(|_| unreachable!("the placeholder follows the naming rule"))
}

pub(super) fn read_region(table: &mut TableReader<'_, '_>) -> BTreeSet<ZoneName> {
    table.names("zones")
}

pub(super) fn read_service(table: &mut TableReader<'_, '_>, name: ServiceName) -> Service {
    table.require("allowed");
    Service {
        name,
        allowed: table.tables("allowed", &LOCALITY_KEYS, read_locality),
        slots: table.number("slots").unwrap_or(1),
        connections: table.number("connections").unwrap_or(1),
        seal_key: read_seal_key(table),
        health_path: None,
        cold_rate: None,
    }
}

fn read_locality(table: &mut TableReader<'_, '_>) -> Option<LocalityRule> {
    let region: Option<RegionName> = table.name("region");
    let zone: Option<ZoneName> = table.optional_name("zone");
    // A faulty zone must not extend the rule to the whole region.
    let is_whole = table.faults.is_empty();
    region.filter(|_| is_whole).map(|region| LocalityRule { region, zone })
}

fn read_seal_key(table: &mut TableReader<'_, '_>) -> Option<SealKey> {
    let text = table.optional_text("seal_key")?;
    let key = text.parse();
    if key.is_err() {
        table.key_fault("seal_key", FaultKind::BadSealKey);
    }
    key.ok()
}

pub(super) fn read_route(table: &mut TableReader<'_, '_>, name: umberpond_model::RouteName) -> Route {
    Route {
        name,
        service: table.name("service").unwrap_or_else(placeholder),
        callers: table.names("callers"),
        path_prefix: table.text("path_prefix").unwrap_or("/").to_owned(),
        methods: table.optional_texts("methods"),
        idempotent: table.optional_flag("idempotent").unwrap_or(false),
        class: read_class(table).unwrap_or(RequestClass::Status),
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(table.number("timeout_millis").unwrap_or(1)),
        credentials: table.tables("credentials", &CREDENTIAL_KEYS, read_credential),
        access: RouteAccess::default(),
    }
}

fn read_class(table: &mut TableReader<'_, '_>) -> Option<RequestClass> {
    let word = table.text("class")?;
    let class = CLASSES.iter().find(|(known, _)| *known == word).map(|(_, class)| *class);
    if class.is_none() {
        let allowed = CLASSES.iter().map(|(known, _)| format!("`{known}`")).collect();
        table.key_fault("class", FaultKind::UnknownWord { allowed });
    }
    class
}

fn read_credential(table: &mut TableReader<'_, '_>) -> Option<HeaderCredential> {
    let secret: SecretName = table.name("secret").unwrap_or_else(placeholder);
    let header = table.text("header")?.to_owned();
    Some(HeaderCredential { header, secret })
}

/// Reads a secret. The source is `None` if the value is not available.
pub(super) fn read_secret(
    table: &mut TableReader<'_, '_>,
    directory: &Directory,
) -> (BTreeSet<ServiceName>, Option<SecretSource>) {
    let readers: BTreeSet<ServiceName> = table.names("readers");
    let value = read_value_source(table, directory);
    let source = value.map(|value| SecretSource { readers: readers.clone(), value });
    (readers, source)
}

fn read_value_source(table: &mut TableReader<'_, '_>, directory: &Directory) -> Option<ValueSource> {
    let inline = INLINE_VALUE_KEYS.into_iter().find(|key| table.has(key));
    if let Some(key) = inline {
        table.key_fault(key, FaultKind::InlineValue);
    }
    match (table.has("file"), table.has("environment")) {
        (true, true) => {
            table.key_fault("environment", FaultKind::TwoValueSources);
            None
        }
        (true, false) => read_value_file(table, directory),
        (false, true) => read_variable(table),
        (false, false) => {
            if inline.is_none() {
                table.key_fault("file", FaultKind::NoValueSource);
            }
            None
        }
    }
}

fn read_value_file(table: &mut TableReader<'_, '_>, directory: &Directory) -> Option<ValueSource> {
    let path = table.text("file")?;
    match directory.read_secret(path) {
        Ok(value) => Some(ValueSource::File(value)),
        Err(kind) => {
            table.key_fault("file", kind);
            None
        }
    }
}

fn read_variable(table: &mut TableReader<'_, '_>) -> Option<ValueSource> {
    let variable = table.text("environment")?;
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_';
    if variable.is_empty() || !variable.bytes().all(is_plain) {
        let reason = "an environment variable's name holds only letters, digits and `_`".to_owned();
        table.key_fault("environment", FaultKind::UnreadableValue { reason });
        return None;
    }
    Some(ValueSource::Environment(variable.to_owned()))
}
