//! A single HTTP/1.1 exchange on a new connection, for control traffic (platform, operator, admin).

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;

use crate::Network;

/// An exchange that failed. Only [`HttpClientError::Connect`] proves that the request was not processed.
#[derive(Debug, Error)]
pub enum HttpClientError {
    /// The connection could not be established; nothing was sent.
    #[error("no connection to {address}")]
    Connect {
        /// The address of the failed attempt.
        address: SocketAddr,
        /// Error of the transport.
        #[source]
        source: io::Error,
    },
    /// The exchange failed after the connection was established; the request may have been processed.
    #[error("the exchange failed")]
    Exchange(#[from] hyper::Error),
    /// The response body was truncated or exceeded the limit.
    #[error("the response body was truncated or exceeds the limit")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
}

/// A response whose body is still being received. Dropping it closes the connection.
#[derive(Debug)]
pub struct HttpExchange {
    /// Status, headers and the streaming body.
    pub response: Response<Incoming>,
    connection: AbortOnDrop,
}

#[derive(Debug)]
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends `request` to `address` on a new connection. The request needs a `host` header. There is no timeout
/// here; the caller sets one, and dropping the future cancels the exchange.
///
/// # Errors
/// Returns [`HttpClientError::Connect`] if nothing was sent, and [`HttpClientError::Exchange`] otherwise.
pub async fn send_request(
    network: &dyn Network,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<HttpExchange, HttpClientError> {
    let stream =
        network.connect(address).await.map_err(|source| HttpClientError::Connect { address, source })?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = AbortOnDrop(tokio::spawn(async move {
        // The caller receives the error from the exchange itself.
        let _ = connection.await;
    }));
    let response = sender.send_request(request).await?;
    Ok(HttpExchange { response, connection })
}

/// Reads the whole body of an exchange, at most `limit` bytes.
///
/// # Errors
/// Returns [`HttpClientError::Body`] if the body is truncated or exceeds the limit.
pub async fn collect_body(exchange: HttpExchange, limit: usize) -> Result<Response<Bytes>, HttpClientError> {
    let HttpExchange { response, connection } = exchange;
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, limit).collect().await.map_err(HttpClientError::Body)?;
    drop(connection);
    Ok(Response::from_parts(parts, collected.to_bytes()))
}

/// Whether the error is a body that exceeded the limit.
#[must_use]
pub fn is_over_limit(error: &HttpClientError) -> bool {
    matches!(error, HttpClientError::Body(source) if source.is::<LengthLimitError>())
}
