//! HTTP requests to the processes of the demo.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request, Response};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use umberpond_net::{TcpNetwork, collect_body, send_request};

use crate::error::XtaskError;

/// Timeout of one request and its response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A process and its HTTP address.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Name of the process, for error messages.
    pub name: &'a str,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl Peer<'_> {
    /// Sends a GET request for `path` and returns the response whatever its status code.
    ///
    /// # Errors
    /// Fails when no complete response arrives in time.
    pub async fn get(&self, path: &str) -> Result<Response<Bytes>, XtaskError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Sends a GET request for `path` and returns the body as text.
    ///
    /// # Errors
    /// Fails when no complete response arrives in time, or the status is not a success.
    pub async fn get_text(&self, path: &str) -> Result<String, XtaskError> {
        let response = self.expect_success(self.get(path).await?)?;
        Ok(String::from_utf8_lossy(response.body()).into_owned())
    }

    /// Sends a GET request for `path` and parses the body as JSON.
    ///
    /// # Errors
    /// Fails when no complete response arrives in time, the status is not a success, or the body is not valid
    /// JSON for `T`.
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, XtaskError> {
        let response = self.expect_success(self.get(path).await?)?;
        Ok(serde_json::from_slice(response.body())?)
    }

    /// Sends a POST request with `body` and expects a success status.
    ///
    /// # Errors
    /// Fails when no complete response arrives in time, or the status is not a success.
    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> Result<(), XtaskError> {
        let response = self.send(Method::POST, path, body.into()).await?;
        self.expect_success(response).map(|_| ())
    }

    /// Sends a request and returns the response whatever its status code.
    ///
    /// # Errors
    /// Fails when no complete response arrives in time.
    pub async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Response<Bytes>, XtaskError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::new(body))?;
        let exchange = async {
            let exchange = send_request(&TcpNetwork, self.address, request).await?;
            collect_body(exchange, MAX_RESPONSE_BYTES).await
        };
        match timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(source)) => Err(XtaskError::Http { name: self.name.to_owned(), source }),
            Err(_) => Err(XtaskError::HttpTimeout { name: self.name.to_owned() }),
        }
    }

    fn expect_success(&self, response: Response<Bytes>) -> Result<Response<Bytes>, XtaskError> {
        if response.status().is_success() {
            return Ok(response);
        }
        Err(XtaskError::UnexpectedStatus { name: self.name.to_owned(), status: response.status().as_u16() })
    }
}
