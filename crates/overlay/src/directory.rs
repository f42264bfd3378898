//! Members and endpoint records known to a node, and the ranks of the members.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_endpoints::{EndpointTable, MergeOutcome};
use umberpond_model::{
    EndpointRecord, EndpointStatus, Locality, Member, NodeName, RecordOrder, ServiceName, Timestamp,
};

use crate::interface::Machine;
use crate::plan::{ZonePlan, rank};
use crate::{Interest, Limits};

/// Order of a member: those that drain come last, so that roles move away before they leave.
type RankKey = (bool, u64, NodeName);

/// What a node knows of other nodes.
#[derive(Debug)]
pub(crate) struct Directory {
    locality: Locality,
    table: EndpointTable,
    /// Live members by zone in the order of their ranks; kept only where ranks are needed.
    ranks: Option<BTreeMap<Locality, BTreeSet<RankKey>>>,
    /// Suspected members, likewise; they take no role, but readers go on trying to reach them.
    suspected: BTreeMap<Locality, BTreeSet<RankKey>>,
    /// Members named by the machine list or by a parent, without a record here.
    hints: BTreeMap<NodeName, Member>,
    /// Nodes that the machine list shows as leaving.
    leaving: BTreeSet<NodeName>,
}

impl Directory {
    /// A directory of a node in `locality`; it ranks members until told otherwise.
    pub(crate) fn new(locality: Locality) -> Self {
        Self {
            locality,
            table: EndpointTable::new(),
            ranks: Some(BTreeMap::new()),
            suspected: BTreeMap::new(),
            hints: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    pub(crate) const fn table(&self) -> &EndpointTable {
        &self.table
    }

    /// Removes long-gone records.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.table.expire(now);
    }

    /// Takes a record in; says what became of it and whether the ranks have changed.
    pub(crate) fn merge(&mut self, now: Timestamp, record: &EndpointRecord) -> Merge {
        let before = self.table.get(&record.node).cloned();
        let outcome = self.table.merge(now, record.clone());
        if !outcome.is_change() {
            return Merge { outcome, ranks_changed: false };
        }
        self.hints.remove(&record.node);
        let ranks_changed = self.update_rank(before.as_ref(), record);
        Merge { outcome, ranks_changed }
    }

    /// Starts or stops ranking members.
    pub(crate) fn set_ranking(&mut self, wanted: bool) {
        if !wanted {
            self.ranks = None;
            self.suspected.clear();
        } else if self.ranks.is_none() {
            self.ranks = Some(BTreeMap::new());
            let records: Vec<EndpointRecord> = self.table.records().cloned().collect();
            for record in &records {
                self.update_rank(None, record);
            }
        }
    }

    /// Notes a member that is known by name and address only.
    pub(crate) fn hint(&mut self, member: &Member) {
        if self.table.get(&member.node).is_none() {
            self.hints.insert(member.node.clone(), member.clone());
        }
    }

    /// Takes the platform's machine list in. It lags, so it only adds nodes to try.
    pub(crate) fn on_machines(&mut self, machines: &[Machine]) {
        self.leaving = machines
            .iter()
            .filter(|machine| machine.leaving)
            .map(|machine| machine.member.node.clone())
            .collect();
        for machine in machines.iter().filter(|machine| !machine.leaving) {
            self.hint(&machine.member);
        }
    }

    /// The member called `node`, from its record or from a hint.
    pub(crate) fn member(&self, node: &NodeName) -> Option<Member> {
        let from_record = self.table.get(node).map(member_of);
        from_record.or_else(|| self.hints.get(node).cloned())
    }

    /// Live members of the own zone.
    pub(crate) fn zone_size(&self) -> usize {
        self.ranks.as_ref().and_then(|ranks| ranks.get(&self.locality)).map_or(0, BTreeSet::len)
    }

    /// Live members of the own zone and the positions of their records.
    pub(crate) fn zone_members(&self) -> BTreeMap<NodeName, RecordOrder> {
        let live = self.table.of_zone(&self.locality).filter(|record| is_live(record));
        live.map(|record| (record.node.clone(), record.order())).collect()
    }

    /// Tree of a zone by the records known here.
    pub(crate) fn plan(&self, locality: &Locality, limits: &Limits) -> ZonePlan {
        let Some(members) = self.ranks.as_ref().and_then(|ranks| ranks.get(locality)) else {
            return ZonePlan::default();
        };
        ZonePlan::new(members.iter().map(|(_, _, node)| node), members.len(), limits)
    }

    /// Zones of which a member is known.
    pub(crate) fn zones(&self) -> Vec<Locality> {
        let ranked = self.ranks.iter().flat_map(BTreeMap::keys);
        let hinted = self.hints.values().map(|member| &member.locality);
        ranked.chain(hinted).collect::<BTreeSet<_>>().into_iter().cloned().collect()
    }

    /// Members of a zone whom a reader should try there, in the order of their ranks: the first live ones, and
    /// hinted or suspected ones of a rank before theirs.
    pub(crate) fn likely_readers(&self, locality: &Locality, count: usize) -> Vec<Member> {
        let ranked = self.ranks.as_ref().and_then(|ranks| ranks.get(locality)).into_iter().flatten();
        let live: Vec<RankKey> = ranked.take(count).cloned().collect();
        let last = live.last().filter(|_| live.len() == count).cloned();
        let suspected = self.suspected.get(locality).into_iter().flatten().cloned();
        let hinted = self
            .hints
            .values()
            .filter(|member| member.locality == *locality)
            .map(|member| (false, rank(&member.node, locality), member.node.clone()));
        let others = suspected.chain(hinted).filter(|key| last.as_ref().is_none_or(|last| key < last));
        let mut candidates: Vec<RankKey> = live.iter().cloned().chain(others).collect();
        candidates.sort_unstable();
        candidates.into_iter().filter_map(|(_, _, node)| self.member(&node)).collect()
    }

    /// Forgets a hint that led nowhere.
    pub(crate) fn forget_hint(&mut self, node: &NodeName) {
        self.hints.remove(node);
    }

    /// Live hinted members of the own zone, for a node that knows no other way.
    pub(crate) fn hinted_in_zone(&self) -> Vec<Member> {
        self.hints.values().filter(|member| member.locality == self.locality).cloned().collect()
    }

    /// Names of the records that `interest` covers.
    pub(crate) fn covered(&self, interest: &Interest) -> Vec<NodeName> {
        let in_services = interest.services.iter().flat_map(|service| self.table.of_service(service));
        let mut nodes: BTreeSet<NodeName> = in_services.map(|record| record.node.clone()).collect();
        if interest.own_zone {
            nodes.extend(self.table.of_zone(&self.locality).map(|record| record.node.clone()));
        }
        nodes.into_iter().collect()
    }

    /// Digest over the records that `interest` covers; equal sets have equal digests.
    pub(crate) fn digest(&self, interest: &Interest) -> u64 {
        let records = self.covered(interest);
        records.iter().filter_map(|node| self.table.get(node)).fold(0, |sum: u64, record| {
            let hash = blake3::hash(&bitcode::encode(&(record.node.clone(), record.order(), record.status)));
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&hash.as_bytes()[..8]);
            sum.wrapping_add(u64::from_le_bytes(bytes))
        })
    }

