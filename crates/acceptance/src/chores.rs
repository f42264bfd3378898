//! When a reader collects old content and proposes witnesses, as a state machine without input or output.
//!
//! Each chore is due at times, then asks for its lease, and runs once the lease is granted. The leases only keep two
//! readers from doing the same work; both chores are safe when run twice at once. The lease of a collection is not
//! given back, so that there is one collection in each of its periods, whichever reader makes it.
//!
//! The driver must answer each output, with a failure if need be: a chore waits for its answer without a limit.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{Millis, NodeName, Timestamp, Version, VersionRecord};

/// Work that any reader may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chore {
    /// [`crate::collect`].
    Collect,
    /// [`crate::Acceptor::propose_witnesses`].
    ProposeWitnesses,
}

impl Chore {
    /// Name of the lease that the chore runs under.
    #[must_use]
    pub const fn lease_name(self) -> &'static str {
        match self {
            Self::Collect => "collect",
            Self::ProposeWitnesses => "propose-witnesses",
        }
    }
}

/// Times of the chores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChoreSettings {
    /// Time from one collection to the next, over all readers.
    pub collect_every: Millis,
    /// Time that a witness must be neither listed nor seen before it is replaced.
    pub witness_missing_for: Millis,
    /// Time for which the lease of a proposal is asked.
    pub proposal_lease: Millis,
    /// Wait after a lease that another holds, after a failure, and after a proposal.
    pub retry_after: Millis,
}

impl Default for ChoreSettings {
    fn default() -> Self {
        Self {
            collect_every: Millis(3_600_000),
            witness_missing_for: Millis(30_000),
            proposal_lease: Millis(20_000),
            retry_after: Millis(30_000),
        }
    }
}

/// What the state machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChoreInput {
    /// This node became a reader, or ceased to be one.
    Reader(bool),
    /// The platform's newest record.
    Head(Box<VersionRecord>),
    /// The commit index grew.
    Committed(Version),
    /// The machine list: nodes that are listed and not leaving.
    Machines(BTreeSet<NodeName>),
    /// Something came from this node just now.
    Seen(NodeName),
    /// Answer to [`ChoreOutput::AcquireLease`]; a failure counts as not granted.
    Lease {
        /// The chore.
        chore: Chore,
        /// Whether the lease was granted.
        granted: bool,
    },
    /// Answer to [`ChoreOutput::Run`].
    Ended {
        /// The chore.
        chore: Chore,
        /// Whether it did all its work.
        succeeded: bool,
    },
    /// Time has passed; to be told every few seconds.
    Tick,
}

/// What the driver has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoreOutput {
    /// Acquire the lease of a chore for this node.
    AcquireLease {
        /// The chore.
        chore: Chore,
        /// Time to ask for.
        duration: Millis,
    },
    /// Run the chore.
    Run(Chore),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing to do before this time.
    WaitingUntil(Timestamp),
    AskingForLease,
    Running,
}

/// The chores of one node.
#[derive(Debug, Clone)]
pub struct Chores {
    settings: ChoreSettings,
    is_reader: bool,
    head: Option<Box<VersionRecord>>,
    committed: Version,
    machines: BTreeSet<NodeName>,
    /// When a witness of the head was last listed or seen; from its first naming on.
    present_at: BTreeMap<NodeName, Timestamp>,
    collect: Stage,
    propose: Stage,
}

impl Chores {
    /// The chores of a node that starts at `now`; the first collection is due at once, if no reader holds its lease.
    #[must_use]
    pub const fn new(settings: ChoreSettings, now: Timestamp) -> Self {
        Self {
            settings,
            is_reader: false,
            head: None,
            committed: Version::GENESIS,
            machines: BTreeSet::new(),
            present_at: BTreeMap::new(),
            collect: Stage::WaitingUntil(now),
            propose: Stage::WaitingUntil(now),
        }
    }

