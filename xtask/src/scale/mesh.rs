//! All processes of a scale run.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_hollow::{FleetPlan, FleetReport, Sample};
use umberpond_standins::platform::CounterReport;

use super::fleet::FleetProcess;
use super::programs::ScalePrograms;
use super::real_node::{HowToEnd, RealNode};
use super::size::Size;
use super::standin::Standin;
use crate::demo::settings::Surroundings;
use crate::error::XtaskError;
use crate::supervise::ScratchDirectory;

/// Milliseconds of a second.
const SECOND_MILLIS: u64 = 1_000;

/// Time between two looks at the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The running processes.
#[derive(Debug)]
pub struct Mesh {
    /// Real nodes.
    pub real: Vec<RealNode>,
    /// Processes of hollow nodes.
    pub fleets: Vec<FleetProcess>,
    size: Size,
    platform: Standin,
    back_ends: Vec<Standin>,
    lifetime: Duration,
}

impl Mesh {
    /// Starts the platform, the real nodes with their back ends, then the hollow ones.
    ///
    /// # Errors
    /// Fails when a process does not get ready.
    pub async fn start(
        programs: &ScalePrograms,
        size: Size,
        lifetime: Duration,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let platform = Standin::platform(&programs.common.platform, lifetime, scratch).await?;
        let (real, fleets, back_ends) = (Vec::new(), Vec::new(), Vec::new());
        let mut mesh = Self { real, fleets, size, platform, back_ends, lifetime };
        for number in 0..size.real {
            mesh.start_real(programs, number, scratch).await?;
        }
        mesh.start_fleets(programs, scratch).await?;
        Ok(mesh)
    }

    /// Nodes that run.
    pub fn node_count(&self) -> usize {
        self.real.len() + self.fleets.iter().map(|fleet| fleet.nodes.len()).sum::<usize>()
    }

    /// Waits until `version` is in force on every node, at most for `limit`; tells on how many hollow processes and
    /// real nodes it is not.
    pub async fn wait_until_in_force(&self, version: u64, limit: Duration) -> usize {
        let deadline = Instant::now() + limit;
        loop {
            let real = self.real.iter().filter(|node| node.newest() < version).count();
            let fleets = self.fleets.iter().filter(|fleet| fleet.lowest_active() < version).count();
            if real + fleets == 0 || Instant::now() > deadline {
                return real + fleets;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Nodes with a version in force.
    pub fn configured(&self) -> usize {
        let real = self.real.iter().filter(|node| node.newest() > 0).count();
        real + self.fleets.iter().map(FleetProcess::configured).sum::<usize>()
    }

    /// What the platform was asked so far.
    ///
    /// # Errors
    /// Fails when it does not answer.
    pub async fn platform_counters(&self) -> Result<CounterReport, XtaskError> {
        self.platform.counters().await
    }

    /// Every real node's process and control bytes now, with its number.
    ///
    /// # Errors
    /// Fails when one does not answer.
    pub async fn sample_real(&self) -> Result<Vec<(usize, Sample)>, XtaskError> {
        let mut samples = Vec::new();
        for node in &self.real {
            samples.push((node.number, node.sample().await?));
        }
        Ok(samples)
    }

    /// Kills `count` real nodes, the last ones started. Their entries stay in the
    /// store.
    ///
    /// # Errors
    /// Fails when one can't be signalled.
    pub async fn kill_real(&mut self, count: usize) -> Result<(), XtaskError> {
        let first = self.real.len().saturating_sub(count);
        for node in self.real.split_off(first) {
            node.end(HowToEnd::Killed).await?;
        }
        Ok(())
    }

    /// Kills one process of hollow nodes, if there are several; tells how many nodes it had.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub async fn kill_fleet(&mut self) -> Result<usize, XtaskError> {
        if self.fleets.len() < 2 {
            return Ok(0);
        }
        let Some(fleet) = self.fleets.pop() else { return Ok(0) };
        let count = fleet.nodes.len();
        fleet.kill().await?;
        Ok(count)
    }

    /// Ends the hollow processes, then the real nodes, then the stand-ins; tells what the hollow ones measured.
    ///
    /// # Errors
    /// Fails when a hollow process leaves no report.
    pub async fn stop(self) -> Result<Vec<FleetReport>, XtaskError> {
        let mut reports = Vec::new();
        for fleet in self.fleets {
            reports.push(fleet.finish().await?);
        }
        let ends: Vec<_> =
            self.real.into_iter().map(|node| tokio::spawn(node.end(HowToEnd::Planned))).collect();
        for end in ends {
            // A node that does not end in time is killed when its watcher drops it.
            let _ = end.await;
        }
        // The stand-ins hold nothing to be lost: dropping them kills them by their ids.
        drop((self.back_ends, self.platform));
        Ok(reports)
    }

    async fn start_real(
        &mut self,
        programs: &ScalePrograms,
        number: usize,
        scratch: &ScratchDirectory,
    ) -> Result<(), XtaskError> {
        let places = self.size.places;
        let place = places.place(number)?;
        let back_end = Standin::back_end(&programs.common.backend, &place, self.lifetime, scratch).await?;
        let surroundings = Surroundings::plain(self.platform.address, Some(back_end.address));
        let program = &programs.common.umberpond;
        let node = RealNode::start(program, &places, number, &surroundings, scratch).await?;
        self.back_ends.push(back_end);
        self.real.push(node);
        Ok(())
    }

    /// Starts all hollow processes side by side.
    async fn start_fleets(
        &mut self,
        programs: &ScalePrograms,
        scratch: &ScratchDirectory,
    ) -> Result<(), XtaskError> {
        let mut starts = Vec::new();
        for (first, count) in self.size.fleets() {
            let plan = self.fleet_plan(first, count);
            let (program, lifetime) = (&programs.hollow_nodes, self.lifetime);
            starts.push(async move { FleetProcess::start(program, &plan, lifetime, scratch).await });
        }
        self.fleets = futures_util::future::try_join_all(starts).await?;
        Ok(())
    }

    fn fleet_plan(&self, first: usize, count: usize) -> FleetPlan {
        FleetPlan {
            first,
            count,
            places: self.size.places,
            store: self.platform.address,
            start_millis: self.size.start_seconds * SECOND_MILLIS,
        }
    }
}
