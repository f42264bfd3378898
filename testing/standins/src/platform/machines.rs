//! The list of live and leaving machines, which can lag behind reality.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::store::Store;

/// Kind under which the list is watched.
pub const MACHINES_KIND: &str = "machines";

/// One machine of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Name of the node on it.
    pub node: String,
    /// Region it runs in.
    pub region: String,
    /// Zone it runs in.
    pub zone: String,
    /// Where its node takes control connections.
    pub control: SocketAddr,
    /// Whether it is about to go away.
    #[serde(default)]
    pub leaving: bool,
}

/// The list as the object API shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Revision of the platform when the list was read.
    pub revision: u64,
    /// Machines in the order of their names.
    pub machines: Vec<Machine>,
}

/// The list that readers see, and the number of the last update that reached it.
#[derive(Debug, Default)]
pub struct Machines {
    shown: BTreeMap<String, Machine>,
    submitted: u64,
    applied: u64,
}

impl Machines {
    /// Numbers an update, which may be applied later.
    pub fn next_update(&mut self) -> u64 {
        self.submitted += 1;
        self.submitted
    }

    /// Shows `machines` to readers and logs each change, unless a later update has overtaken this one.
    pub fn apply(&mut self, update: u64, machines: &[Machine], store: &mut Store) {
        if update <= self.applied {
            return;
        }
        self.applied = update;
        let listed: BTreeMap<String, Machine> =
            machines.iter().map(|machine| (machine.node.clone(), machine.clone())).collect();
        for name in self.shown.keys().filter(|name| !listed.contains_key(*name)) {
            store.write(MACHINES_KIND, name, None);
        }
        for (name, machine) in &listed {
            if self.shown.get(name) != Some(machine) {
                store.write(MACHINES_KIND, name, Some(encode(machine)));
            }
        }
        self.shown = listed;
    }

    /// The list that readers see at `revision`.
    pub fn list(&self, revision: u64) -> MachineList {
        MachineList { revision, machines: self.shown.values().cloned().collect() }
    }
}

fn encode(machine: &Machine) -> Bytes {
    // Writing plain strings and numbers to a vector can't fail.
    serde_json::to_vec(machine).map(Bytes::from).unwrap_or_default()
}
