//! Numbered events, their catalogue, metrics and log output.
//!
//! Every event that the program tells has a number, a level and typed fields, declared once in the catalogue
//! ([`Event`]). `docs/EVENTS.md` is generated from it. [`Telemetry`] is a handle without global state, so that
//! many nodes share one process in the simulation, each with its own observer.

mod catalogue;
mod entry;
mod logging;
mod metrics;
mod output;
mod page;
mod rate;
mod telemetry;

pub use catalogue::Event;
pub use entry::{CatalogueEntry, Field, FieldValue, Severity};
pub use logging::LogFormat;
pub use metrics::{DelayCause, Direction, Metrics, RequestDetail, VersionStage};
pub use page::catalogue_page;
pub use telemetry::{EventObserver, MemoryRecorder, Telemetry};
