//! Requests to a node's admin address.

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
use umberpond_operator::admin::api::Refusal;

/// Admin address asked if none is given: that of examples/node.toml.
pub(super) const DEFAULT_NODE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7103);

/// Longest time for one request; above the time that a node takes for a submission at most.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Redirections followed.
const MAX_REDIRECTS: usize = 3;

/// A request that got no usable answer.
#[derive(Debug, Error, Diagnostic)]
pub(super) enum AdminError {
    /// Nothing was sent.
    #[error("the node at {address} can't be reached")]
    #[diagnostic(help("give a node's admin address by --node"))]
    NotReached {
        address: SocketAddr,
        #[source]
        source: HttpClientError,
    },
    /// The request may have been processed.
    #[error("the node at {address} gave no whole answer")]
    Broken {
        address: SocketAddr,
        #[source]
        source: HttpClientError,
    },
    /// The request may have been processed.
    #[error("the node at {address} gave no answer within {} s", REQUEST_TIMEOUT.as_secs())]
    TimedOut { address: SocketAddr },
    /// The node refused the request.
    #[error("the node refused the request with status {status}: {reason}")]
    Refused { status: StatusCode, reason: String },
    /// The answer is not what the operator API says.
    #[error("the node at {address} gave an answer that this program does not understand")]
    #[diagnostic(help("is this the admin address of an umberpond node of this version?"))]
    NotUnderstood { address: SocketAddr },
}

/// Client of one node's admin address.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdminClient {
    address: SocketAddr,
}

impl AdminClient {
    pub(super) fn new(address: Option<SocketAddr>) -> Self {
        Self { address: address.unwrap_or(DEFAULT_NODE) }
    }

    /// Sends a request; follows redirections to other nodes.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Bytes>, AdminError> {
        let mut address = self.address;
        let mut path = path.to_owned();
        for _ in 0..=MAX_REDIRECTS {
            let answer = send_once(address, &method, &path, body.clone()).await?;
            if answer.status() != StatusCode::TEMPORARY_REDIRECT {
                return Ok(answer);
            }
            (address, path) = redirection(&answer).ok_or(AdminError::NotUnderstood { address })?;
        }
        Err(AdminError::NotUnderstood { address })
    }

    /// Asks for something and reads the JSON answer.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, AdminError> {
        let answer = self.send(Method::GET, path, Bytes::new()).await?;
        if answer.status() != StatusCode::OK {
            return Err(self.refused(&answer));
        }
        self.read(&answer)
    }

    /// Reads a JSON body.
    pub(super) fn read<T: DeserializeOwned>(&self, answer: &Response<Bytes>) -> Result<T, AdminError> {
        serde_json::from_slice(answer.body()).map_err(|_| AdminError::NotUnderstood { address: self.address })
    }

    /// The refusal that an answer carries.
    pub(super) fn refused(&self, answer: &Response<Bytes>) -> AdminError {
        match serde_json::from_slice::<Refusal>(answer.body()) {
            Ok(refusal) => AdminError::Refused { status: answer.status(), reason: refusal.error },
            Err(_) => AdminError::NotUnderstood { address: self.address },
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
        .map_err(|_| AdminError::NotUnderstood { address })?;
    let exchange = async {
        let exchange = send_request(&TcpNetwork, address, request).await?;
        collect_body(exchange, MAX_ANSWER_BYTES).await
    };
    match timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(source @ HttpClientError::Connect { .. })) => Err(AdminError::NotReached { address, source }),
        Ok(Err(source)) => Err(AdminError::Broken { address, source }),
        Err(_) => Err(AdminError::TimedOut { address }),
    }
}

fn redirection(answer: &Response<Bytes>) -> Option<(SocketAddr, String)> {
    let location: Uri = answer.headers().get(LOCATION)?.to_str().ok()?.parse().ok()?;
    let address = location.authority()?.as_str().parse().ok()?;
    Some((address, location.path().to_owned()))
}
