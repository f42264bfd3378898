//! The steps of the demo.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::{CallerReport, LoadPlan, Outcome};
use umberpond_standins::reconcile;

use super::bundle::{self, BUNDLE};
use super::layout::{DRAINED_NODE, KILLED_NODE, ZONES, allowed_localities};
use super::load::{self, Targets};
use super::mesh::{self, Mesh};
use super::operator::{Submission, apply};
use super::programs::Programs;
use super::standins::RunningCaller;
use crate::error::XtaskError;
use crate::report::{
    AppliedVersion, DemoReport, DrainFigures, KillFigures, LatencyFigures, PhaseFigures, PhaseKind,
};
use crate::supervise::ScratchDirectory;

/// Duration of each load, in seconds.
const PHASE_SECONDS: u64 = 6;

/// Duration of the load on the second version's route, in seconds.
const SHORT_SECONDS: u64 = 2;

/// Time from the start of a load until a node is stopped or killed or a version is submitted.
const BEFORE_EVENT: Duration = Duration::from_secs(2);

/// Time after SIGTERM from which the node's back end must receive no new requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Time after a node was killed from which every call must be answered.
const KILL_GRACE: Duration = Duration::from_secs(2);

/// Zones in which the example bundle allows billing.
const BILLING_ZONES: [&str; 2] = ["hall-1", "hall-2"];

/// The caller's report of one phase.
struct Phase {
    kind: PhaseKind,
    report: CallerReport,
}

/// State of a running demo.
pub struct Scenario<'a> {
    programs: &'a Programs,
    scratch: &'a ScratchDirectory,
    mesh: Mesh,
    phases: Vec<Phase>,
    report: DemoReport,
    /// Requests that the drained node's back end had started to run when the grace period ended.
    runs_at_grace: u64,
}

impl<'a> Scenario<'a> {
    /// Starts all processes.
    ///
    /// # Errors
    /// Fails when a process does not become ready in time.
    pub async fn start(programs: &'a Programs, scratch: &'a ScratchDirectory) -> Result<Self, XtaskError> {
        let mesh = Mesh::start(programs, scratch).await?;
        let report = DemoReport { nodes: mesh.nodes.len(), ..DemoReport::default() };
        Ok(Self { programs, scratch, mesh, phases: Vec::new(), report, runs_at_grace: 0 })
    }

    /// Runs every step and stops all processes.
    ///
    /// # Errors
    /// Fails when a step can't be carried out. The invariants are checked later, on the report.
    pub async fn run(mut self) -> Result<DemoReport, XtaskError> {
        step("submitting the first version");
        let applied = self.apply("first", &bundle::first_version()).await?;
        self.report.versions.push(applied);
        self.mesh.wait_until_ready().await?;
        self.compare_latencies().await?;
        self.drain().await?;
        self.kill().await?;
        self.apply_second_version().await?;
        self.collect().await?;
        step("stopping every process");
        self.report.stops = self.mesh.stop().await?;
        Ok(self.report)
    }

    async fn apply(&self, label: &str, directory: &std::path::Path) -> Result<AppliedVersion, XtaskError> {
        let nodes: Vec<_> = self.mesh.nodes.values().collect();
        let submission = Submission { label, bundle: BUNDLE, directory };
        apply(self.programs, submission, self.mesh.edge()?, &nodes, self.scratch).await
    }

    async fn compare_latencies(&mut self) -> Result<(), XtaskError> {
        step("calling the back ends directly and through the mesh, at the same time");
        let direct = Targets {
            archive: self.mesh.back_ends_of("archive", &ZONES),
            billing: self.mesh.back_ends_of("billing", &BILLING_ZONES),
            solver: self.mesh.back_ends_of("solver", &ZONES),
        };
        let plan = load::short_calls("direct", &direct, PHASE_SECONDS)?;
        let direct = self.start_caller(&plan).await?;
        let plan = load::short_calls("steady", &self.targets()?, PHASE_SECONDS)?;
        let steady = self.start_caller(&plan).await?;
        // Both loads run at the same time, so that other work on the machine slows both equally.
        let (direct, steady) = tokio::try_join!(direct.finish(), steady.finish())?;
        self.report.latency = LatencyFigures::between(&direct.latencies(), &steady.latencies());
        self.add_phase(PhaseKind::Direct, direct);
        self.add_phase(PhaseKind::Steady, steady);
        Ok(())
    }

