//! Loads the settings from the file and the flags, and checks them.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use miette::NamedSource;
use toml::de::DeTable;
use umberpond_config::{SealKeyPair, SecretValue, Topology};
use umberpond_model::Locality;
use umberpond_rollouts::RolloutSettings;
use umberpond_selection::RetryBudgetSettings;
use umberpond_telemetry::{LogFormat, Severity};

use super::fault::{FaultKind, Origin, SettingsFault};
use super::reader::{Located, SettingsReader};
use super::rules::{self, NamedAddress};
use super::{
    AdvertisedAddresses, BackEndConfig, DEFAULT_CHECK_INTERVAL, DEFAULT_FAILURES_TO_UNREADY, DEFAULT_GRACE,
    ListenAddresses, LogConfig, NodeConfig, SettingsOverride, SettingsReport,
};

const LOG_FORMATS: &[(&str, LogFormat)] = &[("text", LogFormat::Text), ("json", LogFormat::Json)];
const LOG_LEVELS: &[(&str, Severity)] = &[
    ("debug", Severity::Debug),
    ("info", Severity::Info),
    ("warn", Severity::Warn),
    ("error", Severity::Error),
];

const MAX_FAILURES: u32 = 1_000;
const MAX_RATIO: u64 = 10;
const MAX_EXTRA: u64 = 1_000_000;
const MAX_MEGABITS: u64 = 1_000_000;
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Reads the settings file, if any, and the flags, which take precedence. Checks all settings and starts
/// nothing.
///
/// # Errors
/// Returns all faults in one report.
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
        Some(config) if reader.has_no_faults() => Ok(config),
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

/// Reads all settings before it builds the configuration, so that all faults are reported.
fn read_config(reader: &mut SettingsReader<'_>, directory: &Path) -> Option<NodeConfig> {
    let node = reader.name("node.name");
    let service = reader.name("node.service");
    let is_first_start = reader.boolean("node.first-start").is_some_and(|first| first.value);
    let locality = read_locality(reader);
    let listen = read_listen(reader);
    let back_end = read_back_end(reader);
    let store = reader.required_address("store.address");
    let seal_key = read_seal_key(reader, directory);
    let link_rate = read_link_rate(reader);
    let retry_budget = read_retry_budget(reader);
    let rollouts = read_rollouts(reader);
    let follows_evacuations = reader.boolean("evacuations.follow").is_some_and(|follow| follow.value);
    let keeps_slots_for_calls = reader.boolean("calls.keep-slots").is_some_and(|keep| keep.value);
    let chooses_by_speed = reader.boolean("selection.by-speed").is_some_and(|by_speed| by_speed.value);
    let log = read_log(reader);
    let grace = reader.duration("stop.grace", DEFAULT_GRACE);
    let (locality, topology) = locality?;
    let (listen, advertise) = listen?;
    Some(NodeConfig {
        node: node?.value,
        service: service?.value,
        is_first_start,
        locality,
        topology,
        listen,
        advertise,
        back_end: back_end?,
        store: store?.value,
        seal_key,
        link_rate: link_rate?,
        retry_budget: retry_budget?,
        rollouts: rollouts?,
        follows_evacuations,
        keeps_slots_for_calls,
        chooses_by_speed,
        log: log?,
        grace: grace?,
    })
}

fn read_locality(reader: &mut SettingsReader<'_>) -> Option<(Locality, Topology)> {
    let known = rules::read_zones(reader);
    let region = reader.name("node.region");
    let zone = reader.name("node.zone");
    let known = known?;
    let locality = rules::check_locality(reader, region?, zone?, &known)?;
    Some((locality, known))
}

fn read_listen(reader: &mut SettingsReader<'_>) -> Option<(ListenAddresses, AdvertisedAddresses)> {
    let inbound = reader.required_address("listen.inbound");
    let outbound = reader.required_address("listen.outbound");
    let admin = reader.required_address("listen.admin");
    let control = reader.required_address("listen.control");
    let registration = reader.address("listen.registration");
    let advertise = AdvertisedAddresses {
        inbound: reader.address("advertise.inbound").map(value),
        control: reader.address("advertise.control").map(value),
    };
    let keys = ["listen.inbound", "listen.outbound", "listen.admin", "listen.control", "listen.registration"];
    let addresses = [&inbound, &outbound, &admin, &control, &registration];
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
        inbound: inbound?.value,
        outbound: outbound?.value,
        admin: admin?.value,
        control: control?.value,
        registration: registration.map(value),
    };
    Some((listen, advertise))
}

/// Reads the optional back end; `None` if its settings have a fault.
fn read_back_end(reader: &mut SettingsReader<'_>) -> Option<Option<BackEndConfig>> {
    let address = reader.address("back-end.address");
    let check_interval = reader.duration("back-end.check-interval", DEFAULT_CHECK_INTERVAL);
    let failures =
        reader.integer_between("back-end.failures-to-unready", 1, MAX_FAILURES, DEFAULT_FAILURES_TO_UNREADY);
    let (check_interval, failures_to_unready) = (check_interval?, failures?);
    Some(address.map(|address| BackEndConfig { address: address.value, check_interval, failures_to_unready }))
}

/// Reads the optional rate of the node's link in bytes per second; `None` if the setting has a fault.
fn read_link_rate(reader: &mut SettingsReader<'_>) -> Option<Option<f64>> {
    let megabits = reader.decimal("link.megabits-per-second", 0, MAX_MEGABITS, 0.0)?;
    Some((megabits > 0.0).then_some(megabits * BYTES_PER_MEGABIT))
}

fn read_retry_budget(reader: &mut SettingsReader<'_>) -> Option<RetryBudgetSettings> {
    let default = RetryBudgetSettings::default();
    let ratio = reader.decimal("retries.ratio", 0, MAX_RATIO, default.ratio);
    let extra = reader.decimal("retries.extra", 0, MAX_EXTRA, default.extra);
    let window = reader.duration("retries.window", default.window);
    Some(RetryBudgetSettings { ratio: ratio?, extra: extra?, window: window? })
}

/// Reads the optional rollout settings, absent if the node participates in none; `None` if a setting has a
/// fault.
fn read_rollouts(reader: &mut SettingsReader<'_>) -> Option<Option<RolloutSettings>> {
    let canary_share = reader.decimal("rollouts.canary-share", 0, 1, 0.0)?;
    Some((canary_share > 0.0).then_some(RolloutSettings { canary_share }))
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

fn read_log(reader: &mut SettingsReader<'_>) -> Option<LogConfig> {
    let default = LogConfig::default();
    let format = reader.choice("log.format", LOG_FORMATS, "`text`, `json`", default.format);
    let level = reader.choice("log.level", LOG_LEVELS, "`debug`, `info`, `warn`, `error`", default.level);
    Some(LogConfig { format: format?, level: level? })
}

fn value<T>(located: Located<T>) -> T {
    located.value
}
