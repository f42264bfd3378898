//! Accepts control connections of other nodes and hands them to the overlay actor.

use std::time::Duration;

use ractor::ActorRef;
use umberpond_net::BoxListener;
use umberpond_telemetry::{Event, Telemetry};

use crate::overlay::OverlayMessage;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts until the task or the actor is ended.
pub(crate) async fn accept(
    mut listener: BoxListener,
    overlay: ActorRef<OverlayMessage>,
    telemetry: Telemetry,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if overlay.send_message(OverlayMessage::Accepted { stream }).is_err() {
                    return;
                }
            }
            Err(error) => {
                telemetry.emit(Event::AcceptFailed { listener: "control", reason: error.kind().to_string() });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
