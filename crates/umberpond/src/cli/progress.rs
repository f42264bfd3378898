//! Waits until a version is in force everywhere, with progress on standard error.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_model::Version;
use umberpond_operator::admin::api::Progress;

use super::admin_client::AdminClient;
use super::output::Format;

/// Time between two questions.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Asks until `version` is in force everywhere or `limit` has passed; tells the last answer, if there was one.
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
            let is_news = last.as_ref().is_none_or(|last| last.active != progress.active);
            if is_news && format == Format::Text {
                eprintln!("version {version}: in force on {} of {} nodes", progress.active, progress.nodes);
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
