//! Where operators find a reader: each reader keeps its admin address in a status object on the platform.

use bytes::Bytes;
use umberpond_model::NodeName;
use umberpond_platform::{ObjectKind, ObjectStore, PlatformClient, PlatformError};
use umberpond_telemetry::Event;

use super::actor::PlatformContext;
use crate::admin::api::ReaderAddress;

/// Readers looked at when one is sought.
const MAX_READERS: usize = 64;

/// Writes the reader's address under the name of its lease. A failure costs operators a redirection, no more.
pub(super) async fn publish(context: &PlatformContext, lease: &str, address: &ReaderAddress) {
    let result = match serde_json::to_vec(address) {
        Ok(bytes) => write(&context.client, lease, Bytes::from(bytes)).await,
        Err(_) => return,
    };
    let metrics = context.telemetry.metrics();
    match result {
        Ok(()) => metrics.platform_request("write-status", "ok"),
        Err(error) => {
            metrics.platform_request("write-status", "failed");
            let reason = error.to_string();
            context.telemetry.emit(Event::PlatformUnavailable { operation: "write-status", reason });
        }
    }
}

async fn write(client: &PlatformClient, name: &str, value: Bytes) -> Result<(), PlatformError> {
    let standing = match client.create(ObjectKind::Status, name, value.clone()).await {
        Err(PlatformError::Conflict { standing: Some(standing) }) => standing,
        other => return other.map(drop),
    };
    client.put_if(ObjectKind::Status, name, standing, value).await.map(drop)
}

/// Finds the address of a reader other than `own`; the last one published may be gone.
pub(crate) async fn find_reader(client: &PlatformClient, own: &NodeName) -> Option<ReaderAddress> {
    let page = client.list(ObjectKind::Status, None, MAX_READERS).await.ok()?;
    for item in page.items {
        let Ok(Some(object)) = client.get(ObjectKind::Status, &item.name).await else { continue };
        match serde_json::from_slice::<ReaderAddress>(&object.value) {
            Ok(address) if address.node != *own => return Some(address),
            _ => {}
        }
    }
    None
}
