//! Processor time and memory of a process, read from outside by `/proc`.

use std::fs;
use std::io;

use serde::{Deserialize, Serialize};

/// Milliseconds of one clock tick in `/proc`; Linux shows times to programs in hundredths of a second.
const TICK_MILLIS: u64 = 10;

/// Fields between the name of the program and the user time in `/proc/PID/stat`.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Bytes of one unit in `/proc/PID/status`.
const KIBIBYTE: u64 = 1_024;

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Processor time of all threads since the start, in milliseconds.
    pub processor_millis: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Of this process.
    ///
    /// # Errors
    /// Fails when `/proc` can't be read.
    pub fn own() -> io::Result<Self> {
        Self::read("self")
    }

    /// Of the process with this id.
    ///
    /// # Errors
    /// Fails when there is no such process, or `/proc` can't be read.
    pub fn of(id: u32) -> io::Result<Self> {
        Self::read(&id.to_string())
    }

    fn read(process: &str) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        Self::parse(&stat, &status).ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    }

    /// Reads the content of `/proc/PID/stat` and `/proc/PID/status`; `None` if a field is missing.
    #[must_use]
    pub fn parse(stat: &str, status: &str) -> Option<Self> {
        // The program's name is in brackets and may hold anything, also brackets and spaces.
        let (_, after_name) = stat.rsplit_once(')')?;
        let mut times = after_name.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
        let user: u64 = times.next()?.parse().ok()?;
        let system: u64 = times.next()?.parse().ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kibibytes: u64 = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self { processor_millis: (user + system) * TICK_MILLIS, resident_bytes: kibibytes * KIBIBYTE })
    }
}
