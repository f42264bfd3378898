//! Progress of versions below this node, and in all zones at readers.

use std::collections::BTreeMap;
use std::sync::Arc;

use umberpond_model::{Locality, Millis, Timestamp, Version};

use super::OverlayNode;
use super::state::{Child, Peer, TransferState};
use crate::interface::ConnectionId;
use crate::{LagReason, Laggard, PeerMessage, ReaderSummary, Report, Role};

/// A child that is behind the commit index for this long lags.
const LAG_AFTER: Millis = Millis(2_000);

/// What was reported and what has changed since.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) report_due: bool,
    next_report: Timestamp,
    reported: Option<Report>,
    /// When the newest version arrived here.
    pub(super) newest_since: Option<Timestamp>,
}

impl OverlayNode {
    /// Reports to the parent, or to the other readers.
    pub(super) fn report(&mut self) {
        if self.is_reader() {
            self.share_summary();
            return;
        }
        let Some(attached) = &self.parent.attached else {
            self.progress.reported = None;
            return;
        };
        let connection = attached.connection;
        if !self.progress.report_due || self.now < self.progress.next_report {
            return;
        }
        self.progress.report_due = false;
        self.progress.next_report = self.now + self.config.timing.report_interval;
        let report = self.current_report();
        if self.progress.reported.as_ref() != Some(&report) {
            self.progress.reported = Some(report.clone());
            self.send(connection, PeerMessage::Report(Arc::new(report)));
        }
    }

    fn share_summary(&mut self) {
        let interval = self.config.timing.summary_interval;
        let now = self.now;
        let far_interval = self.config.timing.far_summary_interval;
        let Some(reader) = &mut self.reader else { return };
        let is_news = self.progress.report_due || reader.far_summary_due;
        if now < reader.next_summary || !is_news {
            return;
        }
        reader.next_summary = now + interval;
        self.progress.report_due = false;
        let report = self.current_report();
        let is_changed = self.progress.reported.as_ref() != Some(&report);
        self.progress.reported = Some(report.clone());
        let Some(reader) = &mut self.reader else { return };
        reader.far_summary_due |= is_changed;
        let is_far_time = reader.far_summary_due && now >= reader.next_far_summary;
        if is_far_time {
            reader.far_summary_due = false;
            reader.next_far_summary = now + far_interval;
        }
        let locality = self.own.record().locality.clone();
        let is_told = |peer: &Peer| {
            let is_near = peer.locality == locality;
            peer.role == Role::Reader && if is_near { is_changed } else { is_far_time }
        };
        let told = self.peers.iter().filter(|(_, peer)| is_told(peer));
        let readers: Vec<ConnectionId> = told.map(|(connection, _)| *connection).collect();
        let message = PeerMessage::Summary(Arc::new(ReaderSummary { locality, report: Arc::new(report) }));
        for connection in readers {
            self.send(connection, message.clone());
        }
    }

    pub(super) fn on_summary(&mut self, connection: ConnectionId, summary: &ReaderSummary) {
        let Some(peer) = self.peers.get(&connection) else { return };
        let key = (summary.locality.clone(), peer.node.clone());
        if let Some(reader) = &mut self.reader {
            reader.summaries.insert(key, Arc::clone(&summary.report));
        }
    }

    /// Progress of this node and all below it.
    fn current_report(&mut self) -> Report {
        self.note_lagging_children();
        let mut report = Report::default();
        report.add_node(self.chain.held_version(), self.chain.store().active());
        for (connection, child) in &self.children {
            match &child.report {
                Some(below) => report.add(below),
                None => report.add_node(None, None),
            }
            if let Some(laggard) = self.laggard(*connection, child) {
                report.laggards.push(laggard);
            }
        }
        let limits = &self.config.limits;
        report.shorten(limits.max_report_versions, limits.max_laggards);
        report
    }

    fn note_lagging_children(&mut self) {
        let committed = self.chain.store().committed();
        let now = self.now;
        for child in self.children.values_mut() {
            let (_, active) = child.own_progress();
            if active.is_some_and(|active| active >= committed) || committed == Version::GENESIS {
                child.behind_since = None;
            } else if child.behind_since.is_none() {
                child.behind_since = Some(now);
            }
        }
    }

    fn laggard(&self, connection: ConnectionId, child: &Child) -> Option<Laggard> {
        let since = child.behind_since?;
        if self.now.since(since) < LAG_AFTER {
            return None;
        }
        let (held, active) = child.own_progress();
        let committed = self.chain.store().committed();
        let reason = if child.transfer != TransferState::Idle {
            LagReason::AwaitsTransfer
        } else if !self.window_is_open(connection) {
            LagReason::Slow
        } else if held >= Some(committed) {
            LagReason::NoFloorProof
        } else {
            LagReason::AwaitsCommit
        };
        Some(Laggard { node: child.node.clone(), held, active, reason })
    }

    /// Progress of one zone, at a reader.
    pub(super) fn zone_report(&self, locality: &Locality) -> Report {
        self.zone_reports().remove(locality).unwrap_or_default()
    }

    /// Progress of each zone, at a reader.
    pub(super) fn zone_reports(&self) -> BTreeMap<Locality, Report> {
        let mut zones: BTreeMap<Locality, Report> = BTreeMap::new();
        let Some(reader) = &self.reader else { return zones };
        for ((locality, node), report) in &reader.summaries {
            if self.has_peer(node) {
                zones.entry(locality.clone()).or_default().add(report);
            }
        }
        let own = zones.entry(self.own.record().locality.clone()).or_default();
        own.add_node(self.chain.held_version(), self.chain.store().active());
        for child in self.children.values() {
            match &child.report {
                Some(report) => own.add(report),
                None => own.add_node(None, None),
            }
        }
        zones
    }

    /// When a report is next due.
    pub(super) fn next_report_work(&self) -> Option<Timestamp> {
        let Some(reader) = &self.reader else {
            let is_due = self.progress.report_due && self.parent.attached.is_some();
            return is_due.then_some(self.progress.next_report);
        };
        let near = self.progress.report_due.then_some(reader.next_summary);
        let far = reader.far_summary_due.then(|| reader.next_far_summary.max(reader.next_summary));
        near.into_iter().chain(far).min()
    }
}

impl Child {
    /// Lowest version held and in force below this child; its own, if it has no children.
    fn own_progress(&self) -> (Option<Version>, Option<Version>) {
        let Some(report) = &self.report else { return (None, None) };
        let held = report.versions.iter().filter(|count| count.held > 0).map(|count| count.version).min();
        let active = report.versions.iter().filter(|count| count.active > 0).map(|count| count.version).min();
        (held, active)
    }
}