    async fn drain(&mut self) -> Result<(), XtaskError> {
        step("stopping one node gracefully, under load");
        let plan = load::mixed_calls("drain", &self.targets()?, PHASE_SECONDS)?;
        let caller = self.start_caller(&plan).await?;
        sleep(BEFORE_EVENT).await;
        let runs_before = self.mesh.run_count(DRAINED_NODE).await?;
        let mut node = self.mesh.take_node(DRAINED_NODE)?;
        let signalled = Instant::now();
        let stop = mesh::stop(&mut node.process).await?;
        sleep(DRAIN_GRACE.saturating_sub(signalled.elapsed())).await;
        let runs_at_grace = self.mesh.run_count(DRAINED_NODE).await?;
        let report = caller.finish().await?;
        self.report.drain =
            Some(DrainFigures { node: DRAINED_NODE.to_owned(), runs_before, runs_after_grace: 0, stop });
        self.runs_at_grace = runs_at_grace;
        self.add_phase(PhaseKind::Drain, report);
        Ok(())
    }

    async fn kill(&mut self) -> Result<(), XtaskError> {
        step("killing one node, under load");
        let plan = load::mixed_calls("kill", &self.targets()?, PHASE_SECONDS)?;
        let started = Instant::now();
        let caller = self.start_caller(&plan).await?;
        sleep(BEFORE_EVENT).await;
        let runs_before = self.mesh.run_count(KILLED_NODE).await?;
        let node = self.mesh.take_node(KILLED_NODE)?;
        node.process.kill()?;
        let grace_ends = started.elapsed() + KILL_GRACE;
        let report = caller.finish().await?;
        let is_late_failure = |due_millis: u64, outcome: Outcome| {
            Duration::from_millis(due_millis) > grace_ends && outcome != Outcome::Answered
        };
        let late = report.answers.iter().filter(|answer| is_late_failure(answer.due_millis, answer.outcome));
        let late_failures = late.count() as u64;
        self.report.kill = Some(KillFigures { node: KILLED_NODE.to_owned(), runs_before, late_failures });
        self.add_phase(PhaseKind::Kill, report);
        Ok(())
    }

    async fn apply_second_version(&mut self) -> Result<(), XtaskError> {
        step("submitting a second version, under load");
        let directory = bundle::second_version(self.scratch)?;
        let plan = load::mixed_calls("apply", &self.targets()?, PHASE_SECONDS)?;
        let caller = self.start_caller(&plan).await?;
        sleep(BEFORE_EVENT).await;
        let applied = self.apply("second", &directory).await?;
        self.report.versions.push(applied);
        let report = caller.finish().await?;
        self.add_phase(PhaseKind::Apply, report);
        let plan = load::calls_of_second_version("second", &self.targets()?, SHORT_SECONDS)?;
        let report = self.start_caller(&plan).await?.finish().await?;
        self.report.second_version_calls = report.answers.len() as u64;
        self.report.second_version_answered = report.count(Outcome::Answered);
        Ok(())
    }

    async fn collect(&mut self) -> Result<(), XtaskError> {
        step("comparing the responses that callers received with the requests that ran");
        let ledgers = self.mesh.ledgers().await?;
        for phase in std::mem::take(&mut self.phases) {
            let figures = compare(&phase, &ledgers)?;
            self.report.disallowed_runs = figures.reconciliation.disallowed_locality;
            self.report.phases.push(figures);
        }
        let runs_at_end = self.mesh.run_count(DRAINED_NODE).await?;
        if let Some(drain) = &mut self.report.drain {
            drain.runs_after_grace = runs_at_end - self.runs_at_grace;
        }
        self.report.control = self.mesh.control_figures().await?;
        self.report.platform = self.mesh.platform_figures().await?;
        Ok(())
    }

    fn targets(&self) -> Result<Targets, XtaskError> {
        Ok(Targets::edge(self.mesh.edge()?.addresses.outbound))
    }

    async fn start_caller(&self, plan: &LoadPlan) -> Result<RunningCaller, XtaskError> {
        RunningCaller::start(self.programs, plan, self.scratch).await
    }

    fn add_phase(&mut self, kind: PhaseKind, report: CallerReport) {
        self.phases.push(Phase { kind, report });
    }
}

fn compare(phase: &Phase, ledgers: &[Ledger]) -> Result<PhaseFigures, XtaskError> {
    Ok(PhaseFigures {
        kind: phase.kind,
        reconciliation: reconcile(&phase.report.answers, ledgers, &allowed_localities()?),
        latencies: phase.report.latencies(),
        services_answered: phase.report.latencies_by_service().len(),
    })
}

fn step(what: &str) {
    eprintln!("demo: {what}");
}