    /// Drops every record for which `keep` says no. The table has no removal of its own: a record that is merely
    /// not wanted here any more must not leave a tombstone.
    pub(crate) fn retain(&mut self, now: Timestamp, keep: impl Fn(&EndpointRecord) -> bool) {
        if self.table.records().all(&keep) {
            return;
        }
        let kept: Vec<EndpointRecord> = self.table.records().filter(|record| keep(record)).cloned().collect();
        self.table = EndpointTable::new();
        for record in kept {
            self.table.merge(now, record);
        }
        if self.ranks.is_some() {
            self.set_ranking(false);
            self.set_ranking(true);
        }
    }

    fn update_rank(&mut self, before: Option<&EndpointRecord>, after: &EndpointRecord) -> bool {
        let Some(ranks) = &mut self.ranks else { return false };
        replace_key(&mut self.suspected, before, after, is_suspected);
        replace_key(ranks, before, after, is_live)
    }
}

/// Brings one ranking up to a changed record; tells whether it changed.
fn replace_key(
    ranks: &mut BTreeMap<Locality, BTreeSet<RankKey>>,
    before: Option<&EndpointRecord>,
    after: &EndpointRecord,
    belongs: fn(&EndpointRecord) -> bool,
) -> bool {
    let place =
        |record: &EndpointRecord| belongs(record).then(|| (record.locality.clone(), rank_key(record)));
    let old = before.and_then(place);
    let new = place(after);
    if old == new {
        return false;
    }
    if let Some((locality, key)) = old
        && let Some(members) = ranks.get_mut(&locality)
    {
        members.remove(&key);
    }
    if let Some((locality, key)) = new {
        ranks.entry(locality).or_default().insert(key);
    }
    true
}

/// What merging a record did.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Merge {
    pub(crate) outcome: MergeOutcome,
    pub(crate) ranks_changed: bool,
}

/// Whether a record shows its owner as a member that can take a role.
pub(crate) fn is_live(record: &EndpointRecord) -> bool {
    record.status != EndpointStatus::Gone && !record.suspect
}

fn is_suspected(record: &EndpointRecord) -> bool {
    record.status != EndpointStatus::Gone && record.suspect
}

/// The owner of a record as a member.
pub(crate) fn member_of(record: &EndpointRecord) -> Member {
    Member { node: record.node.clone(), locality: record.locality.clone(), control: record.control }
}

/// Whether `interest` of a node in `locality` covers a record.
pub(crate) fn covers(interest: &Interest, locality: &Locality, record: &EndpointRecord) -> bool {
    let by_service = |service: &ServiceName| interest.services.contains(service);
    (interest.own_zone && record.locality == *locality) || record.service.as_ref().is_some_and(by_service)
}

fn rank_key(record: &EndpointRecord) -> RankKey {
    let drains = record.status == EndpointStatus::Draining;
    (drains, rank(&record.node, &record.locality), record.node.clone())
}
