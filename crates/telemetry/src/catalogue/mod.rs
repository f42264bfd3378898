//! The event catalogue. Event numbers are unique, and a published number is never reused for another event.
//!
//! Ranges: 1xxx program, 2xxx configuration and membership, 3xxx back ends, 4xxx requests, 5xxx store.
//! Numbers of retired events, never to be reused: 1014, 2001, 2002, 2004, 2010, 2013, 2014, 2015, 2017, 2018,
//! 2019, 3001, 3002, 3004, 3005, 4001, 4002, 4003, 4004, 4006, 4007, 5001, 5002, 5005, 5006.

#[macro_use]
mod declare;

use std::net::SocketAddr;

use umberpond_model::{
    BundleName, ContentHash, Incarnation, NodeName, RouteName, SecretName, ServiceName, SubmissionId, Version,
};

use crate::{CatalogueEntry, Field, FieldValue, Severity};

catalogue! {
    // Program
    NodeStarted { node: NodeName, incarnation: Incarnation, program_version: &'static str }
        = 1001, Info, "node-started", "The process has started and is about to open its listeners.";
    Listening { listener: &'static str, address: SocketAddr }
        = 1002, Info, "listening", "A listener is open.";
    BecameReady { version: Version }
        = 1003, Info, "became-ready", "A configuration is active; callers may send requests to this node.";
    BecameUnready { reason: String }
        = 1004, Warn, "became-unready", "The node is not ready, for the given reason.";
    DrainStarted { timeout_millis: u64 }
        = 1010, Info, "drain-started", "A graceful shutdown has begun: new requests are refused, requests in flight are finished.";
    DrainFinished { waited_millis: u64 }
        = 1011, Info, "drain-finished", "No request is in flight any more; the process exits.";
    DrainTimedOut { cut: u64 }
        = 1012, Error, "drain-timed-out", "The drain timeout has expired; the requests still in flight are aborted.";
    StoppedAtOnce { cut: u64 }
        = 1013, Warn, "stopped-at-once", "A second signal arrived: the process exits immediately and aborts the requests in flight.";
    AcceptFailed { listener: &'static str, reason: String }
        = 1015, Warn, "accept-failed", "A connection could not be accepted; the listener stays open.";
    OperatorRequestRefused { status: u16, reason: String }
        = 1016, Info, "operator-request-refused", "A request to the admin API was refused.";

    LinesSuppressed { kind: u16, count: u64 }
        = 1017, Warn, "lines-suppressed", "The rate limit of one kind of event suppressed this number of log lines.";
    MachineSuspended { suspended_millis: u64 }
        = 1018, Warn, "machine-suspended", "The machine was suspended for this time, which the monotonic clock does not count; the state known of other nodes is older by that time.";
    SettingsReloaded { service: ServiceName }
        = 1020, Info, "settings-reloaded", "The settings file has changed; the settings that can change at run time were applied.";
    SettingsRefused { reason: String }
        = 1021, Error, "settings-refused", "The settings file has changed but is invalid; the previous settings stay in effect.";

    // Configuration and membership
    VersionActivated { version: Version, content: ContentHash, routes: u64, secrets: u64 }
        = 2003, Info, "version-activated", "The version is active on this node.";
    ActivationFailed { version: Version, reason: String }
        = 2005, Error, "activation-failed", "The version could not be compiled; the active version stays active.";
    SecretNotOpened { secret: SecretName, reason: String }
        = 2006, Error, "secret-not-opened", "A secret could not be decrypted with the node's seal key; requests to routes that need it are refused.";
    RoleGained { role: &'static str }
        = 2011, Info, "role-gained", "The node has acquired a control role.";
    RoleLost { role: &'static str }
        = 2012, Info, "role-lost", "The node has given up a control role.";
    ControlMessageRefused { reason: String }
        = 2016, Warn, "control-message-refused", "A peer sent a frame that is no message of this protocol; the connection is closed and no state changes.";
    SubmissionAccepted { bundle: BundleName, submission: SubmissionId, version: Version }
        = 2020, Info, "submission-accepted", "A bundle was accepted and became a version.";
    SubmissionRefused { bundle: BundleName, submission: SubmissionId, reason: String }
        = 2021, Info, "submission-refused", "A bundle failed validation or conflicted with another submission; the configuration is unchanged.";
    SubmissionNotAccepted { bundle: BundleName, submission: SubmissionId, reason: String }
        = 2022, Warn, "submission-not-accepted", "The platform could not be reached in time; the configuration is unchanged.";
    SubmissionUnknown { bundle: BundleName, submission: SubmissionId }
        = 2023, Warn, "submission-unknown", "The response of the platform was lost; the outcome is resolved by the submission's identifier.";

    DirectoryRead { nodes: u64 }
        = 2030, Info, "directory-read", "The node has written its entry to the store and read the entries of other nodes.";
    MembershipChanged { members: u64, reachable: u64, endpoints: u64 }
        = 2031, Info, "membership-changed", "A node joined, left or became unreachable, or a back end changed its state.";
    DatagramRefused { sender: SocketAddr }
        = 2032, Warn, "datagram-refused", "A datagram is no heartbeat of this protocol and was ignored.";
    ConfigurationFetchFailed { peer: SocketAddr, reason: String }
        = 2033, Warn, "configuration-fetch-failed", "A newer configuration could not be fetched from another node.";
    NeighbourSilent { node: NodeName, silent_millis: u64 }
        = 2034, Info, "neighbour-silent", "This node receives no heartbeats from a neighbour and reports that to other nodes; the time counts from the last heartbeat, or from when the neighbour became known.";
    NodeLeftOut { node: NodeName, accusers: u64, known_millis: u64 }
        = 2035, Warn, "node-left-out", "Enough neighbours of a node report it silent: this node sends it no new requests until it publishes a later record.";
    LeavingOutRefuted { sequence: u64 }
        = 2036, Warn, "leaving-out-refuted", "Other nodes reported this node silent; it is running and has published a later record.";
    ZoneCutOff { zone: String, silent: u64 }
        = 2037, Warn, "zone-cut-off", "This node exchanges no messages with a zone: it sends no new requests to the zone's nodes.";
    ZoneBack { zone: String }
        = 2038, Info, "zone-back", "This node exchanges messages with the zone again.";
    ProcessStalled { stalled_millis: u64 }
        = 2039, Warn, "process-stalled", "This process did not run for a while; heartbeats missed in that time don't count against other nodes.";
    MembershipRepairAsked { bucket: u64, differs_millis: u64 }
        = 2040, Info, "membership-repair-asked", "This node's records of some nodes differ from those of a peer; the records are requested.";

    RolloutDecided { service: ServiceName, target: String, stage: &'static str, permille: u16, reason: &'static str, elapsed_millis: u32, answers: u32, bad: u32, target_millis: u64, others_millis: u64 }
        = 2050, Info, "rollout-decided", "This node, as a coordinator, has decided on the next step of a rollout: the share of the target, the reason, the responses of the target so far, those that failed recently, and, if the target is too slow, the mean times.";
    RolloutPlanInForce { service: ServiceName, target: String, stage: &'static str, permille: u16, elapsed_millis: u32 }
        = 2051, Info, "rollout-plan-in-force", "From now on this node sends this share, in thousandths, of a service's requests to back ends of the target.";
    RolloutStateWritten { service: ServiceName, target: String, state: &'static str, revision: u64, outcome: &'static str }
        = 2052, Info, "rollout-state-written", "The state of a rollout was written to the store on the condition that its revision is the given one, or the write failed; see the outcome.";
    RolloutsUnread { reason: String }
        = 2053, Warn, "rollouts-unread", "The rollout orders could not be read; the known ones stay in effect.";
    QuarantineUnread { reason: String }
        = 2054, Warn, "quarantine-unread", "The quarantined requests, which are refused because they crash back ends, could not be read from the store; the findings of other nodes stay in effect.";
    QuarantineWritten { fingerprint: String, change: &'static str }
        = 2055, Info, "quarantine-written", "The store now holds a request that is refused because it crashes back ends (`added`), or no longer holds it (`removed`).";
    EvacuationInForce { zones: String, revision: u64 }
        = 2056, Warn, "evacuation-in-force", "From now on this node sends no new requests to the back ends of these zones, and does to those of all other zones; `zones` is empty when no zone is evacuated. `revision` is that of the store when it was read.";
    EvacuationsUnread { reason: String }
        = 2057, Warn, "evacuations-unread", "The orders to evacuate zones could not be read; the known ones stay in effect.";
    DirectoryEntryRewritten { era: u64 }
        = 2058, Info, "directory-entry-rewritten", "The node has written its entry to the store again, which was restored from a copy.";

    // Back ends
    BackEndUnhealthy { reason: String }
        = 3003, Warn, "back-end-unhealthy", "The back end failed its health check.";
    BackEndStateChanged { instance: String, service: String, state: &'static str, reason: &'static str, sequence: u64 }
        = 3010, Info, "back-end-state-changed", "The back end beside this node takes new requests, takes none, or has to be probed first; `sequence` counts its announcements, 0 if it made none to this process.";
    AnnouncementRefused { announced: String, reason: String }
        = 3011, Warn, "announcement-refused", "An announcement is invalid, or of another back end than the settings place beside this node; it was ignored. Logged once for each sender and reason.";
    BackEndCrashed { instance: String, service: ServiceName, found: &'static str, requests: u64, fingerprints: String }
        = 3012, Warn, "back-end-crashed", "The back end has terminated without announcing it: it refuses connections, or another process has taken its place (`replaced`). `fingerprints` are those of the requests that ran there.";
    RequestLimitChanged { instance: String, service: ServiceName, limit: String, before: String, source: &'static str, request: String }
        = 3013, Info, "request-limit-changed", "The back end advertises another limit on the requests of all nodes together, or none any more. `source` is where this node learned it: at the back end beside it (`response`, `health-check`), in the response to a caller of this node (`forwarded`), or from a caller's node that remembers it (`other-node`).";
    BackEndLeaving { instance: String, service: ServiceName, source: &'static str, request: String }
        = 3014, Info, "back-end-leaving", "A response of the back end says that it is about to shut down: this node sends it no new requests. `source` is as in 3013.";

    AnnouncementIgnored { announced: String, sequence: u64, current: String, reason: &'static str }
        = 3015, Info, "announcement-ignored", "A valid announcement has no effect, since other reports outrank it; `current` is the process that counts as the current one. Logged again only when one of these changes, `sequence` excepted.";
    DepartureNotDurable { waited_millis: u64, missing: &'static str }
        = 3016, Warn, "departure-not-durable", "The back end leaves, and this node has acknowledged that before the `missing` ones confirmed that they hold it: `nodes`, `store` or `both`. If this process, or all of them, end now, the next ones may not learn it.";

    // Requests
    DuplicateRefused { request: String }
        = 4005, Info, "duplicate-refused", "A request that had been admitted before arrived again and was refused.";

    RequestServed { request: String, route: RouteName, service: ServiceName, node: NodeName, status: u16, attempts: u32, version: Version, total_millis: u64, waited_millis: u64, served_millis: u64 }
        = 4020, Info, "request-served", "A back end's response was forwarded; only a sample of these events is logged.";
    RequestGivenUp { request: String, route: RouteName, service: ServiceName, outcome: &'static str, reason: &'static str, attempts: u32, version: Version, total_millis: u64, allowed_millis: u64 }
        = 4021, Info, "request-given-up", "The caller received the response that its request did not run, or may have run, for the given reason.";
    RequestTurnedAway { request: String, reason: &'static str }
        = 4022, Info, "request-turned-away", "A request was refused without an attempt: there is no configuration, or no route matches.";
    RequestSentAgain { request: String, service: ServiceName, after: NodeName, reason: &'static str, attempts: u32 }
        = 4023, Info, "request-sent-again", "An attempt ended without a usable response, and another one follows.";
    AdmissionRefused { request: String, service: ServiceName, reason: &'static str, running: u32, waiting: u32, slots: u32, patience_millis: u64, request_limit: String, limit_wait_millis: u64 }
        = 4024, Info, "admission-refused", "The node beside the back end refused a request; it has not run. `request_limit` is the limit that the back end advertises, if any, and `limit_wait_millis` the time until it lets a further request start.";
    ExchangeLost { request: String, fingerprint: String, instance: String, reason: &'static str, elapsed_millis: u64 }
        = 4025, Info, "exchange-lost", "A request was handed to the back end and no valid response came back. `fingerprint` is the same for identical requests.";
    RetryWithheld { request: String, service: ServiceName, attempts: u32, origin: &'static str, stake: &'static str, saved: u64, most_saved: u64 }
        = 4026, Info, "retry-withheld", "The retry budget of the service is used up at this node, or the rest of it is reserved for retries of a higher priority: the request is not retried. `origin` is the initiator of the request: a caller, or a first or retried run at the back end beside this node. `stake` is what fails without the retry: a run that lacks only this call, or several calls, or a request of a caller; `none` for a call of a run that has lost another call, and for the first arrival of a call of a retried run. `saved` is the number of retries saved at this node, at most `most_saved`.";
    RetriesCounted { service: ServiceName, requests: u64, repeats: u64, repeated_calls: u64, withheld: u64, left: u64, nodes: u64, period_millis: u64 }
        = 4027, Info, "retries-counted", "This node's counts for a service in the period, if there were any retries: requests, requests sent to another back end after they had reached one, retried calls of runs, retries that the budget did not permit, retries that it permits now, and the nodes that share it, 0 while that is unknown.";
    RequestSuspected { fingerprint: String, crashes: u64, source: &'static str }
        = 4028, Info, "request-suspected", "Requests with this fingerprint ran at this number of back-end crashes and have had no response since: they run beside no other suspected request, and are refused for some seconds after the last crash before the suspicion counts as confirmed. `source` is where that was found: at the back end beside this node, at another node or in the store.";
    RequestCleared { fingerprint: String, source: &'static str }
        = 4029, Info, "request-cleared", "A back end has responded to a request with this fingerprint, which is no longer suspected.";
    RequestQuarantined { fingerprint: String, crashes: u64, source: &'static str }
        = 4030, Warn, "request-quarantined", "Requests with this fingerprint have crashed this number of back ends and never had a response: they are refused from now on.";
    RequestOverQuota { request: String, tenant: String }
        = 4031, Info, "request-over-quota", "The tenant has used up its quota, which counts over all nodes: this request was refused without an attempt.";
    RunWithheld { request: String, service: ServiceName, called: ServiceName, failing_percent: u64, come_back_millis: u64 }
        = 4032, Info, "run-withheld", "The node beside the back end refused a request before it ran: judging by the recent calls of its runs, such runs fail with the given probability, mostly for lack of a response of `called`.";
    ComeBackTold { request: String, service: ServiceName, reason: &'static str, after_millis: u64, objective_left_millis: u64, service_millis: u64 }
        = 4033, Info, "come-back-told", "The back ends that were tried refused a request, and the response asks its caller to retry after this time. `objective_left_millis` counts from the caller's first try as far as it is known; `service_millis` is the expected service time of a back end.";
    RequestOverShare { request: String, tenant: String, reason: &'static str, use_permille: u16, share_permille: u16, ahead_millis: u64 }
        = 4035, Info, "request-over-share", "The node beside the back end refused a request whose tenant had used more than an equal share of the slots while others waited; it has not run. `reason=displaced`: it was queued, and a request of another tenant needed its place. `ahead_millis` is the slot time by which the tenant is ahead.";
    SlotsShared { tenants: u64, share_permille: u16, greatest: String }
        = 4036, Info, "slots-shared", "Tenants compete for the slots of the back end beside this node. `greatest` names the tenants that used most recently, with their shares in thousandths.";
    SlowBackEndAvoided { request: String, service: ServiceName, slowdown_percent: u32, usual_millis: u64, expected_millis: u64, left_millis: u64 }
        = 4037, Info, "slow-back-end-avoided", "The node beside the back end refused a request, which has not run: requests take `slowdown_percent` percent of the usual time there, the response was expected in `expected_millis`, and its objective ends in `left_millis`. Another back end may still respond in time.";
    QuotaRefusalsCounted { tenant: String, refused: u64, next_token_millis: u64, period_millis: u64 }
        = 4039, Info, "quota-refusals-counted", "Requests of the tenant that this node has refused over its quota in the period. `next_token_millis` is the time after which it requests tokens again, 0 if it requests them for each arriving request.";
    TrialClaimed { fingerprint: String, trial: u64, outcome: &'static str }
        = 4040, Info, "trial-claimed", "This node has asked the store for the next trial run of a quarantined request. `claimed`: it may send the request once, as the trial run with this number over all nodes; `not-due`: another trial run was claimed a short time ago; `exhausted`: no trial runs are left; `failed`: the store did not confirm the claim.";
    TrialStarted { request: String, fingerprint: String, trial: u64, node: NodeName }
        = 4041, Info, "trial-started", "A quarantined request is sent as a trial run, to the back end beside this node. A response clears it (4029); a crash confirms the quarantine (3012, 4030).";
    LateRequestWithheld { request: String, service: ServiceName, expected_millis: u64, left_millis: u64 }
        = 4042, Info, "late-request-withheld", "This node is shutting down, and requests have to end within `left_millis`, too soon for a response that is expected in `expected_millis`. The request was not sent on: on its caller's node 4021 with `reason=stopping` follows, on the node beside the back end 4024, and another back end may take it.";

    // Store
    PlatformUnavailable { operation: &'static str, reason: String }
        = 5003, Warn, "platform-unavailable", "The platform did not respond; the node continues with the state it has and retries with backoff.";
    PlatformAvailable {}
        = 5004, Info, "platform-available", "The platform responds again.";
    ObjectUnreadable { object: String, reason: String }
        = 5007, Error, "object-unreadable", "An object on the platform is invalid and was ignored.";
    ObjectsCollected { deleted: u64 }
        = 5008, Info, "objects-collected", "Objects of versions that are no longer kept were deleted from the platform.";
    WatchLost { position: u64 }
        = 5009, Info, "watch-lost", "The store no longer has the changes after this position; the full state is read instead.";
    StoreEraChanged { era: u64, before: u64 }
        = 5010, Warn, "store-era-changed", "The store was restored from a copy: what was written to it after the copy is lost, and revisions are given out again. What this system keeps there is read and written again.";
}
