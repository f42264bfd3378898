//! Metrics of one node in the Prometheus text format.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use umberpond_model::{RequestRate, StoreEra};

/// Upper bound of the first bucket of the request histogram, in seconds.
const FIRST_BUCKET_BOUND_SECONDS: f64 = 0.000_25;
/// Ratio between the upper bounds of two adjacent buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the upper bound of the last one is about 16 s.
const BUCKET_COUNT: u16 = 17;
/// Upper bounds of the buckets for response times as a multiple of the expected time.
const RESPONSE_RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0];

/// Main cause of the difference between the actual and the expected response time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DelayCause {
    /// Waiting for a slot, and the network between the nodes.
    Wait,
    /// Processing in the back end.
    Work,
}

impl DelayCause {
    /// Value of the label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Work => "work",
        }
    }
}

/// Label values of the tenants with the most slot time, by rank.
const TENANT_RANK_LABELS: [&str; 3] = ["1", "2", "3"];
/// All of the slot time, in thousandths.
const FULL_PERMILLE: i64 = 1000;

/// Direction of control traffic as seen from the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Received.
    In,
    /// Sent.
    Out,
}

impl Direction {
    /// Value of the label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::In => "in",
            Self::Out => "out",
        }
    }
}

/// Stage of a configuration version on this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VersionStage {
    /// Newest version that the node holds.
    Held,
    /// Newest version known to be committed.
    Committed,
    /// Active version.
    Active,
    /// Version floor that has been proven.
    Floor,
}

impl VersionStage {
    /// Value of the label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Committed => "committed",
            Self::Active => "active",
            Self::Floor => "floor",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ControlLabels {
    direction: &'static str,
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    outcome: &'static str,
    detail: RequestDetail,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PlatformLabels {
    operation: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RoleLabels {
    role: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: &'static str,
}

/// Control bytes, summed over all kinds of messages.
#[derive(Debug, Default)]
struct ControlTotals {
    received: AtomicU64,
    sent: AtomicU64,
}

impl ControlTotals {
    const fn of(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::In => &self.received,
            Direction::Out => &self.sent,
        }
    }
}

/// Detail of a request's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestDetail {
    /// Status code of the back end's response.
    Status(u16),
    /// Reason for a response that a proxy made itself.
    Reason(&'static str),
}

impl EncodeLabelValue for RequestDetail {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        match self {
            Self::Status(status) => EncodeLabelValue::encode(status, encoder),
            Self::Reason(reason) => EncodeLabelValue::encode(reason, encoder),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CutLabels {
    reason: &'static str,
}

/// What became of an announcement of the back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It is of the process that it was expected from, or of its successor.
    Applied,
    /// Other reports outrank it.
    Ignored,
    /// It is invalid, or of another back end.
    Refused,
}

impl AnnouncementOutcome {
    const fn name(self) -> &'static str {
        match self {
            Self::Applied => "applied",
            Self::Ignored => "ignored",
            Self::Refused => "refused",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OverShareLabels {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    place: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// Metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    control_bytes: Family<ControlLabels, Counter>,
    control_totals: ControlTotals,
    control_messages: Family<ControlLabels, Counter>,
    control_connections: Gauge,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Histogram,
    cuts: Family<CutLabels, Counter>,
    attempts: Counter,
    reported_slowdowns: Family<OutcomeLabels, Counter>,
    announcements: Family<OutcomeLabels, Counter>,
    response_time_ratios: Family<CauseLabels, Histogram, fn() -> Histogram>,
    versions: Family<StageLabels, Gauge>,
    configuration_entries: Gauge,
    history_versions: Gauge,
    history_names: Gauge,
    roles: Family<RoleLabels, Gauge>,
    platform_requests: Family<PlatformLabels, Counter>,
    store_era: Gauge,
    endpoints: Gauge,
    evacuated_zones: Gauge,
    quota_refusals: Counter,
    quota_tokens_expired: Counter,
    ready: Gauge,
    sharing_tenants: Gauge,
    tenant_uses: Family<TenantLabels, Gauge>,
    over_share: Family<OverShareLabels, Counter>,
    request_limit: Gauge<f64, AtomicU64>,
    invalid_request_limits: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("umberpond"),
            control_bytes: Family::default(),
            control_totals: ControlTotals::default(),
            control_messages: Family::default(),
            control_connections: Gauge::default(),
            requests: Family::default(),
            request_seconds: request_histogram(),
            cuts: Family::default(),
            attempts: Counter::default(),
            reported_slowdowns: Family::default(),
            announcements: Family::default(),
            response_time_ratios: Family::new_with_constructor(ratio_histogram),
            versions: Family::default(),
            configuration_entries: Gauge::default(),
            history_versions: Gauge::default(),
            history_names: Gauge::default(),
            roles: Family::default(),
            platform_requests: Family::default(),
            store_era: Gauge::default(),
            endpoints: Gauge::default(),
            evacuated_zones: Gauge::default(),
            quota_refusals: Counter::default(),
            quota_tokens_expired: Counter::default(),
            ready: Gauge::default(),
            sharing_tenants: Gauge::default(),
            tenant_uses: Family::default(),
            over_share: Family::default(),
            request_limit: Gauge::default(),
            invalid_request_limits: Counter::default(),
        };
        metrics.register_control();
        metrics.register_configuration();
        metrics.register_requests();
        metrics.register_quotas();
        metrics.register_shares();
        metrics.register_request_limits();
        metrics
    }
}

fn request_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_BOUND_SECONDS, BUCKET_FACTOR, BUCKET_COUNT))
}

