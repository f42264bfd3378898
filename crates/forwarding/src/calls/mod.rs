//! Calls: requests that a run at the local back end makes while it occupies its slot.

mod gate;
mod inherited;
#[cfg(test)]
mod tests;

pub(crate) use gate::CallGate;
pub(crate) use inherited::{inherited_priority, inherited_timeout};
