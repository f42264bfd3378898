//! The client of the platform over HTTP/1.1.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Response, StatusCode};
use umberpond_model::NodeName;
use umberpond_net::Network;

use crate::exchange::{Exchange, RequestParts, decode_json, object_version, status_error};
use crate::watch::open_watch;
use crate::{
    ClientSettings, ListPage, Object, ObjectKind, ObjectStore, ObjectVersion, PlatformError, PlatformGate,
    Revision, UnknownCause, WatchError, WatchStream,
};

/// Client of one platform address. Cheap to clone; all clones share the [`PlatformGate`].
#[derive(Clone)]
pub struct PlatformClient {
    pub(crate) exchange: Exchange,
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PlatformClient")
            .field("address", &self.exchange.address)
            .finish_non_exhaustive()
    }
}

impl PlatformClient {
    /// Creates a client of the platform at `address` whose requests are limited by `gate`.
    #[must_use]
    pub fn new(
        network: Arc<dyn Network>,
        address: SocketAddr,
        gate: PlatformGate,
        settings: ClientSettings,
    ) -> Self {
        Self { exchange: Exchange { network, address, gate, settings, node: None } }
    }

    /// Sends the node's name with every request, so that the platform can count its readers.
    #[must_use]
    pub fn named(mut self, node: NodeName) -> Self {
        self.exchange.node = Some(node);
        self
    }
}

fn object_path(kind: ObjectKind, name: &str) -> String {
    format!("/v1/objects/{kind}/{name}")
}

/// Converts the response to a write: the object's new version, or why the write failed.
fn write_result(response: &Response<Bytes>) -> Result<ObjectVersion, PlatformError> {
    match response.status() {
        StatusCode::OK | StatusCode::CREATED => {
            object_version(response).ok_or(PlatformError::OutcomeUnknown { cause: UnknownCause::Malformed })
        }
        StatusCode::CONFLICT => Err(PlatformError::Conflict { current: object_version(response) }),
        StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
        _ => Err(status_error(response)),
    }
}

#[async_trait]
impl ObjectStore for PlatformClient {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<Object>, PlatformError> {
        let request = RequestParts::new(Method::GET, object_path(kind, name)).check_name(name);
        let response = self.exchange.run(request).await?;
        match response.status() {
            StatusCode::OK => {
                let version = object_version(&response)
                    .ok_or(PlatformError::OutcomeUnknown { cause: UnknownCause::Malformed })?;
                Ok(Some(Object { version, value: response.into_body() }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(status_error(&response)),
        }
    }

    async fn list(
        &self,
        kind: ObjectKind,
        after: Option<&str>,
        limit: usize,
    ) -> Result<ListPage, PlatformError> {
        let after = after.unwrap_or_default();
        let path = format!("/v1/objects/{kind}?after={after}&limit={limit}");
        let request = RequestParts::new(Method::GET, path).check_name(after);
        let response = self.exchange.run(request).await?;
        match response.status() {
            StatusCode::OK => decode_json(response.body()),
            _ => Err(status_error(&response)),
        }
    }

    async fn create(
        &self,
        kind: ObjectKind,
        name: &str,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError> {
        let request = RequestParts::new(Method::POST, object_path(kind, name)).check_name(name).body(value);
        write_result(&self.exchange.run(request).await?)
    }

    async fn put_if(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
        value: Bytes,
    ) -> Result<ObjectVersion, PlatformError> {
        let request = RequestParts::new(Method::PUT, object_path(kind, name))
            .check_name(name)
            .if_match(expected)
            .body(value);
        write_result(&self.exchange.run(request).await?)
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: ObjectVersion,
    ) -> Result<(), PlatformError> {
        let request =
            RequestParts::new(Method::DELETE, object_path(kind, name)).check_name(name).if_match(expected);
        let response = self.exchange.run(request).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            StatusCode::CONFLICT => Err(PlatformError::Conflict { current: object_version(&response) }),
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            _ => Err(status_error(&response)),
        }
    }

    async fn watch(&self, kind: ObjectKind, after: Revision) -> Result<WatchStream, WatchError> {
        open_watch(&self.exchange, kind, after).await
    }
}
