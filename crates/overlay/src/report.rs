//! Progress of versions: how many nodes hold and run each, and which nodes lag and why.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use umberpond_model::{NodeName, Version};

/// Progress of a group of nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Nodes that have said nothing of a version yet.
    pub without: u32,
    /// Count of nodes by newest version held and version in force.
    pub versions: Vec<VersionCount>,
    /// Some of the nodes that are furthest behind.
    pub laggards: Vec<Laggard>,
}

/// Count of nodes whose newest version held or in force is this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct VersionCount {
    /// The version.
    pub version: Version,
    /// Nodes whose newest version held is this one.
    pub held: u32,
    /// Nodes in which this one is in force.
    pub active: u32,
}

/// A node that lags.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Laggard {
    /// The node.
    pub node: NodeName,
    /// Newest version held.
    pub held: Option<Version>,
    /// Version in force.
    pub active: Option<Version>,
    /// Why.
    pub reason: LagReason,
}

/// Why a node lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum LagReason {
    /// Its version floor isn't proved yet.
    NoFloorProof,
    /// It waits for a whole transfer.
    AwaitsTransfer,
    /// It holds the version; the commit index isn't there yet.
    AwaitsCommit,
    /// Its connection was lost.
    Disconnected,
    /// Updates to it are not acknowledged in time.
    Slow,
}

impl Report {
    /// Count of nodes in the group.
    #[must_use]
    pub fn nodes(&self) -> u32 {
        let holding: u32 = self.versions.iter().map(|count| count.held).sum();
        holding + self.without
    }

    /// Nodes whose newest version held is `version` or later.
    #[must_use]
    pub fn holding(&self, version: Version) -> u32 {
        self.versions.iter().filter(|count| count.version >= version).map(|count| count.held).sum()
    }

    /// Nodes in which `version` or a later one is in force.
    #[must_use]
    pub fn running(&self, version: Version) -> u32 {
        self.versions.iter().filter(|count| count.version >= version).map(|count| count.active).sum()
    }

    /// Adds the progress of one node.
    pub fn add_node(&mut self, held: Option<Version>, active: Option<Version>) {
        match held {
            Some(version) => self.entry(version).held += 1,
            None => self.without += 1,
        }
        if let Some(version) = active {
            self.entry(version).active += 1;
        }
    }

    /// Adds the progress of another group.
    pub fn add(&mut self, other: &Self) {
        self.without += other.without;
        for count in &other.versions {
            let entry = self.entry(count.version);
            entry.held += count.held;
            entry.active += count.active;
        }
        self.laggards.extend(other.laggards.iter().cloned());
    }

    /// Joins the oldest versions until at most `versions` remain, and keeps the `laggards` furthest behind.
    pub fn shorten(&mut self, versions: usize, laggards: usize) {
        self.versions.sort_by_key(|count| count.version);
        while self.versions.len() > versions.max(1) {
            let second = self.versions.remove(1);
            self.versions[0].held += second.held;
            self.versions[0].active += second.active;
        }
        self.laggards.sort_by(|left, right| (left.active, &left.node).cmp(&(right.active, &right.node)));
        self.laggards.dedup_by(|left, right| left.node == right.node);
        self.laggards.truncate(laggards);
    }

    /// Counts by version, for status pages.
    #[must_use]
    pub fn by_version(&self) -> BTreeMap<Version, VersionCount> {
        self.versions.iter().map(|count| (count.version, *count)).collect()
    }

    fn entry(&mut self, version: Version) -> &mut VersionCount {
        let position = self.versions.iter().position(|count| count.version == version);
        let position = position.unwrap_or_else(|| {
            self.versions.push(VersionCount { version, held: 0, active: 0 });
            self.versions.len() - 1
        });
        &mut self.versions[position]
    }
}
