//! The catalogue of events. A number is never used twice, nor for another event once it was published.
//!
//! Ranges: 1xxx program, 2xxx configuration and membership, 3xxx back ends, 4xxx requests, 5xxx store. Numbers of events
//! that are told no longer, never to be used again: 1014, 2001, 2002, 2004, 2010, 2013, 2014, 2015,
//! 2017, 2018, 2019, 3001, 3002, 3004, 3005, 4001, 4002, 4003,
//! 4004, 4006, 4007, 5001, 5002, 5005, 5006.

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
        = 1001, Info, "node-started", "The process has started; its listeners are about to open.";
    Listening { listener: &'static str, address: SocketAddr }
        = 1002, Info, "listening", "A listener is open.";
    BecameReady { version: Version }
        = 1003, Info, "became-ready", "A configuration is in force: callers may be sent here.";
    BecameUnready { reason: String }
        = 1004, Warn, "became-unready", "The node is not ready, for the reason given.";
    DrainStarted { timeout_millis: u64 }
        = 1010, Info, "drain-started", "A planned stop: new work is refused, what is in flight is finished.";
    DrainFinished { waited_millis: u64 }
        = 1011, Info, "drain-finished", "Nothing is in flight any more; the process leaves.";
    DrainTimedOut { cut: u64 }
        = 1012, Error, "drain-timed-out", "The drain timeout has passed; the requests still in flight are cut.";
    StoppedAtOnce { cut: u64 }
        = 1013, Warn, "stopped-at-once", "A second signal: the process leaves at once and cuts what is in flight.";
    AcceptFailed { listener: &'static str, reason: String }
        = 1015, Warn, "accept-failed", "A connection could not be accepted; the listener stays open.";
    OperatorRequestRefused { status: u16, reason: String }
        = 1016, Info, "operator-request-refused", "A request to the admin address was refused.";

    LinesSuppressed { kind: u16, count: u64 }
        = 1017, Warn, "lines-suppressed", "So many lines of one kind were left out, because there were too many of them.";
    MachineSuspended { suspended_millis: u64 }
        = 1018, Warn, "machine-suspended", "The machine was suspended for this time, which the steady clock has not counted: all that is known of others is older by that.";
    SettingsReloaded { service: ServiceName }
        = 1020, Info, "settings-reloaded", "The settings file has changed; what may change while the process runs was taken in.";
    SettingsRefused { reason: String }
        = 1021, Error, "settings-refused", "The settings file has changed and can't be used; nothing changes.";

    // Configuration and membership
    VersionActivated { version: Version, content: ContentHash, routes: u64, secrets: u64 }
        = 2003, Info, "version-activated", "The version is in force on this node.";
    ActivationFailed { version: Version, reason: String }
        = 2005, Error, "activation-failed", "The version could not be compiled; what was in force stays in force.";
    SecretNotOpened { secret: SecretName, reason: String }
        = 2006, Error, "secret-not-opened", "A secret could not be opened with the node's seal key; routes that need it are refused.";
    RoleGained { role: &'static str }
        = 2011, Info, "role-gained", "The node has taken a control role.";
    RoleLost { role: &'static str }
        = 2012, Info, "role-lost", "The node has given a control role up.";
    ControlMessageRefused { reason: String }
        = 2016, Warn, "control-message-refused", "A peer sent a frame that is no message of this protocol; the connection is closed and nothing changes.";
    SubmissionAccepted { bundle: BundleName, submission: SubmissionId, version: Version }
        = 2020, Info, "submission-accepted", "A bundle was accepted and became a version.";
    SubmissionRefused { bundle: BundleName, submission: SubmissionId, reason: String }
        = 2021, Info, "submission-refused", "A bundle was refused by the checker or lost against another submission; nothing changed.";
    SubmissionNotAccepted { bundle: BundleName, submission: SubmissionId, reason: String }
        = 2022, Warn, "submission-not-accepted", "The platform could not be reached in time; nothing changed.";
    SubmissionUnknown { bundle: BundleName, submission: SubmissionId }
        = 2023, Warn, "submission-unknown", "The answer of the platform was lost; the submission is resolved by its identifier.";

    DirectoryRead { nodes: u64 }
        = 2030, Info, "directory-read", "The node has written its entry to the store and read those of the others.";
    MembershipChanged { members: u64, reachable: u64, endpoints: u64 }
        = 2031, Info, "membership-changed", "A node came, left or went out of reach, or a back end changed its state.";
    DatagramRefused { sender: SocketAddr }
        = 2032, Warn, "datagram-refused", "A datagram is no heartbeat of this protocol; nothing changes.";
    ConfigurationFetchFailed { peer: SocketAddr, reason: String }
        = 2033, Warn, "configuration-fetch-failed", "A newer configuration could not be fetched from another node.";
    NeighbourSilent { node: NodeName, silent_millis: u64 }
        = 2034, Info, "neighbour-silent", "This node hears nothing of a neighbour and tells others; the time is that since it was heard last, or else since it became known.";
    NodeLeftOut { node: NodeName, accusers: u64, known_millis: u64 }
        = 2035, Warn, "node-left-out", "So many neighbours of a node find it silent that it gets no new work from here until it writes a later record.";
    LeavingOutRefuted { sequence: u64 }
        = 2036, Warn, "leaving-out-refuted", "Others have found this node silent; it runs, and has written a later record.";
    ZoneCutOff { zone: String, silent: u64 }
        = 2037, Warn, "zone-cut-off", "Nothing passes between this node and a zone: its nodes get no new work from here.";
    ZoneBack { zone: String }
        = 2038, Info, "zone-back", "Something passes between this node and the zone again.";
    ProcessStalled { stalled_millis: u64 }
        = 2039, Warn, "process-stalled", "This process did not run for a while; it judges nobody by what it did not hear meanwhile.";
    MembershipRepairAsked { bucket: u64, differs_millis: u64 }
        = 2040, Info, "membership-repair-asked", "What this node knows of some others differs from what another one knows; the records are asked for.";

    RolloutDecided { service: ServiceName, target: String, stage: &'static str, permille: u16, reason: &'static str, elapsed_millis: u32, answers: u32, bad: u32, target_millis: u64, others_millis: u64 }
        = 2050, Info, "rollout-decided", "This node, as a coordinator, has decided on the next step of a rollout: the share of the target, the reason, the answers of the target seen so far, those that failed lately, and, if the target is too slow, the mean times.";
    RolloutPlanInForce { service: ServiceName, target: String, stage: &'static str, permille: u16, elapsed_millis: u32 }
        = 2051, Info, "rollout-plan-in-force", "From now on this node sends so many thousandths of a service's requests to back ends of the target.";
    RolloutStateWritten { service: ServiceName, target: String, state: &'static str, revision: u64, outcome: &'static str }
        = 2052, Info, "rollout-state-written", "The state of a rollout was written to the store under the condition that its revision is the one told, or was not, by the outcome.";
    RolloutsUnread { reason: String }
        = 2053, Warn, "rollouts-unread", "The orders of rollouts could not be read; those known go on.";
    QuarantineUnread { reason: String }
        = 2054, Warn, "quarantine-unread", "The requests that are refused because they end back ends could not be read from the store; what other nodes tell holds.";
    QuarantineWritten { fingerprint: String, change: &'static str }
        = 2055, Info, "quarantine-written", "The store holds a request that is refused because it ends back ends (`added`), or no longer does (`removed`).";
    EvacuationInForce { zones: String, revision: u64 }
        = 2056, Warn, "evacuation-in-force", "From now on the back ends of these zones get nothing new from this node, and those of all other zones do; no zone is named when none is evacuated. `revision` is that of the store when it was read.";
    EvacuationsUnread { reason: String }
        = 2057, Warn, "evacuations-unread", "The orders to evacuate zones could not be read; those known stay in force.";

    // Back ends
    BackEndUnhealthy { reason: String }
        = 3003, Warn, "back-end-unhealthy", "The back end failed its health check.";
    BackEndStateChanged { instance: String, service: String, state: &'static str, reason: &'static str, sequence: u64 }
        = 3010, Info, "back-end-state-changed", "The back end beside this node takes new work, takes none, or has to be asked first; `sequence` counts its announcements, 0 if none was made to this process.";
    AnnouncementRefused { reason: String }
        = 3011, Warn, "announcement-refused", "What a back end says of itself can't be understood; nothing changes.";
    BackEndCrashed { instance: String, service: ServiceName, found: &'static str, requests: u64, fingerprints: String }
        = 3012, Warn, "back-end-crashed", "The back end has ended without having said that it leaves: it refuses connections, or another life of it is there (`replaced`). `fingerprints` are those of the requests that ran there.";

    // Requests
    DuplicateRefused { request: String }
        = 4005, Info, "duplicate-refused", "A request that was admitted before arrived again and was refused.";

    RequestServed { request: String, route: RouteName, service: ServiceName, node: NodeName, status: u16, attempts: u32, version: Version, total_millis: u64, waited_millis: u64, served_millis: u64 }
        = 4020, Info, "request-served", "A back end's answer was passed on; one of many is logged.";
    RequestGivenUp { request: String, route: RouteName, service: ServiceName, outcome: &'static str, reason: &'static str, attempts: u32, version: Version, total_millis: u64, allowed_millis: u64 }
        = 4021, Info, "request-given-up", "The caller was told that its request did not run, or may have run, for the reason given.";
    RequestTurnedAway { request: String, reason: &'static str }
        = 4022, Info, "request-turned-away", "A request was answered without an attempt: there is no configuration, or no route takes it.";
    RequestSentAgain { request: String, service: ServiceName, after: NodeName, reason: &'static str, attempts: u32 }
        = 4023, Info, "request-sent-again", "An attempt ended without a usable answer, and another one follows.";
    AdmissionRefused { request: String, service: ServiceName, reason: &'static str, running: u32, waiting: u32, slots: u32, patience_millis: u64 }
        = 4024, Info, "admission-refused", "The node beside the back end refused a request; it has not run.";
    ExchangeLost { request: String, fingerprint: String, instance: String, reason: &'static str, elapsed_millis: u64 }
        = 4025, Info, "exchange-lost", "A request was handed to the back end and no sound answer came back. `fingerprint` is the same each time the same is asked.";
    RetryWithheld { request: String, service: ServiceName, attempts: u32, origin: &'static str, stake: &'static str, saved: u64, most_saved: u64 }
        = 4026, Info, "retry-withheld", "The retry budget of the service is spent at this node, or the rest of it kept for repeats with more at stake: the request is not sent again. `origin` tells whether a caller has made it, or a first or repeated run at the back end beside this node. `stake` tells what is lost by it: a run that lacks this call alone, or several calls, or a request of a caller; `none` for a call of a run that has lost another call, and for the first arrival of a call of a repeated run. `saved` of `most_saved` repeats are saved at this node.";
    RetriesCounted { service: ServiceName, requests: u64, repeats: u64, repeated_calls: u64, withheld: u64, left: u64, nodes: u64, period_millis: u64 }
        = 4027, Info, "retries-counted", "What this node has counted of a service in the period, if any of it was a repeat: requests, requests sent to another back end after they had reached one, calls of runs that were repeats, repeats that the budget did not allow, repeats that it allows now, and the nodes that share it, 0 while that is not known.";
    RequestSuspected { fingerprint: String, crashes: u64, source: &'static str }
        = 4028, Info, "request-suspected", "Whatever has this fingerprint ran at so many ends of back ends and was not answered since: it runs beside no other one under suspicion, and is refused for some seconds after the last end before it counts as certain. `source` tells whether that was found at the back end beside this node, or comes from another node or the store.";
    RequestCleared { fingerprint: String, source: &'static str }
        = 4029, Info, "request-cleared", "A back end has answered what has this fingerprint, which was under suspicion until now.";
    RequestQuarantined { fingerprint: String, crashes: u64, source: &'static str }
        = 4030, Warn, "request-quarantined", "Whatever has this fingerprint has ended so many back ends and was never answered: it is refused from now on.";
    RequestOverQuota { request: String, tenant: String }
        = 4031, Info, "request-over-quota", "The tenant has sent as many requests as it may, over all nodes together: this one was answered without an attempt.";
    RunWithheld { request: String, service: ServiceName, called: ServiceName, failing_percent: u64, come_back_millis: u64 }
        = 4032, Info, "run-withheld", "The node beside the back end refused a request before it ran: by the calls that its runs have made lately, such runs fail in the share given, most of them for want of an answer of `called`.";
    ComeBackTold { request: String, service: ServiceName, reason: &'static str, after_millis: u64, objective_left_millis: u64, service_millis: u64 }
        = 4033, Info, "come-back-told", "The back ends that were tried turned a request away, and its caller is told to send it again after this time. `objective_left_millis` counts from the caller's first try as far as it is known; `service_millis` is what a back end is expected to take.";
    RequestOverShare { request: String, tenant: String, reason: &'static str, use_permille: u16, share_permille: u16, ahead_millis: u64 }
        = 4035, Info, "request-over-share", "The node beside the back end refused a request whose tenant had taken more of the slots than an equal part while others waited; it has not run. `reason=displaced`: it waited, and a request of another tenant needed its place. `ahead_millis` is the slot time by which the tenant is ahead.";
    SlotsShared { tenants: u64, share_permille: u16, greatest: String }
        = 4036, Info, "slots-shared", "Tenants compete for the slots of the back end beside this node. `greatest` names those that took most of late, with their parts in thousandths.";
    SlowBackEndAvoided { request: String, service: ServiceName, slowdown_percent: u32, usual_millis: u64, expected_millis: u64, left_millis: u64 }
        = 4037, Info, "slow-back-end-avoided", "The node beside the back end refused a request, which has not run: work takes so many hundredths of the usual time there, the answer was expected in `expected_millis`, and its objective ends in `left_millis`. Another back end may still answer in time.";
    QuotaRefusalsCounted { tenant: String, refused: u64, next_token_millis: u64, period_millis: u64 }
        = 4039, Info, "quota-refusals-counted", "Requests of the tenant that this node has refused over its quota in the period. `next_token_millis` is the time after which it asks for tokens again, 0 if requests that come are asked for at once.";

    // Store
    PlatformUnavailable { operation: &'static str, reason: String }
        = 5003, Warn, "platform-unavailable", "The platform did not answer; the node goes on with what it has and tries again with backoff.";
    PlatformAvailable {}
        = 5004, Info, "platform-available", "The platform answers again.";
    ObjectUnreadable { object: String, reason: String }
        = 5007, Error, "object-unreadable", "An object on the platform can't be understood; nothing is changed by it.";
    ObjectsCollected { deleted: u64 }
        = 5008, Info, "objects-collected", "Objects of versions that are no longer kept were deleted from the platform.";
    WatchLost { position: u64 }
        = 5009, Info, "watch-lost", "The store no longer tells changes from this place on; the whole is read instead.";
}
