//! `umberpond withdraw`: withdraws a bundle.

use super::admin_client::AdminClient;
use super::apply::{self, ChangeSettings};
use super::output::Format;
use super::{Exit, flags, runtime};

/// Settings of `umberpond withdraw`.
pub(super) struct WithdrawSettings {
    name: String,
    change: ChangeSettings,
}

impl From<flags::Withdraw> for WithdrawSettings {
    fn from(flags: flags::Withdraw) -> Self {
        let change = ChangeSettings {
            wait: flags.wait,
            submission: flags.submission,
            client: AdminClient::new(flags.node),
            format: Format::from_flag(flags.json),
        };
        Self { name: flags.name, change }
    }
}

/// Withdraws the bundle.
pub(super) fn run(settings: &WithdrawSettings) -> Exit {
    runtime::block_on(apply::submit(&settings.name, None, &settings.change))
}
