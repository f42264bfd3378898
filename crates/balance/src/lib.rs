//! Endpoint choice inside the allowed localities.
//!
//! A [`LocalityFilter`] is the only way to make an [`AllowedEndpoint`], and a [`Balancer`] takes nothing else, so a
//! disallowed locality can't be chosen, whatever the load:
//!
//! ```compile_fail,E0451
//! # fn record() -> umberpond_model::EndpointRecord { unimplemented!() }
//! // The field is private: only `LocalityFilter::allow` makes one.
//! let endpoint = umberpond_balance::AllowedEndpoint { record: record(), slots: 10 };
//! ```
//!
//! ```compile_fail,E0308
//! # fn record() -> umberpond_model::EndpointRecord { unimplemented!() }
//! fn add(balancer: &umberpond_balance::Balancer, now: umberpond_model::Timestamp) {
//!     balancer.update(now, vec![record()]); // a record is not an allowed endpoint
//! }
//! ```
//!
//! The crate reads no clock and draws no randomness of its own: the time and the generator are handed in.

mod balancer;
mod choice;
mod endpoint;
mod filter;
mod health;
mod key_ring;
mod load;
mod observation;
mod picked;
mod settings;
mod spill;

pub use balancer::{Balancer, EndpointView, NoEndpoint};
pub use filter::{AllowedEndpoint, LocalityFilter};
pub use observation::{EndpointReport, LoadReport, Observation, RequestResult};
pub use picked::Picked;
pub use settings::{BalancerSettings, Strategy};
