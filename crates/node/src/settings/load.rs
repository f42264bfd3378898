//! Loads the settings: file, then flags, then every check.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use miette::NamedSource;
use toml::de::DeTable;
use umberpond_config::{SealKeyPair, SecretValue};
use umberpond_telemetry::{LogFormat, Severity};

use super::fault::{FaultKind, Origin, SettingsFault};
use super::reader::{Located, SettingsReader};
use super::rules::{self, NamedAddress};
use super::{
    AdvertisedAddresses, BackEndConfig, DEFAULT_CHECK_INTERVAL, DEFAULT_DRAIN_TIMEOUT,
    DEFAULT_FAILURES_TO_UNREADY, DEFAULT_RECORDING_ENTRIES, Limits, ListenAddresses, LogConfig, NodeConfig,
    SettingsOverride, SettingsReport,
};

const LOG_FORMATS: &[(&str, LogFormat)] = &[("text", LogFormat::Text), ("json", LogFormat::Json)];
const LOG_LEVELS: &[(&str, Severity)] = &[
    ("debug", Severity::Debug),
    ("info", Severity::Info),
    ("warn", Severity::Warn),
    ("error", Severity::Error),
];

const GREATEST_CONNECTIONS: u64 = 1_000_000;
const LEAST_HEAD_BYTES: u64 = 8 * 1024;
const GREATEST_HEAD_BYTES: u64 = 1024 * 1024;
const GREATEST_RETRIES: u64 = 1_000;
const GREATEST_FAILURES: u64 = 1_000;
const GREATEST_RECORDING_ENTRIES: u64 = 1_000_000;

/// Reads the settings file, if any, and the flags, which win. Checks everything and starts nothing.
///
/// # Errors
/// Returns every fault found, in one report.
pub fn load(file: Option<&Path>, overrides: &[SettingsOverride]) -> Result<NodeConfig, SettingsReport> {
    let text = match file {
        Some(path) => read_text(path)?,
        None => String::new(),
    };
    let source = file.map(|path| Arc::new(NamedSource::new(path.display().to_string(), text.clone())));
    let (document, syntax_errors) = DeTable::parse_recoverable(&text);
    let mut reader = SettingsReader::new(document.get_ref(), source, overrides);
    for error in &syntax_errors {
        let origin = error.span().map_or(Origin::Nowhere, Origin::File);
        reader.fault(FaultKind::Syntax { message: error.message().to_owned() }, origin);
    }
    if !syntax_errors.is_empty() {
        return Err(reader.into_report());
    }
    let directory = file.and_then(Path::parent).unwrap_or(Path::new("")).to_owned();
    let config = read_config(&mut reader, &directory);
    reader.check_unknown_keys();
    match config {
        Some(config) if reader.is_clean() => Ok(config),
        _ => Err(reader.into_report()),
    }
}

fn read_text(path: &Path) -> Result<String, SettingsReport> {
    let kind = match std::fs::read(path) {
        Ok(bytes) => match String::from_utf8(bytes) {
            Ok(text) => return Ok(text),
            Err(error) => FaultKind::NotText { offset: error.utf8_error().valid_up_to() },
        },
        Err(error) => FaultKind::UnreadableFile { reason: error.kind() },
    };
    let source = Arc::new(NamedSource::new(path.display().to_string(), String::new()));
    Err(SettingsReport { faults: vec![SettingsFault::new(kind, Origin::File(0..0), Some(source))] })
}

/// Reads everything, so that every fault is noted, before it puts anything together.
fn read_config(reader: &mut SettingsReader<'_>, directory: &Path) -> Option<NodeConfig> {
    let edge = reader.switch("node.edge").is_some_and(|edge| edge.value);
    let node = reader.name("node.name");
    let service = reader.name("node.service");
    let locality = read_locality(reader);
    let listen = read_listen(reader, edge);
    let back_end = read_back_end(reader, edge);
    let platform = reader.required_address("platform.address");
    let seeds = reader.addresses("overlay.seeds");
    let seal_key = read_seal_key(reader, directory);
    let limits = read_limits(reader);
    let log = read_log(reader);
    let drain_timeout = reader.duration("drain.timeout", DEFAULT_DRAIN_TIMEOUT);
    let recording_entries =
        count(reader, "recording.entries", 0, GREATEST_RECORDING_ENTRIES, DEFAULT_RECORDING_ENTRIES);
    let (locality, localities) = locality?;
    let (listen, advertise) = listen?;
    Some(NodeConfig {
        node: node?.value,
        service: service?.value,
        locality,
        localities,
        listen,
        advertise,
        back_end,
        platform: platform?.value,
        seeds,
        seal_key,
        limits,
        log: log?,
        drain_timeout: drain_timeout?,
        recording_entries,
    })
}

fn read_locality(
    reader: &mut SettingsReader<'_>,
) -> Option<(umberpond_model::Locality, umberpond_config::Topology)> {
    let known = rules::read_localities(reader);
    let region = reader.name("node.region");
    let zone = reader.name("node.zone");
    let known = known?;
    let locality = rules::check_locality(reader, region?, zone?, &known)?;
    Some((locality, known))
}

