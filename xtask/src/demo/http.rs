//! Short HTTP exchanges with the demo's processes.

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

/// Longest time for one exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(5);

/// Largest accepted answer, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// A process and where it listens.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Name of the process, for errors.
    pub name: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Peer<'_> {
    /// Reads `path`, whatever the status code.
    ///
    /// # Errors
    /// Fails when no whole answer comes in time.
    pub async fn get(&self, path: &str) -> Result<Response<Bytes>, XtaskError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Reads `path` as text.
    ///
    /// # Errors
    /// Fails when no whole answer comes in time, or the status code is no success.
    pub async fn get_text(&self, path: &str) -> Result<String, XtaskError> {
        let response = self.expect_success(self.get(path).await?)?;
        Ok(String::from_utf8_lossy(response.body()).into_owned())
    }

    /// Reads `path` as JSON.
    ///
    /// # Errors
    /// Fails when no whole answer comes in time, the status code is no success, or the body is something else.
    pub async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, XtaskError> {
        let response = self.expect_success(self.get(path).await?)?;
        Ok(serde_json::from_slice(response.body())?)
    }

    /// Sends a body and expects success.
    ///
    /// # Errors
    /// Fails when no whole answer comes in time, or the status code is no success.
    pub async fn post(&self, path: &str, body: impl Into<Bytes>) -> Result<(), XtaskError> {
        let response = self.send(Method::POST, path, body.into()).await?;
        self.expect_success(response).map(|_| ())
    }

    /// Sends a request, whatever the status code of the answer.
    ///
    /// # Errors
    /// Fails when no whole answer comes in time.
    pub async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Response<Bytes>, XtaskError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::new(body))?;
        let exchange = async {
            let exchange = send_request(&TcpNetwork, self.address, request).await?;
            collect_body(exchange, ANSWER_LIMIT).await
        };
        match timeout(EXCHANGE_LIMIT, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(source)) => Err(XtaskError::Http { name: self.name.to_owned(), source }),
            Err(_) => Err(XtaskError::HttpTimeout { name: self.name.to_owned() }),
        }
    }

    fn expect_success(&self, response: Response<Bytes>) -> Result<Response<Bytes>, XtaskError> {
        if response.status().is_success() {
            return Ok(response);
        }
        Err(XtaskError::BadAnswer { name: self.name.to_owned(), status: response.status().as_u16() })
    }
}
