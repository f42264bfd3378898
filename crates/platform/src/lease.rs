//! Leases. They only keep the number of readers down; no decision about safety rests on one.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use umberpond_model::NodeName;

use crate::client::decode_json;
use crate::exchange::{RequestParts, refusal};
use crate::{PlatformClient, PlatformError, UnknownCause};

/// The platform's answer to a lease request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The holder has the lease.
    Granted {
        /// Time until it lapses, counted from the answer. The holder may be paused past it without noticing.
        expires_in: Duration,
    },
    /// Another holder has it.
    Held {
        /// The other holder.
        holder: NodeName,
    },
}

#[derive(Serialize)]
struct LeaseRequest<'a> {
    holder: &'a NodeName,
    millis: u64,
}

#[derive(Deserialize)]
struct LeaseGranted {
    expires_in_millis: u64,
}

#[derive(Deserialize)]
struct LeaseHeld {
    holder: NodeName,
}

fn lease_path(name: &str) -> String {
    format!("/v1/leases/{name}")
}

impl PlatformClient {
    /// Acquires the lease `name` for `holder`, or renews it if `holder` has it.
    ///
    /// # Errors
    /// Returns [`PlatformError`] when no answer came; the lease may stand all the same.
    pub async fn acquire_lease(
        &self,
        name: &str,
        holder: &NodeName,
        duration: Duration,
    ) -> Result<LeaseAnswer, PlatformError> {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let body = serde_json::to_vec(&LeaseRequest { holder, millis })
            .map_err(|_| PlatformError::OutcomeUnknown { cause: UnknownCause::Malformed })?;
        let request = RequestParts::new(Method::POST, lease_path(name)).named(name).body(Bytes::from(body));
        let response = self.exchange.run(request).await?;
        match response.status() {
            StatusCode::OK => {
                let granted: LeaseGranted = decode_json(response.body())?;
                Ok(LeaseAnswer::Granted { expires_in: Duration::from_millis(granted.expires_in_millis) })
            }
            StatusCode::CONFLICT => {
                let held: LeaseHeld = decode_json(response.body())?;
                Ok(LeaseAnswer::Held { holder: held.holder })
            }
            _ => Err(refusal(&response)),
        }
    }

    /// Renews a lease; the same request as acquiring it.
    ///
    /// # Errors
    /// As [`Self::acquire_lease`].
    pub async fn renew_lease(
        &self,
        name: &str,
        holder: &NodeName,
        duration: Duration,
    ) -> Result<LeaseAnswer, PlatformError> {
        self.acquire_lease(name, holder, duration).await
    }

    /// Gives a lease back. Giving back what another holds, or nobody, changes nothing and is no error.
    ///
    /// # Errors
    /// Returns [`PlatformError`] when no answer came; the lease then lapses by itself.
    pub async fn release_lease(&self, name: &str, holder: &NodeName) -> Result<(), PlatformError> {
        let path = format!("{}?holder={holder}", lease_path(name));
        let response = self.exchange.run(RequestParts::new(Method::DELETE, path).named(name)).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::CONFLICT | StatusCode::NOT_FOUND => Ok(()),
            _ => Err(refusal(&response)),
        }
    }
}
