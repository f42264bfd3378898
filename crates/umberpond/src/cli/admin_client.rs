//! Client of a node's admin API.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::header::{HOST, LOCATION};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use miette::Diagnostic;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;
use umberpond_net::{HttpClientError, TcpNetwork, collect_body, send_request};
use umberpond_operator::admin::api::ErrorBody;

/// Default admin address; the one in examples/node.toml.
pub(super) const DEFAULT_NODE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7103);

/// Timeout of a request; longer than the time a node may take for a submission.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of redirects followed.
const MAX_REDIRECTS: usize = 3;

/// A request without a usable response.
#[derive(Debug, Error, Diagnostic)]
pub(super) enum AdminError {
    /// The connection could not be established; nothing was sent.
    #[error("the node at {address} can't be reached")]
    #[diagnostic(help("give a node's admin address by --node"))]
    ConnectFailed {
        address: SocketAddr,
        #[source]
        source: HttpClientError,
    },
    /// The exchange failed; the request may have been processed.
    #[error("the node at {address} sent an incomplete response")]
    IncompleteResponse {
        address: SocketAddr,
        #[source]
        source: HttpClientError,
    },
    /// No response within the timeout; the request may have been processed.
    #[error("the node at {address} sent no response within {} s", REQUEST_TIMEOUT.as_secs())]
    TimedOut { address: SocketAddr },
    /// The node refused the request.
    #[error("the node refused the request with status {status}: {reason}")]
    Refused { status: StatusCode, reason: String },
    /// The response does not conform to the operator API.
    #[error("the node at {address} sent a response that this program can't parse")]
    #[diagnostic(help("is this the admin address of an umberpond node of this version?"))]
    InvalidResponse { address: SocketAddr },
}

/// Client of one node's admin API.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdminClient {
    address: SocketAddr,
}

impl AdminClient {
    pub(super) fn new(address: Option<SocketAddr>) -> Self {
        Self { address: address.unwrap_or(DEFAULT_NODE) }
    }

    /// Sends a request and follows redirects to other nodes.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, AdminError> {
        let mut address = self.address;
        let mut path = path.to_owned();
        for _ in 0..=MAX_REDIRECTS {
            let response = send_once(address, &method, &path, body.clone()).await?;
            if response.status() != StatusCode::TEMPORARY_REDIRECT {
                return Ok(response);
            }
            (address, path) = redirect_target(&response).ok_or(AdminError::InvalidResponse { address })?;
        }
        Err(AdminError::InvalidResponse { address })
    }

    /// Sends a GET request and deserializes the JSON response.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        let response = self.send(Method::GET, path, Bytes::new()).await?;
        if response.status() != StatusCode::OK {
            return Err(self.error_of(&response));
        }
        self.read(&response)
    }

    /// Deserializes a JSON body.
    pub(super) fn read<T: DeserializeOwned>(&self, response: &Response<Bytes>) -> Result<T, AdminError> {
        serde_json::from_slice(response.body())
            .map_err(|_| AdminError::InvalidResponse { address: self.address })
    }

    /// Converts an error response to an [`AdminError`].
    pub(super) fn error_of(&self, response: &Response<Bytes>) -> AdminError {
        match serde_json::from_slice::<ErrorBody>(response.body()) {
            Ok(refusal) => AdminError::Refused { status: response.status(), reason: refusal.error },
            Err(_) => AdminError::InvalidResponse { address: self.address },
        }
    }
}

async fn send_once(
    address: SocketAddr,
    method: &Method,
    path: &str,
    body: Bytes,
) -> Result<Response<Bytes>, AdminError> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|_| AdminError::InvalidResponse { address })?;
    let exchange = async {
        let exchange = send_request(&TcpNetwork, address, request).await?;
        collect_body(exchange, MAX_RESPONSE_BYTES).await
    };
    match timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(source @ HttpClientError::Connect { .. })) => {
            Err(AdminError::ConnectFailed { address, source })
        }
        Ok(Err(source)) => Err(AdminError::IncompleteResponse { address, source }),
        Err(_) => Err(AdminError::TimedOut { address }),
    }
}

fn redirect_target(response: &Response<Bytes>) -> Option<(SocketAddr, String)> {
    let location: Uri = response.headers().get(LOCATION)?.to_str().ok()?.parse().ok()?;
    let address = location.authority()?.as_str().parse().ok()?;
    Some((address, location.path().to_owned()))
}
