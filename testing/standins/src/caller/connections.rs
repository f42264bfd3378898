//! Connections to the targets, kept open between calls as a well-behaved client keeps them.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use thiserror::Error;
use umberpond_net::Network;

/// A request as the caller sends it.
pub type CallRequest = Request<Full<Bytes>>;

/// A call that got no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be made; nothing was sent.
    #[error("no connection")]
    NotSent(#[source] io::Error),
    /// The exchange broke; the request may have run.
    #[error("the exchange broke")]
    Broken(#[source] hyper::Error),
}

/// An open connection that is not in use by another call.
#[derive(Debug)]
pub struct Connection {
    target: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// The open connections of one caller.
pub struct Connections {
    network: Arc<dyn Network>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Connections {
    /// Connects over `network`.
    pub fn new(network: Arc<dyn Network>) -> Self {
        Self { network, idle: Mutex::new(BTreeMap::new()) }
    }

    /// Sends a request, on an idle connection if there is a good one, and waits for the head of the answer.
    ///
    /// # Errors
    /// [`CallError`]; [`CallError::NotSent`] is the only one that proves that nothing ran.
    pub async fn send(
        &self,
        target: SocketAddr,
        mut request: CallRequest,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        while let Some(mut connection) = self.take_idle(target) {
            if connection.sender.ready().await.is_err() {
                continue;
            }
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The connection closed before any of the request was written to it.
                    Some(unsent) => request = unsent,
                    None => return Err(CallError::Broken(error.into_error())),
                },
            }
        }
        let mut connection = self.open(target).await?;
        let response = connection.sender.send_request(request).await.map_err(CallError::Broken)?;
        Ok((response, connection))
    }

    /// Keeps a connection whose exchange finished for the next call.
    pub fn keep(&self, connection: Connection) {
        self.idle.lock().entry(connection.target).or_default().push(connection);
    }

    fn take_idle(&self, target: SocketAddr) -> Option<Connection> {
        self.idle.lock().get_mut(&target)?.pop()
    }

    async fn open(&self, target: SocketAddr) -> Result<Connection, CallError> {
        let stream = self.network.connect(target).await.map_err(CallError::NotSent)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(CallError::Broken)?;
        // Ends when the sender is dropped; its failure shows in the exchange.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { target, sender })
    }
}
