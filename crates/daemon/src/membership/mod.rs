//! Runs the membership protocol, driven by datagrams and a timer.

mod actor;
mod datagrams;
mod endpoints;
mod evacuated;
mod message;
mod plans;
mod pools;
mod suspects;

pub(crate) use actor::{MembershipActor, MembershipArguments};
pub(crate) use datagrams::receive_datagrams;
pub(crate) use message::{MembershipMessage, StoreView};
