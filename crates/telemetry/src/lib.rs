//! Numbered events, their catalogue, metrics and log output.
//!
//! Every event that the program emits has a number, a severity and typed fields, declared once in the
//! catalogue ([`Event`]), from which `docs/EVENTS.md` is generated. [`Telemetry`] is a handle without global
//! state, so that the simulation can run many nodes in one process, each with its own observer.

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
pub use metrics::{AnnouncementOutcome, DelayCause, Direction, Metrics, RequestDetail, VersionStage};
pub use page::catalogue_page;
pub use telemetry::{EventObserver, MemoryRecorder, Telemetry};
