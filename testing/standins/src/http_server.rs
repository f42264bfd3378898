//! An HTTP/1.1 server over any transport, shared by the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::task::{JoinHandle, JoinSet};
use umberpond_net::{BoxListener, BoxStream};

use crate::http_answer::{AnswerBody, AnswerWithheld};

/// Answers the requests of one stand-in. A dropped connection drops the future of its request.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request that came from `peer`.
    fn handle(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<AnswerBody>, AnswerWithheld>> + Send;
}

/// A running server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct HttpServer {
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Serves `listener` until dropped.
    pub fn start<H: Handler>(listener: BoxListener, handler: Arc<H>) -> Self {
        Self { task: tokio::spawn(accept_all(listener, handler)) }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all<H: Handler>(mut listener: BoxListener, handler: Arc<H>) {
    // Dropped together with this task, which ends every connection.
    let mut connections = JoinSet::new();
    loop {
        if let Ok((stream, peer)) = listener.accept().await {
            connections.spawn(serve_connection(stream, peer, Arc::clone(&handler)));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection<H: Handler>(stream: BoxStream, peer: SocketAddr, handler: Arc<H>) {
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(peer, request).await }
    });
    // No `date` header: it would read the wall clock.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    // A broken connection is the peer's choice or an injected fault; both are recorded elsewhere.
    let _ = connection.await;
}