fn read_listen(
    reader: &mut SettingsReader<'_>,
    edge: bool,
) -> Option<(ListenAddresses, AdvertisedAddresses)> {
    let inbound = read_inbound(reader, edge);
    let outbound = reader.required_address("listen.outbound");
    let admin = reader.required_address("listen.admin");
    let control = reader.required_address("listen.control");
    let advertise = AdvertisedAddresses {
        inbound: reader.address("advertise.inbound").map(value),
        control: reader.address("advertise.control").map(value),
        admin: reader.address("advertise.admin").map(value),
    };
    let keys = ["listen.inbound", "listen.outbound", "listen.admin", "listen.control"];
    let addresses = [&inbound, &outbound, &admin, &control];
    let listeners: Vec<NamedAddress> = keys
        .into_iter()
        .zip(addresses)
        .filter_map(|(key, address)| address.clone().map(|address| NamedAddress { key, address }))
        .collect();
    rules::check_distinct(reader, &listeners);
    for listener in &listeners {
        match listener.key {
            "listen.inbound" => rules::check_reachable(reader, listener, advertise.inbound),
            "listen.control" => rules::check_reachable(reader, listener, advertise.control),
            _ => {}
        }
    }
    let listen = ListenAddresses {
        inbound: inbound.map(value),
        outbound: outbound?.value,
        admin: admin?.value,
        control: control?.value,
    };
    Some((listen, advertise))
}

fn read_inbound(reader: &mut SettingsReader<'_>, edge: bool) -> Option<Located<std::net::SocketAddr>> {
    const KEY: &str = "listen.inbound";
    if !edge {
        return reader.required_address(KEY);
    }
    if let Some(address) = reader.address(KEY) {
        reader.fault(FaultKind::NotAtEdge { key: KEY }, address.origin);
    }
    None
}

fn read_back_end(reader: &mut SettingsReader<'_>, edge: bool) -> Option<BackEndConfig> {
    const KEY: &str = "back-end.address";
    let check_interval = reader.duration("back-end.check-interval", DEFAULT_CHECK_INTERVAL);
    let failures = reader.number("back-end.failures-to-unready", 1, GREATEST_FAILURES);
    let address = if edge { reader.address(KEY) } else { reader.required_address(KEY) }?;
    if edge {
        reader.fault(FaultKind::NotAtEdge { key: KEY }, address.origin);
        return None;
    }
    Some(BackEndConfig {
        address: address.value,
        check_interval: check_interval?,
        failures_to_unready: failures
            .and_then(|failures| u32::try_from(failures).ok())
            .unwrap_or(DEFAULT_FAILURES_TO_UNREADY),
    })
}

fn read_seal_key(reader: &mut SettingsReader<'_>, directory: &Path) -> Option<Arc<SealKeyPair>> {
    const KEY: &str = "secrets.seal-key-file";
    let text = reader.text(KEY)?;
    let path: PathBuf = match &text.origin {
        Origin::Flag(_) => PathBuf::from(&text.value),
        _ => directory.join(&text.value),
    };
    let content = match std::fs::read(&path) {
        Ok(content) => content,
        Err(error) => {
            reader.fault(FaultKind::MissingFile { key: KEY, path, reason: error.kind() }, text.origin);
            return None;
        }
    };
    match SealKeyPair::from_private_text(&SecretValue::new(content)) {
        Ok(key) => Some(Arc::new(key)),
        Err(source) => {
            reader.fault(FaultKind::SealKeyFile { key: KEY, path, source }, text.origin);
            None
        }
    }
}

fn read_limits(reader: &mut SettingsReader<'_>) -> Limits {
    let default = Limits::default();
    Limits {
        connections: count(reader, "limits.connections", 1, GREATEST_CONNECTIONS, default.connections),
        head_bytes: count(
            reader,
            "limits.head-bytes",
            LEAST_HEAD_BYTES,
            GREATEST_HEAD_BYTES,
            default.head_bytes,
        ),
        retries_per_thousand: reader
            .number("limits.retries-per-thousand", 0, GREATEST_RETRIES)
            .unwrap_or(default.retries_per_thousand),
        connect_timeout: reader
            .duration("limits.connect-timeout", default.connect_timeout)
            .unwrap_or(default.connect_timeout),
    }
}

fn read_log(reader: &mut SettingsReader<'_>) -> Option<LogConfig> {
    let default = LogConfig::default();
    let format = reader.choice("log.format", LOG_FORMATS, "`text`, `json`", default.format);
    let level = reader.choice("log.level", LOG_LEVELS, "`debug`, `info`, `warn`, `error`", default.level);
    Some(LogConfig { format: format?, level: level? })
}

/// A number that counts something in memory; `default` if it is absent.
fn count(
    reader: &mut SettingsReader<'_>,
    key: &'static str,
    least: u64,
    greatest: u64,
    default: usize,
) -> usize {
    reader.number(key, least, greatest).and_then(|number| usize::try_from(number).ok()).unwrap_or(default)
}

fn value<T>(located: Located<T>) -> T {
    located.value
}
