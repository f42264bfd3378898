//! `umberpond node`: runs the daemon until it receives a signal.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::SystemTime;

use tokio::signal::unix::{Signal, SignalKind, signal};
use umberpond_daemon::settings::{NodeConfig, SettingsOverride, load};
use umberpond_daemon::wall_clock::unix_millis;
use umberpond_daemon::{
    Daemon, Environment, Extensions, MachineClock, RunningDaemon, StartError, listen, serve_http,
};
use umberpond_forwarding::HeaderProfile;
use umberpond_net::{Network, TcpNetwork};
use umberpond_operator::admin::ADMIN_BODY_BYTES;
use umberpond_operator::{AdminHandler, ChainSource, StoreDirectory, StoreQuarantine, collect_now_and_then};
use umberpond_store::{ClientSettings, GateLimits, ObjectStore, PlatformClient, PlatformGate};
use umberpond_telemetry::{Event, Telemetry};

use super::{Exit, flags};

/// Settings of `umberpond node`: the settings file and the flags that override it.
pub(super) struct NodeSettings {
    file: Option<PathBuf>,
    overrides: Vec<SettingsOverride>,
}

impl From<flags::Node> for NodeSettings {
    fn from(flags: flags::Node) -> Self {
        let given = [
            ("node.name", "--name", flags.name),
            ("node.service", "--service", flags.service),
            ("node.region", "--region", flags.region),
            ("node.zone", "--zone", flags.zone),
            ("listen.inbound", "--inbound", flags.inbound),
            ("listen.outbound", "--outbound", flags.outbound),
            ("listen.admin", "--admin", flags.admin),
            ("listen.control", "--control", flags.control),
            ("listen.registration", "--registration", flags.registration),
            ("advertise.inbound", "--advertise-inbound", flags.advertise_inbound),
            ("advertise.control", "--advertise-control", flags.advertise_control),
            ("back-end.address", "--back-end", flags.back_end),
            ("store.address", "--store", flags.store),
            ("secrets.seal-key-file", "--seal-key-file", flags.seal_key_file),
            ("log.format", "--log-format", flags.log_format),
            ("log.level", "--log-level", flags.log_level),
            ("stop.grace", "--stop-grace", flags.stop_grace),
        ];
        let overrides = given
            .into_iter()
            .filter_map(|(key, flag, value)| Some(SettingsOverride { key, flag, value: value? }))
            .collect();
        Self { file: flags.config, overrides }
    }
}

/// Validates all settings, then runs the node.
pub(super) fn run(settings: NodeSettings) -> Exit {
    let config = match load(settings.file.as_deref(), &settings.overrides) {
        Ok(config) => config,
        Err(report) => {
            eprintln!("{:?}", miette::Report::new(report));
            return Exit::Usage;
        }
    };
    // Single-threaded: a node gets a small share of a core, and its work is mostly I/O-bound.
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the runtime can't be started: {error}");
            return Exit::Aborted;
        }
    };
    let telemetry = Telemetry::to_log(config.log.format, config.log.level);
    let exit = runtime.block_on(serve(config, &telemetry, settings));
    telemetry.flush();
    exit
}

/// The signals that a node handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM or SIGINT; meanwhile calls `reload` on each SIGHUP.
    async fn stop(&mut self, reload: impl Fn()) {
        loop {
            tokio::select! {
                biased;
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => reload(),
            }
        }
    }
}

async fn serve(config: NodeConfig, telemetry: &Telemetry, settings: NodeSettings) -> Exit {
    let mut signals = match Signals::new() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("signals can't be received: {error}");
            return Exit::Aborted;
        }
    };
    let daemon = match start(config, telemetry).await {
        Ok(daemon) => daemon,
        Err(error) => return not_started(&error),
    };
    signals.stop(|| reload(&daemon, &settings)).await;
    let report = tokio::select! {
        biased;
        () = signals.stop(|| {}) => daemon.stop_at_once().await,
        report = daemon.stop() => report,
    };
    if report.cut == 0 {
        return Exit::Ok;
    }
    eprintln!("{} requests in flight were cut", report.cut);
    Exit::Aborted
}

/// Starts the daemon with the umberpond store, and the operator API.
async fn start(config: NodeConfig, telemetry: &Telemetry) -> Result<Arc<RunningDaemon>, StartError> {
    let network: Arc<dyn Network> = Arc::new(TcpNetwork);
    let gate = PlatformGate::new(GateLimits::default());
    let client = PlatformClient::new(Arc::clone(&network), config.store, gate, ClientSettings::default());
    let store: Arc<dyn ObjectStore> = Arc::new(client.named(config.node.clone()));
    let environment = Environment {
        network,
        seed: rand::random(),
        telemetry: telemetry.clone(),
        boot_clock: Arc::new(MachineClock),
    };
    let extensions = Extensions {
        source: Arc::new(ChainSource::new(Arc::clone(&store))),
        directory: Arc::new(StoreDirectory::new(Arc::clone(&store))),
        rollouts: None,
        quarantine: Some(Arc::new(StoreQuarantine::new(Arc::clone(&store)))),
        evacuations: None,
        departures: None,
        header_profile: HeaderProfile::DEFAULT,
    };
    let admin = config.listen.admin;
    let daemon = Arc::new(Daemon::start(config, environment.clone(), extensions).await?);
    let handler = AdminHandler::new(
        Arc::clone(&daemon),
        Arc::clone(&store),
        Arc::new(|| unix_millis(SystemTime::now())),
        rand::random(),
    );
    let listener = listen(&environment, "admin", admin).await?;
    tokio::spawn(serve_http(listener, Arc::new(handler), ADMIN_BODY_BYTES));
    tokio::spawn(collect_now_and_then(Arc::clone(&daemon), store, rand::random()));
    Ok(daemon)
}

/// Applies changed settings. Invalid settings have no effect.
fn reload(daemon: &RunningDaemon, settings: &NodeSettings) {
    match load(settings.file.as_deref(), &settings.overrides) {
        Ok(config) => daemon.reload(&config),
        Err(report) => {
            let reason = report.to_string();
            daemon.telemetry().emit(Event::SettingsRefused { reason });
        }
    }
}

fn not_started(error: &StartError) -> Exit {
    eprintln!("{error}");
    if let Some(source) = std::error::Error::source(error) {
        eprintln!("  because: {source}");
    }
    Exit::Usage
}
