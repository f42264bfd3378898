//! Calls: requests that a run at the back end beside this node makes, and for which it holds its slot.

mod gate;
mod inherited;
#[cfg(test)]
mod tests;

pub(crate) use gate::CallGate;
pub(crate) use inherited::{inherited_priority, inherited_timeout};