    /// Takes an input in.
    pub fn on(&mut self, now: Timestamp, input: ChoreInput) -> Vec<ChoreOutput> {
        match input {
            ChoreInput::Reader(is_reader) => self.on_role(now, is_reader),
            ChoreInput::Head(record) => self.on_head(now, record),
            ChoreInput::Committed(version) => self.committed = self.committed.max(version),
            ChoreInput::Machines(machines) => self.machines = machines,
            ChoreInput::Seen(node) => _ = self.present_at.get_mut(&node).map(|at| *at = now),
            ChoreInput::Lease { chore, granted } => return self.on_lease(now, chore, granted),
            ChoreInput::Ended { chore, succeeded } => self.on_ended(now, chore, succeeded),
            ChoreInput::Tick => {}
        }
        self.note_listed(now);
        self.due(now)
    }

    /// Only a reader follows the machine list, so what a new reader remembers of absences is out of date.
    fn on_role(&mut self, now: Timestamp, is_reader: bool) {
        if is_reader && !self.is_reader {
            self.present_at.values_mut().for_each(|at| *at = now);
        }
        self.is_reader = is_reader;
    }

    fn on_head(&mut self, now: Timestamp, record: Box<VersionRecord>) {
        if self.head.as_ref().is_some_and(|head| head.version >= record.version) {
            return;
        }
        self.present_at.retain(|node, _| record.witnesses.contains(node));
        for node in &record.witnesses {
            self.present_at.entry(node.clone()).or_insert(now);
        }
        self.head = Some(record);
    }

    /// An empty list says that the list is lost, not that all nodes are.
    fn note_listed(&mut self, now: Timestamp) {
        for (node, at) in &mut self.present_at {
            if self.machines.is_empty() || self.machines.contains(node) {
                *at = now;
            }
        }
    }

    fn on_lease(&mut self, now: Timestamp, chore: Chore, granted: bool) -> Vec<ChoreOutput> {
        if *self.stage(chore) != Stage::AskingForLease {
            return Vec::new();
        }
        if !granted || !self.is_wanted(now, chore) {
            *self.stage(chore) = Stage::WaitingUntil(now + self.settings.retry_after);
            return Vec::new();
        }
        *self.stage(chore) = Stage::Running;
        vec![ChoreOutput::Run(chore)]
    }

    fn on_ended(&mut self, now: Timestamp, chore: Chore, succeeded: bool) {
        if *self.stage(chore) != Stage::Running {
            return;
        }
        let wait = match (chore, succeeded) {
            (Chore::Collect, true) => self.settings.collect_every,
            _ => self.settings.retry_after,
        };
        *self.stage(chore) = Stage::WaitingUntil(now + wait);
    }

    fn due(&mut self, now: Timestamp) -> Vec<ChoreOutput> {
        let mut outputs = Vec::new();
        for chore in [Chore::Collect, Chore::ProposeWitnesses] {
            let waited = matches!(*self.stage(chore), Stage::WaitingUntil(until) if now >= until);
            if waited && self.is_wanted(now, chore) {
                *self.stage(chore) = Stage::AskingForLease;
                outputs.push(ChoreOutput::AcquireLease { chore, duration: self.lease_of(chore) });
            }
        }
        outputs
    }

    fn is_wanted(&self, now: Timestamp, chore: Chore) -> bool {
        let Some(head) = self.head.as_ref().filter(|_| self.is_reader) else {
            return false;
        };
        match chore {
            Chore::Collect => true,
            Chore::ProposeWitnesses => self.committed >= head.witnesses_since && self.misses_witness(now),
        }
    }

    fn misses_witness(&self, now: Timestamp) -> bool {
        self.present_at.values().any(|at| now.since(*at) >= self.settings.witness_missing_for)
    }

    const fn lease_of(&self, chore: Chore) -> Millis {
        match chore {
            Chore::Collect => self.settings.collect_every,
            Chore::ProposeWitnesses => self.settings.proposal_lease,
        }
    }

    const fn stage(&mut self, chore: Chore) -> &mut Stage {
        match chore {
            Chore::Collect => &mut self.collect,
            Chore::ProposeWitnesses => &mut self.propose,
        }
    }
}
