//! `umberpond node`: runs the daemon until a signal.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::Instant;
use umberpond_model::Incarnation;
use umberpond_net::TcpNetwork;
use umberpond_node::settings::{LogConfig, SettingsOverride, load};
use umberpond_node::{Environment, Node, NodeConfig, RunningNode, StartError};
use umberpond_telemetry::Telemetry;

use super::{Exit, flags};

/// Settings of `umberpond node`: the settings file and the flags that win over it.
pub(super) struct NodeSettings {
    file: Option<PathBuf>,
    overrides: Vec<SettingsOverride>,
}

impl From<flags::Node> for NodeSettings {
    fn from(flags: flags::Node) -> Self {
        let given = [
            ("node.name", "--name", flags.name),
            ("node.service", "--service", flags.service),
            ("node.edge", "--edge", flags.edge.then(|| "true".to_owned())),
            ("node.region", "--region", flags.region),
            ("node.zone", "--zone", flags.zone),
            ("listen.inbound", "--inbound", flags.inbound),
            ("listen.outbound", "--outbound", flags.outbound),
            ("listen.admin", "--admin", flags.admin),
            ("listen.control", "--control", flags.control),
            ("advertise.inbound", "--advertise-inbound", flags.advertise_inbound),
            ("advertise.control", "--advertise-control", flags.advertise_control),
            ("advertise.admin", "--advertise-admin", flags.advertise_admin),
            ("back-end.address", "--back-end", flags.back_end),
            ("platform.address", "--platform", flags.platform),
            ("overlay.seeds", "--seeds", flags.seeds),
            ("secrets.seal-key-file", "--seal-key-file", flags.seal_key_file),
            ("log.format", "--log-format", flags.log_format),
            ("log.level", "--log-level", flags.log_level),
            ("drain.timeout", "--drain-timeout", flags.drain_timeout),
            ("recording.entries", "--recording-entries", flags.recording_entries),
        ];
        let overrides = given
            .into_iter()
            .filter_map(|(key, flag, value)| Some(SettingsOverride { key, flag, value: value? }))
            .collect();
        Self { file: flags.config, overrides }
    }
}

/// Checks the settings whole, then runs the node.
pub(super) fn run(settings: NodeSettings) -> Exit {
    let config = match load(settings.file.as_deref(), &settings.overrides) {
        Ok(config) => config,
        Err(report) => {
            eprintln!("{:?}", miette::Report::new(report));
            return Exit::Usage;
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't be started: {error}");
            return Exit::Cut;
        }
    };
    let exit = runtime.block_on(serve(config));
    runtime.shutdown_background();
    exit
}

/// The signals that end a node.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

async fn serve(config: NodeConfig) -> Exit {
    let mut signals = match StopSignals::new() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("signals can't be received: {error}");
            return Exit::Cut;
        }
    };
    let node = match Node::start(config.clone(), environment(config.log)).await {
        Ok(node) => node,
        Err(error) => return not_started(&error),
    };
    tokio::select! {
        biased;
        () = signals.next() => drain(&node, &mut signals).await,
        () = node.failed() => {
            node.stop_at_once().await;
            Exit::Cut
        }
    }
}

/// Drains until done, or until a second signal.
async fn drain(node: &RunningNode, signals: &mut StopSignals) -> Exit {
    let report = tokio::select! {
        biased;
        () = signals.next() => node.stop_at_once().await,
        report = node.drain() => report,
    };
    if report.cut == 0 {
        return Exit::Ok;
    }
    eprintln!("{} requests in flight were cut", report.cut);
    Exit::Cut
}

fn not_started(error: &StartError) -> Exit {
    eprintln!("{error}");
    if let Some(source) = std::error::Error::source(error) {
        eprintln!("  because: {source}");
    }
    Exit::Usage
}

/// The surroundings of a daemon: TCP, a seed of its own, and the wall clock read once.
fn environment(log: LogConfig) -> Environment {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Environment {
        network: Arc::new(TcpNetwork),
        seed: rand::random(),
        incarnation: Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)),
        started: Instant::now(),
        telemetry: Telemetry::to_log(log.format, log.level),
    }
}
