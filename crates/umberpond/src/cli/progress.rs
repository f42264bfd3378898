//! Waits until a version is active on all nodes, and prints the progress to standard error.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_model::Version;
use umberpond_operator::admin::api::Progress;

use super::admin_client::AdminClient;
use super::output::Format;

/// Interval between two requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls until `version` is active on all nodes or `limit` has passed; returns the last response, if there
/// was one.
pub(super) async fn wait(
    client: &AdminClient,
    version: Version,
    limit: Duration,
    format: Format,
) -> Option<Progress> {
    let deadline = Instant::now() + limit;
    let mut last: Option<Progress> = None;
    loop {
        if let Ok(progress) = client.get::<Progress>(&format!("/v1/versions/{version}")).await {
            let has_changed = last.as_ref().is_none_or(|last| last.active != progress.active);
            if has_changed && format == Format::Text {
                eprintln!("version {version}: active on {} of {} nodes", progress.active, progress.nodes);
            }
            let everywhere = progress.everywhere;
            last = Some(progress);
            if everywhere {
                return last;
            }
        }
        if Instant::now() + POLL_INTERVAL >= deadline {
            return last;
        }
        sleep(POLL_INTERVAL).await;
    }
}
