//! Who else there is: the membership core, driven by datagrams and a timer.

mod actor;
mod datagrams;
mod endpoints;

pub(crate) use actor::{MembershipActor, MembershipArguments, MembershipMessage, StoreView};
pub(crate) use datagrams::receive_datagrams;