fn ratio_histogram() -> Histogram {
    Histogram::new(RESPONSE_RATIO_BUCKETS)
}

impl Metrics {
    fn register_control(&mut self) {
        let registry = &mut self.registry;
        registry.register_with_unit(
            "control",
            "Bytes of control traffic by direction and kind of message",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
        registry.register(
            "control_messages",
            "Control messages by direction and kind",
            self.control_messages.clone(),
        );
        registry.register(
            "control_connections",
            "Open control connections",
            self.control_connections.clone(),
        );
        registry.register("role", "1 while the node holds the control role", self.roles.clone());
        registry.register(
            "platform_requests",
            "Requests to the platform by operation and outcome",
            self.platform_requests.clone(),
        );
        registry.register(
            "store_era",
            "Number of the store's history, which rises each time it is restored from a copy",
            self.store_era.clone(),
        );
    }

    fn register_configuration(&mut self) {
        let registry = &mut self.registry;
        registry.register("version", "Configuration version by stage", self.versions.clone());
        registry.register(
            "configuration_entries",
            "Entries of the active configuration",
            self.configuration_entries.clone(),
        );
        registry.register(
            "history_versions",
            "Earlier versions from which other nodes can get a delta",
            self.history_versions.clone(),
        );
        registry.register(
            "history_names",
            "Names of changed entries kept for these deltas",
            self.history_names.clone(),
        );
    }

    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests with a final answer, by outcome and status or reason",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request",
            "Time from the head of a request to the end of its answer",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        registry.register("cuts", "Exchanges that broke off after the head of the answer", self.cuts.clone());
        registry.register("attempts", "Attempts sent by the outbound half", self.attempts.clone());
        registry.register(
            "slowdown_words",
            "Figures by which the back end told how slow it is, by outcome: taken or invalid",
            self.reported_slowdowns.clone(),
        );
        registry.register(
            "announcements",
            "Announcements of the back end, by outcome: applied, ignored or refused",
            self.announcements.clone(),
        );
        registry.register_with_unit(
            "answer_expected",
            "Time of an answered attempt as a multiple of that expected, by what made up most of the difference",
            Unit::Ratios,
            self.response_time_ratios.clone(),
        );
        registry.register(
            "endpoints",
            "Endpoint records in use by this node's callers",
            self.endpoints.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones whose back ends get nothing new by an operator's order",
            self.evacuated_zones.clone(),
        );
        registry.register("ready", "1 while the node is ready", self.ready.clone());
    }

    fn register_quotas(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "quota_refusals",
            "Requests refused because their tenant was at its limit",
            self.quota_refusals.clone(),
        );
        registry.register(
            "quota_tokens_expired",
            "Tokens of tenants that this node was given and nobody used",
            self.quota_tokens_expired.clone(),
        );
    }

    /// Counts a request refused because its tenant was at its quota.
    pub fn quota_refused(&self) {
        self.quota_refusals.inc();
    }

    /// Counts granted quota tokens that expired unused.
    pub fn quota_tokens_expired(&self, count: u64) {
        self.quota_tokens_expired.inc_by(count);
    }

    fn register_shares(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "sharing_tenants",
            "Tenants that compete for the slots of the back end beside this node",
            self.sharing_tenants.clone(),
        );
        registry.register(
            "tenant_use_permille",
            "Parts of the contended slot time of those that took most lately, and of the rest",
            self.tenant_uses.clone(),
        );
        registry.register(
            "over_share",
            "Requests refused whose tenant was above its share, by reason",
            self.over_share.clone(),
        );
    }

    fn register_request_limits(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "request_limit_per_second",
            "Limit that the back end beside this node advertises; 0 if it advertises none",
            self.request_limit.clone(),
        );
        registry.register(
            "invalid_request_limits",
            "Responses of the back end with an invalid request limit",
            self.invalid_request_limits.clone(),
        );
    }

    /// Sets the request limit that the back end advertises.
    pub fn set_request_limit(&self, limit: Option<RequestRate>) {
        self.request_limit.set(limit.map_or(0.0, RequestRate::as_f64));
    }

    /// Counts a response with an invalid request limit.
    pub fn invalid_request_limit(&self) {
        self.invalid_request_limits.inc();
    }

    /// Counts one control message of `bytes` bytes on the wire.
    pub fn control(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let labels = ControlLabels { direction: direction.name(), kind };
        self.control_bytes.get_or_create(&labels).inc_by(bytes as u64);
        self.control_totals.of(direction).fetch_add(bytes as u64, Ordering::Relaxed);
        self.control_messages.get_or_create(&labels).inc();
    }

    /// Total control bytes of one direction so far.
    #[must_use]
    pub fn control_bytes(&self, direction: Direction) -> u64 {
        self.control_totals.of(direction).load(Ordering::Relaxed)
    }

    /// Sets the number of open control connections.
    pub fn set_control_connections(&self, count: usize) {
        self.control_connections.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a request that has its final response: `answered` with its status code, `rejected` or `unknown`
    /// with the reason.
    pub fn request(&self, outcome: &'static str, detail: RequestDetail) {
        self.requests.get_or_create(&RequestLabels { outcome, detail }).inc();
    }

    /// Records the time from a request's head to the end of its response.
    pub fn request_time(&self, seconds: f64) {
        self.request_seconds.observe(seconds);
    }

    /// Counts an exchange that was truncated after the head of its response.
    pub fn cut(&self, reason: &'static str) {
        self.cuts.get_or_create(&CutLabels { reason }).inc();
    }

    /// Counts an attempt sent by the outbound proxy.
    pub fn attempt(&self) {
        self.attempts.inc();
    }

    /// Records that an attempt took `ratio` times as long as expected, mainly because of `cause`.
    pub fn answer_expected(&self, cause: DelayCause, ratio: f64) {
        self.response_time_ratios.get_or_create(&CauseLabels { cause: cause.name() }).observe(ratio);
    }

    /// Counts a slowdown value reported by the back end.
    pub fn slowdown_word(&self, is_valid: bool) {
        let outcome = if is_valid { "taken" } else { "invalid" };
        self.reported_slowdowns.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts an announcement that arrived at this node.
    pub fn announcement(&self, outcome: AnnouncementOutcome) {
        self.announcements.get_or_create(&OutcomeLabels { outcome: outcome.name() }).inc();
    }

    /// Sets the newest version at `stage`.
    pub fn set_version(&self, stage: VersionStage, version: umberpond_model::Version) {
        let value = i64::try_from(version.0).unwrap_or(i64::MAX);
        self.versions.get_or_create(&StageLabels { stage: stage.name() }).set(value);
    }

    /// Sets the number of entries of the active configuration.
    pub fn set_configuration_entries(&self, count: usize) {
        self.configuration_entries.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets how many earlier versions deltas can start from, and how many names are kept for them.
    pub fn set_history(&self, versions: usize, names: usize) {
        self.history_versions.set(i64::try_from(versions).unwrap_or(i64::MAX));
        self.history_names.set(i64::try_from(names).unwrap_or(i64::MAX));
    }

    /// Sets whether the node holds `role`.
    pub fn set_role(&self, role: &'static str, held: bool) {
        self.roles.get_or_create(&RoleLabels { role }).set(i64::from(held));
    }

    /// Counts a request to the platform.
    pub fn platform_request(&self, operation: &'static str, outcome: &'static str) {
        self.platform_requests.get_or_create(&PlatformLabels { operation, outcome }).inc();
    }

    /// Sets the number of the store's history.
    pub fn set_store_era(&self, era: StoreEra) {
        self.store_era.set(i64::try_from(era.0).unwrap_or(i64::MAX));
    }

    /// Sets the number of endpoint records in use.
    pub fn set_endpoints(&self, count: usize) {
        self.endpoints.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of zones that operators have evacuated.
    pub fn set_evacuated_zones(&self, count: usize) {
        self.evacuated_zones.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets how many tenants compete for the slots, and the shares of the top tenants in thousandths, largest
    /// first.
    pub fn set_tenant_uses(&self, tenants: usize, greatest: &[u16]) {
        self.sharing_tenants.set(i64::try_from(tenants).unwrap_or(i64::MAX));
        let mut rest = if greatest.is_empty() { 0 } else { FULL_PERMILLE };
        for (index, place) in TENANT_RANK_LABELS.into_iter().enumerate() {
            let part = greatest.get(index).copied().map_or(0, i64::from);
            rest -= part;
            self.tenant_uses.get_or_create(&TenantLabels { place }).set(part);
        }
        self.tenant_uses.get_or_create(&TenantLabels { place: "rest" }).set(rest.max(0));
    }

    /// Counts a request refused because its tenant was over its share.
    pub fn over_share(&self, reason: &'static str) {
        self.over_share.get_or_create(&OverShareLabels { reason }).inc();
    }

    /// Sets whether the node is ready.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut page = String::new();
        // Writing to a `String` can't fail.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}
